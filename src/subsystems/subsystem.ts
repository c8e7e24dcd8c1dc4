/**
 * The interface between a subsystem and the leader: a subsystem takes part in a term only through it. A subsystem
 * never sends commands to workers and never places tasks. It owns records below a prefix of its own, requests
 * machines, protects machines from removal and from work that should not use them, and states preferences for the
 * placement of tasks.
 */

import type { Settings } from '../config/settings.js';
import type { LiveJob } from '../jobs/live-job.js';
import type { JobSpec, MachineType } from '../jobs/types.js';
import type { Log } from '../log.js';
import type { FreeCapacity } from '../scheduler/bin-packing.js';
import type { TermTimeOfDay } from '../time-of-day.js';
import type { ScaleOutRequest } from '../wire/cloud.js';
import type { ScaleOutResult } from '../cloud/client.js';
import type { Attempt } from '../workers/attempt.js';
import type { Machine } from '../workers/machine.js';

/** A stored record of a subsystem. */
export interface OwnedRecord {
  value: unknown;
  /** Revision of its latest change. */
  revision: number;
}

/** A put (value) or removal (null) of one record, guarded by the record's known revision. */
export interface OwnedChange {
  /** Below the subsystem's own prefix. */
  key: string;
  /** 0: there is no record. */
  revision: number;
  value: unknown;
}

/** Changes of one transaction, which is also guarded by the leader's key, and callbacks for its outcome. */
export interface OwnedWrite extends OwnedChange {
  /** Records that change in the same transaction, all or none. */
  alsoChanges: readonly OwnedChange[];
  /** Whether it is stored with the leader's most urgent writes, because other work waits for it. */
  urgent?: boolean;
  /** Called when it was carried out, with its revision. */
  onStored(revision: number): void;
  /** Called when a guard refused it or there was no answer, with what the store holds under `key`. */
  onReadBack(record: OwnedRecord | null): void;
}

/** What a subsystem may see of a machine. */
export type MachineView = Readonly<
  Pick<
    Machine,
    | 'id'
    | 'addr'
    | 'type'
    | 'zone'
    | 'spot'
    | 'state'
    | 'condition'
    | 'reclaimAt'
    | 'drainingSince'
    | 'lastSeenAt'
    | 'firstSeenAt'
    | 'images'
    | 'attempts'
  >
>;

/** What a subsystem may see of an open job. */
export type LiveJobView = Readonly<
  Pick<
    LiveJob,
    | 'spec'
    | 'phase'
    | 'cancelled'
    | 'isGuaranteed'
    | 'isGang'
    | 'done'
    | 'isFinished'
    | 'attemptsByTask'
    | 'attainedS'
    | 'activeAttemptCount'
    | 'pendingTaskCount'
    | 'unfinishedPredictedS'
  >
>;

/** What a subsystem may see of an attempt. */
export type AttemptView = Readonly<Attempt>;

/** A task that is to be stopped so that another one gets its place. */
export interface PreemptionVictim {
  job: LiveJobView;
  attempt: AttemptView;
}

/** A decision of the leader to free capacity on one machine by stopping tasks. */
export interface Preemption {
  machine: string;
  /** The job whose task gets the capacity. */
  preemptingJob: LiveJobView;
  victims: readonly PreemptionVictim[];
  /** Whether victims that can save may do so first. */
  allowsSaving: boolean;
  /** Stops the victims that still run, if the borrower still needs the capacity; false: it does not. */
  carryOut(): boolean;
}

/** A replica that should run on another machine. */
export interface ReplicaMigration {
  job: string;
  index: number;
  /** Its present machine. */
  from: string;
  /** Whether the new machine may be one that has to fetch its image. */
  mayFetch: boolean;
}

/** How a subsystem takes part in preemptions. */
export interface PreemptionRules {
  /** Cost of stopping a task on top of its lost work, from 0 to 1. No cost forbids a preemption. */
  extraCost(borrower: LiveJobView, victim: PreemptionVictim, allowsSaving: boolean): number;
  /** Whether an attempt is about to be stopped by a preemption that this subsystem has taken over. */
  isStopping(attempt: AttemptView): boolean;
  /** Whether the subsystem takes over a preemption. True: it soon calls `carryOut` itself. */
  takesOver(preemption: Preemption): boolean;
}

/** Resources that a team's tasks use. */
export interface TeamUsage {
  cores: number;
  gpus: number;
}

/** A term of leadership as its subsystems see it. */
export interface TermView {
  readonly settings: Settings;
  readonly log: Log;
  /** Fencing token of the term: higher than that of every earlier one. */
  readonly token: number;
  /** Names with this prefix are unique across all terms. */
  readonly uniquePrefix: string;
  /** Seconds of the steady clock. */
  now(): number;
  /** Identifies moments for people and other processes; durations are measured by `now`. */
  readonly timeOfDay: TermTimeOfDay;
  /** Whether the term may store records and place tasks. */
  canWrite(): boolean;
  machineTypes(): ReadonlyMap<string, MachineType>;
  /** Undefined: the machine is not known, or not any more. */
  machine(id: string): MachineView | undefined;
  /** Whether a machine that was added is still expected to send heartbeats. */
  isPending(id: string): boolean;
  /** Whether the cloud's latest list names it; null: there has been no list yet. */
  isListed(id: string): boolean | null;
  /** Whether the cloud recently had no ordinary machine of this type in this zone. */
  isShort(type: string, zone: string): boolean;
  spec(job: string): JobSpec | null;
  /** An open job; undefined: it has ended or is not known. */
  job(id: string): LiveJobView | undefined;
  jobs(): Iterable<LiveJobView>;
  /** Time of day in ms by which a job has to end so that it and its dependents meet all deadlines; Infinity: none. */
  latestEndMs(job: string): number;
  /** Migrates a replica to a free place; false: there is none now, too many migrate, or no other replica runs. */
  migrateReplica(move: ReplicaMigration): boolean;
  /** Minimum number of seconds between two migrations of replicas of a class. */
  migrationGapS(jobClass: string): number;
  /** Ends an attempt that has been asked to stop, or is saving, without waiting for it any longer. */
  endStoppingAttempt(attempt: AttemptView): void;
  /** Free capacity after the latest scheduling cycle. */
  freeCapacities(): readonly FreeCapacity[];
  /** Resources that a team's tasks used at the latest scheduling cycle. */
  usage(team: string): TeamUsage;
  /** The subsystem's own records as they are in this controller's replica of the store, by key. */
  records(): ReadonlyMap<string, OwnedRecord>;
  /** Signals that there is something to store. */
  wakeWriter(): void;
  /** Signals that there is something to request from the cloud. */
  wakeProvisioner(): void;
}

/** A request to the cloud under a stored name. Any later term may send it again. */
export interface StoredScaleOutRequest {
  request: ScaleOutRequest;
  /** Called when it is about to be sent. */
  onSending(): void;
  onAnswered(result: ScaleOutResult): void;
}

/** A subsystem's part in one term. All methods are called often and must not block. */
export interface SubsystemTerm {
  /** Called about twice a heartbeat interval. */
  tick(): void;
  /** Requests to the cloud that are due. */
  scaleOutRequests(): StoredScaleOutRequest[];
  /** Whether a healthy machine is retained, even if it is idle: it is neither removed nor drained. */
  retainsMachine(machine: string): boolean;
  /** Reserved free capacity on ordinary machines, in machines. */
  reservedMachines(): number;
  /** Whether a task may be placed on the machine of this capacity. */
  mayUse(spec: JobSpec, capacity: FreeCapacity): boolean;
  /** Seconds by which placing a task there is better than on the same machine without a subsystem; negative: worse. */
  preferenceS(spec: JobSpec, capacity: FreeCapacity): number;
  /** Writes that are due, the most urgent first. Unless `urgent`, they follow all writes of the leader itself. */
  dueWrites(): OwnedWrite[];
  statistics(): Record<string, number | string>;
  /** Missing: the subsystem takes no part in preemptions. */
  readonly preemption?: PreemptionRules;
  stop(): void;
}

/** A part of a controller that can be switched on, such as lending or warm pools. */
export interface Subsystem {
  /** Used in keys of the store and in statistics. */
  readonly name: string;
  beginTerm(term: TermView): SubsystemTerm;
  /** The view for operators, computed from the records alone: the same on every controller. */
  view(records: ReadonlyMap<string, OwnedRecord>, settings: Settings, wallMs: number): unknown;
}
