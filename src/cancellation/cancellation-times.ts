/** Since when this process has known of cancellations, so that tasks that outlive their cancellation can be detected. */

import type { Clock } from '../clock.js';

/** Retention in multiples of `cancel_s`: tasks that are still running after that have long been reported. */
const RETENTION_CANCEL_TIMES = 4;

/**
 * When this process first learned of each cancellation, in steady seconds. It spans terms of leadership; another
 * process may have known of a cancellation earlier.
 */
export class CancellationTimes {
  /** By job, earliest first. */
  private readonly knownAt = new Map<string, number>();

  constructor(
    private readonly clock: Clock,
    private readonly cancelS: number,
  ) {}

  /** Records that the cancellation of the job is known. */
  note(job: string): void {
    const now = this.clock.now();
    if (!this.knownAt.has(job)) this.knownAt.set(job, now);
    for (const [old, at] of this.knownAt) {
      if (now - at <= this.cancelS * RETENTION_CANCEL_TIMES) break;
      this.knownAt.delete(old);
    }
  }

  /** When the cancellation of the job became known; undefined: it is not known, or no longer remembered. */
  of(job: string): number | undefined {
    return this.knownAt.get(job);
  }
}
