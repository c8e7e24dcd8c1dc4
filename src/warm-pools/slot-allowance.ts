/** How many slots a pool may have under its budget and its team's limit. */

import { isWithinLimit } from '../jobs/types.js';
import type { TermView } from '../subsystems/subsystem.js';
import type { Alarms } from './alarms.js';
import { spentInPeriod, type MoneyByDay } from './bill.js';
import type { Burst } from './bursts.js';
import type { PoolDeclaration } from './declaration.js';
import { isHeld } from './slot.js';
import type { SlotEntry } from './slot-table.js';

/** Resources that a team may still use, after all that it runs and all slots that were allowed before. */
interface TeamHeadroom {
  cores: number;
  gpus: number;
}

/** Allowances of one planning round. Slots of one pool reduce what the team's later pools may have. */
export class SlotAllowance {
  private readonly teams = new Map<string, TeamHeadroom>();

  constructor(private readonly options: { view: TermView; alarms: Alarms }) {}

  /** Number of the wanted slots that the budget allows. */
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

  /** Number of the wanted slots that the paying team could start at once, after those of earlier pools. */
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
