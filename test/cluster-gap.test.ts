import assert from 'node:assert/strict';
import { test } from 'node:test';
import { until, wait } from './helpers.js';
import { playAll, type Cluster, type Row } from './standins/cluster.js';

const LEASE = 2;
const CANCEL = 5.2;
/** The key-value store is down for so much longer than a cancelled task may live. */
const BEYOND = 0.8;
/** Users that are told nothing stop asking after so long. */
const PATIENCE = 0.7;

interface Gap extends Row {
  /** From the refusal of the leader to the cancellation, and from its confirmation to the outage. */
  beforeS: number;
  gapS: number;
  /** The controller that confirmed ends right after. */
  ends?: boolean;
  /** Links between all controllers are refused from the cancellation to so long into the outage. */
  linksS?: number;
  /** The third controller's watch is slow: it does not hear of the cancellation. */
  lags?: boolean;
  /** Machines reach the old leader only. */
  only?: boolean;
}

async function cancelled(cluster: Cluster, at: number, ref: string): Promise<boolean> {
  const end = Date.now() + PATIENCE * 1000;
  while (Date.now() < end) {
    if ((await cluster.users.cancelOnce(at, ref)).state === 'cancelled') return true;
    await wait(20);
  }
  return false;
}

test('the leader is refused alone, another confirms a cancellation, then an outage: the tasks go in time', async () => {
  const rows: Gap[] = [
    { name: 'at once', beforeS: 0, gapS: 0 },
    { name: 'at once, machines with the old leader', beforeS: 0, gapS: 0, only: true },
    { name: 'soon, machines with the old leader', beforeS: 0.1, gapS: 0.1, only: true },
    { name: 'while another is elected', beforeS: 0.6, gapS: 0.05, only: true },
    { name: 'after another was elected', beforeS: 1.6, gapS: 0.1, only: true },
    { name: 'long after', beforeS: 1.6, gapS: 0.8, only: true },
    { name: 'links refused', beforeS: 0, gapS: 0, only: true, linksS: 9 },
    { name: 'links refused for a while', beforeS: 0, gapS: 0, only: true, linksS: 0.6 },
    { name: 'the third lags', beforeS: 0.1, gapS: 0, only: true, lags: true },
  ]; // prettier-ignore
  await playAll(rows, { leaseS: LEASE, cancelS: CANCEL }, playGap);
});

async function playGap(cluster: Cluster, row: Gap): Promise<void> {
  const { users, state } = cluster;
  const ref = 'wk-000001';
  await users.submit(0, ref, { form: 'daemon', pieces: 3 });
  await cluster.runs(ref, 3);
  const old = await cluster.newLeader();
  const confirming = (old + 1) % 3;
  for (const worker of row.only === true ? cluster.workers : []) {
    for (const at of cluster.indexes) if (at !== old) worker.unreachable.add(at);
  }
  cluster.access[old]!.refuses = true;
  await wait(row.beforeS * 1000);
  cluster.access[(old + 2) % 3]!.holdsWatches = row.lags === true;
  if (row.linksS !== undefined) cluster.cutLinks(true, ...cluster.indexes);
  const confirmed = await cancelled(cluster, confirming, ref);
  // Without links it may be refused; it is never confirmed and then not held to.
  if (row.linksS === undefined) assert.ok(confirmed, 'confirmed');
  if (row.ends === true) cluster.stopController(confirming);
  await wait(row.gapS * 1000);
  state.down = true;
  const restoredS = Math.min(row.linksS ?? 0, CANCEL + BEYOND);
  await wait(restoredS * 1000);
  cluster.cutLinks(false, ...cluster.indexes);
  await wait((CANCEL + BEYOND - restoredS) * 1000);
  cluster.assertRules();

  state.down = false;
  for (const access of cluster.access) access.refuses = access.holdsWatches = false;
  for (const worker of cluster.workers) worker.unreachable.clear();
  await cluster.newLeader();
  await users.cancel(old, ref);
  await cluster.gone(ref);
}

test('the controller that confirmed a cancellation ends, then an outage: the tasks go in time', async () => {
  const rows: Gap[] = [
    { name: 'at once', beforeS: 0, gapS: 0, only: true, ends: true },
    { name: 'later', beforeS: 0.1, gapS: 0.1, only: true, ends: true },
    { name: 'as the new leader', beforeS: 1.6, gapS: 0, only: true, ends: true },
    { name: 'links refused', beforeS: 0, gapS: 0, only: true, linksS: 0.6, ends: true },
    { name: 'the third lags', beforeS: 0.1, gapS: 0, only: true, lags: true, ends: true },
  ];
  await playAll(rows, { leaseS: LEASE, cancelS: CANCEL }, playGap);
});

test('one cancels while the leader is refused and cut off from the others, its machines are not', async () => {
  const rows = [
    { name: 'through the new leader', wait: 2 },
    { name: 'at once', wait: 0 },
  ];
  await playAll(rows, { leaseS: LEASE, cancelS: CANCEL }, async (cluster, row) => {
    const ref = 'wk-000001';
    await cluster.users.submit(0, ref, { form: 'daemon', pieces: 3 });
    await cluster.runs(ref, 3);
    const old = await cluster.newLeader();
    cluster.cutLinks(true, old);
    cluster.access[old]!.refuses = true;
    for (const worker of cluster.workers) {
      for (const at of cluster.indexes) if (at !== old) worker.unreachable.add(at);
    }
    await wait(row.wait * 1000);
    await cluster.users.cancel((old + 1) % 3, ref);
    await wait((CANCEL + BEYOND) * 1000);
    assert.equal(cluster.tasks(ref).length, 0);
    cluster.cutLinks(false, old);
    cluster.access[old]!.refuses = false;
    await until('heard again', async () => {
      return (await cluster.users.poll(old, ref)).state === 'cancelled';
    });
  });
});
