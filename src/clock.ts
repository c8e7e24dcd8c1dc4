/** Seconds of a steady clock. Injected wherever time decides something. */
export interface Clock {
  now(): number;
}

/** The process's own steady clock. */
export const steadyClock: Clock = { now: () => performance.now() / 1000 };

/** Resolves after so many seconds. */
export const sleep = (seconds: number): Promise<void> =>
  new Promise((resolve) => setTimeout(resolve, Math.max(0, seconds * 1000)));

/**
 * A time limit for an answer. On a loop that is late its timers run before it reads what has arrived: a
 * leader's renewals were given up, with their connections, while the store's answers lay there unread.
 * So when the time is up, one more reading of input comes first. Whoever calls looks whether the answer
 * is there by then; `clearTimeout` on what is returned only stops it until the time is up.
 */
export const answerTimeout = (callback: () => void, ms: number): NodeJS.Timeout =>
  setTimeout(() => setImmediate(callback), ms);

/** A pause that can be ended early. */
export class WakeableSleep {
  private wake: (() => void) | null = null;

  /** Resolves after so many seconds, or at the next `wakeUp`. */
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

  /** Ends the present sleep, if there is one. */
  wakeUp(): void {
    this.wake?.();
  }
}

/** Upper bound of how far two steady clocks drift apart (protocol: 0.05 %), taken twice over. */
export const MAX_CLOCK_DRIFT = 0.001;

/** A bucket that holds one second's worth, as the limits of the outside services do. */
export class TokenBucket {
  private level: number;
  private at: number;
  /** What the bucket holds where that is not in proportion to the rate. */
  private burst: number | null = null;

  constructor(
    private rate: number,
    private readonly clock: Clock,
    private readonly burstS = 1,
  ) {
    this.level = Math.max(1, rate * burstS);
    this.at = clock.now();
  }

  private fill(): void {
    const now = this.clock.now();
    this.level = Math.min(this.capacity, this.level + (now - this.at) * this.rate);
    this.at = now;
  }

  /** `burst`: what the bucket holds; null: a second's worth, as at first. */
  setRate(rate: number, burst: number | null = null): void {
    this.fill();
    this.rate = rate;
    this.burst = burst;
  }

  /** What comes in a second. */
  get perSecond(): number {
    return Math.max(1, this.rate);
  }

  /** What is there after a pause. */
  get capacity(): number {
    return Math.max(1, this.burst ?? this.rate * this.burstS);
  }

  /** What is there now. */
  get available(): number {
    this.fill();
    return this.level;
  }

  /** Takes so much if it is there; false: it is not, and nothing is taken. */
  tryTake(amount: number): boolean {
    this.fill();
    if (this.level < amount) return false;
    this.level -= amount;
    return true;
  }

  /** Takes even what is not there yet, for what cannot wait: later takers make up for it. */
  force(amount: number): void {
    this.fill();
    this.level -= amount;
  }

  /** Seconds until n could be taken. */
  secondsUntil(amount: number): number {
    this.fill();
    return this.level >= amount ? 0 : (amount - this.level) / this.rate;
  }
}
