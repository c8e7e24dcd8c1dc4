import { ANSWER_WAIT_S } from '../wire/workers.js';

/**
 * The order in which a controller that does not keep up sheds work. docs/overload.md has the order, the
 * thresholds and the reasons.
 *
 * All thresholds are shares of the time that a worker waits for the answer to its heartbeat (the answer
 * time-out). Other work is shed at shares below 1, so that heartbeats can still be answered in time.
 */

/**
 * Request classes in the order in which they are served, which is the reverse of the order in which they are
 * refused.
 */
export const REQUEST_CLASSES = ['report', 'cancellation', 'poll', 'submission'] as const;
/** A class of requests that are admitted or refused by the same rule. */
export type RequestClass = (typeof REQUEST_CLASSES)[number];

/** Delay, as a share of the answer time-out, above which the leader spends less time on scheduling. */
const REDUCED_SCHEDULING_SHARE = 0.125;
/**
 * Delays, as shares of the answer time-out, above which arriving requests of the class are refused. Heartbeats
 * are never refused for this reason: one is dropped only when it has waited so long that its worker has
 * timed out.
 */
const REFUSAL_SHARES: Record<RequestClass, number> = {
  report: Infinity,
  cancellation: 0.75,
  poll: 0.5,
  submission: 0.25,
};

/** Share of time that scheduling cycles may take, so that heartbeats and users never wait long for them. */
const CYCLE_SHARE = 0.2;
/** The same above the delay of `REDUCED_SCHEDULING_SHARE`. */
const REDUCED_CYCLE_SHARE = 0.05;

/** Seconds of delay above which requests of a class are refused. */
export const refusedAboveS = (kind: RequestClass): number => ANSWER_WAIT_S * REFUSAL_SHARES[kind];

/**
 * Lateness, as a share of the answer time-out, above which a leader transfers leadership if it lasts for
 * `TRANSFER_AFTER_SHARE`. If the timers are late by this time on average, a whole turn of the event loop takes
 * as long, reading the input that has arrived takes another turn, and other controllers wait at most a quarter
 * of the answer time-out for heartbeats that they forward. With twice and four times this share, machines lost
 * their leases while their leader did not yet count as late.
 */
const LATE_SHARE = 0.0625;
/** Weight of the latest lag of the timer in the mean. */
const LAG_WEIGHT = 0.5;
const TRANSFER_AFTER_SHARE = 0.25;
/** Lateness in seconds above which a controller is too late to lead. */
export const LATE_S = ANSWER_WAIT_S * LATE_SHARE;
/** Seconds for which a leader is too late before it transfers leadership. */
export const TRANSFER_AFTER_S = ANSWER_WAIT_S * TRANSFER_AFTER_SHARE;
/**
 * Seconds above which heartbeats forwarded to a leader wait too long: half the time that other controllers wait
 * for an answer (`LEADER_WAIT_SHARE` in heartbeat-handler.ts).
 */
export const FORWARDING_LATE_S = ANSWER_WAIT_S * 0.125;

/** Measures how far this controller is behind, and decides how much work it sheds for that reason. */
export class Overload {
  private lastLagS = 0;
  private previousLagS = 0;
  /** Mean lag of the timer, weighted towards the latest. */
  private meanLagS = 0;
  /** Since when this controller has been too late to lead, in seconds of the clock; null: it is not. */
  private tooLateSince: number | null = null;
  /** How long the oldest waiting request has waited; set by the request queue. */
  oldestWaitS: () => number = () => 0;

  /** Records by how much a regular timer fired late, and when, in seconds of the clock. */
  recordTimerLag(lagS: number, nowS: number): void {
    this.previousLagS = this.lastLagS;
    this.lastLagS = lagS;
    this.meanLagS += (lagS - this.meanLagS) * LAG_WEIGHT;
    if (!this.isLate) this.tooLateSince = null;
    else this.tooLateSince ??= nowS;
  }

  /** Seconds by which this controller is behind as a leader; sent to the other controllers. */
  get latenessS(): number {
    return Math.max(this.delayS, this.meanLagS);
  }

  /** Whether this controller is too late to lead at this moment. */
  get isLate(): boolean {
    return this.latenessS > LATE_S;
  }

  /** Whether this controller has been too late to lead for `TRANSFER_AFTER_S`. */
  tooLateToLead(nowS: number): boolean {
    const { tooLateSince } = this;
    return tooLateSince !== null && nowS - tooLateSince >= TRANSFER_AFTER_S;
  }

  /**
   * Seconds by which this controller is behind: the age of the oldest waiting request, or the lag of the timer.
   * A single late timer is not an overload: one long piece of work has ended by the time it is noticed, and
   * users' requests would be refused without need. So the smaller of the last two lags counts.
   */
  get delayS(): number {
    return Math.max(this.oldestWaitS(), Math.min(this.lastLagS, this.previousLagS));
  }

  /** Whether a request that arrives now is refused immediately. */
  refuses(kind: RequestClass): boolean {
    return this.delayS > refusedAboveS(kind);
  }

  /** The share of time that scheduling cycles may take now. */
  get cycleShare(): number {
    return this.delayS > ANSWER_WAIT_S * REDUCED_SCHEDULING_SHARE
      ? REDUCED_CYCLE_SHARE
      : CYCLE_SHARE;
  }
}
