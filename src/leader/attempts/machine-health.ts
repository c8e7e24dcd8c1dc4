import { outcome } from '../../store/stored-job.js';
import type { Replica } from '../../store/replica.js';
import type { Clock } from '../../clock.js';
import type { LiveJob } from '../../jobs/live-job.js';
import type { TaskFailure } from '../../jobs/task-failure.js';
import type { Log } from '../../log.js';
import type { Attempt } from '../../workers/attempt.js';
import type { Machine } from '../../workers/machine.js';
import { parseTaskName } from '../../wire/workers.js';
import type { JobHealth } from './job-health.js';

/** Longest cordon of a machine, in leases. */
const MAX_CORDON_LEASES = 3;
/** How often the cordon of a machine doubles, at most. */
const MAX_CORDON_DOUBLINGS = 10;
/** How long a failure counts against a machine, in leases. */
const FAILURE_WINDOW_LEASES = 12;
/** Longest retry delay of a task whose job fails on every machine, in leases. */
const MAX_RETRY_DELAY_LEASES = 6;
/** A machine is faulty from this many recent failures; those of a job that is not proven count as one. */
const QUARANTINE_MIN_FAILURES = 2;

/** Dependencies of `MachineHealth`. */
export interface MachineHealthOptions {
  workers: { report_s: number; lease_s: number };
  jobs: ReadonlyMap<string, LiveJob>;
  jobHealth: JobHealth;
  replica: Pick<Replica, 'jobs'>;
  clock: Clock;
  log: Log;
}

/**
 * Rates machines and jobs by their failed tasks: which machines to cordon, which tasks to retry later, and
 * which machines to quarantine as faulty.
 */
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
      case 'error': {
        const failure = this.options.jobHealth.taskFailed(job, attempt);
        // A job that fails on every machine is no evidence against the machines.
        const jobSuspect = this.options.jobHealth.isSuspect(job);
        job.delayRetry(
          attempt.index,
          now,
          report_s / 2,
          lease_s * (jobSuspect ? MAX_RETRY_DELAY_LEASES : 1),
        );
        if (!jobSuspect) {
          machine.condition.taskFailures.set(`${attempt.job}/${attempt.index}`, failure);
          this.cordon(machine, report_s * 2);
        }
        this.logFailure(job, attempt, failure, jobSuspect);
        this.quarantineIfFaulty(machine);
        break;
      }
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

  /** Quarantines a machine after failures of jobs that are proven or have failed on no other machine. */
  private quarantineIfFaulty(machine: Machine): void {
    const windowStart =
      this.options.clock.now() - this.options.workers.lease_s * FAILURE_WINDOW_LEASES;
    const unprovenJobs = new Set<string>();
    let provenJobFailures = 0;
    for (const [task, failure] of machine.condition.taskFailures) {
      const { job: id } = parseTaskName(task);
      if (failure.at < windowStart) machine.condition.taskFailures.delete(task);
      else if (this.isProven(id, failure)) provenJobFailures++;
      // All tasks of a faulty job fail on the first machine that runs them: they count once.
      else if (this.options.jobs.get(id)?.failures.size === 1) unprovenJobs.add(id);
    }
    if (
      provenJobFailures + unprovenJobs.size >= QUARANTINE_MIN_FAILURES &&
      !machine.condition.quarantined
    ) {
      machine.condition.quarantined = true;
      this.options.log.info(
        { machine: machine.id, provenJobFailures, unprovenJobs: [...unprovenJobs] },
        'machine quarantined',
      );
    }
  }

  /** Whether tasks of a job are known to outlive such a failure on some machine. */
  private isProven(id: string, { ranS }: TaskFailure): boolean {
    const job = this.options.jobs.get(id);
    if (job !== undefined) return this.options.jobHealth.isProvenBeyond(job, ranS);
    const storedJob = this.options.replica.jobs.get(id);
    return storedJob !== undefined && outcome(storedJob) === 'done';
  }
}
