/**
 * Billing when the time of day is set while slots are held.
 *
 * Guards against an hour being billed for a machine that was held for only some seconds. The start of a held
 * interval used to be stored in the time of day and was adjusted once when that was set, which failed in three
 * ways. A commit from before the change, carried out or read back later, restored the old start; it was not
 * adjusted again, but the end was taken from the new time of day. The start of a request that was sent after the
 * change and before the adjustment was adjusted although it was in the new time of day already. A successor
 * adopted starts that were adjusted by another machine's clock. The first failure occurs without a change of
 * leader, so a successor that begins with a wrong clock is not its cause.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { BURST_AT_S, HOLD_S, type WarmPoolWorld } from './support/warm-pool-world.js';
import { assertNear, runCases, billTotals } from './support/warm-pool-cases.js';

const HOUR_MS = 3_600_000;
/** A clock that was set is followed after six leases of 2 s. */
const FOLLOWED_AFTER_S = 12;

/** Seconds from the addition of the pool's first machine to `until`. */
const reservedS = (world: WarmPoolWorld, until: number): number =>
  until - [...world.cloud.machines.values()][0]!.addedAt;

/**
 * Checks that all slots are over and that the pool's machine is billed for `seconds`. At most `maxUncertainS`, plus
 * 2 s for the intervals between heartbeats, may be uncertain.
 */
function checkBill(world: WarmPoolWorld, seconds: number, maxUncertainS = 0): void {
  assert.deepEqual(world.slots(), [], 'all slots are over');
  const { machineS, uncertainS } = billTotals(world);
  assert.ok(uncertainS <= maxUncertainS + 2, `uncertain: ${uncertainS}`);
  assertNear(machineS, seconds, maxUncertainS + 2, 'machine-seconds');
}

/** The store serves again and receives the commits that were held back. */
function resumeStore(world: WarmPoolWorld): void {
  world.canWrite = true;
  world.store.mode = 'serve';
  world.store.deliverHeldBack();
}

test('a held interval keeps its length whenever the time of day is set', async () => {
  await runCases([
    {
      name: 'a commit from before the change is carried out later',
      async run(world) {
        await world.runUntil(9);
        world.wallClockJumpMs = HOUR_MS;
        await world.runUntil(17.4);
        world.store.mode = 'hold back';
        await world.runUntil(9 + FOLLOWED_AFTER_S + 1);
        resumeStore(world);
        await world.run(3);
        checkBill(world, reservedS(world, 9 + FOLLOWED_AFTER_S + 1));
      },
    },
    {
      name: 'the answer to a commit from before the change is lost, and its record is read back',
      async run(world) {
        await world.runUntil(9);
        world.wallClockJumpMs = HOUR_MS;
        await world.runUntil(17.4);
        world.store.mode = 'lose answers';
        await world.runUntil(9 + FOLLOWED_AFTER_S + 1);
        resumeStore(world);
        await world.run(3);
        checkBill(world, reservedS(world, 9 + FOLLOWED_AFTER_S));
      },
    },
    {
      name: 'a request is sent in an outage, after the time of day was set',
      async run(world) {
        // By then the slot is planned and its request named; the request is due at 16.4 s.
        await world.runUntil(3.4);
        world.wallClockJumpMs = HOUR_MS;
        await world.runUntil(13.4);
        world.canWrite = false;
        world.store.mode = 'refuse';
        await world.runUntil(3.4 + FOLLOWED_AFTER_S + 5);
        resumeStore(world);
        await world.run(3);
        checkBill(world, reservedS(world, 3.4 + FOLLOWED_AFTER_S + 5));
      },
    },
    {
      name: 'a clock that went back is followed, and a successor whose clock is right takes over',
      async run(world) {
        await world.runUntil(BURST_AT_S + 1);
        world.wallClockJumpMs = -10_000;
        await world.run(FOLLOWED_AFTER_S + 1);
        world.wallClockJumpMs = 0;
        world.failOver();
        await world.runUntil(BURST_AT_S + HOLD_S + 3);
        // The successor cannot know which of the two times of day was right: 10 s for the whole machine.
        checkBill(world, reservedS(world, BURST_AT_S + HOLD_S), 10);
      },
    },
    {
      name: 'a clock that went ahead is followed, and a successor whose clock is right takes over',
      async run(world) {
        await world.runUntil(BURST_AT_S + 1);
        world.wallClockJumpMs = 5000;
        await world.run(FOLLOWED_AFTER_S + 1);
        world.wallClockJumpMs = 0;
        world.failOver();
        await world.runUntil(BURST_AT_S + HOLD_S + 3);
        checkBill(world, reservedS(world, BURST_AT_S + HOLD_S), 5);
      },
    },
  ]);
});
