import { unit, type Arrivals } from '../cloud/arrivals.js';
import type { CloudClient } from '../cloud/client.js';
import { Fleet, type FleetHost } from '../cloud/fleet.js';
import { comingCapacity, planRent, type Demand, type Wanted } from '../cloud/plan.js';
import type { LiveJob } from '../jobs/live.js';
import type { MachineType } from '../jobs/types.js';
import type { FreeCapacity } from '../scheduler/place.js';
import { MIN_CHARGE_S, RENT_MAX, type ListedMachine } from '../wire/cloud.js';
import { holds } from '../workers/attempt.js';
import type { Machine } from '../workers/machine.js';
import { freeMachines } from './free-capacity.js';
import type { Scheduler } from './scheduler.js';
import type { Term } from './term.js';

/** A machine that takes so many boots may never come: not counted on. */
const LATE_BOOTS = 2.5;
/** It never will, and is given back: one still booting, and one that runs but does not report. */
const NEVER_BOOTS = { booting: 6, running: 4, failed: 0 } as const;
/** A silent machine may come back for so many leases; then it is given back. */
const SILENT_LEASES = 4;
/** Right after a change of leader the picture is not whole: for so many leases. */
const SETTLE_LEASES = 2;
/** Free machines above the reserve from which one goes back, and from which it goes early. */
const SURPLUS = 1.2;
const MUCH_SURPLUS = 2.5;
/** How long it must have been idle, in boots: as a rule, and when it goes early. */
const IDLE_BOOTS = 1;
const IDLE_EARLY_BOOTS = 0.4;
/** Leases between two machines that are emptied: as a rule, and while there is much room too much. */
const EMPTY_SELDOM = 0.5;
const EMPTY_OFTEN = 0.2;
/**
 * A machine that has been silent for this share of a lease will hardly be back in time. What must be
 * started elsewhere once its lease has run out needs a boot: that begins now.
 */
const MISSED_LEASE = 0.4;
/** When more of the fleet than this is silent, it is this controller that hears nothing. */
const MISSED_MOST = 0.5;
/** Warm machines rented at once, at most: so many, or this share of what is kept. */
const WARM_AT_ONCE = 4;
const WARM_SHARE = 0.25;

/** Keeps the fleet of a term as large as it should be: what to rent, what to give back. */
export class CapacityManager implements FleetHost {
  readonly fleet: Fleet;
  demand: Demand[] = [];
  rooms: FreeCapacity[] = [];
  private readonly failedListed = new Set<string>();
  private readonly neverCame = new Set<string>();
  private lastListed = new Set<string>();
  private consolidatedAt = -Infinity;

  constructor(
    private readonly term: Term,
    cloud: CloudClient,
    private readonly scheduler: () => Scheduler,
    private readonly arrivals: Arrivals,
    private readonly forget: (m: Machine) => void,
    readonly onTypes: (types: MachineType[]) => void,
  ) {
    const { deps } = term;
    this.fleet = new Fleet(
      `${deps.incarnation}-${deps.token}`,
      cloud,
      this,
      deps.settings.cloud.list_lag_s,
      (type) => term.types.get(type)?.bootS ?? deps.settings.workers.lease_s,
      deps.clock,
      deps.log,
    );
  }

  entitled(): boolean {
    return this.term.deps.entitled();
  }

  known(id: string): boolean {
    return this.term.machines.has(id);
  }

  spotShort(type: string): boolean {
    const t = this.term.types.get(type);
    return t === undefined || t.zones.every((z) => this.fleet.short(type, z, true));
  }

  /** Free room that is kept, in machines. With nothing to do there is nothing to be warm for. */
  target(spot: boolean): number {
    return this.term.jobs.size === 0 ? 0 : this.arrivals.target(spot);
  }

  /** Not even in the cloud's list any more. */
  unlisted(id: string): boolean {
    return this.fleet.listedOnce && !this.lastListed.has(id);
  }

  // Renting

  private comingRooms(): FreeCapacity[] {
    const now = this.term.now;
    const rooms: FreeCapacity[] = [];
    for (const c of this.fleet.coming.values()) {
      const type = this.term.types.get(c.type);
      if (type === undefined || now - c.since > type.bootS * LATE_BOOTS) continue;
      rooms.push(comingCapacity(c.id, type, c.zone, c.spot));
    }
    return rooms;
  }

  wanted(): Wanted[] {
    const { term } = this;
    const { deps } = term;
    if (!deps.writing() || !this.fleet.listedOnce || term.types.size === 0) return [];
    const perZone = new Map<string, number>();
    for (const m of term.machines.values()) perZone.set(m.zone, (perZone.get(m.zone) ?? 0) + 1);
    for (const c of this.fleet.coming.values()) perZone.set(c.zone, (perZone.get(c.zone) ?? 0) + 1);
    const rooms = [...this.comingRooms(), ...this.rooms];
    const missed = this.missed();
    if (deps.log.isLevelEnabled('debug')) {
      const demand = new Map<string, number>();
      for (const d of this.demand) {
        demand.set(d.spec.class, (demand.get(d.spec.class) ?? 0) + d.tasks);
      }
      deps.log.debug(
        {
          demand: [...demand],
          free: [false, true].map((k) => freeMachines(this.rooms, k)),
          target: [false, true].map((k) => this.target(k)),
          coming: this.fleet.coming.size,
          missed: missed.reduce((n, d) => n + d.tasks, 0),
          machines: [...term.machines.values()].filter((m) => m.held().length > 0).length,
        },
        'fleet',
      );
    }
    const wanted = planRent({
      demand: [...this.demand, ...missed],
      rooms,
      types: [...term.types.values()],
      zones: deps.settings.zones,
      short: (t: string, z: string, s: boolean) => this.fleet.short(t, z, s),
      perZone,
      weights: this.scheduler().weights(),
      // As many as the cloud's calls of a second can rent.
      most: Math.ceil(deps.settings.cloud.rps) * RENT_MAX,
    });
    for (const spot of [false, true]) {
      const spare = this.spareWanted(rooms, perZone, spot);
      if (spare === null) continue;
      const same = wanted.find(
        (w) => w.type === spare.type && w.zone === spare.zone && w.spot === spare.spot,
      );
      if (same === undefined) wanted.push(spare);
      else same.count += spare.count;
    }
    return wanted;
  }

  /**
   * Replicas and gangs on machines that have fallen silent, as if their leases had run out already. Of a
   * fleet of hundreds a fifth was cut off at once and more: their replicas were away for a lease, as they
   * must be, and then for a boot, which could have passed meanwhile. Not where a cut zone's own
   * controller may be keeping them, and not while it is rather this controller that hears nothing.
   */
  private missed(): Demand[] {
    const { term } = this;
    const now = term.now;
    const patience = term.deps.settings.workers.lease_s * MISSED_LEASE;
    const silent = new Set<Machine>();
    let known = 0;
    for (const m of term.machines.values()) {
      if (m.state !== 'ready' && m.state !== 'fencing' && m.state !== 'unheard') continue;
      known++;
      if (now - m.heardAt > patience) silent.add(m);
    }
    if (silent.size === 0 || silent.size > known * MISSED_MOST) return [];
    const lost = new Map<LiveJob, number>();
    for (const m of silent) {
      if (term.deps.zone(m.zone).keptUntil > now) continue;
      for (const a of m.attempts.values()) {
        const job = term.jobs.get(a.job);
        if (job === undefined || job.phase !== 'open' || !holds(a) || a.stop !== null) continue;
        if (job.spec.priority < 3) lost.set(job, (lost.get(job) ?? 0) + 1);
      }
    }
    return [...lost].map(([job, n]) => {
      const zones = new Map<string, number>();
      for (const a of job.holding()) {
        const m = term.machines.get(a.machine);
        // A gang goes as a whole.
        if (m === undefined || silent.has(m) || job.gang) continue;
        zones.set(m.zone, (zones.get(m.zone) ?? 0) + 1);
      }
      return { spec: job.spec, tasks: job.gang ? job.spec.tasks : n, zones };
    });
  }

  /** Machines more when what is free after all demand is less than the warm reserve. */
  private spareWanted(
    rooms: FreeCapacity[],
    perZone: Map<string, number>,
    spot: boolean,
  ): Wanted | null {
    const missing = this.target(spot) - freeMachines(rooms, spot);
    if (missing <= 0 || this.term.jobs.size === 0) return null;
    let best: Wanted | null = null;
    let bestCost = Infinity;
    for (const t of this.term.types.values()) {
      if (spot && t.spotPrice <= 0) continue;
      for (const zone of t.zones) {
        if (this.fleet.short(t.name, zone, spot)) continue;
        const price = spot ? t.spotPrice : t.price;
        const cost = (price / unit(t)) * (1 + 0.001 * (perZone.get(zone) ?? 0));
        if (cost < bestCost) {
          bestCost = cost;
          const most = Math.max(WARM_AT_ONCE, Math.ceil(this.target(spot) * WARM_SHARE));
          const count = Math.min(most, Math.ceil(missing));
          best = { type: t.name, zone, spot, count };
        }
      }
    }
    return best;
  }

  // Returning

  toReturn(): string[] {
    const { term } = this;
    const now = term.now;
    // It came after all, while the cloud did not answer: there may be work on it by now.
    for (const id of this.neverCame) if (term.machines.has(id)) this.neverCame.delete(id);
    const ids: string[] = [...this.failedListed, ...this.neverCame];
    const spare = [false, true].map((spot) => freeMachines(this.rooms, spot) - this.target(spot));
    // Machines with few images go first: what others have cached spares the next task its fetch.
    const cached = (m: Machine): number => {
      let gb = 0;
      for (const i of m.images.values()) gb += i.gb;
      return gb;
    };
    const empty: { m: Machine; gb: number }[] = [];
    for (const m of term.machines.values()) {
      if (m.state === 'returning') {
        if (m.returnStored || m.revision === 0) ids.push(m.id);
      } else if ((m.state === 'ready' || m.state === 'silent') && m.attempts.size === 0) {
        empty.push({ m, gb: cached(m) });
      }
    }
    empty.sort((a, b) => a.gb - b.gb);
    for (const { m } of empty) {
      const type = term.types.get(m.type);
      if (type === undefined || !this.dueBack(m, type, now, spare)) continue;
      if (!term.deps.writing()) continue;
      const idle = now - m.idleSince;
      term.deps.log.info(
        { machine: m.id, idle, faulty: m.faulty, state: m.state },
        'to be returned',
      );
      m.become('returning');
      if (m.revision > 0) term.dirtyMachines.add(m.id);
      else ids.push(m.id);
    }
    return [...new Set(ids)];
  }

  /** Whether an empty machine goes back now. `spare`: free room above the reserve, by kind. */
  private dueBack(m: Machine, type: MachineType, now: number, spare: number[]): boolean {
    const { lease_s } = this.term.deps.settings.workers;
    if (m.faulty) return true;
    if (m.state === 'silent') return now - m.heardAt > lease_s * SILENT_LEASES;
    // What is given back early is paid for all the same.
    const age = Math.max(now - (m.firstHeardAt ?? now) + type.bootS, m.listedAgeS ?? 0);
    if (age <= MIN_CHARGE_S * 0.92) return false;
    const idle = now - m.idleSince;
    if (m.vacatedAt !== null) return idle > this.term.deps.settings.workers.report_s;
    const kind = m.spot ? 1 : 0;
    const surplus = spare[kind]!;
    // What is held above the reserve goes back, with a margin against going back and forth.
    // Where nothing is kept even the last one goes: it once stayed for the rest of the day.
    const none = this.term.jobs.size === 0 || (m.spot && this.target(true) === 0);
    const margin = none ? 0.9 : SURPLUS;
    const early = m.spot || surplus >= MUCH_SURPLUS;
    if (surplus < margin || idle <= type.bootS * (early ? IDLE_EARLY_BOOTS : IDLE_BOOTS)) {
      return false;
    }
    spare[kind]! -= 1;
    return true;
  }

  returned(ids: string[]): void {
    const { term } = this;
    for (const id of ids) {
      this.failedListed.delete(id);
      this.neverCame.delete(id);
      const m = term.machines.get(id);
      if (m === undefined) continue;
      // The cloud's 200 is proof: the machine and all that was on it are gone.
      term.lose(m);
      m.become('returned');
      this.forget(m);
    }
  }

  listed(all: ListedMachine[]): void {
    const { term } = this;
    const now = term.now;
    const { lease_s } = term.deps.settings.workers;
    this.lastListed = new Set(all.map((m) => m.id));
    for (const l of all) {
      const type = term.types.get(l.type);
      const known = term.machines.get(l.id);
      if (known !== undefined) known.listedAgeS = l.ageS;
      if (l.state === 'failed') {
        this.failedListed.add(l.id);
        continue;
      }
      if (type === undefined || known !== undefined) continue;
      // Boots that never end, and machines that run but never report.
      const limit = type.bootS * NEVER_BOOTS[l.state] + lease_s * 2;
      if (l.ageS > limit && now - term.startedAt > lease_s * 3) this.neverCame.add(l.id);
    }
    for (const id of [...this.neverCame]) if (term.machines.has(id)) this.neverCame.delete(id);
    term.requestPass();
  }

  /** When there is a machine's worth of room too much, a machine is emptied to be given back. */
  consolidate(): void {
    const { term } = this;
    const now = term.now;
    const { lease_s } = term.deps.settings.workers;
    for (const m of term.machines.values()) {
      const over =
        m.vacatedAt !== null && (now - m.vacatedAt > lease_s * 3 || this.demand.length > 0);
      if (over && m.state === 'ready') m.vacatedAt = null;
    }
    if (!term.deps.writing() || now - term.startedAt < lease_s * SETTLE_LEASES) return;
    const surplus = freeMachines(this.rooms, false) - this.target(false);
    const gap = lease_s * (surplus >= MUCH_SURPLUS ? EMPTY_OFTEN : EMPTY_SELDOM);
    if (now - this.consolidatedAt < gap || this.demand.length > 0) return;
    this.consolidatedAt = now;
    const empty = [...term.machines.values()].some(
      (m) => !m.spot && m.state === 'ready' && m.attempts.size === 0,
    );
    if (surplus < 1.5 || (empty && surplus < MUCH_SURPLUS)) return;
    this.scheduler().vacate(this.rooms);
  }
}
