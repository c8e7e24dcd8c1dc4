/**
 * Random sequences, in injected time, of freezes of controllers, outages, refusals of one controller, cut links, unreachable
 * machines, crashes of leaders and delayed direct commands. After every step no task is on two machines, no cancelled task
 * runs or may start after its time limit, and no quota is exceeded. The seed is fixed; other runs with
 * `FREEZES_RUNS=5000 FREEZES_SEED=7 node --test target/check/test/frozen-controllers-random.test.js`.
 */
import { test } from 'node:test';
import fc from 'fast-check';
import { anyOf, assertScenarios, type TimedFault } from './support/scenario-search.js';
import { TIMES, FAULTS, type Fault } from './support/fault-scenarios.js';

const RUNS = Number(process.env.FREEZES_RUNS ?? 1200);
const SEED = Number(process.env.FREEZES_SEED ?? 1);
/** The initial five jobs have ten tasks; two more jobs fit before further ones must wait. */
const GPUS_MAX = 14;
/** Freezes are multiples of this share of a lease, some shorter and some longer than the TTL of a leader's key. */
const FREEZE_STEP_LEASES = 1 / 15;
/** The number of an event selects a controller by its remainder, and the length of a freeze by its quotient. */
const CONTROLLERS = 3;
const MAX_EVENT_NUMBER = 20 * CONTROLLERS;

const freezeS = (leaseS: number, number: number): number =>
  leaseS * FREEZE_STEP_LEASES * (1 + Math.floor(number / CONTROLLERS));

const FREEZES: Record<string, Fault> = {
  'leader freeze': (world, number) => {
    const leader = world.leader ?? world.controllers[0]!;
    leader.frozenUntil = world.now + freezeS(world.times.leaseS, number);
  },
  'a controller freezes': (world, number) => {
    const controller = world.controllers[number % CONTROLLERS]!;
    controller.frozenUntil = world.now + freezeS(world.times.leaseS, number);
  },
};

const OTHERS: Record<string, Fault> = {
  'a controller is refused alone': (world, number) => {
    world.controllers[number % CONTROLLERS]!.ownStoreHealth = 'refused';
  },
  'a job arrives': (world) => {
    if (world.storeOutage) return;
    const id = `wk-${String(world.accepted.length).padStart(6, '0')}`;
    world.submitJob({ id, kind: 'service', tasks: 2, gpus: 1, cores: 1 });
  },
};

const ALL: Record<string, Fault> = { ...FAULTS, ...OTHERS, ...FREEZES };

const event = (...names: string[]): fc.Arbitrary<TimedFault> => anyOf(names, MAX_EVENT_NUMBER);
const anyEvents = (maxLength: number): fc.Arbitrary<TimedFault[]> =>
  fc.array(event(...Object.keys(ALL)), { maxLength });

/** A freeze together with a condition in which others may renew leases, and then a machine that is unreachable. */
const anyTroubles = fc.tuple(
  anyEvents(3),
  event(...Object.keys(FREEZES)),
  event('outage', 'a controller is refused alone', 'partition of a controller from its peers'),
  anyEvents(3),
  event('lost messages to a worker', 'lost heartbeats of a worker'),
  anyEvents(2),
  event('end of the outage', 'controller links restored', 'leader crash', 'outage'),
  anyEvents(4),
);

/** The leader is frozen for most of an outage, and a machine is unreachable from its end on. */
const frozenInOutage = fc.tuple(
  anyEvents(1),
  event('leader freeze'),
  event('outage'),
  anyEvents(1),
  event('end of the outage'),
  event('lost messages to a worker', 'lost heartbeats of a worker'),
  anyEvents(1),
);

const events = fc.oneof(anyTroubles, frozenInOutage).map((parts) => parts.flat());

const scenario = fc.record({
  times: fc.constantFrom(...TIMES),
  reportsNewToken: fc.boolean(),
  gpusMax: fc.constant(GPUS_MAX),
  events,
});

// Guards against a leader that was frozen during an outage and starts tasks again whose leases others have renewed.
test('with random freezes and other faults no task is on two machines, and none outlives its cancellation', async () => {
  await assertScenarios(scenario, ALL, { seed: SEED, runs: RUNS });
});
