/** The records of a subsystem in a term: their stored values, and the changes that are still to be stored. */

import type { OwnedRecord, OwnedWrite } from './subsystem.js';

/** Maximum number of changes returned at a time; no transaction takes more. */
const MAX_WRITES_PER_BATCH = 64;

/** How values of one kind are stored. */
export interface RecordCodec<T> {
  /** Prefix of the keys of this kind; the rest of a key is the value's id and never changes. */
  readonly prefix: string;
  idOf(value: T): string;
  encode(value: T): unknown;
  /** Null: the record has another format, and is not changed. */
  decode(stored: unknown): T | null;
}

/** The current and the stored value of a record. */
export interface TableEntry<T> {
  readonly id: string;
  /** The stored value; null: not stored yet. What leaves the controller depends on this value alone. */
  stored: T | null;
  /** Revision of its record; 0: there is none. */
  revision: number;
  /** The value once all changes are stored. */
  current: T;
}

/** Options of a `RecordTable`. */
export interface RecordTableOptions<T> {
  /** Whether the change of an entry is stored before all others. */
  isUrgent: (entry: TableEntry<T>) => boolean;
  /** Called when something in the table has changed. */
  onChange?: () => void;
  /** Called when the entry's latest change is stored. */
  onStored?: (entry: TableEntry<T>) => void;
}

/**
 * The records of one kind. Every change is guarded by the revision of its record. Changes made to a record while a
 * commit is in progress are stored together by the next one. After a commit without an answer the record is read
 * back; a change that was not carried out is retried on what the store holds.
 */
export class RecordTable<T> {
  private readonly entries = new Map<string, TableEntry<T>>();
  /** Ids with changes that are not stored, in the order of the changes. */
  private readonly unstoredIds = new Set<string>();
  /** Ids whose records are to be removed. */
  private readonly removalIds = new Set<string>();

  constructor(
    private readonly codec: RecordCodec<T>,
    private readonly options: RecordTableOptions<T>,
  ) {}

  /** Adopts records that are newer than the known ones, for instance of a late commit of this term. */
  reconcile(records: ReadonlyMap<string, OwnedRecord>): void {
    const { prefix } = this.codec;
    for (const [key, { value, revision }] of records) {
      if (!key.startsWith(prefix)) continue;
      const id = key.slice(prefix.length);
      const known = this.entries.get(id);
      if (known !== undefined && known.revision >= revision) continue;
      const decoded = this.codec.decode(value);
      if (decoded !== null && this.codec.idOf(decoded) === id) this.adopt(decoded, revision);
    }
  }

  private adopt(value: T, revision: number): void {
    const id = this.codec.idOf(value);
    this.entries.set(id, { id, stored: value, revision, current: value });
    this.unstoredIds.delete(id);
    this.options.onChange?.();
  }

  /** Number of entries. */
  get size(): number {
    return this.entries.size;
  }

  /** All entries. */
  values(): IterableIterator<TableEntry<T>> {
    return this.entries.values();
  }

  /** The entry with this id. */
  get(id: string): TableEntry<T> | undefined {
    return this.entries.get(id);
  }

  /** Adds a value, or returns the entry that already has its id. */
  add(value: T): TableEntry<T> {
    const id = this.codec.idOf(value);
    const known = this.entries.get(id);
    if (known !== undefined) return known;
    const entry: TableEntry<T> = { id, stored: null, revision: 0, current: value };
    this.entries.set(id, entry);
    this.unstoredIds.add(id);
    this.options.onChange?.();
    return entry;
  }

  /** Changes a value; the change is stored later. */
  change(entry: TableEntry<T>, value: T): void {
    entry.current = value;
    this.unstoredIds.add(entry.id);
    this.options.onChange?.();
  }

  /** Whether the store holds the entry's latest change. */
  isStored(entry: TableEntry<T>): boolean {
    return !this.unstoredIds.has(entry.id);
  }

  /** Drops an entry whose record was removed or never stored. */
  deleteEntry(id: string): void {
    this.entries.delete(id);
    this.unstoredIds.delete(id);
    this.removalIds.delete(id);
    this.options.onChange?.();
  }

  /** Removes the entry's record once its latest change is stored. */
  scheduleRemoval(entry: TableEntry<T>): void {
    this.removalIds.add(entry.id);
  }

  /** The next changes to store, urgent ones first, removals last. */
  dueWrites(): OwnedWrite[] {
    const urgent: TableEntry<T>[] = [];
    const others: TableEntry<T>[] = [];
    for (const id of this.unstoredIds) {
      const entry = this.entries.get(id)!;
      (this.options.isUrgent(entry) ? urgent : others).push(entry);
      if (urgent.length >= MAX_WRITES_PER_BATCH) break;
    }
    const puts = [...urgent, ...others]
      .slice(0, MAX_WRITES_PER_BATCH)
      .map((entry) => this.putWrite(entry));
    if (puts.length >= MAX_WRITES_PER_BATCH) return puts;
    const removals = [...this.removalIds].flatMap((id) => this.removalWrite(id));
    return [...puts, ...removals.slice(0, MAX_WRITES_PER_BATCH - puts.length)];
  }

  private putWrite(entry: TableEntry<T>): OwnedWrite {
    const value = entry.current;
    return {
      key: this.codec.prefix + entry.id,
      revision: entry.revision,
      value: this.codec.encode(value),
      alsoChanges: [],
      onStored: (at) => this.markStored(entry, value, at),
      onReadBack: (record) => this.applyReadBack(entry, value, record),
    };
  }

  private removalWrite(id: string): OwnedWrite[] {
    const entry = this.entries.get(id);
    if (entry === undefined || !this.isStored(entry)) return [];
    return [
      {
        key: this.codec.prefix + id,
        revision: entry.revision,
        value: null,
        alsoChanges: [],
        onStored: () => this.deleteEntry(id),
        onReadBack: (record) => {
          if (record === null) this.deleteEntry(id);
          else entry.revision = record.revision;
        },
      },
    ];
  }

  private markStored(entry: TableEntry<T>, value: T, revision: number): void {
    entry.stored = value;
    entry.revision = revision;
    if (entry.current !== value) return;
    this.unstoredIds.delete(entry.id);
    this.options.onStored?.(entry);
  }

  private applyReadBack(entry: TableEntry<T>, sent: T, record: OwnedRecord | null): void {
    if (record === null) {
      entry.revision = 0;
      return;
    }
    // The record is unchanged: the same change is retried.
    if (record.revision === entry.revision) return;
    const value = this.codec.decode(record.value);
    if (value === null) return;
    if (JSON.stringify(this.codec.encode(value)) === JSON.stringify(this.codec.encode(sent))) {
      this.markStored(entry, sent, record.revision);
      return;
    }
    this.adopt(value, record.revision);
  }
}
