/** The state of a term: machines, jobs, and which records are still to be written. */

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

/** What a term uses of its controller: settings, clocks, replica and entitlement. */
export interface TermContext {
  settings: Settings;
  clock: Clock;
  /** Time of day of this process. */
  timeOfDay: TimeOfDay;
  log: Log;
  replica: Replica;
  policy: Policy;
  token: number;
  incarnation: string;
  /** Whether every controller can read dense records; see `encodeMachine`. */
  allReadDenseRecords: () => boolean;
  isEntitled: () => boolean;
  canWrite: () => boolean;
  /** What is known of renewals that other controllers give in this leader's place. */
  substituteRenewal: () => RenewalKnowledge;
  /** Asks a majority of the controllers for a new proof of these renewals. */
  requestSubstituteProof: () => void;
  /** What is known of renewals that a zone's lease holder gives in its zone. */
  zoneRenewal: (zone: string) => RenewalKnowledge;
  /** Asks for a new proof of the renewals in zones. */
  requestZoneProof: () => void;
  /** When this process learnt of a job's cancellation, in seconds of the clock. */
  cancellationKnownAt: (job: string) => number | undefined;
}

/** The state that all components of a term share. */
export class TermState {
  readonly machines = new Map<string, Machine>();
  readonly jobs = new Map<string, LiveJob>();
  /** Machines whose records have to be written. */
  readonly machinesToWrite = new Set<string>();
  /** Records to be removed, of machines that are gone, with their revisions. */
  readonly recordRemovals = new Map<string, number>();
  /** Machines that were returned to the cloud. Names are never reused, so a heartbeat from one is a late copy. */
  readonly returnedMachines = new Set<string>();
  /** Number of machines that were lost because their lease expired. */
  machinesLost = 0;
  /** How often a machine was given a higher token because of an unanswered direct start. */
  machinesFencedAnew = 0;
  /** How often a machine was given a higher token for any reason. */
  tokensRaised = 0;
  /** Machines with commands that should not wait for the next heartbeat. */
  readonly machinesToCommand = new Set<string>();
  readonly timeOfDay: TermTimeOfDay;
  readonly fetchTimes = new FetchTimes();
  readonly startedAt: number;
  /**
   * Revision of the latest commit of this term. Commits are guarded by the leader's key, so it is not below
   * the term's token and is below that of every later leader: machines may be fenced with it.
   */
  latestRevision: number;
  machineTypes = new Map<string, MachineType>();
  /** The longest nominal boot time of all machine types, in seconds. */
  slowestBootS = 0;
  /** Set when something has changed that scheduling depends on. */
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

  /** Requests a scheduling cycle after a change that scheduling depends on. */
  requestCycle(): void {
    this.cycleRequested = true;
    this.onCycleRequested();
  }

  /** Replaces the machine types on which tasks may be placed. */
  setMachineTypes(types: MachineType[]): void {
    this.machineTypes = new Map(types.map((type) => [type.name, type]));
    this.slowestBootS = Math.max(0, ...types.map((type) => type.bootS));
  }

  /** The machine of this name; added if it is unknown. */
  machine(id: string): Machine {
    let machine = this.machines.get(id);
    if (machine === undefined) {
      machine = new Machine(
        id,
        this.context.token,
        this.context.settings.workers.lease_s,
        this.now,
      );
      // It was forgotten and sends heartbeats again before its record was removed. A retried removal would
      // delete the claims of attempts that are started there from now on.
      machine.recordRevision = this.recordRemovals.get(id) ?? 0;
      this.recordRemovals.delete(id);
      this.machines.set(id, machine);
    }
    return machine;
  }

  /** Forgets a machine and schedules the removal of its record. */
  forgetMachine(machine: Machine): void {
    this.machines.delete(machine.id);
    this.machinesToWrite.delete(machine.id);
    if (machine.state === 'returned') this.returnedMachines.add(machine.id);
    if (machine.recordRevision > 0) this.recordRemovals.set(machine.id, machine.recordRevision);
  }

  /** Notes that the record of a forgotten machine was removed (null) or has a new revision. */
  recordRemoved(id: string, revision: number | null): void {
    if (this.machines.has(id)) return;
    if (revision === null) this.recordRemovals.delete(id);
    else this.recordRemovals.set(id, revision);
  }
}
