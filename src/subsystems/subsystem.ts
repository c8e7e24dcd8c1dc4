/**
 * What a subsystem and the leader know of each other: the only way by which a subsystem takes part in a
 * term. A subsystem never commands a worker and never places a task. It owns records below a prefix of
 * its own, asks for machines, keeps machines from being given back and from work that should not use
 * them, and says where a task had better go.
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

/** A record of a subsystem as the store holds it. */
export interface OwnedRecord {
  value: unknown;
  /** Revision of its latest change. */
  revision: number;
}

/** A put (value) or removal (null) of one record, guarded by the revision that is known of it. */
export interface OwnedChange {
  /** Below the subsystem's own prefix. */
  key: string;
  /** 0: there is none. */
  revision: number;
  value: unknown;
}

/** Changes of one transaction, guarded by the leader's key too, and what follows from its outcome. */
export interface OwnedWrite extends OwnedChange {
  /** Records that change in the same transaction, all or none. */
  alsoChanges: readonly OwnedChange[];
  /** It goes with the leader's most urgent writes: somebody waits for it. */
  urgent?: boolean;
  /** Carried out, with this revision. */
  stored(revision: number): void;
  /** Refused by a guard, or not answered: this is what the store holds under `key`. */
  readBack(record: OwnedRecord | null): void;
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
    | 'reclaimedAt'
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

/** Capacity that the leader has decided to make on one machine. */
export interface Preemption {
  machine: string;
  /** The job whose task gets it. */
  borrower: LiveJobView;
  victims: readonly PreemptionVictim[];
  /** Whether those that can save may do so first. */
  saves: boolean;
  /** Stops the victims that are still there, if the borrower still wants the capacity; false: it does not. */
  carryOut(): boolean;
}

/** A replica that had better be elsewhere. */
export interface ReplicaMigration {
  job: string;
  index: number;
  /** Where it is. */
  from: string;
  /** Whether its image may have to be fetched there. */
  mayFetch: boolean;
}

/** What a subsystem has to say of capacity that is made by stopping lower-priority work. */
export interface PreemptionRules {
  /** How much worse than by its lost work it is to stop a task, from 0 to 1. It forbids nothing. */
  extraCost(borrower: LiveJobView, victim: PreemptionVictim, saves: boolean): number;
  /** Whether it is about to be stopped by an preemption that this subsystem has taken over. */
  isStopping(attempt: AttemptView): boolean;
  /** True: the subsystem calls `carryOut` itself, soon. */
  takesOver(preemption: Preemption): boolean;
}

/** What a team's tasks use. */
export interface TeamUsage {
  cores: number;
  gpus: number;
}

/** A term of leadership as its subsystems see it. */
export interface TermView {
  readonly settings: Settings;
  readonly log: Log;
  /** Token of the term: higher than that of every earlier one. */
  readonly token: number;
  /** Names that begin with it never recur. */
  readonly uniquePrefix: string;
  /** Seconds of the steady clock. */
  now(): number;
  /** Names moments to people and other processes; what takes time is measured by `now`. */
  readonly timeOfDay: TermTimeOfDay;
  /** Whether it may store and place. */
  canWrite(): boolean;
  machineTypes(): ReadonlyMap<string, MachineType>;
  /** Undefined: nothing is known of it, or no longer. */
  machine(id: string): MachineView | undefined;
  /** Whether a machine that was added is still expected to send heartbeats. */
  isPending(id: string): boolean;
  /** Whether the cloud's latest list names it; null: there has been no list yet. */
  isListed(id: string): boolean | null;
  /** Whether the cloud has just had no ordinary machine of this type in this zone. */
  isShort(type: string, zone: string): boolean;
  spec(job: string): JobSpec | null;
  /** An open job; undefined: it is over, or not known. */
  job(id: string): LiveJobView | undefined;
  jobs(): Iterable<LiveJobView>;
  /** Time of day in ms by which a job has to be done for all deadlines after it; Infinity: none. */
  latestEndMs(job: string): number;
  /** Moves a replica to a free place; false: there is none now, or too many move. */
  migrateReplica(move: ReplicaMigration): boolean;
  /** Seconds between two moves of replicas of a class, at least. */
  migrationGapS(jobClass: string): number;
  /** Ends an attempt that was told to stop, or is saving, without waiting for it any longer. */
  endStopped(attempt: AttemptView): void;
  /** What is free after the latest scheduling cycle. */
  freeCapacities(): readonly FreeCapacity[];
  /** What a team's tasks used at the latest scheduling cycle. */
  usage(team: string): TeamUsage;
  /** The subsystem's own records as they are in this controller's replica of the store, by key. */
  records(): ReadonlyMap<string, OwnedRecord>;
  /** There is something to store. */
  wakeWriter(): void;
  /** There is something to ask the cloud for. */
  wakeProvisioner(): void;
}

/** A request to the cloud under a name that is stored. It may be sent again by any later term. */
export interface StoredScaleOutRequest {
  request: ScaleOutRequest;
  /** It is about to be sent. */
  sending(): void;
  answered(result: ScaleOutResult): void;
}

/** A subsystem's part in one term. All of it is asked often: nothing here may wait. */
export interface SubsystemTerm {
  /** Called about twice a heartbeat interval. */
  tick(): void;
  /** Requests to the cloud that are due. */
  scaleOutRequests(): StoredScaleOutRequest[];
  /** Whether a machine stays although nothing runs on it. */
  keeps(machine: string): boolean;
  /** Free capacity on ordinary machines that is spoken for, in machines. */
  keptMachines(): number;
  /** Whether a task may be placed there. */
  mayUse(spec: JobSpec, capacity: FreeCapacity): boolean;
  /** Seconds by which a task had better be placed there than on the same machine without a subsystem. */
  preferenceS(spec: JobSpec, capacity: FreeCapacity): number;
  /** What is to be stored, the most urgent first. It goes after all writes of the leader itself. */
  dueWrites(): OwnedWrite[];
  statistics(): Record<string, number | string>;
  /** Missing: it has nothing to say of preemptions. */
  readonly preemption?: PreemptionRules;
  stop(): void;
}

/** What a controller offers beside its term. */
export interface Subsystem {
  /** In keys of the store and in figures. */
  readonly name: string;
  beginTerm(term: TermView): SubsystemTerm;
  /** For operators: what the records say, whoever leads. */
  view(records: ReadonlyMap<string, OwnedRecord>, settings: Settings, wallMs: number): unknown;
}
