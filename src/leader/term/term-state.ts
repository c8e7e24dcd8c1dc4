/** What a term of leadership knows: machines, jobs, and what of it is still to be stored. */

import type { Clock } from '../../clock.js';
import type { Settings } from '../../config/settings.js';
import type { LiveJob } from '../../jobs/live-job.js';
import type { MachineType } from '../../jobs/types.js';
import type { RenewalKnowledge } from '../../leadership/substitute-renewals.js';
import type { Log } from '../../log.js';
import type { Policy } from '../../operator/policy.js';
import { FetchTimes } from '../../scheduler/fetch-times.js';
import type { Replica } from '../../store/replica.js';
import { TermTimeOfDay, type TimeOfDay } from '../../time-of-day.js';
import { Machine } from '../../workers/machine.js';

/** What a term rests on: this controller's settings, clocks, replica and entitlement. */
export interface TermContext {
  settings: Settings;
  clock: Clock;
  /** Of this process. */
  timeOfDay: TimeOfDay;
  log: Log;
  replica: Replica;
  policy: Policy;
  token: number;
  incarnation: string;
  /** Whether every controller reads dense records: see `encodeMachine`. */
  allReadDenseRecords: () => boolean;
  isEntitled: () => boolean;
  canWrite: () => boolean;
  /** What is known of leases that other controllers renew in this leader's place. */
  othersRenewal: () => RenewalKnowledge;
  /** Asks a majority for a fresh proof of that. */
  requestOthersProof: () => void;
  /** What is known of leases that a zone's lease holder renews there. */
  zoneRenewal: (zone: string) => RenewalKnowledge;
  /** Asks for a fresh proof of that. */
  requestZoneProof: () => void;
  /** Since when this process has known of a job's cancellation, in seconds of the clock. */
  cancellationKnownAt: (job: string) => number | undefined;
}

/** The state of a term, which its parts share. */
export class TermState {
  readonly machines = new Map<string, Machine>();
  readonly jobs = new Map<string, LiveJob>();
  /** Machines whose records are to be written. */
  readonly machinesToWrite = new Set<string>();
  /** Records of machines that are gone for good, and their revisions. */
  readonly recordRemovals = new Map<string, number>();
  /** Machines that the cloud has taken back. Names never recur: what still sends heartbeats is a late copy. */
  readonly returnedMachines = new Set<string>();
  /** Machines whose leases were counted as lost. */
  machinesLost = 0;
  /** Times that a machine was given a higher token, since a direct start was never answered. */
  machinesFencedAnew = 0;
  /** Machines with commands that should not wait for the next heartbeat. */
  readonly machinesToCommand = new Set<string>();
  readonly timeOfDay: TermTimeOfDay;
  readonly fetchTimes = new FetchTimes();
  readonly startedAt: number;
  /**
   * Revision of the latest commit of this term. Commits are guarded by the leader's key, so it is above
   * the term's token and below that of every later leader: machines may be fenced with it.
   */
  latestRevision: number;
  machineTypes = new Map<string, MachineType>();
  /** The longest nominal boot of all types, in seconds. */
  slowestBootS = 0;
  /** Set when something happened that placing should look at. */
  cycleRequested = true;
  onCycleRequested: () => void = () => undefined;

  constructor(readonly context: TermContext) {
    this.timeOfDay = new TermTimeOfDay(context.timeOfDay);
    this.startedAt = context.clock.now();
    this.latestRevision = context.token;
    this.setMachineTypes(context.replica.machineTypes ?? []);
  }

  /** Seconds of the steady clock. */
  get now(): number {
    return this.context.clock.now();
  }

  /** Something happened that scheduling should look at. */
  requestCycle(): void {
    this.cycleRequested = true;
    this.onCycleRequested();
  }

  /** The machine types that tasks may be placed on from now on. */
  setMachineTypes(types: MachineType[]): void {
    this.machineTypes = new Map(types.map((type) => [type.name, type]));
    this.slowestBootS = Math.max(0, ...types.map((type) => type.bootS));
  }

  /** The machine of this name; one that nothing is known of is added. */
  machine(id: string): Machine {
    let machine = this.machines.get(id);
    if (machine === undefined) {
      machine = new Machine(
        id,
        this.context.token,
        this.context.settings.workers.lease_s,
        this.now,
      );
      // Forgotten, and back before its record was removed: a removal that is tried once more would
      // take away the claims of what is started there from now on.
      machine.recordRevision = this.recordRemovals.get(id) ?? 0;
      this.recordRemovals.delete(id);
      this.machines.set(id, machine);
    }
    return machine;
  }

  /** Nothing is known of a machine any more; its record goes too. */
  forgetMachine(machine: Machine): void {
    this.machines.delete(machine.id);
    this.machinesToWrite.delete(machine.id);
    if (machine.state === 'returned') this.returnedMachines.add(machine.id);
    if (machine.recordRevision > 0) this.recordRemovals.set(machine.id, machine.recordRevision);
  }

  /** The record of a forgotten machine was removed (null), or has now this revision. */
  recordRemoved(id: string, revision: number | null): void {
    if (this.machines.has(id)) return;
    if (revision === null) this.recordRemovals.delete(id);
    else this.recordRemovals.set(id, revision);
  }
}
