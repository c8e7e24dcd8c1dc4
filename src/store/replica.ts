import type { MachineType } from '../jobs/types.js';
import { tasksPerChunk } from '../jobs/chunks.js';
import type { DependencyGraph } from '../pipelines/dependency-graph.js';
import type { Change, KeyValue } from '../wire/key-value-store.js';
import type { StoredJob } from './stored-job.js';
import { JobTable } from './job-table.js';
import * as records from './records.js';
import { SubsystemRecords } from './subsystem-records.js';

/** Callbacks of a replica as changes arrive. */
export interface ReplicaListener {
  /** A job may start from now on: it was accepted without dependencies, or all its dependencies are done. */
  onReady?(storedJob: StoredJob): void;
  onCancelled?(storedJob: StoredJob): void;
  onLeaderChange?(): void;
  /** A controller's key was put or removed. */
  onPresenceChange?(node: string): void;
  onAcknowledgement?(node: string, ack: records.AcknowledgementRecord): void;
}

/** A machine's record and its revision in the store. */
export interface StoredMachine {
  record: records.MachineRecord;
  revision: number;
}

/** A replica of the store, built from a listing and then updated from the ordered stream of changes. */
export class Replica {
  /** All changes up to this revision have been applied. */
  applied = -1;
  readonly machines = new Map<string, StoredMachine>();
  leader: (records.LeaderRecord & { revision: number }) | null = null;
  /** Live controllers, with the revisions of their keys. */
  readonly controllers = new Map<string, number>();
  /** Acknowledgements that controllers have stored, with the revisions of the records. */
  readonly acknowledgements = new Map<
    string,
    { ack: records.AcknowledgementRecord; revision: number }
  >();
  /** The version that each controller ran last, with the revision of the record. */
  readonly versions = new Map<string, { record: records.VersionRecord; revision: number }>();
  /** Records of all subsystems, including those that are disabled on this controller. */
  readonly subsystems = new SubsystemRecords();
  /** The highest known fencing token. */
  lastToken = 0;
  machineTypes: MachineType[] | null = null;
  machineTypesRevision = 0;
  malformedRecords = 0;
  private readonly jobTable: JobTable;
  listener: ReplicaListener = {};

  /** `valueBytes`: the size limit of a stored value, which determines the size of progress chunks. */
  constructor(valueBytes: number) {
    this.jobTable = new JobTable(tasksPerChunk(valueBytes), {
      onReady: (storedJob) => this.listener.onReady?.(storedJob),
      onCancelled: (storedJob) => this.listener.onCancelled?.(storedJob),
    });
  }

  /** All jobs that were ever accepted, by id. */
  get jobs(): Map<string, StoredJob> {
    return this.jobTable.jobs;
  }

  /** The dependencies between jobs. */
  get dependencies(): DependencyGraph {
    return this.jobTable.dependencies;
  }

  /** Number of tasks in one chunk of a job's progress in the stored format. */
  get tasksPerChunk(): number {
    return this.jobTable.tasksPerChunk;
  }

  /** See `JobTable.compactFinished`. */
  compactFinished(beforeMs: number): void {
    this.jobTable.compactFinished(beforeMs);
  }

  /** Ids of cancelled jobs, see `JobTable.cancelledSince`. */
  cancelledSince(revision: number): readonly string[] {
    return this.jobTable.cancelledSince(revision, this.applied).ids;
  }

  /** Whether the store may hold claims, missing in this replica, of jobs that were cancelled after a revision. */
  mayLackClaimsSince(revision: number): boolean {
    return this.jobTable.cancelledSince(revision, this.applied).mayLackClaims;
  }

  /**
   * Applies one item of a listing, unless it is older than what is known. A listing is ordered by key, not by
   * revision: a job's progress follows its cancellation even if the progress is older and the job is therefore
   * done. So cancellations have no effects before `listingComplete`.
   */
  applyListed(item: KeyValue): void {
    this.jobTable.listingInProgress = true;
    this.applyPut(item.key, item.value, item.revision);
  }

  /** Called when the listing and the changes since its first page have been applied. */
  listingComplete(): void {
    this.jobTable.listingComplete();
  }

  /**
   * Applies the removal of keys that are missing from a new listing. `revision` is that of its first page: a
   * later put may be missing from the listing, but is among the changes that follow.
   */
  removeMissing(keys: Set<string>, revision: number): void {
    const known = [...this.machines.keys()].map(records.machineKey);
    known.push(...[...this.controllers.keys()].map(records.controllerKey));
    if (this.leader !== null) known.push(records.LEADER);
    known.push(...this.subsystems.keys());
    for (const key of known) if (!keys.has(key)) this.applyRemoval(key, revision + 1);
  }

  /** Applies the changes up to `revision`. They must begin at or below `applied`. */
  advance(revision: number, changes: Change[]): void {
    for (const change of changes) {
      if (change.revision <= this.applied) continue;
      if (change.kind === 'put') this.applyPut(change.key, change.value, change.revision);
      else this.applyRemoval(change.key, change.revision);
    }
    if (revision > this.applied) this.applied = revision;
  }

  private applyPut(key: string, value: unknown, revision: number): void {
    try {
      this.applyRecord(key, value, revision);
    } catch {
      // A value in an unknown format must not prevent the other records from being applied.
      this.malformedRecords++;
    }
  }

  private applyRecord(key: string, value: unknown, revision: number): void {
    if (key.startsWith(records.JOBS) || key.startsWith(records.DEPENDENT_JOBS)) {
      this.jobTable.applyBatch(records.decodeRequestBatch(value), revision);
    } else if (key.startsWith(records.PROGRESS) || key.startsWith(records.PROGRESS_PARTS)) {
      this.jobTable.applyProgress(key, value, revision);
    } else if (key.startsWith(records.MACHINES)) {
      const record = records.decodeMachine(value);
      this.applyMachine(key.slice(records.MACHINES.length), record, revision);
    } else if (key.startsWith(records.SUBSYSTEMS)) this.subsystems.put(key, value, revision);
    else if (key.startsWith(records.CONTROLLERS)) {
      this.applyController(key.slice(records.CONTROLLERS.length), revision);
    } else if (key.startsWith(records.ACKNOWLEDGEMENTS)) {
      this.applyAcknowledgement(key.slice(records.ACKNOWLEDGEMENTS.length), value, revision);
    } else if (key.startsWith(records.VERSIONS)) {
      this.applyVersion(key.slice(records.VERSIONS.length), value, revision);
    } else if (key === records.LEADER) this.applyLeader(value, revision);
    else if (key === records.MACHINE_TYPES) this.applyMachineTypes(value, revision);
  }

  private applyController(node: string, revision: number): void {
    if ((this.controllers.get(node) ?? -1) >= revision) return;
    this.controllers.set(node, revision);
    this.listener.onPresenceChange?.(node);
  }

  private applyAcknowledgement(node: string, value: unknown, revision: number): void {
    if ((this.acknowledgements.get(node)?.revision ?? -1) >= revision) return;
    const ack = records.decodeAcknowledgement(value);
    this.acknowledgements.set(node, { ack, revision });
    this.listener.onAcknowledgement?.(node, ack);
  }

  private applyVersion(node: string, value: unknown, revision: number): void {
    if ((this.versions.get(node)?.revision ?? -1) >= revision) return;
    this.versions.set(node, { record: records.decodeVersion(value), revision });
  }

  private applyLeader(value: unknown, revision: number): void {
    if (this.leader !== null && this.leader.revision >= revision) return;
    this.leader = { ...records.decodeLeader(value), revision };
    this.lastToken = Math.max(this.lastToken, revision);
    this.listener.onLeaderChange?.();
  }

  private applyMachineTypes(value: unknown, revision: number): void {
    if (revision <= this.machineTypesRevision) return;
    this.machineTypes = records.decodeMachineTypes(value);
    this.machineTypesRevision = revision;
  }

  private applyRemoval(key: string, revision: number): void {
    if (key === records.LEADER) {
      if (this.leader !== null && this.leader.revision < revision) {
        this.leader = null;
        this.listener.onLeaderChange?.();
      }
    } else if (key.startsWith(records.SUBSYSTEMS)) {
      this.subsystems.remove(key, revision);
    } else if (key.startsWith(records.CONTROLLERS)) {
      const node = key.slice(records.CONTROLLERS.length);
      if ((this.controllers.get(node) ?? Infinity) >= revision) return;
      this.controllers.delete(node);
      this.listener.onPresenceChange?.(node);
    } else if (key.startsWith(records.MACHINES)) {
      const id = key.slice(records.MACHINES.length);
      const old = this.machines.get(id);
      if (old !== undefined && old.revision < revision) {
        this.adjustClaimCounts(old.record, -1);
        this.machines.delete(id);
      }
    }
  }

  private applyMachine(id: string, record: records.MachineRecord, revision: number): void {
    const old = this.machines.get(id);
    if (old !== undefined) {
      if (old.revision >= revision) return;
      this.adjustClaimCounts(old.record, -1);
    }
    this.machines.set(id, { record, revision });
    this.adjustClaimCounts(record, 1);
  }

  private adjustClaimCounts(record: records.MachineRecord, delta: number): void {
    for (const claim of record.claims) {
      const storedJob = this.jobs.get(claim.job);
      if (storedJob !== undefined) storedJob.claimCount = Math.max(0, storedJob.claimCount + delta);
    }
  }
}
