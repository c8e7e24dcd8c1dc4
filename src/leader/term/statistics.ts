/** Statistics of a term, for the status and the log. */

import { occupiesCapacity } from '../../workers/attempt.js';
import type { CapacityManager } from '../capacity/capacity-manager.js';
import type { Term } from './term.js';

/** Counts of machines and attempts by state, of machines kept out of use, of open jobs and of unplaced tasks. */
export function termStatistics(term: Term, capacity: CapacityManager): Record<string, number> {
  const counts: Record<string, number> = {};
  const add = (name: string): void => void (counts[name] = (counts[name] ?? 0) + 1);
  counts.machines_cordoned = 0;
  counts.machines_quarantined = 0;
  for (const machine of term.machines.values()) {
    add(`machines_${machine.state}`);
    if (machine.condition.cordon.until > term.now) add('machines_cordoned');
    if (machine.condition.quarantined) add('machines_quarantined');
    for (const attempt of machine.attempts.values())
      if (occupiesCapacity(attempt)) add(`attempts_${attempt.state}`);
  }
  counts.machines_coming = capacity.provisioner.pending.size;
  counts.machines_fenced_anew = term.machinesFencedAnew;
  counts.tokens_raised = term.tokensRaised;
  counts.jobs_open = term.jobs.size;
  counts.demand_tasks = capacity.demand.reduce((sum, demand) => sum + demand.tasks, 0);
  return counts;
}
