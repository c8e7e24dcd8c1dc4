/** Scale-out: which machines to add for unplaced tasks, for tasks on silent machines and for the warm reserve. */

import { capacityUnits } from '../../cloud/demand-forecast.js';
import type { MachineProvisioner } from '../../cloud/provisioner.js';
import { emptyMachineCapacity } from '../../cloud/empty-machine.js';
import {
  planScaleOut,
  ZONE_SPREAD_SHARE,
  type Demand,
  type MachineOrder,
  type PlannedTasks,
  type ScaleOutInput,
} from '../../cloud/scale-out-plan.js';
import {
  copyFreeCapacity,
  type FreeCapacity,
  type PlacementWeights,
} from '../../scheduler/bin-packing.js';
import { SCALE_OUT_MAX } from '../../wire/cloud.js';
import { freeMachines } from './free-capacity.js';
import type { Term } from '../term/term.js';
import { SILENT_LEASE_SHARE, silentDemand } from './silent-demand.js';
import type { WarmReserve } from './warm-reserve.js';

/** Boot times after which a pending machine is no longer counted on. */
const MAX_PENDING_BOOTS = 2.5;
/** Most machines in one order for the warm reserve: the larger of this number and this share of the reserve. */
const MAX_WARM_ORDER_MACHINES = 4;
const MAX_WARM_ORDER_SHARE = 0.25;

/** Unplaced demand and free capacity after the latest scheduling cycle. */
export interface CycleRemainder {
  /** Tasks that were not placed. */
  demand: Demand[];
  /** Free capacity. */
  capacities: FreeCapacity[];
}

/** Free capacity without what tasks that wait are expected to take, and the machines that they wait with. */
export interface FreeCapacityLeft {
  capacities: FreeCapacity[];
  /** Ids of machines on which tasks that wait are expected. */
  awaited: ReadonlySet<string>;
}

type PlanContext = Pick<
  ScaleOutInput,
  'types' | 'zones' | 'isShort' | 'weights' | 'taskSlotsPerMachine' | 'filterFor'
>;

/** Ids of no machines. */
export const NO_MACHINES: ReadonlySet<string> = new Set();

/** Dependencies of `ScaleOutPlanner`. */
export interface ScaleOutPlannerOptions {
  term: Term;
  provisioner: MachineProvisioner;
  warmReserve: WarmReserve;
  weights: () => PlacementWeights;
  /** On which machines a job that has found no place may be expected to find one. */
  filterFor: (job: string) => (capacity: FreeCapacity) => boolean;
  /** Tasks that an empty machine takes, however small. */
  taskSlotsPerMachine: () => number;
  /** Free capacity of machines that the term has known no longer than this, ready or not. */
  arrivingCapacities: (withinS: number) => FreeCapacity[];
}

/** Machines in each zone, including pending ones. */
type ZoneCounts = Map<string, number>;

/** Plans how a term scales out. */
export class ScaleOutPlanner {
  /** Where the latest plan expects the unplaced tasks to run. */
  plannedTasks: PlannedTasks = { onFree: 0, onPending: 0, onNew: 0, nowhere: 0 };

  constructor(private readonly options: ScaleOutPlannerOptions) {}

  /** Machines to add now; none while the term may not write, or before the first list of machines or types. */
  plan(remainder: CycleRemainder): MachineOrder[] {
    const { term, provisioner } = this.options;
    const { context } = term;
    if (!context.canWrite() || !provisioner.listedOnce || term.machineTypes.size === 0) return [];
    const machinesByZone = this.countMachinesByZone();
    const coming = [...this.pendingCapacities(), ...this.arrivingCapacities(remainder)];
    const capacities = [...coming, ...remainder.capacities];
    const missed = silentDemand(term);
    this.logCapacity(remainder, missed);
    const { orders, tasks } = planScaleOut({
      ...this.planInput(),
      demand: [...remainder.demand, ...missed],
      capacities,
      pending: new Set(coming.map(({ id }) => id)),
      machinesByZone,
      // As many as the calls that the cloud accepts in a second can add.
      maxMachines: Math.ceil(context.settings.cloud.rps) * SCALE_OUT_MAX,
    });
    this.plannedTasks = tasks;
    for (const spot of [false, true]) {
      const warmOrder = this.warmOrder(capacities, machinesByZone, spot);
      if (warmOrder !== null) addOrder(orders, warmOrder);
    }
    return orders;
  }

  /** What is left of free capacity once tasks that wait, such as those of an incomplete gang, have got what fits them. */
  leftByDemand({ demand, capacities }: CycleRemainder): FreeCapacityLeft {
    if (demand.length === 0) return { capacities, awaited: NO_MACHINES };
    const left = capacities.map(copyFreeCapacity);
    const { used } = planScaleOut({
      ...this.planInput(),
      demand,
      capacities: left,
      pending: NO_MACHINES,
      machinesByZone: new Map(),
      maxMachines: 0,
    });
    return { capacities: left, awaited: used };
  }

  /** What all plans have in common. */
  private planInput(): PlanContext {
    const { term, provisioner, weights, filterFor, taskSlotsPerMachine } = this.options;
    return {
      types: [...term.machineTypes.values()],
      zones: term.context.settings.zones,
      isShort: (type: string, zone: string, spot: boolean) => provisioner.isShort(type, zone, spot),
      weights: weights(),
      taskSlotsPerMachine: taskSlotsPerMachine(),
      filterFor: ({ id }) => filterFor(id),
    };
  }

  private countMachinesByZone(): ZoneCounts {
    const perZone: ZoneCounts = new Map();
    const count = (zone: string): void => void perZone.set(zone, (perZone.get(zone) ?? 0) + 1);
    for (const machine of this.options.term.machines.values()) count(machine.zone);
    for (const pending of this.options.provisioner.pending.values()) count(pending.zone);
    return perZone;
  }

  /** Capacity of pending machines, as if they were ready and empty. */
  private pendingCapacities(): FreeCapacity[] {
    const { term, provisioner } = this.options;
    const { now } = term;
    const capacities: FreeCapacity[] = [];
    for (const pending of provisioner.pending.values()) {
      const type = term.machineTypes.get(pending.type);
      if (type === undefined || now - pending.since > type.bootS * MAX_PENDING_BOOTS) continue;
      const { id, zone, spot } = pending;
      const taskSlots = this.options.taskSlotsPerMachine();
      capacities.push(emptyMachineCapacity({ id, type, zone, spot, taskSlots }));
    }
    return capacities;
  }

  /**
   * Capacity of machines that have just sent their first heartbeat, or that this term has just read, and that no scheduling
   * cycle has used yet. Without it a machine was added once more for each one that had booted, and for a fleet that
   * a new leader had not heard of yet.
   */
  private arrivingCapacities({ capacities }: CycleRemainder): FreeCapacity[] {
    const { term, arrivingCapacities } = this.options;
    const withinS = term.context.settings.workers.lease_s * SILENT_LEASE_SHARE;
    const known = new Set(capacities.map(({ id }) => id));
    return arrivingCapacities(withinS).filter(({ id }) => !known.has(id));
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
        plannedBefore: this.plannedTasks,
        machines: [...term.machines.values()].filter(
          (machine) => machine.activeAttempts().length > 0,
        ).length,
      },
      'capacity',
    );
  }

  /** Machines to add if the capacity left after all demand is less than the warm reserve; null: none. */
  private warmOrder(
    capacities: FreeCapacity[],
    perZone: ZoneCounts,
    spot: boolean,
  ): MachineOrder | null {
    const target = this.options.warmReserve.target(spot);
    const missing = target - freeMachines(capacities, spot);
    if (missing <= 0 || this.options.term.jobs.size === 0) return null;
    const cheapest = this.cheapestTypeAndZone(perZone, spot);
    if (cheapest === null) return null;
    const maxCount = Math.max(MAX_WARM_ORDER_MACHINES, Math.ceil(target * MAX_WARM_ORDER_SHARE));
    return { ...cheapest, spot, count: Math.min(maxCount, Math.ceil(missing)) };
  }

  /** The type and zone with the lowest price per unit of capacity. */
  private cheapestTypeAndZone(
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
        const cost =
          (price / capacityUnits(type)) * (1 + ZONE_SPREAD_SHARE * (perZone.get(zone) ?? 0));
        if (cost < bestCost) {
          bestCost = cost;
          best = { type: type.name, zone };
        }
      }
    }
    return best;
  }
}

function addOrder(orders: MachineOrder[], order: MachineOrder): void {
  const same = orders.find(
    (wanted) =>
      wanted.type === order.type && wanted.zone === order.zone && wanted.spot === order.spot,
  );
  if (same === undefined) orders.push(order);
  else same.count += order.count;
}
