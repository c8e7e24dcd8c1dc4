/** The slots in one term: their stored state, and changes that are not stored yet. */

import type { OwnedRecord, OwnedWrite } from '../subsystems/subsystem.js';
import { RecordTable, type RecordCodec, type TableEntry } from '../subsystems/record-table.js';
import {
  advanceSlot,
  decodeSlot,
  encodeSlot,
  isHeld,
  isOpen,
  SLOT_PREFIX,
  slotId,
  type Slot,
  type SlotEvent,
} from './slot.js';

/** A slot in its current state and as the store holds it. */
export type SlotEntry = TableEntry<Slot>;

const SLOT_CODEC: RecordCodec<Slot> = {
  prefix: SLOT_PREFIX,
  idOf: slotId,
  encode: encodeSlot,
  decode: decodeSlot,
};

/** Slots by id, and by the machines that are reserved for them. */
export class SlotTable {
  private heldByMachine: Map<string, SlotEntry[]> | null = null;
  private readonly table = new RecordTable(SLOT_CODEC, {
    // The end of a slot stops the charges to its team.
    isUrgent: (entry) => !isOpen(entry.current),
    onChange: () => (this.heldByMachine = null),
  });

  /** See `RecordTable.reconcile`. */
  reconcile(records: ReadonlyMap<string, OwnedRecord>): void {
    this.table.reconcile(records);
  }

  /** Number of slots. */
  get size(): number {
    return this.table.size;
  }

  /** All slots, including ended ones. */
  values(): IterableIterator<SlotEntry> {
    return this.table.values();
  }

  /** The slot with this id. */
  get(id: string): SlotEntry | undefined {
    return this.table.get(id);
  }

  /** Adds a slot, or returns the one that already has its id. */
  add(slot: Slot): SlotEntry {
    return this.table.add(slot);
  }

  /** Applies an event to a slot; the change is stored later. */
  apply(entry: SlotEntry, event: SlotEvent): void {
    this.table.change(entry, advanceSlot(entry.current, event));
  }

  /** Slots with a reserved machine, by machine. */
  held(): ReadonlyMap<string, readonly SlotEntry[]> {
    if (this.heldByMachine === null) {
      this.heldByMachine = new Map();
      for (const entry of this.table.values()) {
        const { current } = entry;
        if (!isHeld(current) || current.machine === null) continue;
        const others = this.heldByMachine.get(current.machine);
        if (others === undefined) this.heldByMachine.set(current.machine, [entry]);
        else others.push(entry);
      }
    }
    return this.heldByMachine;
  }

  /** Whether the slot has ended and its end is stored, so that it may be billed. */
  isSettled(entry: SlotEntry): boolean {
    return !isOpen(entry.current) && this.table.isStored(entry);
  }

  /** Removes a slot whose record was removed from the store. */
  deleteEntry(id: string): void {
    this.table.deleteEntry(id);
  }

  /** The next changes to store; ends of slots come first. */
  dueWrites(): OwnedWrite[] {
    return this.table.dueWrites();
  }
}
