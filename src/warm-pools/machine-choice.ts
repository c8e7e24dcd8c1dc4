/** Which machines a pool's slots may use, and which are preferred. */

import { fits, type MachineType } from '../jobs/types.js';
import type { FreeCapacity } from '../scheduler/bin-packing.js';
import { freeShare, hasRoomFor, shareTaken } from '../scheduler/room.js';
import { MAX_REPORTED_TASKS } from '../wire/workers.js';
import type { PoolDeclaration, ReplicaShape } from './declaration.js';

/** Cost of a missing image. The free share adds at most 1, so machines with the image come first. */
const MISSING_IMAGE_COST = 1;

/** A machine type that a pool may use, with the allowed zones. */
export interface AllowedType {
  type: MachineType;
  zones: string[];
}

/** Machine types that a pool allows and on which a slot fits, with the allowed zones. */
export function allowedTypes(
  pool: Pick<PoolDeclaration, 'types' | 'zones' | 'shape'>,
  types: ReadonlyMap<string, MachineType>,
): AllowedType[] {
  const allowed: AllowedType[] = [];
  for (const type of types.values()) {
    if (pool.types !== null && !pool.types.includes(type.name)) continue;
    if (!fits(pool.shape, type)) continue;
    const zones = type.zones.filter((zone) => pool.zones === null || pool.zones.includes(zone));
    if (zones.length > 0) allowed.push({ type, zones });
  }
  return allowed;
}

/** Number of slots of this shape that fit on one empty machine. */
export function slotsPerMachine(shape: ReplicaShape, type: MachineType): number {
  const ratio = (whole: number, part: number): number => (part > 0 ? whole / part : Infinity);
  const most = Math.min(
    ratio(type.cores, shape.cores),
    ratio(type.gpus, shape.gpus),
    ratio(type.memGb, shape.memGb),
    MAX_REPORTED_TASKS,
  );
  return Math.max(1, Math.floor(most + 1e-6));
}

/** The share of a machine that a slot takes and that is billed for it, by the scarcer of cores and GPUs. */
export const slotShare = (shape: ReplicaShape, type: MachineType): number =>
  shareTaken({ ...shape, memGb: 0 }, { ...type, taskSlots: Infinity });

/** Type and zone of machines to add. */
export interface ScaleOutTarget {
  type: MachineType;
  zone: string;
}

/**
 * The target with the lowest cost per slot among those for which the cloud is not known to be short of
 * machines. At equal cost, zones with fewer of the pool's slots come first. Null if there is none.
 */
export function cheapestTarget(
  pool: PoolDeclaration,
  types: ReadonlyMap<string, MachineType>,
  isShort: (type: string, zone: string) => boolean,
  slotsInZone: ReadonlyMap<string, number>,
): ScaleOutTarget | null {
  const targets: (ScaleOutTarget & { cost: number; slots: number })[] = [];
  for (const { type, zones } of allowedTypes(pool, types)) {
    const cost = type.price / slotsPerMachine(pool.shape, type);
    for (const zone of zones) {
      if (isShort(type.name, zone)) continue;
      targets.push({ type, zone, cost, slots: slotsInZone.get(zone) ?? 0 });
    }
  }
  targets.sort((a, b) => a.cost - b.cost || a.slots - b.slots || (a.zone < b.zone ? -1 : 1));
  return targets[0] ?? null;
}

/** The best existing machine: one with the image, then the fullest one. Null if there is none. */
export function bestCapacity(
  pool: PoolDeclaration,
  capacities: readonly FreeCapacity[],
  isEligible: (capacity: FreeCapacity) => boolean,
): FreeCapacity | null {
  let best: FreeCapacity | null = null;
  let bestCost = Infinity;
  for (const capacity of capacities) {
    if (
      capacity.spot ||
      !hasRoomFor(pool.shape, capacity) ||
      !isAllowed(pool, capacity) ||
      !isEligible(capacity)
    )
      continue;
    const hasImage = capacity.imageDelayS(pool.image, pool.imageGb) === 0;
    const cost = freeShare(capacity) + (hasImage ? 0 : MISSING_IMAGE_COST);
    if (cost < bestCost) {
      best = capacity;
      bestCost = cost;
    }
  }
  return best;
}

/** Whether a pool allows a machine's type and zone. */
export const isAllowed = (
  { types, zones }: Pick<PoolDeclaration, 'types' | 'zones'>,
  at: { type: string; zone: string },
): boolean =>
  (types === null || types.includes(at.type)) && (zones === null || zones.includes(at.zone));
