/** Decides how many slots each burst should have and on which machines, and changes slots accordingly. */

import type { TermView } from '../subsystems/subsystem.js';
import type { Alarms } from './alarms.js';
import type { MoneyByDay } from './bill.js';
import { burstId, type Burst } from './bursts.js';
import type { TermTimeOfDay } from '../time-of-day.js';
import type { PoolDeclaration } from './declaration.js';
import {
  allowedTypes,
  bestCapacity,
  isAllowed,
  slotShare,
  slotsPerMachine,
} from './machine-choice.js';
import { SlotAllowance } from './slot-allowance.js';
import { groupByTarget } from './slot-groups.js';
import {
  isHeld,
  isOpen,
  plannedSlot,
  type Slot,
  type MachineAssignment,
  type SlotRequest,
} from './slot.js';
import { distributeMachines, type SlotScaleOut } from './slot-scale-out.js';
import { modelTasks, type SlotReservations } from './slot-reservations.js';
import type { SlotEntry, SlotTable } from './slot-table.js';

/** Maximum number of lost slots that are replaced during a burst, for each declared slot. */
const MAX_LOSSES_PER_SLOT = 2;
/** Order in which slots are released: those that cost nothing yet come first. */
const RELEASE_ORDER: Partial<Record<Slot['state'], number>> = { planned: 0, loading: 1, warm: 2 };

/** Options of a `SlotPlanner`. */
export interface SlotPlannerOptions {
  view: TermView;
  table: SlotTable;
  scaleOutRequests: SlotScaleOut;
  reservations: SlotReservations;
  alarms: Alarms;
  pool: (name: string) => PoolDeclaration | undefined;
  /** `nowMs` gives the times of bursts, `steadyMs` measures held intervals: see `TermTimeOfDay`. */
  clock: Pick<TermTimeOfDay, 'nowMs' | 'steadyMs'>;
}

/** Slots of a burst: the open ones, and counts of the others. */
interface BurstSlots {
  open: SlotEntry[];
  used: number;
  lost: number;
  nextIndex: number;
}

/** Plans the slots of all bursts. */
export class SlotPlanner {
  private readonly termStartMs: number;
  private requestCount = 0;
  /** When pools that released slots above their allowance may add slots again, in seconds of the steady clock. */
  private readonly addAllowedFrom = new Map<string, number>();

  constructor(private readonly options: SlotPlannerOptions) {
    this.termStartMs = options.clock.nowMs();
  }

  /** Runs one planning round. `bursts`: in the order in which they get capacity. */
  plan(bursts: readonly Burst[], money: MoneyByDay): void {
    const slotsByBurst = this.slotsByBurst();
    const allowance = new SlotAllowance(this.options);
    for (const burst of bursts) {
      const burstSlots = slotsByBurst.get(burstId(burst.pool.name, burst.burstMs));
      this.planBurst(
        burst,
        burstSlots ?? { open: [], used: 0, lost: 0, nextIndex: 0 },
        allowance,
        money,
      );
    }
    this.releaseInactive(new Set(bursts.map((burst) => burstId(burst.pool.name, burst.burstMs))));
  }

  private slotsByBurst(): Map<string, BurstSlots> {
    const byBurst = new Map<string, BurstSlots>();
    for (const entry of this.options.table.values()) {
      const { pool, burstMs, index, state } = entry.current;
      const id = burstId(pool, burstMs);
      const burstSlots = byBurst.get(id) ?? { open: [], used: 0, lost: 0, nextIndex: 0 };
      byBurst.set(id, burstSlots);
      burstSlots.nextIndex = Math.max(burstSlots.nextIndex, index + 1);
      if (state === 'lost') burstSlots.lost++;
      else if (state === 'used' || this.options.reservations.isClaimed(entry.id)) burstSlots.used++;
      else if (isOpen(entry.current)) burstSlots.open.push(entry);
    }
    return byBurst;
  }

  private planBurst(
    burst: Burst,
    burstSlots: BurstSlots,
    allowance: SlotAllowance,
    money: MoneyByDay,
  ): void {
    const { pool } = burst;
    if (allowedTypes(pool, this.options.view.machineTypes()).length === 0) {
      const wanted = pool.types?.join(', ') ?? 'any type';
      this.options.alarms.raise('unknown_type', pool.name, `${wanted}: none fits`);
    }
    const wanted = Math.max(0, Math.min(pool.slots, pool.slots + pool.refills - burstSlots.used));
    const affordable = allowance.withinBudget(burst, burstSlots.open, wanted, money);
    const allowed = allowance.withinTeamLimit(burst.pool, affordable);
    if (burstSlots.open.length > allowed) {
      const reason = allowed < affordable ? 'team limit' : affordable < wanted ? 'budget' : 'fewer';
      this.releaseExcess(burst, burstSlots, burstSlots.open.length - allowed, reason);
    } else this.add(burst, burstSlots, allowed);
    this.findMachines(burst, burstSlots);
    this.raiseLateAlarm(burst, burstSlots, wanted);
  }

  private add({ pool, burstMs, leadTimeS }: Burst, burstSlots: BurstSlots, allowed: number): void {
    const { view, table, alarms } = this.options;
    if ((this.addAllowedFrom.get(pool.name) ?? -Infinity) > view.now()) return;
    if (burstSlots.lost > pool.slots * MAX_LOSSES_PER_SLOT) {
      alarms.raise('too_many_losses', pool.name, `${burstSlots.lost} lost`);
      return;
    }
    for (let missing = allowed - burstSlots.open.length; missing > 0; missing--) {
      const index = burstSlots.nextIndex++;
      const sendFromMs = burstMs - leadTimeS * 1000;
      const { name, team } = pool;
      const entry = table.add(plannedSlot({ pool: name, burstMs, index, team, sendFromMs }));
      burstSlots.open.push(entry);
    }
  }

  private releaseExcess(burst: Burst, burstSlots: BurstSlots, count: number, reason: string): void {
    const rank = ({ current }: SlotEntry): number => RELEASE_ORDER[current.state] ?? Infinity;
    const releasable = burstSlots.open.filter((a) => this.mayRelease(a));
    releasable.sort((a, b) => rank(a) - rank(b) || b.current.index - a.current.index);
    for (const entry of releasable.slice(0, count)) this.release(entry, reason);
    burstSlots.open = burstSlots.open.filter(({ current }) => isOpen(current));
    // The team's usage fluctuates: slots that were released because of it are not added again at once.
    this.addAllowedFrom.set(burst.pool.name, this.options.view.now() + burst.leadTimeS);
  }

  /** A slot whose request may have been sent waits for the outcome: otherwise its machine would have no owner. */
  private mayRelease({ current }: SlotEntry): boolean {
    if (isHeld(current)) return true;
    if (current.state !== 'planned') return false;
    return !this.options.scaleOutRequests.mayHaveBeenSent(current, this.termStartMs);
  }

  private release(entry: SlotEntry, reason: string): void {
    const { table, clock } = this.options;
    table.apply(entry, { kind: 'released', reason, atMs: clock.steadyMs() });
  }

  /** Releases slots of bursts that are over and of pools that are no longer declared. */
  private releaseInactive(current: ReadonlySet<string>): void {
    for (const entry of this.options.table.values()) {
      const { pool, burstMs } = entry.current;
      if (!isOpen(entry.current) || current.has(burstId(pool, burstMs))) continue;
      const reason = this.options.pool(pool) === undefined ? 'not declared' : 'burst over';
      if (this.mayRelease(entry)) this.release(entry, reason);
      else if (entry.current.state === 'planned') this.markRequestDue(entry);
    }
  }

  private findMachines(burst: Burst, burstSlots: BurstSlots): void {
    const { clock } = this.options;
    const planned = burstSlots.open.filter(({ current }) => current.state === 'planned');
    if (planned.length === 0) return;
    const isDue = clock.nowMs() >= burst.burstMs - burst.leadTimeS * 1000;
    const toRequest: SlotEntry[] = [];
    for (const entry of planned) {
      if (this.options.scaleOutRequests.mayHaveBeenSent(entry.current, this.termStartMs))
        this.markRequestDue(entry);
      else if (!isDue) {
        if (entry.current.request === null) toRequest.push(entry);
      } else if (!this.adopt(burst, entry)) toRequest.push(entry);
    }
    if (toRequest.length > 0) this.nameRequests(burst, burstSlots, toRequest, isDue);
  }

  private markRequestDue(entry: SlotEntry): void {
    this.options.table.apply(entry, { kind: 'request-due' });
  }

  /** Reserves an existing machine for the slot; returns false if there is none. */
  private adopt({ pool }: Burst, entry: SlotEntry): boolean {
    const { view, reservations, table, clock } = this.options;
    const best = bestCapacity(
      pool,
      view.freeCapacities(),
      (capacity) => this.mayAdopt(capacity.id) && reservations.hasCapacityFor(pool.shape, capacity),
    );
    if (best === null) return false;
    const assignment = this.assignmentOf(entry.current, best.id, best.type);
    table.apply(entry, { kind: 'adopted', assignment, atMs: clock.steadyMs() });
    return true;
  }

  private mayAdopt(machine: string): boolean {
    const m = this.options.view.machine(machine);
    if (m === undefined || m.state !== 'ready') return false;
    return !m.condition.quarantined && m.reclaimAt === null && m.drainingSince === null;
  }

  /** The assignment of a machine to a slot. Replicas that are already on the machine do not use the slot. */
  assignmentOf(slot: Slot, machine: string, typeName: string): MachineAssignment {
    const { view, pool: poolOf } = this.options;
    const pool = poolOf(slot.pool);
    const type = view.machineTypes().get(typeName);
    const machineView = view.machine(machine);
    const isKnown = pool !== undefined && machineView !== undefined;
    return {
      machine,
      share: pool !== undefined && type !== undefined ? slotShare(pool.shape, type) : 1,
      pricePerHour: type?.price ?? 0,
      earlierTasks: isKnown ? modelTasks(view, machineView, pool).map(({ name }) => name) : [],
    };
  }

  /** Names the requests for slots without a machine; they may be sent at once if they are due. */
  private nameRequests(
    burst: Burst,
    burstSlots: BurstSlots,
    entries: SlotEntry[],
    isDue: boolean,
  ): void {
    const { table } = this.options;
    const { pool } = burst;
    const { found, left } = groupByTarget(this.options.view, pool, burstSlots.open, entries);
    for (const { target, group } of found) {
      const name = `${this.options.view.uniquePrefix}-${this.requestCount++}`;
      const request = { name, type: target.type.name, zone: target.zone };
      const perMachine = slotsPerMachine(pool.shape, target.type);
      const requests: SlotRequest[] = distributeMachines(group.length, perMachine, request);
      for (const [i, entry] of group.entries()) {
        table.apply(entry, { kind: 'request-named', request: requests[i]! });
        if (isDue) this.markRequestDue(entry);
      }
    }
    if (left.length === 0 || !isDue) return;
    this.takeFromLowerPrecedence(burst, left.length);
  }

  /**
   * The cloud has no machines for slots that are due: slots of pools with lower precedence are released.
   * Those pools cannot take the machines back, which prevents oscillation. `adopt` finds the machines in the
   * next round.
   */
  private takeFromLowerPrecedence({ pool, burstMs }: Burst, count: number): void {
    const { table, alarms, pool: poolOf } = this.options;
    const candidates: { entry: SlotEntry; precedence: number }[] = [];
    for (const entry of table.values()) {
      const other = poolOf(entry.current.pool);
      if (other === undefined || other.precedence >= pool.precedence) continue;
      if (isHeld(entry.current) && this.wouldFit(pool, other, entry)) {
        candidates.push({ entry, precedence: other.precedence });
      }
    }
    candidates.sort(
      (a, b) => a.precedence - b.precedence || b.entry.current.burstMs - a.entry.current.burstMs,
    );
    for (const { entry } of candidates.slice(0, count))
      this.release(entry, `taken by ${pool.name}`);
    const missing = count - candidates.length;
    if (missing > 0)
      alarms.raise('no_capacity', pool.name, this.describeShortage(pool, burstMs, missing));
  }

  private wouldFit(pool: PoolDeclaration, other: PoolDeclaration, entry: SlotEntry): boolean {
    const machine = this.options.view.machine(entry.current.machine!);
    if (machine === undefined || machine.state !== 'ready' || !isAllowed(pool, machine))
      return false;
    const { cores, gpus, memGb } = pool.shape;
    const { shape } = other;
    return shape.cores >= cores - 1e-6 && shape.gpus >= gpus - 1e-6 && shape.memGb >= memGb - 1e-6;
  }

  /** Text of the alarm: the other pool whose held slots end first, and when. */
  private describeShortage(pool: PoolDeclaration, burstMs: number, missing: number): string {
    let soonestMs = Infinity;
    let holder = '';
    for (const { current } of this.options.table.values()) {
      const other = this.options.pool(current.pool);
      if (other === undefined || other === pool || !isHeld(current)) continue;
      const endMs = current.burstMs + other.holdS * 1000;
      if (endMs >= soonestMs) continue;
      soonestMs = endMs;
      holder = other.name;
    }
    const burst = new Date(burstMs).toISOString();
    if (holder === '') return `${missing} for ${burst}; asked for again within a boot`;
    return `${missing} for ${burst}; ${holder} gives its own up at ${new Date(soonestMs).toISOString()}`;
  }

  private raiseLateAlarm({ pool, burstMs }: Burst, burstSlots: BurstSlots, wanted: number): void {
    const { clock, alarms } = this.options;
    if (clock.nowMs() < burstMs) return;
    const warm = burstSlots.open.filter(({ current }) => current.state === 'warm').length;
    if (warm < wanted) alarms.raise('late', pool.name, `${warm} of ${wanted} warm`);
  }
}
