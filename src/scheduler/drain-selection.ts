import {
  bestFit,
  copyFreeCapacity,
  type FreeCapacity,
  type PlacementWeights,
} from './bin-packing.js';
import type { JobSpec } from '../jobs/types.js';
import { allocate, freeShare } from './room.js';

/**
 * A replica that may move, so that its machine can be drained and returned. It is unavailable for a moment
 * while it moves; the caller limits how many replicas of a class move at a time.
 */
export interface MovableReplica {
  spec: JobSpec;
  zones: Map<string, number>;
  /** Whether its job may use a machine at present; if missing, it may use every machine. */
  mayUse?: (capacity: FreeCapacity) => boolean;
}

/** A machine with the replicas on it, all of which can be moved. */
export interface DrainCandidate {
  capacity: FreeCapacity;
  replicas: MovableReplica[];
}

/** Minimum free share of a machine that is worth draining. */
const MIN_FREE_SHARE = 0.5;

/** Chooses the machine to drain; null: none whose replicas all fit elsewhere, where their image is. */
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
    // Only machines that are in use anyway and no emptier than the drained one receive replicas.
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
      // Cache contents are estimates. Replicas moved on a wrong one had to fetch their whole image.
      const withImage = targets.filter((capacity) => capacity.hasImage(replica.spec.image));
      const { spec, mayUse } = replica;
      const target = bestFit(spec, withImage, { zones, mayUse }, weights);
      if (target === null) return false;
      allocate(spec, target);
      to.push(target.id);
      return true;
    });
    if (allFit) return { candidate, to };
  }
  return null;
}
