import assert from 'node:assert/strict';
import { test } from 'node:test';
import { wait } from './helpers.js';
import { playAll, type Cluster, type Row } from './standins/cluster.js';

const LEASE = 3;
const LONG_S = 60;

// Small jobs

const JOBS = 24;
const GAP_MS = 250;
/** The leader ends before this job is submitted. */
const ENDS_AT = 10;

interface Stream extends Row {
  /** Jobs after which the controller that led returns. */
  returnsAfter: number;
}

const refOf = (i: number): string => `wk-0001${String(i).padStart(2, '0')}`;
const isCancelled = (i: number): boolean => i % 4 === 0;

/** Called off at once, or when it has had the time to start. */
async function playSmallJob(cluster: Cluster, i: number): Promise<void> {
  const { users } = cluster;
  const at = cluster.indexes.filter((index) => cluster.controllers[index] !== null);
  const ask = (k: number): number => at[k % at.length]!;
  await users.submit(ask(i), refOf(i), {}, isCancelled(i) ? LONG_S : 0.3);
  if (!isCancelled(i)) return;
  if (i % 8 === 0) await wait(GAP_MS * 2);
  await users.cancel(ask(i + 1), refOf(i));
}

// A job that falls between two leaders is forgotten, done again, or started though it was cancelled.
test('one-task jobs come four a second, a quarter is cancelled, the leader changes: each ends once', async () => {
  const rows: Stream[] = [
    { name: 'the old leader returns at once', returnsAfter: 1 },
    { name: 'the old leader returns later', returnsAfter: 8 },
  ];
  await playAll(rows, { leaseS: LEASE }, async (cluster, row) => {
    const played: Promise<void>[] = [];
    let old = -1;
    for (let i = 0; i < JOBS; i++) {
      if (i === ENDS_AT) old = await cluster.endLeader();
      if (i === ENDS_AT + row.returnsAfter) await cluster.startController(old);
      played.push(playSmallJob(cluster, i));
      await wait(GAP_MS);
    }
    await Promise.all(played);
    for (let i = 0; i < JOBS; i++) await endedOnce(cluster, i);
  });
});

async function endedOnce(cluster: Cluster, i: number): Promise<void> {
  const ref = refOf(i);
  const final = isCancelled(i) ? 'cancelled' : 'done';
  for (const at of cluster.indexes) await cluster.users.sees(at, ref, final);
  await cluster.gone(ref);
  if (!isCancelled(i)) assert.equal(cluster.rules.starts.get(`${ref}/0`), 1, `starts of ${ref}`);
}

// Machines that hang

const SERVICES = ['wk-000001', 'wk-000002', 'wk-000003', 'wk-000004'];
const KEPT = 'wk-000005';

interface Hang extends Row {
  /** In leases. */
  forLeases: number;
  /** What they are told meanwhile is lost, not held until they go on. */
  lost?: boolean;
  /** The leader ends before or after the cancellations. */
  ends?: 'before' | 'after';
}

// What hangs is told nothing: it has to be told when it goes on, by whoever leads then.
test('several jobs are cancelled at once while their machines hang: their tasks do not go on', async () => {
  const rows: Hang[] = [
    { name: 'for a moment', forLeases: 0.4 },
    { name: 'for a moment, commands are lost', forLeases: 0.4, lost: true },
    { name: 'for a moment, the leader ends before', forLeases: 0.4, ends: 'before' },
    { name: 'for a moment, the leader ends after', forLeases: 0.4, ends: 'after' },
    { name: 'for long, the leader ends before', forLeases: 1.5, ends: 'before' },
    { name: 'for long, the leader ends after', forLeases: 1.5, ends: 'after' },
  ];
  await playAll(rows, { leaseS: LEASE }, playHang);
});

async function playHang(cluster: Cluster, row: Hang): Promise<void> {
  const { users } = cluster;
  for (const ref of [...SERVICES, KEPT]) await users.submit(0, ref, { form: 'daemon', pieces: 2 });
  for (const ref of [...SERVICES, KEPT]) await cluster.runs(ref, 2);
  const old = await cluster.newLeader();

  for (const worker of cluster.workers) {
    worker.deaf = row.lost === true;
    worker.hang();
  }
  if (row.ends === 'before') cluster.stopController(old);
  const hangs = wait(row.forLeases * LEASE * 1000).then(() => {
    for (const worker of cluster.workers) {
      worker.deaf = false;
      worker.goOn();
    }
  });
  const others = cluster.indexes.filter((at) => at !== old);
  await Promise.all(SERVICES.map((ref, i) => users.cancel(others[i % 2]!, ref)));
  if (row.ends === 'after') cluster.stopController(old);
  await hangs;

  for (const ref of SERVICES) await cluster.gone(ref);
  await cluster.runs(KEPT, 2);
  // None is started again by whoever leads now.
  await wait(LEASE * 500);
  for (const ref of SERVICES) assert.equal(cluster.tasks(ref).length, 0, ref);
}
