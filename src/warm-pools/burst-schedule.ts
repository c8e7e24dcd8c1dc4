/** When the bursts of a pool begin. */

import { Cron } from 'croner';

/** Firings of a schedule that are looked at when it is checked. */
const CHECKED_FIRINGS = 64;

/** A schedule that cannot be read, never fires, or fires while the burst before is still going on. */
export class ScheduleError extends Error {}

/**
 * A cron expression in a time zone. An hour that a change of the clocks skips fires right after it, one
 * that comes twice fires once.
 */
export class BurstSchedule {
  private readonly cron: Cron;
  /** The burst that follows the one at `cachedAfterMs`: asked for at every tick. */
  private cachedAfterMs = NaN;
  private cachedNextMs: number | null = null;

  constructor(expression: string, timeZone: string) {
    try {
      this.cron = new Cron(expression, { timezone: timeZone, paused: true });
      // The time zone is looked up only here.
      this.cron.nextRun(new Date(0));
    } catch (e) {
      throw new ScheduleError(`${expression}, ${timeZone}: ${(e as Error).message}`);
    }
  }

  /** The first burst after a moment, in ms; null: there is none. */
  nextAfter(ms: number): number | null {
    const known = this.cachedNextMs;
    if (ms >= this.cachedAfterMs && (known === null || ms < known)) return known;
    this.cachedNextMs = this.cron.nextRun(new Date(ms))?.getTime() ?? null;
    this.cachedAfterMs = ms;
    return this.cachedNextMs;
  }

  /** Bursts after one moment, up to and with another, in ms. */
  between(afterMs: number, untilMs: number): number[] {
    const bursts: number[] = [];
    let next = this.nextAfter(afterMs);
    while (next !== null && next <= untilMs) {
      bursts.push(next);
      next = this.cron.nextRun(new Date(next))?.getTime() ?? null;
    }
    return bursts;
  }

  /** Throws ScheduleError where a burst would begin before the one before it is over. */
  check(fromMs: number, holdS: number): void {
    let last = this.nextAfter(fromMs);
    if (last === null) throw new ScheduleError('never fires');
    for (let i = 0; i < CHECKED_FIRINGS; i++) {
      const next: number | null = this.cron.nextRun(new Date(last))?.getTime() ?? null;
      if (next === null) return;
      const gapS = (next - last) / 1000;
      if (gapS <= holdS) {
        throw new ScheduleError(
          `fires ${gapS} s after ${new Date(last).toISOString()}, expected more than hold_s`,
        );
      }
      last = next;
    }
  }
}
