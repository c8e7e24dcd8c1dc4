import type { JobSpec, MachineType } from '../jobs/types.js';
import { fits } from '../jobs/types.js';
import {
  isAllowedOn,
  bestFit,
  allocate,
  isZoneAllowed,
  type FreeCapacity,
  type PlacementConstraints,
  type PlacementWeights,
} from '../scheduler/bin-packing.js';

/** Tasks that found no capacity, in the order in which they are wanted. */
export interface Demand {
  spec: JobSpec;
  tasks: number;
  /** Tasks of the job in each zone at present. */
  zones: Map<string, number>;
}

/** Where the cloud had nothing, and until when not to ask again. */
export type Shortage = (type: string, zone: string, spot: boolean) => boolean;

/** Machines to add of one type, zone and kind. */
export interface MachineOrder {
  type: string;
  zone: string;
  spot: boolean;
  count: number;
}

/** What a scale-out plan rests on. */
export interface ScaleOutInput {
  demand: Demand[];
  /** Machines on their way, and capacity that is free. They are used up. */
  capacities: FreeCapacity[];
  types: MachineType[];
  zones: string[];
  isShort: Shortage;
  /** Machines in each zone, to spread new ones. */
  machinesByZone: Map<string, number>;
  weights: PlacementWeights;
  maxMachines: number;
  /** Whether a job may use a machine that is there or on its way; missing: it may. */
  mayUse?: (spec: JobSpec, capacity: FreeCapacity) => boolean;
}

let serial = 0;

/** A machine that is not there yet: empty, and every image has to be fetched. */
export function emptyMachineCapacity(
  id: string,
  type: MachineType,
  zone: string,
  spot: boolean,
): FreeCapacity {
  return {
    id,
    type: type.name,
    zone,
    spot,
    cores: type.cores,
    gpus: type.gpus,
    memGb: type.memGb,
    total: type,
    penaltyS: 0,
    imageDelayS: (_image, gb) => gb / Math.max(type.fetchGbPerS, 1e-9),
    hasImage: () => false,
    fetchS: (gb) => gb / Math.max(type.fetchGbPerS, 1e-9),
    cachedHotImages: () => [],
  };
}

/** The cheapest kind of machine that one task of the job may have now; null: none to be had. */
function cheapestKind(
  spec: JobSpec,
  zones: Map<string, number>,
  input: ScaleOutInput,
): { type: MachineType; zone: string; spot: boolean } | null {
  let best: { type: MachineType; zone: string; spot: boolean } | null = null;
  let bestCost = Infinity;
  for (const type of input.types) {
    if (!fits(spec, type)) continue;
    for (const spot of spec.spot ? [true, false] : [false]) {
      const price = spot ? type.spotPrice : type.price;
      if (spot && type.spotPrice <= 0) continue;
      for (const zone of type.zones) {
        if (!isAllowedOn(spec, { type: type.name, zone, spot })) continue;
        if (!isZoneAllowed(spec, zone, zones) || input.isShort(type.name, zone, spot)) continue;
        const share = type.gpus > 0 ? type.gpus : Math.max(type.cores, 1e-9);
        // Zones are evened out, but not at the price of a dearer kind of machine.
        const cost = (price / share) * (1 + 0.001 * (input.machinesByZone.get(zone) ?? 0));
        if (cost < bestCost) {
          bestCost = cost;
          best = { type, zone, spot };
        }
      }
    }
  }
  return best;
}

/** Which machines to add so that all demand finds capacity. Pure: the free capacities given are used up. */
export function planScaleOut(input: ScaleOutInput): MachineOrder[] {
  const wanted = new Map<string, MachineOrder>();
  let count = 0;
  for (const demand of input.demand) {
    const zones = new Map(demand.zones);
    const { mayUse } = input;
    const where: PlacementConstraints =
      mayUse === undefined
        ? { zones }
        : { zones, mayUse: (capacity) => mayUse(demand.spec, capacity) };
    for (let i = 0; i < demand.tasks; i++) {
      let capacity = bestFit(demand.spec, input.capacities, where, input.weights);
      if (capacity === null) {
        if (count >= input.maxMachines) break;
        const kind = cheapestKind(demand.spec, zones, input);
        if (kind === null) break;
        capacity = emptyMachineCapacity(`planned-${serial++}`, kind.type, kind.zone, kind.spot);
        input.capacities.push(capacity);
        count++;
        input.machinesByZone.set(kind.zone, (input.machinesByZone.get(kind.zone) ?? 0) + 1);
        const key = `${kind.type.name} ${kind.zone} ${kind.spot}`;
        const order = wanted.get(key);
        if (order === undefined) {
          wanted.set(key, { type: kind.type.name, zone: kind.zone, spot: kind.spot, count: 1 });
        } else order.count++;
      }
      allocate(demand.spec, capacity);
      zones.set(capacity.zone, (zones.get(capacity.zone) ?? 0) + 1);
    }
  }
  return [...wanted.values()];
}
