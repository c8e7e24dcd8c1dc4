/**
 * Loans while the clock of the leader's machine jumps by an hour for one second. `TimeOfDay` ignores a jump until it
 * has lasted six leases.
 *
 * Guards against loans that are waived or reported as late because of the jump: a loan that was not due for 40 s was
 * waived at once with "no free place for the lender or the borrower", so that its lender did not run again before its
 * deadline, and a loan that had just been returned was reported as 3,599 s late. This happens if due times, the grace
 * period of returns and their durations are computed from the machine's time of day instead of the steady clock.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { LendingWorld, type Point } from './support/lending-world.js';

const HOUR_MS = 3_600_000;
const POINTS: Point[] = ['told, not saved', 'lent', 'recalled, not moved', 'moved, not settled'];

test('no loan is waived or late because the clock jumps for a second', async () => {
  for (const byMs of [HOUR_MS, -HOUR_MS]) {
    for (const point of POINTS) {
      const name = `${point}, by ${byMs} ms`;
      const world = new LendingWorld();
      await world.runToPoint(point);
      world.wallClockJumpMs = byMs;
      await world.run(1);
      world.wallClockJumpMs = 0;
      for (const { state, reason } of world.loans()) {
        assert.notEqual(state, 'waived', `${name}: ${reason}`);
        assert.doesNotMatch(reason ?? '', / late/, name);
      }
      await world.runToEnd();
    }
  }
});
