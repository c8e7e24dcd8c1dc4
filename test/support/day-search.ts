/** Random days for several controllers in injected time: events with gaps between them, and a look at every rule after each step. */
import assert from 'node:assert/strict';
import fc from 'fast-check';
import type { ControlPlaneWorld } from './control-plane-world.js';
import { beginDay, type Trouble, type TroubledDay } from './troubled-days.js';

/** At most so many tenths of a heartbeat interval pass between two looks. */
const CHECK_INTERVAL_TENTHS = 5;
/** How long it may be until the next event, in tenths: a start is repeated, and fenced off, within an interval. */
const GAP_CHOICES_TENTHS = [0, 1, 2, 3, 5, 10, 20];

/** Something that happens, and the time after it. */
export interface DayEvent {
  what: string;
  number: number;
  /** Until the next event, in tenths of a heartbeat interval. */
  gap: number;
}

/** A day of events, and how workers report on it. */
export interface TimedFaultScenario extends Omit<TroubledDay, 'events'> {
  events: readonly DayEvent[];
}

/** What must hold at any moment. */
function checkInvariants(world: ControlPlaneWorld): void {
  assert.deepEqual(world.lateStarts(), []);
  assert.deepEqual(world.overdueTasks(), []);
  assert.deepEqual(world.overQuota(), []);
  assert.deepEqual(world.fleet.violations, []);
}

/** Time passes, with looks in between. */
async function runWithChecks(world: ControlPlaneWorld, tenths: number): Promise<void> {
  for (let left = tenths; left > 0; left -= CHECK_INTERVAL_TENTHS) {
    await world.runUntil(
      world.now + (Math.min(left, CHECK_INTERVAL_TENTHS) * world.times.reportS) / 10,
    );
    checkInvariants(world);
  }
}

/** Plays a day, and as it is then until every cancellation that was told, and every lease, has had its time. */
async function runScenario(
  { events, ...day }: TimedFaultScenario,
  troubles: Record<string, Trouble>,
): Promise<void> {
  const world = await beginDay({ ...day, events: [] });
  for (const { what, number, gap } of events) {
    troubles[what]!(world, number);
    await runWithChecks(world, gap);
  }
  const until = Math.max(...world.toldAt.values(), world.now) + day.times.cancelS;
  while (world.now <= until) await runWithChecks(world, CHECK_INTERVAL_TENTHS);
  world.deliverHeldBack();
  checkInvariants(world);
}

/** Plays so many random days; fails with the shortest one found on which a rule is broken. */
export async function assertDays(
  day: fc.Arbitrary<TimedFaultScenario>,
  troubles: Record<string, Trouble>,
  { seed, runs }: { seed: number; runs: number },
): Promise<void> {
  await fc.assert(
    fc.asyncProperty(day, (each) => runScenario(each, troubles)),
    {
      seed,
      numRuns: runs,
      interruptAfterTimeLimit: Math.max(200, runs / 4) * 1000,
      markInterruptAsFailure: true,
    },
  );
}

/** One of these, and some time after it. `largest`: of the numbers that choose to whom, or for how long. */
export function anyOf(names: readonly string[], largest = 5): fc.Arbitrary<DayEvent> {
  return fc.record({
    what: fc.constantFrom(...names),
    number: fc.nat(largest),
    gap: fc.constantFrom(...GAP_CHOICES_TENTHS),
  });
}
