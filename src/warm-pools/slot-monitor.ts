/** What becomes of slots that have a machine: warm, used, or lost with it. */

import { fits, type MachineType } from '../jobs/types.js';
import { release, allocate } from '../scheduler/bin-packing.js';
import type { MachineView, TermView } from '../subsystems/subsystem.js';
import { occupiesCapacity } from '../workers/attempt.js';
import type { TermTimeOfDay } from '../time-of-day.js';
import type { PoolDeclaration } from './declaration.js';
import type { LeadTimes } from './lead-times.js';
import type { ModelLoader } from './model-loader.js';
import { isHeld, type SlotEvent } from './slot.js';
import { modelTasks, type Claims, type ModelTask } from './slot-reservations.js';
import type { SlotEntry, SlotTable } from './slot-table.js';

/**
 * A machine that has not come after so many times its lead time and so many leases, for its heartbeats, never
 * will. Some boots take several times as long as nominal ones: with the lead time alone, machines that were
 * about to come were given up and others requested in their place.
 */
const BOOT_TIMEOUT_LEAD_TIMES = 3;
const BOOT_TIMEOUT_LEASES = 2;
/** Machines that nothing is known of are judged after so many leases of a term, and of a slot's life. */
const SETTLING_LEASES = 1;
/** From placing a replica to its start, which may wait for a heartbeat: at most so many intervals. */
const START_DELAY_HEARTBEATS = 1.5;
/** An earlier term that placed a replica and did not say so ended at most so long before this one began. */
const INHERITED_USE_LEASES = 2;

/** What a `SlotMonitor` works with. */
export interface SlotMonitorOptions {
  view: TermView;
  table: SlotTable;
  loader: ModelLoader;
  leadTimes: LeadTimes;
  pool: (name: string) => PoolDeclaration | undefined;
  /** Time of day by which bursts are kept, and by which held time is measured: see `TermTimeOfDay`. */
  clock: Pick<TermTimeOfDay, 'nowMs' | 'steadyMs'>;
}

/** Carries slots on by what is seen of their machines: warm, used or lost. */
export class SlotMonitor {
  private readonly termStartedAt: number;
  /** Boots that were measured already, by slot. */
  private readonly measuredBoots = new Set<string>();

  constructor(private readonly options: SlotMonitorOptions) {
    this.termStartedAt = options.view.now();
  }

  /** Looks at every slot that has a machine. */
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

  /** Tasks that slots were used by. */
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

  /** What shows that a slot's machine is gone or of no use; null: nothing does. */
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
    if (machine.reclaimedAt === null) return null;
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
      // Charged until it was gone, which nobody saw.
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

  /** A replica with the model that came after the slot uses it; the warm places go first. */
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
        return !used.has(name) && !entry.current.beside.includes(name);
      });
      if (task === undefined) continue;
      used.add(task.name);
      claimed.add(entry.id);
      if (task.isStored) this.options.table.apply(entry, this.useEvent(task));
    }
  }

  /** Idle time ends with the placing; storing and sending the start take a moment more. */
  private useEvent({ name, placedAt }: ModelTask): SlotEvent {
    const { view, clock } = this.options;
    const { report_s, lease_s } = view.settings.workers;
    const sinceMs = Math.max(0, view.now() - placedAt) * 1000;
    // Placed by an earlier term, which ended before it could say so.
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
    // Heard first by this term, which began before: otherwise the boot was over already.
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

  /** Work that came before the slot was known here has taken its place: the slot is looked for anew. */
  private detectOccupied(
    machine: MachineView,
    entries: readonly SlotEntry[],
    claimed: ReadonlySet<string>,
  ): void {
    const { view, table, clock } = this.options;
    const type = view.machineTypes().get(machine.type);
    if (type === undefined) return;
    const free = freeCapacityOn(view, machine, type);
    for (const entry of entries) {
      const pool = this.options.pool(entry.current.pool);
      if (pool === undefined || !isHeld(entry.current) || claimed.has(entry.id)) continue;
      const isLent = pool.lend && clock.nowMs() < entry.current.burstMs;
      if (fits(pool.shape, free) || isLent) allocate(pool.shape, free);
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

/** What is free of a machine of this type by the attempts that may be on it. */
function freeCapacityOn(
  view: TermView,
  machine: MachineView,
  type: MachineType,
): {
  cores: number;
  gpus: number;
  memGb: number;
} {
  const used = { cores: 0, gpus: 0, memGb: 0 };
  for (const attempt of machine.attempts.values()) {
    const spec = occupiesCapacity(attempt) ? view.spec(attempt.job) : null;
    if (spec !== null) release(spec, used);
  }
  return {
    cores: type.cores - used.cores,
    gpus: type.gpus - used.gpus,
    memGb: type.memGb - used.memGb,
  };
}
