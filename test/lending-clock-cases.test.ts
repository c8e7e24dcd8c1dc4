/**
 * Loans while the machine's clock is set: for a moment, permanently, during a commit, and around a change of leader.
 *
 * Guards against loans that are waived, or reported as late, because a duration is computed from two times of day and
 * the clock is set between them.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { LOAN_PREFIX, encodeLoan, loanId, type Loan } from '../src/lending/loan.js';
import { LoanTable } from '../src/lending/loan-table.js';
import { LoanClock } from '../src/lending/loan-times.js';
import type { TermView } from '../src/subsystems/subsystem.js';
import { TimeOfDay } from '../src/time-of-day.js';
import { settings } from './helpers.js';
import { fake } from './support/fake.js';
import { LendingWorld, POINTS, type Point } from './support/lending-world.js';

const HOUR_MS = 3_600_000;
/** Longer than it takes until a jump of the clock is adopted. */
const JUMP_ADOPTED_S = 15;

/** How the clock is set while a loan is between two steps. */
const CLOCK_CHANGES: Record<string, (world: LendingWorld, byMs: number) => Promise<void>> = {
  'for a moment': async (world, byMs) => {
    world.wallClockJumpMs = byMs;
    await world.run(1);
    world.wallClockJumpMs = 0;
  },
  'to and fro': async (world, byMs) => {
    world.wallClockJumpMs = byMs;
    await world.run(1);
    world.wallClockJumpMs = -byMs;
    await world.run(1);
    world.wallClockJumpMs = 0;
  },
  'for good': async (world, byMs) => {
    world.wallClockJumpMs = byMs;
    await world.run(JUMP_ADOPTED_S);
  },
  'while commits are on their way': async (world, byMs) => {
    world.store.mode = 'hold back';
    await world.run(0.5);
    world.wallClockJumpMs = byMs;
    await world.run(0.5);
    world.store.mode = 'serve';
    world.store.deliverHeldBack();
    await world.run(0.5);
    world.wallClockJumpMs = 0;
  },
  'for a moment, in which a successor begins': async (world, byMs) => {
    world.wallClockJumpMs = byMs;
    world.failOver();
    await world.run(1);
    world.wallClockJumpMs = 0;
  },
  'for good, and a successor shows the time of before': async (world, byMs) => {
    world.wallClockJumpMs = byMs;
    await world.run(JUMP_ADOPTED_S);
    world.wallClockJumpMs = 0;
    world.failOver();
  },
  'a successor that is off by what clocks may differ': async (world, byMs) => {
    world.wallClockJumpMs = Math.sign(byMs) * 2 * world.settings.skewMs;
    world.failOver();
  },
};

function assertNotWaivedOrLate(world: LendingWorld, name: string): void {
  for (const { state, reason } of world.loans()) {
    assert.notEqual(state, 'waived', `${name}: ${reason}`);
    assert.doesNotMatch(reason, /\d s late/, name);
  }
}

for (const [way, set] of Object.entries(CLOCK_CHANGES)) {
  test(`the clock is set, ${way}: no loan is waived, and none is late`, async () => {
    for (const byMs of [HOUR_MS, -HOUR_MS]) {
      for (const point of POINTS as readonly Point[]) {
        const name = `${point}, by ${byMs} ms`;
        const world = new LendingWorld();
        await world.runToPoint(point);
        await set(world, byMs);
        assertNotWaivedOrLate(world, name);
        await world.runToEnd();
        assertNotWaivedOrLate(world, name);
      }
    }
  });
}

// Guards against a late recall: a later leader that granted the stored loan again before it had determined its times
// treated it as a loan of its own term, with a due time counted from then on.
test('a loan of an earlier term that is granted again keeps its due time', () => {
  let now = 100;
  const clock = { now: (): number => now };
  const timeOfDay = new TimeOfDay({ clock, wallMs: () => now * 1000, skewMs: 100, leaseS: 2 });
  const table = new LoanTable({
    nowMs: () => timeOfDay.nowMs(),
    onStored: () => undefined,
    onChange: (loan, before) => loanClock.recordChange(loan, before),
    onRemoved: () => undefined,
  });
  const loanClock = new LoanClock(fake<TermView>({ ...clock, timeOfDay, settings: settings() }));
  const stored: Loan = {
    ...{ lender: 'wk-1', tasks: [{ index: 0, attempt: 2, machine: 'm1' }], borrower: 'wk-2' },
    ...{ machine: 'm1', gpus: 8, state: 'requested', used: false, reason: '' },
    ...{ grantedMs: 80_000, changedMs: 80_000, dueMs: 140_000 },
  };
  const key = LOAN_PREFIX + loanId(stored);
  table.reconcile(new Map([[key, { value: encodeLoan(stored), revision: 5 }]]));
  const entry = table.get(loanId(stored))!;
  table.apply(entry, { kind: 'granted-again', borrower: 'wk-3', reason: '' });
  assert.ok(Math.abs(loanClock.timesOf(entry.current).dueAt! - 140) < 1e-6);
  // A loan of this term is due after the time for which it was granted.
  now = 110;
  const own = table.add({ ...stored, lender: 'wk-4', grantedMs: 110_000, changedMs: 110_000 });
  assert.equal(loanClock.timesOf(own.current).dueAt, 140);
});
