import type { JobSpec } from './types.js';

/**
 * A key of everything in a job, apart from its size, that decides which machines a task may use or have drained
 * for it. Derived once for each job, since every scheduling cycle reads it.
 */
export function placementKeyOf(spec: JobSpec): string {
  const { priority, kind, spot, zone, types, team, saveS, checkpointS } = spec;
  return JSON.stringify([priority, kind, spot, zone, types, team, saveS, checkpointS]);
}
