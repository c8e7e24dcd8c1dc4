/** A steady clock, in seconds. Injected wherever a decision depends on time. */
export interface Clock {
  now(): number;
}

/** The steady clock of this process. */
export const steadyClock: Clock = { now: () => performance.now() / 1000 };

/** Resolves after the given number of seconds. */
export const sleep = (seconds: number): Promise<void> =>
  new Promise((resolve) => setTimeout(resolve, Math.max(0, seconds * 1000)));

/**
 * A time limit for an answer. A late event loop runs its timers before it reads input that has arrived:
 * a leader's renewals timed out and their connections were closed although the store's answers had
 * arrived. So when the time is up, pending input is read once more before the callback, which must check
 * whether the answer has arrived. `clearTimeout` on the result has no effect once the time is up.
 */
export const answerTimeout = (callback: () => void, ms: number): NodeJS.Timeout =>
  setTimeout(() => setImmediate(callback), ms);

/** A sleep that can be ended early. */
export class WakeableSleep {
  private wake: (() => void) | null = null;

  /** Resolves after the given number of seconds, or at the next `wakeUp`. */
  wait(seconds: number): Promise<void> {
    return new Promise((resolve) => {
      const done = (): void => {
        clearTimeout(timer);
        if (this.wake === done) this.wake = null;
        resolve();
      };
      const timer = setTimeout(done, seconds * 1000);
      this.wake = done;
    });
  }

  /** Ends the current sleep, if there is one. */
  wakeUp(): void {
    this.wake?.();
  }
}

/** Upper bound of the relative drift between two steady clocks: twice the 0.05 % of the protocol. */
export const MAX_CLOCK_DRIFT = 0.001;

/** A token bucket. By default it holds the tokens of one second, like the rate limits of the external services. */
export class TokenBucket {
  private level: number;
  private refilledAt: number;
  /** Capacity, if it is not derived from the rate. */
  private burst: number | null = null;

  constructor(
    private rate: number,
    private readonly clock: Clock,
    private readonly burstS = 1,
  ) {
    this.level = Math.max(1, rate * burstS);
    this.refilledAt = clock.now();
  }

  private refill(): void {
    const now = this.clock.now();
    this.level = Math.min(this.capacity, this.level + (now - this.refilledAt) * this.rate);
    this.refilledAt = now;
  }

  /** Sets the rate, and the capacity to `burst`; null: `burstS` seconds' tokens, as initially. */
  setRate(rate: number, burst: number | null = null): void {
    this.refill();
    this.rate = rate;
    this.burst = burst;
  }

  /** Tokens added per second, at least 1. */
  get perSecond(): number {
    return Math.max(1, this.rate);
  }

  /** Tokens that the full bucket holds. */
  get capacity(): number {
    return Math.max(1, this.burst ?? this.rate * this.burstS);
  }

  /** Tokens available now; negative after overdrafts. */
  get available(): number {
    this.refill();
    return this.level;
  }

  /** Takes the amount if it is available; otherwise takes nothing and returns false. */
  tryTake(amount: number): boolean {
    this.refill();
    if (this.level < amount) return false;
    this.level -= amount;
    return true;
  }

  /** Takes the amount even if it is not available, for requests that cannot wait; later takers wait longer. */
  forceTake(amount: number): void {
    this.refill();
    this.level -= amount;
  }

  /** Seconds until the amount is available. */
  secondsUntil(amount: number): number {
    this.refill();
    return this.level >= amount ? 0 : (amount - this.level) / this.rate;
  }
}
