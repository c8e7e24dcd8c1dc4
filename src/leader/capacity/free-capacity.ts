/** Index of the free capacity of each machine of a term, updated incrementally. */

import type { JobSpec, MachineType } from '../../jobs/types.js';
import type { HotImage, FreeCapacity } from '../../scheduler/bin-packing.js';
import {
  allocate,
  copyRoom,
  freeShare,
  noRoom,
  release,
  sumOfRoom,
  type Room,
} from '../../scheduler/room.js';
import { TeamUsages } from '../../scheduler/quota.js';
import { occupiesCapacity } from '../../workers/attempt.js';
import type { Machine } from '../../workers/machine.js';
import { FAILURE_WINDOW_LEASES } from '../attempts/job-health.js';
import type { Term } from '../term/term.js';
import type { TaskSlots } from './task-slots.js';

/** Properties of a machine that are constant within a scheduling cycle; shared by all copies of its free capacity. */
interface MachineDetails {
  readonly id: string;
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
  readonly total: Room;
  /** Images that are believed to be cached, including those of tasks that have started. */
  readonly cached: Set<string>;
  /** Images that are being fetched there, with their sizes in GB. */
  readonly fetching: Map<string, number>;
  /** Images of running tasks. */
  readonly running: Set<string>;
  /** Whether so little was fetched that no image can have been evicted from the cache. */
  readonly nothingEvicted: boolean;
  readonly fetchGbPerS: number;
  /** Argument of the last call of `cachedHotImages`, and its result. */
  hotImages: HotImage[] | null;
  cachedHotImages: HotImage[];
}

/** Free capacity of a machine. Copies are cheap: a scheduling cycle allocates from copies. */
class MachineFreeCapacity implements FreeCapacity {
  readonly id: string;
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
  readonly total: Room;
  cores: number;
  gpus: number;
  memGb: number;
  taskSlots: number;
  penaltyS = 0;
  /** Share of the machine that is occupied by work which ends quickly when it is stopped. */
  quicklyFreedShare = 0;

  constructor(
    private readonly details: MachineDetails,
    room: Room,
  ) {
    this.cores = room.cores;
    this.gpus = room.gpus;
    this.memGb = room.memGb;
    this.taskSlots = room.taskSlots;
    this.id = details.id;
    this.type = details.type;
    this.zone = details.zone;
    this.spot = details.spot;
    this.total = details.total;
  }

  /** A copy that a scheduling cycle may allocate from. */
  copy(penaltyS: number, taskSlots: number): MachineFreeCapacity {
    const copy = new MachineFreeCapacity(this.details, this);
    copy.taskSlots = taskSlots;
    copy.penaltyS = penaltyS;
    copy.quicklyFreedShare = this.quicklyFreedShare;
    return copy;
  }

  /** See `FreeCapacity.fetchS`. */
  fetchS(gb: number): number {
    return gb / this.details.fetchGbPerS;
  }

  /** See `FreeCapacity.hasImage`. */
  hasImage(image: string): boolean {
    const { running, cached, nothingEvicted } = this.details;
    return running.has(image) || (nothingEvicted && cached.has(image));
  }

  /** See `FreeCapacity.imageDelayS`. */
  imageDelayS(image: string, gb: number): number {
    const { cached, fetching, fetchGbPerS } = this.details;
    if (cached.has(image)) return 0;
    if (fetching.has(image)) return (gb / fetchGbPerS) * 0.5 * fetching.size;
    return (gb / fetchGbPerS) * (1 + fetching.size);
  }

  /** See `FreeCapacity.cachedHotImages`. */
  cachedHotImages(hot: HotImage[]): HotImage[] {
    const { details } = this;
    if (details.hotImages !== hot) {
      details.hotImages = hot;
      details.cachedHotImages = hot.filter((hotImage) => details.cached.has(hotImage.image));
    }
    return details.cachedHotImages;
  }
}

/** While no more than this share of the image cache was fetched, certainly nothing was evicted. */
const NO_EVICTION_CACHE_SHARE = 0.8;

/** Cost of a placement on a machine for each of its recent cordons, in seconds. */
const PENALTY_S_PER_FAILURE = 1;

interface MachineEntry {
  changeCount: number;
  type: MachineType;
  capacity: MachineFreeCapacity;
  /** One spec for each attempt that occupies capacity. */
  specs: JobSpec[];
  /** Whether work above best effort is on it. */
  hasImportantWork: boolean;
}

function machineDetails(machine: Machine, type: MachineType, total: Room): MachineDetails {
  return {
    id: machine.id,
    type: machine.type,
    zone: machine.zone,
    spot: machine.spot,
    total,
    cached: new Set(machine.images.names()),
    fetching: new Map(),
    running: new Set(),
    nothingEvicted: machine.images.fetchedGb <= type.cacheGb * NO_EVICTION_CACHE_SHARE,
    fetchGbPerS: Math.max(type.fetchGbPerS, 1e-9),
    hotImages: null,
    cachedHotImages: [],
  };
}

/** Dependencies of `FreeCapacityIndex`. */
export interface FreeCapacityOptions {
  term: Term;
  taskSlots: TaskSlots;
  /** Null: the job is unknown to this controller. */
  specOf: (job: string) => JobSpec | null;
  /** See `stopsQuickly` of the service level objectives. */
  stopsQuickly: (spec: JobSpec) => boolean;
}

/**
 * Free capacity of all machines, and the usage of all teams. The entry of a machine is recomputed only after
 * something on the machine has changed: with several hundred machines and many scheduling cycles a second, computing
 * all entries in each cycle took most of a controller's share of a core.
 */
export class FreeCapacityIndex {
  private readonly entries = new Map<string, MachineEntry>();

  constructor(private readonly options: FreeCapacityOptions) {}

  /** Null while a job on the machine is unknown to this controller, since its resources are unknown too. */
  private entry(machine: Machine): MachineEntry | null {
    const type = this.options.term.machineTypes.get(machine.type);
    if (type === undefined) return null;
    const cached = this.entries.get(machine.id);
    if (cached !== undefined && cached.changeCount === machine.changeCount && cached.type === type)
      return cached;
    const entry = this.make(machine, type);
    if (entry === null) this.entries.delete(machine.id);
    else this.entries.set(machine.id, entry);
    return entry;
  }

  private make(machine: Machine, type: MachineType): MachineEntry | null {
    const { taskSlots, specOf, stopsQuickly } = this.options;
    const { cores, gpus, memGb } = type;
    const total: Room = { cores, gpus, memGb, taskSlots: taskSlots.ofEmptyMachine() };
    const free: Room = { cores, gpus, memGb, taskSlots: 0 };
    const details = machineDetails(machine, type, total);
    const specs: JobSpec[] = [];
    let hasImportantWork = false;
    const quicklyFreed = noRoom();
    for (const attempt of machine.attempts.values()) {
      if (!occupiesCapacity(attempt)) continue;
      const spec = specOf(attempt.job);
      if (spec === null) return null;
      specs.push(spec);
      allocate(spec, free);
      hasImportantWork ||= spec.priority < 3;
      if (attempt.stopRequest === null && stopsQuickly(spec)) release(spec, quicklyFreed);
      if (attempt.state === 'running' && attempt.stopRequest === null)
        details.running.add(spec.image);
      if (attempt.startedAt !== null) details.cached.add(spec.image);
      else if (!details.cached.has(spec.image)) details.fetching.set(spec.image, spec.imageGb);
    }
    // Not by subtraction: tasks that have ended keep their slots until the worker has forgotten them.
    free.taskSlots = taskSlots.freeOn(machine);
    const capacity = new MachineFreeCapacity(details, free);
    capacity.quicklyFreedShare =
      freeShare({ ...sumOfRoom(free, quicklyFreed), total }) - freeShare(capacity);
    return { changeCount: machine.changeCount, type, capacity, specs, hasImportantWork };
  }

  /** Copies of the capacities of all usable machines, for a scheduling cycle to allocate from. */
  capacities(usable: (machine: Machine) => boolean): FreeCapacity[] {
    const out: FreeCapacity[] = [];
    const { term, taskSlots } = this.options;
    const { lease_s } = term.context.settings.workers;
    const windowStart = term.now - lease_s * FAILURE_WINDOW_LEASES;
    for (const machine of term.machines.values()) {
      if (!usable(machine)) continue;
      const entry = this.entry(machine);
      if (entry === null) continue;
      const penaltyS = machine.condition.cordon.failuresSince(windowStart) * PENALTY_S_PER_FAILURE;
      out.push(entry.capacity.copy(penaltyS, taskSlots.freeOn(machine)));
    }
    if (this.entries.size > term.machines.size * 2) {
      for (const id of [...this.entries.keys()]) {
        if (!term.machines.has(id)) this.entries.delete(id);
      }
    }
    return out;
  }

  /** Resources used by each team's tasks on all machines. */
  usages(): TeamUsages {
    const { term, specOf } = this.options;
    const usages = new TeamUsages(term.context.settings.teams);
    for (const machine of term.machines.values()) {
      const entry = this.entry(machine);
      if (entry !== null) {
        for (const spec of entry.specs) usages.add(spec, 1);
        continue;
      }
      for (const attempt of machine.attempts.values()) {
        const spec = occupiesCapacity(attempt) ? specOf(attempt.job) : null;
        if (spec !== null) usages.add(spec, 1);
      }
    }
    return usages;
  }

  /** Room on a machine once all its work except services has ended; null: not known. */
  roomWithoutFiniteWork(id: string): Room | null {
    const entry = this.entries.get(id);
    if (entry === undefined) return null;
    const left = copyRoom(entry.capacity.total);
    for (const spec of entry.specs) if (spec.kind === 'service') allocate(spec, left);
    return left;
  }

  /** Whether work above best effort is on the machine. */
  hasImportantWork(id: string): boolean {
    return this.entries.get(id)?.hasImportantWork ?? false;
  }
}

/** Free capacity, in machines. Capacity of work that ends quickly when stopped counts as free. */
export function freeMachines(capacities: FreeCapacity[], spot: boolean): number {
  let free = 0;
  for (const capacity of capacities)
    if (capacity.spot === spot) free += freeShare(capacity) + (capacity.quicklyFreedShare ?? 0);
  return free;
}
