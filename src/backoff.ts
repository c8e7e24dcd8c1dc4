/** How long a backoff lasts, in seconds. */
export interface BackoffTimes {
  /** After the first failure. */
  initialS: number;
  maxS: number;
  /** Without a failure for so long, the next one counts as the first. */
  forgetAfterS: number;
}

/** More doublings make no difference to any backoff. */
const MAX_DOUBLINGS = 10;

/** Keeps something from being tried after failures, for a time that doubles with each of them. */
export class Backoff {
  /** Until when it is not to be tried, in seconds of the steady clock. */
  until = -Infinity;
  private count = 0;
  private latestAt = -Infinity;

  /** Records a failure. */
  failed(now: number, { initialS, maxS, forgetAfterS }: BackoffTimes): void {
    const earlierFailures = this.failuresSince(now - forgetAfterS);
    this.until = Math.max(this.until, now + Math.min(maxS, initialS * 2 ** earlierFailures));
    this.count = Math.min(earlierFailures + 1, MAX_DOUBLINGS);
    this.latestAt = now;
  }

  /** Failures in a row, up to a limit; 0 if the latest one was before `start`. */
  failuresSince(start: number): number {
    return this.latestAt >= start ? this.count : 0;
  }

  /** Earlier failures no longer count; a time that has begun is not shortened. */
  forgetFailures(): void {
    this.count = 0;
  }
}
