/** What slots keep of machines, and which tasks may use it. */

import type { TermTimeOfDay } from '../time-of-day.js';
import { fits, type JobSpec, type Resources } from '../jobs/types.js';
import { release, type FreeCapacity } from '../scheduler/bin-packing.js';
import type { MachineView, TermView } from '../subsystems/subsystem.js';
import { occupiesCapacity } from '../workers/attempt.js';
import type { PoolDeclaration, ReplicaShape } from './declaration.js';
import type { SlotEntry, SlotTable } from './slot-table.js';

/** Estimates of run times are wrong by half and more: work is lent a slot for so many times its own. */
const ESTIMATE_SAFETY_FACTOR = 2;
/** What a warm place is worth to a replica against the same machine without one: a boot of its type. */
const PREFERENCE_BOOTS = 1;
const BEST_EFFORT_PRIORITY = 3;

/** Whether a replica of the job is what the pool is kept for. */
function isReplicaOf(pool: PoolDeclaration, spec: JobSpec): boolean {
  return (
    spec.image === pool.image && spec.kind === 'service' && spec.tasks > 0 && fits(spec, pool.shape)
  );
}

/** What a round has found of replicas on the places of slots. */
export interface Claims {
  /** Slots on whose place a replica was claimed, though that is not stored yet. */
  slots: ReadonlySet<string>;
  /** Tasks that slots were used by, or are claimed by. */
  tasks: ReadonlySet<string>;
}

/** A task with a pool's model on a machine. */
export interface ModelTask {
  /** `job/index#attempt` */
  name: string;
  /** Its claim is stored. */
  isStored: boolean;
  /** When it was placed, in seconds of the steady clock; by an earlier term: when this one began. */
  placedAt: number;
}

/** Tasks with a pool's model that a machine holds. */
export function modelTasks(
  view: TermView,
  machine: MachineView,
  pool: PoolDeclaration,
): ModelTask[] {
  const tasks: ModelTask[] = [];
  for (const attempt of machine.attempts.values()) {
    if (!occupiesCapacity(attempt) || attempt.stopRequest !== null) continue;
    const spec = view.spec(attempt.job);
    if (spec === null || !isReplicaOf(pool, spec)) continue;
    tasks.push({
      name: `${attempt.job}/${attempt.index}#${attempt.number}`,
      isStored: attempt.state !== 'claiming',
      placedAt: attempt.createdAt,
    });
  }
  return tasks;
}

/** A slot that is kept, and its pool. */
interface ReservedSlot {
  entry: SlotEntry;
  pool: PoolDeclaration;
}

/** What `SlotReservations` work with. */
export interface SlotReservationsOptions {
  view: TermView;
  table: SlotTable;
  pool: (name: string) => PoolDeclaration | undefined;
  /** Time of day in ms. */
  clock: Pick<TermTimeOfDay, 'nowMs'>;
}

/** The part of each machine that is kept for slots. */
export class SlotReservations {
  private claims: Claims = { slots: new Set(), tasks: new Set() };

  constructor(private readonly options: SlotReservationsOptions) {}

  /** What is known of claims, anew at every tick. */
  setClaims(claims: Claims): void {
    this.claims = claims;
  }

  /** Whether a replica is on its way to the slot. */
  isClaimed(id: string): boolean {
    return this.claims.slots.has(id);
  }

  /** See `SubsystemTerm.keeps`. */
  keeps(machine: string): boolean {
    return this.options.table.held().has(machine);
  }

  /** What the slots on a machine take together, in whole machines' shares; of those that are there. */
  keptMachines(): number {
    const { view, table } = this.options;
    let sum = 0;
    for (const [machine, entries] of table.held()) {
      const isAvailable = view.machine(machine)?.state === 'ready' || view.isPending(machine);
      if (!isAvailable) continue;
      for (const { id, current } of entries) if (!this.isClaimed(id)) sum += current.share;
    }
    return sum;
  }

  /** The slots that are kept on a machine, less those on whose place a replica was put since the last round. */
  private reservedSlots(machine: string): ReservedSlot[] {
    const entries = this.options.table.held().get(machine);
    if (entries === undefined) return [];
    const unassignedByPool = new Map<PoolDeclaration, number>();
    const reserved: ReservedSlot[] = [];
    for (const entry of entries) {
      const pool = this.options.pool(entry.current.pool);
      if (pool === undefined || this.isClaimed(entry.id)) continue;
      const left = unassignedByPool.get(pool) ?? this.unassignedReplicaCount(machine, pool, entry);
      unassignedByPool.set(pool, Math.max(0, left - 1));
      if (left === 0) reserved.push({ entry, pool });
    }
    return reserved;
  }

  /** Replicas that no slot is known to be used by yet. */
  private unassignedReplicaCount(
    machine: string,
    pool: PoolDeclaration,
    { current }: SlotEntry,
  ): number {
    const { view } = this.options;
    const machineView = view.machine(machine);
    if (machineView === undefined) return 0;
    const { tasks } = this.claims;
    const isNew = ({ name }: ModelTask): boolean =>
      !tasks.has(name) && !current.beside.includes(name);
    return modelTasks(view, machineView, pool).filter(isNew).length;
  }

  /** See `SubsystemTerm.mayUse`. */
  mayUse(spec: JobSpec, capacity: FreeCapacity): boolean {
    const reserved = this.reservedSlots(capacity.id);
    if (reserved.length === 0 || reserved.some(({ pool }) => isReplicaOf(pool, spec))) return true;
    if (this.wouldEvictImage(spec, capacity.id, reserved)) return false;
    return leavesCapacity(spec, capacity, reserved) || this.mayBorrow(spec, capacity, reserved);
  }

  /** A place that is warm for the replica, or about to be, saves it a boot. */
  preferenceS(spec: JobSpec, capacity: FreeCapacity): number {
    if (!this.reservedSlots(capacity.id).some(({ pool }) => isReplicaOf(pool, spec))) return 0;
    return (this.options.view.machineTypes().get(capacity.type)?.bootS ?? 0) * PREFERENCE_BOOTS;
  }

  /** Whether a slot of this shape finds capacity there beside what is kept already. */
  hasCapacityFor(shape: ReplicaShape, capacity: FreeCapacity): boolean {
    return leavesCapacity(shape, capacity, this.reservedSlots(capacity.id));
  }

  /** The machine would drop an image that a slot is kept for. */
  private wouldEvictImage(spec: JobSpec, machine: string, reserved: ReservedSlot[]): boolean {
    const { view } = this.options;
    const machineView = view.machine(machine);
    const type = view.machineTypes().get(machineView?.type ?? '');
    if (machineView === undefined || type === undefined || machineView.images.has(spec.image))
      return false;
    if (!reserved.some(({ pool }) => machineView.images.has(pool.image))) return false;
    return machineView.images.totalGb + spec.imageGb > type.cacheGb;
  }

  /** Short best-effort work may use a place until shortly before the burst, where operators say so. */
  private mayBorrow(spec: JobSpec, capacity: FreeCapacity, reserved: ReservedSlot[]): boolean {
    if (spec.priority !== BEST_EFFORT_PRIORITY || spec.kind !== 'array') return false;
    const fetchS = capacity.imageDelayS(spec.image, spec.imageGb);
    const neededS = fetchS + spec.estimateS * ESTIMATE_SAFETY_FACTOR + spec.saveS;
    const nowMs = this.options.clock.nowMs();
    return reserved.every(({ pool, entry }) => {
      return pool.lend && nowMs + neededS * 1000 < entry.current.burstMs;
    });
  }
}

function leavesCapacity(shape: Resources, free: Resources, reserved: ReservedSlot[]): boolean {
  const needed = { cores: shape.cores, gpus: shape.gpus, memGb: shape.memGb };
  for (const { pool } of reserved) release(pool.shape, needed);
  return fits(needed, free);
}
