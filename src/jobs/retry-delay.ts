/** Delays the next attempt after failures: longer after each one. */
export class RetryDelay {
  /** When the next attempt may start, in seconds of the steady clock. */
  notBefore = 0;
  private failures = 0;

  /** Records a failure. The delay begins at `initialS` and doubles up to `maxS`, in seconds. */
  failed(now: number, initialS: number, maxS: number): void {
    this.notBefore = now + Math.min(maxS, initialS * 2 ** this.failures);
    this.failures++;
  }

  /** Earlier failures no longer count; a delay that has begun stays. */
  forgetFailures(): void {
    this.failures = 0;
  }
}
