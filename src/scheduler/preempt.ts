import { fits, type JobSpec, type Size } from '../jobs/types.js';
import { allowed, zoneAllowed } from './place.js';

export interface Victim extends Size {
  id: string;
  /** What must stop together with it: the tasks of one gang. */
  group: string;
  /** Work that stopping it loses, in seconds, with the time it takes to save. */
  lossS: number;
}

export interface Occupied extends Size {
  id: string;
  type: string;
  zone: string;
  spot: boolean;
  /** Seconds that a start there costs beyond what the victims lose: the wait for its image. */
  waitS?: number;
  victims: Victim[];
}

export interface Eviction {
  machine: string;
  victims: Victim[];
}

/** The machine on which making room for one task loses least, and whom to stop there. */
export function cheapestEviction(
  spec: JobSpec,
  machines: Occupied[],
  zones: Map<string, number>,
): Eviction | null {
  let best: Eviction | null = null;
  let bestLoss = Infinity;
  for (const m of machines) {
    if (!allowed(spec, m) || !zoneAllowed(spec, m.zone, zones)) continue;
    const free: Size = { cores: m.cores, gpus: m.gpus, memGb: m.memGb };
    const chosen: Victim[] = [];
    let loss = m.waitS ?? 0;
    for (const v of [...m.victims].sort((a, b) => a.lossS - b.lossS)) {
      if (fits(spec, free)) break;
      free.cores += v.cores;
      free.gpus += v.gpus;
      free.memGb += v.memGb;
      chosen.push(v);
      loss += v.lossS;
    }
    if (chosen.length === 0 || !fits(spec, free)) continue;
    // Those that turn out not to be needed stay.
    for (const v of [...chosen].sort((a, b) => b.lossS - a.lossS)) {
      const without: Size = {
        cores: free.cores - v.cores,
        gpus: free.gpus - v.gpus,
        memGb: free.memGb - v.memGb,
      };
      if (fits(spec, without)) {
        Object.assign(free, without);
        chosen.splice(chosen.indexOf(v), 1);
        loss -= v.lossS;
      }
    }
    if (loss < bestLoss) {
      best = { machine: m.id, victims: chosen };
      bestLoss = loss;
    }
  }
  return best;
}
