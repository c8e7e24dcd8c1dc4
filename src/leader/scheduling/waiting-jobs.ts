/** Tells why jobs wait although they may start: in the log, and as figures of the status. */

import type { LiveJob } from '../../jobs/live-job.js';
import type { FreeCapacity } from '../../scheduler/bin-packing.js';
import type { Term } from '../term/term.js';
import { taskCountsByZone, type CycleContext } from './cycle-context.js';
import {
  countLimits,
  decisiveLimit,
  PLACEMENT_LIMITS,
  type LimitOf,
  type PlacementLimit,
} from './placement-limits.js';

/** A job is logged once it has found no capacity for this many leases, and again after as many. */
const LOG_AFTER_LEASES = 1;
/** Most jobs that are examined in one round: each costs a pass over all machines. */
const MAX_EXAMINED_JOBS = 16;

/** A job that found no capacity, with the number of its tasks that may start. */
export interface UnplacedJob {
  job: LiveJob;
  tasks: number;
}

/** Examines the jobs that the latest scheduling cycle left unplaced, once a lease. */
export class WaitingJobs {
  private latestCycle: CycleContext | null = null;
  private unplaced: readonly UnplacedJob[] = [];
  private examinedAt = -Infinity;
  private unplacedSince = new Map<LiveJob, number>();
  private readonly tasksByLimit = new Map<PlacementLimit, number>();

  constructor(
    private readonly term: Term,
    private readonly limitOf: (job: LiveJob, cycle: CycleContext) => LimitOf,
  ) {}

  /** Called at the end of each scheduling cycle with the jobs that found no capacity. */
  cycleEnded(cycle: CycleContext, unplaced: readonly UnplacedJob[]): void {
    this.latestCycle = cycle;
    this.unplaced = unplaced;
    const since = this.unplacedSince;
    this.unplacedSince = new Map(unplaced.map(({ job }) => [job, since.get(job) ?? cycle.now]));
  }

  /** Logs jobs that have waited for a lease. Called at every tick. */
  tick(): void {
    const { now, context } = this.term;
    const intervalS = context.settings.workers.lease_s * LOG_AFTER_LEASES;
    if (this.latestCycle === null || now - this.examinedAt < intervalS) return;
    this.examinedAt = now;
    this.tasksByLimit.clear();
    const waiting = this.unplaced.filter(
      ({ job }) => now - this.unplacedSince.get(job)! >= intervalS,
    );
    for (const unplaced of waiting.slice(0, MAX_EXAMINED_JOBS))
      this.examine(unplaced, this.latestCycle);
  }

  private examine({ job, tasks }: UnplacedJob, cycle: CycleContext): void {
    const { term } = this;
    const { capacities } = cycle;
    const zones = taskCountsByZone(term, job);
    const machines = countLimits(job, zones, capacities, this.limitOf(job, cycle));
    const limit = decisiveLimit(machines);
    if (limit !== null) this.tasksByLimit.set(limit, (this.tasksByLimit.get(limit) ?? 0) + tasks);
    const { id, class: jobClass, kind, priority } = job.spec;
    term.context.log.info(
      {
        ...{ job: id, class: jobClass, kind, priority, tasks },
        waitedS: term.now - this.unplacedSince.get(job)!,
        limit,
        machines,
        unavailable: this.unavailableMachines(capacities),
      },
      'job waits for capacity',
    );
  }

  /** Machines that accept no new work. */
  private unavailableMachines(capacities: readonly FreeCapacity[]): number {
    return this.term.machines.size - capacities.length;
  }

  /** Tasks that have waited for a lease, by the decisive limit of their job. */
  statistics(): Record<string, number> {
    const counts: Record<string, number> = {};
    for (const limit of PLACEMENT_LIMITS)
      counts[`waiting_${limit}`] = this.tasksByLimit.get(limit) ?? 0;
    return counts;
  }
}
