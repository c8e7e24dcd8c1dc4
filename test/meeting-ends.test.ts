/** Combinations of faults with ends of tasks, cancellations and delayed commands. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import * as records from '../src/store/records.js';
import { outcome } from '../src/store/stored-job.js';
import type { LeaderWorld } from './support/leader-world.js';
import { JOB, OTHER, task, worldWith } from './support/leader-stages.js';

test('five one-task jobs a second, a quarter cancelled: each is done or cancelled and starts at most once', async () => {
  const world = await worldWith(['a', 'b']);
  const jobs: string[] = [];
  for (let i = 0; i < 120; i++) {
    const id = `wk-${1000 + i}`;
    jobs.push(id);
    world.submitJob({ id });
    if (i % 4 === 1) world.cancel(jobs[i - (i % 3)]!);
    world.store.replayInto(world.replica);
    if (i === 60) world.failOver();
    await world.run(0.2);
    for (const worker of world.fleet.workers.values()) {
      for (const task of worker.tasks.values()) if (i % 2 === 0) worker.end(task, 'done');
    }
  }
  await world.run(3);
  for (const worker of world.fleet.workers.values())
    for (const task of worker.tasks.values()) worker.end(task, 'done');
  await world.run(3);
  assert.deepEqual(world.fleet.violations, []);
  assert.equal(world.term.jobs.size, 0);
  for (const id of jobs) {
    const finalOutcome = outcome(world.replica.jobs.get(id)!);
    assert.ok(
      finalOutcome === 'done' || (finalOutcome === 'cancelled' && world.fleet.cancelled.has(id)),
      id,
    );
    assert.ok((world.fleet.starts.get(`${id}/0`) ?? 0) <= 1, id);
  }
});

test('a cancellation concurrent with the end of the last task: the older one in the store counts', async () => {
  const cases: [string, (world: LeaderWorld) => Promise<void>, string][] = [
    ['cancelled, then ended', async (world) => world.cancel(JOB), 'cancelled'],
    [
      'the end is stored first',
      async (world) => (await world.writeAll(), world.cancel(JOB)),
      'done',
    ],
    [
      'the end is stored, but the answer is lost',
      async (world) => {
        await world.writeOnceInMode('lose answers');
        world.cancel(JOB);
      },
      'done',
    ],
    [
      'the end is stored after the cancellation',
      async (world) => {
        await world.writeOnceInMode('hold back');
        world.cancel(JOB);
        world.store.deliverHeldBack();
      },
      'cancelled',
    ],
    [
      'the end is stored late, just before the cancellation',
      async (world) => {
        await world.writeOnceInMode('hold back');
        world.store.deliverHeldBack();
        world.cancel(JOB);
      },
      'done',
    ],
  ];
  for (const [name, interfere, want] of cases) {
    for (const failsOver of [false, true]) {
      const world = await worldWith(['a']);
      world.submitJob({ id: JOB });
      await world.run(1);
      const worker = world.fleet.workers.get('a')!;
      worker.end(task(worker), 'done');
      world.exchangeHeartbeat(worker);
      await interfere(world);
      // The leader's record of the end may be refused, but no second record may change the outcome.
      const storedOutcome = outcome(world.store.replayInto(world.replica).jobs.get(JOB)!);
      assert.equal(storedOutcome, want, name);
      const at = world.store.revision(records.progressKey(JOB, 0));
      if (failsOver && want !== 'done') world.failOver();
      await world.run(4);
      assert.equal(outcome(world.store.replayInto(world.replica).jobs.get(JOB)!), want, name);
      assert.equal(world.term.jobs.size, 0, name);
      assert.equal(world.fleet.starts.get(`${JOB}/0`), 1, name);
      assert.equal(worker.tasks.size, 0, name);
      const again = world.store.revision(records.progressKey(JOB, 0));
      assert.ok(want !== 'done' || again === at, `${name}: never written again`);
    }
  }
});

/** A job whose direct start to machine `a` was not answered; `start.arrive` delivers it late. */
async function unansweredStart(): Promise<{
  world: LeaderWorld;
  start: ReturnType<LeaderWorld['sendDirect']>;
}> {
  const world = await worldWith(['a']);
  world.submitJob({ id: JOB });
  world.runCycle();
  await world.writeAll();
  const start = world.sendDirect('a');
  start.unanswered();
  return { world, start };
}

test('a direct start or stop that arrives late is carried out at most once and starts nothing again', async () => {
  const { world, start } = await unansweredStart();
  await world.run(1);
  const worker = world.fleet.workers.get('a')!;
  assert.equal(world.fleet.running(JOB), 1, 'sent again with an answer');
  start.arrive();
  assert.equal(world.fleet.starts.get(`${JOB}/0`), 1);
  worker.end(task(worker), 'done');
  await world.run(3);
  start.arrive();
  await world.run(1);
  assert.equal(world.fleet.starts.get(`${JOB}/0`), 1);
  world.submitJob({ id: OTHER });
  await world.run(1);
  world.cancel(OTHER);
  world.store.replayInto(world.replica);
  const stop = world.sendDirect('a');
  stop.unanswered();
  await world.run(1);
  stop.arrive();
  await world.run(1);
  assert.equal(world.fleet.running(OTHER), 0);
  assert.deepEqual(world.fleet.violations, []);
});

test('no task starts before its claim is stored', async () => {
  const world = await worldWith(['a']);
  world.submitJob({ id: JOB });
  world.runCycle();
  const worker = world.fleet.workers.get('a')!;
  world.exchangeHeartbeat(worker);
  assert.equal(world.fleet.running(JOB), 0);
  await world.writeAll();
  world.exchangeHeartbeat(worker);
  assert.equal(world.fleet.running(JOB), 1);
});

test('an unanswered start may arrive at any time until the agent epoch ends', async () => {
  for (const ends of [false, true]) {
    const { world, start } = await unansweredStart();
    const worker = world.fleet.workers.get('a')!;
    world.fleet.add('b');
    // The cloud reclaims the machine, so its task has to move to another one.
    worker.reclaimNoticeS = 60;
    if (ends) worker.agentEpoch++;
    await world.run(2);
    if (ends) assert.equal(world.fleet.running(JOB), 1);
    start.arrive();
    await world.run(5);
    assert.equal(world.fleet.running(JOB), 1);
    assert.deepEqual(world.fleet.violations, []);
  }
});

test('a machine with a start in flight is not returned, and one that is being returned gets no start', async () => {
  const world = await worldWith(['a', 'b']);
  const idle = world.settings.workers.lease_s * 40;
  await world.run(idle);
  world.submitJob({ id: JOB, gpus: 8, cores: 8 });
  world.runCycle();
  const placed = world.term.jobs.get(JOB)!.attemptsByTask.get(0)![0]!.machine;
  // A quarantined machine is returned at once if it is empty.
  const { now } = world;
  world.machine(placed).condition.quarantine = {
    since: now, failedAt: now, probeFrom: Infinity, failedProbes: 0,
  }; // prettier-ignore
  assert.ok(!world.parts.capacity.machinesToRemove().includes(placed));
  assert.equal(world.machine(placed).state, 'ready');
  await world.run(1);
  const other = placed === 'a' ? 'b' : 'a';
  world.machine(other).changeState('returning');
  world.term.machinesToWrite.add(other);
  await world.writeAll();
  // The return request stays unanswered; the leader changes; the request is carried out late.
  world.submitJob({ id: OTHER, gpus: 8, cores: 8 });
  await world.run(2);
  world.failOver();
  await world.run(2);
  assert.equal(world.term.jobs.get(OTHER)!.activeAttemptCount, 0);
  assert.equal(world.machine(other).state, 'returning');
  world.parts.capacity.machinesReturned([other]);
  assert.equal(world.term.machines.has(other), false);
});
