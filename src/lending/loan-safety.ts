/** When a loan is safe, and how much harm it does: pure functions of what is known of the lender. */

/** What is known of work that might lend. All durations in seconds. */
export interface LenderWork {
  /** The time that is left until it has to be done; Infinity: nothing asks for it. */
  timeLeftS: number;
  /** What is left to do of its own task, or of the gang, by its estimate. */
  ownRemainingS: number;
  /** What is left to do of the whole job, by its estimate, with as many tasks at a time as now. */
  jobRemainingS: number;
  /** Factor by which estimates have to be raised so that most runs are covered, at least 1. */
  margin: number;
  saveS: number;
  fetchS: number;
  /** From the place being there until the task runs. */
  restartS: number;
  /** How long GPUs take to come back once they are asked for. */
  recallDurationS: number;
  /** Whether it saves when it is stopped. */
  savesOnStop: boolean;
  /** Whether it has begun to run. */
  started: boolean;
  /** Whether its job is within its team's guarantee. */
  guaranteed: boolean;
  /** Seconds since its job lent last; Infinity: never. */
  sinceLastLoanS: number;
  /** It has an open loan. */
  hasOpenLoan: boolean;
  /** Whether the borrower can wait until it has saved. */
  borrowerCanWait: boolean;
}

/** Why a loan would not be safe. */
export type Refusal =
  'no checkpoints' | 'guaranteed' | 'lending already' | 'saving takes too long' | 'no slack';

/** Whether a loan is safe, until when it has to be back, and how much harm it does, from 0 to 1. */
export type LoanAssessment =
  { safe: true; latestReturnS: number; cost: number } | { safe: false; refusal: Refusal };

/** Of the harm, what the lack of slack and a recent loan count for. */
const SLACK_WEIGHT = 0.5;
const RECENCY_WEIGHT = 0.2;

/**
 * Seconds from now until which the lender can be without its place; Infinity: without end. The margin is
 * on all that is estimated, and what is saved of the present run is not counted as done.
 */
export function latestReturnS(work: LenderWork): number {
  const { timeLeftS: leftS, margin, saveS, fetchS, restartS } = work;
  const remainingS = Math.max(work.ownRemainingS, work.jobRemainingS) * margin;
  return leftS - remainingS - saveS - fetchS - restartS;
}

function findRefusal(work: LenderWork): Refusal | null {
  if (work.hasOpenLoan) return 'lending already';
  if (work.guaranteed) return 'guaranteed';
  if (!work.savesOnStop && work.started) return 'no checkpoints';
  if (work.savesOnStop && work.started && !work.borrowerCanWait) return 'saving takes too long';
  if (latestReturnS(work) < work.saveS + work.recallDurationS) return 'no slack';
  return null;
}

/** Whether it may lend, until when, and the harm of that between 0 and 1. */
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
