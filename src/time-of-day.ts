/** A controller's time of day, for times that are shown to users or exchanged between processes. */

import { MAX_CLOCK_DRIFT, type Clock } from './clock.js';

/** A jump of the machine's clock is accepted once it has lasted this many workers' leases. */
const JUMP_CONFIRM_LEASES = 6;

/** Dependencies and settings of a `TimeOfDay`. */
export interface TimeOfDayOptions {
  clock: Clock;
  /** Reads the machine's clock: time of day in ms. */
  wallMs: () => number;
  /** Maximum deviation of the machine's clock from the true time, in ms. */
  skewMs: number;
  /** Length of a worker's lease, in seconds. */
  leaseS: number;
}

/**
 * The time of day of one process, which continues evenly when the machine's clock jumps. A difference within the known
 * bounds of the clocks is corrected gradually. A larger one is ignored until it has lasted for some leases, so that a clock
 * that is set wrong for a short time affects no decision.
 */
export class TimeOfDay {
  /** Time of day in ms at which the steady clock read 0. */
  private offsetMs: number;
  private lastReadAt: number;
  private jumpedSince: number | null = null;
  private readonly jumpConfirmS: number;
  /** Number of jumps accepted so far. */
  jumps = 0;
  /** Sum of the accepted jumps, in ms. */
  jumpedMs = 0;

  constructor(private readonly options: TimeOfDayOptions) {
    this.jumpConfirmS = options.leaseS * JUMP_CONFIRM_LEASES;
    this.lastReadAt = options.clock.now();
    this.offsetMs = options.wallMs() - this.lastReadAt * 1000;
  }

  /** Whether the machine's clock differed from this time of day by more than its known bounds at the last call of `nowMs`. */
  get hasPendingJump(): boolean {
    return this.jumpedSince !== null;
  }

  /** Time of day in ms. Must be called regularly: the age of a jump counts from the first call that sees it. */
  nowMs(): number {
    const { clock, wallMs, skewMs } = this.options;
    const now = clock.now();
    const differenceMs = wallMs() - now * 1000 - this.offsetMs;
    const slewMs = Math.max(0, now - this.lastReadAt) * 1000 * MAX_CLOCK_DRIFT;
    this.lastReadAt = now;
    if (Math.abs(differenceMs) <= 2 * skewMs + slewMs) {
      this.jumpedSince = null;
      this.offsetMs += Math.max(-slewMs, Math.min(slewMs, differenceMs));
    } else {
      this.jumpedSince ??= now;
      if (now - this.jumpedSince >= this.jumpConfirmS) this.acceptJump(differenceMs);
    }
    return this.offsetMs + now * 1000;
  }

  private acceptJump(differenceMs: number): void {
    this.offsetMs += differenceMs;
    this.jumpedMs += differenceMs;
    this.jumpedSince = null;
    this.jumps++;
  }
}

/**
 * The time of day in one term of leadership. `nowMs` is the time of day. `steadyMs` leaves out the jumps accepted in the
 * term, so the difference between two of its values is the time that has passed.
 */
export class TermTimeOfDay {
  private readonly initialJumpedMs: number;
  private readonly initialJumps: number;

  constructor(private readonly timeOfDay: TimeOfDay) {
    this.initialJumpedMs = timeOfDay.jumpedMs;
    this.initialJumps = timeOfDay.jumps;
  }

  /** Whether the machine's clock differed from this time of day by more than its known bounds at the last call of `nowMs`. */
  get hasPendingJump(): boolean {
    return this.timeOfDay.hasPendingJump;
  }

  /** Number of jumps accepted in this term. */
  get jumps(): number {
    return this.timeOfDay.jumps - this.initialJumps;
  }

  /** Sum of the jumps accepted in this term, in ms. */
  get jumpedMs(): number {
    return this.timeOfDay.jumpedMs - this.initialJumpedMs;
  }

  /** Time of day in ms. */
  nowMs(): number {
    return this.timeOfDay.nowMs();
  }

  /** Time of day in ms without the jumps accepted in this term. */
  steadyMs(): number {
    const nowMs = this.nowMs();
    return nowMs - this.jumpedMs;
  }
}
