/** The limits that placement keeps, and which of them keep a waiting job from the machines of a term. */

import { fits } from '../../jobs/types.js';
import type { LiveJob } from '../../jobs/live-job.js';
import { isAllowedOn, isZoneAllowed, type FreeCapacity } from '../../scheduler/bin-packing.js';
import { hasRoomFor } from '../../scheduler/room.js';

/** A limit by which a machine may be refused to a task, in the order in which they are checked. */
export const PLACEMENT_LIMITS = [
  'machine_kind',
  'resources',
  'task_slots',
  'gang_reservation',
  'warm_reserve',
  'subsystem',
  'long_work',
] as const;

/**
 * The name of a limit.
 *
 *   machine_kind      the job does not allow the machine's type, zone or pricing, given its other tasks
 *   resources         too few cores or GPUs or too little memory
 *   task_slots        as many tasks as the worker can report and the record can name
 *   gang_reservation  the machine is reserved for a gang that has waited for long
 *   warm_reserve      the capacity is part of the warm reserve, or of an ordinary machine kept for other work
 *   subsystem         a subsystem keeps the machine for something else
 *   long_work         the share of the machine type that waits for long work would not be left
 */
export type PlacementLimit = (typeof PLACEMENT_LIMITS)[number];

/** How many machines each limit keeps from a job. */
export type LimitCounts = Partial<Record<PlacementLimit, number>>;

/** The limit beyond those of the machine's size and kind that keeps a job from a machine; null: none. */
export type LimitOf = (capacity: FreeCapacity) => PlacementLimit | null;

/** Counts the machines that each limit keeps from a job; a machine counts for the first limit that it exceeds. */
export function countLimits(
  { spec }: LiveJob,
  zones: Map<string, number>,
  capacities: readonly FreeCapacity[],
  limitOf: LimitOf,
): LimitCounts {
  const counts: LimitCounts = {};
  for (const capacity of capacities) {
    const limit = firstLimit(capacity);
    if (limit !== null) counts[limit] = (counts[limit] ?? 0) + 1;
  }
  return counts;

  function firstLimit(capacity: FreeCapacity): PlacementLimit | null {
    if (!isAllowedOn(spec, capacity) || !isZoneAllowed(spec, capacity.zone, zones))
      return 'machine_kind';
    if (!fits(spec, capacity)) return 'resources';
    return hasRoomFor(spec, capacity) ? limitOf(capacity) : 'task_slots';
  }
}

/** The limit without which the job would be nearest to a place: the last one that any machine reached. */
export const decisiveLimit = (counts: LimitCounts): PlacementLimit | null =>
  PLACEMENT_LIMITS.findLast((limit) => (counts[limit] ?? 0) > 0) ?? null;
