/** The view for operators. It depends on the records alone, so it is the same on every controller. */

import type { OwnedRecord } from '../subsystems/subsystem.js';
import { addTotals, billDays, utcDayOf, slotTotals, type BillDay } from './bill.js';
import { BurstSchedule } from './burst-schedule.js';
import type { PoolDeclaration } from './declaration.js';
import { decodeSlot, zeroSlotCounts, SLOT_PREFIX, type Slot, type SlotState } from './slot.js';

/** Status of a pool in the view for operators. */
export interface PoolStatus {
  pool: string;
  team: string;
  image: string;
  /** Declared number of slots; null if the pool is no longer declared. */
  slots: number | null;
  /** Start of the next burst, ISO 8601; null if there is none. */
  nextBurst: string | null;
  states: Record<SlotState, number>;
}

/** A day of a pool's bill, including slots that are not billed yet. */
export interface BillRow extends BillDay {
  /** Number of slots whose held interval is open. */
  open: number;
}

/** All pools and their bill. */
export interface PoolsView {
  pools: PoolStatus[];
  bill: BillRow[];
}

/** Builds the view from the subsystem's records and declaration. */
export function poolsView(
  records: ReadonlyMap<string, OwnedRecord>,
  pools: readonly PoolDeclaration[],
  wallMs: number,
): PoolsView {
  const slots = decodeSlots(records);
  return { pools: poolStatuses(slots, pools, wallMs), bill: billRows(records, slots, wallMs) };
}

function decodeSlots(records: ReadonlyMap<string, OwnedRecord>): Slot[] {
  const slots: Slot[] = [];
  for (const [key, { value }] of records) {
    const slot = key.startsWith(SLOT_PREFIX) ? decodeSlot(value) : null;
    if (slot !== null) slots.push(slot);
  }
  return slots;
}

function poolStatuses(
  slots: readonly Slot[],
  pools: readonly PoolDeclaration[],
  wallMs: number,
): PoolStatus[] {
  const byName = new Map<string, PoolStatus>();
  for (const { name, team, image, slots: count, schedule, timeZone } of pools) {
    const nextMs = new BurstSchedule(schedule, timeZone).nextAfter(wallMs);
    const nextBurst = nextMs === null ? null : new Date(nextMs).toISOString();
    byName.set(name, {
      pool: name,
      team,
      image,
      slots: count,
      nextBurst,
      states: zeroSlotCounts(),
    });
  }
  for (const { pool, team, state } of slots) {
    const undeclared = { pool, team, image: '', slots: null, nextBurst: null };
    const status = byName.get(pool) ?? { ...undeclared, states: zeroSlotCounts() };
    byName.set(pool, status);
    status.states[state]++;
  }
  return [...byName.values()];
}

function billRows(
  records: ReadonlyMap<string, OwnedRecord>,
  slots: readonly Slot[],
  wallMs: number,
): BillRow[] {
  const rows = new Map<string, BillRow>();
  const key = ({ pool, day, team }: { pool: string; day: string; team: string }): string =>
    `${day} ${pool} ${team}`;
  for (const { pool, team, day, ...totals } of billDays(records)) {
    const { slots: count, used, lost, machineS, money, uncertainS } = totals;
    const row = { pool, team, day, slots: count, used, lost, machineS, money, uncertainS, open: 0 };
    rows.set(key(row), row);
  }
  for (const slot of slots) {
    const { pool, team, burstMs, held } = slot;
    const at = { pool, team, day: utcDayOf(burstMs) };
    const totals = slotTotals(slot, wallMs);
    const known = rows.get(key(at));
    const sum = known === undefined ? totals : addTotals(known, totals);
    const open = (known?.open ?? 0) + (held !== null && held.toMs === null ? 1 : 0);
    rows.set(key(at), { ...at, ...sum, open });
  }
  const compareRows = (a: BillRow, b: BillRow): number => (key(a) < key(b) ? -1 : 1);
  return [...rows.values()].sort(compareRows);
}
