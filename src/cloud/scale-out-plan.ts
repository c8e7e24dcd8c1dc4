/** Plans which machines to add for tasks that have found no place. */

import { fits, type JobSpec, type MachineType } from '../jobs/types.js';
import {
  isAllowedOn,
  bestFit,
  copyFreeCapacity,
  isZoneAllowed,
  type FreeCapacity,
  type PlacementWeights,
} from '../scheduler/bin-packing.js';
import { allocate, hasRoomFor } from '../scheduler/room.js';
import { emptyMachineCapacity } from './empty-machine.js';

/** Tasks of a job for which there was no capacity. Capacity is planned in the order of the list of demands. */
export interface Demand {
  spec: JobSpec;
  tasks: number;
  /** The job's present tasks in each zone. */
  zones: Map<string, number>;
}

/** Whether the cloud recently had no capacity for a type and zone, spot or not. */
export type Shortage = (type: string, zone: string, spot: boolean) => boolean;

/** Machines to add of one type and zone, spot or not. */
export interface MachineOrder {
  type: string;
  zone: string;
  spot: boolean;
  count: number;
}

/** Tasks of the demand by where the plan expects them to run. */
export interface PlannedTasks {
  /** On free capacity that exists already: no machine is added for them. */
  onFree: number;
  /** On machines that were added before and accept no work yet. */
  onPending: number;
  /** On machines that the plan adds. */
  onNew: number;
  /** Nowhere: the cloud has no allowed machine now, or the plan adds as many as it may. */
  nowhere: number;
}

/** Which machines to add, and what for. */
export interface ScaleOutPlan {
  orders: MachineOrder[];
  tasks: PlannedTasks;
  /** Ids of the machines, existing, pending or planned, on which tasks are expected. */
  used: ReadonlySet<string>;
}

/** Input of a scale-out plan. */
export interface ScaleOutInput {
  demand: Demand[];
  /** Pending machines and free capacity. Planning allocates from them. */
  capacities: FreeCapacity[];
  /** Ids of those among them that accept no work yet. */
  pending: ReadonlySet<string>;
  types: MachineType[];
  /** Zones with machines. */
  zones: string[];
  isShort: Shortage;
  /** Number of machines in each zone, to spread new ones. */
  machinesByZone: Map<string, number>;
  weights: PlacementWeights;
  maxMachines: number;
  /** Tasks that an empty machine takes, however small. */
  taskSlotsPerMachine: number;
  /** Which machines a job may use, be they there, pending or yet to be added; absent: all. */
  filterFor?: (spec: JobSpec) => (capacity: FreeCapacity) => boolean;
}

let plannedCount = 0;

/** A kind of machine that the cloud offers. */
interface MachineKind {
  type: MachineType;
  zone: string;
  spot: boolean;
}

/** A kind of machine that the cloud is not known to lack, with a machine of this kind to ask whether a job may use it. */
interface OfferedKind extends MachineKind {
  example: FreeCapacity;
}

function offeredKinds(input: ScaleOutInput): OfferedKind[] {
  const kinds: OfferedKind[] = [];
  for (const type of input.types) {
    for (const spot of type.spotPrice > 0 ? [true, false] : [false]) {
      for (const zone of type.zones) {
        if (input.isShort(type.name, zone, spot)) continue;
        const example = newMachine({ type, zone, spot }, input);
        kinds.push({ type, zone, spot, example });
      }
    }
  }
  return kinds;
}

function newMachine({ type, zone, spot }: MachineKind, input: ScaleOutInput): FreeCapacity {
  const id = `planned-${plannedCount++}`;
  return emptyMachineCapacity({ id, type, zone, spot, taskSlots: input.taskSlotsPerMachine });
}

/** Share by which each machine in a zone raises the assumed price of the next one, to spread machines over zones. */
export const ZONE_SPREAD_SHARE = 0.001;

function costOf({ type, zone, spot }: MachineKind, machinesByZone: Map<string, number>): number {
  const price = spot ? type.spotPrice : type.price;
  const share = type.gpus > 0 ? type.gpus : Math.max(type.cores, 1e-9);
  return (price / share) * (1 + ZONE_SPREAD_SHARE * (machinesByZone.get(zone) ?? 0));
}

/** The tasks of a job that are planned, and what restricts them. */
interface JobPlan {
  spec: JobSpec;
  mayUse: (capacity: FreeCapacity) => boolean;
  /** The job's tasks in each zone, with those that are planned. */
  zones: Map<string, number>;
  /** The offered kinds that the job may use, whatever zones its tasks are in; undefined: not asked yet. */
  kinds?: MachineKind[];
}

const mayUseAll = (): boolean => true;

const isUsable = ({ spec, mayUse }: JobPlan, { type, example }: OfferedKind): boolean =>
  fits(spec, type) && isAllowedOn(spec, example) && mayUse(example);

/** Plans one demand after another; each uses what those before have left. */
class DemandPlanner {
  private readonly orders = new Map<string, MachineOrder>();
  private readonly tasks: PlannedTasks = { onFree: 0, onPending: 0, onNew: 0, nowhere: 0 };
  private readonly added = new Set<FreeCapacity>();
  private readonly used = new Set<string>();
  private readonly offered: OfferedKind[];

  constructor(private readonly input: ScaleOutInput) {
    this.offered = offeredKinds(input);
  }

  /** What was planned so far. */
  get plan(): ScaleOutPlan {
    return { orders: [...this.orders.values()], tasks: this.tasks, used: this.used };
  }

  /** Plans the tasks of a demand, and orders the machines that they need. */
  planDemand({ spec, tasks, zones }: Demand): void {
    const mayUse = this.input.filterFor?.(spec) ?? mayUseAll;
    const wanted: JobPlan = { spec, mayUse, zones: new Map(zones) };
    const plan = this.hasToChooseZone(wanted) ? this.inBestZone(wanted, tasks) : wanted;
    const used = this.place(plan, tasks, this.usableCapacities(plan), () => this.addMachine(plan));
    for (const capacity of used) this.countTask(capacity);
    this.tasks.nowhere += tasks - used.length;
  }

  /** The machines of as many of the tasks as find room on the candidates or on machines that are added. */
  private place(
    { spec, zones }: JobPlan,
    tasks: number,
    candidates: FreeCapacity[],
    addMachine: () => FreeCapacity | null,
  ): FreeCapacity[] {
    const used: FreeCapacity[] = [];
    // Machines that one task does not fit on have no room for the next ones either, but for the latest one added.
    let left = candidates;
    while (used.length < tasks) {
      let capacity = bestFit(spec, left, { zones }, this.input.weights);
      if (capacity === null) {
        capacity = addMachine();
        if (capacity === null) break;
        left = [capacity];
      }
      allocate(spec, capacity);
      zones.set(capacity.zone, (zones.get(capacity.zone) ?? 0) + 1);
      used.push(capacity);
    }
    return used;
  }

  /** Machines with room for a task of the job. Filtered once for all its tasks: a search asks each machine for each task. */
  private usableCapacities({ spec, mayUse }: JobPlan): FreeCapacity[] {
    return this.input.capacities.filter(
      (capacity) => hasRoomFor(spec, capacity) && isAllowedOn(spec, capacity) && mayUse(capacity),
    );
  }

  /** Whether all tasks of the job need one zone of several, and no task has decided on it yet. */
  private hasToChooseZone({ spec, zones }: JobPlan): boolean {
    if (this.input.zones.length < 2 || spec.kind !== 'gang') return false;
    return spec.oneZone && spec.zone === null && zones.size === 0;
  }

  /** The plan in the zone that can hold most of the tasks and, of several, needs the fewest machines more. */
  private inBestZone(plan: JobPlan, tasks: number): JobPlan {
    let best = plan;
    let bestTrial = { planned: 0, added: 0 };
    for (const zone of this.input.zones) {
      const inZone = { ...plan, spec: { ...plan.spec, zone } };
      const trial = this.tryInZone(inZone, tasks);
      const isBetter =
        trial.planned > bestTrial.planned ||
        (trial.planned === bestTrial.planned && trial.added < bestTrial.added);
      if (!isBetter) continue;
      best = inZone;
      bestTrial = trial;
    }
    return best;
  }

  /** How many of the tasks a zone can hold, and how many machines more they need. Allocates and orders nothing. */
  private tryInZone(plan: JobPlan, tasks: number): { planned: number; added: number } {
    const { input } = this;
    const trial: JobPlan = { ...plan, zones: new Map() };
    const left = input.maxMachines - this.added.size;
    let added = 0;
    const addMachine = (): FreeCapacity | null => {
      const kind = added < left ? this.cheapestKind(trial) : null;
      if (kind === null) return null;
      added++;
      return newMachine(kind, input);
    };
    const candidates = this.usableCapacities(plan).map(copyFreeCapacity);
    return { planned: this.place(trial, tasks, candidates, addMachine).length, added };
  }

  private countTask(capacity: FreeCapacity): void {
    this.used.add(capacity.id);
    if (this.added.has(capacity)) this.tasks.onNew++;
    else if (this.input.pending.has(capacity.id)) this.tasks.onPending++;
    else this.tasks.onFree++;
  }

  /** The cheapest kind of machine that one more task of the job may use now; null: none is available. */
  private cheapestKind(plan: JobPlan): MachineKind | null {
    const { spec, zones } = plan;
    plan.kinds ??= this.offered.filter((kind) => isUsable(plan, kind));
    let best: MachineKind | null = null;
    let bestCost = Infinity;
    for (const kind of plan.kinds) {
      if (!isZoneAllowed(spec, kind.zone, zones)) continue;
      const cost = costOf(kind, this.input.machinesByZone);
      if (cost >= bestCost) continue;
      best = kind;
      bestCost = cost;
    }
    return best;
  }

  /** Orders one more machine for a task of the job; null: the cloud has none that it may use, or the plan is full. */
  private addMachine(plan: JobPlan): FreeCapacity | null {
    const { input, added } = this;
    if (added.size >= input.maxMachines) return null;
    const kind = this.cheapestKind(plan);
    if (kind === null) return null;
    const { type, zone, spot } = kind;
    const capacity = newMachine(kind, input);
    input.capacities.push(capacity);
    added.add(capacity);
    input.machinesByZone.set(zone, (input.machinesByZone.get(zone) ?? 0) + 1);
    this.order(type.name, zone, spot);
    return capacity;
  }

  private order(type: string, zone: string, spot: boolean): void {
    const key = `${type} ${zone} ${spot}`;
    const order = this.orders.get(key);
    if (order === undefined) this.orders.set(key, { type, zone, spot, count: 1 });
    else order.count++;
  }
}

/**
 * Plans which machines to add to satisfy the demand. It allocates from `capacities`, and adds the planned machines
 * to `capacities` and `machinesByZone`.
 */
export function planScaleOut(input: ScaleOutInput): ScaleOutPlan {
  const planner = new DemandPlanner(input);
  for (const demand of input.demand) planner.planDemand(demand);
  return planner.plan;
}
