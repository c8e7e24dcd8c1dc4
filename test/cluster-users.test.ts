import assert from 'node:assert/strict';
import { test } from 'node:test';
import { JOBS, LEADER, PROGRESS } from '../src/store/records.js';
import { until, wait } from './helpers.js';
import { playAll, type Cluster, type Row } from './standins/cluster.js';
import type { StateService } from './standins/state.js';
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
  await cluster.gone(ref);
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

interface FaultRow extends Row {
  injectFault(state: StateService): void;
}

test('right after a job is accepted, ends or is cancelled, no controller gives an older answer', async () => {
  const lost = { how: 'answer_lost' } as const;
  const late = { how: 'late', afterS: 0.3 } as const;
  const doubled = { how: 'doubled', afterS: 0.3 } as const;
  const rows: FaultRow[] = [
    { name: 'no fault', injectFault: () => undefined },
    { name: 'the key-value store is slow', injectFault: (store) => (store.slowMs = 30) },
    {
      name: "answers to users' writes are lost",
      injectFault: (store) => store.disturb(JOBS, lost, 6),
    },
    {
      name: 'answers to progress writes are lost',
      injectFault: (store) => store.disturb(PROGRESS, lost, 6),
    },
    {
      name: "users' writes are stored late",
      injectFault: (store) => store.disturb(JOBS, late, 6),
    },
    {
      name: 'progress writes are stored late',
      injectFault: (store) => store.disturb(PROGRESS, late, 6),
    },
    {
      name: "users' writes are stored twice",
      injectFault: (store) => store.disturb(JOBS, doubled),
    },
    {
      name: 'progress writes are stored twice',
      injectFault: (store) => store.disturb(PROGRESS, doubled),
    },
  ];
  await playAll(rows, { leaseS: LEASE_S }, async (cluster, { injectFault }) => {
    await cluster.newLeader();
    injectFault(cluster.state);
    for (const [round, at] of cluster.indexes.entries()) {
      await Promise.all([
        submitUntilDone(cluster, at, `wk-00001${round}`),
        submitThenCancel(cluster, at, `wk-00002${round}`),
        cancelAfterLastTask(cluster, at, `wk-00003${round}`),
      ]);
    }
    // A controller that reads the whole store anew reports the same states.
    const returned = await cluster.endLeader();
    await cluster.startController(returned);
    await cluster.newLeader();
    for (const ref of cluster.rules.jobs.keys()) {
      await cluster.users.sees(returned, ref, cluster.rules.jobs.get(ref)!.final!);
    }
  });
});

test('a cancellation stored after the end of the job, whose answers are lost, leaves the job done', async () => {
  const rows = [{ name: 'late cancellation' }];
  await playAll(rows, { leaseS: LEASE_S }, async (cluster) => {
    const { users, state } = cluster;
    const ref = 'wk-000001';
    await users.submit(0, ref, {}, 0.3);
    await cluster.runs(ref, 1);
    state.disturb(JOBS, { how: 'late', afterS: 1.5 });
    state.disturb(PROGRESS, { how: 'answer_lost' });
    const cancelling = users.cancelOnce(1, ref);
    await users.sees(2, ref, 'done');
    await cancelling;
    // The late cancellation is stored by now; an end that was written again would be newer than it.
    await wait(2000);
    state.settle();
    const oldLeader = await cluster.endLeader();
    await cluster.startController(oldLeader);
    await users.sees(oldLeader, ref, 'done');
    for (const at of cluster.indexes) assert.equal((await users.poll(at, ref)).state, 'done');
  });
});

test('a leader whose election was not answered leads, and no other controller does', async () => {
  const rows = [
    { name: 'carried out at once', fate: { how: 'answer_lost' } as const },
    { name: 'carried out twice', fate: { how: 'doubled', afterS: 0.2 } as const },
    { name: 'carried out late', fate: { how: 'late', afterS: 0.2 } as const },
  ];
  await playAll(rows, { leaseS: LEASE_S }, async (cluster, { fate }) => {
    const ref = 'wk-000001';
    await cluster.users.submit(0, ref, { form: 'daemon', pieces: 2 });
    await cluster.runs(ref, 2);
    cluster.state.disturb(LEADER, fate, 2);
    const oldLeader = await cluster.endLeader();
    await cluster.newLeader(oldLeader);
    await cluster.users.sees((oldLeader + 1) % 3, ref, 'running');
    await cluster.runs(ref, 2);
    assert.equal(cluster.rules.starts.get(`${ref}/0`), 1);
  });
});
