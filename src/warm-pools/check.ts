/** Checks declared pools against the settings. */

import type { Settings } from '../config/settings.js';
import { isWithinLimit } from '../jobs/types.js';
import { BurstSchedule, ScheduleError } from './burst-schedule.js';
import type { PoolDeclaration, WarmPoolsConfig } from './declaration.js';

/** A problem of a pool, and its key within the table. */
export interface PoolProblem {
  key: string;
  problem: string;
}

/**
 * The first problem that makes a pool impossible; null if none was found. Only the cloud knows its machine
 * types, so a type that it does not have raises an alarm later (`unknown_type`).
 */
export function checkPools(
  config: WarmPoolsConfig,
  settings: Pick<Settings, 'teams' | 'zones'>,
  nowMs: number,
): PoolProblem | null {
  const names = new Set<string>();
  for (const [index, pool] of config.pools.entries()) {
    const problemAt = (key: string, problem: string): PoolProblem => ({
      key: `pools.${index}.${key}`,
      problem: `pool ${pool.name}: ${problem}`,
    });
    if (names.has(pool.name)) return problemAt('name', 'another pool has this name');
    names.add(pool.name);
    const problem = checkTeam(pool, settings) ?? checkPlace(pool, settings);
    if (problem !== null) return problemAt(problem.key, problem.problem);
    try {
      new BurstSchedule(pool.schedule, pool.timeZone).check(nowMs, pool.holdS);
    } catch (error) {
      if (error instanceof ScheduleError) return problemAt('schedule', error.message);
      throw error;
    }
  }
  return null;
}

function checkTeam(
  { team: name, slots, shape }: PoolDeclaration,
  { teams }: Pick<Settings, 'teams'>,
): PoolProblem | null {
  const team = teams.get(name);
  if (team === undefined) {
    const known = [...teams.keys()].join(', ');
    return { key: 'team', problem: `unknown team ${name}, expected one of: ${known}` };
  }
  const cores = shape.cores * slots;
  const gpus = shape.gpus * slots;
  if (!isWithinLimit(cores, team.coresMax) || !isWithinLimit(gpus, team.gpusMax)) {
    const limit = `${team.coresMax} cores, ${team.gpusMax} GPUs (0: none)`;
    return {
      key: 'slots',
      problem: `${cores} cores and ${gpus} GPUs are over the limit of ${name}: ${limit}`,
    };
  }
  return null;
}

function checkPlace(
  { shape, zones }: PoolDeclaration,
  settings: Pick<Settings, 'zones'>,
): PoolProblem | null {
  if (shape.cores <= 0 && shape.gpus <= 0) {
    return { key: 'cores', problem: 'expected cores or GPUs above 0' };
  }
  const unknown = zones?.find((zone) => !settings.zones.includes(zone));
  if (unknown === undefined) return null;
  const known = settings.zones.join(', ');
  return { key: 'zones', problem: `unknown zone ${unknown}, expected some of: ${known}` };
}
