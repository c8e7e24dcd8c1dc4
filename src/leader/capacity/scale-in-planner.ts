/** Scale-in: returns empty machines that are not needed, and machines that failed or never sent a heartbeat. */

import type { MachineType } from '../../jobs/types.js';
import { NO_SUBSYSTEMS, type ActiveSubsystems } from '../../subsystems/active-subsystems.js';
import { MIN_CHARGE_S, type ListedMachine } from '../../wire/cloud.js';
import type { Machine } from '../../workers/machine.js';
import type { FreeCapacity } from '../../scheduler/bin-packing.js';
import { freeMachines } from './free-capacity.js';
import { NO_MACHINES, type FreeCapacityLeft } from './scale-out-planner.js';
import type { Term } from '../term/term.js';
import type { WarmReserve } from './warm-reserve.js';

/** Boot times after which a machine without a heartbeat is returned, by its state in the cloud's list. */
const NO_HEARTBEAT_BOOTS = { booting: 6, running: 4, failed: 0 } as const;
/** Leases added to that, as time for its first heartbeat. */
const NO_HEARTBEAT_LEASES = 2;
/** Leases from the start of a term until machines without a heartbeat are returned: others have sent one by then. */
const SETTLE_LEASES = 3;
/** Leases after which a silent machine is returned; until then it may send heartbeats again. */
const SILENT_RETURN_LEASES = 4;
/** Free machines above the warm reserve from which one is returned. */
const RETURN_SURPLUS_MACHINES = 1.2;
/** Free machines above the warm reserve from which one is returned after a shorter idle time. */
export const LARGE_SURPLUS_MACHINES = 2.5;
/** Free machines from which one is returned if there is no reserve; below 1, so that the last one is returned too. */
const NO_RESERVE_SURPLUS_MACHINES = 0.9;
/** How long a machine must have been idle, in boot times: as a rule, and with a large surplus or on spot. */
const IDLE_BOOTS = 1;
const EARLY_IDLE_BOOTS = 0.4;
/** A machine is not returned before this share of the minimum charged time has passed. */
const MIN_CHARGE_SHARE = 0.92;

/** Plans which machines a term returns. */
export class ScaleInPlanner {
  private readonly failed = new Set<string>();
  private readonly neverReported = new Set<string>();
  private lastListed = new Set<string>();

  constructor(
    private readonly term: Term,
    private readonly warmReserve: WarmReserve,
    private readonly subsystems: ActiveSubsystems = NO_SUBSYSTEMS,
  ) {}

  /** Whether the cloud's latest list names a machine. */
  isListed(id: string): boolean {
    return this.lastListed.has(id);
  }

  /** Applies the cloud's list of all machines that it has not confirmed as gone. */
  applyList(all: ListedMachine[]): void {
    const { now } = this.term;
    this.lastListed = new Set(all.map((listed) => listed.id));
    for (const listed of all) this.classifyListed(listed, now);
    this.dropReported();
  }

  private classifyListed(listed: ListedMachine, now: number): void {
    const { term } = this;
    const { lease_s } = term.context.settings.workers;
    const type = term.machineTypes.get(listed.type);
    const known = term.machines.get(listed.id);
    if (known !== undefined) known.listedAgeS = listed.ageS;
    if (listed.state === 'failed') {
      this.failed.add(listed.id);
      return;
    }
    if (type === undefined || known !== undefined) return;
    // Machines that never finish booting, or that run but never send a heartbeat.
    const limit = type.bootS * NO_HEARTBEAT_BOOTS[listed.state] + lease_s * NO_HEARTBEAT_LEASES;
    const hasTermSettled = now - term.startedAt > lease_s * SETTLE_LEASES;
    if (listed.ageS > limit && hasTermSettled) this.neverReported.add(listed.id);
  }

  /** Drops machines that have since sent a heartbeat, while the cloud did not answer: they may have work by now. */
  private dropReported(): void {
    for (const id of this.neverReported)
      if (this.term.machines.has(id)) this.neverReported.delete(id);
  }

  /** Handles the cloud's confirmation that a machine is gone. */
  returnConfirmed(id: string): void {
    this.failed.delete(id);
    this.neverReported.delete(id);
  }

  /**
   * Machines to return now. A machine with a record is returned only once its record is marked as returning. What is left
   * by waiting tasks is asked only if a machine is due without them: it never makes another one due.
   */
  plan(capacities: FreeCapacity[], leftByDemand: () => FreeCapacityLeft): string[] {
    const { term } = this;
    const { now } = term;
    this.dropReported();
    const ids: string[] = [...this.failed, ...this.neverReported];
    for (const machine of term.machines.values()) {
      if (machine.state === 'returning' && (machine.returnRecorded || machine.recordRevision === 0))
        ids.push(machine.id);
    }
    const due = this.dueForReturn({ capacities, awaited: NO_MACHINES });
    if (due.length === 0 || !term.context.canWrite()) return [...new Set(ids)];
    for (const machine of this.dueForReturn(leftByDemand())) {
      this.markReturning(machine, now);
      if (machine.recordRevision === 0) ids.push(machine.id);
    }
    return [...new Set(ids)];
  }

  private dueForReturn({ capacities, awaited }: FreeCapacityLeft): Machine[] {
    const { term } = this;
    const surplus = [false, true].map(
      (spot) => freeMachines(capacities, spot) - this.warmReserve.target(spot),
    );
    return this.emptyMachines().filter((machine) => {
      const type = term.machineTypes.get(machine.type);
      if (type === undefined || awaited.has(machine.id)) return false;
      return this.isDueForReturn(machine, type, term.now, surplus);
    });
  }

  /** Empty machines, those with few images first: images cached on the others save the next tasks a fetch. */
  private emptyMachines(): Machine[] {
    const empty: { machine: Machine; gb: number }[] = [];
    for (const machine of this.term.machines.values()) {
      if ((machine.state !== 'ready' && machine.state !== 'silent') || machine.attempts.size > 0)
        continue;
      empty.push({ machine, gb: machine.images.totalGb });
    }
    empty.sort((a, b) => a.gb - b.gb);
    return empty.map((entry) => entry.machine);
  }

  private markReturning(machine: Machine, now: number): void {
    this.term.context.log.info(
      {
        machine: machine.id,
        idle: now - machine.idleSince,
        faulty: machine.condition.quarantined,
        state: machine.state,
      },
      'scale-in: machine marked for return',
    );
    machine.changeState('returning');
    if (machine.recordRevision > 0) this.term.machinesToWrite.add(machine.id);
  }

  /**
   * Whether an empty machine is returned now. `surplus`: free machines above the reserve, ordinary and spot;
   * decremented for each one that is returned as surplus.
   */
  private isDueForReturn(
    machine: Machine,
    type: MachineType,
    now: number,
    surplus: number[],
  ): boolean {
    const { lease_s, report_s } = this.term.context.settings.workers;
    if (machine.condition.quarantined) return true;
    if (machine.state === 'silent')
      return now - machine.lastSeenAt > lease_s * SILENT_RETURN_LEASES;
    if (this.subsystems.retainsMachine(machine.id)) return false;
    // The minimum charge is due even if the machine is returned earlier.
    const age = Math.max(now - (machine.firstSeenAt ?? now) + type.bootS, machine.listedAgeS ?? 0);
    if (age <= MIN_CHARGE_S * MIN_CHARGE_SHARE) return false;
    const idle = now - machine.idleSince;
    if (machine.drainingSince !== null) return idle > report_s;
    const kind = machine.spot ? 1 : 0;
    if (!this.isSurplus(machine, type, idle, surplus[kind]!)) return false;
    surplus[kind]! -= 1;
    return true;
  }

  /** Whether a machine is surplus: above the reserve by a margin that prevents repeated scaling in and out. */
  private isSurplus(machine: Machine, type: MachineType, idle: number, surplus: number): boolean {
    // Without a reserve even the last machine is returned. With the usual margin it stayed for the rest of the day.
    const hasNoReserve =
      this.term.jobs.size === 0 || (machine.spot && this.warmReserve.target(true) === 0);
    if (surplus < (hasNoReserve ? NO_RESERVE_SURPLUS_MACHINES : RETURN_SURPLUS_MACHINES))
      return false;
    const early = machine.spot || surplus >= LARGE_SURPLUS_MACHINES;
    return idle > type.bootS * (early ? EARLY_IDLE_BOOTS : IDLE_BOOTS);
  }
}
