import assert from 'node:assert/strict';
import { test } from 'node:test';
import { JOBS, LEADER, PROGRESS } from '../src/store/records.js';
import { until, wait } from './helpers.js';
import { runScenarios, type Cluster, type ScenarioRow } from './standins/cluster.js';
import type { StoreServer } from './standins/state.js';
import { submission } from './standins/users.js';

const LEASE_S = 2;
/** Number of rounds in which users ask all controllers. */
const POLL_ROUNDS = 5;

/** Polls and repeats the submission at all controllers, in rounds 2 ms apart. */
async function pollEverywhere(cluster: Cluster, ref: string): Promise<void> {
  const requests: Promise<unknown>[] = [];
  for (let i = 0; i < POLL_ROUNDS; i++) {
    for (const at of cluster.indexes) {
      requests.push(cluster.users.poll(at, ref), cluster.users.submitOnce(at, submission(ref)));
    }
    await wait(2);
  }
  await Promise.all(requests);
}

async function submitUntilDone(cluster: Cluster, at: number, ref: string): Promise<void> {
  await cluster.users.submit(at, ref, {}, 0.1);
  await pollEverywhere(cluster, ref);
  await until(`${ref} ends`, async () => {
    const replies = await Promise.all(cluster.indexes.map((i) => cluster.users.poll(i, ref)));
    return replies.some((reply) => reply.state === 'done');
  });
  await pollEverywhere(cluster, ref);
}

async function submitThenCancel(cluster: Cluster, at: number, ref: string): Promise<void> {
  await cluster.users.submit(at, ref, {}, 60);
  await Promise.all([cluster.users.cancel((at + 1) % 3, ref), pollEverywhere(cluster, ref)]);
  await pollEverywhere(cluster, ref);
  await cluster.waitForGone(ref);
}

/** Cancels the job as soon as its last task has ended, when the end may not be stored yet. */
async function cancelAfterLastTask(cluster: Cluster, at: number, ref: string): Promise<void> {
  await cluster.users.submit(at, ref, {}, 0.2);
  await until(`${ref} ends`, () => cluster.rules.jobs.get(ref)!.completed.size === 1);
  const final = (): boolean => cluster.rules.jobs.get(ref)!.final !== null;
  await until(`${ref} is over`, async () => {
    await Promise.all(cluster.indexes.map((i) => cluster.users.cancelOnce(i, ref)));
    return final();
  });
  await pollEverywhere(cluster, ref);
}

interface FaultRow extends ScenarioRow {
  injectFault(state: StoreServer): void;
}

test('right after a job is accepted, ends or is cancelled, no controller gives an older answer', async () => {
  const lost = { how: 'answer_lost' } as const;
  const late = { how: 'late', afterS: 0.3 } as const;
  const doubled = { how: 'doubled', afterS: 0.3 } as const;
  const rows: FaultRow[] = [
    { name: 'no fault', injectFault: () => undefined },
    { name: 'the key-value store is slow', injectFault: (store) => (store.answerDelayMs = 30) },
    {
      name: "answers to users' writes are lost",
      injectFault: (store) => store.injectFault(JOBS, lost, 6),
    },
    {
      name: 'answers to progress writes are lost',
      injectFault: (store) => store.injectFault(PROGRESS, lost, 6),
    },
    {
      name: "users' writes are stored late",
      injectFault: (store) => store.injectFault(JOBS, late, 6),
    },
    {
      name: 'progress writes are stored late',
      injectFault: (store) => store.injectFault(PROGRESS, late, 6),
    },
    {
      name: "users' writes are stored twice",
      injectFault: (store) => store.injectFault(JOBS, doubled),
    },
    {
      name: 'progress writes are stored twice',
      injectFault: (store) => store.injectFault(PROGRESS, doubled),
    },
  ];
  await runScenarios(rows, { leaseS: LEASE_S }, async (cluster, { injectFault }) => {
    await cluster.waitForLeader();
    injectFault(cluster.store);
    for (const [round, at] of cluster.indexes.entries()) {
      await Promise.all([
        submitUntilDone(cluster, at, `wk-00001${round}`),
        submitThenCancel(cluster, at, `wk-00002${round}`),
        cancelAfterLastTask(cluster, at, `wk-00003${round}`),
      ]);
    }
    // A controller that reads the whole store anew reports the same states.
    const returned = await cluster.stopLeader();
    await cluster.startController(returned);
    await cluster.waitForLeader();
    for (const ref of cluster.rules.jobs.keys()) {
      await cluster.users.waitForState(returned, ref, cluster.rules.jobs.get(ref)!.final!);
    }
  });
});

test('a cancellation stored after the end of the job, whose answers are lost, leaves the job done', async () => {
  const rows = [{ name: 'late cancellation' }];
  await runScenarios(rows, { leaseS: LEASE_S }, async (cluster) => {
    const { users, store } = cluster;
    const ref = 'wk-000001';
    await users.submit(0, ref, {}, 0.3);
    await cluster.waitForRunning(ref, 1);
    store.injectFault(JOBS, { how: 'late', afterS: 1.5 });
    store.injectFault(PROGRESS, { how: 'answer_lost' });
    const cancelling = users.cancelOnce(1, ref);
    await users.waitForState(2, ref, 'done');
    await cancelling;
    // The late cancellation is stored by now; an end that was written again would be newer than it.
    await wait(2000);
    store.clearFaults();
    const oldLeader = await cluster.stopLeader();
    await cluster.startController(oldLeader);
    await users.waitForState(oldLeader, ref, 'done');
    for (const at of cluster.indexes) assert.equal((await users.poll(at, ref)).state, 'done');
  });
});

test('a leader whose election was not answered leads, and no other controller does', async () => {
  const rows = [
    { name: 'carried out at once', fate: { how: 'answer_lost' } as const },
    { name: 'carried out twice', fate: { how: 'doubled', afterS: 0.2 } as const },
    { name: 'carried out late', fate: { how: 'late', afterS: 0.2 } as const },
  ];
  await runScenarios(rows, { leaseS: LEASE_S }, async (cluster, { fate }) => {
    const ref = 'wk-000001';
    await cluster.users.submit(0, ref, { form: 'daemon', pieces: 2 });
    await cluster.waitForRunning(ref, 2);
    cluster.store.injectFault(LEADER, fate, 2);
    const oldLeader = await cluster.stopLeader();
    await cluster.waitForLeader(oldLeader);
    await cluster.users.waitForState((oldLeader + 1) % 3, ref, 'running');
    await cluster.waitForRunning(ref, 2);
    assert.equal(cluster.rules.starts.get(`${ref}/0`), 1);
  });
});
