import { isWaiting, neverStarted, outcome } from '../store/stored-job.js';
import type { Replica } from '../store/replica.js';

/** Figures of pipelines, by the names that `/metrics` gives them. */
export interface PipelineStatistics {
  /** Open jobs that wait for others. */
  jobs_waiting: number;
  /** Open jobs that may start, or have. */
  jobs_ready: number;
  /** Jobs that were cancelled with one that they need. */
  jobs_cancelled_with_needed: number;
}

/** Counts over all jobs that the store holds: asked for now and then, by operators. */
export function pipelineStatistics({ jobs }: Pick<Replica, 'jobs'>): PipelineStatistics {
  const figures = { jobs_waiting: 0, jobs_ready: 0, jobs_cancelled_with_needed: 0 };
  for (const storedJob of jobs.values()) {
    if (isWaiting(storedJob)) figures.jobs_waiting++;
    else if (outcome(storedJob) === 'open') figures.jobs_ready++;
    else if (storedJob.cancelledByDependency && neverStarted(storedJob))
      figures.jobs_cancelled_with_needed++;
  }
  return figures;
}
