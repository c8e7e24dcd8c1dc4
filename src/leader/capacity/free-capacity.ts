/** What is free on each machine of a term, kept up to date at little cost. */

import type { JobSpec, MachineType, Size } from '../../jobs/types.js';
import {
  freeShare,
  putBack,
  type HotImage,
  type FreeCapacity,
} from '../../scheduler/bin-packing.js';
import { Usages } from '../../scheduler/quota.js';
import { occupiesCapacity } from '../../workers/attempt.js';
import type { Machine } from '../../workers/machine.js';
import type { Term } from '../term/term.js';

/** What does not change within a pass about a machine; shared by all copies of its free capacity. */
interface MachineFacts {
  readonly id: string;
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
  readonly whole: Size;
  /** Images that are cached there or were used there. */
  readonly cached: Set<string>;
  /** Images that are being fetched there, and their sizes in GB. */
  readonly fetching: Map<string, number>;
  /** Images of tasks that run there. */
  readonly running: Set<string>;
  /** So little was fetched that no image can have been dropped. */
  readonly keepsAll: boolean;
  readonly fetchGbPerS: number;
  /** The hot images that were asked for last, and those of them that are cached there. */
  hotFor: HotImage[] | null;
  hotHere: HotImage[];
}

/** What is free on a machine that reports. Copies are cheap: a pass takes from copies. */
class MachineFreeCapacity implements FreeCapacity {
  readonly id: string;
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
  readonly whole: Size;
  penaltyS = 0;
  /** Share of the machine taken by work that leaves as soon as it is told to. */
  softShare = 0;

  constructor(
    private readonly facts: MachineFacts,
    public cores: number,
    public gpus: number,
    public memGb: number,
  ) {
    this.id = facts.id;
    this.type = facts.type;
    this.zone = facts.zone;
    this.spot = facts.spot;
    this.whole = facts.whole;
  }

  copy(penaltyS: number): MachineFreeCapacity {
    const copy = new MachineFreeCapacity(this.facts, this.cores, this.gpus, this.memGb);
    copy.penaltyS = penaltyS;
    copy.softShare = this.softShare;
    return copy;
  }

  fetchS(gb: number): number {
    return gb / this.facts.fetchGbPerS;
  }

  hasImage(image: string): boolean {
    const { running, cached, keepsAll } = this.facts;
    return running.has(image) || (keepsAll && cached.has(image));
  }

  imageWaitS(image: string, gb: number): number {
    const { cached, fetching, fetchGbPerS } = this.facts;
    if (cached.has(image)) return 0;
    if (fetching.has(image)) return (gb / fetchGbPerS) * 0.5 * fetching.size;
    return (gb / fetchGbPerS) * (1 + fetching.size);
  }

  hotHere(hot: HotImage[]): HotImage[] {
    const { facts } = this;
    if (facts.hotFor !== hot) {
      facts.hotFor = hot;
      facts.hotHere = hot.filter((hotImage) => facts.cached.has(hotImage.image));
    }
    return facts.hotHere;
  }
}

/** Of the cache, the share up to which nothing is dropped for certain. */
const SURE_SHARE = 0.8;

interface Entry {
  version: number;
  type: MachineType;
  room: MachineFreeCapacity;
  /** One spec for each attempt that holds room. */
  held: JobSpec[];
  /** Work that is not best effort is on it. */
  inUse: boolean;
}

/**
 * What is free on all machines, and what their teams use. A machine is looked at again only after
 * something on it has changed: with some hundred machines and a pass many times a second, reckoning
 * all of them anew in each took most of a controller's share of a core.
 */
export class FreeCapacityIndex {
  private readonly entries = new Map<string, Entry>();

  constructor(
    private readonly term: Term,
    private readonly specOf: (job: string) => JobSpec | null,
    private readonly leaves: (spec: JobSpec) => boolean,
  ) {}

  /** Null while a job on the machine is unknown here: what it takes cannot be told. */
  private entry(machine: Machine): Entry | null {
    const type = this.term.machineTypes.get(machine.type);
    if (type === undefined) return null;
    const known = this.entries.get(machine.id);
    if (known !== undefined && known.version === machine.changeCount && known.type === type)
      return known;
    const made = this.make(machine, type);
    if (made === null) this.entries.delete(machine.id);
    else this.entries.set(machine.id, made);
    return made;
  }

  private make(machine: Machine, type: MachineType): Entry | null {
    let { cores, gpus, memGb } = type;
    const facts: MachineFacts = {
      id: machine.id,
      type: machine.type,
      zone: machine.zone,
      spot: machine.spot,
      whole: type,
      cached: new Set(machine.images.keys()),
      fetching: new Map(),
      running: new Set(),
      keepsAll: machine.fetchedGb <= type.cacheGb * SURE_SHARE,
      fetchGbPerS: Math.max(type.fetchGbPerS, 1e-9),
      hotFor: null,
      hotHere: [],
    };
    const held: JobSpec[] = [];
    let inUse = false;
    const soft: Size = { cores: 0, gpus: 0, memGb: 0 };
    for (const attempt of machine.attempts.values()) {
      if (!occupiesCapacity(attempt)) continue;
      const spec = this.specOf(attempt.job);
      if (spec === null) return null;
      held.push(spec);
      cores -= spec.cores;
      gpus -= spec.gpus;
      memGb -= spec.memGb;
      inUse ||= spec.priority < 3;
      if (attempt.stopRequest === null && this.leaves(spec)) putBack(spec, soft);
      if (attempt.state === 'running' && attempt.stopRequest === null)
        facts.running.add(spec.image);
      if (attempt.startedAt !== null) facts.cached.add(spec.image);
      else if (!facts.cached.has(spec.image)) facts.fetching.set(spec.image, spec.imageGb);
    }
    const room = new MachineFreeCapacity(facts, cores, gpus, memGb);
    const free = freeShare(room);
    putBack(room, soft);
    room.softShare = freeShare({ ...soft, whole: type }) - free;
    return { version: machine.changeCount, type, room, held, inUse };
  }

  /** Copies for those machines that may be used now: a pass takes from them. */
  rooms(usable: (machine: Machine) => boolean): FreeCapacity[] {
    const out: FreeCapacity[] = [];
    for (const machine of this.term.machines.values()) {
      if (!usable(machine)) continue;
      const e = this.entry(machine);
      if (e !== null) out.push(e.room.copy(machine.cordonCount));
    }
    if (this.entries.size > this.term.machines.size * 2) {
      for (const id of [...this.entries.keys()]) {
        if (!this.term.machines.has(id)) this.entries.delete(id);
      }
    }
    return out;
  }

  /** What teams' tasks use, wherever they may be. */
  usages(): Usages {
    const usages = new Usages(this.term.context.settings.teams);
    for (const machine of this.term.machines.values()) {
      const e = this.entry(machine);
      if (e !== null) {
        for (const spec of e.held) usages.add(spec, 1);
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
  eventual(id: string): Size | null {
    const entry = this.entries.get(id);
    if (entry === undefined) return null;
    const { cores, gpus, memGb } = entry.type;
    const left = { cores, gpus, memGb };
    for (const spec of entry.held) {
      if (spec.kind !== 'service') continue;
      left.cores -= spec.cores;
      left.gpus -= spec.gpus;
      left.memGb -= spec.memGb;
    }
    return left;
  }

  inUse(id: string): boolean {
    return this.entries.get(id)?.inUse ?? false;
  }
}

/** Free capacity in machines. What is taken by work that leaves at once counts as free. */
export function freeMachines(rooms: FreeCapacity[], spot: boolean): number {
  let free = 0;
  for (const capacity of rooms)
    if (capacity.spot === spot) free += freeShare(capacity) + (capacity.softShare ?? 0);
  return free;
}
