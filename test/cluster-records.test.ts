import assert from 'node:assert/strict';
import { test } from 'node:test';
import { MACHINES } from '../src/store/records.js';
import { until, wait } from './helpers.js';
import { MACHINE_GPUS } from './standins/cloud.js';
import { playAll, type Cluster, type Row } from './standins/cluster.js';
import type { Fate } from './standins/state.js';
import type { Worker } from './standins/worker.js';

/**
 * The next leader needs about half a lease until it acts. Machines whose heartbeats are not answered meanwhile must not
 * lose their leases.
 */
const LEASE_S = 3;

const FILLER_JOB = 'wk-000011';
const JOB = 'wk-000012';
const LATER_JOB = 'wk-000013';
const TASKS = 3;

/** Fills one machine, so that the next job needs another one. */
async function fillFirstMachine(cluster: Cluster): Promise<Worker> {
  cluster.cloud.bootMs = 20;
  await cluster.users.submit(0, FILLER_JOB, { form: 'daemon', gpus: MACHINE_GPUS });
  await cluster.runs(FILLER_JOB, 1);
  return cluster.hosts(FILLER_JOB)[0]!;
}

/** Ends the leader while only the first machine's heartbeats arrive, and frees the capacity of that machine. */
async function changeLeader(cluster: Cluster, first: Worker): Promise<void> {
  for (const worker of cluster.workers) worker.mute = worker !== first;
  const old = await cluster.endLeader();
  cluster.state.settle();
  await cluster.users.cancel((old + 1) % 3, FILLER_JOB);
  await cluster.newLeader(old);
  await wait(LEASE_S * 250);
  for (const worker of cluster.workers) worker.mute = false;
}

// The next leader does not know of a task that started before its claim was stored, and starts it elsewhere.
test('new machines get tasks while their records are stored late, and the leader ends: no task runs twice', async () => {
  const rows: (Row & { fate: Fate })[] = [
    { name: 'stored soon', fate: { how: 'late', afterS: 0.3 } },
    { name: 'stored after the leader has ended', fate: { how: 'late', afterS: 1.2 } },
    { name: 'answers lost', fate: { how: 'answer_lost' } },
  ];
  await playAll(rows, { leaseS: LEASE_S }, async (cluster, { fate }) => {
    const first = await fillFirstMachine(cluster);
    cluster.state.disturb(MACHINES, fate);
    await cluster.users.submit(0, JOB, { form: 'daemon', pieces: TASKS });
    await until('claims on their way', () => cluster.state.disturbed > 0);
    // By now any premature start would have been carried out.
    await wait(200);
    await changeLeader(cluster, first);
    await cluster.runs(JOB, TASKS);
  });
});

// Without its guard, the late record would overwrite the claims of the newer one, and the next leader would not see them.
test('a record that is stored late does not overwrite a newer one of the same leader', async () => {
  const rows = [{ name: 'late' }];
  await playAll(rows, { leaseS: LEASE_S }, async (cluster) => {
    const { users, state } = cluster;
    const first = await fillFirstMachine(cluster);
    // Longer than the leader's commit time-out: it reads the record back, writes it again and continues.
    state.disturb(MACHINES, { how: 'late', afterS: 4 }, 1);
    await users.submit(0, JOB, { form: 'daemon', pieces: TASKS });
    await cluster.runs(JOB, TASKS);
    await users.submit(0, LATER_JOB, { form: 'daemon' });
    await cluster.runs(LATER_JOB, 1);
    assert.equal(state.carriedOutLate, 0, 'newer records are stored first');
    await until('the late record arrived', () => state.carriedOutLate === 1);
    await changeLeader(cluster, first);
    await cluster.runs(JOB, TASKS);
    await cluster.runs(LATER_JOB, 1);
  });
});

// Tasks that a record claims may run on its machine even if the new leader has no heartbeat from it yet: a leader that
// misses some of the claims starts these tasks elsewhere. The first machine's heartbeats must arrive: if all machines
// are mute, there is no capacity elsewhere, and the test passes whatever the next leader has read.
test('machine records are stored late, twice or without an answer, and the leader ends while heartbeats are lost', async () => {
  const rows: (Row & { fate: Fate })[] = [
    { name: 'answers lost', fate: { how: 'answer_lost' } },
    { name: 'late', fate: { how: 'late', afterS: 0.4 } },
    { name: 'twice', fate: { how: 'doubled', afterS: 0.4 } },
  ];
  await playAll(rows, { leaseS: LEASE_S }, async (cluster, { fate }) => {
    const first = await fillFirstMachine(cluster);
    cluster.state.disturb(MACHINES, fate, 6);
    const refs = Array.from({ length: 4 }, (_, i) => `wk-00002${i}`);
    for (const ref of refs) {
      await cluster.users.submit(0, ref, { form: 'daemon' });
      await wait(150);
    }
    for (const ref of refs) await cluster.runs(ref, 1);
    await changeLeader(cluster, first);
    for (const ref of refs) await cluster.runs(ref, 1);
    for (const ref of refs) assert.equal(cluster.rules.starts.get(`${ref}/0`), 1, ref);
  });
});
