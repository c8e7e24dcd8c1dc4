/** A term of leadership, put together of its parts. */

import { LiveJob } from '../../jobs/live-job.js';
import type { StoredJob } from '../../store/stored-job.js';
import { advanceAttempt, type Attempt } from '../../workers/attempt.js';
import type { HeartbeatChanges, Machine } from '../../workers/machine.js';
import { AttemptStops } from '../attempts/attempt-stopper.js';
import { fenceUnanswered, isLaterToken } from '../attempts/fencing.js';
import { inheritMachine, openJobs } from './failover.js';
import { LeaseExpiry } from '../attempts/lease-expiry.js';
import { MachineHealth } from '../attempts/machine-health.js';
import { progressLayout } from '../writes/progress-layout.js';
import { ReportDigest } from '../attempts/heartbeat-reconciler.js';
import { mayStart } from '../attempts/start-permission.js';
import { TermState, type TermDeps } from './term-state.js';

export type { TermDeps } from './term-state.js';

/**
 * One term of leadership: machines, jobs and what is known of where tasks may be. All changes of
 * jobs and attempts on events go through here; it does no input or output.
 */
export class Term extends TermState {
  private readonly stops: AttemptStops;
  private readonly reports: ReportDigest;
  private readonly leases: LeaseExpiry;

  constructor(deps: TermDeps) {
    super(deps);
    const { settings, replica, clock, log } = deps;
    const { workers } = settings;
    const health = new MachineHealth({ workers, jobs: this.jobs, replica, clock, log });
    this.stops = new AttemptStops(this);
    this.reports = new ReportDigest(this, this.stops, health);
    this.leases = new LeaseExpiry(this, this.reports);
    for (const storedJob of openJobs(replica)) this.addJob(storedJob);
    for (const [id, stored] of replica.machines) inheritMachine(this, this.stops, id, stored);
  }

  // Jobs

  addJob(storedJob: StoredJob): LiveJob {
    let job = this.jobs.get(storedJob.spec.id);
    if (job === undefined) {
      const layout = progressLayout(this, storedJob.spec.tasks);
      job = new LiveJob(storedJob, layout, this.now, this.deps.wallMs());
      this.jobs.set(storedJob.spec.id, job);
    }
    this.requestPass();
    return job;
  }

  /** A cancellation is stored. */
  cancelled(storedJob: StoredJob): void {
    const job = this.jobs.get(storedJob.spec.id);
    if (job !== undefined) this.cancel(job);
  }

  /** A cancellation is stored, as another controller knows. */
  knownCancelled(id: string): void {
    const job = this.jobs.get(id);
    if (job !== undefined && !job.cancelled) this.cancel(job);
  }

  private cancel(job: LiveJob): void {
    job.cancelled = true;
    this.stops.close(job);
  }

  /** All tasks are done and stored. */
  completed(job: LiveJob): void {
    if (job.phase === 'open') job.become('closing');
  }

  // Attempts

  /** The claim is stored. */
  stored(attempt: Attempt): void {
    if (attempt.state !== 'claiming') return;
    advanceAttempt(attempt, 'claimed', this.now);
    const job = this.jobs.get(attempt.job);
    if (attempt.stopRequest !== null || job === undefined || job.phase !== 'open') {
      attempt.stopRequest = null;
      this.stops.stop(attempt, 0);
      if (job?.gang === true && job.phase === 'open') this.stops.stopAll(job, 0);
      return;
    }
    this.urgent.add(attempt.machine);
    if (job.gang) for (const other of job.holding()) this.urgent.add(other.machine);
  }

  mayStart(attempt: Attempt): boolean {
    return mayStart(this, attempt);
  }

  /** Wants an attempt gone within so many seconds. One that was never sent is withdrawn at once. */
  stop(attempt: Attempt, graceS: number): void {
    this.stops.stop(attempt, graceS);
  }

  /** Stops a task, or the gang it is of, with the time it takes to save. */
  stopTask(job: LiveJob, attempt: Attempt): void {
    this.stops.stopTask(job, attempt);
  }

  /** Without saving: what it did since its last checkpoint is lost. */
  stopTaskNow(job: LiveJob, attempt: Attempt): void {
    this.stops.stopTaskNow(job, attempt);
  }

  // Machines

  /** What a report, a lapsed lease or a returned machine has shown. */
  digest(machine: Machine, changes: HeartbeatChanges): void {
    this.reports.digest(machine, changes);
  }

  /** Leases that have run out for certain, with nobody else entitled to renew them. */
  expire(): void {
    this.leases.expire();
  }

  /** All that was on a machine is provably gone. */
  lose(machine: Machine): void {
    this.leases.lose(machine);
  }

  /** Fences machines anew whose direct starts were never answered and keep something from being done. */
  fenceUnanswered(): void {
    fenceUnanswered(this);
  }

  /** A later leader's token, as far as can be told: none that this term has given. */
  isLater(token: number): boolean {
    return isLaterToken(this, token);
  }
}
