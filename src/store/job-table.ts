/** The stored state of jobs: accepted, cancelled, done. It is a pure function of the sequence of changes. */

import { chunkSize } from '../jobs/chunks.js';
import { DependencyGraph, type DependencyEvents } from '../pipelines/dependency-graph.js';
import type { KeyValue } from '../wire/key-value-store.js';
import { JobCompactor } from './job-compaction.js';
import * as records from './records.js';
import { neverStarted, outcome, specOf, type StoredJob } from './stored-job.js';
import { countDone, decodeBits, parseProgressKey } from './stored-progress.js';

/** Cancelled jobs whose cancellation was stored after a revision. */
interface CancelledJobs {
  ids: readonly string[];
  /** A leader that had not read one of the cancellations may have stored claims of the job that are missing here. */
  mayLackClaims: boolean;
}

/** Maximum number of cached results of `cancelledSince`: enough for one per controller that may ask, with a margin. */
const MAX_CACHED_RESULTS = 16;

/** All jobs that were ever accepted, built from a listing and updated from the stream of changes. */
export class JobTable {
  readonly jobs = new Map<string, StoredJob>();
  readonly dependencies: DependencyGraph;
  /** While a listing is being read, cancellations have no effects yet: see `Replica.applyListed`. */
  listingInProgress = false;
  private readonly earlyCancellations = new Map<string, number>();
  private readonly earlyProgress = new Map<string, KeyValue[]>();
  private cancelledCache = { applied: -1, since: new Map<number, CancelledJobs>() };
  private readonly compactor = new JobCompactor();

  constructor(
    /** Number of tasks in one chunk of a job's progress in the stored format. */
    readonly tasksPerChunk: number,
    private readonly events: DependencyEvents,
  ) {
    this.dependencies = new DependencyGraph(this.jobs, {
      onReady: (job) => this.events.onReady(job),
      onCancelled: (job) => this.closeCancelled(job),
    });
  }

  /**
   * Reduces finished jobs that were accepted before this time to their outcome. Users may poll a job for
   * an unlimited time, and the response needs nothing else. Jobs with a claim in a machine record are
   * skipped, since the resources that their tasks occupy there must stay known.
   */
  compactFinished(beforeMs: number): void {
    for (const [id, storedJob] of this.jobs) {
      if (
        storedJob.acceptedAtMs >= beforeMs ||
        storedJob.claimCount > 0 ||
        storedJob.spec.id === '' ||
        outcome(storedJob) === 'open'
      )
        continue;
      this.jobs.set(id, this.compactor.compact(storedJob));
    }
  }

  /** Called when the listing and the changes since its first page have been applied. */
  listingComplete(): void {
    this.listingInProgress = false;
    this.dependencies.rebuild();
    for (const storedJob of this.jobs.values()) {
      if (storedJob.progress !== null && outcome(storedJob) === 'cancelled') {
        this.closeCancelled(storedJob);
      }
    }
  }

  /**
   * Cancelled jobs that may have tasks and whose cancellation was stored after `revision`, among the changes
   * up to `applied` that this replica holds. Calls are rare, but then come in large numbers for a few revisions
   * while no changes arrive, so results are cached until the next change.
   */
  cancelledSince(revision: number, applied: number): CancelledJobs {
    if (this.cancelledCache.applied !== applied)
      this.cancelledCache = { applied, since: new Map() };
    const { since } = this.cancelledCache;
    let result = since.get(revision);
    if (result !== undefined) return result;
    if (since.size >= MAX_CACHED_RESULTS) since.clear();
    result = this.findCancelledSince(revision);
    since.set(revision, result);
    return result;
  }

  private findCancelledSince(revision: number): CancelledJobs {
    const ids: string[] = [];
    let mayLackClaims = false;
    for (const [id, storedJob] of this.jobs) {
      if (storedJob.cancelledRevision === null || storedJob.cancelledRevision <= revision) continue;
      // A job that never started has no task whose lease could be renewed; a cascade may contain thousands of them.
      if (outcome(storedJob) !== 'cancelled' || neverStarted(storedJob)) continue;
      ids.push(id);
      mayLackClaims ||= storedJob.claimCount < storedJob.spec.tasks - storedJob.doneTasks;
    }
    return { ids, mayLackClaims };
  }

  /** Applies a batch of accepted jobs and cancellations. */
  applyBatch(batch: records.RequestBatchRecord, revision: number): void {
    for (const accepted of batch.jobs) this.applyAccepted(accepted, revision);
    for (const id of batch.cancelledIds) this.applyCancellation(id, revision);
  }

  private applyAccepted(accepted: records.AcceptedJob, revision: number): void {
    const id = accepted.spec.id;
    const storedJob = this.jobs.get(id);
    if (storedJob !== undefined) {
      this.mergeRepeatedAcceptance(storedJob, accepted, revision);
      return;
    }
    const independent = accepted.spec.dependencies.length === 0;
    // Not spread from `accepted`: that takes ten times as long as the rest of this function, see docs/profile.md.
    const newJob: StoredJob = {
      spec: accepted.spec,
      acceptedAtMs: accepted.acceptedAtMs,
      acceptedRevision: revision,
      cancelledRevision: this.earlyCancellations.get(id) ?? null,
      cancelledByDependency: false,
      doneRevision: null,
      doneMs: 0,
      readyRevision: independent ? revision : null,
      readyMs: accepted.acceptedAtMs,
      unmetDependencies: 0,
      doneTasks: 0,
      attainedS: 0,
      progress: new Map(),
      claimCount: 0,
    };
    this.earlyCancellations.delete(id);
    this.jobs.set(id, newJob);
    for (const item of this.earlyProgress.get(id) ?? []) {
      this.applyProgress(item.key, item.value, item.revision);
    }
    this.earlyProgress.delete(id);
    if (independent && outcome(newJob) === 'open') this.events.onReady(newJob);
    else if (!this.listingInProgress) this.dependencies.jobAccepted(newJob);
  }

  /**
   * Two controllers accepted the same job at the same time. The acceptance with the lower revision counts,
   * regardless of the order in which a listing returns the two.
   */
  private mergeRepeatedAcceptance(
    storedJob: StoredJob,
    accepted: records.AcceptedJob,
    revision: number,
  ): void {
    if (revision >= storedJob.acceptedRevision) return;
    storedJob.acceptedRevision = revision;
    if (specOf(storedJob) === null) return;
    Object.assign(storedJob, accepted);
    storedJob.readyRevision = accepted.spec.dependencies.length === 0 ? revision : null;
    storedJob.readyMs = accepted.acceptedAtMs;
  }

  private applyCancellation(id: string, revision: number): void {
    const storedJob = this.jobs.get(id);
    if (storedJob === undefined) {
      // A listing is ordered by key, not by revision: the job itself may follow later.
      const early = this.earlyCancellations.get(id);
      this.earlyCancellations.set(id, Math.min(early ?? Infinity, revision));
      return;
    }
    if (storedJob.cancelledRevision !== null && revision > storedJob.cancelledRevision) return;
    storedJob.cancelledRevision = revision;
    storedJob.cancelledByDependency = false;
    if (this.listingInProgress || outcome(storedJob) !== 'cancelled') return;
    this.closeCancelled(storedJob);
    this.dependencies.jobCancelled(storedJob);
  }

  private closeCancelled(storedJob: StoredJob): void {
    storedJob.progress = null;
    this.events.onCancelled(storedJob);
  }

  /** Applies a record of done tasks. */
  applyProgress(key: string, value: unknown, revision: number): void {
    const { id, number, isPart } = parseProgressKey(key);
    const storedJob = this.jobs.get(id);
    if (storedJob === undefined) {
      const early = this.earlyProgress.get(id) ?? [];
      early.push({ key, value, revision });
      this.earlyProgress.set(id, early);
      return;
    }
    if (storedJob.doneRevision !== null || storedJob.progress === null) return;
    const old = storedJob.progress.get(key);
    if (old !== undefined && old.revision >= revision) return;
    const record = records.decodeProgress(value);
    const first = isPart ? number : number * this.tasksPerChunk;
    const size = isPart
      ? (record.tasks ?? 0)
      : chunkSize(storedJob.spec.tasks, this.tasksPerChunk, number);
    const { attainedS } = record;
    storedJob.progress.set(key, {
      first,
      bits: decodeBits(record.bits, size),
      revision,
      attainedS,
    });
    storedJob.doneMs = Math.max(storedJob.doneMs, record.doneMs ?? 0);
    this.updateTotals(storedJob);
  }

  /** Recomputes the totals. A job is done, with the latest revision of its records, once they cover all tasks. */
  private updateTotals(storedJob: StoredJob): void {
    const stored = [...storedJob.progress!.values()];
    storedJob.doneTasks = countDone(storedJob.spec.tasks, stored);
    storedJob.attainedS = stored.reduce((sum, { attainedS }) => sum + attainedS, 0);
    if (storedJob.doneTasks < storedJob.spec.tasks) return;
    storedJob.doneRevision = Math.max(...stored.map(({ revision }) => revision));
    storedJob.progress = null;
    if (!this.listingInProgress && outcome(storedJob) === 'done')
      this.dependencies.jobDone(storedJob);
  }
}
