/**
 * Random sequences, in simulated time, of copies of direct commands that were carried out, with jobs that are cancelled,
 * preempted and done, leaders that end, freeze and return, outages, and machines that hang, restart or are unreachable.
 * After every step no copy could start a task, none is on two machines, no quota is exceeded and no cancelled task runs
 * after its time limit. The seed is fixed; other runs with
 * `COPIES_RUNS=20000 COPIES_SEED=7 node --test target/check/test/late-copies-random.test.js`.
 */
import { test } from 'node:test';
import fc from 'fast-check';
import type { ControlPlaneWorld } from './support/control-plane-world.js';
import { FAULTS, TIMES, type Fault } from './support/fault-scenarios.js';
import { anyOf, assertScenarios, type TimedFault } from './support/scenario-search.js';
import type { Worker } from './support/simulated-fleet.js';

const RUNS = Number(process.env.COPIES_RUNS ?? 400);
const SEED = Number(process.env.COPIES_SEED ?? 1);
/** The initial five jobs use ten GPUs; an urgent job of a whole machine fits beside them. */
const GPUS_MAX = 20;
/** A copy belongs to one of this many groups, which arrive together. */
const COPY_GROUPS = 3;

const pick = <T>(all: readonly T[], number: number): T | undefined => all[number % all.length];

const workerAt = (world: ControlPlaneWorld, number: number): Worker =>
  pick([...world.fleet.workers.values()], number)!;

function accept(world: ControlPlaneWorld, over: Parameters<ControlPlaneWorld['submitJob']>[0]) {
  if (world.storeOutage) return;
  world.submitJob({ id: `wk-${String(world.accepted.length).padStart(6, '0')}`, ...over });
}

function endTask(world: ControlPlaneWorld, number: number, cause: 'done' | 'error'): void {
  const worker = workerAt(world, number);
  const running = [...worker.tasks.values()].filter(({ state }) => state !== 'ended');
  const task = pick(running, number);
  if (task !== undefined) worker.end(task, cause);
}

const RETURNS: Record<string, Fault> = {
  'a controller is back at once': (world, number) => {
    const controller = pick(world.controllers, number)!;
    controller.kill();
    controller.restart();
  },
  'the leader is back at once': (world, number) => {
    const leader = world.leader ?? pick(world.controllers, number)!;
    leader.kill();
    leader.restart();
  },
  'a machine hangs': (world, number) => void (workerAt(world, number).hangs = true),
  'machines go on': (world) => {
    for (const worker of world.fleet.workers.values()) worker.hangs = false;
    world.deliverDelayedCommands();
  },
  'a machine is back at once': (world, number) => {
    const worker = workerAt(world, number);
    worker.restart();
    worker.token = 0;
  },
};

const WORK: Record<string, Fault> = {
  'an array arrives': (world) => accept(world, { tasks: 2, cores: 1 }),
  'a gang arrives': (world) => accept(world, { kind: 'gang', tasks: 3, cores: 1 }),
  'an urgent job takes a machine': (world) =>
    accept(world, { kind: 'service', priority: 0, gpus: 8, cores: 8 }),
  'the newest job is cancelled': (world) => world.cancel(world.accepted.at(-1)!),
  'a task is done': (world, number) => endTask(world, number, 'done'),
  'a task fails': (world, number) => endTask(world, number, 'error'),
  'a machine refuses starts': (world, number) =>
    void (workerAt(world, number).refusesStarts = true),
  'machines have room again': (world) => {
    for (const worker of world.fleet.workers.values()) worker.refusesStarts = false;
  },
};

const COPIES: Record<string, Fault> = {
  'copies of all direct messages arrive': (world) => world.directNetwork.deliverCopies(),
  'some copies arrive': (world, number) =>
    world.directNetwork.deliverCopies((_, index) => (index + number) % COPY_GROUPS === 0),
};

const ALL: Record<string, Fault> = { ...FAULTS, ...RETURNS, ...WORK, ...COPIES };

const event = (...names: string[]): fc.Arbitrary<TimedFault> => anyOf(names);
const anyEvents = (maxLength: number): fc.Arbitrary<TimedFault[]> =>
  fc.array(event(...Object.keys(ALL)), { maxLength });

const events = fc
  .tuple(
    anyEvents(3),
    event('an array arrives', 'a gang arrives'),
    anyEvents(2),
    event(...Object.keys(WORK)),
    anyEvents(4),
    event(...Object.keys(RETURNS), 'leader crash', 'outage', 'leader freeze'),
    anyEvents(3),
    event(...Object.keys(COPIES)),
    anyEvents(3),
  )
  .map((parts) => parts.flat());

const scenario = fc.record({
  times: fc.constantFrom(...TIMES),
  reportsNewToken: fc.boolean(),
  gpusMax: fc.constant(GPUS_MAX),
  events,
});

test('random faults with late copies: no copy of a direct message starts a task, and no rule is broken', async () => {
  await assertScenarios(scenario, ALL, { seed: SEED, runs: RUNS });
});
