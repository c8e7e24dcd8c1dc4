/** What to rent: machines for work that found none, for replicas that are missed, and the warm reserve. */

import { unit } from '../../cloud/demand-forecast.js';
import type { Fleet } from '../../cloud/provisioner.js';
import { comingCapacity, planRent, type Demand, type Wanted } from '../../cloud/scale-out-plan.js';
import type { LiveJob } from '../../jobs/live-job.js';
import type { FreeCapacity, Weights } from '../../scheduler/bin-packing.js';
import { RENT_MAX } from '../../wire/cloud.js';
import type { ActiveSubsystems } from '../../subsystems/active-subsystems.js';
import { occupiesCapacity } from '../../workers/attempt.js';
import type { Machine } from '../../workers/machine.js';
import { freeMachines } from './free-capacity.js';
import type { Term } from '../term/term.js';
import type { WarmReserve } from './warm-reserve.js';

/** A machine that takes so many boots may never come: not counted on. */
const LATE_BOOTS = 2.5;
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
/** What a machine in a zone makes the next one there dearer by, as a share: new ones are spread. */
const SPREAD_SHARE = 0.001;

/** What the latest pass of placing left. */
export interface PassRemains {
  /** What found no place. */
  demand: Demand[];
  /** What is free. */
  rooms: FreeCapacity[];
}

export interface RentPlannerOptions {
  term: Term;
  fleet: Fleet;
  warm: WarmReserve;
  weights: () => Weights;
  subsystems: ActiveSubsystems;
}

/** Machines in each zone, with those on their way. */
type ZoneCounts = Map<string, number>;

/** Plans what a term rents. */
export class RentPlanner {
  constructor(private readonly options: RentPlannerOptions) {}

  /** Machines to rent now; none while the term may not write or does not know its fleet. */
  wanted(remains: PassRemains): Wanted[] {
    const { term, fleet, weights, subsystems } = this.options;
    const { context } = term;
    if (!context.canWrite() || !fleet.listedOnce || term.machineTypes.size === 0) return [];
    const perZone = this.machinesPerZone();
    const rooms = [...this.comingCapacities(), ...remains.rooms];
    const missed = this.missed();
    this.logFleet(remains, missed);
    const wanted = planRent({
      demand: [...remains.demand, ...missed],
      rooms,
      types: [...term.machineTypes.values()],
      zones: context.settings.zones,
      short: (t: string, z: string, s: boolean) => fleet.short(t, z, s),
      perZone,
      weights: weights(),
      // As many as the cloud's calls of a second can rent.
      most: Math.ceil(context.settings.cloud.rps) * RENT_MAX,
      ...(subsystems.any ? { may: (spec, room) => subsystems.mayUse(spec, room) } : {}),
    });
    for (const spot of [false, true]) {
      const spare = this.spareWanted(rooms, perZone, spot);
      if (spare !== null) addWanted(wanted, spare);
    }
    return wanted;
  }

  private machinesPerZone(): ZoneCounts {
    const perZone: ZoneCounts = new Map();
    const count = (zone: string): void => void perZone.set(zone, (perZone.get(zone) ?? 0) + 1);
    for (const machine of this.options.term.machines.values()) count(machine.zone);
    for (const coming of this.options.fleet.coming.values()) count(coming.zone);
    return perZone;
  }

  /** Machines on their way, as if they were there and empty. */
  private comingCapacities(): FreeCapacity[] {
    const { term, fleet } = this.options;
    const { now } = term;
    const rooms: FreeCapacity[] = [];
    for (const coming of fleet.coming.values()) {
      const type = term.machineTypes.get(coming.type);
      if (type === undefined || now - coming.since > type.bootS * LATE_BOOTS) continue;
      rooms.push(comingCapacity(coming.id, type, coming.zone, coming.spot));
    }
    return rooms;
  }

  private logFleet({ demand, rooms }: PassRemains, missed: Demand[]): void {
    const { term, fleet, warm } = this.options;
    const { log } = term.context;
    if (!log.isLevelEnabled('debug')) return;
    const byClass = new Map<string, number>();
    for (const wanted of demand)
      byClass.set(wanted.spec.class, (byClass.get(wanted.spec.class) ?? 0) + wanted.tasks);
    log.debug(
      {
        demand: [...byClass],
        free: [false, true].map((spot) => freeMachines(rooms, spot)),
        target: [false, true].map((spot) => warm.target(spot)),
        coming: fleet.coming.size,
        missed: missed.reduce((n, demand) => n + demand.tasks, 0),
        machines: [...term.machines.values()].filter(
          (machine) => machine.activeAttempts().length > 0,
        ).length,
      },
      'fleet',
    );
  }

  /**
   * Replicas and gangs on machines that have fallen silent, as if their leases had run out already. Of a
   * fleet of hundreds a fifth was cut off at once and more: their replicas were away for a lease, as they
   * must be, and then for a boot, which could have passed meanwhile. Not where a cut zone's own
   * controller may be keeping them, and not while it is rather this controller that hears nothing.
   */
  private missed(): Demand[] {
    const silent = this.silentMachines();
    return [...this.tasksOn(silent)].map(([job, tasks]) => ({
      spec: job.spec,
      // A gang goes as a whole.
      tasks: job.gang ? job.spec.tasks : tasks,
      zones: job.gang ? new Map<string, number>() : this.zonesWithout(job, silent),
    }));
  }

  /** Machines that will hardly be back; none when it may be this controller that hears nothing. */
  private silentMachines(): Set<Machine> {
    const { term } = this.options;
    const { now } = term;
    const patience = term.context.settings.workers.lease_s * MISSED_LEASE;
    const silent = new Set<Machine>();
    let known = 0;
    for (const machine of term.machines.values()) {
      if (machine.state !== 'ready' && machine.state !== 'fencing' && machine.state !== 'unheard')
        continue;
      known++;
      if (now - machine.lastSeenAt > patience) silent.add(machine);
    }
    if (silent.size > known * MISSED_MOST) silent.clear();
    return silent;
  }

  /** Tasks on machines that are to be started elsewhere, best-effort work aside. */
  private tasksOn(silent: Set<Machine>): Map<LiveJob, number> {
    const { term } = this.options;
    const { now } = term;
    const lost = new Map<LiveJob, number>();
    for (const machine of silent) {
      if (term.context.zoneRenewal(machine.zone).keptUntil > now) continue;
      for (const attempt of machine.attempts.values()) {
        const job = term.jobs.get(attempt.job);
        if (
          job === undefined ||
          job.phase !== 'open' ||
          !occupiesCapacity(attempt) ||
          attempt.stopRequest !== null
        )
          continue;
        if (job.spec.priority < 3) lost.set(job, (lost.get(job) ?? 0) + 1);
      }
    }
    return lost;
  }

  private zonesWithout(job: LiveJob, silent: Set<Machine>): ZoneCounts {
    const zones: ZoneCounts = new Map();
    for (const attempt of job.holding()) {
      const machine = this.options.term.machines.get(attempt.machine);
      if (machine === undefined || silent.has(machine)) continue;
      zones.set(machine.zone, (zones.get(machine.zone) ?? 0) + 1);
    }
    return zones;
  }

  /** Machines more when what is free after all demand is less than the warm reserve. */
  private spareWanted(rooms: FreeCapacity[], perZone: ZoneCounts, spot: boolean): Wanted | null {
    const target = this.options.warm.target(spot);
    const missing = target - freeMachines(rooms, spot);
    if (missing <= 0 || this.options.term.jobs.size === 0) return null;
    const cheapest = this.cheapest(perZone, spot);
    if (cheapest === null) return null;
    const most = Math.max(WARM_AT_ONCE, Math.ceil(target * WARM_SHARE));
    return { ...cheapest, spot, count: Math.min(most, Math.ceil(missing)) };
  }

  /** The type and zone with the lowest price for what a machine holds. */
  private cheapest(perZone: ZoneCounts, spot: boolean): Pick<Wanted, 'type' | 'zone'> | null {
    let best: Pick<Wanted, 'type' | 'zone'> | null = null;
    let bestCost = Infinity;
    for (const type of this.options.term.machineTypes.values()) {
      if (spot && type.spotPrice <= 0) continue;
      for (const zone of type.zones) {
        if (this.options.fleet.short(type.name, zone, spot)) continue;
        const price = spot ? type.spotPrice : type.price;
        const cost = (price / unit(type)) * (1 + SPREAD_SHARE * (perZone.get(zone) ?? 0));
        if (cost < bestCost) {
          bestCost = cost;
          best = { type: type.name, zone };
        }
      }
    }
    return best;
  }
}

function addWanted(wanted: Wanted[], more: Wanted): void {
  const same = wanted.find(
    (wanted) => wanted.type === more.type && wanted.zone === more.zone && wanted.spot === more.spot,
  );
  if (same === undefined) wanted.push(more);
  else same.count += more.count;
}
