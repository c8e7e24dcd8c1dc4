/** A term of leadership, put together of its parts. */

import { LiveJob } from '../../jobs/live-job.js';
import { isStoredCancelled, type StoredJob } from '../../store/stored-job.js';
import { advanceAttempt, type Attempt } from '../../workers/attempt.js';
import type { HeartbeatChanges } from '../../workers/heartbeat-changes.js';
import type { Machine } from '../../workers/machine.js';
import { AttemptStopper } from '../attempts/attempt-stopper.js';
import { fenceUnanswered, isLaterToken } from '../attempts/fencing.js';
import { restoreMachine, readyJobs } from './failover.js';
import { LeaseExpiry } from '../attempts/lease-expiry.js';
import { MachineHealth } from '../attempts/machine-health.js';
import { progressLayout } from '../writes/progress-layout.js';
import { HeartbeatReconciler } from '../attempts/heartbeat-reconciler.js';
import { mayStart, mayStartDirectly } from '../attempts/start-permission.js';
import { TermState, type TermContext } from './term-state.js';

export type { TermContext } from './term-state.js';

/**
 * One term of leadership: machines, jobs and what is known of where tasks may be. All changes of
 * jobs and attempts on events go through here; it does no input or output.
 */
export class Term extends TermState {
  private readonly stopper: AttemptStopper;
  private readonly reconciler: HeartbeatReconciler;
  private readonly leaseExpiry: LeaseExpiry;

  constructor(context: TermContext) {
    super(context);
    const { settings, replica, clock, log } = context;
    const { workers } = settings;
    const health = new MachineHealth({ workers, jobs: this.jobs, replica, clock, log });
    this.stopper = new AttemptStopper(this);
    this.reconciler = new HeartbeatReconciler(this, this.stopper, health);
    this.leaseExpiry = new LeaseExpiry(this, this.reconciler);
    for (const storedJob of readyJobs(replica)) this.addJob(storedJob);
    for (const [id, stored] of replica.machines) restoreMachine(this, this.stopper, id, stored);
  }

  // Jobs

  /** A job that may start; the one that is known already, if there is one. */
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

  /** A cancellation is stored. */
  jobCancelled(storedJob: StoredJob): void {
    const job = this.jobs.get(storedJob.spec.id);
    if (job !== undefined) this.cancelJob(job);
  }

  /** A cancellation is stored, as another controller knows. */
  cancellationHeard(id: string): void {
    const job = this.jobs.get(id);
    if (job !== undefined && !job.cancelled) this.cancelJob(job);
  }

  /** Whether a job is cancelled, by the store's changes as far as they were read, or as others know. */
  isCancelled(id: string): boolean {
    const job = this.jobs.get(id);
    if (job?.cancelled === true) return true;
    return isStoredCancelled(job?.storedJob ?? this.context.replica.jobs.get(id));
  }

  private cancelJob(job: LiveJob): void {
    job.cancelled = true;
    this.stopper.closeJob(job);
  }

  /** All tasks are done and stored. */
  jobCompleted(job: LiveJob): void {
    if (job.phase === 'active') job.changePhase('closing');
  }

  // Attempts

  /** The claim is stored, at this revision. */
  claimStored(attempt: Attempt, revision: number): void {
    if (attempt.state !== 'claiming') return;
    attempt.claimRevision = revision;
    advanceAttempt(attempt, 'claimed', this.now);
    const job = this.jobs.get(attempt.job);
    if (attempt.stopRequest !== null || job === undefined || job.phase !== 'active') {
      attempt.stopRequest = null;
      this.stopper.stop(attempt, 0);
      if (job?.isGang === true && job.phase === 'active') this.stopper.stopAll(job, 0);
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

  /** Wants an attempt gone within so many seconds. One that was never sent is withdrawn at once. */
  stopAttempt(attempt: Attempt, graceS: number): void {
    this.stopper.stop(attempt, graceS);
  }

  /** Stops a task, or the gang it is of, with the time it takes to save. */
  stopGracefully(job: LiveJob, attempt: Attempt): void {
    this.stopper.stopGracefully(job, attempt);
  }

  /** Without saving: what it did since its last checkpoint is lost. */
  stopImmediately(job: LiveJob, attempt: Attempt): void {
    this.stopper.stopImmediately(job, attempt);
  }

  // Machines

  /** What a heartbeat, a lapsed lease or a returned machine has shown. */
  reconcile(machine: Machine, changes: HeartbeatChanges): void {
    this.reconciler.reconcile(machine, changes);
  }

  /** Leases that have expired for certain, with nobody else entitled to renew them. */
  expireLeases(): void {
    this.leaseExpiry.expire();
  }

  /** All that was on a machine is provably gone. */
  loseMachine(machine: Machine): void {
    this.leaseExpiry.loseMachine(machine);
  }

  /** Fences machines anew whose direct starts were never answered and keep something from being done. */
  fenceUnanswered(): void {
    fenceUnanswered(this);
  }

  /** A later leader's token, as far as can be told: none that this term has given. */
  isLaterToken(token: number): boolean {
    return isLaterToken(this, token);
  }
}
