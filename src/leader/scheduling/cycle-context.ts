/** Types that the parts of a scheduling cycle share. */

import type { LiveJob } from '../../jobs/live-job.js';
import type { FreeCapacity, PlacementWeights } from '../../scheduler/bin-packing.js';
import type { TeamUsages } from '../../scheduler/quota.js';
import type { Preemptor } from './preemptor.js';
import type { Term } from '../term/term.js';
import type { UnplacedRequests } from './unplaced-requests.js';

/** Whether a job may use a machine now. */
export type MachineFilter = (capacity: FreeCapacity) => boolean;

/** What work of a priority must leave free on each machine type: GPUs or, without any, cores. */
export type LongWorkShares = (priority: number) => Map<string, number>;

/** State of one scheduling cycle. */
export interface CycleContext {
  /** When the scheduling cycle began, in seconds of the steady clock. */
  readonly now: number;
  /** Free capacity of the machines that may be used. Placement subtracts from it. */
  readonly capacities: FreeCapacity[];
  /** Resources used by teams. Placement adds to it. */
  readonly usages: TeamUsages;
  readonly weights: PlacementWeights;
  readonly longWorkShares: LongWorkShares;
  readonly preemptor: Preemptor;
  readonly unplaced: UnplacedRequests;
}

/** Result of placing one job in a scheduling cycle. */
export interface PlacementOutcome {
  /** Tasks that were placed. */
  placed: number;
  /** Tasks that may start but fit on no machine. */
  unplaced: number;
}

/** Tasks of a job in each zone. A task counts for as long as it may be on a machine. */
export function taskCountsByZone(term: Term, job: LiveJob): Map<string, number> {
  const counts = new Map<string, number>();
  for (const attempt of job.activeAttempts()) {
    const zone = term.machines.get(attempt.machine)?.zone;
    if (zone !== undefined) counts.set(zone, (counts.get(zone) ?? 0) + 1);
  }
  return counts;
}
