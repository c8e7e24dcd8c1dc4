import { BitSet } from './bit-set.js';
import { chunkSize } from './chunks.js';

/**
 * How the record of a job's done tasks is divided into values of the store.
 *
 *   chunks  of the size that the stored format defines; all versions read these
 *   parts   smaller, and each names its range of tasks; written where a chunk is too large for a value, and only
 *           once every controller reads them
 */
export interface ProgressLayout {
  kind: 'chunks' | 'parts';
  /** Tasks in each unit except the last. */
  tasksPerUnit: number;
}

/** Which tasks of a job are done, and which of them are stored as done. A unit is a chunk or a part. */
export class JobProgress {
  readonly done: BitSet;
  private readonly storedDone: BitSet;
  /** Units with done tasks that no stored record contains. */
  readonly dirty = new Set<number>();
  dirtySince: number | null = null;
  /** Revisions of the records, by key. */
  readonly revisions = new Map<string, number>();

  constructor(
    private readonly tasks: number,
    public layout: ProgressLayout,
  ) {
    this.done = new BitSet(tasks);
    this.storedDone = new BitSet(tasks);
  }

  /** Adds the done tasks of a stored record. */
  addStored(key: string, first: number, bits: BitSet, revision: number): void {
    this.revisions.set(key, revision);
    for (let i = 0; i < bits.size; i++) {
      if (!bits.has(i)) continue;
      this.done.add(first + i);
      this.storedDone.add(first + i);
    }
  }

  /** Whether a stored record contains the task as done. */
  isStored(index: number): boolean {
    return this.storedDone.has(index);
  }

  /** Marks a task as done. False: it was done already. */
  markDone(index: number, now: number): boolean {
    if (!this.done.add(index)) return false;
    this.dirty.add(this.unitOf(index));
    this.dirtySince ??= now;
    return true;
  }

  /** Changes how records are divided from now on. */
  changeLayout(layout: ProgressLayout): void {
    this.layout = layout;
    this.dirty.clear();
    for (let index = 0; index < this.tasks; index++) {
      if (this.done.has(index) && !this.storedDone.has(index)) this.dirty.add(this.unitOf(index));
    }
  }

  private unitOf(index: number): number {
    return Math.floor(index / this.layout.tasksPerUnit);
  }

  /** The first task of a unit, and how many it has. */
  range(unit: number): { first: number; count: number } {
    const { tasksPerUnit } = this.layout;
    return { first: unit * tasksPerUnit, count: chunkSize(this.tasks, tasksPerUnit, unit) };
  }

  /** Done tasks of a unit that no stored record contains yet. */
  unstoredTasks(unit: number): number[] {
    const { first, count } = this.range(unit);
    const tasks: number[] = [];
    for (let index = first; index < first + count; index++) {
      if (this.done.has(index) && !this.storedDone.has(index)) tasks.push(index);
    }
    return tasks;
  }

  /** Marks tasks of a unit as stored. */
  markStored(unit: number, indexes: number[], now: number): void {
    for (const index of indexes) this.storedDone.add(index);
    if (this.unstoredTasks(unit).length === 0) this.dirty.delete(unit);
    this.dirtySince = this.dirty.size === 0 ? null : now;
  }

  /** The bits of a unit in base64; null: all its tasks are done. */
  encodeBits(unit: number): string | null {
    const { first, count } = this.range(unit);
    const bits = new BitSet(count);
    for (let i = 0; i < count; i++) if (this.done.has(first + i)) bits.add(i);
    return bits.full ? null : bits.encode();
  }
}
