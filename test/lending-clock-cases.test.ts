/**
 * Loans where the time of day is set: for a moment, for good, while a commit is on its way, and beside a change of leader.
 *
 * Guards against loans that are given up, or told to be late, because two times of day were subtracted from each other.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { LendingWorld, POINTS, type Point } from './support/lending-world.js';

const HOUR_MS = 3_600_000;
/** Longer than it takes until a jump is followed. */
const FOLLOWED_S = 15;

/** How the time of day is set; the loan is at some point of its way. */
const WAYS: Record<string, (world: LendingWorld, byMs: number) => Promise<void>> = {
  'for a moment': async (world, byMs) => {
    world.wallJumpMs = byMs;
    await world.run(1);
    world.wallJumpMs = 0;
  },
  'to and fro': async (world, byMs) => {
    world.wallJumpMs = byMs;
    await world.run(1);
    world.wallJumpMs = -byMs;
    await world.run(1);
    world.wallJumpMs = 0;
  },
  'for good': async (world, byMs) => {
    world.wallJumpMs = byMs;
    await world.run(FOLLOWED_S);
  },
  'while commits are on their way': async (world, byMs) => {
    world.store.mode = 'hold back';
    await world.run(0.5);
    world.wallJumpMs = byMs;
    await world.run(0.5);
    world.store.mode = 'serve';
    world.store.deliverHeldBack();
    await world.run(0.5);
    world.wallJumpMs = 0;
  },
  'for a moment, in which a successor begins': async (world, byMs) => {
    world.wallJumpMs = byMs;
    world.failOver();
    await world.run(1);
    world.wallJumpMs = 0;
  },
  'for good, and a successor shows the time of before': async (world, byMs) => {
    world.wallJumpMs = byMs;
    await world.run(FOLLOWED_S);
    world.wallJumpMs = 0;
    world.failOver();
  },
  'a successor that is off by what clocks may differ': async (world, byMs) => {
    world.wallJumpMs = Math.sign(byMs) * 2 * world.settings.skewMs;
    world.failOver();
  },
};

function assertKept(world: LendingWorld, name: string): void {
  for (const { state, reason } of world.loans()) {
    assert.notEqual(state, 'waived', `${name}: ${reason}`);
    assert.doesNotMatch(reason, /\d s late/, name);
  }
}

for (const [way, set] of Object.entries(WAYS)) {
  test(`the time of day is set, ${way}: no loan is given up, and none is late`, async () => {
    for (const byMs of [HOUR_MS, -HOUR_MS]) {
      for (const point of POINTS as readonly Point[]) {
        const name = `${point}, by ${byMs} ms`;
        const world = new LendingWorld();
        await world.playTo(point);
        await set(world, byMs);
        assertKept(world, name);
        await world.settle();
        assertKept(world, name);
      }
    }
  });
}
