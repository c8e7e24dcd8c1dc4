import type { JobSpec, Resources } from '../jobs/types.js';
import { isAllowedOn, isZoneAllowed } from './bin-packing.js';
import { allocate, copyRoom, hasRoomFor, release, type Room } from './room.js';

/** A task that may be stopped. */
export interface Victim extends Resources {
  id: string;
  /** Tasks of the same group must stop together: those of one gang. */
  group: string;
  /** Cost of stopping it, in seconds: the work that is lost, and the time to save. */
  lossS: number;
}

/** The room on a machine, and the tasks that may be stopped there. */
export interface OccupiedMachine extends Room {
  id: string;
  type: string;
  zone: string;
  spot: boolean;
  /** Cost of a start there beyond that of the victims, in seconds: the wait for its image. */
  delayS?: number;
  victims: Victim[];
}

/** The tasks to stop on one machine. */
export interface PreemptionPlan {
  machine: string;
  victims: Victim[];
}

/** The machine on which preemption for one task costs least, and its victims; null: there is none. */
export function cheapestPreemption(
  spec: JobSpec,
  machines: OccupiedMachine[],
  zones: Map<string, number>,
): PreemptionPlan | null {
  let best: PreemptionPlan | null = null;
  let bestCostS = Infinity;
  for (const machine of machines) {
    if (!isAllowedOn(spec, machine) || !isZoneAllowed(spec, machine.zone, zones)) continue;
    const free = copyRoom(machine);
    const chosen: Victim[] = [];
    let costS = machine.delayS ?? 0;
    for (const victim of [...machine.victims].sort((a, b) => a.lossS - b.lossS)) {
      if (hasRoomFor(spec, free)) break;
      release(victim, free);
      chosen.push(victim);
      costS += victim.lossS;
    }
    if (chosen.length === 0 || !hasRoomFor(spec, free)) continue;
    // Leave out victims that turn out not to be needed, the most expensive first.
    for (const victim of [...chosen].sort((a, b) => b.lossS - a.lossS)) {
      const without = copyRoom(free);
      allocate(victim, without);
      if (hasRoomFor(spec, without)) {
        Object.assign(free, without);
        chosen.splice(chosen.indexOf(victim), 1);
        costS -= victim.lossS;
      }
    }
    if (costS < bestCostS) {
      best = { machine: machine.id, victims: chosen };
      bestCostS = costS;
    }
  }
  return best;
}
