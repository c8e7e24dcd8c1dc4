import { fits, scatterCap, type JobSpec, type Size } from '../jobs/types.js';

/** The free capacity of a machine, as placing sees it, and what a start there would wait for. */
export interface FreeCapacity extends Size {
  id: string;
  type: string;
  zone: string;
  spot: boolean;
  /** Seconds until the image would be there: 0 when it is cached. */
  imageWaitS(image: string, gb: number): number;
  /** It is there for certain: a task with it runs there, or nothing was ever dropped there. */
  hasImage(image: string): boolean;
  /** Seconds that fetching so much takes alone. */
  fetchS(gb: number): number;
  /** Added to the cost, for machines that have proved slow or doubtful. */
  penaltyS: number;
  /** GPUs or, without any, cores of the whole machine. */
  whole: Size;
  /** Share of the machine taken by work that leaves as soon as it is told to. */
  softShare?: number;
  /** Those of the hot images that are cached there, when that is known at less cost. */
  hotHere?(hot: HotImage[]): HotImage[];
}

/** To try something out. It may be of a class: a spread of it would lose its methods. */
export const copyFreeCapacity = (capacity: FreeCapacity): FreeCapacity =>
  Object.assign(Object.create(Object.getPrototypeOf(capacity) as object) as FreeCapacity, capacity);

export interface Where {
  /** Tasks of the job in each zone at this moment. */
  zones: Map<string, number>;
  /** Machines on which the job's tasks must not be placed. */
  avoid?: Set<string>;
  /** Machines that this job may use at present; every one when it is not given. */
  may?: (room: FreeCapacity) => boolean;
}

export function allowed(
  spec: JobSpec,
  room: { type: string; zone: string; spot: boolean },
): boolean {
  if (spec.types !== null && !spec.types.includes(room.type)) return false;
  if (spec.zone !== null && spec.zone !== room.zone) return false;
  return spec.spot || !room.spot;
}

export function zoneAllowed(spec: JobSpec, zone: string, zones: Map<string, number>): boolean {
  if (spec.oneZone) {
    for (const [z, n] of zones) if (n > 0 && z !== zone) return false;
  }
  if (spec.scatter && (zones.get(zone) ?? 0) >= scatterCap(spec.tasks)) return false;
  return true;
}

/** Share of the machine that stays free, by its scarcer resource. */
function leftover(spec: Size, room: FreeCapacity): number {
  const { whole } = room;
  const gpus = whole.gpus > 0 ? (room.gpus - spec.gpus) / whole.gpus : Infinity;
  const cores = whole.cores > 0 ? (room.cores - spec.cores) / whole.cores : Infinity;
  const least = Math.min(gpus, cores);
  return least === Infinity ? 0 : least;
}

/** Share of a machine that is free, by its scarcer resource: no GPU left is no room left. */
export function freeShare(room: Size & { whole: Size }): number {
  const { whole } = room;
  const gpus = whole.gpus > 0 ? room.gpus / whole.gpus : 1;
  const cores = whole.cores > 0 ? room.cores / whole.cores : 1;
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
export function opportunity(spec: JobSpec, room: FreeCapacity, hot: HotImage[]): number {
  let lost = 0;
  let after: Size | null = null;
  for (const hotImage of room.hotHere?.(hot) ?? hot) {
    if (
      hotImage.image === spec.image ||
      (room.spot && !hotImage.spec.spot) ||
      !fits(hotImage.spec, room)
    )
      continue;
    after ??= {
      cores: room.cores - spec.cores,
      gpus: room.gpus - spec.gpus,
      memGb: room.memGb - spec.memGb,
    };
    if (fits(hotImage.spec, after) || room.imageWaitS(hotImage.image, hotImage.gb) > 0) continue;
    // One place serves one of them at a time.
    lost += Math.min(1, hotImage.expected) * room.fetchS(hotImage.gb);
  }
  return lost;
}

export interface Weights {
  /** Seconds that work which may run on spot machines rather waits than to take an ordinary one. */
  ordinaryS: number;
  /** Seconds that a wholly empty machine costs against a full one. */
  spreadS: number;
  hot?: HotImage[];
  /** Seconds by which a task had better be placed there, for reasons outside of placing. */
  preferenceS?: (spec: JobSpec, room: FreeCapacity) => number;
}

/** In seconds. What cannot be below `bound` is not reckoned to its end: the dear part comes last. */
export function cost(
  spec: JobSpec,
  room: FreeCapacity,
  weights: Weights,
  bound = Infinity,
): number {
  const own =
    room.imageWaitS(spec.image, spec.imageGb) +
    (spec.spot && !room.spot ? weights.ordinaryS : 0) +
    leftover(spec, room) * weights.spreadS +
    room.penaltyS -
    (weights.preferenceS?.(spec, room) ?? 0);
  if (weights.hot === undefined || own >= bound) return own;
  return own + opportunity(spec, room, weights.hot);
}

/** The machine on which a task costs least, or null: it fits nowhere that it may use. Takes nothing. */
export function bestFit(
  spec: JobSpec,
  rooms: Iterable<FreeCapacity>,
  where: Where,
  weights: Weights,
): FreeCapacity | null {
  let best: FreeCapacity | null = null;
  let bestCost = Infinity;
  for (const room of rooms) {
    if (!fits(spec, room) || !allowed(spec, room)) continue;
    if (where.avoid?.has(room.id) === true) continue;
    if (!zoneAllowed(spec, room.zone, where.zones)) continue;
    if (where.may !== undefined && !where.may(room)) continue;
    const c = cost(spec, room, weights, bestCost);
    if (c < bestCost) {
      best = room;
      bestCost = c;
    }
  }
  return best;
}

export function take(spec: Size, room: Size): void {
  room.cores -= spec.cores;
  room.gpus -= spec.gpus;
  room.memGb -= spec.memGb;
}

export function putBack(spec: Size, room: Size): void {
  room.cores += spec.cores;
  room.gpus += spec.gpus;
  room.memGb += spec.memGb;
}

/** All tasks of a gang or none: machines in the order of the tasks. What they take is taken when it fits. */
export function placeGang(
  spec: JobSpec,
  rooms: FreeCapacity[],
  where: Where,
  weights: Weights,
): FreeCapacity[] | null {
  const zones = spec.oneZone ? [...new Set(rooms.map((capacity) => capacity.zone))] : [null];
  let best: FreeCapacity[] | null = null;
  let bestCost = Infinity;
  for (const zone of zones) {
    const inZone = zone === null ? rooms : rooms.filter((capacity) => capacity.zone === zone);
    const counts = new Map(where.zones);
    const got: FreeCapacity[] = [];
    let total = 0;
    for (let i = 0; i < spec.tasks; i++) {
      const room = bestFit(spec, inZone, { ...where, zones: counts }, weights);
      if (room === null) break;
      total = Math.max(total, cost(spec, room, weights));
      take(spec, room);
      counts.set(room.zone, (counts.get(room.zone) ?? 0) + 1);
      got.push(room);
    }
    for (const room of got) putBack(spec, room);
    if (got.length === spec.tasks && total < bestCost) {
      best = got;
      bestCost = total;
    }
  }
  for (const room of best ?? []) take(spec, room);
  return best;
}

/**
 * The share of a machine type that is held for long work while it waits, capped at what that work
 * can use now; lent to everybody when none waits.
 */
export function reserved(capacity: number, rho: number, longWanted: number): number {
  return Math.min(capacity * rho, longWanted);
}
