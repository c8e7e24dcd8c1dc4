import { isWaiting, outcome, specOf, type StoredJob } from '../store/stored-job.js';

/** Told in the order of the store's changes, or once a listing is complete. */
export interface DependencyEvents {
  /** All jobs that it needs are done: its tasks may start. */
  onReady(job: StoredJob): void;
  /** A job that it needs is cancelled, and so is it. */
  onCancelled(job: StoredJob): void;
}

/**
 * Jobs that need other jobs. What holds for a job follows from the changes of the store alone:
 *
 *   ready      from the revision at which the last job that it needs was done
 *   cancelled  as soon as a job that it needs is, or with its acceptance if that came later
 *
 * The older of the two counts, as with "done" and "cancelled" of one job. A job that is cancelled is
 * never done, so a job that is cancelled through another one was never ready.
 *
 * All walks keep their own stack: chains may have thousands of jobs.
 */
export class DependencyGraph {
  /** Jobs by one that they need and that is not known to be over. */
  private readonly dependents = new Map<string, StoredJob[]>();
  /** Raised with every change: what was derived from the graph before may differ now. */
  version = 0;

  constructor(
    private readonly jobs: ReadonlyMap<string, StoredJob>,
    private readonly events: DependencyEvents,
  ) {}

  /** Open jobs that name this job and wait for it. */
  dependentsOf(id: string): readonly StoredJob[] {
    return (this.dependents.get(id) ?? []).filter(isWaiting);
  }

  /** Whether no job waits for another one. */
  get isEmpty(): boolean {
    return this.dependents.size === 0;
  }

  /** Whether any job needs this one. */
  hasDependents(id: string): boolean {
    return this.dependents.has(id);
  }

  /** A job was accepted, in the order of changes. */
  accepted(job: StoredJob): void {
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
      this.cancelled(job);
    } else if (outcome(job) === 'open' && job.readyAt !== null) this.events.onReady(job);
  }

  /** A job is done, in the order of changes. */
  done(job: StoredJob): void {
    this.version++;
    for (const dependent of this.takeDependents(job)) {
      dependent.unmetDependencies--;
      if (dependent.unmetDependencies > 0 || outcome(dependent) !== 'open') continue;
      this.markReady(dependent);
      this.events.onReady(dependent);
    }
  }

  /** A job is cancelled, in the order of changes: all that need it, directly or through others, are too. */
  cancelled(job: StoredJob): void {
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
   * A listing is complete. It goes by key and not by revision, so nothing was concluded while it came
   * in; what had been concluded from an earlier one and the changes since stands.
   */
  rebuild(): void {
    this.version++;
    this.dependents.clear();
    const notReady: StoredJob[] = [];
    for (const job of this.jobs.values()) {
      if (specOf(job) !== null && job.readyAt === null) notReady.push(job);
    }
    for (const job of notReady) this.link(job);
    this.propagateCancellations();
    for (const job of notReady) if (job.unmetDependencies === 0) this.markReady(job);
    for (const job of notReady) {
      if (outcome(job) === 'cancelled') this.events.onCancelled(job);
      else if (outcome(job) === 'open' && job.readyAt !== null) this.events.onReady(job);
    }
  }

  /** Notes a job with each one that it needs and that is not done. */
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

  /** The oldest cancellation counts, by whatever way it comes. */
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

  /** All that it needs is done. Cancelled before that, it is never ready. */
  private markReady(job: StoredJob): void {
    let revision = job.acceptedAt;
    let readyMs = job.atMs;
    for (const id of job.spec.dependencies) {
      const dependency = this.jobs.get(id)!;
      revision = Math.max(revision, dependency.doneAt!);
      readyMs = Math.max(readyMs, dependency.doneMs);
    }
    if (job.cancelledAt !== null && job.cancelledAt < revision) return;
    job.readyAt = revision;
    job.readyMs = readyMs;
  }
}

/** Returns whether that made the cancellation of `job` older. */
function cancelWithDependency(job: StoredJob, dependency: StoredJob): boolean {
  const revision = Math.max(dependency.cancelledAt!, job.acceptedAt);
  if (job.cancelledAt !== null && job.cancelledAt <= revision) return false;
  job.cancelledAt = revision;
  job.cancelledByDependency = true;
  return true;
}
