import { isWaiting, neverStarted, outcome } from '../store/stored-job.js';
import type { Replica } from '../store/replica.js';

/** Statistics of pipelines, with the keys of `/metrics`. */
export interface PipelineStatistics {
  /** Open jobs that wait for their dependencies. */
  jobs_waiting: number;
  /** Open jobs that may start or have started. */
  jobs_ready: number;
  /** Jobs that were cancelled together with a dependency before they started. */
  jobs_cancelled_with_needed: number;
}

/** Counts over all stored jobs. The full scan is acceptable because operators ask for it only occasionally. */
export function pipelineStatistics({ jobs }: Pick<Replica, 'jobs'>): PipelineStatistics {
  const statistics = { jobs_waiting: 0, jobs_ready: 0, jobs_cancelled_with_needed: 0 };
  for (const storedJob of jobs.values()) {
    if (isWaiting(storedJob)) statistics.jobs_waiting++;
    else if (outcome(storedJob) === 'open') statistics.jobs_ready++;
    else if (storedJob.cancelledByDependency && neverStarted(storedJob))
      statistics.jobs_cancelled_with_needed++;
  }
  return statistics;
}
