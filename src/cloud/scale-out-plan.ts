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

/** Tasks of a job for which there was no capacity. Capacity is planned in the order of the list of demands. */
export interface Demand {
  spec: JobSpec;
  tasks: number;
  /** The job's present tasks in each zone. */
  zones: Map<string, number>;
}

/** Whether the cloud recently had no capacity for a type and zone, spot or not. */
export type Shortage = (type: string, zone: string, spot: boolean) => boolean;

/** Machines to add of one type and zone, spot or not. */
export interface MachineOrder {
  type: string;
  zone: string;
  spot: boolean;
  count: number;
}

/** Input of a scale-out plan. */
export interface ScaleOutInput {
  demand: Demand[];
  /** Pending machines and free capacity. Planning allocates from them. */
  capacities: FreeCapacity[];
  types: MachineType[];
  zones: string[];
  isShort: Shortage;
  /** Number of machines in each zone, to spread new ones. */
  machinesByZone: Map<string, number>;
  weights: PlacementWeights;
  maxMachines: number;
  /** Whether a job may use an existing or pending machine; absent: it may. */
  mayUse?: (spec: JobSpec, capacity: FreeCapacity) => boolean;
}

let plannedCount = 0;

/** Capacity of a machine that does not exist yet: it is empty and has to fetch every image. */
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

/** The cheapest type, zone and pricing that a task of the job may use now; null: none is available. */
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
        // Spreads machines over the zones, but does not choose a more expensive type for that.
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

/**
 * Plans which machines to add to satisfy the demand. It allocates from `capacities`, and adds the planned machines
 * to `capacities` and `machinesByZone`.
 */
export function planScaleOut(input: ScaleOutInput): MachineOrder[] {
  const orders = new Map<string, MachineOrder>();
  let addedMachines = 0;
  for (const demand of input.demand) {
    const zones = new Map(demand.zones);
    const { mayUse } = input;
    const constraints: PlacementConstraints =
      mayUse === undefined
        ? { zones }
        : { zones, mayUse: (capacity) => mayUse(demand.spec, capacity) };
    for (let i = 0; i < demand.tasks; i++) {
      let capacity = bestFit(demand.spec, input.capacities, constraints, input.weights);
      if (capacity === null) {
        if (addedMachines >= input.maxMachines) break;
        const kind = cheapestKind(demand.spec, zones, input);
        if (kind === null) break;
        capacity = emptyMachineCapacity(
          `planned-${plannedCount++}`,
          kind.type,
          kind.zone,
          kind.spot,
        );
        input.capacities.push(capacity);
        addedMachines++;
        input.machinesByZone.set(kind.zone, (input.machinesByZone.get(kind.zone) ?? 0) + 1);
        const key = `${kind.type.name} ${kind.zone} ${kind.spot}`;
        const order = orders.get(key);
        if (order === undefined) {
          orders.set(key, { type: kind.type.name, zone: kind.zone, spot: kind.spot, count: 1 });
        } else order.count++;
      }
      allocate(demand.spec, capacity);
      zones.set(capacity.zone, (zones.get(capacity.zone) ?? 0) + 1);
    }
  }
  return [...orders.values()];
}
