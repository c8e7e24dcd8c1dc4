/** What users are told of jobs that need other jobs, at any controller. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { CancellationQuorum } from '../src/cancellation/cancellation-quorum.js';
import * as records from '../src/store/records.js';
import { outcome } from '../src/store/stored-job.js';
import { MemoryStore } from './support/memory-store.js';
import { body, JOB, told, usersSide } from './support/user-api-world.js';

const NEEDED = 'wk-000398';
const SERVICE = 'wk-000399';
const OVER = 'wk-000400';
const CANCELLED = 'wk-000401';

/** A store with a job of each kind. */
function store(): MemoryStore {
  const made = new MemoryStore();
  made.accept({ id: NEEDED });
  made.accept({ id: SERVICE, kind: 'service' });
  made.accept({ id: OVER });
  made.accept({ id: CANCELLED });
  finish(made, OVER);
  made.cancel(CANCELLED);
  return made;
}

const finish = (made: MemoryStore, id: string): number =>
  made.put(records.progressKey(id, 0), records.encodeProgress({ bits: null, attainedS: 1 }));

test('what a submission that names other jobs is answered, and what is stored of it', async () => {
  const cases: [string, unknown, string][] = [
    ['nothing', [], '201 queued'],
    ['null', null, '201 queued'],
    ['left out', undefined, '201 queued'],
    ['a job that is open', [NEEDED], '201 queued'],
    ['one job twice', [NEEDED, NEEDED], '201 queued'],
    ['a job that is done', [OVER], '201 queued'],
    ['a job that is cancelled', [OVER, CANCELLED], '201 cancelled'],
    ['no list', NEEDED, '400'],
    ['an id of another form', ['job-1'], '400'],
    ['a number', [398], '400'],
    ['a job that was never accepted', [NEEDED, 'wk-7'], '422'],
    ['a service', [SERVICE], '422'],
    ['itself', [JOB], '422'],
    ['more than a value of the state service holds', ids(1000, 'wk-'), '422'],
  ];
  for (const [name, awaits, want] of cases) {
    const made = store();
    const before = made.currentRevision;
    const { userApi, replica } = usersSide(made, 'a');
    assert.equal(await told(userApi.submit(body({ awaits }))), want, name);
    const storedJob = replica.jobs.get(JOB);
    if (!want.startsWith('201'))
      assert.equal(made.currentRevision, before, `${name}: nothing is stored`);
    else
      assert.equal(
        storedJob?.readyAt === null,
        want === '201 cancelled' || storedJob?.unmetDependencies === 1,
        name,
      );
    // The same at any other controller, and what was accepted is never refused later.
    const other = usersSide(made, 'b').userApi;
    const again = want.startsWith('201') ? want.replace('201', '200') : want;
    assert.equal(await told(other.submit(body({ awaits }))), again, name);
    if (want.startsWith('201')) {
      assert.equal(await told(other.submit(body({ awaits: ['wk-7'] }))), again, name);
      assert.equal(await told(other.submit(body({ awaits: 'x' }))), again, name);
    }
  }
});

const ids = (count: number, prefix: string): string[] =>
  Array.from({ length: count }, (_, i) => `${prefix}${1_000_000 + i}`);

test('a job that another controller accepted a moment ago is found; without a read the answer is 503', async () => {
  const made = store();
  const a = usersSide(made, 'a');
  // Accepted by another one after this one had read the store.
  made.accept({ id: 'wk-7' });
  assert.equal(await told(a.userApi.submit(body({ awaits: ['wk-7'] }))), '201 queued');
  made.mode = 'refuse';
  const later = body({ ref: 'wk-8', awaits: ['wk-9'] });
  assert.equal(await told(a.userApi.submit(later)), '503');
  made.mode = 'serve';
  assert.equal(await told(a.userApi.submit(later)), '422');
});

test('an old version beside it gets none of it: 503, and never for jobs that need no other', async () => {
  const made = store();
  const { userApi } = usersSide(made, 'a', { isOldVersionPresent: () => true });
  const reply = await userApi.submit(body({ awaits: [NEEDED] }));
  assert.equal(reply.status, 503);
  assert.ok(reply.retryAfter! > 0);
  assert.equal(await told(userApi.submit(body())), '201 queued');
  const known = usersSide(made, 'b').userApi;
  await known.submit(body({ ref: 'wk-8', awaits: [NEEDED] }));
  assert.equal(await told(userApi.submit(body({ ref: 'wk-8', awaits: [NEEDED] }))), '200 queued');
});

test('jobs that need others are stored where versions that would start them at once do not look', async () => {
  const made = store();
  const { userApi } = usersSide(made, 'a');
  await Promise.all([
    userApi.submit(body({ ref: 'wk-1', awaits: [NEEDED] })),
    userApi.submit(body({ ref: 'wk-2' })),
    userApi.cancel(NEEDED),
  ]);
  const stored = made.feed(usersSide(made, 'b').replica);
  assert.equal(outcome(stored.jobs.get('wk-1')!), 'cancelled');
  for (const key of made.keys()) {
    if (!key.startsWith(records.JOBS)) continue;
    assert.ok(!JSON.stringify(made.value(key)).includes('wk-1"'), key);
  }
  assert.equal(outcome(stored.jobs.get('wk-2')!), 'open');
});

test('once any controller has told that a job is cancelled, none calls one that needs it queued', async () => {
  const made = store();
  const all = ['a', 'b', 'c'].map((name) => usersSide(made, name));
  const [a, b, c] = all.map((side) => side.userApi);
  await a!.submit(body({ ref: 'wk-1', awaits: [NEEDED] }));
  await b!.submit(body({ ref: 'wk-2', awaits: ['wk-1', OVER] }));
  assert.equal(await told(b!.poll('wk-2')), '200 queued');
  // A job that needs it is accepted elsewhere at the same time.
  const [cancelled, accepted] = await Promise.all([
    told(a!.cancel(NEEDED)),
    told(c!.submit(body({ ref: 'wk-3', awaits: ['wk-2'] }))),
  ]);
  assert.equal(cancelled, '200 cancelled');
  assert.match(accepted, /^201/);
  const before = made.currentRevision;
  for (const side of all) {
    for (const id of ['wk-1', 'wk-2', 'wk-3']) {
      assert.equal(await told(side.userApi.poll(id)), '200 cancelled', id);
      assert.equal(await told(side.userApi.cancel(id)), '200 cancelled', id);
    }
  }
  assert.equal(made.currentRevision, before, 'one write cancels them all');
});

test('a cancellation that is answered with done leaves what comes after the job alone', async () => {
  const made = store();
  const { userApi, replica } = usersSide(made, 'a');
  await userApi.submit(body({ awaits: [NEEDED] }));
  finish(made, NEEDED);
  assert.equal(await told(userApi.cancel(NEEDED)), '200 done');
  assert.equal(await told(userApi.poll(JOB)), '200 queued');
  assert.notEqual(replica.jobs.get(JOB)!.readyAt, null);
});

test('a cancellation of a job that never became ready is told at once: no task of it is anywhere', async () => {
  const made = store();
  const { userApi, replica } = usersSide(made, 'a');
  await userApi.submit(body({ awaits: [NEEDED] }));
  const asked: string[] = [];
  const cancellationQuorum = new CancellationQuorum({
    controllerCount: 3,
    peers: {
      names: ['b', 'c'],
      ask: (node) => {
        asked.push(node);
        return Promise.resolve(null);
      },
    },
    replica,
    clock: { now: () => 0 },
    remainingWaitS: () => 0,
    rememberS: 1,
  });
  await userApi.cancel(NEEDED);
  assert.ok(await cancellationQuorum.confirm(replica.jobs.get(JOB)!, JOB));
  assert.deepEqual(asked, []);
  assert.ok(!(await cancellationQuorum.confirm(replica.jobs.get(NEEDED)!, NEEDED)));
  assert.equal(asked.length, 2, 'that of a job with tasks is not');
});
