/** Pipelines in a cluster of three controllers, with faults during and between their jobs. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import * as records from '../src/store/records.js';
import { until, wait } from './helpers.js';
import { Cluster, runScenarios, type ScenarioRow } from './standins/cluster.js';

const LEASE_S = 2;
/** Longer than the delay after which a doubled transaction is applied again. */
const TASK_S = 0.5;
const LONG_S = 60;

const FIRST = 'wk-000101';
const SECOND = 'wk-000102';
const GANG = 'wk-000103';
const LAST = 'wk-000104';
/** The jobs in the order of submission, with their dependencies. */
const STAGES: [ref: string, over: object][] = [
  [FIRST, { pieces: 3, rank: 'best_effort' }],
  [SECOND, { pieces: 5, rank: 'best_effort', awaits: [FIRST] }],
  [GANG, { pieces: 2, form: 'group', awaits: [FIRST] }],
  [LAST, { pieces: 2, rank: 'high', due_s: 60, awaits: [SECOND, GANG] }],
];

/** Indexes of the controllers that run. */
const runningControllers = ({ indexes, controllers }: Cluster): number[] =>
  indexes.filter((at) => controllers[at] !== null);

/** Submits the jobs to the controllers in turn, as a load balancer would. */
async function submitAll(cluster: Cluster, long: string[] = []): Promise<void> {
  const at = runningControllers(cluster);
  for (const [i, [ref, over]] of STAGES.entries()) {
    const runS = long.includes(ref) ? LONG_S : TASK_S;
    await cluster.users.submit(at[i % at.length]!, ref, over, runS);
  }
}

async function waitForStateEverywhere(cluster: Cluster, ref: string, state: string): Promise<void> {
  for (const at of runningControllers(cluster)) await cluster.users.waitForState(at, ref, state);
}

interface FaultRow extends ScenarioRow {
  /** The fault once the first job runs. */
  during?: (cluster: Cluster) => Promise<void>;
  /** The fault once the first job is done. */
  between?: (cluster: Cluster) => Promise<void>;
}

const stopLeader = async (cluster: Cluster): Promise<void> => void (await cluster.stopLeader());

async function outage(cluster: Cluster): Promise<void> {
  cluster.store.down = true;
  await wait(LEASE_S * 600);
  cluster.store.down = false;
}

async function loseAnswers({ store }: Cluster): Promise<void> {
  store.injectFault(records.PROGRESS, { how: 'answer_lost' }, 4);
  store.injectFault(records.MACHINES, { how: 'doubled', afterS: 0.3 }, 4);
  return Promise.resolve();
}

async function lowerLimits({ store }: Cluster): Promise<void> {
  store.limits = { valueBytes: 2048, operations: 4 };
  return Promise.resolve();
}

test('the jobs of a pipeline run in the order of their dependencies despite faults', async () => {
  const rows: FaultRow[] = [
    { name: 'no fault' },
    { name: 'the leader stops while the first job runs', during: stopLeader },
    { name: 'the leader stops when the first job is done', between: stopLeader },
    { name: 'an outage while the first job runs', during: outage },
    { name: 'an outage when the first job is done', between: outage },
    { name: 'answers of the key-value store are lost', during: loseAnswers, between: loseAnswers },
    { name: 'limits are lowered, then the leader stops', during: lowerLimits, between: stopLeader },
  ];
  const nextLimits = 'value_kb = 2.0\ntxn_ops = 4\nwrite_rps = 150.0';
  await runScenarios(
    rows,
    { leaseS: LEASE_S, nextLimits },
    async (cluster, { during, between }) => {
      await submitAll(cluster);
      await until('the first job runs', () => cluster.tasks(FIRST).length > 0);
      await during?.(cluster);
      await until(
        'the first job is done',
        () => cluster.rules.jobs.get(FIRST)!.completed.size === 3,
      );
      await between?.(cluster);
      for (const [ref] of STAGES) await waitForStateEverywhere(cluster, ref, 'done');
      assert.equal(cluster.store.tooLarge, 0, 'nothing is refused for its size');
    },
  );
});

test('each controller publishes the features of its version and reads those of the others, also after they stopped', async () => {
  const cluster = await Cluster.start({ leaseS: LEASE_S });
  const known = (at: number): boolean =>
    cluster.controllers[at]!.metrics().pipelines_known === true;
  try {
    await until('all controllers know the versions of the others', () =>
      cluster.indexes.every(known),
    );
    const entries = cluster.indexes.map((at) =>
      cluster.store.keys.get(records.versionKey(`n-${at}`)),
    );
    assert.ok(entries.every((entry) => entry !== undefined && entry.leaseId === undefined));
    // The records outlive their controllers: one that starts alone knows the versions of the others.
    for (const at of cluster.indexes) cluster.stopController(at);
    await cluster.startController(0);
    await until('controller 0 has read the version records', () => known(0));
  } finally {
    cluster.close();
  }
});

interface CancellationRow extends ScenarioRow {
  job: string;
  /** Jobs that run long enough to be running when the cancellation arrives. */
  longJobs: string[];
  /** The fault during the cancellation. */
  during?: (cluster: Cluster) => Promise<void>;
  cancelled: string[];
  done: string[];
}

test('a cancellation in the middle of a pipeline cancels all dependent jobs and no others', async () => {
  const rest = [SECOND, GANG, LAST];
  const rows: CancellationRow[] = [
    { name: 'the first job', job: FIRST, longJobs: [FIRST], cancelled: [FIRST, ...rest], done: [] },
    { name: 'one of two jobs in the middle', job: SECOND, longJobs: [SECOND], cancelled: [SECOND, LAST], done: [FIRST, GANG] },
    { name: 'the last job, while it waits', job: LAST, longJobs: [SECOND, GANG], cancelled: [LAST], done: [FIRST] },
    { name: 'the leader stops during the cancellation', job: FIRST, longJobs: [FIRST], during: stopLeader, cancelled: [FIRST, ...rest], done: [] },
    { name: 'an outage during the cancellation', job: SECOND, longJobs: [SECOND], during: outage, cancelled: [SECOND, LAST], done: [FIRST, GANG] },
  ]; // prettier-ignore
  await runScenarios(rows, { leaseS: LEASE_S }, async (cluster, row) => {
    await submitAll(cluster, row.longJobs);
    await until('the long job runs', () => cluster.tasks(row.longJobs[0]!).length > 0);
    const fault = row.during?.(cluster);
    const at = runningControllers(cluster).find((index) => index !== cluster.leader()) ?? 0;
    await cluster.users.cancel(at, row.job);
    await fault;
    for (const ref of row.cancelled) await waitForStateEverywhere(cluster, ref, 'cancelled');
    for (const ref of row.done) await waitForStateEverywhere(cluster, ref, 'done');
    for (const ref of row.cancelled) await cluster.waitForGone(ref);
    // A dependent job that is submitted afterwards is cancelled too.
    const late = 'wk-000105';
    await cluster.users.submit(at, late, { awaits: [row.cancelled.at(-1)!] });
    await waitForStateEverywhere(cluster, late, 'cancelled');
    assert.equal(cluster.rules.starts.get(`${late}/0`), undefined);
  });
});
