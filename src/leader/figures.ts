/** Figures of a term, for the status and the log. */

import { occupiesCapacity } from '../workers/attempt.js';
import type { CapacityManager } from './capacity.js';
import type { Term } from './term.js';

/** Counts of machines and attempts by state, of open jobs and of tasks that found no place. */
export function figures(term: Term, capacity: CapacityManager): Record<string, number> {
  const counts: Record<string, number> = {};
  const add = (name: string): void => void (counts[name] = (counts[name] ?? 0) + 1);
  for (const m of term.machines.values()) {
    add(`machines_${m.state}`);
    for (const a of m.attempts.values()) if (occupiesCapacity(a)) add(`attempts_${a.state}`);
  }
  counts.machines_coming = capacity.fleet.coming.size;
  counts.jobs_open = term.jobs.size;
  counts.demand_tasks = capacity.demand.reduce((n, d) => n + d.tasks, 0);
  return counts;
}
