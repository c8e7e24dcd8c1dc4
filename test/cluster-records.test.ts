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
const LEASE = 3;

const FILLER = 'wk-000011';
const REF = 'wk-000012';
const LATER = 'wk-000013';
const TASKS = 3;

/** One machine is full. The next job gets one of its own. */
async function fill(cluster: Cluster): Promise<Worker> {
  cluster.cloud.bootMs = 20;
  await cluster.users.submit(0, FILLER, { form: 'daemon', gpus: MACHINE_GPUS });
  await cluster.runs(FILLER, 1);
  return cluster.hosts(FILLER)[0]!;
}

/** The leader ends while only the first machine is heard. There is capacity on that one by now. */
async function changeLeader(cluster: Cluster, first: Worker): Promise<void> {
  for (const worker of cluster.workers) worker.mute = worker !== first;
  const old = await cluster.endLeader();
  cluster.state.settle();
  await cluster.users.cancel((old + 1) % 3, FILLER);
  await cluster.newLeader(old);
  await wait(LEASE * 250);
  for (const worker of cluster.workers) worker.mute = false;
}

// A task that starts before its claim is stored is unknown to the next leader, who starts it elsewhere.
test('new machines get work at once while their records lag, and the leader ends: nothing runs twice', async () => {
  const rows: (Row & { fate: Fate })[] = [
    { name: 'stored soon', fate: { how: 'late', afterS: 0.3 } },
    { name: 'stored after the leader has ended', fate: { how: 'late', afterS: 1.2 } },
    { name: 'answers lost', fate: { how: 'answer_lost' } },
  ];
  await playAll(rows, { leaseS: LEASE }, async (cluster, { fate }) => {
    const first = await fill(cluster);
    cluster.state.disturb(MACHINES, fate);
    await cluster.users.submit(0, REF, { form: 'daemon', pieces: TASKS });
    await until('claims on their way', () => cluster.state.disturbed > 0);
    // What is started too early has been started by now.
    await wait(200);
    await changeLeader(cluster, first);
    await cluster.runs(REF, TASKS);
  });
});

// Without its guard the late record hides the claims of the newer one from the next leader.
test('a record is stored late, after a newer one of the same leader: the newer one stays', async () => {
  const rows = [{ name: 'late' }];
  await playAll(rows, { leaseS: LEASE }, async (cluster) => {
    const { users, state } = cluster;
    const first = await fill(cluster);
    // Longer than a leader waits for an answer: it reads back, writes again and goes on.
    state.disturb(MACHINES, { how: 'late', afterS: 4 }, 1);
    await users.submit(0, REF, { form: 'daemon', pieces: TASKS });
    await cluster.runs(REF, TASKS);
    await users.submit(0, LATER, { form: 'daemon' });
    await cluster.runs(LATER, 1);
    assert.equal(state.carriedOutLate, 0, 'newer ones come first');
    await until('the late one came', () => state.carriedOutLate === 1);
    await changeLeader(cluster, first);
    await cluster.runs(REF, TASKS);
    await cluster.runs(LATER, 1);
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
  await playAll(rows, { leaseS: LEASE }, async (cluster, { fate }) => {
    const first = await fill(cluster);
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
