/** The slots of a term: what the store holds of them, and the changes on their way into it. */

import type { OwnedRecord, OwnedWrite } from '../subsystems/subsystem.js';
import { RecordTable, type RecordForm, type TableEntry } from '../subsystems/record-table.js';
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

/** A slot as it is, and as the store holds it. */
export type SlotEntry = TableEntry<Slot>;

const SLOT_FORM: RecordForm<Slot> = {
  prefix: SLOT_PREFIX,
  idOf: slotId,
  encode: encodeSlot,
  decode: decodeSlot,
};

/** Slots by their names, and by the machines that are kept for them. */
export class SlotTable {
  private heldByMachine: Map<string, SlotEntry[]> | null = null;
  private readonly table = new RecordTable(SLOT_FORM, {
    // Ends stop what somebody pays for.
    isUrgent: (entry) => !isOpen(entry.current),
    onChange: () => (this.heldByMachine = null),
  });

  /** See `RecordTable.reconcile`. */
  reconcile(records: ReadonlyMap<string, OwnedRecord>): void {
    this.table.reconcile(records);
  }

  /** Slots of the table. */
  get size(): number {
    return this.table.size;
  }

  /** All slots, also those that are over. */
  values(): IterableIterator<SlotEntry> {
    return this.table.values();
  }

  /** The slot of this name. */
  get(id: string): SlotEntry | undefined {
    return this.table.get(id);
  }

  /** A new slot, or the one that has its name already. */
  add(slot: Slot): SlotEntry {
    return this.table.add(slot);
  }

  /** Changes a slot; the change is stored later. */
  apply(entry: SlotEntry, event: SlotEvent): void {
    this.table.change(entry, advanceSlot(entry.current, event));
  }

  /** Slots with a machine that is kept for them, by machine. */
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

  /** A slot whose whole change is stored and final, and that may go into the bill. */
  isSettled(entry: SlotEntry): boolean {
    return !isOpen(entry.current) && this.table.isStored(entry);
  }

  /** Its record was removed. */
  removed(id: string): void {
    this.table.removed(id);
  }

  /** The next changes to store, ends first. */
  dueWrites(): OwnedWrite[] {
    return this.table.dueWrites();
  }
}
