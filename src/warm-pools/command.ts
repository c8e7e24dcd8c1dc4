/** `pewtershelf warm-pools status|bill`: prints a running controller's view of warm pools. */

import * as v from 'valibot';
import { fetchView, formatTable, type ViewRequest } from '../subsystems/view-command.js';
import { SLOT_STATES } from './slot.js';
import type { BillRow, PoolStatus, PoolsView } from './view.js';

const number = v.number();
const view = v.object({
  pools: v.array(
    v.object({
      pool: v.string(),
      team: v.string(),
      image: v.string(),
      slots: v.nullable(number),
      nextBurst: v.nullable(v.string()),
      states: v.object(v.entriesFromList(SLOT_STATES, number)),
    }),
  ),
  bill: v.array(
    v.object({
      day: v.string(),
      pool: v.string(),
      team: v.string(),
      slots: number,
      used: number,
      lost: number,
      open: number,
      machineS: number,
      money: number,
      uncertainS: number,
    }),
  ),
});

const POOLS_REQUEST: ViewRequest<PoolsView> = {
  subsystem: 'warm-pools',
  title: 'warm pools are',
  schema: view,
};

/** Pools as a table for a terminal. */
export function statusTable(pools: readonly PoolStatus[]): string {
  const head = ['pool', 'team', 'slots', 'next burst', ...SLOT_STATES];
  const rows = pools.map(({ pool, team, slots, nextBurst, states }) => {
    const counts = SLOT_STATES.map((state) => states[state]);
    return [pool, team, slots ?? '-', nextBurst ?? '-', ...counts];
  });
  return formatTable(head, rows);
}

const rounded = (value: number): number => Math.round(value * 100) / 100;

/** The bill as a table for a terminal. */
export function billTable(bill: readonly BillRow[]): string {
  const head = ['day', 'pool', 'team', 'slots', 'used', 'lost', 'open'];
  const sums = ['machine s', 'uncertain s', 'money'];
  const rows = bill.map((row) => [
    ...[row.day, row.pool, row.team, row.slots, row.used, row.lost, row.open],
    ...[rounded(row.machineS), rounded(row.uncertainS), rounded(row.money)],
  ]);
  return formatTable([...head, ...sums], rows);
}

/** The command's output. Throws CommandError. */
export async function warmPoolsCommand(
  subcommand: 'status' | 'bill',
  { at, json }: { at: string; json: boolean },
): Promise<string> {
  const { pools, bill } = await fetchView(at, POOLS_REQUEST);
  if (json) return `${JSON.stringify(subcommand === 'status' ? pools : bill, null, 1)}\n`;
  return subcommand === 'status' ? statusTable(pools) : billTable(bill);
}
