/**
 * Renewals of leases on machines where cancelled tasks are.
 *
 * What users saw: a job's cancellation was confirmed 0.4 s after the leader had been killed, and 35 s later, the time
 * allowed, its tasks still ran. They went only when the machine's lease ended.
 * Order of events: four leaders followed one another, each for a few seconds. Each heard of the machine once, by a
 * heartbeat that named an older token, and answered 200 with its own token and no command; each answer renewed the
 * lease of 10 s, 7 to 9 s after the one before.
 * Cause: a leader gave no command to a machine that had not yet shown its token, but renewed its lease all the same.
 * Starts must wait for that; stops of cancelled tasks need not, and nothing else ended the task.
 * Evidence: the answers of the four terms at the recorded times renew the lease with the cancellation in the leader's
 * replica and the attempt among those it knows ("knows both"), and a second heartbeat in any of the terms, or one
 * leader that goes on, ends the task within a heartbeat interval. A replica that lags, an attempt that no record
 * names, or a lost direct command would have left other traces; each was tried and is a case below.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import * as records from '../src/store/records.js';
import { outcome } from '../src/store/stored-job.js';
import { ControlPlaneWorld } from './support/control-plane-world.js';
import type { Worker } from './support/simulated-fleet.js';

const JOB = 'wk-000001';
const MACHINE = 'host-000033';
const TASKS = 4;

/** Only this controller stands for election from now on. */
function letStand(world: ControlPlaneWorld, node: string): void {
  for (const controller of world.controllers) controller.stands = controller.node === node;
}

/** A service runs on a machine, and n-2 leads with a token that the machine has shown. */
async function runningService(): Promise<{ world: ControlPlaneWorld; worker: Worker }> {
  const world = new ControlPlaneWorld();
  letStand(world, 'n-2');
  await world.runUntil(1);
  const worker = world.fleet.add(MACHINE);
  await world.exchangeHeartbeat(worker, 'n-0');
  world.submitJob({ id: JOB, kind: 'service', tasks: TASKS });
  for (let at = 2; at <= 24.5; at += world.times.reportS) {
    await world.runUntil(at);
    await world.exchangeHeartbeat(worker, 'n-0');
  }
  assert.equal(world.fleet.running(JOB), TASKS);
  return { world, worker };
}

/** The leader is killed, and 0.4 s later a cancellation is stored and confirmed. */
async function cancelAfterLeaderEnded(world: ControlPlaneWorld): Promise<void> {
  await world.runUntil(25);
  world.controller('n-2').kill();
  await world.runUntil(25.4);
  world.cancel(JOB);
  await world.runUntil(26);
  assert.ok(world.toldAt.has(JOB), 'two of three controllers have noted it');
}

interface Term {
  /** Who leads, from when, and when its term ends. */
  node: string;
  from: number;
  until: number;
  /** When the machine is heard, and by which controller. */
  heardAt: number;
  by: string;
}

/** The terms of the incident: the machine was heard once in each. */
const TERMS: Term[] = [
  { node: 'n-1', from: 28, until: 32, heardAt: 28.97, by: 'n-0' },
  { node: 'n-2', from: 35, until: 38, heardAt: 36.1, by: 'n-1' },
  { node: 'n-1', from: 42, until: 44, heardAt: 43.85, by: 'n-0' },
  { node: 'n-1', from: 49.8, until: 55.8, heardAt: 52.63, by: 'n-1' },
];

/** One term, as recorded. Returns the status of the only answer that the machine got. */
async function playTerm(world: ControlPlaneWorld, worker: Worker, term: Term): Promise<void> {
  await world.runUntil(term.from);
  const leader = world.controller(term.node);
  for (const controller of world.controllers) if (!controller.alive) controller.restart();
  letStand(world, term.node);
  await world.runUntil(term.heardAt);
  assert.equal(world.leader, leader, `${term.node} leads at ${term.heardAt}`);
  const status = await world.exchangeHeartbeat(worker, term.by);
  assert.equal(status, 200, `answered at ${term.heardAt}`);
  // It knows both: the cancellation by its replica, the attempts by the machine's record.
  const storedJob = leader.replica.jobs.get(JOB)!;
  assert.equal(outcome(storedJob), 'cancelled', 'the leader has read the cancellation');
  const attempts = leader.term!.leader.term.machines.get(MACHINE)!.attempts;
  assert.equal(attempts.size, TASKS, 'the leader knows the attempts');
  await world.runUntil(term.until);
  leader.kill();
}

test('leaders that hear of a machine once, one after another, end its cancelled tasks in time', async () => {
  const { world, worker } = await runningService();
  await cancelAfterLeaderEnded(world);
  for (const term of TERMS) await playTerm(world, worker, term);
  await world.runUntil(world.toldAt.get(JOB)! + world.times.cancelS + 0.25);
  assert.deepEqual(world.overdueTasks(), []);
  assert.deepEqual(world.omittedStops, [], 'every renewal carries the stop');
});

/** Heartbeats at these seconds, by n-0 to whoever leads. */
async function exchangeAt(world: ControlPlaneWorld, worker: Worker, ats: number[]): Promise<void> {
  for (const at of ats) {
    await world.runUntil(at);
    await world.exchangeHeartbeat(worker, 'n-0');
  }
}

test('other explanations of the incident: each would have ended the tasks', async () => {
  const cases: [string, (world: ControlPlaneWorld, worker: Worker) => Promise<void>][] = [
    [
      'the first term goes on, and the machine shows its token',
      async (world, worker) => {
        await cancelAfterLeaderEnded(world);
        letStand(world, 'n-1');
        await exchangeAt(world, worker, [28.97, 31.47, 33.97]);
      },
    ],
    [
      'the first stop goes directly and is lost: the next answer names it again',
      async (world, worker) => {
        worker.deaf = true;
        await world.runUntil(25.4);
        world.cancel(JOB);
        await world.runUntil(26);
        worker.deaf = false;
        await exchangeAt(world, worker, [26.5]);
      },
    ],
    [
      'the attempts are in no record: they are found by what the machine shows',
      async (world, worker) => {
        await cancelAfterLeaderEnded(world);
        const key = records.machineKey(MACHINE);
        const record = records.decodeMachine(world.store.value(key));
        world.store.put(key, records.encodeMachine({ ...record, claims: [] }));
        letStand(world, 'n-1');
        await exchangeAt(world, worker, [28.97, 31.47, 33.97]);
      },
    ],
    [
      'the leader is silent to the store and reads nothing: its entitlement ends, and with it the lease',
      async (world, worker) => {
        world.controller('n-2').ownStoreHealth = 'silent';
        await world.runUntil(25.4);
        world.cancel(JOB);
        letStand(world, 'n-1');
        await exchangeAt(world, worker, [26.5, 29, 31.5, 34]);
      },
    ],
  ];
  for (const [name, play] of cases) {
    const { world, worker } = await runningService();
    await play(world, worker);
    assert.equal(world.fleet.running(JOB), 0, name);
    assert.ok(world.toldAt.has(JOB), name);
  }
});
