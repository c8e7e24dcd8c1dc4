/** Promises of one controller to others that are refused by the key-value store: until when it does not stand. */

/** A promise that another controller may come to rely on. */
export interface PendingPromise {
  /** The other one is told of it: it holds. */
  keep(): void;
  /** The other one is told that it does not hold. */
  withdraw(): void;
}

/** Promises in steady seconds. Each stands for itself: what becomes of one says nothing of another. */
export class OutagePromises {
  private keptUntil = -Infinity;
  private readonly pending = new Set<{ until: number }>();

  /** The end of the last promise that holds or may come to hold. */
  get until(): number {
    let until = this.keptUntil;
    for (const promise of this.pending) until = Math.max(until, promise.until);
    return until;
  }

  /** Promises until a moment; it counts from now on. */
  make(until: number): PendingPromise {
    const promise = { until };
    this.pending.add(promise);
    return {
      keep: () => {
        this.keptUntil = Math.max(this.keptUntil, until);
        this.pending.delete(promise);
      },
      withdraw: () => void this.pending.delete(promise),
    };
  }
}
