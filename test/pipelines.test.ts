/** Dependencies between jobs: the same state, whether the store's changes are listed or streamed. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { DownstreamPaths } from '../src/pipelines/downstream-path.js';
import { outcome, type StoredJob } from '../src/store/stored-job.js';
import type { JobSpec } from '../src/jobs/types.js';
import * as records from '../src/store/records.js';
import { Replica } from '../src/store/replica.js';
import type { Change } from '../src/wire/key-value-store.js';
import { spec } from './helpers.js';

type Put = Extract<Change, { kind: 'put' }>;

const idOf = (i: number): string => `wk-${i}`;
const roundTrip = (value: unknown): unknown => JSON.parse(JSON.stringify(value));

/** A change of one of the jobs, in the order of the store. */
type Step =
  | { what: 'accept'; job: number; dependencies: number[] }
  | { what: 'cancel'; job: number }
  | { what: 'done'; job: number };

/** Expected state of a job, for a simple and slow reference implementation. */
interface Expected {
  acceptedAt: number;
  cancelledAt: number;
  doneAt: number;
  dependencies: number[];
}

class Reference {
  readonly jobs = new Map<number, Expected>();

  /** When the job was cancelled, itself or through a dependency; Infinity: never. */
  cancelledAt(job: number): number {
    const { acceptedAt, cancelledAt, dependencies } = this.jobs.get(job)!;
    const needed = dependencies.filter((id) => this.outcome(id) === 'cancelled');
    return Math.min(cancelledAt, ...needed.map((id) => Math.max(this.cancelledAt(id), acceptedAt)));
  }

  /** The outcome of the job. */
  outcome(job: number): string {
    const { doneAt } = this.jobs.get(job)!;
    const cancelledAt = this.cancelledAt(job);
    if (cancelledAt < doneAt) return 'cancelled';
    return doneAt < Infinity ? 'done' : 'open';
  }

  /** Revision from which its tasks may start; null: they may not. */
  readyAt(job: number): number | null {
    const { acceptedAt, dependencies } = this.jobs.get(job)!;
    if (!dependencies.every((id) => this.outcome(id) === 'done')) return null;
    const ready = Math.max(acceptedAt, ...dependencies.map((id) => this.jobs.get(id)!.doneAt));
    return this.cancelledAt(job) < ready ? null : ready;
  }
}

/** Applies the steps that are possible; returns the store's changes and the expected state. */
function applySteps(steps: Step[]): { changes: Put[]; reference: Reference } {
  const reference = new Reference();
  const changes: Put[] = [];
  const put = (key: string, value: unknown): void => {
    changes.push({ kind: 'put', key, value: roundTrip(value), revision: changes.length + 1 });
  };
  for (const step of steps) {
    const known = reference.jobs.get(step.job);
    const now = changes.length + 1;
    if (step.what === 'accept') {
      // A second acceptance, as by two controllers at the same time: the same job, and the older one counts.
      const dependencies =
        known?.dependencies ??
        step.dependencies.filter((id) => reference.jobs.has(id) && id !== step.job);
      if (known === undefined) {
        const never = Infinity;
        const job = { acceptedAt: now, cancelledAt: never, doneAt: never, dependencies };
        reference.jobs.set(step.job, job);
      }
      const accepted = {
        spec: spec({ id: idOf(step.job), dependencies: dependencies.map(idOf) }),
        acceptedAtMs: now,
      };
      const prefix = dependencies.length > 0 ? records.DEPENDENT_JOBS : records.JOBS;
      // Writers' names are in no order: a listing may contain the later of two acceptances first.
      const key = `${prefix}${(now * 7) % 10}-${now}`;
      put(key, records.encodeRequestBatch({ jobs: [accepted], cancelledIds: [] }));
    } else if (known === undefined) continue;
    else if (step.what === 'cancel') {
      known.cancelledAt = Math.min(known.cancelledAt, now);
      put(`${records.JOBS}c-${now}`, { s: [], c: [idOf(step.job)] });
    } else if (reference.readyAt(step.job) !== null && known.doneAt === Infinity) {
      known.doneAt = now;
      const value = records.encodeProgress({ bits: null, attainedS: 1, doneMs: now });
      put(records.progressKey(idOf(step.job), 0), value);
    }
  }
  return { changes, reference };
}

const JOBS = 8;
const job = fc.nat(JOBS - 1);
const steps = fc.array(
  fc.oneof(
    { weight: 4, arbitrary: fc.record({ what: fc.constant('accept' as const), job, dependencies: fc.uniqueArray(job, { maxLength: 4 }) }) },
    { weight: 1, arbitrary: fc.record({ what: fc.constant('cancel' as const), job }) },
    { weight: 4, arbitrary: fc.record({ what: fc.constant('done' as const), job }) },
  ),
  // Long sequences: jobs depend on one another, end and are cancelled only after some steps.
  { minLength: 30, maxLength: 60, size: 'max' },
); // prettier-ignore

/** A replica with the events that it has reported for each job. */
function replica(): { replica: Replica; ready: string[]; cancelled: Set<string> } {
  const made = { replica: new Replica(8192), ready: [] as string[], cancelled: new Set<string>() };
  made.replica.listener = {
    onReady: (storedJob) => made.ready.push(storedJob.spec.id),
    onCancelled: (storedJob) => made.cancelled.add(storedJob.spec.id),
  };
  return made;
}

function streamed(changes: Put[]): ReturnType<typeof replica> {
  const made = replica();
  for (const change of changes) made.replica.advance(change.revision, [change]);
  return made;
}

/** Sorts keys by a hash of the key and `salt`, or alphabetically if `salt` is 0. */
function order(keys: string[], salt: number): string[] {
  const rank = (key: string): number =>
    [...key].reduce((sum, letter) => (sum * 31 + letter.charCodeAt(0) * salt) % 65_521, salt);
  return [...keys].sort((a, b) => (salt === 0 ? 0 : rank(a) - rank(b)) || (a < b ? -1 : 1));
}

/** Lists the state after `listedUpTo` changes in the order given by `salt`, and streams the other changes. */
function listed(changes: Put[], listedUpTo: number, salt = 0): ReturnType<typeof replica> {
  const made = replica();
  const latest = new Map<string, Put>();
  for (const change of changes.slice(0, listedUpTo)) latest.set(change.key, change);
  for (const key of order([...latest.keys()], salt)) made.replica.applyListed(latest.get(key)!);
  made.replica.applied = listedUpTo;
  made.replica.listingComplete();
  for (const change of changes.slice(listedUpTo)) made.replica.advance(change.revision, [change]);
  return made;
}

function observedState(storedJob: StoredJob): object {
  const {
    acceptedRevision: acceptedAt,
    cancelledRevision: cancelledAt,
    cancelledByDependency,
    readyRevision: readyAt,
    readyMs,
  } = storedJob;
  const cancelled =
    outcome(storedJob) === 'cancelled' ? { cancelledAt, cancelledByDependency } : {};
  return { outcome: outcome(storedJob), acceptedAt, readyAt, readyMs, ...cancelled };
}

test('waiting, ready and cancelled follow from the store alone, listed or streamed, as in the reference', () => {
  fc.assert(
    fc.property(steps, fc.nat(60), fc.nat(1000), (history, cut, salt) => {
      const { changes, reference } = applySteps(history);
      const live = streamed(changes);
      const all = changes.length;
      const copies = [live, listed(changes, all), listed(changes, all, salt), listed(changes, Math.min(cut, all))];
      for (const made of copies) {
        assert.deepEqual([...made.ready].sort(), [...new Set(made.ready)].sort(), 'reported once');
        for (const id of made.ready) assert.notEqual(made.replica.jobs.get(id)!.readyRevision, null);
        for (const [number, expected] of reference.jobs) {
          const storedJob = made.replica.jobs.get(idOf(number))!;
          assert.equal(outcome(storedJob), reference.outcome(number));
          assert.equal(storedJob.readyRevision, reference.readyAt(number));
          assert.equal(storedJob.acceptedRevision, expected.acceptedAt);
          if (reference.outcome(number) === 'cancelled') {
            assert.equal(storedJob.cancelledRevision, reference.cancelledAt(number));
          }
          assert.deepEqual(observedState(storedJob), observedState(live.replica.jobs.get(idOf(number))!));
        }
      }
    }),
    { numRuns: 500 },
  ); // prettier-ignore
});

test('each job is reported as ready once, never too early, and never if it was cancelled first', () => {
  fc.assert(
    fc.property(steps, (history) => {
      const { changes, reference } = applySteps(history);
      const { ready, cancelled, replica: copy } = streamed(changes);
      const wanted = [...reference.jobs.keys()].filter((id) => reference.readyAt(id) !== null);
      assert.deepEqual([...ready].sort(), wanted.map(idOf).sort());
      for (const storedJob of copy.jobs.values()) {
        if (outcome(storedJob) === 'cancelled') assert.ok(cancelled.has(storedJob.spec.id));
      }
    }),
    { numRuns: 300 },
  );
});

const accept = (job: Partial<JobSpec>, revision: number, prefix = records.DEPENDENT_JOBS): Put => ({
  kind: 'put',
  key: `${prefix}a-${revision}`,
  value: roundTrip(
    records.encodeRequestBatch({ jobs: [{ spec: spec(job), acceptedAtMs: 0 }], cancelledIds: [] }),
  ),
  revision,
});
const cancel = (id: string, revision: number): Put => ({
  kind: 'put',
  key: `${records.JOBS}c-${revision}`,
  value: { s: [], c: [id] },
  revision,
});

test('one change cancels a chain of thousands of jobs, or thousands that wait for one, at once', () => {
  const many = 20_000;
  const shapes: [string, (i: number) => string][] = [
    ['a chain', (i) => idOf(i - 1)],
    ['all wait for one', () => idOf(0)],
  ];
  for (const [name, needs] of shapes) {
    const changes = [accept({ id: idOf(0) }, 1, records.JOBS)];
    for (let i = 1; i <= many; i++)
      changes.push(accept({ id: idOf(i), dependencies: [needs(i)] }, i + 1));
    const { replica: copy, cancelled } = streamed(changes);
    const downstreamPaths = new DownstreamPaths(copy.dependencies);
    assert.equal(
      downstreamPaths.of(copy.jobs.get(idOf(0))!).depth,
      name === 'a chain' ? many : 1,
      name,
    );
    copy.advance(many + 2, [cancel(idOf(0), many + 2)]);
    assert.equal(cancelled.size, many + 1, name);
    assert.ok(
      [...copy.jobs.values()].every((storedJob) => outcome(storedJob) === 'cancelled'),
      name,
    );
    const again = listed([...changes, cancel(idOf(0), many + 2)], many + 2);
    assert.ok(
      [...again.replica.jobs.values()].every((storedJob) => outcome(storedJob) === 'cancelled'),
      name,
    );
  }
});

test('the downstream path of a job: priority, work, the longest path, and the latest end', () => {
  const { replica: copy } = streamed([
    accept({ id: 'wk-1', priority: 3, estimateS: 15, tasks: 4 }, 1, records.JOBS),
    accept({ id: 'wk-2', priority: 3, estimateS: 25, tasks: 10, dependencies: ['wk-1'] }, 2),
    accept({ id: 'wk-3', priority: 2, estimateS: 20, tasks: 3, kind: 'gang', dependencies: ['wk-1'] }, 3),
    accept({ id: 'wk-4', priority: 1, estimateS: 8, tasks: 3, deadlineS: 100, dependencies: ['wk-2', 'wk-3'] }, 4),
  ]); // prettier-ignore
  const downstreamPaths = new DownstreamPaths(copy.dependencies);
  const of = (id: string): object => downstreamPaths.of(copy.jobs.get(id)!);
  assert.deepEqual(of('wk-1'), {
    priority: 1, longestPathS: 33, depth: 2, latestEndMs: 67_000,
    successors: [{ workS: 250, depth: 1 }, { workS: 20, depth: 1 }],
  }); // prettier-ignore
  assert.deepEqual(of('wk-2'), {
    priority: 1, longestPathS: 8, depth: 1, latestEndMs: 92_000, successors: [{ workS: 24, depth: 0 }],
  }); // prettier-ignore
  // A dependent is added late, or cancelled: the paths of the jobs that it depends on are computed again.
  copy.advance(5, [accept({ id: 'wk-5', priority: 0, estimateS: 1, dependencies: ['wk-3'] }, 5)]);
  assert.equal(downstreamPaths.of(copy.jobs.get('wk-1')!).priority, 0);
  copy.advance(6, [cancel('wk-5', 6)]);
  assert.equal(downstreamPaths.of(copy.jobs.get('wk-1')!).priority, 1);
  copy.advance(7, [cancel('wk-4', 7)]);
  assert.equal(downstreamPaths.of(copy.jobs.get('wk-1')!).priority, 2);
});

test('jobs that ended long ago and were compacted still count for their dependents', () => {
  const progress = (id: string, revision: number): Put => ({
    kind: 'put',
    key: records.progressKey(id, 0),
    value: roundTrip(records.encodeProgress({ bits: null, attainedS: 1 })),
    revision,
  });
  const { replica: copy, ready } = streamed([
    accept({ id: 'wk-1' }, 1, records.JOBS),
    accept({ id: 'wk-2' }, 2, records.JOBS),
    accept({ id: 'wk-3', kind: 'service' }, 3, records.JOBS),
    progress('wk-1', 4),
    cancel('wk-2', 5),
    cancel('wk-3', 6),
  ]);
  copy.compactFinished(1);
  copy.advance(8, [accept({ id: 'wk-4', dependencies: ['wk-1'] }, 7), accept({ id: 'wk-5', dependencies: ['wk-1', 'wk-2'] }, 8)]); // prettier-ignore
  assert.equal(ready.at(-1), 'wk-4');
  assert.equal(outcome(copy.jobs.get('wk-5')!), 'cancelled');
  assert.equal(copy.jobs.get('wk-5')!.readyRevision, null);
  assert.equal(
    copy.jobs.get('wk-3')!.spec.kind,
    'service',
    'a compacted service is still known as a service',
  );
});
