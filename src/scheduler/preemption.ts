import { fits, type JobSpec, type Resources } from '../jobs/types.js';
import { isAllowedOn, isZoneAllowed } from './bin-packing.js';

export interface Victim extends Resources {
  id: string;
  /** What must stop together with it: the tasks of one gang. */
  group: string;
  /** Work that stopping it loses, in seconds, with the time it takes to save. */
  lossS: number;
}

export interface OccupiedMachine extends Resources {
  id: string;
  type: string;
  zone: string;
  spot: boolean;
  /** Seconds that a start there costs beyond what the victims lose: the wait for its image. */
  delayS?: number;
  victims: Victim[];
}

export interface PreemptionPlan {
  machine: string;
  victims: Victim[];
}

/** The machine on which making room for one task loses least, and whom to stop there. */
export function cheapestPreemption(
  spec: JobSpec,
  machines: OccupiedMachine[],
  zones: Map<string, number>,
): PreemptionPlan | null {
  let best: PreemptionPlan | null = null;
  let bestLoss = Infinity;
  for (const m of machines) {
    if (!isAllowedOn(spec, m) || !isZoneAllowed(spec, m.zone, zones)) continue;
    const free: Resources = { cores: m.cores, gpus: m.gpus, memGb: m.memGb };
    const chosen: Victim[] = [];
    let loss = m.delayS ?? 0;
    for (const victim of [...m.victims].sort((victim, b) => victim.lossS - b.lossS)) {
      if (fits(spec, free)) break;
      free.cores += victim.cores;
      free.gpus += victim.gpus;
      free.memGb += victim.memGb;
      chosen.push(victim);
      loss += victim.lossS;
    }
    if (chosen.length === 0 || !fits(spec, free)) continue;
    // Those that turn out not to be needed stay.
    for (const victim of [...chosen].sort((victim, b) => b.lossS - victim.lossS)) {
      const without: Resources = {
        cores: free.cores - victim.cores,
        gpus: free.gpus - victim.gpus,
        memGb: free.memGb - victim.memGb,
      };
      if (fits(spec, without)) {
        Object.assign(free, without);
        chosen.splice(chosen.indexOf(victim), 1);
        loss -= victim.lossS;
      }
    }
    if (loss < bestLoss) {
      best = { machine: m.id, victims: chosen };
      bestLoss = loss;
    }
  }
  return best;
}
