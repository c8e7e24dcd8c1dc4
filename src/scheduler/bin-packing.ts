import { fits, maxTasksPerZone, type JobSpec, type Resources } from '../jobs/types.js';
import { allocate, hasRoomFor, release, type Room } from './room.js';

/** The free capacity of a machine, and the delays of a start there. */
export interface FreeCapacity extends Room {
  id: string;
  type: string;
  zone: string;
  spot: boolean;
  /** Seconds until the image would be on the machine: 0 when it is cached. */
  imageDelayS(image: string, gb: number): number;
  /** Whether the image is there for certain: a task uses it, or the cache has never evicted an image. */
  hasImage(image: string): boolean;
  /** Seconds that a fetch of this size takes without other fetches. */
  fetchS(gb: number): number;
  /** Added cost of machines that have proved slow or unreliable. */
  penaltyS: number;
  /** Room of the whole machine when it is empty. */
  total: Room;
  /** Share of the machine used by tasks that stop quickly when told to, see `stopsQuickly`. */
  quicklyFreedShare?: number;
  /** The hot images that are cached there; optional, so that the others need not be checked one by one. */
  cachedHotImages?(hot: HotImage[]): HotImage[];
}

/** A copy for trial allocations. The object may be of a class, whose methods a spread would lose. */
export const copyFreeCapacity = (capacity: FreeCapacity): FreeCapacity =>
  Object.assign(Object.create(Object.getPrototypeOf(capacity) as object) as FreeCapacity, capacity);

/** Where tasks of a job may be placed at present. */
export interface PlacementConstraints {
  /** Number of tasks of the job in each zone at present. */
  zones: Map<string, number>;
  /** Machines on which the job's tasks must not be placed. */
  avoid?: Set<string>;
  /** Whether the job may use a machine at present; if missing, it may use every machine. */
  mayUse?: (capacity: FreeCapacity) => boolean;
}

/** Whether a job allows a machine's type and zone and, if the machine is a spot machine, allows spot. */
export function isAllowedOn(
  spec: JobSpec,
  machine: { type: string; zone: string; spot: boolean },
): boolean {
  if (spec.types !== null && !spec.types.includes(machine.type)) return false;
  if (spec.zone !== null && spec.zone !== machine.zone) return false;
  return spec.spot || !machine.spot;
}

/** Whether a job with tasks in these zones may have another one in this zone. */
export function isZoneAllowed(spec: JobSpec, zone: string, zones: Map<string, number>): boolean {
  if (spec.oneZone) {
    for (const [z, n] of zones) if (n > 0 && z !== zone) return false;
  }
  if (spec.scatter && (zones.get(zone) ?? 0) >= maxTasksPerZone(spec.tasks)) return false;
  return true;
}

/** Share of the machine that stays free with the task, by its scarcer resource. */
function leftoverShare(spec: Resources, capacity: FreeCapacity): number {
  const { total } = capacity;
  const gpus = total.gpus > 0 ? (capacity.gpus - spec.gpus) / total.gpus : Infinity;
  const cores = total.cores > 0 ? (capacity.cores - spec.cores) / total.cores : Infinity;
  const least = Math.min(gpus, cores);
  return least === Infinity ? 0 : least;
}

/** An image that further tasks are expected to need soon. */
export interface HotImage {
  image: string;
  gb: number;
  spec: JobSpec;
  /** Number of tasks expected within the boot time of a machine. */
  expectedTasks: number;
}

/**
 * Cost of a placement for expected tasks: seconds of fetching that they would save on this machine,
 * where their image is cached, but where the placement leaves too little capacity for them.
 */
function opportunityCostS(spec: JobSpec, capacity: FreeCapacity, hotImages: HotImage[]): number {
  let costS = 0;
  let freeAfter: Resources | null = null;
  for (const hotImage of capacity.cachedHotImages?.(hotImages) ?? hotImages) {
    if (
      hotImage.image === spec.image ||
      (capacity.spot && !hotImage.spec.spot) ||
      !fits(hotImage.spec, capacity)
    )
      continue;
    freeAfter ??= {
      cores: capacity.cores - spec.cores,
      gpus: capacity.gpus - spec.gpus,
      memGb: capacity.memGb - spec.memGb,
    };
    if (fits(hotImage.spec, freeAfter) || capacity.imageDelayS(hotImage.image, hotImage.gb) > 0)
      continue;
    // This capacity serves one such task at a time.
    costS += Math.min(1, hotImage.expectedTasks) * capacity.fetchS(hotImage.gb);
  }
  return costS;
}

/** Costs of placements, in seconds. */
export interface PlacementWeights {
  /** Seconds that work which may use spot machines would wait for one rather than use an ordinary one. */
  ordinaryCostS: number;
  /** Cost of an empty machine compared with a full one. */
  emptyCostS: number;
  hotImages?: HotImage[];
  /** Subtracted from the cost of a placement that is preferred for reasons outside of bin packing. */
  preferenceS?: (spec: JobSpec, capacity: FreeCapacity) => number;
}

/** Leaves out the opportunity cost, which is expensive to compute, once the cost reaches `boundS`. */
function placementCostS(
  spec: JobSpec,
  capacity: FreeCapacity,
  weights: PlacementWeights,
  boundS = Infinity,
): number {
  const directCostS =
    capacity.imageDelayS(spec.image, spec.imageGb) +
    (spec.spot && !capacity.spot ? weights.ordinaryCostS : 0) +
    leftoverShare(spec, capacity) * weights.emptyCostS +
    capacity.penaltyS -
    (weights.preferenceS?.(spec, capacity) ?? 0);
  if (weights.hotImages === undefined || directCostS >= boundS) return directCostS;
  return directCostS + opportunityCostS(spec, capacity, weights.hotImages);
}

/** The machine with the lowest cost for a task; null: it fits on none. Allocates nothing. */
export function bestFit(
  spec: JobSpec,
  capacities: Iterable<FreeCapacity>,
  constraints: PlacementConstraints,
  weights: PlacementWeights,
): FreeCapacity | null {
  let best: FreeCapacity | null = null;
  let bestCostS = Infinity;
  for (const capacity of capacities) {
    if (!hasRoomFor(spec, capacity) || !isAllowedOn(spec, capacity)) continue;
    if (constraints.avoid?.has(capacity.id) === true) continue;
    if (!isZoneAllowed(spec, capacity.zone, constraints.zones)) continue;
    if (constraints.mayUse !== undefined && !constraints.mayUse(capacity)) continue;
    const costS = placementCostS(spec, capacity, weights, bestCostS);
    if (costS < bestCostS) {
      best = capacity;
      bestCostS = costS;
    }
  }
  return best;
}

/** Allocates all tasks of a gang or none; returns machines in the order of the tasks, or null. */
export function placeGang(
  spec: JobSpec,
  capacities: FreeCapacity[],
  constraints: PlacementConstraints,
  weights: PlacementWeights,
): FreeCapacity[] | null {
  const zones = spec.oneZone ? [...new Set(capacities.map((capacity) => capacity.zone))] : [null];
  let best: FreeCapacity[] | null = null;
  let bestCostS = Infinity;
  for (const zone of zones) {
    const inZone =
      zone === null ? capacities : capacities.filter((capacity) => capacity.zone === zone);
    const counts = new Map(constraints.zones);
    const chosen: FreeCapacity[] = [];
    let maxCostS = 0;
    for (let i = 0; i < spec.tasks; i++) {
      const capacity = bestFit(spec, inZone, { ...constraints, zones: counts }, weights);
      if (capacity === null) break;
      maxCostS = Math.max(maxCostS, placementCostS(spec, capacity, weights));
      allocate(spec, capacity);
      counts.set(capacity.zone, (counts.get(capacity.zone) ?? 0) + 1);
      chosen.push(capacity);
    }
    for (const capacity of chosen) release(spec, capacity);
    if (chosen.length === spec.tasks && maxCostS < bestCostS) {
      best = chosen;
      bestCostS = maxCostS;
    }
  }
  for (const capacity of best ?? []) allocate(spec, capacity);
  return best;
}

/**
 * Units of a machine type that are reserved for long work while it waits, capped at what that work can
 * use now. Nothing is reserved while no long work waits.
 */
export function reservedForLongWork(capacity: number, rho: number, wanted: number): number {
  return Math.min(capacity * rho, wanted);
}
