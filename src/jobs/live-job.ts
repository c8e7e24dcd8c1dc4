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
export type Phase = 'open' | 'closing' | 'closed';

interface Retry {
  fails: number;
  notBefore: number;
}

export class LiveJob {
  /** What the user asked for, with the priority of the most important job that needs this one. */
  spec: JobSpec;
  phase: Phase = 'open';
  cancelled = false;
  readonly progress: JobProgress;
  /** Tasks that are done, stored or not: those of `progress`, asked for very often. */
  readonly done: BitSet;
  /** Attempts of each task that hold room somewhere, or that may. */
  readonly live = new Map<number, Attempt[]>();
  /** Done tasks whose end is not stored yet. */
  awaiting: Attempt[] = [];
  attainedS: number;
  /** Machines on which its tasks failed. */
  readonly failedOn = new Set<string>();
  succeeded = false;
  long = false;
  score = 0;
  guaranteed = false;
  private cursor = 0;
  private readonly requeued = new Set<number>();
  private readonly retries = new Map<number, Retry>();
  private readonly numbers = new Map<number, number>();
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
      this.progress.read(key, first, bits, revision);
    }
    if (this.done.count > 0) this.succeeded = true;
  }

  /** Treats the job as one of this priority. */
  setPriority(priority: Priority): void {
    if (priority === this.spec.priority) return;
    this.spec = { ...this.storedJob.spec, priority };
    this.requestKind = requestKindOf(this.spec);
  }

  get gang(): boolean {
    return this.spec.kind === 'gang';
  }

  become(phase: Phase): void {
    const ok =
      (this.phase === 'open' && phase === 'closing') ||
      (this.phase === 'closing' && phase === 'closed');
    if (!ok) throw new Error(`job: ${this.phase} -> ${phase}`);
    this.phase = phase;
  }

  adopt(attempt: Attempt): void {
    const list = this.live.get(attempt.index);
    if (list === undefined) this.live.set(attempt.index, [attempt]);
    else list.push(attempt);
    this.numbers.set(attempt.index, Math.max(this.numbers.get(attempt.index) ?? 0, attempt.number));
  }

  /** A new attempt's number: above all earlier ones of the task, of every leader before. */
  nextNumber(index: number, token: number): number {
    return Math.max(token, (this.numbers.get(index) ?? 0) + 1);
  }

  nextGangNumber(token: number): number {
    let n = token;
    for (const last of this.numbers.values()) n = Math.max(n, last + 1);
    return n;
  }

  /** An attempt is over. The task is wanted again unless it is done or on some other machine. */
  release(attempt: Attempt): void {
    const list = this.live.get(attempt.index);
    if (list !== undefined) {
      const rest = list.filter((each) => each !== attempt);
      if (rest.length > 0) this.live.set(attempt.index, rest);
      else this.live.delete(attempt.index);
    }
    // A worker's report may show a task that the job does not have.
    if (attempt.index >= this.spec.tasks) return;
    if (!this.done.has(attempt.index) && !this.live.has(attempt.index))
      this.requeued.add(attempt.index);
  }

  /** After a failure: not at once again, and later each time. */
  postpone(index: number, now: number, firstS: number, mostS: number): void {
    const r = this.retries.get(index) ?? { fails: 0, notBefore: 0 };
    r.notBefore = now + Math.min(mostS, firstS * 2 ** r.fails);
    r.fails++;
    this.retries.set(index, r);
  }

  /**
   * A task has run for so long: not a job whose tasks fail wherever they start. Services never have a
   * task that is done; one whose replicas had met three faulty machines once got no replica any more.
   */
  noteRun(ranS: number, provenS: number): void {
    if (ranS < provenS) return;
    this.succeeded = true;
    this.failedOn.clear();
  }

  markDone(index: number, now: number): boolean {
    this.succeeded = true;
    if (!this.progress.add(index, now)) return false;
    this.requeued.delete(index);
    this.retries.delete(index);
    return true;
  }

  /** These are stored now. Returns the ended attempts that have been dealt with by this. */
  storedTasks(unit: number, indexes: number[], now: number): Attempt[] {
    this.progress.stored(unit, indexes, now);
    const over = this.awaiting.filter((attempt) => this.progress.isStored(attempt.index));
    this.awaiting = this.awaiting.filter((attempt) => !this.progress.isStored(attempt.index));
    return over;
  }

  /** What is to be stored of a chunk or part of its progress. */
  progressRecord(unit: number): ProgressRecord {
    const { layout } = this.progress;
    const units = chunkCount(this.spec.tasks, layout.tasksEach);
    const tasks = layout.kind === 'parts' ? { tasks: this.progress.range(unit).count } : {};
    return { bits: this.progress.bits(unit), attainedS: this.attainedS / units, ...tasks };
  }

  /** The key of that record. */
  progressKey(unit: number): string {
    const { layout } = this.progress;
    const { id } = this.storedJob.spec;
    if (layout.kind === 'chunks') return progressKey(id, unit);
    return progressPartKey(id, this.progress.range(unit).first);
  }

  /** Attempts that hold room. */
  *holding(): IterableIterator<Attempt> {
    for (const list of this.live.values())
      for (const attempt of list) if (occupiesCapacity(attempt)) yield attempt;
  }

  get holdingCount(): number {
    return [...this.holding()].length;
  }

  get pendingCount(): number {
    let busy = 0;
    for (const i of this.live.keys()) if (!this.done.has(i)) busy++;
    return this.spec.tasks - this.done.count - busy;
  }

  /** Tasks that may start now, at most `most`. */
  pending(now: number, most: number): number[] {
    const out: number[] = [];
    for (const i of this.requeued) {
      if (out.length >= most) return out;
      if (this.live.has(i) || this.done.has(i)) continue;
      if ((this.retries.get(i)?.notBefore ?? 0) > now) continue;
      out.push(i);
    }
    while (
      this.cursor < this.spec.tasks &&
      (this.live.has(this.cursor) || this.done.has(this.cursor))
    ) {
      this.cursor++;
    }
    for (let i = this.cursor; i < this.spec.tasks && out.length < most; i++) {
      if (this.live.has(i) || this.done.has(i) || this.requeued.has(i)) continue;
      out.push(i);
    }
    return out;
  }

  claimed(attempt: Attempt): void {
    this.requeued.delete(attempt.index);
    this.adopt(attempt);
  }

  get finished(): boolean {
    return this.done.full;
  }

  /** Predicted time of what is done and of what is not, for the ranking. */
  get finishedPredictedS(): number {
    return this.gang ? 0 : this.done.count * this.spec.estimateS;
  }

  get unfinishedPredictedS(): number {
    return this.gang
      ? this.spec.estimateS
      : (this.spec.tasks - this.done.count) * this.spec.estimateS;
  }
}
