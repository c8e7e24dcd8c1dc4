import type { Clock } from '../clock.js';

/** What the latest heartbeat counts in the mean. */
const WEIGHT = 0.1;
/** A mean to which nothing was added for so many heartbeat intervals says nothing of the present. */
const FRESH_HEARTBEATS = 2;

/**
 * How long heartbeats that this controller forwards to the leader wait for their answers, those that got none
 * included. A leader that falls behind may not see it itself: while its timers are hardly late, others
 * give up waiting for it.
 */
export class ForwardingDelay {
  private mean = 0;
  private notedAt = -Infinity;

  constructor(
    private readonly clock: Clock,
    /** The workers' heartbeat interval, in seconds. */
    private readonly heartbeatIntervalS: number,
  ) {}

  /** Seconds from a question to its answer, or until it was given up. */
  note(seconds: number): void {
    this.mean = this.isFresh ? this.mean + (seconds - this.mean) * WEIGHT : seconds;
    this.notedAt = this.clock.now();
  }

  private get isFresh(): boolean {
    return this.clock.now() - this.notedAt < this.heartbeatIntervalS * FRESH_HEARTBEATS;
  }

  /** The mean of the latest, in seconds; undefined: none was forwarded lately. */
  get meanS(): number | undefined {
    return this.isFresh ? this.mean : undefined;
  }
}
