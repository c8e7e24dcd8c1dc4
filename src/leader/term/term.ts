/** A term of leadership, composed of its components. */

import { LiveJob } from '../../jobs/live-job.js';
import { isStoredCancelled, type StoredJob } from '../../store/stored-job.js';
import { advanceAttempt, type Attempt, type StopReason } from '../../workers/attempt.js';
import type { HeartbeatChanges } from '../../workers/heartbeat-changes.js';
import type { Machine } from '../../workers/machine.js';
import { AttemptStopper } from '../attempts/attempt-stopper.js';
import { fenceDirectStarts, isLaterToken } from '../attempts/fencing.js';
import { restoreMachine, readyJobs } from './failover.js';
import { LeaseExpiry } from '../attempts/lease-expiry.js';
import { JobHealth } from '../attempts/job-health.js';
import { CommandLog } from '../attempts/command-log.js';
import { MachineHealth } from '../attempts/machine-health.js';
import { MachineQuarantine } from '../attempts/machine-quarantine.js';
import { progressLayout } from '../writes/progress-layout.js';
import { HeartbeatReconciler } from '../attempts/heartbeat-reconciler.js';
import { mayStart, mayStartDirectly } from '../attempts/start-permission.js';
import { TermState, type TermContext } from './term-state.js';

export type { TermContext } from './term-state.js';

/**
 * One term of leadership: machines, jobs, and on which machines tasks may be. All changes of jobs and
 * attempts by events go through this class; it does no input or output.
 */
export class Term extends TermState {
  readonly jobHealth: JobHealth;
  readonly quarantine: MachineQuarantine;
  readonly commandLog = new CommandLog(this);
  private readonly stopper: AttemptStopper;
  private readonly reconciler: HeartbeatReconciler;
  private readonly leaseExpiry: LeaseExpiry;

  constructor(context: TermContext) {
    super(context);
    const { settings, replica, clock, log } = context;
    const { workers } = settings;
    const { jobs, machines } = this;
    const leaseS = workers.lease_s;
    const jobHealth = new JobHealth({ leaseS, machines, clock });
    const quarantine = new MachineQuarantine({ leaseS, machines, jobs, jobHealth, clock, log });
    const health = new MachineHealth({ workers, jobHealth, quarantine, clock, log });
    this.jobHealth = jobHealth;
    this.quarantine = quarantine;
    this.stopper = new AttemptStopper(this);
    this.reconciler = new HeartbeatReconciler(this, this.stopper, health, {
      jobHealth,
      quarantine,
    });
    this.leaseExpiry = new LeaseExpiry(this, this.reconciler);
    for (const storedJob of readyJobs(replica)) this.addJob(storedJob);
    for (const [id, stored] of replica.machines) restoreMachine(this, this.stopper, id, stored);
  }

  // Jobs

  /** Adds a job that may start, unless it is known already. */
  addJob(storedJob: StoredJob): LiveJob {
    let job = this.jobs.get(storedJob.spec.id);
    if (job === undefined) {
      const layout = progressLayout(this, storedJob.spec.tasks);
      job = new LiveJob(storedJob, layout, this.now, this.timeOfDay.nowMs());
      this.jobs.set(storedJob.spec.id, job);
    }
    this.requestCycle();
    return job;
  }

  /** Handles a cancellation that was read from the store. */
  jobCancelled(storedJob: StoredJob): void {
    const job = this.jobs.get(storedJob.spec.id);
    if (job !== undefined) this.cancelJob(job);
  }

  /** Handles a stored cancellation that another controller has reported. */
  cancellationReported(id: string): void {
    const job = this.jobs.get(id);
    if (job !== undefined && !job.cancelled) this.cancelJob(job);
  }

  /** Whether a job is cancelled, by the store's changes that were read or by the report of another controller. */
  isCancelled(id: string): boolean {
    const job = this.jobs.get(id);
    if (job?.cancelled === true) return true;
    return isStoredCancelled(job?.storedJob ?? this.context.replica.jobs.get(id));
  }

  private cancelJob(job: LiveJob): void {
    job.cancelled = true;
    this.quarantine.jobEnded(job);
    this.stopper.closeJob(job);
  }

  /** Handles a job whose tasks are all done and stored. */
  jobCompleted(job: LiveJob): void {
    if (job.phase !== 'active') return;
    this.quarantine.jobEnded(job);
    job.changePhase('closing');
  }

  // Attempts

  /** Handles a claim that was stored at this revision. */
  claimStored(attempt: Attempt, revision: number): void {
    if (attempt.state !== 'claiming') return;
    attempt.claimRevision = revision;
    advanceAttempt(attempt, 'claimed', this.now);
    const job = this.jobs.get(attempt.job);
    if (attempt.stopRequest !== null || job === undefined || job.phase !== 'active') {
      const reason = attempt.stopRequest?.reason ?? 'job-closed';
      attempt.stopRequest = null;
      this.stopper.stop(attempt, 0, reason);
      if (job?.isGang === true && job.phase === 'active') this.stopper.stopAll(job, 0, reason);
      return;
    }
    this.machinesToCommand.add(attempt.machine);
    if (job.isGang)
      for (const other of job.activeAttempts()) this.machinesToCommand.add(other.machine);
  }

  /** See `mayStart` in attempts/start-permission. */
  mayStart(attempt: Attempt): boolean {
    return mayStart(this, attempt);
  }

  /** See `mayStartDirectly` in attempts/start-permission. */
  mayStartDirectly(attempt: Attempt): boolean {
    return mayStartDirectly(this, attempt);
  }

  /** See `AttemptStopper.stop`. */
  stopAttempt(attempt: Attempt, graceS: number, reason: StopReason): void {
    this.stopper.stop(attempt, graceS, reason);
  }

  /** Stops a task, or its gang, with the time that it needs to save. */
  stopGracefully(job: LiveJob, attempt: Attempt, reason: StopReason): void {
    this.stopper.stopGracefully(job, attempt, reason);
  }

  /** Stops a task, or its gang, without saving: work since the last checkpoint is lost. */
  stopImmediately(job: LiveJob, attempt: Attempt, reason: StopReason): void {
    this.stopper.stopImmediately(job, attempt, reason);
  }

  // Machines

  /** Applies the changes that a heartbeat has shown. */
  reconcile(machine: Machine, changes: HeartbeatChanges): void {
    this.reconciler.reconcile(machine, changes);
  }

  /** Handles all leases that have provably expired, with no other controller entitled to renew them. */
  expireLeases(): void {
    this.leaseExpiry.expire();
  }

  /** Ends all attempts on a machine: they are provably gone. */
  loseMachine(machine: Machine): void {
    this.leaseExpiry.loseMachine(machine);
  }

  /** See `fenceDirectStarts` in attempts/fencing. */
  fenceDirectStarts(machine: Machine): void {
    fenceDirectStarts(this, machine);
  }

  /** Whether a token is above all known revisions of this term, and so may be a later leader's. */
  isLaterToken(token: number): boolean {
    return isLaterToken(this, token);
  }
}
