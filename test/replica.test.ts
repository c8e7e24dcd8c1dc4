import assert from 'node:assert/strict';
import { test } from 'node:test';
import { BitSet } from '../src/jobs/bit-set.js';
import { LiveJob } from '../src/jobs/live-job.js';
import * as records from '../src/store/records.js';
import { outcome, specOf } from '../src/store/stored-job.js';
import { Replica } from '../src/store/replica.js';
import { makeAttempt } from '../src/workers/attempt.js';
import { spec } from './helpers.js';

const accepted = (overrides = {}) => ({ spec: spec({ tasks: 2, ...overrides }), acceptedAtMs: 5 });
const put = (key: string, value: unknown, revision: number) =>
  ({ kind: 'put', key, value: JSON.parse(JSON.stringify(value)) as unknown, revision }) as const;
const job = (revision: number) =>
  put(
    `${records.JOBS}a-${revision}`,
    records.encodeRequestBatch({ jobs: [accepted()], cancelledIds: [] }),
    revision,
  );
const cancel = (revision: number) =>
  put(
    `${records.JOBS}c-${revision}`,
    records.encodeRequestBatch({ jobs: [], cancelledIds: ['wk-000001'] }),
    revision,
  );
const done = (revision: number, bits: string | null = null) =>
  put(
    records.progressKey('wk-000001', 0),
    records.encodeProgress({ bits, attainedS: 3 }),
    revision,
  );

test('if a job is both done and cancelled, the lower revision counts, in any order of a listing', () => {
  const cases: [string, ReturnType<typeof put>[], string][] = [
    ['accepted', [job(1)], 'open'],
    ['done', [job(1), done(2)], 'done'],
    ['cancelled', [job(1), cancel(2)], 'cancelled'],
    ['cancelled, then done', [job(1), cancel(2), done(3)], 'cancelled'],
    ['done, then cancelled', [job(1), done(2), cancel(3)], 'done'],
    ['half done', [job(1), done(2, 'AQ==')], 'open'],
  ];
  for (const [name, changes, want] of cases) {
    // A listing is ordered by key: cancellations come before progress.
    const listed = [...changes].sort((a, b) => (a.key < b.key ? -1 : 1));
    const orders = [changes, [...changes].reverse(), listed];
    for (const order of orders) {
      const replica = new Replica(8192);
      for (const c of order) replica.applyListed(c);
      assert.equal(outcome(replica.jobs.get('wk-000001')!), want, name);
    }
  }
});

test('a job accepted twice is one job, malformed records are dropped, old changes are ignored', () => {
  const replica = new Replica(8192);
  replica.advance(9, [job(7), job(8), put(`${records.JOBS}x`, { s: 5 }, 9)]);
  assert.equal(replica.jobs.size, 1);
  assert.equal(replica.malformedRecords, 1);
  replica.advance(9, [cancel(3)]);
  assert.equal(outcome(replica.jobs.get('wk-000001')!), 'open');
  assert.equal(replica.applied, 9);
});

test('records are unchanged after encoding and decoding', () => {
  const job = accepted({ types: ['g8'], zone: 'z1', oneZone: true, spot: true, deadlineS: 7 });
  const roundTrip = <T>(x: T): T => JSON.parse(JSON.stringify(x)) as T;
  assert.deepEqual(records.decodeJob(roundTrip(records.encodeJob(job))), job);
  const record: records.MachineRecord = {
    owner: 'n', term: 4, addr: 'a:1', type: 'g8', zone: 'z', spot: true, returning: false,
    claims: [{ job: 'wk-000001', index: 3, attempt: 9 }], images: [['i', 4]],
  }; // prettier-ignore
  assert.deepEqual(records.decodeMachine(roundTrip(records.encodeMachine(record))), record);
  const bits = new BitSet(20);
  for (const i of [0, 7, 8, 19]) bits.add(i);
  const back = BitSet.decode(20, bits.encode());
  assert.deepEqual(
    [...Array(20).keys()].filter((i) => back.has(i)),
    [0, 7, 8, 19],
  );
});

test('the progress of the largest job array fits into the values of the key-value store', () => {
  const replica = new Replica(8192);
  replica.applyListed(
    put(
      `${records.JOBS}a`,
      records.encodeRequestBatch({ jobs: [accepted({ tasks: 100_000 })], cancelledIds: [] }),
      1,
    ),
  );
  const live = new LiveJob(
    replica.jobs.get('wk-000001')!,
    { kind: 'chunks', tasksPerUnit: replica.tasksPerChunk },
    0,
    5,
  );
  for (let i = 0; i < 99_999; i += 2) live.markDone(i, 0);
  for (const chunk of live.progress.dirty) {
    assert.ok(JSON.stringify(records.encodeProgress(live.progressRecord(chunk))).length < 8192);
  }
});

test('life cycle of a task: pending, claimed, lost, pending again, done, stored', () => {
  const replica = new Replica(8192);
  replica.applyListed(job(1));
  const live = new LiveJob(
    replica.jobs.get('wk-000001')!,
    { kind: 'chunks', tasksPerUnit: replica.tasksPerChunk },
    0,
    5,
  );
  assert.deepEqual(live.pendingTasks(0, 9), [0, 1]);
  const attempt = makeAttempt(
    { job: 'wk-000001', index: 0, number: live.nextNumber(0, 50), machine: 'm' },
    'claiming',
    0,
  );
  live.taskClaimed(attempt);
  assert.deepEqual(live.pendingTasks(0, 9), [1]);
  attempt.state = 'gone';
  live.removeAttempt(attempt);
  assert.deepEqual(live.pendingTasks(0, 9), [0, 1]);
  assert.equal(live.nextNumber(0, 50), 51, 'attempt numbers are never reused');
  live.delayRetry(0, 0, { initialS: 1, maxS: 10, forgetAfterS: 100 });
  assert.deepEqual(live.pendingTasks(0.5, 9), [1], 'not immediately after a failure');
  assert.deepEqual(live.pendingTasks(2, 9), [0, 1]);
  live.markDone(0, 3);
  live.unstoredEnds.push(attempt);
  const fresh = live.progress.unstoredTasks(0);
  live.markDone(1, 3);
  assert.deepEqual(
    live.tasksStored(0, fresh, 4),
    [attempt],
    'confirmed by the record that contains its task',
  );
  assert.ok(live.progress.dirty.has(0), 'tasks done in the meantime are written next');
  assert.ok(live.isFinished);
});

test('finished jobs are compacted to their outcome, which does not change', () => {
  const claim = (revision: number, n: number) =>
    put(
      records.machineKey('host-1'),
      records.encodeMachine({
        owner: 'n', term: 1, addr: 'a', type: 'g8', zone: 'z1', spot: false, returning: false,
        claims: Array.from({ length: n }, (_, index) => ({ job: 'wk-000001', index, attempt: 1 })),
        images: [],
      }),
      revision,
    ); // prettier-ignore
  // Changes, time before which accepted jobs are compacted (this one: 5 ms), outcome, whether it is compacted.
  const cases: [string, ReturnType<typeof put>[], number, string, boolean][] = [
    ['open', [job(1)], 10, 'open', false],
    ['done', [job(1), done(2)], 10, 'done', true],
    ['cancelled', [job(1), cancel(2)], 10, 'cancelled', true],
    ['accepted too recently', [job(1), done(2)], 5, 'done', false],
    ['still claimed by a machine record', [job(1), cancel(2), claim(3, 1)], 10, 'cancelled', false],
    ['no longer claimed', [job(1), claim(2, 2), cancel(3), claim(4, 0)], 10, 'cancelled', true],
  ];
  for (const [name, changes, before, out, trimmed] of cases) {
    const replica = new Replica(8192);
    replica.advance(9, changes);
    replica.compactFinished(before);
    const storedJob = replica.jobs.get('wk-000001')!;
    assert.equal(specOf(storedJob) === null, trimmed, name);
    assert.equal(storedJob.spec.tasks, 2, name);
    // Late or repeated changes have no effect.
    replica.advance(12, [job(10), cancel(11), done(12)]);
    if (out !== 'open') assert.equal(outcome(storedJob), out, name);
  }
});
