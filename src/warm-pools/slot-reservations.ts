/** Capacity of machines that is reserved for slots, and which tasks may use it. */

import type { TermTimeOfDay } from '../time-of-day.js';
import { fits, type JobSpec, type Resources } from '../jobs/types.js';
import type { FreeCapacity } from '../scheduler/bin-packing.js';
import { allocate, copyRoom, hasRoomFor, type Room } from '../scheduler/room.js';
import type { MachineView, TermView } from '../subsystems/subsystem.js';
import { occupiesCapacity } from '../workers/attempt.js';
import type { PoolDeclaration, ReplicaShape } from './declaration.js';
import type { SlotEntry, SlotTable } from './slot-table.js';

/** Factor on the run-time estimate of work that borrows a slot: estimates are wrong by half and more. */
const ESTIMATE_SAFETY_FACTOR = 2;
/** Preference of replicas for a machine with a slot over the same one without, in boot times of its type. */
const PREFERENCE_BOOTS = 1;
const BEST_EFFORT_PRIORITY = 3;

/** Whether tasks of the job are replicas for which the pool reserves slots. */
function isReplicaOf(pool: PoolDeclaration, spec: JobSpec): boolean {
  return (
    spec.image === pool.image && spec.kind === 'service' && spec.tasks > 0 && fits(spec, pool.shape)
  );
}

/** Replicas on slots, as found in a round. */
export interface Claims {
  /** Slots for which a replica was found, even if its claim is not stored yet. */
  slots: ReadonlySet<string>;
  /** Tasks that use or claim slots. */
  tasks: ReadonlySet<string>;
}

/** A task with a pool's model on a machine. */
export interface ModelTask {
  /** `job/index#attempt` */
  name: string;
  /** Whether its claim is stored. */
  isStored: boolean;
  /** When it was placed, in seconds of the steady clock; if an earlier term placed it, when this term began. */
  placedAt: number;
}

/** Tasks with a pool's model on a machine that were not asked to stop. */
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

/** A slot with a reservation, and its pool. */
interface ReservedSlot {
  entry: SlotEntry;
  pool: PoolDeclaration;
}

/** Options of `SlotReservations`. */
export interface SlotReservationsOptions {
  view: TermView;
  table: SlotTable;
  pool: (name: string) => PoolDeclaration | undefined;
  /** Time of day in ms. */
  clock: Pick<TermTimeOfDay, 'nowMs'>;
}

/** The capacity that is reserved for slots on each machine. */
export class SlotReservations {
  private claims: Claims = { slots: new Set(), tasks: new Set() };

  constructor(private readonly options: SlotReservationsOptions) {}

  /** Replaces the known claims; called at every tick. */
  setClaims(claims: Claims): void {
    this.claims = claims;
  }

  /** Whether a replica was found for the slot. */
  isClaimed(id: string): boolean {
    return this.claims.slots.has(id);
  }

  /** See `SubsystemTerm.retainsMachine`. */
  retainsMachine(machine: string): boolean {
    return this.options.table.held().has(machine);
  }

  /** Sum of the machine shares of unclaimed slots on machines that are ready or pending. */
  reservedMachines(): number {
    const { view, table } = this.options;
    let sum = 0;
    for (const [machine, entries] of table.held()) {
      const isAvailable = view.machine(machine)?.state === 'ready' || view.isPending(machine);
      if (!isAvailable) continue;
      for (const { id, current } of entries) if (!this.isClaimed(id)) sum += current.share;
    }
    return sum;
  }

  /** Slots with a reservation on a machine, less one for each replica placed there since the last round. */
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

  /** Number of replicas on a machine that are not yet known to use a slot. */
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
      !tasks.has(name) && !current.earlierTasks.includes(name);
    return modelTasks(view, machineView, pool).filter(isNew).length;
  }

  /** See `SubsystemTerm.mayUse`. */
  mayUse(spec: JobSpec, capacity: FreeCapacity): boolean {
    const reserved = this.reservedSlots(capacity.id);
    if (reserved.length === 0 || reserved.some(({ pool }) => isReplicaOf(pool, spec))) return true;
    if (this.wouldEvictImage(spec, capacity.id, reserved)) return false;
    return leavesCapacity(spec, capacity, reserved) || this.mayBorrow(spec, capacity, reserved);
  }

  /** A slot that is warm for the replica, or about to be, saves it a boot. */
  preferenceS(spec: JobSpec, capacity: FreeCapacity): number {
    if (!this.reservedSlots(capacity.id).some(({ pool }) => isReplicaOf(pool, spec))) return 0;
    return (this.options.view.machineTypes().get(capacity.type)?.bootS ?? 0) * PREFERENCE_BOOTS;
  }

  /** Whether a slot of this shape fits on the machine in addition to its reservations. */
  hasCapacityFor(shape: ReplicaShape, capacity: FreeCapacity): boolean {
    return leavesCapacity(shape, capacity, this.reservedSlots(capacity.id));
  }

  /** Whether the job's image would make the machine evict an image for which a slot is reserved. */
  private wouldEvictImage(spec: JobSpec, machine: string, reserved: ReservedSlot[]): boolean {
    const { view } = this.options;
    const machineView = view.machine(machine);
    const type = view.machineTypes().get(machineView?.type ?? '');
    if (machineView === undefined || type === undefined || machineView.images.has(spec.image))
      return false;
    if (!reserved.some(({ pool }) => machineView.images.has(pool.image))) return false;
    return machineView.images.totalGb + spec.imageGb > type.cacheGb;
  }

  /** Short best-effort work may use a slot until shortly before the burst if the pool allows it (`lend`). */
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

function leavesCapacity(shape: Resources, free: Room, reserved: ReservedSlot[]): boolean {
  const left = copyRoom(free);
  for (const { pool } of reserved) allocate(pool.shape, left);
  return hasRoomFor(shape, left);
}
