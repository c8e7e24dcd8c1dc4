/** Places waiting tasks on quarantined machines, to find out whether these still fail tasks. */

import type { LiveJob } from '../../jobs/live-job.js';
import type { FreeCapacity } from '../../scheduler/bin-packing.js';
import type { FreeCapacityIndex } from '../capacity/free-capacity.js';
import type { Term } from '../term/term.js';
import type { CycleContext } from './cycle-context.js';
import type { JobPlacement } from './job-placement.js';
import { isAvailable } from './machine-eligibility.js';
import type { UnplacedJob } from './waiting-jobs.js';

/** Boot times for which a job waits for another machine before it is used as a probe. */
const WAIT_BOOTS = 1.5;
/** Leases for which it waits at most. */
const MAX_WAIT_LEASES = 3;

/**
 * Only a start can show that a quarantined machine works again, and on one that is still faulty the start is wasted. So
 * only jobs that have found no other machine for a while are used, and each machine gets one task at a time.
 */
export class ProbePlacement {
  /** Since when jobs have found no capacity, in seconds of the steady clock. */
  private unplacedSince = new Map<LiveJob, number>();

  constructor(
    private readonly term: Term,
    private readonly freeCapacities: FreeCapacityIndex,
    private readonly placement: JobPlacement,
  ) {}

  /** Called at the end of each scheduling cycle with the jobs that found no capacity. Returns the number of probes. */
  place(unplaced: readonly UnplacedJob[], cycle: CycleContext): number {
    const unplacedJobs = unplaced.map(({ job }) => job);
    this.noteUnplaced(unplacedJobs, cycle.now);
    const machines = new Set(this.term.quarantine.machinesToProbe());
    if (machines.size === 0) return 0;
    const latestWaitStart = cycle.now - this.minWaitS();
    const jobs = unplacedJobs.filter((job) => this.unplacedSince.get(job)! <= latestWaitStart);
    if (jobs.length === 0) return 0;
    const capacities = this.freeCapacities.capacities(
      (machine) => machines.has(machine) && isAvailable(this.term, machine),
    );
    return this.placeProbes(jobs, capacities, cycle);
  }

  private noteUnplaced(jobs: LiveJob[], now: number): void {
    const since = this.unplacedSince;
    this.unplacedSince = new Map(jobs.map((job) => [job, since.get(job) ?? now]));
  }

  private minWaitS(): number {
    const { lease_s } = this.term.context.settings.workers;
    return Math.min(this.term.slowestBootS * WAIT_BOOTS, lease_s * MAX_WAIT_LEASES);
  }

  /** A job that has failed on a machine says less about it than another one, which is tried first. */
  private placeProbes(jobs: LiveJob[], capacities: FreeCapacity[], cycle: CycleContext): number {
    const { quarantine, machines } = this.term;
    let left = capacities;
    let probes = 0;
    for (const mayHaveFailed of [false, true]) {
      for (const job of jobs) {
        const candidates = left.filter(({ id }) => mayHaveFailed || !job.failures.has(id));
        if (candidates.length === 0) continue;
        const used = new Set(this.placement.placeProbe(job, cycle, candidates));
        for (const { id } of used) quarantine.probePlaced(machines.get(id)!);
        probes += used.size;
        left = left.filter((capacity) => !used.has(capacity));
      }
    }
    return probes;
  }
}
