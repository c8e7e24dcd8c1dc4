/** When the bursts of a pool begin. */

import { Cron } from 'croner';

/** Maximum number of firings that `check` examines. */
const MAX_CHECKED_FIRINGS = 64;

/** A schedule that cannot be parsed, never fires, or fires while the previous burst is in progress. */
export class ScheduleError extends Error {}

/**
 * A cron expression in a time zone. A time that a daylight-saving change skips fires in the hour after it; a
 * time that occurs twice fires once.
 */
export class BurstSchedule {
  private readonly cron: Cron;
  /**
   * Cache of the next bursts after `knownFromMs`, in ms and without gaps: computing a burst is slow, and
   * callers need the bursts in every round.
   */
  private known: number[] = [];
  private knownFromMs = Infinity;
  private isExhausted = false;

  constructor(expression: string, timeZone: string) {
    try {
      this.cron = new Cron(expression, { timezone: timeZone, paused: true });
      // The constructor of `Cron` does not check the time zone; `nextRun` does.
      this.cron.nextRun(new Date(0));
    } catch (error) {
      throw new ScheduleError(`${expression}, ${timeZone}: ${(error as Error).message}`);
    }
  }

  /** Start of the first burst after `ms`, in ms; null if there is none. */
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

  /** Starts of the bursts after `afterMs` and up to `untilMs` inclusive, in ms. */
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

  /** Throws ScheduleError if the schedule never fires or a burst would begin before the previous one is over. */
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
