/** When the bursts of a pool begin. */

import { Cron } from 'croner';

/** Firings of a schedule that are looked at when it is checked. */
const MAX_CHECKED_FIRINGS = 64;

/** A schedule that cannot be read, never fires, or fires while the burst before is still going on. */
export class ScheduleError extends Error {}

/**
 * A cron expression in a time zone. An hour that a change of the clocks skips fires right after it, one
 * that comes twice fires once.
 */
export class BurstSchedule {
  private readonly cron: Cron;
  /**
   * Bursts after `knownFromMs`, the next ones without a gap, in ms: reckoning one takes long, and they are
   * asked for all the time.
   */
  private known: number[] = [];
  private knownFromMs = Infinity;
  private isExhausted = false;

  constructor(expression: string, timeZone: string) {
    try {
      this.cron = new Cron(expression, { timezone: timeZone, paused: true });
      // The time zone is looked up only here.
      this.cron.nextRun(new Date(0));
    } catch (error) {
      throw new ScheduleError(`${expression}, ${timeZone}: ${(error as Error).message}`);
    }
  }

  /** The first burst after a moment, in ms; null: there is none. */
  nextAfter(ms: number): number | null {
    if (ms < this.knownFromMs) {
      this.known = [];
      this.knownFromMs = ms;
      this.isExhausted = false;
    }
    while (this.known.length > 0 && this.known[0]! <= ms) this.dropFirst();
    if (this.known.length === 0) this.computeNext(ms);
    return this.known[0] ?? null;
  }

  /** Bursts after one moment, up to and with another, in ms. */
  between(afterMs: number, untilMs: number): number[] {
    this.nextAfter(afterMs);
    while (!this.isExhausted && this.known.at(-1)! <= untilMs) this.computeNext(this.known.at(-1)!);
    return this.known.filter((ms) => ms <= untilMs);
  }

  private dropFirst(): void {
    this.knownFromMs = this.known.shift()!;
  }

  private computeNext(afterMs: number): void {
    if (this.isExhausted) return;
    const next = this.cron.nextRun(new Date(afterMs))?.getTime() ?? null;
    if (next === null) this.isExhausted = true;
    else this.known.push(next);
  }

  /** Throws ScheduleError where a burst would begin before the one before it is over. */
  check(fromMs: number, holdS: number): void {
    let last = this.nextAfter(fromMs);
    if (last === null) throw new ScheduleError('never fires');
    for (let i = 0; i < MAX_CHECKED_FIRINGS; i++) {
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
