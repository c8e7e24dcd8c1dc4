/** Learns from finished jobs by which factor owners' estimates have to be raised. */

import type { LiveJobView } from '../subsystems/subsystem.js';
import { conservativeEstimate, addSample } from '../subsystems/samples.js';

/** Used until enough jobs have ended: estimates are often wrong by half (protocol). */
const DEFAULT_MARGIN = 1.5;
/** Bounds of the learned factor. */
const MIN_MARGIN = 1;
const MAX_MARGIN = 3;

/** By which factor jobs of each class take longer than their estimates. */
export class EstimateErrors {
  private readonly ratiosByClass = new Map<string, number[]>();
  /** Ids of jobs that have been counted and are still open. */
  private countedJobs = new Set<string>();

  constructor(private readonly leastMargin: number) {}

  /** Records finite jobs whose last task is done, each of them once. */
  update(jobs: Iterable<LiveJobView>): void {
    const finishedJobs = new Set<string>();
    for (const job of jobs) {
      if (!job.isFinished || job.spec.kind === 'service') continue;
      finishedJobs.add(job.spec.id);
      if (!this.countedJobs.has(job.spec.id)) this.recordJob(job);
    }
    this.countedJobs = finishedJobs;
  }

  /** Attained time includes repeated work, so the error is overestimated rather than underestimated. */
  private recordJob({ spec, attainedS }: LiveJobView): void {
    const predictedS = spec.estimateS * spec.tasks;
    if (predictedS <= 0 || attainedS <= 0) return;
    const samples = this.ratiosByClass.get(spec.class) ?? [];
    this.ratiosByClass.set(spec.class, samples);
    addSample(samples, attainedS / predictedS);
  }

  /** The factor that covers most runs of a class. */
  margin(jobClass: string): number {
    const learnedMargin = conservativeEstimate(
      this.ratiosByClass.get(jobClass) ?? [],
      DEFAULT_MARGIN,
    );
    return Math.max(this.leastMargin, Math.min(MAX_MARGIN, Math.max(MIN_MARGIN, learnedMargin)));
  }
}
