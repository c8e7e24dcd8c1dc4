/** Copies of direct commands that were carried out and answered, and that reach their machine once more. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { JobSpec } from '../src/jobs/types.js';
import { attemptKey } from '../src/workers/attempt.js';
import { ControlPlaneWorld, INCIDENT_TIMES } from './support/control-plane-world.js';
import { HeartbeatLoop } from './support/heartbeat-loop.js';
import { LeaderWorld } from './support/leader-world.js';
import { decodeHeartbeatReply, type Worker } from './support/simulated-fleet.js';

const JOB = 'wk-000001';
const URGENT_JOB = 'wk-000002';
const WHOLE_MACHINE: Partial<JobSpec> = { tasks: 1, gpus: 8, cores: 8 };

/** A world whose starts are sent directly: n-2 leads, and each start follows its claim at once. */
class LateCopiesWorld extends ControlPlaneWorld {
  constructor() {
    super(INCIDENT_TIMES);
    for (const controller of this.controllers) controller.isCandidate = controller.node === 'n-2';
  }

  /** Adds a machine that sends heartbeats. */
  async addMachine(id: string): Promise<Worker> {
    const worker = this.fleet.add(id);
    this.heartbeatLoops.push(new HeartbeatLoop(this, worker, { reportsNewToken: true }));
    await this.pass(2);
    return worker;
  }

  /** Advances time by some heartbeat intervals. */
  async pass(heartbeats: number): Promise<void> {
    await this.runUntil(this.now + heartbeats * this.times.reportS);
  }

  /** Delivers copies of all direct messages, and asserts that no task starts by that, now or by a further copy. */
  deliverAllCopies(name: string): void {
    const before = new Map(this.fleet.starts);
    this.directNetwork.deliverCopies();
    assert.deepEqual(this.fleet.violations, [], name);
    assert.deepEqual(this.fleet.starts, before, name);
    assert.deepEqual(this.directNetwork.repeatableStarts(), [], name);
  }

  /** The machine on which the only task of a job runs. */
  machineOf(job: string): Worker | undefined {
    return [...this.fleet.workers.values()].find((worker) => worker.running(job).length > 0);
  }
}

/** What becomes of a task whose start was carried out and answered. */
const ENDS: Record<string, (world: LateCopiesWorld, first: Worker) => Promise<void>> = {
  'moved to another machine': async (world, first) => {
    world.submitJob({ id: URGENT_JOB, kind: 'service', priority: 0, ...WHOLE_MACHINE });
    await world.pass(2);
    await world.addMachine('host-000002');
    await world.pass(2);
    assert.ok(world.machineOf(JOB) !== undefined && world.machineOf(JOB) !== first);
  },
  cancelled: async (world) => {
    world.cancel(JOB);
    await world.pass(2);
    assert.ok(world.confirmedAt.has(JOB));
  },
  failed: async (world, first) => {
    first.end(first.running(JOB)[0]!, 'error');
    await world.addMachine('host-000002');
    await world.pass(4);
  },
  done: async (world, first) => {
    first.end(first.running(JOB)[0]!, 'done');
    await world.pass(2);
  },
};

/** What happens to controllers and to the machine before the copies arrive. */
const RETURNS: Record<string, (world: LateCopiesWorld, first: Worker) => Promise<void>> = {
  'nothing else': () => Promise.resolve(),
  'another controller leads': async (world) => {
    world.controller('n-2').kill();
    world.controller('n-1').isCandidate = true;
    await world.pass(0.4);
  },
  'the leader is back within a second': async (world) => {
    world.controller('n-2').kill();
    await world.pass(0.2);
    world.controller('n-2').restart();
    await world.pass(0.2);
  },
  'a follower is back within a second': async (world) => {
    world.controller('n-0').kill();
    await world.pass(0.2);
    world.controller('n-0').restart();
    await world.pass(0.2);
  },
  'the machine hangs for a moment': async (world, first) => {
    first.hangs = true;
    await world.pass(0.2);
    first.hangs = false;
  },
  'the machine is back within a second, without its tasks and tokens': async (world, first) => {
    first.restart();
    first.token = 0;
    await world.pass(0.2);
  },
};

/** A leader whose direct start of a task on the only machine was carried out and answered. */
async function startedDirectly(over: Partial<JobSpec> = {}): Promise<[LateCopiesWorld, Worker]> {
  const world = new LateCopiesWorld();
  await world.pass(1);
  const first = await world.addMachine('host-000001');
  world.submitJob({ id: JOB, ...WHOLE_MACHINE, ...over });
  await world.pass(0.4);
  assert.ok(world.directNetwork.hasStarted(JOB), 'by a direct command');
  return [world, first];
}

test('a task that was moved is not run on two machines by a late copy of its answered start', async () => {
  const [world, first] = await startedDirectly();
  const startedAt = world.now;
  await ENDS['moved to another machine']!(world, first);
  await world.runUntil(startedAt + 13);
  world.controller('n-0').kill();
  world.controller('n-0').restart();
  world.directNetwork.deliverCopies();
  assert.deepEqual(world.fleet.violations, []);
  assert.equal(world.fleet.running(JOB), 1);
});

test('a cancelled task is not run again by a late copy of its answered start', async () => {
  const [world, first] = await startedDirectly();
  await ENDS.cancelled!(world, first);
  world.directNetwork.deliverCopies();
  assert.deepEqual(first.running(JOB), []);
  assert.equal(world.fleet.starts.get(`${JOB}/0`), 1);
});

test('no late copy of an answered start starts anything, whatever became of its task, leader and machine', async () => {
  for (const [end, applyEnd] of Object.entries(ENDS)) {
    for (const [comeback, applyReturn] of Object.entries(RETURNS)) {
      const [world, first] = await startedDirectly();
      await applyEnd(world, first);
      await applyReturn(world, first);
      world.deliverAllCopies(`${end}; ${comeback}; an instant later`);
      await world.pass(1);
      world.deliverAllCopies(`${end}; ${comeback}; seconds later`);
      await world.pass(50);
      world.deliverAllCopies(`${end}; ${comeback}; minutes later`);
    }
  }
});

test('a late copy of a start that the machine refused for lack of room starts nothing once there is room', async () => {
  const world = new LateCopiesWorld();
  await world.pass(1);
  const first = await world.addMachine('host-000001');
  first.refusesStarts = true;
  world.submitJob({ id: JOB, ...WHOLE_MACHINE });
  await world.pass(0.4);
  assert.equal(world.fleet.starts.size, 0, 'refused');
  await world.addMachine('host-000002');
  first.refusesStarts = false;
  await world.pass(4);
  world.deliverAllCopies('after the refusal');
});

test('late copies of the starts of a gang run none of its former attempts', async () => {
  const [world, first] = await startedDirectly({ kind: 'gang', tasks: 2, gpus: 4, cores: 4 });
  assert.equal(first.running(JOB).length, 2);
  first.end(first.running(JOB)[0]!, 'error');
  await world.addMachine('host-000002');
  await world.pass(4);
  assert.equal(world.fleet.running(JOB), 2, 'it runs again');
  world.deliverAllCopies('after its restart');
  world.cancel(JOB);
  await world.pass(4);
  world.deliverAllCopies('after its cancellation');
});

test('copies of stops and forgets do not end or hide the next attempt on the same machine', async () => {
  const [world, first] = await startedDirectly();
  world.submitJob({ id: URGENT_JOB, kind: 'service', priority: 0, ...WHOLE_MACHINE });
  await world.pass(2);
  world.cancel(URGENT_JOB);
  await world.pass(4);
  assert.equal(world.machineOf(JOB), first, 'it runs on the same machine again');
  world.directNetwork.deliverCopies();
  assert.equal(first.running(JOB).length, 1);
  first.end(first.running(JOB)[0]!, 'done');
  world.directNetwork.deliverCopies();
  assert.equal([...first.tasks.values()].filter(({ cause }) => cause === 'done').length, 1);
});

/** A leader and a machine with a task that was started directly and is done; its end is stored. */
async function doneAfterDirectStart(): Promise<[LeaderWorld, Worker]> {
  const world = new LeaderWorld();
  const worker = world.fleet.add('a');
  await world.run(1);
  world.submitJob({ id: JOB });
  world.runCycle();
  await world.writeAll();
  assert.equal(world.sendDirect('a').answered(), 'done');
  worker.end(worker.running(JOB)[0]!, 'done');
  world.exchangeHeartbeat(worker);
  await world.writeAll();
  return [world, worker];
}

/** Claims the machine for another job; its start is due. */
async function claimForNextJob(world: LeaderWorld): Promise<void> {
  world.submitJob({ id: URGENT_JOB });
  world.runCycle();
  await world.writeAll();
}

test('a direct message that overtakes an answer with a higher token neither drops it nor is refused', async () => {
  const [world, worker] = await doneAfterDirectStart();
  world.fleet.now += 0.1;
  const sentAt = world.now;
  const { token } = worker;
  const reply = world.leader.answerHeartbeat(worker.heartbeat());
  await claimForNextJob(world);
  assert.equal(world.sendDirect('a').answered(), 'done');
  const answer = decodeHeartbeatReply(String(reply.body));
  assert.ok(answer.token > token, 'the answer refuses copies of the first start');
  worker.takeAnswer(answer.token, answer.commands, sentAt);
  assert.equal(worker.answeredAt, sentAt, 'the lease is renewed');
  assert.deepEqual(
    [...worker.tasks.values()].map(({ job }) => job),
    [URGENT_JOB],
  );
});

test('a direct message that is in flight is not refused because of a start that must be refused later', async () => {
  const [world, worker] = await doneAfterDirectStart();
  await claimForNextJob(world);
  const message = world.sendDirect('a');
  world.exchangeHeartbeat(worker);
  assert.equal(message.answered(), 'done');
  assert.equal(worker.running(URGENT_JOB).length, 1);
  world.exchangeHeartbeat(worker);
  assert.deepEqual(
    [...worker.tasks.values()].map(({ job }) => job),
    [URGENT_JOB],
  );
});

test('a machine to which a higher token was given is sent starts before it has shown the token', async () => {
  for (const isAnswerLost of [false, true]) {
    const [world, worker] = await doneAfterDirectStart();
    if (isAnswerLost) world.leader.answerHeartbeat(worker.heartbeat());
    else world.exchangeHeartbeat(worker);
    await claimForNextJob(world);
    if (isAnswerLost) world.exchangeHeartbeat(worker);
    else assert.equal(world.sendDirect('a').answered(), 'done');
    assert.equal(worker.running(URGENT_JOB).length, 1, `answer lost: ${isAnswerLost}`);
  }
});

test('a task that its machine reports as running again after its end does not stay beside its next attempt', async () => {
  const cases = [
    { cause: 'done', isNextPlaced: false, running: 0 },
    { cause: 'stopped', isNextPlaced: false, running: 1 },
    { cause: 'stopped', isNextPlaced: true, running: 1 },
  ] as const;
  for (const { cause, isNextPlaced, running } of cases) {
    const world = new LeaderWorld();
    const first = world.fleet.add('a');
    await world.run(1);
    world.submitJob({ id: JOB, gpus: 8 });
    await world.run(1);
    const again = { ...first.running(JOB)[0]! };
    first.end(first.running(JOB)[0]!, cause);
    world.exchangeHeartbeat(first);
    if (isNextPlaced) world.runCycle();
    await world.writeAll();
    // Whatever made the machine start it again: the leader has not seen a heartbeat without it.
    first.tasks.set(attemptKey(again.job, again.index, again.attempt), again);
    await world.run(4);
    assert.equal(
      world.fleet.running(JOB),
      running,
      `${cause}, next attempt placed: ${isNextPlaced}`,
    );
  }
});
