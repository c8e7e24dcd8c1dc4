import { IllegalTransitionError } from '../illegal-transition.js';
import type { Attempt } from '../workers/attempt.js';
import { occupiesCapacity } from '../workers/attempt.js';
import type { StoredJob } from '../store/stored-job.js';
import { progressKey, progressPartKey, type ProgressRecord } from '../store/records.js';
import type { BitSet } from './bit-set.js';
import { chunkCount } from './chunks.js';
import { JobProgress, type ProgressLayout } from './progress.js';
import { requestKindOf } from './request-kind.js';
import type { JobSpec, Priority } from './types.js';

/**
 * A leader's running picture of one accepted job. Its phases:
 *
 *   open     has tasks that are not done
 *   closing  cancelled, or all done: nothing starts any more, what is left goes away
 *   closed   nothing of it can be on any machine
 */
export type JobPhase = 'active' | 'closing' | 'closed';

interface RetryDelay {
  failures: number;
  notBefore: number;
}

/** An accepted job as its leader sees it: tasks that are done, run, or wait to be started. */
export class LiveJob {
  /** What the user asked for, with the priority of the most important job that needs this one. */
  spec: JobSpec;
  phase: JobPhase = 'active';
  cancelled = false;
  readonly progress: JobProgress;
  /** Tasks that are done, stored or not: those of `progress`, asked for very often. */
  readonly done: BitSet;
  /** Attempts of each task that hold capacity somewhere, or that may. */
  readonly attemptsByTask = new Map<number, Attempt[]>();
  /** Done tasks whose end is not stored yet. */
  endsToStore: Attempt[] = [];
  attainedS: number;
  /** Machines on which its tasks failed. */
  readonly failedOn = new Set<string>();
  hasSucceeded = false;
  isLong = false;
  score = 0;
  isGuaranteed = false;
  private firstUntried = 0;
  private readonly requeued = new Set<number>();
  private readonly retries = new Map<number, RetryDelay>();
  private readonly lastAttemptNumbers = new Map<number, number>();
  /** Revision from which its tasks may start. */
  readonly readyAt: number;
  /** Steady time since when its tasks may start, as well as this node can tell. */
  readonly readySince: number;
  /** See `requestKindOf`. */
  requestKind: string;

  constructor(
    readonly storedJob: StoredJob,
    layout: ProgressLayout,
    now: number,
    wallMs: number,
  ) {
    this.spec = storedJob.spec;
    this.requestKind = requestKindOf(storedJob.spec);
    this.readyAt = storedJob.readyAt ?? storedJob.acceptedAt;
    this.readySince = now - Math.max(0, wallMs - storedJob.readyMs) / 1000;
    this.attainedS = storedJob.attainedS;
    this.progress = new JobProgress(this.spec.tasks, layout);
    this.done = this.progress.done;
    for (const [key, { first, bits, revision }] of storedJob.progress ?? []) {
      this.progress.addStored(key, first, bits, revision);
    }
    if (this.done.count > 0) this.hasSucceeded = true;
  }

  /** Treats the job as one of this priority. */
  setPriority(priority: Priority): void {
    if (priority === this.spec.priority) return;
    this.spec = { ...this.storedJob.spec, priority };
    this.requestKind = requestKindOf(this.spec);
  }

  /** Whether its tasks start and end together. */
  get isGang(): boolean {
    return this.spec.kind === 'gang';
  }

  /** The one function that changes its phase. Throws IllegalTransitionError. */
  changePhase(phase: JobPhase): void {
    const ok =
      (this.phase === 'active' && phase === 'closing') ||
      (this.phase === 'closing' && phase === 'closed');
    if (!ok) throw new IllegalTransitionError(`job ${this.spec.id}`, this.phase, phase);
    this.phase = phase;
  }

  /** An attempt of one of its tasks that holds capacity somewhere, or may. */
  addAttempt(attempt: Attempt): void {
    const list = this.attemptsByTask.get(attempt.index);
    if (list === undefined) this.attemptsByTask.set(attempt.index, [attempt]);
    else list.push(attempt);
    this.lastAttemptNumbers.set(
      attempt.index,
      Math.max(this.lastAttemptNumbers.get(attempt.index) ?? 0, attempt.number),
    );
  }

  /** A new attempt's number: above all earlier ones of the task, of every leader before. */
  nextNumber(index: number, token: number): number {
    return Math.max(token, (this.lastAttemptNumbers.get(index) ?? 0) + 1);
  }

  /** A new attempt's number for all tasks of a gang. */
  nextGangNumber(token: number): number {
    let number = token;
    for (const last of this.lastAttemptNumbers.values()) number = Math.max(number, last + 1);
    return number;
  }

  /** An attempt is over. The task is wanted again unless it is done or on some other machine. */
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

  /** After a failure: not at once again, and later each time. */
  delayRetry(index: number, now: number, firstS: number, mostS: number): void {
    const delay = this.retries.get(index) ?? { failures: 0, notBefore: 0 };
    delay.notBefore = now + Math.min(mostS, firstS * 2 ** delay.failures);
    delay.failures++;
    this.retries.set(index, delay);
  }

  /**
   * A task has run for so long: not a job whose tasks fail wherever they start. Services never have a
   * task that is done; one whose replicas had met three faulty machines once got no replica any more.
   */
  recordRunTime(ranS: number, provenS: number): void {
    if (ranS < provenS) return;
    this.hasSucceeded = true;
    this.failedOn.clear();
  }

  /** A task is done; false: it was before. */
  markDone(index: number, now: number): boolean {
    this.hasSucceeded = true;
    if (!this.progress.markDone(index, now)) return false;
    this.requeued.delete(index);
    this.retries.delete(index);
    return true;
  }

  /** These are stored now. Returns the ended attempts that have been dealt with by this. */
  tasksStored(unit: number, indexes: number[], now: number): Attempt[] {
    this.progress.markStored(unit, indexes, now);
    const over = this.endsToStore.filter((attempt) => this.progress.isStored(attempt.index));
    this.endsToStore = this.endsToStore.filter((attempt) => !this.progress.isStored(attempt.index));
    return over;
  }

  /** What is to be stored of a chunk or part of its progress. */
  progressRecord(unit: number): ProgressRecord {
    const { layout } = this.progress;
    const units = chunkCount(this.spec.tasks, layout.tasksEach);
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

  /** Attempts that hold capacity. */
  *activeAttempts(): IterableIterator<Attempt> {
    for (const list of this.attemptsByTask.values())
      for (const attempt of list) if (occupiesCapacity(attempt)) yield attempt;
  }

  /** Attempts that hold capacity. */
  get activeAttemptCount(): number {
    return [...this.activeAttempts()].length;
  }

  /** Tasks that are neither done nor on any machine. */
  get pendingTaskCount(): number {
    let busy = 0;
    for (const index of this.attemptsByTask.keys()) if (!this.done.has(index)) busy++;
    return this.spec.tasks - this.done.count - busy;
  }

  /** Tasks that may start now, at most `most`. */
  pendingTasks(now: number, most: number): number[] {
    const out: number[] = [];
    for (const index of this.requeued) {
      if (out.length >= most) return out;
      if (this.attemptsByTask.has(index) || this.done.has(index)) continue;
      if ((this.retries.get(index)?.notBefore ?? 0) > now) continue;
      out.push(index);
    }
    while (
      this.firstUntried < this.spec.tasks &&
      (this.attemptsByTask.has(this.firstUntried) || this.done.has(this.firstUntried))
    ) {
      this.firstUntried++;
    }
    for (let index = this.firstUntried; index < this.spec.tasks && out.length < most; index++) {
      if (this.attemptsByTask.has(index) || this.done.has(index) || this.requeued.has(index))
        continue;
      out.push(index);
    }
    return out;
  }

  /** A task was placed: it waits no more. */
  taskClaimed(attempt: Attempt): void {
    this.requeued.delete(attempt.index);
    this.addAttempt(attempt);
  }

  /** Whether all tasks are done, stored or not. */
  get isFinished(): boolean {
    return this.done.full;
  }

  /** Predicted time of what is done and of what is not, for the ranking. */
  get finishedPredictedS(): number {
    return this.isGang ? 0 : this.done.count * this.spec.estimateS;
  }

  /** Predicted time of what is not done, for the ranking. */
  get unfinishedPredictedS(): number {
    return this.isGang
      ? this.spec.estimateS
      : (this.spec.tasks - this.done.count) * this.spec.estimateS;
  }
}
