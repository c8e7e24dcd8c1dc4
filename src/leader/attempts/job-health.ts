/** Decides from the runs of a job's tasks whether the job or its machines are the likely cause of failures. */

import type { Clock } from '../../clock.js';
import type { LiveJob } from '../../jobs/live-job.js';
import type { TaskFailure } from '../../jobs/task-failure.js';
import type { Attempt } from '../../workers/attempt.js';
import type { Machine } from '../../workers/machine.js';

/** A job that failed on this many machines, and that is not proven, is suspect; the machines are not. */
export const SUSPECT_JOB_MIN_MACHINES = 3;
/** How long a failure counts, against a job or a machine, in leases. */
export const FAILURE_WINDOW_LEASES = 12;
/** Leases after which a suspect job may use a machine again on which it failed. */
const RETRIAL_LEASES = 4;
/** Leases by which a task must have outlived a failure to prove that the job does not always fail by then. */
const PROVING_MARGIN_LEASES = 1;

/** Dependencies of `JobHealth`. */
export interface JobHealthOptions {
  leaseS: number;
  machines: ReadonlyMap<string, Machine>;
  clock: Clock;
}

/**
 * Rates jobs by the runs of their tasks. A job that was submitted with a mistake fails on every machine, possibly
 * only after it has run for a while. So a run proves nothing by itself: it must have outlived the failure.
 */
export class JobHealth {
  constructor(private readonly options: JobHealthOptions) {}

  /** Records the run of a task that has ended. */
  runEnded(job: LiveJob, attempt: Attempt): void {
    const hasFailed = attempt.state === 'ended' && !isSoundExit(attempt);
    if (!hasFailed) job.longestRunS = Math.max(job.longestRunS, this.observedRunS(attempt));
  }

  /** Records a task that ended with an error on a machine, and returns the failure. */
  taskFailed(job: LiveJob, attempt: Attempt): TaskFailure {
    const at = this.options.clock.now();
    const ranS = attempt.startedAt === null ? 0 : at - attempt.startedAt;
    const failure = { at, ranS };
    job.failures.set(attempt.machine, failure);
    return failure;
  }

  /** Whether tasks of the job are known to outlive a failure after a run of `ranS`, or to be done. */
  isProvenBeyond(job: LiveJob, ranS: number): boolean {
    if (job.hasDoneTask) return true;
    const minRunS = ranS + this.options.leaseS * PROVING_MARGIN_LEASES;
    if (job.longestRunS >= minRunS) return true;
    for (const attempt of job.activeAttempts())
      if (this.observedRunS(attempt) >= minRunS) return true;
    return false;
  }

  /** Whether the job is the likely cause of its failures, not the machines: its tasks fail wherever they start. */
  isSuspect(job: LiveJob): boolean {
    this.dropOldFailures(job);
    const isSuspect =
      job.failures.size >= SUSPECT_JOB_MIN_MACHINES &&
      !this.isProvenBeyond(job, longestFailedRunS(job));
    if (!isSuspect) job.suspectRetry.forgetFailures();
    return isSuspect;
  }

  /** How many tasks of a suspect job may start now: it runs one at a time. */
  startableTasks(job: LiveJob): number {
    if (this.options.clock.now() < job.suspectRetry.until) return 0;
    return Math.max(0, 1 - job.activeAttemptCount);
  }

  /** Machines on which a suspect job failed so recently that it is not tried there again. */
  machinesToAvoid(job: LiveJob): Set<string> {
    const since = this.options.clock.now() - this.options.leaseS * RETRIAL_LEASES;
    const recent = [...job.failures].filter(([, { at }]) => at > since);
    return new Set(recent.map(([machine]) => machine));
  }

  /** Failures count until the job has not failed for a while. One that goes on failing is tried all the same. */
  private dropOldFailures({ failures }: LiveJob): void {
    const windowStart = this.options.clock.now() - this.options.leaseS * FAILURE_WINDOW_LEASES;
    for (const { at } of failures.values()) if (at >= windowStart) return;
    failures.clear();
  }

  /** For how long an attempt has provably run: until the latest message of its machine. */
  observedRunS({ startedAt, machine, state }: Attempt): number {
    if (startedAt === null) return 0;
    if (state === 'ended') return this.options.clock.now() - startedAt;
    const lastSeenAt = this.options.machines.get(machine)?.lastSeenAt ?? startedAt;
    return Math.max(0, lastSeenAt - startedAt);
  }
}

const longestFailedRunS = (job: LiveJob): number =>
  Math.max(...[...job.failures.values()].map(({ ranS }) => ranS));

/** Whether a task ended without a failure of its own or of its gang. */
const isSoundExit = ({ cause }: Attempt): boolean => cause === 'done' || cause === 'stopped';
