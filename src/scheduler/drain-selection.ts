import {
  bestFit,
  copyFreeCapacity,
  freeShare,
  allocate,
  type FreeCapacity,
  type PlacementWeights,
} from './bin-packing.js';
import type { JobSpec } from '../jobs/types.js';

/**
 * Draining a machine whose few replicas fit elsewhere, so that it can be given back. A replica that
 * moves is away for a moment; how many of a class may move at a time is the caller's bound.
 */
export interface MovableReplica {
  spec: JobSpec;
  zones: Map<string, number>;
}

/** A machine with the replicas on it, all of which can be moved. */
export interface DrainCandidate {
  capacity: FreeCapacity;
  replicas: MovableReplica[];
}

/** A machine of which so much is free is worth draining. */
const MIN_FREE_SHARE = 0.5;

/** Which machine to empty; null: none whose replicas all find a place with their image elsewhere. */
export function chooseMachineToDrain(
  candidates: DrainCandidate[],
  capacities: FreeCapacity[],
  mayMove: (replicas: MovableReplica[]) => boolean,
  weights: PlacementWeights,
): { candidate: DrainCandidate; to: string[] } | null {
  const sorted = candidates
    .filter((a) => a.replicas.length > 0 && freeShare(a.capacity) >= MIN_FREE_SHARE)
    .sort((a, b) => freeShare(b.capacity) - freeShare(a.capacity));
  for (const candidate of sorted) {
    if (!mayMove(candidate.replicas)) continue;
    // Only places on machines that are in use anyway: the emptier one never receives.
    const targets = capacities
      .filter(
        (capacity) =>
          capacity.id !== candidate.capacity.id && !capacity.spot && freeShare(capacity) < 1,
      )
      .filter((capacity) => freeShare(capacity) <= freeShare(candidate.capacity))
      .map(copyFreeCapacity);
    const to: string[] = [];
    const allFit = candidate.replicas.every((replica) => {
      const zones = new Map(replica.zones);
      zones.set(candidate.capacity.zone, (zones.get(candidate.capacity.zone) ?? 1) - 1);
      // What is cached is an estimate; moving on a wrong one cost a replica a whole fetch.
      const withImage = targets.filter((capacity) => capacity.hasImage(replica.spec.image));
      const target = bestFit(replica.spec, withImage, { zones }, weights);
      if (target === null) return false;
      allocate(replica.spec, target);
      to.push(target.id);
      return true;
    });
    if (allFit) return { candidate: candidate, to };
  }
  return null;
}
