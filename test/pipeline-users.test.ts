/** Answers to users about jobs with dependencies, at any controller. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { CancellationQuorum } from '../src/cancellation/cancellation-quorum.js';
import * as records from '../src/store/records.js';
import { outcome } from '../src/store/stored-job.js';
import { MemoryStore } from './support/memory-store.js';
import { body, JOB, replyText, makeUserApiWorld } from './support/user-api-world.js';

const NEEDED = 'wk-000398';
const SERVICE = 'wk-000399';
const DONE = 'wk-000400';
const CANCELLED = 'wk-000401';

/** A store with an open job, a service, a done job and a cancelled job. */
function storeWithJobs(): MemoryStore {
  const store = new MemoryStore();
  store.accept({ id: NEEDED });
  store.accept({ id: SERVICE, kind: 'service' });
  store.accept({ id: DONE });
  store.accept({ id: CANCELLED });
  finishJob(store, DONE);
  store.cancel(CANCELLED);
  return store;
}

const finishJob = (store: MemoryStore, id: string): number =>
  store.put(records.progressKey(id, 0), records.encodeProgress({ bits: null, attainedS: 1 }));

test('submissions with dependencies are answered and stored by the state of the dependencies', async () => {
  const cases: [string, unknown, string][] = [
    ['empty list', [], '201 queued'],
    ['null', null, '201 queued'],
    ['absent', undefined, '201 queued'],
    ['an open job', [NEEDED], '201 queued'],
    ['the same job twice', [NEEDED, NEEDED], '201 queued'],
    ['a done job', [DONE], '201 queued'],
    ['a cancelled job', [DONE, CANCELLED], '201 cancelled'],
    ['not a list', NEEDED, '400'],
    ['a malformed id', ['job-1'], '400'],
    ['a number', [398], '400'],
    ['a job that was never accepted', [NEEDED, 'wk-7'], '422'],
    ['a service', [SERVICE], '422'],
    ['itself', [JOB], '422'],
    ['more than a value of the key-value store can hold', ids(1000, 'wk-'), '422'],
  ];
  for (const [name, awaits, want] of cases) {
    const store = storeWithJobs();
    const before = store.currentRevision;
    const { userApi, replica } = makeUserApiWorld(store, 'a');
    assert.equal(await replyText(userApi.submit(body({ awaits }))), want, name);
    const storedJob = replica.jobs.get(JOB);
    if (!want.startsWith('201'))
      assert.equal(store.currentRevision, before, `${name}: nothing is stored`);
    else
      assert.equal(
        storedJob?.readyRevision === null,
        want === '201 cancelled' || storedJob?.unmetDependencies === 1,
        name,
      );
    // Any other controller gives the same answer, and an accepted job is never refused later.
    const other = makeUserApiWorld(store, 'b').userApi;
    const again = want.startsWith('201') ? want.replace('201', '200') : want;
    assert.equal(await replyText(other.submit(body({ awaits }))), again, name);
    if (want.startsWith('201')) {
      assert.equal(await replyText(other.submit(body({ awaits: ['wk-7'] }))), again, name);
      assert.equal(await replyText(other.submit(body({ awaits: 'x' }))), again, name);
    }
  }
});

const ids = (count: number, prefix: string): string[] =>
  Array.from({ length: count }, (_, i) => `${prefix}${1_000_000 + i}`);

test('a dependency that another controller has just accepted is found; without a read the answer is 503', async () => {
  const store = storeWithJobs();
  const a = makeUserApiWorld(store, 'a');
  // Another controller accepts it after this one has read the store.
  store.accept({ id: 'wk-7' });
  assert.equal(await replyText(a.userApi.submit(body({ awaits: ['wk-7'] }))), '201 queued');
  store.mode = 'refuse';
  const later = body({ ref: 'wk-8', awaits: ['wk-9'] });
  assert.equal(await replyText(a.userApi.submit(later)), '503');
  store.mode = 'serve';
  assert.equal(await replyText(a.userApi.submit(later)), '422');
});

test('while an old version is present, jobs with dependencies get 503, and other jobs are accepted', async () => {
  const store = storeWithJobs();
  const { userApi } = makeUserApiWorld(store, 'a', { isOldVersionPresent: () => true });
  const reply = await userApi.submit(body({ awaits: [NEEDED] }));
  assert.equal(reply.status, 503);
  assert.ok(reply.retryAfter! > 0);
  assert.equal(await replyText(userApi.submit(body())), '201 queued');
  const upgraded = makeUserApiWorld(store, 'b').userApi;
  await upgraded.submit(body({ ref: 'wk-8', awaits: [NEEDED] }));
  assert.equal(
    await replyText(userApi.submit(body({ ref: 'wk-8', awaits: [NEEDED] }))),
    '200 queued',
  );
});

test('jobs with dependencies are stored under keys that versions without pipeline support do not read', async () => {
  const store = storeWithJobs();
  const { userApi } = makeUserApiWorld(store, 'a');
  await Promise.all([
    userApi.submit(body({ ref: 'wk-1', awaits: [NEEDED] })),
    userApi.submit(body({ ref: 'wk-2' })),
    userApi.cancel(NEEDED),
  ]);
  const stored = store.replayInto(makeUserApiWorld(store, 'b').replica);
  assert.equal(outcome(stored.jobs.get('wk-1')!), 'cancelled');
  for (const key of store.keys()) {
    if (!key.startsWith(records.JOBS)) continue;
    assert.ok(!JSON.stringify(store.value(key)).includes('wk-1"'), key);
  }
  assert.equal(outcome(stored.jobs.get('wk-2')!), 'open');
});

test('once a controller has reported a job as cancelled, none reports a dependent job as queued', async () => {
  const store = storeWithJobs();
  const all = ['a', 'b', 'c'].map((name) => makeUserApiWorld(store, name));
  const [a, b, c] = all.map((world) => world.userApi);
  await a!.submit(body({ ref: 'wk-1', awaits: [NEEDED] }));
  await b!.submit(body({ ref: 'wk-2', awaits: ['wk-1', DONE] }));
  assert.equal(await replyText(b!.poll('wk-2')), '200 queued');
  // Another controller accepts a dependent job at the same time.
  const [cancelled, accepted] = await Promise.all([
    replyText(a!.cancel(NEEDED)),
    replyText(c!.submit(body({ ref: 'wk-3', awaits: ['wk-2'] }))),
  ]);
  assert.equal(cancelled, '200 cancelled');
  assert.match(accepted, /^201/);
  const before = store.currentRevision;
  for (const world of all) {
    for (const id of ['wk-1', 'wk-2', 'wk-3']) {
      assert.equal(await replyText(world.userApi.poll(id)), '200 cancelled', id);
      assert.equal(await replyText(world.userApi.cancel(id)), '200 cancelled', id);
    }
  }
  assert.equal(store.currentRevision, before, 'one write cancels them all');
});

test('a cancellation that is answered with done does not cancel dependent jobs', async () => {
  const store = storeWithJobs();
  const { userApi, replica } = makeUserApiWorld(store, 'a');
  await userApi.submit(body({ awaits: [NEEDED] }));
  finishJob(store, NEEDED);
  assert.equal(await replyText(userApi.cancel(NEEDED)), '200 done');
  assert.equal(await replyText(userApi.poll(JOB)), '200 queued');
  assert.notEqual(replica.jobs.get(JOB)!.readyRevision, null);
});

test('a cancellation of a job that never became ready is confirmed at once: it has no tasks', async () => {
  const store = storeWithJobs();
  const { userApi, replica } = makeUserApiWorld(store, 'a');
  await userApi.submit(body({ awaits: [NEEDED] }));
  const asked: string[] = [];
  const cancellationQuorum = new CancellationQuorum({
    controllerCount: 3,
    peers: {
      peerNames: ['b', 'c'],
      ask: (node) => {
        asked.push(node);
        return Promise.resolve(null);
      },
    },
    replica,
    clock: { now: () => 0 },
    remainingWaitS: () => 0,
    retentionS: 1,
  });
  await userApi.cancel(NEEDED);
  assert.ok(await cancellationQuorum.confirm(replica.jobs.get(JOB)!, JOB));
  assert.deepEqual(asked, []);
  assert.ok(!(await cancellationQuorum.confirm(replica.jobs.get(NEEDED)!, NEEDED)));
  assert.equal(asked.length, 2, 'a job that may have tasks needs a majority');
});
