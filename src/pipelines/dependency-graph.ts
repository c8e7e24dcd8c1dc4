import { isWaiting, outcome, specOf, type StoredJob } from '../store/stored-job.js';

/** Called in the order of the store's changes, or once a listing is complete. */
export interface DependencyEvents {
  /** All dependencies of the job are done: its tasks may start. */
  onReady(job: StoredJob): void;
  /** The job is cancelled because one of its dependencies is. */
  onCancelled(job: StoredJob): void;
}

/**
 * Dependencies between jobs. The state of a job follows from the changes of the store alone:
 *
 *   ready      from the revision at which its last dependency was done
 *   cancelled  from the revision at which a dependency was cancelled, or at which the job itself was
 *              accepted if that came later
 *
 * The older of the two counts, as with "done" and "cancelled" of one job. A cancelled job is never done,
 * so a job that is cancelled through a dependency was never ready.
 *
 * Graph walks use an explicit stack, not recursion, since chains may have thousands of jobs.
 */
export class DependencyGraph {
  /** Jobs by each dependency that is not known to have ended. */
  private readonly dependents = new Map<string, StoredJob[]>();
  /** Incremented with every change: values derived from an earlier version may be out of date. */
  version = 0;

  constructor(
    private readonly jobs: ReadonlyMap<string, StoredJob>,
    private readonly events: DependencyEvents,
  ) {}

  /** Open jobs that depend directly on this job and wait for it. */
  dependentsOf(id: string): readonly StoredJob[] {
    return (this.dependents.get(id) ?? []).filter(isWaiting);
  }

  /** Whether no job waits for another job. */
  get isEmpty(): boolean {
    return this.dependents.size === 0;
  }

  /** Whether any job depends on this one. */
  hasDependents(id: string): boolean {
    return this.dependents.has(id);
  }

  /** Called when a job was accepted, in the order of the store's changes. */
  jobAccepted(job: StoredJob): void {
    this.version++;
    this.link(job);
    if (job.unmetDependencies === 0) this.markReady(job);
    for (const id of job.spec.dependencies) {
      const dependency = this.jobs.get(id);
      if (dependency !== undefined && outcome(dependency) === 'cancelled')
        cancelWithDependency(job, dependency);
    }
    if (outcome(job) === 'cancelled') {
      this.events.onCancelled(job);
      this.jobCancelled(job);
    } else if (outcome(job) === 'open' && job.readyRevision !== null) this.events.onReady(job);
  }

  /** Called when a job is done, in the order of the store's changes. */
  jobDone(job: StoredJob): void {
    this.version++;
    for (const dependent of this.takeDependents(job)) {
      dependent.unmetDependencies--;
      if (dependent.unmetDependencies > 0 || outcome(dependent) !== 'open') continue;
      this.markReady(dependent);
      this.events.onReady(dependent);
    }
  }

  /**
   * Called when a job is cancelled, in the order of the store's changes. Cancels all open jobs that depend on
   * it, directly or through others.
   */
  jobCancelled(job: StoredJob): void {
    this.version++;
    const cancelledJobs = [job];
    for (let next = cancelledJobs.pop(); next !== undefined; next = cancelledJobs.pop()) {
      for (const dependent of this.takeDependents(next)) {
        if (outcome(dependent) !== 'open') continue;
        cancelWithDependency(dependent, next);
        this.events.onCancelled(dependent);
        cancelledJobs.push(dependent);
      }
    }
  }

  /**
   * Rebuilds the graph once a listing is complete. A listing is in the order of keys, not of revisions, so
   * nothing is derived while it arrives. What was derived from an earlier listing and the changes since
   * then stays valid.
   */
  rebuild(): void {
    this.version++;
    this.dependents.clear();
    const notReady: StoredJob[] = [];
    for (const job of this.jobs.values()) {
      if (specOf(job) !== null && job.readyRevision === null) notReady.push(job);
    }
    for (const job of notReady) this.link(job);
    this.propagateCancellations();
    for (const job of notReady) if (job.unmetDependencies === 0) this.markReady(job);
    for (const job of notReady) {
      if (outcome(job) === 'cancelled') this.events.onCancelled(job);
      else if (outcome(job) === 'open' && job.readyRevision !== null) this.events.onReady(job);
    }
  }

  /** Registers a job with each of its dependencies that is not done. */
  private link(job: StoredJob): void {
    job.unmetDependencies = 0;
    for (const id of job.spec.dependencies) {
      const dependency = this.jobs.get(id);
      if (dependency !== undefined && outcome(dependency) === 'done') continue;
      job.unmetDependencies++;
      const waiting = this.dependents.get(id);
      if (waiting === undefined) this.dependents.set(id, [job]);
      else waiting.push(job);
    }
  }

  /** Cancels jobs whose dependencies are cancelled. Of several cancellations the oldest one counts. */
  private propagateCancellations(): void {
    const cancelledJobs: StoredJob[] = [];
    for (const id of this.dependents.keys()) {
      const dependency = this.jobs.get(id);
      if (dependency !== undefined && outcome(dependency) === 'cancelled')
        cancelledJobs.push(dependency);
    }
    for (let next = cancelledJobs.pop(); next !== undefined; next = cancelledJobs.pop()) {
      for (const dependent of this.dependents.get(next.spec.id) ?? []) {
        if (cancelWithDependency(dependent, next)) cancelledJobs.push(dependent);
      }
    }
  }

  private takeDependents(job: StoredJob): StoredJob[] {
    const waiting = this.dependents.get(job.spec.id) ?? [];
    this.dependents.delete(job.spec.id);
    return waiting;
  }

  /** Called when all dependencies are done. A job that was cancelled before that is never ready. */
  private markReady(job: StoredJob): void {
    let revision = job.acceptedRevision;
    let readyMs = job.acceptedAtMs;
    for (const id of job.spec.dependencies) {
      const dependency = this.jobs.get(id)!;
      revision = Math.max(revision, dependency.doneRevision!);
      readyMs = Math.max(readyMs, dependency.doneMs);
    }
    if (job.cancelledRevision !== null && job.cancelledRevision < revision) return;
    job.readyRevision = revision;
    job.readyMs = readyMs;
  }
}

/** Returns whether this sets a cancellation of `job`, or an older one than before. */
function cancelWithDependency(job: StoredJob, dependency: StoredJob): boolean {
  const revision = Math.max(dependency.cancelledRevision!, job.acceptedRevision);
  if (job.cancelledRevision !== null && job.cancelledRevision <= revision) return false;
  job.cancelledRevision = revision;
  job.cancelledByDependency = true;
  return true;
}
