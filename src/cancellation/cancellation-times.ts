/** Since when this process has known of cancellations, so that tasks which outlive theirs can be told. */

import type { Clock } from '../clock.js';

/** Remembered for so many times `cancel_s`: what is still there then has been told long ago. */
const REMEMBER_CANCELS = 4;

/**
 * When this process first read or heard of each cancellation, in seconds of its clock. Terms come and go
 * meanwhile; another process may have known for longer.
 */
export class CancellationTimes {
  /** The earliest first. */
  private readonly knownAt = new Map<string, number>();

  constructor(
    private readonly clock: Clock,
    private readonly cancelS: number,
  ) {}

  /** The cancellation of this job was read or heard of. */
  note(job: string): void {
    const now = this.clock.now();
    if (!this.knownAt.has(job)) this.knownAt.set(job, now);
    for (const [old, at] of this.knownAt) {
      if (now - at <= this.cancelS * REMEMBER_CANCELS) break;
      this.knownAt.delete(old);
    }
  }

  /** Undefined: not known, or forgotten by now. */
  of(job: string): number | undefined {
    return this.knownAt.get(job);
  }
}
