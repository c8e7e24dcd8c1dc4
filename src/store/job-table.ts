/** What the store says of jobs: accepted, cancelled, done; a pure function of the order of its changes. */

import { chunkSize } from '../jobs/chunks.js';
import { DependencyGraph, type DependencyEvents } from '../pipelines/dependency-graph.js';
import type { KeyValue } from '../wire/key-value-store.js';
import { JobCompactor } from './job-compaction.js';
import * as records from './records.js';
import { neverStarted, outcome, specOf, type StoredJob } from './stored-job.js';
import { countDone, decodeBits, parseProgressKey } from './stored-progress.js';

/** Jobs whose cancellation was stored after a revision. */
interface CancelledSince {
  ids: readonly string[];
  /** A leader that had not read one of them may have stored a claim of it that this copy does not show. */
  mayLackClaims: boolean;
}

/** Results of `cancelledSince` that are kept: one for each controller that may ask, and some more. */
const MAX_CACHED_RESULTS = 16;

/** All jobs that were ever accepted, kept up to date by a listing and then by the stream of changes. */
export class JobTable {
  readonly jobs = new Map<string, StoredJob>();
  readonly dependencies: DependencyGraph;
  /** A listing is being read: nothing is concluded from a cancellation before it is complete. */
  listingInProgress = false;
  private readonly earlyCancellations = new Map<string, number>();
  private readonly earlyProgress = new Map<string, KeyValue[]>();
  private cancelledCache = { applied: -1, since: new Map<number, CancelledSince>() };
  private readonly compactor = new JobCompactor();

  constructor(
    /** Tasks in one chunk of a job's progress, by the stored format. */
    readonly tasksPerChunk: number,
    private readonly events: DependencyEvents,
  ) {
    this.dependencies = new DependencyGraph(this.jobs, {
      onReady: (job) => this.events.onReady(job),
      onCancelled: (job) => this.closeCancelled(job),
    });
  }

  /**
   * Of jobs that are over and were accepted before this time only the outcome stays in memory: users
   * may ask for ever, and what they are told needs no more. Not while a machine's record names one of
   * its tasks: what that takes there must be known.
   */
  compactFinished(beforeMs: number): void {
    for (const [id, storedJob] of this.jobs) {
      if (
        storedJob.atMs >= beforeMs ||
        storedJob.claimCount > 0 ||
        storedJob.spec.id === '' ||
        outcome(storedJob) === 'open'
      )
        continue;
      this.jobs.set(id, this.compactor.compact(storedJob));
    }
  }

  /** The listing is complete, with the changes since its first page. */
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
   * Ids of jobs that may have tasks and whose cancellation was stored after `revision`, as far as this copy
   * goes, which holds all changes up to `applied`. Rarely asked for, and then many times for a few revisions
   * while nothing is read: the results are kept until something is.
   */
  cancelledSince(revision: number, applied: number): CancelledSince {
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

  private findCancelledSince(revision: number): CancelledSince {
    const ids: string[] = [];
    let mayLackClaims = false;
    for (const [id, storedJob] of this.jobs) {
      if (storedJob.cancelledAt === null || storedJob.cancelledAt <= revision) continue;
      // What never started has no task whose lease could be renewed: a cascade may hold thousands.
      if (outcome(storedJob) !== 'cancelled' || neverStarted(storedJob)) continue;
      ids.push(id);
      mayLackClaims ||= storedJob.claimCount < storedJob.spec.tasks - storedJob.doneTasks;
    }
    return { ids, mayLackClaims };
  }

  /** A batch of accepted jobs and cancellations. */
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
    // Field by field: spreading `accepted` takes ten times as long as all the rest, see docs/profile.md.
    const newJob: StoredJob = {
      spec: accepted.spec,
      atMs: accepted.atMs,
      acceptedAt: revision,
      cancelledAt: this.earlyCancellations.get(id) ?? null,
      cancelledByDependency: false,
      doneAt: null,
      doneMs: 0,
      readyAt: independent ? revision : null,
      readyMs: accepted.atMs,
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
    else if (!this.listingInProgress) this.dependencies.accepted(newJob);
  }

  /**
   * Two nodes accepted the same job at once: the same job, the older acceptance counts, in whatever
   * order a listing shows the two.
   */
  private mergeRepeatedAcceptance(
    storedJob: StoredJob,
    accepted: records.AcceptedJob,
    revision: number,
  ): void {
    if (revision >= storedJob.acceptedAt) return;
    storedJob.acceptedAt = revision;
    if (specOf(storedJob) === null) return;
    Object.assign(storedJob, accepted);
    storedJob.readyAt = accepted.spec.dependencies.length === 0 ? revision : null;
    storedJob.readyMs = accepted.atMs;
  }

  private applyCancellation(id: string, revision: number): void {
    const storedJob = this.jobs.get(id);
    if (storedJob === undefined) {
      // A listing goes by key, not by time: the job itself may come later.
      const early = this.earlyCancellations.get(id);
      this.earlyCancellations.set(id, Math.min(early ?? Infinity, revision));
      return;
    }
    if (storedJob.cancelledAt !== null && revision > storedJob.cancelledAt) return;
    storedJob.cancelledAt = revision;
    storedJob.cancelledByDependency = false;
    if (this.listingInProgress || outcome(storedJob) !== 'cancelled') return;
    this.closeCancelled(storedJob);
    this.dependencies.cancelled(storedJob);
  }

  private closeCancelled(storedJob: StoredJob): void {
    storedJob.progress = null;
    this.events.onCancelled(storedJob);
  }

  /** A record of done tasks. */
  applyProgress(key: string, value: unknown, revision: number): void {
    const { id, number, isPart } = parseProgressKey(key);
    const storedJob = this.jobs.get(id);
    if (storedJob === undefined) {
      const early = this.earlyProgress.get(id) ?? [];
      early.push({ key, value, revision });
      this.earlyProgress.set(id, early);
      return;
    }
    if (storedJob.doneAt !== null || storedJob.progress === null) return;
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

  /** Done when all records together name all tasks, with the youngest of them. */
  private updateTotals(storedJob: StoredJob): void {
    const stored = [...storedJob.progress!.values()];
    storedJob.doneTasks = countDone(storedJob.spec.tasks, stored);
    storedJob.attainedS = stored.reduce((sum, { attainedS }) => sum + attainedS, 0);
    if (storedJob.doneTasks < storedJob.spec.tasks) return;
    storedJob.doneAt = Math.max(...stored.map(({ revision }) => revision));
    storedJob.progress = null;
    if (!this.listingInProgress && outcome(storedJob) === 'done') this.dependencies.done(storedJob);
  }
}
