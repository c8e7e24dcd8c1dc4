/** The time of day that a controller goes by: it names moments to people and across processes. */

import { MAX_CLOCK_DRIFT, type Clock } from './clock.js';

/** A jump of the machine's clock is believed after so many leases. */
const JUMP_LEASES = 6;

/** What a `TimeOfDay` works with. */
export interface TimeOfDayOptions {
  clock: Clock;
  /** Time of day in ms, as the machine's clock shows it. */
  wallMs: () => number;
  /** How far the time of day may be from the true one, in ms. */
  skewMs: number;
  /** A lease of the workers, in seconds. */
  leaseS: number;
}

/**
 * The time of day of one process. It goes on evenly when the clock of the machine jumps. What it is off by within the
 * clocks' known bounds is made up for slowly. A larger difference is ignored until it has lasted: what a clock shows that
 * was set wrong for a moment decides nothing.
 */
export class TimeOfDay {
  /** Time of day, in ms, at which the steady clock was 0. */
  private zeroMs: number;
  private seenAt: number;
  private jumpedSince: number | null = null;
  private readonly settleS: number;
  /** Jumps that lasted and are followed since. */
  jumps = 0;
  /** By how much the time of day was set in all, in ms. */
  setMs = 0;

  constructor(private readonly options: TimeOfDayOptions) {
    this.settleS = options.leaseS * JUMP_LEASES;
    this.seenAt = options.clock.now();
    this.zeroMs = options.wallMs() - this.seenAt * 1000;
  }

  /** Whether the machine's clock shows another time at present than the one that counts. */
  get doubted(): boolean {
    return this.jumpedSince !== null;
  }

  /** Time of day in ms. To be asked for regularly: a jump counts from when it was first seen. */
  nowMs(): number {
    const { clock, wallMs, skewMs } = this.options;
    const at = clock.now();
    const differenceMs = wallMs() - at * 1000 - this.zeroMs;
    const slewMs = Math.max(0, at - this.seenAt) * 1000 * MAX_CLOCK_DRIFT;
    this.seenAt = at;
    if (Math.abs(differenceMs) <= 2 * skewMs + slewMs) {
      this.jumpedSince = null;
      this.zeroMs += Math.max(-slewMs, Math.min(slewMs, differenceMs));
    } else {
      this.jumpedSince ??= at;
      if (at - this.jumpedSince >= this.settleS) this.follow(differenceMs);
    }
    return this.zeroMs + at * 1000;
  }

  private follow(differenceMs: number): void {
    this.zeroMs += differenceMs;
    this.setMs += differenceMs;
    this.jumpedSince = null;
    this.jumps++;
  }
}

/**
 * The time of day in one term of leadership. `nowMs` names moments. `steadyMs` is never set in the term: the difference
 * between two of its values is the time that has passed, whatever came between.
 */
export class TermTimeOfDay {
  private readonly setBeforeMs: number;
  private readonly jumpsBefore: number;

  constructor(private readonly timeOfDay: TimeOfDay) {
    this.setBeforeMs = timeOfDay.setMs;
    this.jumpsBefore = timeOfDay.jumps;
  }

  /** Whether the machine's clock shows another time at present than the one that counts. */
  get doubted(): boolean {
    return this.timeOfDay.doubted;
  }

  /** Jumps that lasted and were followed in this term. */
  get jumps(): number {
    return this.timeOfDay.jumps - this.jumpsBefore;
  }

  /** By how much the time of day was set in this term, in ms. */
  get setMs(): number {
    return this.timeOfDay.setMs - this.setBeforeMs;
  }

  /** Time of day in ms. */
  nowMs(): number {
    return this.timeOfDay.nowMs();
  }

  /** Time of day in ms as if it had never been set in this term. */
  steadyMs(): number {
    const nowMs = this.nowMs();
    return nowMs - this.setMs;
  }
}
