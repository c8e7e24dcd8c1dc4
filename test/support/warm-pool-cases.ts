/** Helpers that tests of warm pools share. */
import assert from 'node:assert/strict';
import { WarmPoolWorld } from './warm-pool-world.js';

/** States of all pools' slots, sorted. */
export const allStates = (world: WarmPoolWorld): string =>
  world
    .slots()
    .map(({ state }) => state)
    .sort()
    .join(' ');

/** Machines of a pool's slots, as stored. */
export const machinesOf = (world: WarmPoolWorld, pool: string): string[] =>
  [
    ...new Set(
      world
        .slots()
        .flatMap((slot) => (slot.pool === pool && slot.machine !== null ? [slot.machine] : [])),
    ),
  ].sort();

/** Sums over all rows of the bill. */
export const billTotals = (
  world: WarmPoolWorld,
): { machineS: number; uncertainS: number; slots: number; open: number } =>
  world.bill().reduce(
    (sum, row) => ({
      machineS: sum.machineS + row.machineS,
      uncertainS: sum.uncertainS + row.uncertainS,
      slots: sum.slots + row.slots,
      open: sum.open + row.open,
    }),
    { machineS: 0, uncertainS: 0, slots: 0, open: 0 },
  );

/** Fails if the values differ by more than `tolerance`. */
export const assertNear = (
  actual: number,
  expected: number,
  tolerance: number,
  what: string,
): void =>
  assert.ok(
    Math.abs(actual - expected) <= tolerance,
    `${what}: ${actual}, expected ${expected} ± ${tolerance}`,
  );

/** A pool whose every slot takes a whole machine. */
export const WHOLE_MACHINE = { cores: 8, gpus: 8, mem_gb: 32 };
/** A replica that takes a whole machine. */
export const WHOLE_MACHINE_REPLICA = { cores: 8, gpus: 8, memGb: 32 };

/** A test case of a table. */
export interface Case {
  name: string;
  pools?: string;
  gpusMax?: number;
  run(world: WarmPoolWorld): Promise<void>;
}

/** Runs all cases; fails with the names of those that fail. */
export async function runCases(cases: Case[]): Promise<void> {
  const failures: string[] = [];
  for (const { name, pools, gpusMax, run } of cases) {
    const world = new WarmPoolWorld(pools, gpusMax);
    try {
      await run(world);
      assert.deepEqual(world.fleet.violations, []);
    } catch (error) {
      failures.push(`${name}: ${String(error)}`);
    }
  }
  assert.deepEqual(failures, []);
}
