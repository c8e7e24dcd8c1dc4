import assert from 'node:assert/strict';
import { test } from 'node:test';
import { TEAMS_GPUS_MAX, wait } from './helpers.js';
import { runScenarios, type Cluster, type ScenarioRow } from './standins/cluster.js';
import { inboundLoss, freeze, heartbeatLoss, type MachineFault } from './standins/worker.js';

const LEASE_S = 2;

const CANCELLED_JOB = 'wk-000001';
const RUNNING_JOB = 'wk-000002';
const WAITING_JOB = 'wk-000003';

interface FaultCase extends ScenarioRow, MachineFault {
  /** Duration from the leader's end, in leases. */
  forLeases: number;
  /** The job is cancelled before the leader ends, or while there is none. */
  cancelled: 'before' | 'after';
}

// Cancelled tasks on a machine without contact count against their team's limit until they are provably gone.
test('a team stays within its limit when a machine is cut off or hangs, a job is cancelled and the leader ends', async () => {
  const rows: FaultCase[] = [
    { name: 'mute, cancelled before', ...heartbeatLoss, forLeases: 2, cancelled: 'before' },
    { name: 'deaf, cancelled before', ...inboundLoss, forLeases: 2, cancelled: 'before' },
    { name: 'hanging, cancelled before', ...freeze, forLeases: 2, cancelled: 'before' },
    { name: 'mute, cancelled after', ...heartbeatLoss, forLeases: 2, cancelled: 'after' },
    { name: 'deaf, cancelled after', ...inboundLoss, forLeases: 2, cancelled: 'after' },
    { name: 'hanging for a moment', ...freeze, forLeases: 0.4, cancelled: 'after' },
  ];
  await runScenarios(rows, { leaseS: LEASE_S }, runFaultCase);
});

async function runFaultCase(cluster: Cluster, row: FaultCase): Promise<void> {
  const { users } = cluster;
  const half = TEAMS_GPUS_MAX / 2;
  for (const ref of [CANCELLED_JOB, RUNNING_JOB]) {
    await users.submit(0, ref, { form: 'daemon', pieces: half });
    await cluster.waitForRunning(ref, half);
  }
  const old = await cluster.waitForLeader();
  const other = (old + 1) % 3;
  await users.submit(other, WAITING_JOB, { pieces: TEAMS_GPUS_MAX });
  const host = cluster.hosts(CANCELLED_JOB)[0]!;

  row.begin(host);
  if (row.cancelled === 'before') await users.cancel(other, CANCELLED_JOB);
  cluster.stopController(old);
  if (row.cancelled === 'after') await users.cancel(other, CANCELLED_JOB);
  await wait(row.forLeases * LEASE_S * 1000);
  row.end(host);

  await users.waitForState(other, WAITING_JOB, 'done');
  assert.equal(cluster.tasks(CANCELLED_JOB).length, 0, 'cancelled tasks');
  await cluster.waitForRunning(RUNNING_JOB, half);
}
