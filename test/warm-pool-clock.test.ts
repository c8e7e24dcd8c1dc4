/**
 * What is billed where the time of day is set while slots are held.
 *
 * What happens: a machine is kept for some seconds, and an hour of it is billed.
 * Why: the beginning of a held interval was kept in the time of day that counted, and moved once when that was set. A
 * commit that was on its way before then, carried out or read back later, brought the beginning as it was; nothing moved
 * it again, and the end was taken by the other time of day. A request that was sent between the setting and the move
 * had its beginning moved although it was of the new time already; and a successor took up beginnings that had been
 * moved by a clock that was not its own.
 * Evidence: the slots' changes of the first case, in order, with the steady time, the interval and the revision:
 * 18.2 warm [16.6 s, -) on its way at revision 5; 21.4 the clock is set by 3,600 s: [3616.6 s, -), then released
 * [3616.6 s, 3621.4 s), not stored; 22.6 adopted from revision 7: warm [16.6 s, -); 22.6 released [16.6 s, 3622.6 s) as
 * revision 8. No leader changes: it is not the fault of a successor that begins with a wrong clock.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { BURST_AT_S, HOLD_S, type WarmPoolWorld } from './support/warm-pool-world.js';
import { assertNear, runCases, billTotals } from './support/warm-pool-cases.js';

const HOUR_MS = 3_600_000;
/** A set clock is followed after six leases of 2 s. */
const FOLLOWED_AFTER_S = 12;

/** Seconds for which the pool's first machine was kept, until this second. */
const reservedS = (world: WarmPoolWorld, until: number): number =>
  until - [...world.cloud.machines.values()][0]!.addedAt;

/**
 * All is over and billed: the pool's machine for so many seconds, as far as that can be known; and no more than
 * `unknowableS`, beside the intervals between heartbeats, is marked as uncertain.
 */
function checkBill(world: WarmPoolWorld, seconds: number, boundS = 0): void {
  assert.deepEqual(world.slots(), [], 'all slots are over');
  const { machineS, uncertainS } = billTotals(world);
  assert.ok(uncertainS <= boundS + 2, `uncertain: ${uncertainS}`);
  assertNear(machineS, seconds, boundS + 2, 'machine-seconds');
}

/** The store takes what was held back, and serves. */
function resumeStore(world: WarmPoolWorld): void {
  world.canWrite = true;
  world.store.mode = 'serve';
  world.store.deliverHeldBack();
}

test('an interval is as long as it lasted, whenever the time of day is set', async () => {
  await runCases([
    {
      name: 'a commit from before is carried out later',
      async run(world) {
        await world.runUntil(9);
        world.wallJumpMs = HOUR_MS;
        await world.runUntil(17.4);
        world.store.mode = 'hold back';
        await world.runUntil(9 + FOLLOWED_AFTER_S + 1);
        resumeStore(world);
        await world.run(3);
        checkBill(world, reservedS(world, 9 + FOLLOWED_AFTER_S + 1));
      },
    },
    {
      name: 'the answer to a commit from before is lost, and its record is read back',
      async run(world) {
        await world.runUntil(9);
        world.wallJumpMs = HOUR_MS;
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
        // Planned, and its request named, by then; it is due at 16.4 s.
        await world.runUntil(3.4);
        world.wallJumpMs = HOUR_MS;
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
      name: 'a clock is followed back, and a successor whose clock is right takes over',
      async run(world) {
        await world.runUntil(BURST_AT_S + 1);
        world.wallJumpMs = -10_000;
        await world.run(FOLLOWED_AFTER_S + 1);
        world.wallJumpMs = 0;
        world.failOver();
        await world.runUntil(BURST_AT_S + HOLD_S + 3);
        // Which of the two times of day was right the successor cannot know: 10 s for the whole machine.
        checkBill(world, reservedS(world, BURST_AT_S + HOLD_S), 10);
      },
    },
    {
      name: 'a clock is followed ahead, and a successor whose clock is right takes over',
      async run(world) {
        await world.runUntil(BURST_AT_S + 1);
        world.wallJumpMs = 5000;
        await world.run(FOLLOWED_AFTER_S + 1);
        world.wallJumpMs = 0;
        world.failOver();
        await world.runUntil(BURST_AT_S + HOLD_S + 3);
        checkBill(world, reservedS(world, BURST_AT_S + HOLD_S), 5);
      },
    },
  ]);
});
