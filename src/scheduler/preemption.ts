import { fits, type JobSpec, type Resources } from '../jobs/types.js';
import { isAllowedOn, isZoneAllowed } from './bin-packing.js';

/** A task that may be stopped. */
export interface Victim extends Resources {
  id: string;
  /** What must stop together with it: the tasks of one gang. */
  group: string;
  /** Work that stopping it loses, in seconds, with the time it takes to save. */
  lossS: number;
}

/** What is free on a machine, and who could be stopped there. */
export interface OccupiedMachine extends Resources {
  id: string;
  type: string;
  zone: string;
  spot: boolean;
  /** Seconds that a start there costs beyond what the victims lose: the wait for its image. */
  delayS?: number;
  victims: Victim[];
}

/** Whom to stop on which machine. */
export interface PreemptionPlan {
  machine: string;
  victims: Victim[];
}

/** The machine on which making capacity for one task loses least, and whom to stop there. */
export function cheapestPreemption(
  spec: JobSpec,
  machines: OccupiedMachine[],
  zones: Map<string, number>,
): PreemptionPlan | null {
  let best: PreemptionPlan | null = null;
  let bestCostS = Infinity;
  for (const machine of machines) {
    if (!isAllowedOn(spec, machine) || !isZoneAllowed(spec, machine.zone, zones)) continue;
    const free: Resources = { cores: machine.cores, gpus: machine.gpus, memGb: machine.memGb };
    const chosen: Victim[] = [];
    let costS = machine.delayS ?? 0;
    for (const victim of [...machine.victims].sort((a, b) => a.lossS - b.lossS)) {
      if (fits(spec, free)) break;
      free.cores += victim.cores;
      free.gpus += victim.gpus;
      free.memGb += victim.memGb;
      chosen.push(victim);
      costS += victim.lossS;
    }
    if (chosen.length === 0 || !fits(spec, free)) continue;
    // Those that turn out not to be needed stay.
    for (const victim of [...chosen].sort((a, b) => b.lossS - a.lossS)) {
      const without: Resources = {
        cores: free.cores - victim.cores,
        gpus: free.gpus - victim.gpus,
        memGb: free.memGb - victim.memGb,
      };
      if (fits(spec, without)) {
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
