/** Which machines to add: for work that found none, for replicas that are missed, and the warm reserve. */

import { unitsOf } from '../../cloud/demand-forecast.js';
import type { MachineProvisioner } from '../../cloud/provisioner.js';
import {
  emptyMachineCapacity,
  planScaleOut,
  type Demand,
  type MachineOrder,
} from '../../cloud/scale-out-plan.js';
import type { LiveJob } from '../../jobs/live-job.js';
import type { FreeCapacity, PlacementWeights } from '../../scheduler/bin-packing.js';
import { SCALE_OUT_MAX } from '../../wire/cloud.js';
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
 * started elsewhere once its lease has expired needs a boot: that begins now.
 */
const SILENT_LEASE_SHARE = 0.4;
/** When more of the fleet than this is silent, it is this controller that hears nothing. */
const MAX_SILENT_SHARE = 0.5;
/** Warm machines requested at once, at most: so many, or this share of what is kept. */
const WARM_AT_ONCE = 4;
const WARM_SHARE = 0.25;
/** What a machine in a zone makes the next one there dearer by, as a share: new ones are spread. */
const SPREAD_SHARE = 0.001;

/** What the latest scheduling cycle left. */
export interface CycleRemainder {
  /** What found no place. */
  demand: Demand[];
  /** What is free. */
  capacities: FreeCapacity[];
}

/** What a `ScaleOutPlanner` works with. */
export interface ScaleOutPlannerOptions {
  term: Term;
  provisioner: MachineProvisioner;
  warmReserve: WarmReserve;
  weights: () => PlacementWeights;
  subsystems: ActiveSubsystems;
}

/** Machines in each zone, with those on their way. */
type ZoneCounts = Map<string, number>;

/** Plans how a term scales out. */
export class ScaleOutPlanner {
  constructor(private readonly options: ScaleOutPlannerOptions) {}

  /** Machines to add now; none while the term may not write or does not know its fleet. */
  plan(remains: CycleRemainder): MachineOrder[] {
    const { term, provisioner, weights, subsystems } = this.options;
    const { context } = term;
    if (!context.canWrite() || !provisioner.listedOnce || term.machineTypes.size === 0) return [];
    const machinesByZone = this.countMachinesByZone();
    const capacities = [...this.pendingCapacities(), ...remains.capacities];
    const missed = this.silentDemand();
    this.logCapacity(remains, missed);
    const wanted = planScaleOut({
      demand: [...remains.demand, ...missed],
      capacities,
      types: [...term.machineTypes.values()],
      zones: context.settings.zones,
      isShort: (type: string, zone: string, spot: boolean) => provisioner.isShort(type, zone, spot),
      machinesByZone,
      weights: weights(),
      // As many as the cloud's calls of a second can add.
      maxMachines: Math.ceil(context.settings.cloud.rps) * SCALE_OUT_MAX,
      ...(subsystems.hasAny
        ? { mayUse: (spec, capacity) => subsystems.mayUse(spec, capacity) }
        : {}),
    });
    for (const spot of [false, true]) {
      const spare = this.warmOrder(capacities, machinesByZone, spot);
      if (spare !== null) addOrder(wanted, spare);
    }
    return wanted;
  }

  private countMachinesByZone(): ZoneCounts {
    const perZone: ZoneCounts = new Map();
    const count = (zone: string): void => void perZone.set(zone, (perZone.get(zone) ?? 0) + 1);
    for (const machine of this.options.term.machines.values()) count(machine.zone);
    for (const pending of this.options.provisioner.pending.values()) count(pending.zone);
    return perZone;
  }

  /** Machines on their way, as if they were there and empty. */
  private pendingCapacities(): FreeCapacity[] {
    const { term, provisioner } = this.options;
    const { now } = term;
    const capacities: FreeCapacity[] = [];
    for (const pending of provisioner.pending.values()) {
      const type = term.machineTypes.get(pending.type);
      if (type === undefined || now - pending.since > type.bootS * LATE_BOOTS) continue;
      capacities.push(emptyMachineCapacity(pending.id, type, pending.zone, pending.spot));
    }
    return capacities;
  }

  private logCapacity({ demand, capacities }: CycleRemainder, missed: Demand[]): void {
    const { term, provisioner, warmReserve } = this.options;
    const { log } = term.context;
    if (!log.isLevelEnabled('debug')) return;
    const byClass = new Map<string, number>();
    for (const wanted of demand)
      byClass.set(wanted.spec.class, (byClass.get(wanted.spec.class) ?? 0) + wanted.tasks);
    log.debug(
      {
        demand: [...byClass],
        free: [false, true].map((spot) => freeMachines(capacities, spot)),
        target: [false, true].map((spot) => warmReserve.target(spot)),
        coming: provisioner.pending.size,
        missed: missed.reduce((sum, demand) => sum + demand.tasks, 0),
        machines: [...term.machines.values()].filter(
          (machine) => machine.activeAttempts().length > 0,
        ).length,
      },
      'capacity',
    );
  }

  /**
   * Replicas and gangs on machines that have fallen silent, as if their leases had expired already. Of a
   * fleet of hundreds a fifth was cut off at once and more: their replicas were away for a lease, as they
   * must be, and then for a boot, which could have passed meanwhile. Not where a cut zone's own
   * controller may be keeping them, and not while it is rather this controller that hears nothing.
   */
  private silentDemand(): Demand[] {
    const silent = this.silentMachines();
    return [...this.tasksOn(silent)].map(([job, tasks]) => ({
      spec: job.spec,
      // A gang goes as a whole.
      tasks: job.isGang ? job.spec.tasks : tasks,
      zones: job.isGang ? new Map<string, number>() : this.zonesWithout(job, silent),
    }));
  }

  /** Machines that will hardly be back; none when it may be this controller that hears nothing. */
  private silentMachines(): Set<Machine> {
    const { term } = this.options;
    const { now } = term;
    const patience = term.context.settings.workers.lease_s * SILENT_LEASE_SHARE;
    const silent = new Set<Machine>();
    let known = 0;
    for (const machine of term.machines.values()) {
      if (machine.state !== 'ready' && machine.state !== 'fencing' && machine.state !== 'unheard')
        continue;
      known++;
      if (now - machine.lastSeenAt > patience) silent.add(machine);
    }
    if (silent.size > known * MAX_SILENT_SHARE) silent.clear();
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
          job.phase !== 'active' ||
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
    for (const attempt of job.activeAttempts()) {
      const machine = this.options.term.machines.get(attempt.machine);
      if (machine === undefined || silent.has(machine)) continue;
      zones.set(machine.zone, (zones.get(machine.zone) ?? 0) + 1);
    }
    return zones;
  }

  /** Machines more when what is free after all demand is less than the warm reserve. */
  private warmOrder(
    capacities: FreeCapacity[],
    perZone: ZoneCounts,
    spot: boolean,
  ): MachineOrder | null {
    const target = this.options.warmReserve.target(spot);
    const missing = target - freeMachines(capacities, spot);
    if (missing <= 0 || this.options.term.jobs.size === 0) return null;
    const cheapest = this.cheapestKind(perZone, spot);
    if (cheapest === null) return null;
    const most = Math.max(WARM_AT_ONCE, Math.ceil(target * WARM_SHARE));
    return { ...cheapest, spot, count: Math.min(most, Math.ceil(missing)) };
  }

  /** The type and zone with the lowest price for what a machine holds. */
  private cheapestKind(
    perZone: ZoneCounts,
    spot: boolean,
  ): Pick<MachineOrder, 'type' | 'zone'> | null {
    let best: Pick<MachineOrder, 'type' | 'zone'> | null = null;
    let bestCost = Infinity;
    for (const type of this.options.term.machineTypes.values()) {
      if (spot && type.spotPrice <= 0) continue;
      for (const zone of type.zones) {
        if (this.options.provisioner.isShort(type.name, zone, spot)) continue;
        const price = spot ? type.spotPrice : type.price;
        const cost = (price / unitsOf(type)) * (1 + SPREAD_SHARE * (perZone.get(zone) ?? 0));
        if (cost < bestCost) {
          bestCost = cost;
          best = { type: type.name, zone };
        }
      }
    }
    return best;
  }
}

function addOrder(wanted: MachineOrder[], order: MachineOrder): void {
  const same = wanted.find(
    (wanted) =>
      wanted.type === order.type && wanted.zone === order.zone && wanted.spot === order.spot,
  );
  if (same === undefined) wanted.push(order);
  else same.count += order.count;
}
