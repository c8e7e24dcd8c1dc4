/** What to give back: empty machines that are not needed, and machines that failed or never came. */

import type { MachineType } from '../../jobs/types.js';
import type { FreeCapacity } from '../../scheduler/bin-packing.js';
import { NO_SUBSYSTEMS, type ActiveSubsystems } from '../../subsystems/active-subsystems.js';
import { MIN_CHARGE_S, type ListedMachine } from '../../wire/cloud.js';
import type { Machine } from '../../workers/machine.js';
import { freeMachines } from './free-capacity.js';
import type { Term } from '../term/term.js';
import type { WarmReserve } from './warm-reserve.js';

/** Given back after so many boots: a machine still booting, and one that runs but sends no heartbeat. */
const NEVER_BOOTS = { booting: 6, running: 4, failed: 0 } as const;
/** Leases beyond that, for the heartbeats of a machine that has come. */
const NEVER_LEASES = 2;
/** A term judges so only after so many leases: its machines have sent heartbeats by then. */
const JUDGE_LEASES = 3;
/** A silent machine may come back for so many leases; then it is given back. */
const SILENT_LEASES = 4;
/** Free machines above the reserve from which one goes back, and from which it goes early. */
const SURPLUS = 1.2;
/** Free machines above the reserve from which one goes back early. */
export const MUCH_SURPLUS = 2.5;
/** The same where nothing is kept: the last one goes too. */
const LAST_SURPLUS = 0.9;
/** How long it must have been idle, in boots: as a rule, and when it goes early. */
const IDLE_BOOTS = 1;
const IDLE_EARLY_BOOTS = 0.4;
/** Of the time that is charged at least, the share a machine is kept for. */
const CHARGED_SHARE = 0.92;

/** Plans what a term gives back. */
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

  /** Takes in the cloud's list of all machines that it has not confirmed as gone. */
  applyList(all: ListedMachine[]): void {
    const { now } = this.term;
    this.lastListed = new Set(all.map((listed) => listed.id));
    for (const listed of all) this.judgeListed(listed, now);
    this.dropReported();
  }

  private judgeListed(listed: ListedMachine, now: number): void {
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
    // Boots that never end, and machines that run but never send a heartbeat.
    const limit = type.bootS * NEVER_BOOTS[listed.state] + lease_s * NEVER_LEASES;
    const settled = now - term.startedAt > lease_s * JUDGE_LEASES;
    if (listed.ageS > limit && settled) this.neverReported.add(listed.id);
  }

  /** They came after all, while the cloud did not answer: there may be work on them by now. */
  private dropReported(): void {
    for (const id of this.neverReported)
      if (this.term.machines.has(id)) this.neverReported.delete(id);
  }

  /** The cloud has confirmed that a machine is gone. */
  returnConfirmed(id: string): void {
    this.failed.delete(id);
    this.neverReported.delete(id);
  }

  /** Machines to give back now. Records are marked before their machines are named. */
  plan(capacities: FreeCapacity[]): string[] {
    const { term } = this;
    const { now } = term;
    this.dropReported();
    const ids: string[] = [...this.failed, ...this.neverReported];
    const spare = [false, true].map(
      (spot) => freeMachines(capacities, spot) - this.warmReserve.target(spot),
    );
    for (const machine of term.machines.values()) {
      if (machine.state === 'returning' && (machine.returnRecorded || machine.recordRevision === 0))
        ids.push(machine.id);
    }
    for (const machine of this.emptyMachines()) {
      const type = term.machineTypes.get(machine.type);
      if (type === undefined || !this.isDueForReturn(machine, type, now, spare)) continue;
      if (!term.context.canWrite()) continue;
      this.markReturning(machine, now);
      if (machine.recordRevision === 0) ids.push(machine.id);
    }
    return [...new Set(ids)];
  }

  /** Machines with few images come first: what others have cached spares the next task its fetch. */
  private emptyMachines(): Machine[] {
    const empty: { m: Machine; gb: number }[] = [];
    for (const machine of this.term.machines.values()) {
      if ((machine.state !== 'ready' && machine.state !== 'silent') || machine.attempts.size > 0)
        continue;
      empty.push({ m: machine, gb: machine.images.totalGb });
    }
    empty.sort((a, b) => a.gb - b.gb);
    return empty.map((entry) => entry.m);
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
   * Whether an empty machine goes back now. `spare`: free machines above the reserve, ordinary and spot;
   * one that goes for being too many is taken off.
   */
  private isDueForReturn(
    machine: Machine,
    type: MachineType,
    now: number,
    spare: number[],
  ): boolean {
    const { lease_s, report_s } = this.term.context.settings.workers;
    if (machine.condition.quarantined) return true;
    if (machine.state === 'silent') return now - machine.lastSeenAt > lease_s * SILENT_LEASES;
    if (this.subsystems.keeps(machine.id)) return false;
    // What is given back early is paid for all the same.
    const age = Math.max(now - (machine.firstSeenAt ?? now) + type.bootS, machine.listedAgeS ?? 0);
    if (age <= MIN_CHARGE_S * CHARGED_SHARE) return false;
    const idle = now - machine.idleSince;
    if (machine.drainingSince !== null) return idle > report_s;
    const kind = machine.spot ? 1 : 0;
    if (!this.isSurplus(machine, type, idle, spare[kind]!)) return false;
    spare[kind]! -= 1;
    return true;
  }

  /** What is held above the reserve goes back, with a margin against going back and forth. */
  private isSurplus(machine: Machine, type: MachineType, idle: number, surplus: number): boolean {
    // Where nothing is kept even the last one goes: it once stayed for the rest of the day.
    const none = this.term.jobs.size === 0 || (machine.spot && this.warmReserve.target(true) === 0);
    if (surplus < (none ? LAST_SURPLUS : SURPLUS)) return false;
    const early = machine.spot || surplus >= MUCH_SURPLUS;
    return idle > type.bootS * (early ? IDLE_EARLY_BOOTS : IDLE_BOOTS);
  }
}
