/** Warm pools in one term of leadership. */

import type { JobSpec } from '../jobs/types.js';
import type { FreeCapacity } from '../scheduler/bin-packing.js';
import type {
  OwnedWrite,
  StoredScaleOutRequest,
  SubsystemTerm,
  TermView,
} from '../subsystems/subsystem.js';
import type { TermTimeOfDay } from '../time-of-day.js';
import { Alarms } from './alarms.js';
import { Bill } from './bill.js';
import { burstId, Bursts } from './bursts.js';
import type { PoolDeclaration, WarmPoolsConfig } from './declaration.js';
import { LeadTimes } from './lead-times.js';
import type { ModelLoader } from './model-loader.js';
import { zeroSlotCounts } from './slot.js';
import { SlotPlanner } from './slot-planner.js';
import { SlotScaleOut } from './slot-scale-out.js';
import { SlotReservations } from './slot-reservations.js';
import { SlotTable, type SlotEntry } from './slot-table.js';
import { SlotMonitor } from './slot-monitor.js';

/** Maximum number of slots that one commit adds to the bill, as a share of the writes allowed in a second. */
const MERGE_WRITE_SHARE = 0.12;
/** Minimum interval between writes of measured lead times, in leases. */
const LEAD_TIME_STORE_LEASES = 3;

/** Warm pools in one term of leadership. */
export class WarmPoolsTerm implements SubsystemTerm {
  private readonly pools: ReadonlyMap<string, PoolDeclaration>;
  private readonly clock: TermTimeOfDay;
  private readonly table = new SlotTable();
  private readonly leadTimes = new LeadTimes();
  private readonly bill: Bill;
  private readonly bursts: Bursts;
  private readonly alarms: Alarms;
  private readonly reservations: SlotReservations;
  private readonly slotScaleOut: SlotScaleOut;
  private readonly planner: SlotPlanner;
  private readonly monitor: SlotMonitor;
  private leadTimesStoredAt: number;
  /** Models on machines that had slots in the latest round, as `machine image`. */
  private loadedModels = new Map<string, { machine: string; image: string }>();

  constructor(
    private readonly view: TermView,
    config: WarmPoolsConfig,
    private readonly loader: ModelLoader,
  ) {
    const { settings } = view;
    this.pools = new Map(config.pools.map((pool) => [pool.name, pool]));
    this.clock = view.timeOfDay;
    this.bill = new Bill(maxSlotsPerMerge(settings.state), config.keepBillDays);
    this.alarms = new Alarms(view.log);
    this.bursts = new Bursts(config.pools, view, this.leadTimes, (pool) =>
      this.bill.lastBilledBurstMs(pool),
    );
    const shared = {
      view,
      table: this.table,
      pool: (name: string) => this.pools.get(name),
      clock: this.clock,
    };
    this.reservations = new SlotReservations(shared);
    this.slotScaleOut = new SlotScaleOut({
      ...shared,
      assignmentOf: (slot, machine, type) => this.planner.assignmentOf(slot, machine, type),
    });
    const { alarms, reservations, slotScaleOut: scaleOutRequests, leadTimes } = this;
    this.planner = new SlotPlanner({ ...shared, scaleOutRequests, reservations, alarms });
    this.monitor = new SlotMonitor({ ...shared, loader, leadTimes });
    this.leadTimesStoredAt = view.now();
    this.reconcile();
    this.takeOverHeldSlots();
  }

  private reconcile(): void {
    const records = this.view.records();
    this.table.reconcile(records);
    this.bill.reconcile(records);
    this.leadTimes.reconcile(records);
  }

  /** Runs one round. Nothing new is decided while nothing can be stored. */
  tick(): void {
    const nowMs = this.clock.nowMs();
    if (!this.view.canWrite()) return;
    this.reconcile();
    this.recordClockSet();
    this.reservations.setClaims(this.monitor.update());
    const money = this.bill.moneyByDay(this.table.values(), this.clock.steadyMs());
    this.planner.plan(this.bursts.activeAt(nowMs), money);
    this.unloadUnneededModels();
    if (this.clock.hasPendingJump) this.alarms.raise('clock_jump', 'all', 'the time of day jumped');
    this.alarms.endRound();
    this.view.wakeWriter();
    this.view.wakeProvisioner();
  }

  /** Converts held intervals that an earlier term measured by its own time of day. */
  private takeOverHeldSlots(): void {
    const atMs = this.clock.steadyMs();
    for (const entry of this.heldSlots()) {
      if (entry.current.held?.clockSetMs !== 0)
        this.table.apply(entry, { kind: 'taken-over', atMs });
    }
  }

  /**
   * Records in the held slots by how much the time of day was set, so that a successor can convert their
   * intervals. Every round repeats the comparison, because an earlier commit may be carried out late and restore
   * an old value.
   */
  private recordClockSet(): void {
    for (const entry of this.heldSlots()) {
      const byMs = this.clock.jumpedMs - (entry.current.held?.clockSetMs ?? 0);
      if (byMs !== 0) this.table.apply(entry, { kind: 'clock-set', byMs });
    }
  }

  private heldSlots(): SlotEntry[] {
    return [...this.table.held().values()].flat();
  }

  /** Unloads models that no slot and no replica on their machine needs any more. */
  private unloadUnneededModels(): void {
    const needed = new Map<string, { machine: string; image: string }>();
    for (const [machine, entries] of this.table.held()) {
      for (const { current } of entries) {
        const pool = this.pools.get(current.pool);
        if (pool === undefined) continue;
        needed.set(`${machine} ${pool.image}`, { machine, image: pool.image });
      }
    }
    for (const [key, { machine, image }] of this.loadedModels) {
      if (needed.has(key)) continue;
      const machineView = this.view.machine(machine);
      if (machineView === undefined) this.loader.forget(machine);
      else if (!this.isImageInUse(machineView.attempts.values(), image))
        this.loader.unload(machineView, image);
    }
    this.loadedModels = needed;
  }

  private isImageInUse(attempts: Iterable<{ job: string }>, image: string): boolean {
    for (const { job } of attempts) if (this.view.spec(job)?.image === image) return true;
    return false;
  }

  /** See `SubsystemTerm.scaleOutRequests`. */
  scaleOutRequests(): StoredScaleOutRequest[] {
    return this.slotScaleOut.due();
  }

  /** See `SubsystemTerm.retainsMachine`. */
  retainsMachine(machine: string): boolean {
    return this.reservations.retainsMachine(machine);
  }

  /** See `SubsystemTerm.reservedMachines`. */
  reservedMachines(): number {
    return this.reservations.reservedMachines();
  }

  /** See `SubsystemTerm.mayUse`. */
  mayUse(spec: JobSpec, capacity: FreeCapacity): boolean {
    return this.reservations.mayUse(spec, capacity);
  }

  /** See `SubsystemTerm.preferenceS`. */
  preferenceS(spec: JobSpec, capacity: FreeCapacity): number {
    return this.reservations.preferenceS(spec, capacity);
  }

  /** See `SubsystemTerm.dueWrites`. */
  dueWrites(): OwnedWrite[] {
    const slots = this.table.dueWrites();
    if (slots.length > 0) return slots;
    const nowMs = this.clock.nowMs();
    const open = new Set(
      this.bursts.activeAt(nowMs).map((burst) => burstId(burst.pool.name, burst.burstMs)),
    );
    const isOver = (pool: string, burstMs: number): boolean => {
      return burstMs < nowMs && !open.has(burstId(pool, burstMs));
    };
    const bill = this.bill.dueWrites(this.table, isOver, nowMs);
    return bill.length > 0 ? bill : this.dueLeadTimeWrites();
  }

  private dueLeadTimeWrites(): OwnedWrite[] {
    const { settings } = this.view;
    const now = this.view.now();
    if (now - this.leadTimesStoredAt < settings.workers.lease_s * LEAD_TIME_STORE_LEASES) return [];
    const due = this.leadTimes.dueWrites();
    if (due.length > 0) this.leadTimesStoredAt = now;
    return due;
  }

  /** See `SubsystemTerm.statistics`. */
  statistics(): Record<string, number | string> {
    const states = zeroSlotCounts();
    for (const { current } of this.table.values()) states[current.state]++;
    const figures: Record<string, number | string> = {};
    for (const [state, count] of Object.entries(states)) figures[`warm_slots_${state}`] = count;
    figures.warm_machines_kept = this.reservations.reservedMachines();
    figures.warm_pools_alarms = this.alarms.describe();
    figures.warm_pools_clock_jumps = this.clock.jumps;
    return figures;
  }

  /** See `SubsystemTerm.stop`. */
  stop(): void {
    this.loader.stop();
  }
}

function maxSlotsPerMerge(state: { txn_ops: number; write_rps: number }): number {
  return Math.max(1, Math.min(state.txn_ops - 1, Math.floor(state.write_rps * MERGE_WRITE_SHARE)));
}
