/**
 * Short terms, lost answers and cancellations in any order, with several controllers and an injected clock: no renewal
 * of a lease omits a stop that the renewing controller can know of, and no cancelled task runs for longer than
 * `cancel_s`. The seed is fixed; for more or other runs, set RENEWALS_RUNS and RENEWALS_SEED:
 * `RENEWALS_RUNS=2000 RENEWALS_SEED=7 node --test target/check/test/renewals-random.test.js`.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import type { ControlPlaneWorld } from './support/control-plane-world.js';
import { TIMES, FAULTS, startScenario, type FaultScenario } from './support/fault-scenarios.js';

const RUNS = Number(process.env.RENEWALS_RUNS ?? 800);
const SEED = Number(process.env.RENEWALS_SEED ?? 48);
/** Length of a time step, in heartbeat intervals. */
const STEP_HEARTBEATS = 0.5;

/** Checks the invariants. */
function check(world: ControlPlaneWorld): void {
  assert.deepEqual(world.overdueTasks(), []);
  const wrong = world.omittedStops.filter(
    ({ sinceConfirmedS, readByAll }) => readByAll || sinceConfirmedS > world.allowanceS,
  );
  assert.deepEqual(wrong, []);
  assert.deepEqual(world.fleet.violations, []);
}

const event = fc.record({
  what: fc.constantFrom(...Object.keys(FAULTS)),
  steps: fc.nat(5),
  number: fc.nat(5),
});

async function play(scenario: FaultScenario): Promise<void> {
  const world = await startScenario(scenario);
  const stepS = scenario.times.reportS * STEP_HEARTBEATS;
  for (const { what, steps, number } of scenario.events) {
    FAULTS[what]!(world, number);
    for (let i = 0; i < steps; i++) {
      await world.runUntil(world.now + stepS);
      check(world);
    }
  }
  // Terms stay short until cancel_s has passed since every cancellation that a user was told of.
  const until = Math.max(...world.confirmedAt.values(), world.now) + scenario.times.cancelS + stepS;
  for (let i = 0; world.now < until; i++) {
    if (i % 7 === 3) FAULTS['leader crash']!(world, i);
    if (i % 7 === 6) FAULTS['restart of crashed controllers']!(world, i);
    await world.runUntil(world.now + stepS);
    check(world);
  }
}

const scenario = fc.record({
  times: fc.constantFrom(...TIMES),
  reportsNewToken: fc.boolean(),
  events: fc.array(event, { minLength: 4, maxLength: 24 }),
});

test('random faults over short terms: no renewal omits a stop, and no cancelled task is overdue', async () => {
  await fc.assert(fc.asyncProperty(scenario, play), {
    seed: SEED,
    numRuns: RUNS,
    interruptAfterTimeLimit: Math.max(200, RUNS / 4) * 1000,
    markInterruptAsFailure: true,
  });
});
