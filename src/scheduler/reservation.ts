import { maxTasksPerZone, type JobSpec } from '../jobs/types.js';
import { isAllowedOn, type FreeCapacity } from './bin-packing.js';
import { allocate, copyRoom, freeShare, hasRoomFor, type Room } from './room.js';

/**
 * A machine that may be reserved for a gang that has waited long. As in backfill scheduling, the machines
 * on which the gang can start soonest accept no further work of its own or a lower priority until it has
 * started. Without a reservation, a gang of whole machines never starts during a steady stream of small
 * work of equal priority.
 */
export interface ReservableMachine {
  capacity: FreeCapacity;
  /** Room once all work that ends by itself has ended. */
  withoutFiniteWork: Room;
}

/** How many tasks of a job fit into this room. */
function taskCountIn(spec: JobSpec, room: Room): number {
  const free = copyRoom(room);
  let tasks = 0;
  while (tasks < spec.tasks && hasRoomFor(spec, free)) {
    allocate(spec, free);
    tasks++;
  }
  return tasks;
}

/** Machines for all tasks of a gang, in the given order; null: they do not suffice. */
function machinesForTasks(
  spec: JobSpec,
  machines: ReservableMachine[],
  maxPerZone: number,
): ReservableMachine[] | null {
  const chosen: ReservableMachine[] = [];
  const tasksByZone = new Map<string, number>();
  let missing = spec.tasks;
  for (const machine of machines) {
    if (missing <= 0) break;
    const { zone } = machine.capacity;
    const inThisZone = tasksByZone.get(zone) ?? 0;
    const tasks = Math.min(
      taskCountIn(spec, machine.withoutFiniteWork),
      maxPerZone - inThisZone,
      missing,
    );
    if (tasks <= 0) continue;
    tasksByZone.set(zone, inThisZone + tasks);
    missing -= tasks;
    chosen.push(machine);
  }
  return missing <= 0 ? chosen : null;
}

/**
 * Ids of the machines to reserve for a gang, those with the most free capacity first; null: no set of these
 * machines can hold it.
 */
export function chooseReservation(
  spec: JobSpec,
  machines: readonly ReservableMachine[],
): Set<string> | null {
  const candidates = machines.filter(({ capacity }) => isAllowedOn(spec, capacity));
  candidates.sort((a, b) => freeShare(b.capacity) - freeShare(a.capacity));
  const maxPerZone = spec.scatter ? maxTasksPerZone(spec.tasks) : spec.tasks;
  const groups = spec.oneZone
    ? [...new Set(candidates.map(({ capacity }) => capacity.zone))].map((zone) =>
        candidates.filter(({ capacity }) => capacity.zone === zone),
      )
    : [candidates];
  let best: ReservableMachine[] | null = null;
  let bestFree = -1;
  for (const group of groups) {
    const chosen = machinesForTasks(spec, group, maxPerZone);
    if (chosen === null) continue;
    const free = chosen.reduce((sum, { capacity }) => sum + freeShare(capacity), 0);
    if (free <= bestFree) continue;
    best = chosen;
    bestFree = free;
  }
  return best === null ? null : new Set(best.map(({ capacity }) => capacity.id));
}
