/** Rates machines and jobs by their failed tasks. */

import type { Clock } from '../../clock.js';
import type { LiveJob } from '../../jobs/live-job.js';
import type { TaskFailure } from '../../jobs/task-failure.js';
import type { Log } from '../../log.js';
import type { Attempt } from '../../workers/attempt.js';
import type { Machine } from '../../workers/machine.js';
import type { JobHealth } from './job-health.js';
import type { MachineQuarantine } from './machine-quarantine.js';

/** Longest cordon of a machine, in leases. */
const MAX_CORDON_LEASES = 3;
/** How often the cordon of a machine doubles, at most. */
const MAX_CORDON_DOUBLINGS = 10;
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

  /** Places nothing new on a machine for a time that doubles with each call; a success there resets it. */
  cordon(machine: Machine, firstS: number): void {
    const maxS = this.options.workers.lease_s * MAX_CORDON_LEASES;
    machine.condition.cordonedUntil = Math.max(
      machine.condition.cordonedUntil,
      this.options.clock.now() + Math.min(maxS, firstS * 2 ** machine.condition.cordonCount),
    );
    machine.condition.cordonCount = Math.min(
      machine.condition.cordonCount + 1,
      MAX_CORDON_DOUBLINGS,
    );
  }

  /** Handles a task that ended without being done. */
  taskFailed(machine: Machine, job: LiveJob, attempt: Attempt): void {
    const now = this.options.clock.now();
    const { report_s, lease_s } = this.options.workers;
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
        job.delayRetry(attempt.index, now, report_s, lease_s * MAX_RETRY_DELAY_LEASES);
        break;
      default:
        break;
    }
  }

  private taskErred(machine: Machine, job: LiveJob, attempt: Attempt): void {
    const { jobHealth, quarantine } = this.options;
    const { report_s, lease_s } = this.options.workers;
    const failure = jobHealth.taskFailed(job, attempt);
    // A job that fails on every machine is no evidence against the machines.
    const jobSuspect = jobHealth.isSuspect(job);
    const maxDelayS = lease_s * (jobSuspect ? MAX_RETRY_DELAY_LEASES : 1);
    job.delayRetry(attempt.index, failure.at, report_s / 2, maxDelayS);
    this.logFailure(job, attempt, failure, jobSuspect);
    if (jobSuspect) {
      jobHealth.delaySuspect(job);
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
