/** Quarantines machines that fail tasks, for as long as there is evidence against them. */

import type { Clock } from '../../clock.js';
import type { LiveJob } from '../../jobs/live-job.js';
import type { Log } from '../../log.js';
import type { Attempt } from '../../workers/attempt.js';
import type { Machine } from '../../workers/machine.js';
import type { CountedFailure, Quarantine } from '../../workers/machine-condition.js';
import { FAILURE_WINDOW_LEASES, SUSPECT_JOB_MIN_MACHINES, type JobHealth } from './job-health.js';

/** A machine is faulty from this many recent failures; those of a job that is not proven count as one. */
const QUARANTINE_MIN_FAILURES = 2;
/** Leases from a failure or a probe to the next probe. Waiting jobs need the machine if its fault is over. */
const PROBE_DELAY_LEASES = 4;
/** Leases by which a task must outlive the failures on a machine to show that it works again. */
const PROVING_MARGIN_LEASES = 1;

/** Dependencies of `MachineQuarantine`. */
export interface MachineQuarantineOptions {
  leaseS: number;
  machines: ReadonlyMap<string, Machine>;
  jobs: ReadonlyMap<string, LiveJob>;
  jobHealth: JobHealth;
  clock: Clock;
  log: Log;
}

/** Failures that count against a machine. */
interface Evidence {
  provenJobFailures: number;
  unprovenJobs: Set<string>;
}

/**
 * Decides which machines are quarantined. The evidence is weighed again as time passes, when a task succeeds there, and
 * when a job ends whose tasks failed there: no failure counts for ever.
 */
export class MachineQuarantine {
  /** Machines with failures that count, or quarantined. */
  private readonly observed = new Set<Machine>();

  constructor(private readonly options: MachineQuarantineOptions) {}

  /** Counts a failure against a machine, which is quarantined if there are too many. */
  failureCounted(machine: Machine, attempt: Attempt, failure: CountedFailure): void {
    this.observed.add(machine);
    const { condition } = machine;
    condition.taskFailures.set(`${attempt.job}/${attempt.index}`, failure);
    if (condition.quarantine === null) this.quarantineIfFaulty(machine, failure.at);
    else this.prolong(machine.id, condition.quarantine, attempt, failure.at);
  }

  private quarantineIfFaulty(machine: Machine, failedAt: number): void {
    this.dropOldFailures(machine);
    const { provenJobFailures, unprovenJobs } = this.weigh(machine, 1);
    if (provenJobFailures + unprovenJobs.size < QUARANTINE_MIN_FAILURES) return;
    const probeFrom = this.probeTimeAfter(failedAt);
    machine.condition.quarantine = { since: failedAt, failedAt, probeFrom, failedProbes: 0 };
    this.options.log.info(
      { machine: machine.id, provenJobFailures, unprovenJobs: [...unprovenJobs] },
      'machine quarantined',
    );
  }

  private prolong(
    machine: string,
    quarantine: Quarantine,
    attempt: Attempt,
    failedAt: number,
  ): void {
    quarantine.failedAt = failedAt;
    quarantine.probeFrom = this.probeTimeAfter(failedAt);
    if (!isProbe(attempt, quarantine)) return;
    quarantine.failedProbes++;
    const { failedProbes } = quarantine;
    this.options.log.info({ machine, job: attempt.job, failedProbes }, 'probe failed');
  }

  /** Handles a task that is done on a machine. */
  taskDone(machine: Machine, attempt: Attempt): void {
    // A faulty machine may still complete what it had started before.
    if (attempt.createdAt <= latestFailureAt(machine)) return;
    this.release(machine, 'a task is done');
  }

  /** Weighs the evidence again as time has passed. */
  review(): void {
    for (const machine of this.observed) {
      const { condition } = machine;
      if (this.hasProbeRunFor(machine, longestFailedRunS(machine) + this.provingMarginS))
        this.release(machine, 'a task outlived its failures');
      else if (!condition.quarantined) this.dropOldFailures(machine);
      const isForgotten = this.options.machines.get(machine.id) !== machine;
      if (isForgotten || (condition.taskFailures.size === 0 && !condition.quarantined))
        this.observed.delete(machine);
    }
  }

  /**
   * Withdraws the failures of a job that ends: if none of its tasks ever outlived them, the job itself was the more
   * likely cause. A machine that was quarantined for them alone may be probed at once.
   */
  jobEnded(job: LiveJob): void {
    for (const machine of this.observed) {
      const { quarantine } = machine.condition;
      if (!this.withdrawFailures(machine, job) || quarantine === null) continue;
      if (quarantine.failedProbes > 0 || this.isFounded(machine)) continue;
      quarantine.probeFrom = this.options.clock.now();
      this.options.log.info({ machine: machine.id, job: job.spec.id }, 'quarantine unfounded');
    }
  }

  /** Quarantined machines on which a probe may be started now. One that runs well lets others follow. */
  machinesToProbe(): Machine[] {
    const now = this.options.clock.now();
    return [...this.observed].filter((machine) => {
      const { quarantine } = machine.condition;
      if (quarantine === null) return false;
      return now >= quarantine.probeFrom || this.hasProbeRunFor(machine, this.provingMarginS);
    });
  }

  /** Records that a probe was placed on a machine. Whatever becomes of it, the next one is not started soon. */
  probePlaced({ condition: { quarantine } }: Machine): void {
    if (quarantine !== null) quarantine.probeFrom = this.probeTimeAfter(this.options.clock.now());
  }

  private probeTimeAfter(failedAt: number): number {
    return failedAt + this.options.leaseS * PROBE_DELAY_LEASES;
  }

  /** Whether enough failures are left of those for which a machine was quarantined. */
  private isFounded(machine: Machine): boolean {
    const { provenJobFailures, unprovenJobs } = this.weigh(machine, SUSPECT_JOB_MIN_MACHINES - 1);
    return provenJobFailures + unprovenJobs.size >= QUARANTINE_MIN_FAILURES;
  }

  private get provingMarginS(): number {
    return this.options.leaseS * PROVING_MARGIN_LEASES;
  }

  /** Whether a task that was placed after the latest failure has run for so long. */
  private hasProbeRunFor(machine: Machine, minRunS: number): boolean {
    const failedAt = latestFailureAt(machine);
    for (const attempt of machine.attempts.values()) {
      if (attempt.createdAt <= failedAt || attempt.state !== 'running') continue;
      if (this.options.jobHealth.observedRunS(attempt) >= minRunS) return true;
    }
    return false;
  }

  /** Failures of a machine that is not quarantined count for a while only. */
  private dropOldFailures(machine: Machine): void {
    const windowStart = this.options.clock.now() - this.options.leaseS * FAILURE_WINDOW_LEASES;
    for (const [task, { at }] of machine.condition.taskFailures)
      if (at < windowStart) machine.condition.taskFailures.delete(task);
  }

  /** Withdraws the failures of an unproven job that ends; those of a proven one keep counting. */
  private withdrawFailures(machine: Machine, job: LiveJob): boolean {
    let hasWithdrawn = false;
    for (const [task, failure] of machine.condition.taskFailures) {
      if (failure.job !== job.spec.id) continue;
      failure.ofProvenJob = this.options.jobHealth.isProvenBeyond(job, failure.ranS);
      if (failure.ofProvenJob) continue;
      machine.condition.taskFailures.delete(task);
      hasWithdrawn = true;
    }
    return hasWithdrawn;
  }

  /** The failures that count: of unproven jobs only those that failed on no more than `maxMachines` machines. */
  private weigh(machine: Machine, maxMachines: number): Evidence {
    const evidence: Evidence = { provenJobFailures: 0, unprovenJobs: new Set() };
    for (const failure of machine.condition.taskFailures.values()) {
      const job = this.options.jobs.get(failure.job);
      if (failure.ofProvenJob || this.isOfProvenJob(job, failure)) evidence.provenJobFailures++;
      // All tasks of a faulty job fail on the first machine that runs them: they count once.
      else if (job !== undefined && job.failures.size <= maxMachines)
        evidence.unprovenJobs.add(failure.job);
    }
    return evidence;
  }

  private isOfProvenJob(job: LiveJob | undefined, { ranS }: CountedFailure): boolean {
    return job !== undefined && this.options.jobHealth.isProvenBeyond(job, ranS);
  }

  private release(machine: Machine, reason: string): void {
    const wasQuarantined = machine.condition.quarantined;
    machine.condition.taskSucceeded();
    if (wasQuarantined)
      this.options.log.info({ machine: machine.id, reason }, 'machine released from quarantine');
  }
}

/** Whether a task was placed on its machine since the quarantine began. */
const isProbe = (attempt: Attempt, { since }: Quarantine): boolean => attempt.createdAt > since;

const latestFailureAt = ({ condition }: Machine): number => {
  let latest = condition.quarantine?.failedAt ?? -Infinity;
  for (const { at } of condition.taskFailures.values()) latest = Math.max(latest, at);
  return latest;
};

const longestFailedRunS = ({ condition }: Machine): number => {
  let longest = 0;
  for (const { ranS } of condition.taskFailures.values()) longest = Math.max(longest, ranS);
  return longest;
};
