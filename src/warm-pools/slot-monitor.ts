/** Monitors slots that have a machine: they become warm, used or lost. */

import type { MachineType } from '../jobs/types.js';
import { allocate, hasRoomFor, type Room } from '../scheduler/room.js';
import type { MachineView, TermView } from '../subsystems/subsystem.js';
import { occupiesCapacity } from '../workers/attempt.js';
import type { TermTimeOfDay } from '../time-of-day.js';
import type { PoolDeclaration } from './declaration.js';
import type { LeadTimes } from './lead-times.js';
import type { ModelLoader } from './model-loader.js';
import { MAX_REPORTED_TASKS } from '../wire/workers.js';
import { isHeld, type SlotEvent } from './slot.js';
import { modelTasks, type Claims, type ModelTask } from './slot-reservations.js';
import type { SlotEntry, SlotTable } from './slot-table.js';

/**
 * A machine that is still unknown after these lead times, plus these leases for its heartbeats, counts as
 * failed to boot. Some boots take several times as long as nominal ones: with the lead time alone, machines
 * that were about to be ready were released and others requested in their place.
 */
const BOOT_TIMEOUT_LEAD_TIMES = 3;
const BOOT_TIMEOUT_LEASES = 2;
/** Leases after the start of the term and of the held interval before an unknown machine may count as gone. */
const SETTLING_LEASES = 1;
/** Maximum heartbeat intervals from placing a replica to its start, which may wait for a heartbeat. */
const START_DELAY_HEARTBEATS = 1.5;
/**
 * Maximum leases between the end of an earlier term, which placed a replica without recording the use, and the
 * start of this term.
 */
const INHERITED_USE_LEASES = 2;

/** Options of a `SlotMonitor`. */
export interface SlotMonitorOptions {
  view: TermView;
  table: SlotTable;
  loader: ModelLoader;
  leadTimes: LeadTimes;
  pool: (name: string) => PoolDeclaration | undefined;
  /** `nowMs` gives the times of bursts, `steadyMs` measures held intervals: see `TermTimeOfDay`. */
  clock: Pick<TermTimeOfDay, 'nowMs' | 'steadyMs'>;
}

/** Updates slots according to the state of their machines. */
export class SlotMonitor {
  private readonly termStartedAt: number;
  /** Slots whose boot time has been measured. */
  private readonly measuredBoots = new Set<string>();

  constructor(private readonly options: SlotMonitorOptions) {
    this.termStartedAt = options.view.now();
  }

  /** Checks every slot that has a machine. Returns the claims that it found. */
  update(): Claims {
    const { table, view } = this.options;
    const claimed = new Set<string>();
    const used = this.usedTasks();
    for (const [machine, entries] of [...table.held()]) {
      const machineView = view.machine(machine);
      for (const entry of [...entries]) this.detectLoss(entry, machineView);
      if (machineView === undefined) continue;
      this.detectUse(machineView, entries, used, claimed);
      for (const entry of entries) {
        if (isHeld(entry.current) && !claimed.has(entry.id)) this.detectLoaded(entry, machineView);
      }
      this.detectOccupied(machineView, entries, claimed);
    }
    return { slots: claimed, tasks: used };
  }

  /** Tasks that use slots. */
  private usedTasks(): Set<string> {
    const used = new Set<string>();
    for (const { current } of this.options.table.values()) {
      if (current.task !== null) used.add(current.task);
    }
    return used;
  }

  private detectLoss(entry: SlotEntry, machine: MachineView | undefined): void {
    const event = this.lossEvent(entry, machine);
    if (event === null) return;
    this.options.table.apply(entry, event);
    if (machine !== undefined) this.options.loader.forget(machine.id);
  }

  /** The loss of a slot whose machine is gone or cannot be used; null if it is not lost. */
  private lossEvent(entry: SlotEntry, machine: MachineView | undefined): SlotEvent | null {
    if (machine === undefined) return this.unknownMachineLoss(entry);
    const { view, clock } = this.options;
    const atMs = clock.steadyMs();
    if (
      machine.state === 'silent' ||
      machine.state === 'returning' ||
      machine.state === 'returned'
    ) {
      const silentMs = Math.max(0, view.now() - machine.lastSeenAt) * 1000;
      return {
        kind: 'lost',
        reason: machine.state,
        atMs: atMs - silentMs,
        uncertainMs: silentMs,
      };
    }
    if (machine.condition.quarantined)
      return { kind: 'lost', reason: 'faulty', atMs, uncertainMs: 0 };
    if (machine.reclaimAt === null) return null;
    return { kind: 'lost', reason: 'taken back', atMs, uncertainMs: 0 };
  }

  private unknownMachineLoss({ current }: SlotEntry): SlotEvent | null {
    const { view, clock } = this.options;
    const { lease_s } = view.settings.workers;
    const { fromMs } = current.held!;
    const atMs = clock.steadyMs();
    const heldS = (atMs - fromMs) / 1000;
    const settlingS = lease_s * SETTLING_LEASES + view.settings.cloud.list_lag_s * 2;
    const isSettled = view.now() - this.termStartedAt > settlingS && heldS > settlingS;
    const id = current.machine!;
    if (isSettled && !view.isPending(id) && view.isListed(id) === false) {
      // It is unknown when the machine disappeared, so the whole interval is uncertain.
      return { kind: 'lost', reason: 'gone', atMs: fromMs, uncertainMs: heldS * 1000 };
    }
    const leadTimeS = this.leadTimeS(current.pool, current.request);
    if (heldS <= leadTimeS * BOOT_TIMEOUT_LEAD_TIMES + lease_s * BOOT_TIMEOUT_LEASES) return null;
    return { kind: 'lost', reason: 'never came', atMs, uncertainMs: 0 };
  }

  private leadTimeS(poolName: string, request: { type: string; zone: string } | null): number {
    const pool = this.options.pool(poolName);
    const type = this.options.view.machineTypes().get(request?.type ?? '');
    if (pool === undefined || type === undefined || request === null) return Infinity;
    return this.options.leadTimes.leadTimeS(type, request.zone, pool.image, pool.imageGb);
  }

  /** Replicas with the model that were placed after a slot got its machine use it; warm slots come first. */
  private detectUse(
    machine: MachineView,
    entries: readonly SlotEntry[],
    used: Set<string>,
    claimed: Set<string>,
  ): void {
    const open = entries.filter(({ current }) => isHeld(current));
    open.sort((a, b) => rank(a) - rank(b));
    for (const entry of open) {
      const pool = this.options.pool(entry.current.pool);
      if (pool === undefined) continue;
      const task = this.modelTasks(machine, pool).find(({ name }) => {
        return !used.has(name) && !entry.current.earlierTasks.includes(name);
      });
      if (task === undefined) continue;
      used.add(task.name);
      claimed.add(entry.id);
      if (task.isStored) this.options.table.apply(entry, this.useEvent(task));
    }
  }

  /** Idle time ends when the replica is placed; storing its claim and sending its start take slightly longer. */
  private useEvent({ name, placedAt }: ModelTask): SlotEvent {
    const { view, clock } = this.options;
    const { report_s, lease_s } = view.settings.workers;
    const sinceMs = Math.max(0, view.now() - placedAt) * 1000;
    // Placed by an earlier term, which ended before it recorded the use.
    const isInherited = placedAt <= this.termStartedAt;
    const uncertainS = isInherited
      ? lease_s * INHERITED_USE_LEASES
      : report_s * START_DELAY_HEARTBEATS;
    const atMs = clock.steadyMs() - sinceMs;
    return { kind: 'used', task: name, atMs, uncertainMs: uncertainS * 1000 };
  }

  private modelTasks(machine: MachineView, pool: PoolDeclaration): ModelTask[] {
    return modelTasks(this.options.view, machine, pool);
  }

  private detectLoaded(entry: SlotEntry, machine: MachineView): void {
    const pool = this.options.pool(entry.current.pool);
    if (pool === undefined) return;
    const { loader, table, clock } = this.options;
    const state = loader.state(machine, pool);
    if (state === 'failed') {
      loader.forget(machine.id);
      table.apply(entry, {
        kind: 'lost',
        reason: 'not loaded',
        atMs: clock.steadyMs(),
        uncertainMs: 0,
      });
      return;
    }
    this.measureBoot(entry, machine);
    if (state !== 'ready' || entry.current.state !== 'loading') return;
    this.measureLoad(entry, machine, pool);
    table.apply(entry, { kind: 'loaded', atMs: clock.nowMs() });
  }

  private measureBoot({ id, current }: SlotEntry, machine: MachineView): void {
    if (current.request === null || machine.firstSeenAt === null || this.measuredBoots.has(id))
      return;
    this.measuredBoots.add(id);
    // The first heartbeat gives the boot time only if this term requested the machine: otherwise it may have
    // booted before this term began.
    const { leadTimes, clock, view } = this.options;
    const sinceFirstSeenS = view.now() - machine.firstSeenAt;
    const bootS = (clock.steadyMs() - current.held!.fromMs) / 1000 - sinceFirstSeenS;
    const isOwn = current.request.name.startsWith(view.uniquePrefix);
    if (isOwn && bootS > 0) leadTimes.recordBootTime(machine.type, machine.zone, bootS);
  }

  private measureLoad({ current }: SlotEntry, machine: MachineView, pool: PoolDeclaration): void {
    if (machine.firstSeenAt === null || current.request === null) return;
    const loadS = this.options.view.now() - machine.firstSeenAt;
    this.options.leadTimes.recordLoadTime(
      machine.type,
      machine.zone,
      pool.image,
      Math.max(0, loadS),
    );
  }

  /**
   * Marks slots as lost whose capacity is taken by work that was placed before this term knew them. The
   * planner replaces them.
   */
  private detectOccupied(
    machine: MachineView,
    entries: readonly SlotEntry[],
    claimed: ReadonlySet<string>,
  ): void {
    const { view, table, clock } = this.options;
    const type = view.machineTypes().get(machine.type);
    if (type === undefined) return;
    const free = roomOn(view, machine, type);
    for (const entry of entries) {
      const pool = this.options.pool(entry.current.pool);
      if (pool === undefined || !isHeld(entry.current) || claimed.has(entry.id)) continue;
      const isLent = pool.lend && clock.nowMs() < entry.current.burstMs;
      if (hasRoomFor(pool.shape, free) || isLent) allocate(pool.shape, free);
      else
        table.apply(entry, {
          kind: 'lost',
          reason: 'in use',
          atMs: clock.steadyMs(),
          uncertainMs: 0,
        });
    }
  }
}

const rank = ({ current }: SlotEntry): number => (current.state === 'warm' ? 0 : 1);

/** Room on a machine of this type, after all attempts that may be on it. */
function roomOn(view: TermView, machine: MachineView, type: MachineType): Room {
  const { cores, gpus, memGb } = type;
  const room: Room = { cores, gpus, memGb, taskSlots: MAX_REPORTED_TASKS };
  for (const attempt of machine.attempts.values()) {
    const spec = occupiesCapacity(attempt) ? view.spec(attempt.job) : null;
    if (spec !== null) allocate(spec, room);
  }
  return room;
}
