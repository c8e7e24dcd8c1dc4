/** By how much owners' estimates have to be raised: learned from jobs that ended. */

import type { LiveJobView } from '../subsystems/subsystem.js';
import { covering, remember } from '../subsystems/samples.js';

/** Estimates are often wrong by half (protocol); the factor that holds until enough jobs have ended. */
const DEFAULT_MARGIN = 1.5;
/** What is learned stays between these. */
const MIN_MARGIN = 1;
const MAX_MARGIN = 3;

/** By how much jobs of a class take longer than their estimates. */
export class EstimateErrors {
  private readonly ratiosByClass = new Map<string, number[]>();
  /** Jobs that have been counted and are still open. */
  private countedJobs = new Set<string>();

  constructor(private readonly leastMargin: number) {}

  /** Looks at finite jobs whose last task is done. */
  update(jobs: Iterable<LiveJobView>): void {
    const finishedJobs = new Set<string>();
    for (const job of jobs) {
      if (!job.isFinished || job.spec.kind === 'service') continue;
      finishedJobs.add(job.spec.id);
      if (!this.countedJobs.has(job.spec.id)) this.recordJob(job);
    }
    this.countedJobs = finishedJobs;
  }

  /** Time attained counts repeated work too: the error is rather taken for larger than it is. */
  private recordJob({ spec, attainedS }: LiveJobView): void {
    const predictedS = spec.estimateS * spec.tasks;
    if (predictedS <= 0 || attainedS <= 0) return;
    const samples = this.ratiosByClass.get(spec.class) ?? [];
    this.ratiosByClass.set(spec.class, samples);
    remember(samples, attainedS / predictedS);
  }

  /** The factor that covers most runs of a class. */
  margin(jobClass: string): number {
    const learnedMargin = covering(this.ratiosByClass.get(jobClass) ?? [], DEFAULT_MARGIN);
    return Math.max(this.leastMargin, Math.min(MAX_MARGIN, Math.max(MIN_MARGIN, learnedMargin)));
  }
}
