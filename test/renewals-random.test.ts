/**
 * Short terms, lost answers and cancellations in any order, with several controllers in injected time: no renewal of
 * a lease leaves out a stop that its giver can know of, and no cancelled task outlives its time. A fixed seed; more
 * with RENEWALS_RUNS and RENEWALS_SEED:
 * `RENEWALS_RUNS=2000 RENEWALS_SEED=7 node --test target/check/test/renewals-random.test.js`.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import {
  ControlPlaneWorld,
  INCIDENT_TIMES,
  type DeploymentTimes,
} from './support/control-plane-world.js';
import { ReportLoop } from './support/report-loop.js';
import type { SimulatedController } from './support/simulated-controller.js';

const RUNS = Number(process.env.RENEWALS_RUNS ?? 800);
const SEED = Number(process.env.RENEWALS_SEED ?? 48);
const MACHINES = 3;
const JOBS = 5;
/** Length of a step of the day, in heartbeat intervals. */
const STEP_HEARTBEATS = 0.5;

/** The incident's times, and other ratios of heartbeats and `cancel_s` to a lease. */
const TIMES: DeploymentTimes[] = [
  INCIDENT_TIMES,
  { reportS: 1, leaseS: 10, cancelS: 30 },
  { reportS: 2, leaseS: 13, cancelS: 33 },
  { reportS: 2.5, leaseS: 15, cancelS: 40 },
];

const idOf = (number: number): string => `wk-${String(number % JOBS).padStart(6, '0')}`;

type Trouble = (world: ControlPlaneWorld, number: number) => void;

const some = (world: ControlPlaneWorld, number: number): SimulatedController =>
  world.controllers[number % world.controllers.length]!;
const leading = (world: ControlPlaneWorld, number: number): SimulatedController =>
  world.leader ?? some(world, number);

const TROUBLES: Record<string, Trouble> = {
  'the leader ends': (world, number) => leading(world, number).kill(),
  'the leader ends again': (world, number) => leading(world, number).kill(),
  'a controller ends': (world, number) => some(world, number).kill(),
  'all controllers end': (world) => world.controllers.forEach((each) => each.kill()),
  'those that ended are back': (world) => {
    for (const each of world.controllers) if (!each.alive) each.restart();
  },
  'the leader freezes': (world, number) => {
    leading(world, number).frozenUntil = world.now + (world.times.leaseS * (1 + number)) / 6;
  },
  'the leader is refused alone': (world, number) => {
    leading(world, number).ownStoreHealth = 'refused';
  },
  'the leader is cut from the store': (world, number) => {
    leading(world, number).ownStoreHealth = 'silent';
  },
  'the reads of the leader are lost': (world, number) => {
    leading(world, number).readsLost = true;
  },
  'a controller is cut from the others': (world, number) => {
    some(world, number).peersReachable = false;
  },
  'answers between controllers are lost': (world, number) => {
    const asker = some(world, number);
    for (const { node } of world.controllers)
      if (node !== asker.node && number % 2 === 0) asker.answersLostFrom.add(node);
    if (number % 2 === 1) asker.answersLostFrom.add(leading(world, number).node);
  },
  'links are whole': (world) => {
    for (const each of world.controllers) {
      each.ownStoreHealth = 'served';
      each.readsLost = false;
      each.peersReachable = true;
      each.answersLostFrom.clear();
    }
  },
  outage: (world) => void (world.storeOutage = true),
  'the outage is over': (world) => void (world.storeOutage = false),
  'a machine is deaf': (world, number) => void (machine(world, number).deaf = true),
  'a machine is mute': (world, number) => void (machine(world, number).mute = true),
  'machines are whole': (world) => {
    for (const worker of world.fleet.workers.values()) worker.deaf = worker.mute = false;
  },
  'direct commands are held back': (world) => void (world.holdsDirectCommands = true),
  'direct commands arrive': (world) => {
    world.holdsDirectCommands = false;
    world.deliverHeldBack();
  },
  'a job is cancelled': (world, number) => world.cancel(idOf(number)),
  'another job is cancelled': (world, number) => world.cancel(idOf(number + 1)),
};

const machine = (world: ControlPlaneWorld, number: number) =>
  [...world.fleet.workers.values()][number % MACHINES]!;

/** What must hold at any moment. */
function check(world: ControlPlaneWorld): void {
  assert.deepEqual(world.overdueTasks(), []);
  const wrong = world.omittedStops.filter(
    ({ sinceToldS, readByAll }) => readByAll || sinceToldS > world.allowanceS,
  );
  assert.deepEqual(wrong, []);
  assert.deepEqual(world.fleet.violations, []);
}

const event = fc.record({
  what: fc.constantFrom(...Object.keys(TROUBLES)),
  steps: fc.nat(5),
  number: fc.nat(5),
});

interface Day {
  times: DeploymentTimes;
  reportsNewToken: boolean;
  events: readonly { what: string; steps: number; number: number }[];
}

async function begin({ times, reportsNewToken }: Day): Promise<ControlPlaneWorld> {
  const world = new ControlPlaneWorld(times);
  for (let i = 0; i < MACHINES; i++) {
    const worker = world.fleet.add(`host-00000${i}`);
    world.reportLoops.push(new ReportLoop(world, worker, { reportsNewToken }, i));
  }
  await world.runUntil(times.leaseS / 2);
  for (let i = 0; i < JOBS; i++) {
    const kind = i % 2 === 0 ? 'service' : 'array';
    world.submitJob({ id: idOf(i), kind, tasks: 2, gpus: 1, cores: 1 });
  }
  await world.runUntil(times.leaseS * 1.5);
  return world;
}

async function play(day: Day): Promise<void> {
  const world = await begin(day);
  const stepS = day.times.reportS * STEP_HEARTBEATS;
  for (const { what, steps, number } of day.events) {
    TROUBLES[what]!(world, number);
    for (let i = 0; i < steps; i++) {
      await world.runUntil(world.now + stepS);
      check(world);
    }
  }
  // Terms stay short until every cancellation that was told has had its time.
  const until = Math.max(...world.toldAt.values(), world.now) + day.times.cancelS + stepS;
  for (let i = 0; world.now < until; i++) {
    if (i % 7 === 3) TROUBLES['the leader ends']!(world, i);
    if (i % 7 === 6) TROUBLES['those that ended are back']!(world, i);
    await world.runUntil(world.now + stepS);
    check(world);
  }
}

const day = fc.record({
  times: fc.constantFrom(...TIMES),
  reportsNewToken: fc.boolean(),
  events: fc.array(event, { minLength: 4, maxLength: 24 }),
});

test('troubles in any order over short terms: no renewal omits a stop, no cancelled task is overdue', async () => {
  await fc.assert(fc.asyncProperty(day, play), {
    seed: SEED,
    numRuns: RUNS,
    interruptAfterTimeLimit: Math.max(200, RUNS / 4) * 1000,
    markInterruptAsFailure: true,
  });
});
