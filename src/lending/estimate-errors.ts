/** By how much owners' estimates have to be raised: learned from jobs that ended. */

import type { LiveJobView } from '../subsystems/subsystem.js';
import { covering, remember } from '../subsystems/samples.js';

/** Estimates are often wrong by half (protocol); the factor that holds until enough jobs have ended. */
const EXPECTED = 1.5;
/** What is learned stays between these. */
const LEAST = 1;
const MOST = 3;

/** By how much jobs of a class take longer than their estimates. */
export class EstimateErrors {
  private readonly byClass = new Map<string, number[]>();
  /** Jobs that have been counted and are still open. */
  private counted = new Set<string>();

  constructor(private readonly leastMargin: number) {}

  /** Looks at finite jobs whose last task is done. */
  update(jobs: Iterable<LiveJobView>): void {
    const seen = new Set<string>();
    for (const job of jobs) {
      if (!job.isFinished || job.spec.kind === 'service') continue;
      seen.add(job.spec.id);
      if (!this.counted.has(job.spec.id)) this.note(job);
    }
    this.counted = seen;
  }

  /** Time attained counts repeated work too: the error is rather taken for larger than it is. */
  private note({ spec, attainedS }: LiveJobView): void {
    const predictedS = spec.estimateS * spec.tasks;
    if (predictedS <= 0 || attainedS <= 0) return;
    const samples = this.byClass.get(spec.class) ?? [];
    this.byClass.set(spec.class, samples);
    remember(samples, attainedS / predictedS);
  }

  /** The factor that covers most runs of a class. */
  margin(jobClass: string): number {
    const learned = covering(this.byClass.get(jobClass) ?? [], EXPECTED);
    return Math.max(this.leastMargin, Math.min(MOST, Math.max(LEAST, learned)));
  }
}
