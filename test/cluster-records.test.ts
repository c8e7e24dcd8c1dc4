import assert from 'node:assert/strict';
import { test } from 'node:test';
import { MACHINES } from '../src/store/records.js';
import { until, wait } from './helpers.js';
import { MACHINE_GPUS } from './standins/cloud.js';
import { playAll, type Cluster, type Row } from './standins/cluster.js';
import type { Fate } from './standins/state.js';
import type { Worker } from './standins/worker.js';

/**
 * Of each lease, the next leader takes about a half until it acts: machines that nobody hears meanwhile
 * must not lose theirs.
 */
const LEASE_S = 3;

const FILLER_JOB = 'wk-000011';
const JOB = 'wk-000012';
const LATER_JOB = 'wk-000013';
const TASKS = 3;

/** One machine is full. The next job gets one of its own. */
async function fillFirstMachine(cluster: Cluster): Promise<Worker> {
  cluster.cloud.bootMs = 20;
  await cluster.users.submit(0, FILLER_JOB, { form: 'daemon', gpus: MACHINE_GPUS });
  await cluster.runs(FILLER_JOB, 1);
  return cluster.hosts(FILLER_JOB)[0]!;
}

/** The leader ends while only the first machine is heard. There is capacity on that one by now. */
async function changeLeader(cluster: Cluster, first: Worker): Promise<void> {
  for (const worker of cluster.workers) worker.mute = worker !== first;
  const old = await cluster.endLeader();
  cluster.state.settle();
  await cluster.users.cancel((old + 1) % 3, FILLER_JOB);
  await cluster.newLeader(old);
  await wait(LEASE_S * 250);
  for (const worker of cluster.workers) worker.mute = false;
}

// A task that starts before its claim is stored is unknown to the next leader, who starts it elsewhere.
test('new machines get work at once while their records lag, and the leader ends: nothing runs twice', async () => {
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
    // What is started too early has been started by now.
    await wait(200);
    await changeLeader(cluster, first);
    await cluster.runs(JOB, TASKS);
  });
});

// Without its guard the late record hides the claims of the newer one from the next leader.
test('a record is stored late, after a newer one of the same leader: the newer one stays', async () => {
  const rows = [{ name: 'late' }];
  await playAll(rows, { leaseS: LEASE_S }, async (cluster) => {
    const { users, state } = cluster;
    const first = await fillFirstMachine(cluster);
    // Longer than a leader waits for an answer: it reads back, writes again and goes on.
    state.disturb(MACHINES, { how: 'late', afterS: 4 }, 1);
    await users.submit(0, JOB, { form: 'daemon', pieces: TASKS });
    await cluster.runs(JOB, TASKS);
    await users.submit(0, LATER_JOB, { form: 'daemon' });
    await cluster.runs(LATER_JOB, 1);
    assert.equal(state.carriedOutLate, 0, 'newer ones come first');
    await until('the late one came', () => state.carriedOutLate === 1);
    await changeLeader(cluster, first);
    await cluster.runs(JOB, TASKS);
    await cluster.runs(LATER_JOB, 1);
  });
});

// What a record names may run on its machine, also when that is not heard yet: a leader that takes over
// with less than the record starts it elsewhere. Once all machines were mute here, and there was no
// capacity elsewhere: the test held whatever the next leader read.
test('records of machines are stored late, twice or unanswered, and the leader ends while they are mute', async () => {
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
