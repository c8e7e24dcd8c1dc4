/**
 * Faults, jobs and changes of leader in random order while services borrow from arrays and gangs. The seed is fixed;
 * more runs with LENDING_RUNS and LENDING_SEED: `LENDING_RUNS=2000 node --test target/check/test/lending-random.test.js`.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { isOpen } from '../src/lending/loan.js';
import type { Leader } from '../src/leader/leader.js';
import { LendingWorld } from './support/lending-world.js';

const RUNS = Number(process.env.LENDING_RUNS ?? 40);
const SEED = Number(process.env.LENDING_SEED ?? 34);
const MACHINES = ['m1', 'm2', 'm3'];

/** The state of a run besides its world. */
interface RunState {
  world: LendingWorld;
  jobs: number;
  frozen: Leader | null;
}

type Action = (run: RunState, number: number) => void | Promise<void>;

const idOf = (number: number): string => `wk-${String(number).padStart(6, '0')}`;

function pickOpenJob(run: RunState, number: number, kind: 'service' | 'finite'): string | null {
  const open = [...run.world.batch.work.values()].filter(
    ({ spec, cancelled, doneAt }) =>
      (spec.kind === 'service') === (kind === 'service') && !cancelled && doneAt === null,
  );
  return open.length === 0 ? null : open[number % open.length]!.spec.id;
}

function clearFaults({ world }: RunState): void {
  world.canWrite = true;
  world.store.mode = 'serve';
  world.store.deliverHeldBack();
  world.batch.saving = 'works';
  for (const worker of world.fleet.workers.values()) {
    worker.heartbeatsLost = false;
    worker.inboundLost = false;
  }
}

/** Replaces the leader; the store serves the new one. */
function takeOver(run: RunState): void {
  const { world } = run;
  world.canWrite = true;
  world.store.mode = 'serve';
  run.frozen = world.leader;
  world.failOver();
}

const machineFor = ({ world }: RunState, number: number) => {
  const workers = [...world.fleet.workers.values()];
  return workers[number % workers.length]!;
};

const EVENTS: Record<string, Action> = {
  'an array is submitted': (run, number) => {
    run.world.batchJob(3 + number, {
      ...{ id: idOf(++run.jobs), tasks: 1 + (number % 3), gpus: 4, cores: 4 },
      ...{ deadlineS: 60 + number * 10, priority: 3, checkpointS: number % 2 },
    });
  },
  'a gang is submitted': (run, number) => {
    const id = idOf(++run.jobs);
    const shape = { kind: 'gang' as const, tasks: 2, gpus: 4, cores: 4, priority: 3 as const };
    run.world.batchJob(4, { id, ...shape, deadlineS: 60 + number * 10 });
  },
  'a service is submitted': (run, number) => {
    const size = number % 2 === 0 ? 8 : 4;
    const tasks = 1 + (number % 3);
    run.world.service({ id: idOf(++run.jobs), tasks, gpus: size, cores: size, priority: 0 });
  },
  'a service is cancelled': (run, number) => cancelOne(run, number, 'service'),
  'a finite job is cancelled': (run, number) => cancelOne(run, number, 'finite'),
  'the leader ends': takeOver,
  'the leader ends as a job is cancelled': (run, number) => {
    const id = pickOpenJob(run, number, number % 2 === 0 ? 'service' : 'finite');
    run.world.canWrite = true;
    run.world.store.mode = 'serve';
    run.frozen = run.world.leader;
    if (id !== null) run.world.cancelAndFailOver(id);
  },
  'a frozen leader resumes': async (run) => {
    if (run.frozen !== null) await run.world.resumeFrozenLeader(run.frozen, 0.4);
    run.frozen = null;
  },
  'a version that is older than lending leads': (run) => {
    run.world.switchLending(false);
    takeOver(run);
  },
  'lending is on again': (run) => {
    run.world.switchLending(true);
    takeOver(run);
  },
  'the store refuses': ({ world }) => {
    world.canWrite = false;
    world.store.mode = 'refuse';
  },
  'answers of the store are lost': ({ world }) => {
    if (world.canWrite) world.store.mode = 'lose answers';
  },
  'commits are held back': ({ world }) => {
    if (world.canWrite) world.store.mode = 'hold back';
  },
  'all faults end': clearFaults,
  'heartbeats of a machine are lost': (run, number) =>
    void (machineFor(run, number).heartbeatsLost = true),
  'messages to a machine are lost': (run, number) =>
    void (machineFor(run, number).inboundLost = true),
  'a machine fails and another one is added': (run, number) => {
    const { world } = run;
    if (world.batch.removedAt.size >= 3) return;
    world.batch.kill(machineFor(run, number).id);
    world.fleet.add(`n${world.batch.removedAt.size}`);
  },
  'saving fails': ({ world }) => void (world.batch.saving = 'fails'),
  'saving never ends': ({ world }) => void (world.batch.saving = 'never ends'),
  'a machine sends an additional heartbeat': (run, number) => {
    run.world.leader.answerHeartbeat(machineFor(run, number).heartbeat());
  },
};

function cancelOne(run: RunState, number: number, kind: 'service' | 'finite'): void {
  const id = pickOpenJob(run, number, kind);
  if (id !== null && run.world.canWrite) run.world.cancel(id);
}

const event = fc.record({
  what: fc.constantFrom(...Object.keys(EVENTS)),
  afterS: fc.integer({ min: 0, max: 25 }).map((n) => n * 0.2),
  number: fc.nat(9),
});

async function runEvents(events: readonly { what: string; afterS: number; number: number }[]) {
  const world = new LendingWorld({ gpusMax: 40, recallsAtOnce: 2 });
  const run: RunState = { world, jobs: 0, frozen: null };
  for (const id of MACHINES) world.fleet.add(id);
  await world.run(0.6);
  void EVENTS['an array is submitted']!(run, 5);
  void EVENTS['a gang is submitted']!(run, 5);
  await world.run(1);
  void EVENTS['a service is submitted']!(run, 1);
  for (const { what, afterS, number } of events) {
    await EVENTS[what]!(run, number);
    await world.run(afterS);
    world.checkRules();
  }
  clearFaults(run);
  world.switchLending(true);
  takeOver(run);
  await world.run(1);
  for (const { spec, cancelled } of [...world.batch.work.values()]) {
    if (spec.kind === 'service' && !cancelled) world.cancel(spec.id);
  }
  await world.run(60);
  world.checkRules();
  assert.deepEqual(world.loans().filter(isOpen), [], 'every loan is closed');
  for (const { spec, cancelled, doneAt } of world.batch.work.values()) {
    if (spec.kind !== 'service' && !cancelled) assert.ok(doneAt !== null, `${spec.id} is done`);
  }
}

test('faults in random order: no rule is violated, every loan is closed, all finite jobs are done', async () => {
  const events = fc.array(event, { minLength: 6, maxLength: 24 });
  const property = fc.asyncProperty(events, runEvents);
  await fc.assert(property, {
    numRuns: RUNS,
    seed: SEED,
    interruptAfterTimeLimit: 200_000,
    includeErrorInReport: true,
  });
});
