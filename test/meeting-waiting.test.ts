/** Once troubles are over no job is left waiting while a machine that fits has capacity. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { LeaderWorld } from './support/leader-world.js';
import * as records from '../src/store/records.js';

const JOB = 'wk-000001';
const OTHER = 'wk-000002';
/** Longer than a job may be left waiting. */
const PATIENCE_S = 90;

/** A job is placed on a known machine and stored; its start is still to be sent. */
async function place(
  world: LeaderWorld,
  over: Parameters<LeaderWorld['submitJob']>[0],
): Promise<void> {
  await world.run(1);
  world.submitJob(over);
  world.runCycle();
  await world.writeAll();
}

test('a direct start that never arrived keeps its task from nothing once it was told to stop', async () => {
  // The machine was cut off for less than a lease; its connection was reset with the start on it.
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
    world.term.stopGracefully(job, [...job.activeAttempts()][0]!);
    world.fleet.add('b');
    await world.run(PATIENCE_S);
    assert.equal(world.fleet.running(JOB), job.spec.tasks, name);
    assert.deepEqual(world.fleet.violations, [], name);
  }
});

test('a direct start that never arrived takes nothing of its team once its job is cancelled', async () => {
  const world = new LeaderWorld(1);
  world.fleet.add('a');
  await place(world, { id: JOB });
  world.sendDirect('a').unanswered();
  world.cancel(JOB);
  world.submitJob({ id: OTHER });
  await world.run(PATIENCE_S);
  assert.equal(world.fleet.running(OTHER), 1);
  assert.deepEqual(world.fleet.violations, []);
});

test('a task whose start was unanswered comes back, whatever the machine where it ended', async () => {
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
    // Preempted, say. There is capacity on another machine, but its image is here.
    world.fleet.add('b');
    world.term.stopGracefully(job, [...job.activeAttempts()][0]!);
    await world.run(PATIENCE_S);
    assert.equal(world.fleet.running(JOB), job.spec.tasks, name);
    assert.deepEqual(world.fleet.violations, [], name);
  }
});

test('a machine that is being returned when the leader ends is returned by the next', async () => {
  const world = new LeaderWorld();
  const worker = world.fleet.add('a');
  world.submitJob({ id: JOB });
  await world.run(2);
  worker.end(worker.running(JOB)[0]!, 'done');
  await world.run(PATIENCE_S);
  world.machine('a').changeState('returning');
  world.term.machinesToWrite.add('a');
  await world.writeAll();
  const record = world.store.value(records.machineKey('a'));
  assert.ok(records.decodeMachine(record).returning);
  world.failOver();
  await world.run(2);
  assert.deepEqual(world.parts.capacity.machinesToRemove(), ['a']);
});

test('a service that ran well is not doubted because replicas failed on a few faulty machines', async () => {
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
  await world.run(PATIENCE_S);
  assert.equal(world.fleet.running(JOB), 5);
});

test('an array with a mistake puts no machine aside', async () => {
  // It fails on every machine, several tasks at once, until its user cancels it.
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
    await world.run(PATIENCE_S);
    assert.equal(world.fleet.running(JOB), 1, `${jobs} jobs`);
  }
});

test('no capacity is held for long work that may not start: its team is at its limit', async () => {
  const world = new LeaderWorld(1);
  world.settings.teams.set('u', { name: 'u', cores: 0, coresMax: 0, gpus: 0, gpusMax: 100 });
  world.fleet.add('a');
  await world.run(1);
  // Jobs that fit no machine make what is long stand out.
  for (let i = 1; i <= 3; i++) world.submitJob({ id: `wk-00001${i}`, gpus: 9, estimateS: 10 });
  world.submitJob({ id: JOB, tasks: 40, estimateS: 10_000 });
  await world.run(2);
  assert.equal(world.fleet.running(JOB), 1);
  world.submitJob({ id: OTHER, tasks: 7, team: 'u', estimateS: 10 });
  await world.run(PATIENCE_S);
  assert.equal(world.fleet.running(OTHER), 7);
});
