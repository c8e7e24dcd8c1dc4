/** Decides whether a loan is safe and what it costs: pure functions of what is known of the lender. */

/** What is known of a possible lender. All durations are in seconds. */
export interface LenderWork {
  /** Time until it has to be done; Infinity: no deadline requires it. */
  timeLeftS: number;
  /** Estimated remaining time of its own task, or of the gang. */
  ownRemainingS: number;
  /** Estimated remaining time of the whole job while this task does not run. */
  jobRemainingS: number;
  /** Factor by which estimates have to be raised so that most runs are covered, at least 1. */
  margin: number;
  saveS: number;
  fetchS: number;
  /** Time from a place being available until the task runs. */
  restartS: number;
  /** Time from a recall until the GPUs are back. */
  recallDurationS: number;
  /** Whether it saves when it is stopped. */
  savesOnStop: boolean;
  /** Whether it has begun to run. */
  started: boolean;
  /** Whether its job is within its team's guarantee. */
  guaranteed: boolean;
  /** Time since its job's latest loan was granted; Infinity: never. */
  sinceLastLoanS: number;
  /** It has an open loan. */
  hasOpenLoan: boolean;
  /** Whether the borrower can wait until it has saved. */
  borrowerCanWait: boolean;
}

/** Why a loan would not be safe. */
export type Refusal =
  'no checkpoints' | 'guaranteed' | 'lending already' | 'saving takes too long' | 'no slack';

/** Whether a loan is safe, in how many seconds it has to be back, and its cost from 0 to 1. */
export type LoanAssessment =
  { safe: true; latestReturnS: number; cost: number } | { safe: false; refusal: Refusal };

/** Weights of little slack and of a recent loan in the cost. */
const SLACK_WEIGHT = 0.5;
const RECENCY_WEIGHT = 0.2;

/**
 * Seconds from now by which the lender needs its place again; Infinity: never. The margin is applied to all of the
 * estimated remaining work. The job's part of it does not count saved progress of unfinished tasks as done.
 */
export function latestReturnS(work: LenderWork): number {
  const { timeLeftS, margin, saveS, fetchS, restartS } = work;
  const remainingS = Math.max(work.ownRemainingS, work.jobRemainingS) * margin;
  return timeLeftS - remainingS - saveS - fetchS - restartS;
}

function findRefusal(work: LenderWork): Refusal | null {
  if (work.hasOpenLoan) return 'lending already';
  if (work.guaranteed) return 'guaranteed';
  if (!work.savesOnStop && work.started) return 'no checkpoints';
  if (work.savesOnStop && work.started && !work.borrowerCanWait) return 'saving takes too long';
  if (latestReturnS(work) < work.saveS + work.recallDurationS) return 'no slack';
  return null;
}

/** Decides whether it may lend, until when, and at what cost from 0 to 1. */
export function assessLoan(work: LenderWork): LoanAssessment {
  const refusal = findRefusal(work);
  if (refusal !== null) return { safe: false, refusal };
  const slackS = latestReturnS(work);
  const neededS = Math.max(work.ownRemainingS, work.jobRemainingS) + work.recallDurationS;
  const slackCost = slackS === Infinity ? 0 : neededS / (neededS + slackS);
  const recencyCost = neededS / (neededS + work.sinceLastLoanS);
  return {
    safe: true,
    latestReturnS: slackS,
    cost: SLACK_WEIGHT * slackCost + RECENCY_WEIGHT * recencyCost,
  };
}
