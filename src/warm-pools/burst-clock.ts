/** The time of day by which bursts are kept, and the one by which what is held for them is measured. */

import { MAX_CLOCK_DRIFT } from '../clock.js';

/** What a `BurstClock` works with. */
export interface BurstClockOptions {
  /** Seconds of the steady clock. */
  now: () => number;
  /** Time of day in ms. */
  wallMs: () => number;
  /** How far the time of day may be from the true one, in ms. */
  skewMs: number;
  /** Seconds for which a jump must last before it is believed. */
  settleS: number;
}

/**
 * Two times of day of one term. `nowMs` names bursts: it goes on evenly when the clock of the machine jumps. What it is off by within the
 * clocks' known bounds is made up for slowly. A larger difference is ignored until it has lasted: a
 * clock that was set wrong for a moment starts no burst and ends none. `steadyMs` is never set: the difference between
 * two of its values is the time that has passed, whatever came between.
 */
export class BurstClock {
  /** Time of day, in ms, at which the steady clock was 0. */
  private zeroMs: number;
  private seenAt: number;
  private jumpedSince: number | null = null;
  /** Jumps that lasted and are followed since. */
  jumps = 0;
  /** By how much the time of day was set in all, in ms. */
  setMs = 0;

  constructor(private readonly options: BurstClockOptions) {
    this.seenAt = options.now();
    this.zeroMs = options.wallMs() - this.seenAt * 1000;
  }

  /** Whether the machine's clock shows another time at present than the one that counts. */
  get doubted(): boolean {
    return this.jumpedSince !== null;
  }

  /** Time of day in ms as if it had never been set in this term: what is held is measured by it. */
  steadyMs(): number {
    const nowMs = this.nowMs();
    return nowMs - this.setMs;
  }

  /** Time of day in ms: bursts are kept by it. */
  nowMs(): number {
    const { now, wallMs, skewMs, settleS } = this.options;
    const at = now();
    const differenceMs = wallMs() - at * 1000 - this.zeroMs;
    const slewMs = Math.max(0, at - this.seenAt) * 1000 * MAX_CLOCK_DRIFT;
    this.seenAt = at;
    if (Math.abs(differenceMs) <= 2 * skewMs + slewMs) {
      this.jumpedSince = null;
      this.zeroMs += Math.max(-slewMs, Math.min(slewMs, differenceMs));
    } else {
      this.jumpedSince ??= at;
      if (at - this.jumpedSince >= settleS) {
        this.zeroMs += differenceMs;
        this.setMs += differenceMs;
        this.jumpedSince = null;
        this.jumps++;
      }
    }
    return this.zeroMs + at * 1000;
  }
}
