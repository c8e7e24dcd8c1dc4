/** After failures have ended, no job keeps waiting while a machine on which it fits has capacity. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { LeaderWorld } from './support/leader-world.js';
import * as records from '../src/store/records.js';

const JOB = 'wk-000001';
const OTHER = 'wk-000002';
/** Longer than a job may wait, in seconds. */
const MAX_WAIT_S = 90;

/** Places a job on a known machine and stores the claims; the start is not sent yet. */
async function place(
  world: LeaderWorld,
  over: Parameters<LeaderWorld['submitJob']>[0],
): Promise<void> {
  await world.run(1);
  world.submitJob(over);
  world.runCycle();
  await world.writeAll();
}

test('a direct start that never arrived does not block its task after a stop request', async () => {
  // The machine was cut off for less than a lease, and its connection was reset before the start arrived.
  const cases: [string, Parameters<LeaderWorld['submitJob']>[0]][] = [
    ['array', { id: JOB }],
    ['gang', { id: JOB, kind: 'gang', tasks: 2 }],
  ];
  for (const [name, over] of cases) {
    const world = new LeaderWorld();
    world.fleet.add('a');
    await place(world, over);
    world.sendDirect('a').unanswered();
    assert.equal(world.fleet.running(JOB), 0, name);
    const job = world.term.jobs.get(JOB)!;
    world.term.stopGracefully(job, [...job.activeAttempts()][0]!, 'preempted');
    world.fleet.add('b');
    await world.run(MAX_WAIT_S);
    assert.equal(world.fleet.running(JOB), job.spec.tasks, name);
    assert.deepEqual(world.fleet.violations, [], name);
  }
});

test('a direct start that never arrived does not count in the team limit once its job is cancelled', async () => {
  const world = new LeaderWorld(1);
  world.fleet.add('a');
  await place(world, { id: JOB });
  world.sendDirect('a').unanswered();
  world.cancel(JOB);
  world.submitJob({ id: OTHER });
  await world.run(MAX_WAIT_S);
  assert.equal(world.fleet.running(OTHER), 1);
  assert.deepEqual(world.fleet.violations, []);
});

test('a task whose direct start was unanswered runs again after a stop, whichever machine it ended on', async () => {
  const cases: [string, Parameters<LeaderWorld['submitJob']>[0]][] = [
    ['array', { id: JOB }],
    ['gang', { id: JOB, kind: 'gang', tasks: 2 }],
  ];
  for (const [name, over] of cases) {
    const world = new LeaderWorld();
    const worker = world.fleet.add('a');
    await place(world, over);
    const command = world.sendDirect('a');
    command.unanswered();
    command.arrive();
    assert.ok(worker.running(JOB).length > 0, name);
    await world.run(1);
    const job = world.term.jobs.get(JOB)!;
    assert.equal(world.fleet.running(JOB), job.spec.tasks, name);
    // The task is stopped, as by preemption. Another machine has capacity, but the image is cached on this one.
    world.fleet.add('b');
    world.term.stopGracefully(job, [...job.activeAttempts()][0]!, 'preempted');
    await world.run(MAX_WAIT_S);
    assert.equal(world.fleet.running(JOB), job.spec.tasks, name);
    assert.deepEqual(world.fleet.violations, [], name);
  }
});

test('a machine that is being returned when the leader fails is returned by the next leader', async () => {
  const world = new LeaderWorld();
  const worker = world.fleet.add('a');
  world.submitJob({ id: JOB });
  await world.run(2);
  worker.end(worker.running(JOB)[0]!, 'done');
  await world.run(MAX_WAIT_S);
  world.machine('a').changeState('returning');
  world.term.machinesToWrite.add('a');
  await world.writeAll();
  const record = world.store.value(records.machineKey('a'));
  assert.ok(records.decodeMachine(record).returning);
  world.failOver();
  await world.run(2);
  assert.deepEqual(world.parts.capacity.machinesToRemove(), ['a']);
});

test('a service that ran well does not become suspect when replicas fail on a few faulty machines', async () => {
  const world = new LeaderWorld();
  const ids = ['a', 'b', 'c', 'd', 'e'];
  for (const id of ids) world.fleet.add(id);
  world.submitJob({ id: JOB, kind: 'service', tasks: 5, gpus: 8, cores: 8 });
  await world.run(5);
  assert.equal(world.fleet.running(JOB), 5);
  await world.run(world.settings.workers.lease_s * 10);
  for (const id of ['a', 'b', 'c']) {
    const worker = world.fleet.workers.get(id)!;
    worker.end(worker.running(JOB)[0]!, 'error');
  }
  await world.run(MAX_WAIT_S);
  assert.equal(world.fleet.running(JOB), 5);
});

test('an array whose tasks always fail does not quarantine a machine', async () => {
  // It fails on every machine, several tasks at once, until it is cancelled by its user.
  for (const jobs of [1, 3]) {
    const world = new LeaderWorld();
    const worker = world.fleet.add('a');
    world.submitJob({ id: 'wk-000009', kind: 'service', tasks: 1 });
    await world.run(2);
    for (let i = 0; i < jobs; i++) {
      const id = `wk-10000${i}`;
      world.submitJob({ id, tasks: jobs === 1 ? 4 : 1 });
      for (let s = 0; s < 5; s++) {
        await world.run(0.2);
        for (const task of worker.running(id)) worker.end(task, 'error');
      }
      world.cancel(id);
      await world.run(world.settings.workers.lease_s * 2);
    }
    assert.equal(world.machine('a').condition.quarantined, false, `${jobs} jobs`);
    world.submitJob({ id: JOB });
    await world.run(MAX_WAIT_S);
    assert.equal(world.fleet.running(JOB), 1, `${jobs} jobs`);
  }
});

test('no capacity is reserved for long work that may not start because its team is at its limit', async () => {
  const world = new LeaderWorld(1);
  world.settings.teams.set('u', { name: 'u', cores: 0, coresMax: 0, gpus: 0, gpusMax: 100 });
  world.fleet.add('a');
  await world.run(1);
  // Short jobs that fit no machine lower the mean, so that the array counts as long.
  for (let i = 1; i <= 3; i++) world.submitJob({ id: `wk-00001${i}`, gpus: 9, estimateS: 10 });
  world.submitJob({ id: JOB, tasks: 40, estimateS: 10_000 });
  await world.run(2);
  assert.equal(world.fleet.running(JOB), 1);
  world.submitJob({ id: OTHER, tasks: 7, team: 'u', estimateS: 10 });
  await world.run(MAX_WAIT_S);
  assert.equal(world.fleet.running(OTHER), 7);
});
