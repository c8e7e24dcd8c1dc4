/** `pewtershelf warm-pools status|bill`: what a running controller says of warm pools. */

import * as v from 'valibot';
import { endpoint } from '../config/endpoint.js';
import { HttpClient } from '../http/client.js';
import { SLOT_STATES } from './slot.js';
import type { BillRow, PoolStatus, PoolsView } from './view.js';

const ANSWER_S = 5;
const ADDRESS = /^[^\s:]+:\d{1,5}$/;

/** What went wrong, in one line. */
export class CommandError extends Error {}

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

/** Asks a controller. Any of them has the same answer. Throws CommandError. */
export async function fetchView(address: string): Promise<PoolsView> {
  if (!ADDRESS.test(address)) throw new CommandError(`${address}: must be HOST:PORT`);
  const client = new HttpClient(endpoint(address), 1);
  try {
    const r = await client.request('GET', '/subsystems/warm-pools', undefined, ANSWER_S);
    if (r.status === 404) throw new CommandError(`${address}: warm pools are switched off there`);
    if (r.status !== 200) throw new CommandError(`${address}: answered ${r.status}`);
    return v.parse(view, JSON.parse(r.body.toString('utf8')));
  } catch (e) {
    if (e instanceof CommandError) throw e;
    throw new CommandError(`${address}: ${(e as Error).message}`);
  } finally {
    client.close();
  }
}

type Cell = string | number;

/** Columns as wide as their widest cell; numbers to the right. */
export function table(head: readonly string[], rows: readonly (readonly Cell[])[]): string {
  const widths = head.map((title, column) =>
    Math.max(title.length, ...rows.map((row) => String(row[column]).length)),
  );
  const line = (cells: readonly Cell[]): string =>
    cells
      .map((cell, column) => {
        const width = widths[column]!;
        return typeof cell === 'number' ? String(cell).padStart(width) : cell.padEnd(width);
      })
      .join('  ')
      .trimEnd();
  return [head, ...rows].map((cells) => `${line(cells)}\n`).join('');
}

export function statusTable(pools: readonly PoolStatus[]): string {
  const head = ['pool', 'team', 'slots', 'next burst', ...SLOT_STATES];
  const rows = pools.map(({ pool, team, slots, nextBurst, states }) => {
    const counts = SLOT_STATES.map((state) => states[state]);
    return [pool, team, slots ?? '-', nextBurst ?? '-', ...counts];
  });
  return table(head, rows);
}

const rounded = (value: number): number => Math.round(value * 100) / 100;

export function billTable(bill: readonly BillRow[]): string {
  const head = ['day', 'pool', 'team', 'slots', 'used', 'lost', 'open'];
  const sums = ['machine s', 'uncertain s', 'money'];
  const rows = bill.map((row) => [
    ...[row.day, row.pool, row.team, row.slots, row.used, row.lost, row.open],
    ...[rounded(row.machineS), rounded(row.uncertainS), rounded(row.money)],
  ]);
  return table([...head, ...sums], rows);
}

/** The command's output. Throws CommandError. */
export async function warmPoolsCommand(
  what: 'status' | 'bill',
  { at, json }: { at: string; json: boolean },
): Promise<string> {
  const { pools, bill } = await fetchView(at);
  if (json) return `${JSON.stringify(what === 'status' ? pools : bill, null, 1)}\n`;
  return what === 'status' ? statusTable(pools) : billTable(bill);
}
