/** Random fault scenarios for several controllers in simulated time; invariants are checked after every step. */
import assert from 'node:assert/strict';
import fc from 'fast-check';
import type { ControlPlaneWorld } from './control-plane-world.js';
import { startScenario, type Fault, type FaultScenario } from './fault-scenarios.js';

/** Greatest time between two checks, in tenths of a heartbeat interval. */
const CHECK_INTERVAL_TENTHS = 5;
/**
 * Possible gaps between events, in tenths of a heartbeat interval. Most are shorter than an interval,
 * since a start is repeated, and an old one fenced off, within an interval.
 */
const GAP_CHOICES_TENTHS = [0, 1, 2, 3, 5, 10, 20];

/** An event and the time that passes after it. */
export interface TimedFault {
  what: string;
  number: number;
  /** Time until the next event, in tenths of a heartbeat interval. */
  gap: number;
}

/** A scenario whose events have individual gaps. */
export interface TimedFaultScenario extends Omit<FaultScenario, 'events'> {
  events: readonly TimedFault[];
}

/** Invariants that hold at all times. */
function checkInvariants(world: ControlPlaneWorld): void {
  assert.deepEqual(world.lateStarts(), []);
  assert.deepEqual(world.overdueTasks(), []);
  assert.deepEqual(world.overQuota(), []);
  assert.deepEqual(world.fleet.violations, []);
  assert.deepEqual(world.directNetwork.repeatableStarts(), []);
  assert.deepEqual(world.directNetwork.startsByCopies, []);
}

/** Advances time and checks the invariants regularly. */
async function runWithChecks(world: ControlPlaneWorld, tenths: number): Promise<void> {
  for (let left = tenths; left > 0; left -= CHECK_INTERVAL_TENTHS) {
    await world.runUntil(
      world.now + (Math.min(left, CHECK_INTERVAL_TENTHS) * world.times.reportS) / 10,
    );
    checkInvariants(world);
  }
}

/**
 * Runs a scenario, then goes on without further events until `cancel_s` has passed since the last event
 * and the last confirmed cancellation; by then every lease that is not renewed has expired too.
 */
async function runScenario(
  { events, ...scenario }: TimedFaultScenario,
  faults: Record<string, Fault>,
): Promise<void> {
  const world = await startScenario({ ...scenario, events: [] });
  for (const { what, number, gap } of events) {
    faults[what]!(world, number);
    await runWithChecks(world, gap);
  }
  const until = Math.max(...world.confirmedAt.values(), world.now) + scenario.times.cancelS;
  while (world.now <= until) await runWithChecks(world, CHECK_INTERVAL_TENTHS);
  world.deliverDelayedCommands();
  checkInvariants(world);
}

/** Runs random scenarios; fails with the shortest one found that violates an invariant. */
export async function assertScenarios(
  scenario: fc.Arbitrary<TimedFaultScenario>,
  faults: Record<string, Fault>,
  { seed, runs }: { seed: number; runs: number },
): Promise<void> {
  await fc.assert(
    fc.asyncProperty(scenario, (each) => runScenario(each, faults)),
    {
      seed,
      numRuns: runs,
      interruptAfterTimeLimit: Math.max(200, runs / 4) * 1000,
      markInterruptAsFailure: true,
    },
  );
}

/** One of these events with a random gap. `largest`: the greatest number that selects the target or the duration. */
export function anyOf(names: readonly string[], largest = 5): fc.Arbitrary<TimedFault> {
  return fc.record({
    what: fc.constantFrom(...names),
    number: fc.nat(largest),
    gap: fc.constantFrom(...GAP_CHOICES_TENTHS),
  });
}
