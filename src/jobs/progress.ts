import { BitSet } from './bit-set.js';
import { chunkSize } from './chunks.js';

/**
 * How the record of a job's done tasks is divided into values of the store.
 *
 *   chunks  by the size that belongs to the stored format; all versions read these
 *   parts   smaller, each says which tasks it is of; written where a chunk is too large for a value, and
 *           only once every controller reads them
 */
export interface ProgressLayout {
  kind: 'chunks' | 'parts';
  /** Tasks in each but the last. */
  tasksEach: number;
}

/** Which tasks of a job are done, and what of it is stored. A unit is a chunk or a part. */
export class JobProgress {
  readonly done: BitSet;
  private readonly storedDone: BitSet;
  /** Units with done tasks that no stored record names. */
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

  /** What a stored record names. */
  addStored(key: string, first: number, bits: BitSet, revision: number): void {
    this.revisions.set(key, revision);
    for (let i = 0; i < bits.size; i++) {
      if (!bits.has(i)) continue;
      this.done.add(first + i);
      this.storedDone.add(first + i);
    }
  }

  /** Whether a stored record names the task as done. */
  isStored(index: number): boolean {
    return this.storedDone.has(index);
  }

  /** False when it was done already. */
  markDone(index: number, now: number): boolean {
    if (!this.done.add(index)) return false;
    this.dirty.add(this.unitOf(index));
    this.dirtySince ??= now;
    return true;
  }

  /** Divides what is written from now on otherwise. */
  changeLayout(layout: ProgressLayout): void {
    this.layout = layout;
    this.dirty.clear();
    for (let index = 0; index < this.tasks; index++) {
      if (this.done.has(index) && !this.storedDone.has(index)) this.dirty.add(this.unitOf(index));
    }
  }

  private unitOf(index: number): number {
    return Math.floor(index / this.layout.tasksEach);
  }

  /** The first task of a unit, and how many it has. */
  range(unit: number): { first: number; count: number } {
    const { tasksEach } = this.layout;
    return { first: unit * tasksEach, count: chunkSize(this.tasks, tasksEach, unit) };
  }

  /** Done tasks of a unit that no stored record names yet. */
  unstoredTasks(unit: number): number[] {
    const { first, count } = this.range(unit);
    const out: number[] = [];
    for (let index = first; index < first + count; index++) {
      if (this.done.has(index) && !this.storedDone.has(index)) out.push(index);
    }
    return out;
  }

  /** These are stored now. */
  markStored(unit: number, indexes: number[], now: number): void {
    for (const index of indexes) this.storedDone.add(index);
    if (this.unstoredTasks(unit).length === 0) this.dirty.delete(unit);
    this.dirtySince = this.dirty.size === 0 ? null : now;
  }

  /** The bits of a unit in base64; null: all are done. */
  encodeBits(unit: number): string | null {
    const { first, count } = this.range(unit);
    const bits = new BitSet(count);
    for (let i = 0; i < count; i++) if (this.done.has(first + i)) bits.add(i);
    return bits.full ? null : bits.encode();
  }
}
