/** The bill: cost of idle warm time by pool and day of the burst. */

import * as v from 'valibot';
import type { OwnedChange, OwnedRecord, OwnedWrite } from '../subsystems/subsystem.js';
import type { PoolDeclaration } from './declaration.js';
import type { Slot } from './slot.js';
import { slotKey } from './slot.js';
import type { SlotEntry, SlotTable } from './slot-table.js';

/** Prefix of the bill's keys, below the subsystem's own prefix. */
const BILL_PREFIX = 'bill/';
const MS_PER_DAY = 86_400_000;
const MS_PER_HOUR = 3_600_000;

/** Sums over slots. */
export interface BillTotals {
  slots: number;
  used: number;
  lost: number;
  /** Machine-seconds: a slot that takes half of a machine counts half. */
  machineS: number;
  money: number;
  /** Uncertainty of `machineS`, in machine-seconds. */
  uncertainS: number;
}

/** A day of a pool's bill. */
export interface BillDay extends BillTotals {
  pool: string;
  team: string;
  /** Day on which the burst begins, in UTC: 2026-12-02. */
  day: string;
}

interface StoredDay extends BillDay {
  /** Start of the latest billed burst, in ms. All bursts up to it are over and billed. */
  lastBilledBurstMs: number;
  /** Number of merges; shows whether a merge that was not answered was carried out. */
  merges: number;
}

const number = v.pipe(v.number(), v.finite());
const record = v.object({
  n: v.tuple([number, number, number]),
  s: number,
  m: number,
  u: number,
  b: number,
  c: number,
});

/** The UTC day of a time in ms: 2026-12-02. */
export const utcDayOf = (ms: number): string => new Date(ms).toISOString().slice(0, 10);

const ZERO_TOTALS: BillTotals = {
  slots: 0,
  used: 0,
  lost: 0,
  machineS: 0,
  money: 0,
  uncertainS: 0,
};

/** The sum of two totals. */
export function addTotals(a: BillTotals, b: BillTotals): BillTotals {
  return {
    slots: a.slots + b.slots,
    used: a.used + b.used,
    lost: a.lost + b.lost,
    machineS: a.machineS + b.machineS,
    money: a.money + b.money,
    uncertainS: a.uncertainS + b.uncertainS,
  };
}

/** Cost of a slot up to `nowMs`, or in total once it has ended. */
export function slotTotals(slot: Slot, nowMs: number): BillTotals {
  const { held, share, pricePerHour, state } = slot;
  if (held === null) return { ...ZERO_TOTALS, slots: 1 };
  const heldMs = Math.max(0, (held.toMs ?? nowMs) - held.fromMs);
  return {
    slots: 1,
    used: state === 'used' ? 1 : 0,
    lost: state === 'lost' ? 1 : 0,
    machineS: (heldMs / 1000) * share,
    money: (heldMs / MS_PER_HOUR) * share * pricePerHour,
    uncertainS: (held.uncertainMs / 1000) * share,
  };
}

const dayKey = ({ pool, team, burstMs }: Pick<Slot, 'pool' | 'team' | 'burstMs'>): string =>
  `${BILL_PREFIX}${pool}/${utcDayOf(burstMs)}/${encodeURIComponent(team)}`;

function encodeDay(day: StoredDay): unknown {
  return {
    n: [day.slots, day.used, day.lost],
    s: day.machineS,
    m: day.money,
    u: day.uncertainS,
    b: day.lastBilledBurstMs,
    c: day.merges,
  };
}

/** Returns null if the record is not a day of the bill. */
function decodeDay(key: string, value: unknown): StoredDay | null {
  const [, pool, day, team] = /^bill\/([^/]+)\/([^/]+)\/([^/]+)$/.exec(key) ?? [];
  const result = v.safeParse(record, value);
  if (pool === undefined || day === undefined || team === undefined) return null;
  if (!result.success) return null;
  const { n, s, m, u, b, c } = result.output;
  const [slots, used, lost] = n;
  const totals = { slots, used, lost, machineS: s, money: m, uncertainS: u };
  return { pool, day, team: decodeURIComponent(team), ...totals, lastBilledBurstMs: b, merges: c };
}

/** Decodes the bill's days among a set of records. */
export function billDays(records: ReadonlyMap<string, OwnedRecord>): BillDay[] {
  const days: BillDay[] = [];
  for (const [key, { value }] of records) {
    const day = key.startsWith(BILL_PREFIX) ? decodeDay(key, value) : null;
    if (day !== null) days.push(day);
  }
  return days;
}

/** Money spent, by pool and day. */
export type MoneyByDay = Map<string, Map<string, number>>;

interface DayEntry {
  day: StoredDay;
  revision: number;
}

/**
 * The bill in one term of leadership. A slot's time is in the slot's own record until its burst is over. The
 * transaction that removes this record adds the time to the day of the pool, so the time is always in exactly
 * one of the two records, also after a change of leader.
 */
export class Bill {
  private readonly days = new Map<string, DayEntry>();

  constructor(
    /** Maximum number of slots that one commit adds to the bill. */
    private readonly slotsPerMerge: number,
    private readonly keepDays: number,
  ) {}

  /** Adopts stored days with a higher revision than the known ones. */
  reconcile(records: ReadonlyMap<string, OwnedRecord>): void {
    for (const [key, { value, revision }] of records) {
      if (!key.startsWith(BILL_PREFIX)) continue;
      const known = this.days.get(key);
      if (known !== undefined && known.revision >= revision) continue;
      const day = decodeDay(key, value);
      if (day !== null) this.days.set(key, { day, revision });
    }
  }

  /** Start of a pool's latest billed burst, in ms. No slots are prepared for it or an earlier burst again. */
  lastBilledBurstMs(pool: string): number {
    let latestMs = -Infinity;
    for (const { day } of this.days.values()) {
      if (day.pool === pool) latestMs = Math.max(latestMs, day.lastBilledBurstMs);
    }
    return latestMs;
  }

  /** Money that each pool has spent on each day, including slots that are not billed yet. */
  moneyByDay(slots: Iterable<SlotEntry>, nowMs: number): MoneyByDay {
    const money: MoneyByDay = new Map();
    for (const { day } of this.days.values()) addMoney(money, day.pool, day.day, day.money);
    for (const { current } of slots) {
      const { money: spent } = slotTotals(current, nowMs);
      if (spent > 0) addMoney(money, current.pool, utcDayOf(current.burstMs), spent);
    }
    return money;
  }

  /** Adds slots of bursts that are over to the bill and removes days past the retention period. */
  dueWrites(
    table: SlotTable,
    isOver: (pool: string, burstMs: number) => boolean,
    nowMs: number,
  ): OwnedWrite[] {
    const byDay = new Map<string, SlotEntry[]>();
    const openBursts = new Set<string>();
    for (const entry of table.values()) {
      const { pool, burstMs } = entry.current;
      if (!table.isSettled(entry)) openBursts.add(`${pool}/${burstMs}`);
      else if (isOver(pool, burstMs)) push(byDay, dayKey(entry.current), entry);
    }
    const due: OwnedWrite[] = [];
    for (const [key, entries] of byDay) {
      const closed = entries.filter(({ current: { pool, burstMs } }) => {
        return !openBursts.has(`${pool}/${burstMs}`);
      });
      if (closed.length > 0) due.push(this.merge(key, closed.slice(0, this.slotsPerMerge), table));
    }
    return [...due, ...this.expired(nowMs)];
  }

  private merge(key: string, entries: SlotEntry[], table: SlotTable): OwnedWrite {
    const known = this.days.get(key);
    const day = mergeSlots(
      known?.day ?? null,
      entries.map(({ current }) => current),
    );
    const removals: OwnedChange[] = entries.map(({ current, revision }) => {
      return { key: slotKey(current), revision, value: null };
    });
    const done = (revision: number): void => {
      this.days.set(key, { day, revision });
      for (const { id } of entries) table.deleteEntry(id);
    };
    return {
      key,
      revision: known?.revision ?? 0,
      value: encodeDay(day),
      alsoChanges: removals,
      onStored: done,
      onReadBack: (stored) => this.applyReadBack(key, day, stored, done),
    };
  }

  private applyReadBack(
    key: string,
    sent: StoredDay,
    stored: OwnedRecord | null,
    done: (revision: number) => void,
  ): void {
    const found = stored === null ? null : decodeDay(key, stored.value);
    if (stored === null || found === null) {
      this.days.delete(key);
      return;
    }
    // Only this term writes the day, so a matching count shows that the whole transaction was carried out.
    if (found.merges === sent.merges && found.lastBilledBurstMs === sent.lastBilledBurstMs)
      done(stored.revision);
    else this.days.set(key, { day: found, revision: stored.revision });
  }

  private expired(nowMs: number): OwnedWrite[] {
    const oldest = utcDayOf(nowMs - this.keepDays * MS_PER_DAY);
    const old = [...this.days].filter(([, { day }]) => day.day < oldest);
    return old.map(([key, { revision }]) => ({
      key,
      revision,
      value: null,
      alsoChanges: [],
      onStored: () => void this.days.delete(key),
      onReadBack: (stored) => {
        if (stored === null) this.days.delete(key);
      },
    }));
  }
}

function addMoney(sums: MoneyByDay, pool: string, day: string, money: number): void {
  let days = sums.get(pool);
  if (days === undefined) {
    days = new Map();
    sums.set(pool, days);
  }
  days.set(day, (days.get(day) ?? 0) + money);
}

const DAY_LENGTH = '2026-12-02'.length;
const MONTH_LENGTH = '2026-12'.length;

/** Money that a pool has spent in the budget period that contains the burst. */
export function spentInPeriod(money: MoneyByDay, pool: PoolDeclaration, burstMs: number): number {
  const length = pool.budgetPeriod === 'month' ? MONTH_LENGTH : DAY_LENGTH;
  const period = utcDayOf(burstMs).slice(0, length);
  let sum = 0;
  for (const [day, spent] of money.get(pool.name) ?? []) if (day.startsWith(period)) sum += spent;
  return sum;
}

function mergeSlots(known: StoredDay | null, slots: Slot[]): StoredDay {
  const { pool, team, burstMs } = slots[0]!;
  const empty = {
    pool,
    team,
    day: utcDayOf(burstMs),
    ...ZERO_TOTALS,
    lastBilledBurstMs: 0,
    merges: 0,
  };
  const base: StoredDay = known ?? empty;
  let totals: BillTotals = base;
  let lastBilledBurstMs = base.lastBilledBurstMs;
  for (const slot of slots) {
    totals = addTotals(totals, slotTotals(slot, slot.held?.toMs ?? 0));
    lastBilledBurstMs = Math.max(lastBilledBurstMs, slot.burstMs);
  }
  return { ...base, ...totals, lastBilledBurstMs, merges: base.merges + 1 };
}

function push<K, T>(map: Map<K, T[]>, key: K, value: T): void {
  const list = map.get(key);
  if (list === undefined) map.set(key, [value]);
  else list.push(value);
}
