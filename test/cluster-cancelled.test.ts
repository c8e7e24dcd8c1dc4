import assert from 'node:assert/strict';
import { test } from 'node:test';
import { wait } from './helpers.js';
import { runScenarios, type Cluster, type ScenarioRow } from './standins/cluster.js';

const LEASE_S = 3;
const LONG_RUN_S = 60;

// One-task jobs

const JOBS = 24;
const GAP_MS = 250;
/** The leader ends before this job is submitted. */
const LEADER_ENDS_AT_JOB = 10;

interface StreamRow extends ScenarioRow {
  /** Number of jobs after which the former leader restarts. */
  returnsAfterJobs: number;
}

const jobIdOf = (i: number): string => `wk-0001${String(i).padStart(2, '0')}`;
const isCancelled = (i: number): boolean => i % 4 === 0;

/** Submits a job. If it is to be cancelled, cancels it at once, or after it has had time to start. */
async function runSmallJob(cluster: Cluster, i: number): Promise<void> {
  const { users } = cluster;
  const at = cluster.indexes.filter((index) => cluster.controllers[index] !== null);
  const ask = (k: number): number => at[k % at.length]!;
  await users.submit(ask(i), jobIdOf(i), {}, isCancelled(i) ? LONG_RUN_S : 0.3);
  if (!isCancelled(i)) return;
  if (i % 8 === 0) await wait(GAP_MS * 2);
  await users.cancel(ask(i + 1), jobIdOf(i));
}

// Without a correct handover between leaders, a job may be lost, run twice, or started although it was cancelled.
test('four one-task jobs a second, a quarter cancelled, and a change of leader: each job ends once', async () => {
  const rows: StreamRow[] = [
    { name: 'the old leader returns at once', returnsAfterJobs: 1 },
    { name: 'the old leader returns later', returnsAfterJobs: 8 },
  ];
  await runScenarios(rows, { leaseS: LEASE_S }, async (cluster, row) => {
    const played: Promise<void>[] = [];
    let old = -1;
    for (let i = 0; i < JOBS; i++) {
      if (i === LEADER_ENDS_AT_JOB) old = await cluster.stopLeader();
      if (i === LEADER_ENDS_AT_JOB + row.returnsAfterJobs) await cluster.startController(old);
      played.push(runSmallJob(cluster, i));
      await wait(GAP_MS);
    }
    await Promise.all(played);
    for (let i = 0; i < JOBS; i++) await assertEndedOnce(cluster, i);
  });
});

async function assertEndedOnce(cluster: Cluster, i: number): Promise<void> {
  const ref = jobIdOf(i);
  const final = isCancelled(i) ? 'cancelled' : 'done';
  for (const at of cluster.indexes) await cluster.users.waitForState(at, ref, final);
  await cluster.waitForGone(ref);
  if (!isCancelled(i)) assert.equal(cluster.rules.starts.get(`${ref}/0`), 1, `starts of ${ref}`);
}

// Machines that hang

const SERVICES = ['wk-000001', 'wk-000002', 'wk-000003', 'wk-000004'];
const NOT_CANCELLED = 'wk-000005';

interface HangRow extends ScenarioRow {
  /** Duration of the hang, in leases. */
  durationLeases: number;
  /** Commands sent meanwhile are lost, instead of being held back until the machines resume. */
  commandsLost?: boolean;
  /** Whether the leader ends before or after the cancellations. */
  leaderEnds?: 'before' | 'after';
}

// A machine that hangs gets no commands: when it resumes, the leader at that time has to send the stops.
test('several jobs are cancelled at once while their machines hang: their tasks do not continue', async () => {
  const rows: HangRow[] = [
    { name: 'for a moment', durationLeases: 0.4 },
    { name: 'for a moment, commands are lost', durationLeases: 0.4, commandsLost: true },
    { name: 'for a moment, the leader ends before', durationLeases: 0.4, leaderEnds: 'before' },
    { name: 'for a moment, the leader ends after', durationLeases: 0.4, leaderEnds: 'after' },
    { name: 'for long, the leader ends before', durationLeases: 1.5, leaderEnds: 'before' },
    { name: 'for long, the leader ends after', durationLeases: 1.5, leaderEnds: 'after' },
  ];
  await runScenarios(rows, { leaseS: LEASE_S }, runHang);
});

async function runHang(cluster: Cluster, row: HangRow): Promise<void> {
  const { users } = cluster;
  for (const ref of [...SERVICES, NOT_CANCELLED])
    await users.submit(0, ref, { form: 'daemon', pieces: 2 });
  for (const ref of [...SERVICES, NOT_CANCELLED]) await cluster.waitForRunning(ref, 2);
  const old = await cluster.waitForLeader();

  for (const worker of cluster.workers) {
    worker.inboundLost = row.commandsLost === true;
    worker.freeze();
  }
  if (row.leaderEnds === 'before') cluster.stopController(old);
  const resumed = wait(row.durationLeases * LEASE_S * 1000).then(() => {
    for (const worker of cluster.workers) {
      worker.inboundLost = false;
      worker.thaw();
    }
  });
  const others = cluster.indexes.filter((at) => at !== old);
  await Promise.all(SERVICES.map((ref, i) => users.cancel(others[i % 2]!, ref)));
  if (row.leaderEnds === 'after') cluster.stopController(old);
  await resumed;

  for (const ref of SERVICES) await cluster.waitForGone(ref);
  await cluster.waitForRunning(NOT_CANCELLED, 2);
  // The current leader starts none of them again.
  await wait(LEASE_S * 500);
  for (const ref of SERVICES) assert.equal(cluster.tasks(ref).length, 0, ref);
}
