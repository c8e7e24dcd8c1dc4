/**
 * The HeraSys ranking: each ready job gets the sum of three terms, the inverse of its pipeline's
 * remaining time, its contribution φ to the jobs after it, and a boost for heavy jobs of long
 * pipelines. Each term is divided by its mean over the ready jobs plus a small constant.
 */

import type { Policy } from '../operator/policy.js';

/** A job that waits for the ranked job. */
export interface Successor {
  workS: number;
  depth: number;
}

/** Input of the ranking for one ready job; times in seconds. */
export interface RankInput {
  /** Predicted time of the pipeline's unfinished and finished jobs. */
  unfinishedS: number;
  finishedS: number;
  /** Run time attained so far, failed runs included. */
  attainedS: number;
  /** Predicted time of this job and the mean over its pipeline's jobs. */
  predictedS: number;
  pipelineMeanS: number;
  /** Jobs that wait for this one. */
  successors: Successor[];
}

/** Predicted time until the job's pipeline is done. */
export function remainingTimeS(input: RankInput, policy: Policy): number {
  return (
    (input.unfinishedS * (input.attainedS + policy.epsilonS)) / (input.finishedS + policy.epsilonS)
  );
}

/** The contribution φ of the paper: how much work waits for this job. */
export function downstreamWeight(input: RankInput, policy: Policy): number {
  const [work, depth, count] = policy.omega;
  let phi = count * input.successors.length;
  for (const successor of input.successors) phi += work * successor.workS + depth * successor.depth;
  return phi;
}

const mean = (values: number[]): number =>
  values.length === 0 ? 0 : values.reduce((a, b) => a + b, 0) / values.length;

/** Remaining time above which a pipeline is long, in seconds. */
export function longThresholdS(remainingTimesS: number[], eta: number): number {
  const average = mean(remainingTimesS);
  const variance = mean(remainingTimesS.map((remaining) => (remaining - average) ** 2));
  return average + eta * Math.sqrt(variance);
}

/**
 * Decides which pipelines are long. A burst of similar pipelines lowers the variance and would make the
 * threshold oscillate, so it changes slowly, and a long pipeline stays long until well below it.
 */
export class LongJobs {
  private thresholdS: number | null = null;
  private updatedAt = 0;

  /** Updates the threshold with the present remaining times of all pipelines. */
  update(remainingTimesS: number[], policy: Policy, now: number): void {
    if (remainingTimesS.length === 0) return;
    const targetS = longThresholdS(remainingTimesS, policy.eta);
    if (this.thresholdS === null) this.thresholdS = targetS;
    else {
      const timeConstantS = Math.max(1, mean(remainingTimesS));
      this.thresholdS +=
        (targetS - this.thresholdS) *
        Math.min(1, Math.max(0, now - this.updatedAt) / timeConstantS);
    }
    this.updatedAt = now;
  }

  /** Whether a pipeline counts as long; `wasLong`: it did until now. */
  isLong(remainingS: number, wasLong: boolean): boolean {
    if (this.thresholdS === null) return false;
    return remainingS > this.thresholdS * (wasLong ? 0.8 : 1);
  }
}

/** Scores of all ready jobs; `isLong` tells which belong to long pipelines. */
export function scores(ready: RankInput[], isLong: boolean[], policy: Policy): number[] {
  const inverse = ready.map((input) => 1 / (remainingTimeS(input, policy) + policy.epsilonS));
  const phi = ready.map((input) => downstreamWeight(input, policy));
  const heavyMarks = ready.map((input, i) =>
    isLong[i] === true && input.predictedS >= policy.heavy * input.pipelineMeanS ? 1 : 0,
  );
  const normalized = (values: number[]): number[] => {
    const divisor = mean(values) + policy.scaling;
    return values.map((value) => value / divisor);
  };
  const inverseScores = normalized(inverse);
  const weightScores = normalized(phi);
  const heavyScores = normalized(heavyMarks);
  return ready.map((input, i) => inverseScores[i]! + weightScores[i]! + heavyScores[i]!);
}

/** The sort key of a job. */
export interface RankedJob {
  priority: number;
  guaranteed: boolean;
  score: number;
  readyRevision: number;
}

/** Priority and guarantees come first (protocol), then the score, then age. */
export function compareJobs(a: RankedJob, b: RankedJob): number {
  if (a.priority !== b.priority) return a.priority - b.priority;
  if (a.guaranteed !== b.guaranteed) return a.guaranteed ? -1 : 1;
  if (a.score !== b.score) return b.score - a.score;
  return a.readyRevision - b.readyRevision;
}
