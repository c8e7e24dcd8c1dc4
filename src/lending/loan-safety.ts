/** When a loan is safe, and how much harm it does: pure functions of what is known of the lender. */

/** What is known of work that might lend. All durations in seconds. */
export interface LenderWork {
  /** The time that is left until it has to be done; Infinity: nothing asks for it. */
  leftS: number;
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
  wayBackS: number;
  /** Whether it saves when it is stopped. */
  saves: boolean;
  /** Whether it has begun to run. */
  started: boolean;
  /** Whether its job is within its team's guarantee. */
  guaranteed: boolean;
  /** Seconds since its job lent last; Infinity: never. */
  lentAgoS: number;
  /** It has an open loan. */
  lending: boolean;
  /** Whether the borrower can wait until it has saved. */
  borrowerWaits: boolean;
}

/** Why a loan would not be safe. */
export type Refusal =
  'no checkpoints' | 'guaranteed' | 'lending already' | 'saving takes too long' | 'no slack';

/** Whether a loan is safe, until when it has to be back, and how much harm it does, from 0 to 1. */
export type LoanAssessment =
  { safe: true; latestReturnS: number; harm: number } | { safe: false; refusal: Refusal };

/** Of the harm, what the lack of slack and a recent loan count for. */
const TIGHT_SHARE = 0.5;
const RECENT_SHARE = 0.2;

/**
 * Seconds from now until which the lender can be without its place; Infinity: without end. The margin is
 * on all that is estimated, and what is saved of the present run is not counted as done.
 */
export function latestReturnS(work: LenderWork): number {
  const { leftS, margin, saveS, fetchS, restartS } = work;
  const remainingS = Math.max(work.ownRemainingS, work.jobRemainingS) * margin;
  return leftS - remainingS - saveS - fetchS - restartS;
}

function findRefusal(work: LenderWork): Refusal | null {
  if (work.lending) return 'lending already';
  if (work.guaranteed) return 'guaranteed';
  if (!work.saves && work.started) return 'no checkpoints';
  if (work.saves && work.started && !work.borrowerWaits) return 'saving takes too long';
  if (latestReturnS(work) < work.saveS + work.wayBackS) return 'no slack';
  return null;
}

/** Whether it may lend, until when, and the harm of that between 0 and 1. */
export function assessLoan(work: LenderWork): LoanAssessment {
  const refusal = findRefusal(work);
  if (refusal !== null) return { safe: false, refusal };
  const slackS = latestReturnS(work);
  const neededS = Math.max(work.ownRemainingS, work.jobRemainingS) + work.wayBackS;
  const tight = slackS === Infinity ? 0 : neededS / (neededS + slackS);
  const recent = neededS / (neededS + work.lentAgoS);
  return { safe: true, latestReturnS: slackS, harm: TIGHT_SHARE * tight + RECENT_SHARE * recent };
}
