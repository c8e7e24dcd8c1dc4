import {
  bestFit,
  copyFreeCapacity,
  freeShare,
  take,
  type FreeCapacity,
  type Weights,
} from './bin-packing.js';
import type { JobSpec } from '../jobs/types.js';

/**
 * Emptying a machine whose few replicas fit elsewhere, so that it can be given back. A replica that
 * moves is away for a moment; how many of a class may move at a time is the caller's bound.
 */
export interface Replica {
  spec: JobSpec;
  zones: Map<string, number>;
}

export interface Candidate {
  room: FreeCapacity;
  replicas: Replica[];
}

/** A machine of which so much is free is worth emptying. */
const EMPTY_SHARE = 0.5;

/** Which machine to empty; null: none whose replicas all find a place with their image elsewhere. */
export function chooseVacated(
  candidates: Candidate[],
  rooms: FreeCapacity[],
  mayMove: (replicas: Replica[]) => boolean,
  weights: Weights,
): { candidate: Candidate; to: string[] } | null {
  const sorted = candidates
    .filter((c) => c.replicas.length > 0 && freeShare(c.room) >= EMPTY_SHARE)
    .sort((a, b) => freeShare(b.room) - freeShare(a.room));
  for (const c of sorted) {
    if (!mayMove(c.replicas)) continue;
    // Only places on machines that are in use anyway: the emptier one never receives.
    const places = rooms
      .filter((capacity) => capacity.id !== c.room.id && !capacity.spot && freeShare(capacity) < 1)
      .filter((capacity) => freeShare(capacity) <= freeShare(c.room))
      .map(copyFreeCapacity);
    const to: string[] = [];
    const all = c.replicas.every((replica) => {
      const zones = new Map(replica.zones);
      zones.set(c.room.zone, (zones.get(c.room.zone) ?? 1) - 1);
      // What is cached is an estimate; moving on a wrong one cost a replica a whole fetch.
      const there = places.filter((capacity) => capacity.hasImage(replica.spec.image));
      const room = bestFit(replica.spec, there, { zones }, weights);
      if (room === null) return false;
      take(replica.spec, room);
      to.push(room.id);
      return true;
    });
    if (all) return { candidate: c, to };
  }
  return null;
}
