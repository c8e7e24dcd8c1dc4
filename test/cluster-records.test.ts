import assert from 'node:assert/strict';
import { test } from 'node:test';
import { MACHINES } from '../src/store/records.js';
import { until, wait } from './helpers.js';
import { MACHINE_GPUS } from './standins/cloud.js';
import { runScenarios, type Cluster, type ScenarioRow } from './standins/cluster.js';
import type { FaultEffect } from './standins/state.js';
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
  await cluster.waitForRunning(FILLER_JOB, 1);
  return cluster.hosts(FILLER_JOB)[0]!;
}

/** Ends the leader while only the first machine's heartbeats arrive, and frees the capacity of that machine. */
async function changeLeader(cluster: Cluster, first: Worker): Promise<void> {
  for (const worker of cluster.workers) worker.heartbeatsLost = worker !== first;
  const old = await cluster.stopLeader();
  cluster.store.clearFaults();
  await cluster.users.cancel((old + 1) % 3, FILLER_JOB);
  await cluster.waitForLeader(old);
  await wait(LEASE_S * 250);
  for (const worker of cluster.workers) worker.heartbeatsLost = false;
}

// The next leader does not know of a task that started before its claim was stored, and starts it elsewhere.
test('new machines get tasks while their records are stored late, and the leader ends: no task runs twice', async () => {
  const rows: (ScenarioRow & { fate: FaultEffect })[] = [
    { name: 'stored soon', fate: { how: 'late', afterS: 0.3 } },
    { name: 'stored after the leader has ended', fate: { how: 'late', afterS: 1.2 } },
    { name: 'answers lost', fate: { how: 'answer_lost' } },
  ];
  await runScenarios(rows, { leaseS: LEASE_S }, async (cluster, { fate }) => {
    const first = await fillFirstMachine(cluster);
    cluster.store.injectFault(MACHINES, fate);
    await cluster.users.submit(0, JOB, { form: 'daemon', pieces: TASKS });
    await until('claims on their way', () => cluster.store.faultsInjected > 0);
    // By now any premature start would have been carried out.
    await wait(200);
    await changeLeader(cluster, first);
    await cluster.waitForRunning(JOB, TASKS);
  });
});

// Without its guard, the late record would overwrite the claims of the newer one, and the next leader would not see them.
test('a record that is stored late does not overwrite a newer one of the same leader', async () => {
  const rows = [{ name: 'late' }];
  await runScenarios(rows, { leaseS: LEASE_S }, async (cluster) => {
    const { users, store } = cluster;
    const first = await fillFirstMachine(cluster);
    // Longer than the leader's commit time-out: it reads the record back, writes it again and continues.
    store.injectFault(MACHINES, { how: 'late', afterS: 4 }, 1);
    await users.submit(0, JOB, { form: 'daemon', pieces: TASKS });
    await cluster.waitForRunning(JOB, TASKS);
    await users.submit(0, LATER_JOB, { form: 'daemon' });
    await cluster.waitForRunning(LATER_JOB, 1);
    assert.equal(store.lateCommits, 0, 'newer records are stored first');
    await until('the late record arrived', () => store.lateCommits === 1);
    await changeLeader(cluster, first);
    await cluster.waitForRunning(JOB, TASKS);
    await cluster.waitForRunning(LATER_JOB, 1);
  });
});

// Tasks that a record claims may run on its machine even if the new leader has no heartbeat from it yet: a leader that
// misses some of the claims starts these tasks elsewhere. The first machine's heartbeats must arrive: if all machines
// are mute, there is no capacity elsewhere, and the test passes whatever the next leader has read.
test('machine records are stored late, twice or without an answer, and the leader ends while heartbeats are lost', async () => {
  const rows: (ScenarioRow & { fate: FaultEffect })[] = [
    { name: 'answers lost', fate: { how: 'answer_lost' } },
    { name: 'late', fate: { how: 'late', afterS: 0.4 } },
    { name: 'twice', fate: { how: 'doubled', afterS: 0.4 } },
  ];
  await runScenarios(rows, { leaseS: LEASE_S }, async (cluster, { fate }) => {
    const first = await fillFirstMachine(cluster);
    cluster.store.injectFault(MACHINES, fate, 6);
    const refs = Array.from({ length: 4 }, (_, i) => `wk-00002${i}`);
    for (const ref of refs) {
      await cluster.users.submit(0, ref, { form: 'daemon' });
      await wait(150);
    }
    for (const ref of refs) await cluster.waitForRunning(ref, 1);
    await changeLeader(cluster, first);
    for (const ref of refs) await cluster.waitForRunning(ref, 1);
    for (const ref of refs) assert.equal(cluster.rules.starts.get(`${ref}/0`), 1, ref);
  });
});
