/**
 * Loans where the time of day jumps for a moment.
 *
 * What happens: the leader's time of day is an hour ahead for a second; warm pools doubt such a jump for six leases.
 * A loan that is not due for 40 s is waived at once, for "no free place for the lender or the borrower", and nothing
 * brings its lender back before its deadline; one that has just been returned is told as 3,599 s late.
 * Why: due times, the patience with returns and their lengths are differences to the time of day as it is at that moment
 * (`view.wallMs()` in src/lending); no steady clock stands behind them. Not mended yet: KNOWN-RED.txt.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { LendingWorld, type Point } from './support/lending-world.js';

const HOUR_MS = 3_600_000;
const POINTS: Point[] = ['told, not saved', 'lent', 'recalled, not moved', 'moved, not settled'];

test('a time of day that jumps for a second gives up no loan, and makes none late', async () => {
  for (const byMs of [HOUR_MS, -HOUR_MS]) {
    for (const point of POINTS) {
      const name = `${point}, by ${byMs} ms`;
      const world = new LendingWorld();
      await world.runToPoint(point);
      world.wallJumpMs = byMs;
      await world.run(1);
      world.wallJumpMs = 0;
      for (const { state, reason } of world.loans()) {
        assert.notEqual(state, 'waived', `${name}: ${reason}`);
        assert.doesNotMatch(reason ?? '', / late/, name);
      }
      await world.runToEnd();
    }
  }
});
