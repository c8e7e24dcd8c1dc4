/** Rates machines and jobs by their failed tasks. */

import type { BackoffTimes } from '../../backoff.js';
import type { Clock } from '../../clock.js';
import type { LiveJob } from '../../jobs/live-job.js';
import type { TaskFailure } from '../../jobs/task-failure.js';
import type { Log } from '../../log.js';
import type { Attempt } from '../../workers/attempt.js';
import type { Machine } from '../../workers/machine.js';
import { FAILURE_WINDOW_LEASES, type JobHealth } from './job-health.js';
import type { MachineQuarantine } from './machine-quarantine.js';

/** Longest cordon of a machine, in leases. */
const MAX_CORDON_LEASES = 3;
/** Longest retry delay of a task whose job fails on every machine, in leases. */
const MAX_RETRY_DELAY_LEASES = 4;

/** Dependencies of `MachineHealth`. */
export interface MachineHealthOptions {
  workers: { report_s: number; lease_s: number };
  jobHealth: JobHealth;
  quarantine: MachineQuarantine;
  clock: Clock;
  log: Log;
}

/** Decides after a failed task whether to cordon its machine, and when to retry the task. */
export class MachineHealth {
  constructor(private readonly options: MachineHealthOptions) {}

  /** Places nothing new on a machine for a time that doubles with each call; a success or time resets it. */
  cordon(machine: Machine, initialS: number): void {
    machine.condition.cordon.failed(
      this.options.clock.now(),
      this.backoffTimes(initialS, MAX_CORDON_LEASES),
    );
  }

  private backoffTimes(initialS: number, maxLeases: number): BackoffTimes {
    const { lease_s } = this.options.workers;
    const forgetAfterS = lease_s * FAILURE_WINDOW_LEASES;
    return { initialS, maxS: lease_s * maxLeases, forgetAfterS };
  }

  /** Handles a task that ended without being done. */
  taskFailed(machine: Machine, job: LiveJob, attempt: Attempt): void {
    const now = this.options.clock.now();
    const { report_s } = this.options.workers;
    switch (attempt.cause) {
      case 'error':
        this.taskErred(machine, job, attempt);
        break;
      case 'full':
      case 'busy':
        this.cordon(machine, report_s);
        break;
      case 'unknown':
        // The worker did not find the job's description, which may not have reached it yet.
        job.delayRetry(attempt.index, now, this.backoffTimes(report_s, MAX_RETRY_DELAY_LEASES));
        break;
      default:
        break;
    }
  }

  private taskErred(machine: Machine, job: LiveJob, attempt: Attempt): void {
    const { jobHealth, quarantine } = this.options;
    const { report_s } = this.options.workers;
    const failure = jobHealth.taskFailed(job, attempt);
    // A job that fails on every machine is no evidence against the machines.
    const jobSuspect = jobHealth.isSuspect(job);
    const maxDelayLeases = jobSuspect ? MAX_RETRY_DELAY_LEASES : 1;
    const times = this.backoffTimes(report_s / 2, maxDelayLeases);
    job.delayRetry(attempt.index, failure.at, times);
    this.logFailure(job, attempt, failure, jobSuspect);
    if (jobSuspect) {
      job.suspectRetry.failed(failure.at, times);
      return;
    }
    this.cordon(machine, report_s * 2);
    quarantine.failureCounted(machine, attempt, {
      ...failure,
      job: job.spec.id,
      ofProvenJob: false,
    });
  }

  private logFailure(
    job: LiveJob,
    { machine, index }: Attempt,
    { ranS }: TaskFailure,
    jobSuspect: boolean,
  ): void {
    const jobProven = this.options.jobHealth.isProvenBeyond(job, ranS);
    const jobFailedOn = job.failures.size;
    this.options.log.info(
      { machine, job: job.spec.id, index, ranS, jobProven, jobFailedOn, jobSuspect },
      'task failed',
    );
  }
}
