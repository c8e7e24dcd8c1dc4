import type { Clock } from '../clock.js';

/** The weight of the latest sample in the exponentially weighted mean. */
const LATEST_SAMPLE_WEIGHT = 0.1;
/** Number of heartbeat intervals without a sample after which the mean is stale. */
const FRESH_INTERVALS = 2;

/**
 * Measures how long heartbeats that this controller forwards to the leader wait for an answer, time-outs
 * included. A leader that falls behind may not detect this itself: its timers can be almost on time while
 * forwarded heartbeats time out.
 */
export class ForwardingDelay {
  private smoothedS = 0;
  private lastSampleAt = -Infinity;

  constructor(
    private readonly clock: Clock,
    /** The workers' heartbeat interval, in seconds. */
    private readonly heartbeatIntervalS: number,
  ) {}

  /** Adds the time from a request to its answer or time-out. */
  addSample(delayS: number): void {
    this.smoothedS = this.isFresh
      ? this.smoothedS + (delayS - this.smoothedS) * LATEST_SAMPLE_WEIGHT
      : delayS;
    this.lastSampleAt = this.clock.now();
  }

  private get isFresh(): boolean {
    return this.clock.now() - this.lastSampleAt < this.heartbeatIntervalS * FRESH_INTERVALS;
  }

  /** Mean delay of recent heartbeats, in seconds; undefined: none was forwarded recently. */
  get meanS(): number | undefined {
    return this.isFresh ? this.smoothedS : undefined;
  }
}
