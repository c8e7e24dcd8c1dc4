/** How many slots a pool may have: what its budget and its team's limit leave. */

import { isWithinLimit } from '../jobs/types.js';
import type { TermView } from '../subsystems/subsystem.js';
import type { Alarms } from './alarms.js';
import { spentInPeriod, type MoneyByDay } from './bill.js';
import type { Burst } from './bursts.js';
import type { PoolDeclaration } from './declaration.js';
import { isHeld } from './slot.js';
import type { SlotEntry } from './slot-table.js';

/** What teams may start beside all that they run and all slots that were counted before. */
interface TeamHeadroom {
  cores: number;
  gpus: number;
}

/** The allowances of one round of planning: slots that are allowed to one pool are counted for the next. */
export class SlotAllowance {
  private readonly teams = new Map<string, TeamHeadroom>();

  constructor(private readonly options: { view: TermView; alarms: Alarms }) {}

  /** What the budget leaves of the slots that are wanted. */
  withinBudget(
    burst: Burst,
    open: readonly SlotEntry[],
    wanted: number,
    money: MoneyByDay,
  ): number {
    const { pool, burstMs } = burst;
    if (pool.budget === null) return wanted;
    const spent = spentInPeriod(money, pool, burstMs);
    if (spent < pool.budget) return wanted;
    const detail = `${spent.toFixed(2)} of ${pool.budget} a ${pool.budgetPeriod}`;
    this.options.alarms.raise('budget_exhausted', pool.name, detail);
    if (pool.onExhausted === 'alarm') return wanted;
    if (pool.onExhausted === 'release') return 0;
    return Math.min(wanted, open.filter(({ current }) => isHeld(current)).length);
  }

  /** What the payer could start at once, the slots of pools that come before this one counted. */
  withinTeamLimit(pool: PoolDeclaration, wanted: number): number {
    const { view, alarms } = this.options;
    const left = this.teams.get(pool.team) ?? this.teamHeadroom(pool.team);
    this.teams.set(pool.team, left);
    const { cores, gpus } = pool.shape;
    let allowed = 0;
    while (allowed < wanted && left.cores >= cores - 1e-6 && left.gpus >= gpus - 1e-6) {
      left.cores -= cores;
      left.gpus -= gpus;
      allowed++;
    }
    if (allowed < wanted && view.settings.teams.has(pool.team)) {
      alarms.raise('over_team_limit', pool.name, `${allowed} of ${wanted} slots`);
    }
    return allowed;
  }

  private teamHeadroom(name: string): TeamHeadroom {
    const { view } = this.options;
    const team = view.settings.teams.get(name);
    if (team === undefined) return { cores: 0, gpus: 0 };
    const { cores, gpus } = view.usage(name);
    const left = (most: number, used: number): number => {
      if (most <= 0) return Infinity;
      return isWithinLimit(used, most) ? most - used : 0;
    };
    return { cores: left(team.coresMax, cores), gpus: left(team.gpusMax, gpus) };
  }
}
