/** What is free on each machine of a term, kept up to date at little cost. */

import type { JobSpec, MachineType, Resources } from '../../jobs/types.js';
import {
  freeShare,
  release,
  type HotImage,
  type FreeCapacity,
} from '../../scheduler/bin-packing.js';
import { TeamUsages } from '../../scheduler/quota.js';
import { occupiesCapacity } from '../../workers/attempt.js';
import type { Machine } from '../../workers/machine.js';
import type { Term } from '../term/term.js';

/** What does not change within a scheduling cycle about a machine; shared by all copies of its free capacity. */
interface MachineDetails {
  readonly id: string;
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
  readonly total: Resources;
  /** Images that are cached there or were used there. */
  readonly cached: Set<string>;
  /** Images that are being fetched there, and their sizes in GB. */
  readonly fetching: Map<string, number>;
  /** Images of tasks that run there. */
  readonly running: Set<string>;
  /** So little was fetched that no image can have been dropped. */
  readonly nothingDropped: boolean;
  readonly fetchGbPerS: number;
  /** The hot images that were asked for last, and those of them that are cached there. */
  hotImages: HotImage[] | null;
  cachedHotImages: HotImage[];
}

/** What is free on a machine that heartbeats. Copies are cheap: a scheduling cycle takes from copies. */
class MachineFreeCapacity implements FreeCapacity {
  readonly id: string;
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
  readonly total: Resources;
  penaltyS = 0;
  /** Share of the machine taken by work that leaves as soon as it is told to. */
  quicklyFreedShare = 0;

  constructor(
    private readonly facts: MachineDetails,
    public cores: number,
    public gpus: number,
    public memGb: number,
  ) {
    this.id = facts.id;
    this.type = facts.type;
    this.zone = facts.zone;
    this.spot = facts.spot;
    this.total = facts.total;
  }

  /** A copy that a scheduling cycle may allocate from. */
  copy(penaltyS: number): MachineFreeCapacity {
    const copy = new MachineFreeCapacity(this.facts, this.cores, this.gpus, this.memGb);
    copy.penaltyS = penaltyS;
    copy.quicklyFreedShare = this.quicklyFreedShare;
    return copy;
  }

  /** See `FreeCapacity.fetchS`. */
  fetchS(gb: number): number {
    return gb / this.facts.fetchGbPerS;
  }

  /** See `FreeCapacity.hasImage`. */
  hasImage(image: string): boolean {
    const { running, cached, nothingDropped } = this.facts;
    return running.has(image) || (nothingDropped && cached.has(image));
  }

  /** See `FreeCapacity.imageDelayS`. */
  imageDelayS(image: string, gb: number): number {
    const { cached, fetching, fetchGbPerS } = this.facts;
    if (cached.has(image)) return 0;
    if (fetching.has(image)) return (gb / fetchGbPerS) * 0.5 * fetching.size;
    return (gb / fetchGbPerS) * (1 + fetching.size);
  }

  /** See `FreeCapacity.cachedHotImages`. */
  cachedHotImages(hot: HotImage[]): HotImage[] {
    const { facts } = this;
    if (facts.hotImages !== hot) {
      facts.hotImages = hot;
      facts.cachedHotImages = hot.filter((hotImage) => facts.cached.has(hotImage.image));
    }
    return facts.cachedHotImages;
  }
}

/** Of the cache, the share up to which nothing is dropped for certain. */
const CERTAIN_SHARE = 0.8;

interface MachineEntry {
  changeCount: number;
  type: MachineType;
  capacity: MachineFreeCapacity;
  /** One spec for each attempt that holds capacity. */
  specs: JobSpec[];
  /** Work that is not best effort is on it. */
  hasImportantWork: boolean;
}

/**
 * What is free on all machines, and what their teams use. A machine is looked at again only after
 * something on it has changed: with some hundred machines and a scheduling cycle many times a second, reckoning
 * all of them anew in each took most of a controller's share of a core.
 */
export class FreeCapacityIndex {
  private readonly entries = new Map<string, MachineEntry>();

  constructor(
    private readonly term: Term,
    private readonly specOf: (job: string) => JobSpec | null,
    private readonly stopsQuickly: (spec: JobSpec) => boolean,
  ) {}

  /** Null while a job on the machine is unknown here: what it takes cannot be told. */
  private entry(machine: Machine): MachineEntry | null {
    const type = this.term.machineTypes.get(machine.type);
    if (type === undefined) return null;
    const known = this.entries.get(machine.id);
    if (known !== undefined && known.changeCount === machine.changeCount && known.type === type)
      return known;
    const made = this.make(machine, type);
    if (made === null) this.entries.delete(machine.id);
    else this.entries.set(machine.id, made);
    return made;
  }

  private make(machine: Machine, type: MachineType): MachineEntry | null {
    let { cores, gpus, memGb } = type;
    const facts: MachineDetails = {
      id: machine.id,
      type: machine.type,
      zone: machine.zone,
      spot: machine.spot,
      total: type,
      cached: new Set(machine.images.names()),
      fetching: new Map(),
      running: new Set(),
      nothingDropped: machine.images.fetchedGb <= type.cacheGb * CERTAIN_SHARE,
      fetchGbPerS: Math.max(type.fetchGbPerS, 1e-9),
      hotImages: null,
      cachedHotImages: [],
    };
    const specs: JobSpec[] = [];
    let hasImportantWork = false;
    const soft: Resources = { cores: 0, gpus: 0, memGb: 0 };
    for (const attempt of machine.attempts.values()) {
      if (!occupiesCapacity(attempt)) continue;
      const spec = this.specOf(attempt.job);
      if (spec === null) return null;
      specs.push(spec);
      cores -= spec.cores;
      gpus -= spec.gpus;
      memGb -= spec.memGb;
      hasImportantWork ||= spec.priority < 3;
      if (attempt.stopRequest === null && this.stopsQuickly(spec)) release(spec, soft);
      if (attempt.state === 'running' && attempt.stopRequest === null)
        facts.running.add(spec.image);
      if (attempt.startedAt !== null) facts.cached.add(spec.image);
      else if (!facts.cached.has(spec.image)) facts.fetching.set(spec.image, spec.imageGb);
    }
    const capacity = new MachineFreeCapacity(facts, cores, gpus, memGb);
    const free = freeShare(capacity);
    release(capacity, soft);
    capacity.quicklyFreedShare = freeShare({ ...soft, total: type }) - free;
    return { changeCount: machine.changeCount, type, capacity, specs, hasImportantWork };
  }

  /** Copies for those machines that may be used now: a scheduling cycle takes from them. */
  capacities(usable: (machine: Machine) => boolean): FreeCapacity[] {
    const out: FreeCapacity[] = [];
    for (const machine of this.term.machines.values()) {
      if (!usable(machine)) continue;
      const entry = this.entry(machine);
      if (entry !== null) out.push(entry.capacity.copy(machine.condition.cordonCount));
    }
    if (this.entries.size > this.term.machines.size * 2) {
      for (const id of [...this.entries.keys()]) {
        if (!this.term.machines.has(id)) this.entries.delete(id);
      }
    }
    return out;
  }

  /** What teams' tasks use, wherever they may be. */
  usages(): TeamUsages {
    const usages = new TeamUsages(this.term.context.settings.teams);
    for (const machine of this.term.machines.values()) {
      const entry = this.entry(machine);
      if (entry !== null) {
        for (const spec of entry.specs) usages.add(spec, 1);
        continue;
      }
      for (const attempt of machine.attempts.values()) {
        const spec = occupiesCapacity(attempt) ? this.specOf(attempt.job) : null;
        if (spec !== null) usages.add(spec, 1);
      }
    }
    return usages;
  }

  /** What is free on a machine once all but its services has ended. */
  capacityWithoutFiniteWork(id: string): Resources | null {
    const entry = this.entries.get(id);
    if (entry === undefined) return null;
    const { cores, gpus, memGb } = entry.type;
    const left = { cores, gpus, memGb };
    for (const spec of entry.specs) {
      if (spec.kind !== 'service') continue;
      left.cores -= spec.cores;
      left.gpus -= spec.gpus;
      left.memGb -= spec.memGb;
    }
    return left;
  }

  /** Whether work that is not best effort is on the machine. */
  hasImportantWork(id: string): boolean {
    return this.entries.get(id)?.hasImportantWork ?? false;
  }
}

/** Free capacity in machines. What is taken by work that leaves at once counts as free. */
export function freeMachines(capacities: FreeCapacity[], spot: boolean): number {
  let free = 0;
  for (const capacity of capacities)
    if (capacity.spot === spot) free += freeShare(capacity) + (capacity.quicklyFreedShare ?? 0);
  return free;
}
