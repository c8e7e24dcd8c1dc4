import type { JobSpec } from './types.js';

/**
 * Whatever of a job, beside the size, decides on the machines that a task may use or have drained for it.
 * Derived once for each job: it is asked for in every scheduling cycle.
 */
export function requestKindOf(spec: JobSpec): string {
  const { priority, kind, spot, zone, types, team, saveS, checkpointS } = spec;
  return JSON.stringify([priority, kind, spot, zone, types, team, saveS, checkpointS]);
}
