/** The time of day by which bursts are kept. */

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
 * A time of day that goes on evenly when the clock of the machine jumps. What it is off by within the
 * clocks' known bounds is made up for slowly. A larger difference is ignored until it has lasted: a
 * clock that was set wrong for a moment starts no burst and ends none.
 */
export class BurstClock {
  /** Time of day, in ms, at which the steady clock was 0. */
  private zeroMs: number;
  private seenAt: number;
  private jumpedSince: number | null = null;
  /** Jumps that lasted and are followed since. */
  jumps = 0;
  private steppedMs = 0;

  constructor(private readonly options: BurstClockOptions) {
    this.seenAt = options.now();
    this.zeroMs = options.wallMs() - this.seenAt * 1000;
  }

  /** Whether the machine's clock shows another time at present than the one that counts. */
  get doubted(): boolean {
    return this.jumpedSince !== null;
  }

  /** By how much it was set since this was asked last, in ms: no time has passed with it. */
  takeStepMs(): number {
    const steppedMs = this.steppedMs;
    this.steppedMs = 0;
    return steppedMs;
  }

  /** Time of day in ms. */
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
        this.steppedMs += differenceMs;
        this.jumpedSince = null;
        this.jumps++;
      }
    }
    return this.zeroMs + at * 1000;
  }
}
