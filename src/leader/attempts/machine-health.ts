import { outcome } from '../../store/stored-job.js';
import type { Replica } from '../../store/replica.js';
import type { Clock } from '../../clock.js';
import type { LiveJob } from '../../jobs/live-job.js';
import type { Log } from '../../log.js';
import type { Attempt } from '../../workers/attempt.js';
import type { Machine } from '../../workers/machine.js';

/** A job that fails on so many machines says nothing of them. */
const SUSPECT_JOB_MACHINES = 3;
/** Nothing new goes to a machine for longer than so many leases at a time. */
const MAX_CORDON_LEASES = 3;
/** A pause of a machine or task doubles so often, at most. */
const MAX_CORDON_DOUBLINGS = 10;
/** Failures count against a machine for so many leases. */
const FAILURE_MEMORY_LEASES = 12;
/** A task is not tried again for so many leases, at most: of a job that fails wherever it goes. */
const MAX_RETRY_DELAY_LEASES = 6;
/** So many jobs that do well elsewhere, or are doubted, make a machine faulty. */
const QUARANTINE_JOBS = 2;

/** What a `MachineHealth` works with. */
export interface MachineHealthOptions {
  workers: { report_s: number; lease_s: number };
  jobs: ReadonlyMap<string, LiveJob>;
  replica: Pick<Replica, 'jobs'>;
  clock: Clock;
  log: Log;
}

/**
 * Judges machines and jobs by the tasks that fail on them: what is left alone for a while, and which
 * machines are faulty.
 */
export class MachineHealth {
  constructor(private readonly options: MachineHealthOptions) {}

  /** Places nothing new on a machine for a while: longer each time, until a task does well there. */
  cordon(machine: Machine, firstS: number): void {
    const most = this.options.workers.lease_s * MAX_CORDON_LEASES;
    machine.condition.cordonedUntil = Math.max(
      machine.condition.cordonedUntil,
      this.options.clock.now() + Math.min(most, firstS * 2 ** machine.condition.cordonCount),
    );
    machine.condition.cordonCount = Math.min(
      machine.condition.cordonCount + 1,
      MAX_CORDON_DOUBLINGS,
    );
  }

  /** A task ended without being done. */
  taskFailed(machine: Machine, job: LiveJob, attempt: Attempt): void {
    const now = this.options.clock.now();
    const { report_s, lease_s } = this.options.workers;
    switch (attempt.cause) {
      case 'error': {
        job.failedOn.add(machine.id);
        // Machines are told from jobs: a job that fails wherever it goes says nothing of machines.
        const jobSuspect = !job.hasSucceeded && job.failedOn.size >= SUSPECT_JOB_MACHINES;
        job.delayRetry(
          attempt.index,
          now,
          report_s / 2,
          lease_s * (jobSuspect ? MAX_RETRY_DELAY_LEASES : 1),
        );
        if (!jobSuspect) {
          machine.condition.taskFailures.set(`${attempt.job}/${attempt.index}`, now);
          this.cordon(machine, report_s * 2);
        }
        this.quarantineIfFaulty(machine);
        this.options.log.info(
          { machine: machine.id, job: attempt.job, index: attempt.index, jobSuspect },
          'task failed',
        );
        break;
      }
      case 'full':
      case 'busy':
        this.cordon(machine, report_s);
        break;
      case 'unknown':
        // The worker did not find the job's description: perhaps it is not there yet.
        job.delayRetry(attempt.index, now, report_s, lease_s * MAX_RETRY_DELAY_LEASES);
        break;
      default:
        break;
    }
  }

  /** A machine is faulty when tasks of jobs that do well elsewhere fail on it, one after another. */
  private quarantineIfFaulty(machine: Machine): void {
    const recent = this.options.clock.now() - this.options.workers.lease_s * FAILURE_MEMORY_LEASES;
    const doubted = new Set<string>();
    let against = 0;
    for (const [task, at] of machine.condition.taskFailures) {
      const id = task.slice(0, task.lastIndexOf('/'));
      if (at < recent) machine.condition.taskFailures.delete(task);
      else if (this.hasSucceeded(id)) against++;
      // Several tasks of a job with a mistake fail together where it is tried first: that counts once.
      else if (this.options.jobs.get(id)?.failedOn.size === 1) doubted.add(id);
    }
    if (against + doubted.size >= QUARANTINE_JOBS && !machine.condition.quarantined) {
      machine.condition.quarantined = true;
      this.options.log.info({ machine: machine.id }, 'machine quarantined');
    }
  }

  /** Whether some task of a job has done well somewhere. */
  private hasSucceeded(id: string): boolean {
    const job = this.options.jobs.get(id);
    if (job !== undefined) return job.hasSucceeded;
    const storedJob = this.options.replica.jobs.get(id);
    return storedJob !== undefined && outcome(storedJob) === 'done';
  }
}
