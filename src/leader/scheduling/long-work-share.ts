/** The share of each machine type that is reserved for long work while long work waits. */

import { capacityUnits } from '../../cloud/demand-forecast.js';
import type { LiveJob } from '../../jobs/live-job.js';
import type { Resources } from '../../jobs/types.js';
import { reservedForLongWork, type FreeCapacity } from '../../scheduler/bin-packing.js';
import type { TeamUsages } from '../../scheduler/quota.js';
import type { LongWorkShares, MachineFilter, CycleContext } from './cycle-context.js';
import type { Term } from '../term/term.js';

const NO_ACCOUNTING = (): void => undefined;

/** Where a job may be placed without using the share reserved for long work. */
export interface LongWorkFilter {
  mayUse: MachineFilter;
  /** Called after a task of the job was placed on a machine. */
  noteAllocated: (capacity: FreeCapacity) => void;
}

/**
 * GPUs (or cores) of each machine type that short work of a priority must leave to waiting long work of
 * the same or a higher priority. When long work of all priorities counted, gangs waited for half a minute
 * while capacity was reserved for long arrays of the lowest priority, and preempted other work in vain.
 */
export function longWorkShares(
  term: Term,
  jobs: LiveJob[],
  capacities: FreeCapacity[],
  usages: TeamUsages,
): LongWorkShares {
  const startable = startableLongJobs(jobs, usages, term.now);
  const byPriority = new Map<number, Map<string, number>>();
  return (priority) => {
    let shares = byPriority.get(priority);
    if (shares === undefined) {
      const longJobs = [...startable].filter(([job]) => job.spec.priority <= priority);
      shares = sharesFor(longJobs, capacities, term.context.policy.rho);
      byPriority.set(priority, shares);
    }
    return shares;
  };
}

/**
 * Long jobs with the number of tasks that may start. Nothing is reserved for tasks that may not: their team
 * is at its limit, or they wait for a retry.
 */
function startableLongJobs(jobs: LiveJob[], usages: TeamUsages, now: number): Map<LiveJob, number> {
  const startable = new Map<LiveJob, number>();
  for (const job of jobs) {
    if (!job.isLong || job.pendingTasks(now, 1).length === 0) continue;
    startable.set(job, Math.min(job.pendingTaskCount, usages.remainingTasks(job.spec)));
  }
  return startable;
}

function sharesFor(
  longJobs: [LiveJob, number][],
  capacities: FreeCapacity[],
  rho: number,
): Map<string, number> {
  const shares = new Map<string, number>();
  if (longJobs.length === 0) return shares;
  const unitsByType = new Map<string, number>();
  for (const capacity of capacities)
    unitsByType.set(
      capacity.type,
      (unitsByType.get(capacity.type) ?? 0) + capacityUnits(capacity.total),
    );
  for (const [type, typeUnits] of unitsByType) {
    const share = reservedForLongWork(typeUnits, rho, wantedUnits(type, typeUnits, longJobs));
    if (share > 0) shares.set(type, share);
  }
  return shares;
}

function wantedUnits(type: string, typeUnits: number, longJobs: [LiveJob, number][]): number {
  let wanted = 0;
  for (const [{ spec }, tasks] of longJobs) {
    if (spec.types !== null && !spec.types.includes(type)) continue;
    wanted +=
      capacityUnits(spec) * Math.min(tasks, typeUnits / Math.max(capacityUnits(spec), 1e-9));
  }
  return wanted;
}

/** GPUs or, on a machine without any, cores. */
const unitsOn = (capacity: FreeCapacity, resources: Resources): number =>
  capacity.total.gpus > 0 ? resources.gpus : resources.cores;

/** Restricts `mayUse` to machines on which a job leaves the share reserved for long work free. */
export function longWorkFilter(
  job: LiveJob,
  cycle: CycleContext,
  mayUse: MachineFilter,
): LongWorkFilter {
  const exempt = job.isLong || job.spec.kind === 'service' || job.isGuaranteed;
  if (exempt) return { mayUse, noteAllocated: NO_ACCOUNTING };
  const shares = cycle.longWorkShares(job.spec.priority);
  if (shares.size === 0) return { mayUse, noteAllocated: NO_ACCOUNTING };
  const free = new Map<string, number>();
  for (const capacity of cycle.capacities) {
    if (shares.has(capacity.type) && mayUse(capacity))
      free.set(capacity.type, (free.get(capacity.type) ?? 0) + unitsOn(capacity, capacity));
  }
  const taskUnits = capacityUnits(job.spec);
  return {
    mayUse: (capacity) => {
      const share = shares.get(capacity.type);
      return (
        mayUse(capacity) &&
        (share === undefined || (free.get(capacity.type) ?? 0) - taskUnits >= share)
      );
    },
    noteAllocated: (capacity) =>
      free.set(capacity.type, (free.get(capacity.type) ?? 0) - unitsOn(capacity, job.spec)),
  };
}
