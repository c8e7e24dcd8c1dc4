/**
 * Promises not to campaign for leadership before a given time. A controller makes them to others that are refused by the
 * key-value store.
 */

/** A promise whose answer has not been sent yet. */
export interface PendingPromise {
  /** The answer will contain the promise, which is binding. */
  confirm(): void;
  /** The answer will not contain the promise, which is void. */
  withdraw(): void;
}

/** All promises of one controller, in steady seconds. Confirming or withdrawing one does not affect the others. */
export class OutagePromises {
  private confirmedUntil = -Infinity;
  private readonly pending = new Set<{ until: number }>();

  /** The latest end of all confirmed and pending promises. */
  get until(): number {
    let until = this.confirmedUntil;
    for (const promise of this.pending) until = Math.max(until, promise.until);
    return until;
  }

  /** Makes a promise until the given time. It counts at once, before it is confirmed. */
  make(until: number): PendingPromise {
    const promise = { until };
    this.pending.add(promise);
    return {
      confirm: () => {
        this.confirmedUntil = Math.max(this.confirmedUntil, until);
        this.pending.delete(promise);
      },
      withdraw: () => void this.pending.delete(promise),
    };
  }
}
