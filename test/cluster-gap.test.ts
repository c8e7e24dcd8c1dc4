import assert from 'node:assert/strict';
import { test } from 'node:test';
import { until, wait } from './helpers.js';
import { runScenarios, type Cluster, type ScenarioRow } from './standins/cluster.js';

const LEASE_S = 2;
const CANCEL_S = 5.2;
/** How much longer than `CANCEL_S` the outage of the key-value store lasts, in seconds. */
const OUTAGE_EXCESS_S = 0.8;
/** Seconds for which a user repeats a cancellation that is not confirmed. */
const CONFIRM_TIMEOUT_S = 0.7;

interface GapRow extends ScenarioRow {
  /** Time from the refusal of the leader to the cancellation, and from its confirmation to the outage. */
  beforeS: number;
  gapS: number;
  /** The controller that confirmed the cancellation stops directly after that. */
  confirmingEnds?: boolean;
  /** Links between all controllers are cut from the cancellation until this time after the begin of the outage. */
  linksCutS?: number;
  /** The third controller's watch is delayed, so that it does not read the cancellation. */
  thirdLags?: boolean;
  /** Machines reach only the old leader. */
  onlyOldLeader?: boolean;
}

async function confirmsCancellation(cluster: Cluster, at: number, ref: string): Promise<boolean> {
  const end = Date.now() + CONFIRM_TIMEOUT_S * 1000;
  while (Date.now() < end) {
    if ((await cluster.users.cancelOnce(at, ref)).state === 'cancelled') return true;
    await wait(20);
  }
  return false;
}

test('cancelled tasks end in time: the leader is refused, another controller confirms, an outage follows', async () => {
  const rows: GapRow[] = [
    { name: 'at once', beforeS: 0, gapS: 0 },
    { name: 'at once, machines with the old leader', beforeS: 0, gapS: 0, onlyOldLeader: true },
    { name: 'soon, machines with the old leader', beforeS: 0.1, gapS: 0.1, onlyOldLeader: true },
    { name: 'while another is elected', beforeS: 0.6, gapS: 0.05, onlyOldLeader: true },
    { name: 'after another was elected', beforeS: 1.6, gapS: 0.1, onlyOldLeader: true },
    { name: 'long after', beforeS: 1.6, gapS: 0.8, onlyOldLeader: true },
    { name: 'links cut', beforeS: 0, gapS: 0, onlyOldLeader: true, linksCutS: 9 },
    { name: 'links cut for a while', beforeS: 0, gapS: 0, onlyOldLeader: true, linksCutS: 0.6 },
    { name: 'the third lags', beforeS: 0.1, gapS: 0, onlyOldLeader: true, thirdLags: true },
  ]; // prettier-ignore
  await runScenarios(rows, { leaseS: LEASE_S, cancelS: CANCEL_S }, playGap);
});

async function playGap(cluster: Cluster, row: GapRow): Promise<void> {
  const { users, store } = cluster;
  const ref = 'wk-000001';
  await users.submit(0, ref, { form: 'daemon', pieces: 3 });
  await cluster.waitForRunning(ref, 3);
  const old = await cluster.waitForLeader();
  const confirming = (old + 1) % 3;
  for (const worker of row.onlyOldLeader === true ? cluster.workers : []) {
    for (const at of cluster.indexes) if (at !== old) worker.unreachable.add(at);
  }
  cluster.storeAccess[old]!.refuses = true;
  await wait(row.beforeS * 1000);
  cluster.storeAccess[(old + 2) % 3]!.holdsWatches = row.thirdLags === true;
  if (row.linksCutS !== undefined) cluster.cutLinks(true, ...cluster.indexes);
  const confirmed = await confirmsCancellation(cluster, confirming, ref);
  // Without links it need not be confirmed; if it is, the tasks must end in time.
  if (row.linksCutS === undefined) assert.ok(confirmed, 'confirmed');
  if (row.confirmingEnds === true) cluster.stopController(confirming);
  await wait(row.gapS * 1000);
  store.down = true;
  const linksRestoredS = Math.min(row.linksCutS ?? 0, CANCEL_S + OUTAGE_EXCESS_S);
  await wait(linksRestoredS * 1000);
  cluster.cutLinks(false, ...cluster.indexes);
  await wait((CANCEL_S + OUTAGE_EXCESS_S - linksRestoredS) * 1000);
  cluster.assertRules();

  store.down = false;
  for (const access of cluster.storeAccess) access.refuses = access.holdsWatches = false;
  for (const worker of cluster.workers) worker.unreachable.clear();
  await cluster.waitForLeader();
  await users.cancel(old, ref);
  await cluster.waitForGone(ref);
}

test('cancelled tasks end in time: the controller that confirmed stops, an outage follows', async () => {
  const rows: GapRow[] = [
    { name: 'at once', beforeS: 0, gapS: 0, onlyOldLeader: true, confirmingEnds: true },
    { name: 'later', beforeS: 0.1, gapS: 0.1, onlyOldLeader: true, confirmingEnds: true },
    { name: 'as the new leader', beforeS: 1.6, gapS: 0, onlyOldLeader: true, confirmingEnds: true },
    {
      name: 'links cut',
      beforeS: 0,
      gapS: 0,
      onlyOldLeader: true,
      linksCutS: 0.6,
      confirmingEnds: true,
    },
    {
      name: 'the third lags',
      beforeS: 0.1,
      gapS: 0,
      onlyOldLeader: true,
      thirdLags: true,
      confirmingEnds: true,
    },
  ];
  await runScenarios(rows, { leaseS: LEASE_S, cancelS: CANCEL_S }, playGap);
});

test('cancelled tasks end in time: the leader, but not its machines, is refused and cut off from the others', async () => {
  const rows = [
    { name: 'through the new leader', wait: 2 },
    { name: 'at once', wait: 0 },
  ];
  await runScenarios(rows, { leaseS: LEASE_S, cancelS: CANCEL_S }, async (cluster, row) => {
    const ref = 'wk-000001';
    await cluster.users.submit(0, ref, { form: 'daemon', pieces: 3 });
    await cluster.waitForRunning(ref, 3);
    const old = await cluster.waitForLeader();
    cluster.cutLinks(true, old);
    cluster.storeAccess[old]!.refuses = true;
    for (const worker of cluster.workers) {
      for (const at of cluster.indexes) if (at !== old) worker.unreachable.add(at);
    }
    await wait(row.wait * 1000);
    await cluster.users.cancel((old + 1) % 3, ref);
    await wait((CANCEL_S + OUTAGE_EXCESS_S) * 1000);
    assert.equal(cluster.tasks(ref).length, 0);
    cluster.cutLinks(false, old);
    cluster.storeAccess[old]!.refuses = false;
    await until('the old leader knows of the cancellation', async () => {
      return (await cluster.users.poll(old, ref)).state === 'cancelled';
    });
  });
});
