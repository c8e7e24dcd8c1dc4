import { fits, maxTasksPerZone, type JobSpec, type Resources } from '../jobs/types.js';

/** The free capacity of a machine, as placing sees it, and what a start there would wait for. */
export interface FreeCapacity extends Resources {
  id: string;
  type: string;
  zone: string;
  spot: boolean;
  /** Seconds until the image would be there: 0 when it is cached. */
  imageDelayS(image: string, gb: number): number;
  /** It is there for certain: a task with it runs there, or nothing was ever dropped there. */
  hasImage(image: string): boolean;
  /** Seconds that fetching so much takes alone. */
  fetchS(gb: number): number;
  /** Added to the cost, for machines that have proved slow or doubtful. */
  penaltyS: number;
  /** GPUs or, without any, cores of the whole machine. */
  total: Resources;
  /** Share of the machine taken by work that leaves as soon as it is told to. */
  quicklyFreedShare?: number;
  /** Those of the hot images that are cached there, when that is known at less cost. */
  cachedHotImages?(hot: HotImage[]): HotImage[];
}

/** To try something out. It may be of a class: a spread of it would lose its methods. */
export const copyFreeCapacity = (capacity: FreeCapacity): FreeCapacity =>
  Object.assign(Object.create(Object.getPrototypeOf(capacity) as object) as FreeCapacity, capacity);

/** Where tasks of a job may go at this moment. */
export interface PlacementConstraints {
  /** Tasks of the job in each zone at this moment. */
  zones: Map<string, number>;
  /** Machines on which the job's tasks must not be placed. */
  avoid?: Set<string>;
  /** Machines that this job may use at present; every one when it is not given. */
  mayUse?: (capacity: FreeCapacity) => boolean;
}

/** Whether a job allows a machine's type, zone and kind. */
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

/** Share of the machine that stays free, by its scarcer resource. */
function leftoverShare(spec: Resources, capacity: FreeCapacity): number {
  const { total } = capacity;
  const gpus = total.gpus > 0 ? (capacity.gpus - spec.gpus) / total.gpus : Infinity;
  const cores = total.cores > 0 ? (capacity.cores - spec.cores) / total.cores : Infinity;
  const least = Math.min(gpus, cores);
  return least === Infinity ? 0 : least;
}

/** Share of a machine that is free, by its scarcer resource: no GPU left is no capacity left. */
export function freeShare(capacity: Resources & { total: Resources }): number {
  const { total } = capacity;
  const gpus = total.gpus > 0 ? capacity.gpus / total.gpus : 1;
  const cores = total.cores > 0 ? capacity.cores / total.cores : 1;
  return Math.max(0, Math.min(gpus, cores));
}

/** An image that more tasks are expected to want soon. */
export interface HotImage {
  image: string;
  gb: number;
  spec: JobSpec;
  /** Tasks expected within the time that a new machine takes. */
  expected: number;
}

/**
 * What taking this place would cost those to come: seconds of fetching that tasks would be spared
 * here, where their image is cached, if it still had room for them.
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
    // One place serves one of them at a time.
    costS += Math.min(1, hotImage.expected) * capacity.fetchS(hotImage.gb);
  }
  return costS;
}

/** What places cost, in seconds. */
export interface PlacementWeights {
  /** Seconds that work which may run on spot machines rather waits than to take an ordinary one. */
  ordinaryCostS: number;
  /** Seconds that a wholly empty machine costs against a full one. */
  emptyCostS: number;
  hotImages?: HotImage[];
  /** Seconds by which a task had better be placed there, for reasons outside of placing. */
  preferenceS?: (spec: JobSpec, capacity: FreeCapacity) => number;
}

/** In seconds. What cannot be below `bound` is not reckoned to its end: the dear part comes last. */
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

/** The machine on which a task costs least, or null: it fits nowhere that it may use. Takes nothing. */
export function bestFit(
  spec: JobSpec,
  capacities: Iterable<FreeCapacity>,
  constraints: PlacementConstraints,
  weights: PlacementWeights,
): FreeCapacity | null {
  let best: FreeCapacity | null = null;
  let bestCostS = Infinity;
  for (const capacity of capacities) {
    if (!fits(spec, capacity) || !isAllowedOn(spec, capacity)) continue;
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

/** Takes a task's resources from what is free. */
export function allocate(spec: Resources, capacity: Resources): void {
  capacity.cores -= spec.cores;
  capacity.gpus -= spec.gpus;
  capacity.memGb -= spec.memGb;
}

/** Gives a task's resources back to what is free. */
export function release(spec: Resources, capacity: Resources): void {
  capacity.cores += spec.cores;
  capacity.gpus += spec.gpus;
  capacity.memGb += spec.memGb;
}

/** All tasks of a gang or none: machines in the order of the tasks. What they take is taken when it fits. */
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
 * The share of a machine type that is held for long work while it waits, capped at what that work
 * can use now; lent to everybody when none waits.
 */
export function reservedForLongWork(capacity: number, rho: number, wanted: number): number {
  return Math.min(capacity * rho, wanted);
}
