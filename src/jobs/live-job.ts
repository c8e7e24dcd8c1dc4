import { Backoff, type BackoffTimes } from '../backoff.js';
import { IllegalTransitionError } from '../illegal-transition.js';
import type { Attempt } from '../workers/attempt.js';
import { occupiesCapacity } from '../workers/attempt.js';
import type { StoredJob } from '../store/stored-job.js';
import { progressKey, progressPartKey, type ProgressRecord } from '../store/records.js';
import type { BitSet } from './bit-set.js';
import { chunkCount } from './chunks.js';
import { JobProgress, type ProgressLayout } from './progress.js';
import { placementKeyOf } from './placement-key.js';
import type { TaskFailure } from './task-failure.js';
import type { JobSpec, Priority } from './types.js';

/**
 * The phases of an accepted job in a leader's term.
 *
 *   active   has tasks that are not done
 *   closing  cancelled, or all tasks done: nothing starts any more, and remaining attempts end
 *   closed   none of its tasks can be on any machine
 */
export type JobPhase = 'active' | 'closing' | 'closed';

/** An accepted job as its leader sees it: tasks that are done, running, or waiting to be started. */
export class LiveJob {
  /** What the user asked for, with the highest priority among this job and the jobs that depend on it. */
  spec: JobSpec;
  phase: JobPhase = 'active';
  cancelled = false;
  readonly progress: JobProgress;
  /** Tasks that are done, stored or not: the set in `progress`, read very often. */
  readonly done: BitSet;
  /** Attempts of each task that occupy or may occupy capacity on some machine. */
  readonly attemptsByTask = new Map<number, Attempt[]>();
  /** Ended attempts of done tasks that are not stored as done yet. */
  unstoredEnds: Attempt[] = [];
  attainedS: number;
  /** The latest failure on each machine where one of its tasks failed. */
  readonly failures = new Map<string, TaskFailure>();
  /** Whether any of its tasks is done. */
  hasDoneTask = false;
  /** Delay of the whole job while it is suspect, see `JobHealth`. */
  readonly suspectRetry = new Backoff();
  /** Longest run, in seconds, of a task that has ended without a failure. */
  longestRunS = 0;
  isLong = false;
  score = 0;
  isGuaranteed = false;
  private firstUntried = 0;
  private readonly requeued = new Set<number>();
  private readonly retries = new Map<number, Backoff>();
  private readonly lastAttemptNumbers = new Map<number, number>();
  /** The revision as of which its tasks may start. */
  readonly readyRevision: number;
  /** The steady time since when its tasks may start, as estimated on this controller. */
  readonly readySince: number;
  /** See `placementKeyOf`. */
  placementKey: string;

  constructor(
    readonly storedJob: StoredJob,
    layout: ProgressLayout,
    now: number,
    wallMs: number,
  ) {
    this.spec = storedJob.spec;
    this.placementKey = placementKeyOf(storedJob.spec);
    this.readyRevision = storedJob.readyRevision ?? storedJob.acceptedRevision;
    this.readySince = now - Math.max(0, wallMs - storedJob.readyMs) / 1000;
    this.attainedS = storedJob.attainedS;
    this.progress = new JobProgress(this.spec.tasks, layout);
    this.done = this.progress.done;
    for (const [key, { first, bits, revision }] of storedJob.progress ?? []) {
      this.progress.addStored(key, first, bits, revision);
    }
    if (this.done.count > 0) this.hasDoneTask = true;
  }

  /** Treats the job as one of the given priority. */
  setPriority(priority: Priority): void {
    if (priority === this.spec.priority) return;
    this.spec = { ...this.storedJob.spec, priority };
    this.placementKey = placementKeyOf(this.spec);
  }

  /** Whether its tasks start and end together. */
  get isGang(): boolean {
    return this.spec.kind === 'gang';
  }

  /** Changes its phase; no other function does. Throws IllegalTransitionError. */
  changePhase(phase: JobPhase): void {
    const isAllowed =
      (this.phase === 'active' && phase === 'closing') ||
      (this.phase === 'closing' && phase === 'closed');
    if (!isAllowed) throw new IllegalTransitionError(`job ${this.spec.id}`, this.phase, phase);
    this.phase = phase;
  }

  /** Adds an attempt of one of its tasks that occupies or may occupy capacity. */
  addAttempt(attempt: Attempt): void {
    const list = this.attemptsByTask.get(attempt.index);
    if (list === undefined) this.attemptsByTask.set(attempt.index, [attempt]);
    else list.push(attempt);
    this.lastAttemptNumbers.set(
      attempt.index,
      Math.max(this.lastAttemptNumbers.get(attempt.index) ?? 0, attempt.number),
    );
  }

  /** The number of a new attempt: above all earlier ones of the task, including those of earlier leaders. */
  nextNumber(index: number, token: number): number {
    return Math.max(token, (this.lastAttemptNumbers.get(index) ?? 0) + 1);
  }

  /** The number of a new attempt for all tasks of a gang. */
  nextGangNumber(token: number): number {
    let number = token;
    for (const last of this.lastAttemptNumbers.values()) number = Math.max(number, last + 1);
    return number;
  }

  /** Removes an attempt that is over. Its task is queued again unless it is done or has another attempt. */
  removeAttempt(attempt: Attempt): void {
    const list = this.attemptsByTask.get(attempt.index);
    if (list !== undefined) {
      const rest = list.filter((each) => each !== attempt);
      if (rest.length > 0) this.attemptsByTask.set(attempt.index, rest);
      else this.attemptsByTask.delete(attempt.index);
    }
    // A worker's heartbeat may show a task that the job does not have.
    if (attempt.index >= this.spec.tasks) return;
    if (!this.done.has(attempt.index) && !this.attemptsByTask.has(attempt.index))
      this.requeued.add(attempt.index);
  }

  /** Delays the next attempt of a task after a failure: longer after each failure. */
  delayRetry(index: number, now: number, times: BackoffTimes): void {
    let backoff = this.retries.get(index);
    if (backoff === undefined) this.retries.set(index, (backoff = new Backoff()));
    backoff.failed(now, times);
  }

  /** Marks a task as done; false: it was done already. */
  markDone(index: number, now: number): boolean {
    this.hasDoneTask = true;
    if (!this.progress.markDone(index, now)) return false;
    this.requeued.delete(index);
    this.retries.delete(index);
    return true;
  }

  /** Marks tasks as stored. Returns the ended attempts that are settled by this. */
  tasksStored(unit: number, indexes: number[], now: number): Attempt[] {
    this.progress.markStored(unit, indexes, now);
    const settled = this.unstoredEnds.filter((attempt) => this.progress.isStored(attempt.index));
    this.unstoredEnds = this.unstoredEnds.filter(
      (attempt) => !this.progress.isStored(attempt.index),
    );
    return settled;
  }

  /** The record to be stored for a unit of its progress. */
  progressRecord(unit: number): ProgressRecord {
    const { layout } = this.progress;
    const units = chunkCount(this.spec.tasks, layout.tasksPerUnit);
    const tasks = layout.kind === 'parts' ? { tasks: this.progress.range(unit).count } : {};
    return { bits: this.progress.encodeBits(unit), attainedS: this.attainedS / units, ...tasks };
  }

  /** The key of that record. */
  progressKey(unit: number): string {
    const { layout } = this.progress;
    const { id } = this.storedJob.spec;
    if (layout.kind === 'chunks') return progressKey(id, unit);
    return progressPartKey(id, this.progress.range(unit).first);
  }

  /** Attempts that occupy capacity. */
  *activeAttempts(): IterableIterator<Attempt> {
    for (const list of this.attemptsByTask.values())
      for (const attempt of list) if (occupiesCapacity(attempt)) yield attempt;
  }

  /** The number of attempts that occupy capacity. */
  get activeAttemptCount(): number {
    return [...this.activeAttempts()].length;
  }

  /** The number of tasks that are neither done nor on any machine. */
  get pendingTaskCount(): number {
    let busy = 0;
    for (const index of this.attemptsByTask.keys()) if (!this.done.has(index)) busy++;
    return this.spec.tasks - this.done.count - busy;
  }

  /** Tasks that may start now, at most `limit`. */
  pendingTasks(now: number, limit: number): number[] {
    const tasks: number[] = [];
    for (const index of this.requeued) {
      if (tasks.length >= limit) return tasks;
      if (this.attemptsByTask.has(index) || this.done.has(index)) continue;
      if ((this.retries.get(index)?.until ?? 0) > now) continue;
      tasks.push(index);
    }
    while (
      this.firstUntried < this.spec.tasks &&
      (this.attemptsByTask.has(this.firstUntried) || this.done.has(this.firstUntried))
    ) {
      this.firstUntried++;
    }
    for (let index = this.firstUntried; index < this.spec.tasks && tasks.length < limit; index++) {
      if (this.attemptsByTask.has(index) || this.done.has(index) || this.requeued.has(index))
        continue;
      tasks.push(index);
    }
    return tasks;
  }

  /** Records the claim of a task, which is then no longer pending. */
  taskClaimed(attempt: Attempt): void {
    this.requeued.delete(attempt.index);
    this.addAttempt(attempt);
  }

  /** Whether all tasks are done, stored or not. */
  get isFinished(): boolean {
    return this.done.full;
  }

  /** Predicted time of the done tasks, for the ranking. */
  get finishedPredictedS(): number {
    return this.isGang ? 0 : this.done.count * this.spec.estimateS;
  }

  /** Predicted time of the tasks that are not done, for the ranking. */
  get unfinishedPredictedS(): number {
    return this.isGang
      ? this.spec.estimateS
      : (this.spec.tasks - this.done.count) * this.spec.estimateS;
  }
}
