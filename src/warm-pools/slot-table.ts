/** The slots of a term: what the store holds of them, and the changes on their way into it. */

import type { OwnedRecord, OwnedWrite } from '../subsystems/subsystem.js';
import {
  advanceSlot,
  decodeSlot,
  encodeSlot,
  isHeld,
  isOpen,
  SLOT_PREFIX,
  slotId,
  slotKey,
  type Slot,
  type SlotEvent,
} from './slot.js';

/** Changes that are offered to the store at a time: no transaction takes more. */
const WRITES_AT_ONCE = 64;

export interface SlotEntry {
  readonly id: string;
  /** As the store holds it; null: not stored yet. What leaves the controller rests on this alone. */
  stored: Slot | null;
  /** Revision of its record; 0: there is none. */
  revision: number;
  /** As it is once all changes are stored. */
  current: Slot;
}

/**
 * Every change is one guarded commit. Changes that come while one is on its way go out together with the
 * next. A commit that was not answered is read back; a change that it shows not to be carried out is
 * tried again on what the store holds.
 */
export class SlotTable {
  private readonly entries = new Map<string, SlotEntry>();
  /** Ids of slots with changes that are not stored, in the order in which they came. */
  private readonly unstored = new Set<string>();
  private heldByMachine: Map<string, SlotEntry[]> | null = null;

  /** Takes in records that are newer than what is known: a commit of this term that was carried out late. */
  reconcile(records: ReadonlyMap<string, OwnedRecord>): void {
    for (const [key, { value, revision }] of records) {
      if (!key.startsWith(SLOT_PREFIX)) continue;
      const known = this.entries.get(key.slice(SLOT_PREFIX.length));
      if (known !== undefined && known.revision >= revision) continue;
      const slot = decodeSlot(value);
      if (slot !== null && slotKey(slot) === key) this.adopt(slot, revision);
    }
  }

  private adopt(slot: Slot, revision: number): void {
    const id = slotId(slot);
    this.entries.set(id, { id, stored: slot, revision, current: slot });
    this.unstored.delete(id);
    this.heldByMachine = null;
  }

  get size(): number {
    return this.entries.size;
  }

  values(): IterableIterator<SlotEntry> {
    return this.entries.values();
  }

  get(id: string): SlotEntry | undefined {
    return this.entries.get(id);
  }

  /** A new slot, or the one that has its name already. */
  add(slot: Slot): SlotEntry {
    const id = slotId(slot);
    const known = this.entries.get(id);
    if (known !== undefined) return known;
    const entry: SlotEntry = { id, stored: null, revision: 0, current: slot };
    this.entries.set(id, entry);
    this.unstored.add(id);
    return entry;
  }

  /** Changes a slot; the change is stored later. */
  apply(entry: SlotEntry, event: SlotEvent): void {
    entry.current = advanceSlot(entry.current, event);
    this.unstored.add(entry.id);
    this.heldByMachine = null;
  }

  /** Slots with a machine that is kept for them, by machine. */
  held(): ReadonlyMap<string, readonly SlotEntry[]> {
    if (this.heldByMachine === null) {
      this.heldByMachine = new Map();
      for (const entry of this.entries.values()) {
        const { current } = entry;
        if (!isHeld(current) || current.machine === null) continue;
        const others = this.heldByMachine.get(current.machine);
        if (others === undefined) this.heldByMachine.set(current.machine, [entry]);
        else others.push(entry);
      }
    }
    return this.heldByMachine;
  }

  /** A slot whose whole change is stored and final, and that may go into the bill. */
  isSettled(entry: SlotEntry): boolean {
    return !isOpen(entry.current) && !this.unstored.has(entry.id);
  }

  /** Its record was removed. */
  removed(id: string): void {
    this.entries.delete(id);
    this.unstored.delete(id);
    this.heldByMachine = null;
  }

  /** The next changes to store, ends first: they stop what somebody pays for. */
  dueWrites(): OwnedWrite[] {
    const ends: SlotEntry[] = [];
    const others: SlotEntry[] = [];
    for (const id of this.unstored) {
      const entry = this.entries.get(id)!;
      (isOpen(entry.current) ? others : ends).push(entry);
      if (ends.length >= WRITES_AT_ONCE) break;
    }
    const next = [...ends, ...others].slice(0, WRITES_AT_ONCE);
    return next.map((entry) => this.write(entry));
  }

  private write(entry: SlotEntry): OwnedWrite {
    const slot = entry.current;
    const { revision } = entry;
    return {
      key: slotKey(slot),
      revision,
      value: encodeSlot(slot),
      also: [],
      stored: (at) => this.stored(entry, slot, at),
      reread: (record) => this.reread(entry, slot, record),
    };
  }

  private stored(entry: SlotEntry, slot: Slot, revision: number): void {
    entry.stored = slot;
    entry.revision = revision;
    if (entry.current === slot) this.unstored.delete(entry.id);
  }

  private reread(entry: SlotEntry, sent: Slot, record: OwnedRecord | null): void {
    if (record === null) {
      entry.revision = 0;
      return;
    }
    // Nothing has changed: the same change is tried again.
    if (record.revision === entry.revision) return;
    const slot = decodeSlot(record.value);
    if (slot === null) return;
    if (JSON.stringify(encodeSlot(slot)) === JSON.stringify(encodeSlot(sent))) {
      this.stored(entry, sent, record.revision);
      return;
    }
    this.adopt(slot, record.revision);
  }
}
