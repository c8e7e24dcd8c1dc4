import { ANSWER_WAIT_S } from '../wire/workers.js';

/**
 * What a controller that can't keep up does first, and what last. docs/overload.md has the order, the
 * thresholds and the reasons.
 *
 * All thresholds are shares of the time that a worker waits for the answer to its heartbeat: work that is
 * given up below it leaves that time to the heartbeats.
 */

/** Requests in the order in which they are served, and in the reverse of that in which they are refused. */
export const REQUEST_CLASSES = ['report', 'cancellation', 'poll', 'submission'] as const;
/** One of the classes of requests that are admitted or refused alike. */
export type RequestClass = (typeof REQUEST_CLASSES)[number];

/** A delay above this share: the leader places less often. */
const PLACE_LESS_SHARE = 0.125;
/**
 * A delay above this share: requests of the class are refused when they arrive. Heartbeats are never
 * refused on arrival: one is dropped when it has waited for so long that the worker has given it up.
 */
const REFUSE_SHARES: Record<RequestClass, number> = {
  report: Infinity,
  cancellation: 0.75,
  poll: 0.5,
  submission: 0.25,
};

/** The share of time that scheduling cycles may take, so that heartbeats and users never wait for it. */
const CYCLE_SHARE = 0.2;
/** The same on a controller that is late. */
const LATE_PASS_SHARE = 0.05;

/** Seconds of delay above which requests of a class are refused. */
export const refusedAboveS = (kind: RequestClass): number => ANSWER_WAIT_S * REFUSE_SHARES[kind];

/**
 * A leader that has been late by this share of a worker's wait, for so long a share, transfers leadership. Late is
 * what its timers show on average: a whole turn of the event loop then takes as long, reading what
 * has arrived takes another, and other controllers wait no more than a quarter of a worker's wait for
 * the heartbeats that they pass on. With twice and four times this share machines lost their leases while
 * their leader was not yet late enough.
 */
const TRANSFER_SHARE = 0.0625;
/** What the latest firing of the timer counts in the mean lateness. */
const LAG_WEIGHT = 0.5;
const TRANSFER_AFTER_SHARE = 0.25;
/** Seconds of lateness above which a controller is too late for a leader. */
export const LATE_S = ANSWER_WAIT_S * TRANSFER_SHARE;
/** How long a controller is too late before it transfers leadership, in seconds. */
export const TRANSFER_AFTER_S = ANSWER_WAIT_S * TRANSFER_AFTER_SHARE;
/**
 * Seconds that heartbeats forwarded to a leader may wait for their answers: half of what other controllers wait
 * for one (`ASK_SHARE` of the heartbeats).
 */
export const FORWARDING_LATE_S = ANSWER_WAIT_S * 0.125;

/** How far this controller is behind, and what it does less of because of that. */
export class Overload {
  private latestLagS = 0;
  private lagBeforeS = 0;
  /** Mean lateness of the timer, the latest firings counting most. */
  private meanLagS = 0;
  /** Since when the delay has been too long for a leader, in seconds of the clock; null: it is not. */
  private tooLateSince: number | null = null;
  /** How long the request that has waited longest has waited; set by the queue that holds it. */
  oldestWaitS: () => number = () => 0;

  /** How late a regular timer fired, and when that was, in seconds of the clock. */
  noteLag(lagS: number, nowS: number): void {
    this.lagBeforeS = this.latestLagS;
    this.latestLagS = lagS;
    this.meanLagS += (lagS - this.meanLagS) * LAG_WEIGHT;
    if (!this.late) this.tooLateSince = null;
    else this.tooLateSince ??= nowS;
  }

  /** Seconds by which this controller is behind as a leader: what it tells the others of itself. */
  get latenessS(): number {
    return Math.max(this.delayS, this.meanLagS);
  }

  /** Whether this controller is too late for a leader at this moment. */
  get late(): boolean {
    return this.latenessS > LATE_S;
  }

  /** Whether this controller has been too late for long enough that another one had better lead. */
  tooLateToLead(nowS: number): boolean {
    const { tooLateSince } = this;
    return tooLateSince !== null && nowS - tooLateSince >= TRANSFER_AFTER_S;
  }

  /**
   * Seconds by which this controller is behind: the age of the oldest request that waits, or how late
   * timers fire. One late timer is no overload: a single long piece of work is over when it is seen, and
   * users' requests would be refused for nothing. So the smaller of the last two counts.
   */
  get delayS(): number {
    return Math.max(this.oldestWaitS(), Math.min(this.latestLagS, this.lagBeforeS));
  }

  /** Whether a request that arrives now is refused at once. */
  refuses(kind: RequestClass): boolean {
    return this.delayS > refusedAboveS(kind);
  }

  /** The share of time that scheduling cycles may take now. */
  get cycleShare(): number {
    return this.delayS > ANSWER_WAIT_S * PLACE_LESS_SHARE ? LATE_PASS_SHARE : CYCLE_SHARE;
  }
}
