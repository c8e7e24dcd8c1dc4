import type { MachineType } from '../jobs/types.js';
import { chunkSize, chunkTasks } from '../jobs/chunks.js';
import { DependencyGraph } from '../pipelines/dependency-graph.js';
import type { Change, KeyValue } from '../wire/key-value-store.js';
import { neverStarted, outcome, specOf, type StoredJob } from './stored-job.js';
import { JobCompactor } from './job-compaction.js';
import * as records from './records.js';
import { decodeBits, countDone, parseProgressKey } from './stored-progress.js';
import { SubsystemRecords } from './subsystem-records.js';

export interface ReplicaListener {
  /** A job may start from now on: it was accepted, or all jobs that it needs are done. */
  onReady?(storedJob: StoredJob): void;
  onCancelled?(storedJob: StoredJob): void;
  onLeader?(): void;
  /** A controller's key was put or is gone. */
  onPresence?(node: string): void;
  onAcknowledgement?(node: string, ack: records.AcknowledgementRecord): void;
}

/** A machine's record and its revision in the store. */
export interface StoredMachine {
  record: records.MachineRecord;
  revision: number;
}

/** A copy of the store, fed by listing and then by the stream of changes in their order. */
export class Replica {
  /** All changes up to this revision are in. */
  applied = -1;
  readonly jobs = new Map<string, StoredJob>();
  readonly machines = new Map<string, StoredMachine>();
  leader: (records.LeaderRecord & { revision: number }) | null = null;
  /** Controllers whose key is there, with its revision. */
  readonly controllers = new Map<string, number>();
  /** What controllers have acknowledged by way of the store, and the record's revision. */
  readonly acknowledgements = new Map<
    string,
    { ack: records.AcknowledgementRecord; revision: number }
  >();
  /** What the version that a controller ran last could do, and the record's revision. */
  readonly versions = new Map<string, { record: records.VersionRecord; revision: number }>();
  /** What subsystems keep, as it was written: also of those that are switched off here. */
  readonly subsystems = new SubsystemRecords();
  /** The highest token that is known. */
  lastToken = 0;
  machineTypes: MachineType[] | null = null;
  machineTypesRevision = 0;
  malformedRecords = 0;
  private readonly tasksPerChunk: number;
  private earlyCancels = new Map<string, number>();
  private earlyProgress = new Map<string, KeyValue[]>();
  private listing = false;
  private lastCancelled = { since: -1, applied: -1, ids: [] as readonly string[] };
  readonly dependencies = new DependencyGraph(this.jobs, {
    onReady: (job) => this.listener.onReady?.(job),
    onCancelled: (job) => this.closeCancelled(job),
  });
  listener: ReplicaListener = {};

  constructor(valueBytes: number) {
    this.tasksPerChunk = chunkTasks(valueBytes);
  }

  get chunkTasks(): number {
    return this.tasksPerChunk;
  }

  private readonly compactor = new JobCompactor();

  /**
   * Of jobs that are over and were accepted before this time only the outcome stays in memory: users
   * may ask for ever, and what they are told needs no more. Not while a machine's record names one of
   * its tasks: what that takes there must be known.
   */
  compactFinished(beforeMs: number): void {
    for (const [id, storedJob] of this.jobs) {
      if (
        storedJob.atMs >= beforeMs ||
        storedJob.claimCount > 0 ||
        storedJob.spec.id === '' ||
        outcome(storedJob) === 'open'
      )
        continue;
      this.jobs.set(id, this.compactor.compact(storedJob));
    }
  }

  /**
   * One item of a listing. Older copies of what is known already change nothing. A listing goes by
   * key, not by revision: a job's progress comes after its cancellation even where it is older, and
   * then the job is done. So nothing is concluded from a cancellation before `listed`.
   */
  applyListed(item: KeyValue): void {
    this.listing = true;
    this.applyPut(item.key, item.value, item.revision);
  }

  /** The listing is complete, with the changes since its first page. */
  listingComplete(): void {
    this.listing = false;
    this.dependencies.rebuild();
    for (const storedJob of this.jobs.values()) {
      if (storedJob.progress !== null && outcome(storedJob) === 'cancelled')
        this.closeCancelled(storedJob);
    }
  }

  /**
   * Ids of jobs that may have tasks and whose cancellation was stored after `revision`, as far as this copy goes. Rarely
   * asked for, and then several times for the same revision: the last result is kept.
   */
  cancelledSince(revision: number): readonly string[] {
    const last = this.lastCancelled;
    if (last.since === revision && last.applied === this.applied) return last.ids;
    const ids: string[] = [];
    for (const [id, storedJob] of this.jobs) {
      if (storedJob.cancelledAt === null || storedJob.cancelledAt <= revision) continue;
      // What never started has no task whose lease could be renewed: a cascade may hold thousands.
      if (outcome(storedJob) === 'cancelled' && !neverStarted(storedJob)) ids.push(id);
    }
    this.lastCancelled = { since: revision, applied: this.applied, ids };
    return ids;
  }

  /**
   * Keys that a fresh listing lacks are gone. `revision`: of its first page. What has been put since may
   * be missing from it, and the changes show it.
   */
  removeMissing(keys: Set<string>, revision: number): void {
    const known = [...this.machines.keys()].map(records.machineKey);
    known.push(...[...this.controllers.keys()].map(records.controllerKey));
    if (this.leader !== null) known.push(records.LEADER);
    known.push(...this.subsystems.keys());
    for (const key of known) if (!keys.has(key)) this.applyRemoval(key, revision + 1);
  }

  /** Changes after some revision at or below `applied`, up to `revision`. */
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
      if (key.startsWith(records.JOBS) || key.startsWith(records.DEPENDENT_JOBS))
        this.applySubmissions(records.decodeRequestBatch(value), revision);
      else if (key.startsWith(records.PROGRESS) || key.startsWith(records.PROGRESS_PARTS))
        this.applyProgress(key, value, revision);
      else if (key.startsWith(records.MACHINES)) {
        this.applyMachine(
          key.slice(records.MACHINES.length),
          records.decodeMachine(value),
          revision,
        );
      } else if (key.startsWith(records.SUBSYSTEMS)) {
        this.subsystems.put(key, value, revision);
      } else if (key.startsWith(records.CONTROLLERS)) {
        const node = key.slice(records.CONTROLLERS.length);
        if ((this.controllers.get(node) ?? -1) >= revision) return;
        this.controllers.set(node, revision);
        this.listener.onPresence?.(node);
      } else if (key.startsWith(records.ACKNOWLEDGEMENTS)) {
        const node = key.slice(records.ACKNOWLEDGEMENTS.length);
        if ((this.acknowledgements.get(node)?.revision ?? -1) >= revision) return;
        const ack = records.decodeAcknowledgement(value);
        this.acknowledgements.set(node, { ack, revision });
        this.listener.onAcknowledgement?.(node, ack);
      } else if (key.startsWith(records.VERSIONS)) {
        const node = key.slice(records.VERSIONS.length);
        if ((this.versions.get(node)?.revision ?? -1) >= revision) return;
        this.versions.set(node, { record: records.decodeVersion(value), revision });
      } else if (key === records.LEADER) {
        if (this.leader !== null && this.leader.revision >= revision) return;
        this.leader = { ...records.decodeLeader(value), revision };
        this.lastToken = Math.max(this.lastToken, revision);
        this.listener.onLeader?.();
      } else if (key === records.MACHINE_TYPES && revision > this.machineTypesRevision) {
        this.machineTypes = records.decodeMachineTypes(value);
        this.machineTypesRevision = revision;
      }
    } catch {
      // A value that no version of ours wrote: it must not stop the rest.
      this.malformedRecords++;
    }
  }

  private applyRemoval(key: string, revision: number): void {
    if (key === records.LEADER) {
      if (this.leader !== null && this.leader.revision < revision) {
        this.leader = null;
        this.listener.onLeader?.();
      }
    } else if (key.startsWith(records.SUBSYSTEMS)) {
      this.subsystems.removed(key, revision);
    } else if (key.startsWith(records.CONTROLLERS)) {
      const node = key.slice(records.CONTROLLERS.length);
      if ((this.controllers.get(node) ?? Infinity) >= revision) return;
      this.controllers.delete(node);
      this.listener.onPresence?.(node);
    } else if (key.startsWith(records.MACHINES)) {
      const id = key.slice(records.MACHINES.length);
      const old = this.machines.get(id);
      if (old !== undefined && old.revision < revision) {
        this.countClaims(old.record, -1);
        this.machines.delete(id);
      }
    }
  }

  private applySubmissions(batch: records.RequestBatchRecord, revision: number): void {
    for (const accepted of batch.jobs) this.applyAccepted(accepted, revision);
    for (const id of batch.cancelledIds) this.applyCancellation(id, revision);
  }

  private applyAccepted(accepted: records.AcceptedJob, revision: number): void {
    const id = accepted.spec.id;
    const storedJob = this.jobs.get(id);
    if (storedJob !== undefined) {
      this.mergeRepeatedAcceptance(storedJob, accepted, revision);
      return;
    }
    const alone = accepted.spec.dependencies.length === 0;
    // Field by field: spreading `accepted` takes ten times as long as all the rest, see docs/profile.md.
    const facts: StoredJob = {
      spec: accepted.spec,
      atMs: accepted.atMs,
      acceptedAt: revision,
      cancelledAt: this.earlyCancels.get(id) ?? null,
      cancelledByDependency: false,
      doneAt: null,
      doneMs: 0,
      readyAt: alone ? revision : null,
      readyMs: accepted.atMs,
      unmetDependencies: 0,
      doneTasks: 0,
      attainedS: 0,
      progress: new Map(),
      claimCount: 0,
    };
    this.earlyCancels.delete(id);
    this.jobs.set(id, facts);
    for (const item of this.earlyProgress.get(id) ?? []) {
      this.applyProgress(item.key, item.value, item.revision);
    }
    this.earlyProgress.delete(id);
    if (alone && outcome(facts) === 'open') this.listener.onReady?.(facts);
    else if (!this.listing) this.dependencies.accepted(facts);
  }

  /**
   * Two nodes accepted the same job at once: the same job, the older acceptance counts, in whatever
   * order a listing shows the two.
   */
  private mergeRepeatedAcceptance(
    storedJob: StoredJob,
    accepted: records.AcceptedJob,
    revision: number,
  ): void {
    if (revision >= storedJob.acceptedAt) return;
    storedJob.acceptedAt = revision;
    if (specOf(storedJob) === null) return;
    Object.assign(storedJob, accepted);
    storedJob.readyAt = accepted.spec.dependencies.length === 0 ? revision : null;
    storedJob.readyMs = accepted.atMs;
  }

  private applyCancellation(id: string, revision: number): void {
    const storedJob = this.jobs.get(id);
    if (storedJob === undefined) {
      // A listing goes by key, not by time: the job itself may come later.
      const early = this.earlyCancels.get(id);
      this.earlyCancels.set(id, Math.min(early ?? Infinity, revision));
      return;
    }
    if (storedJob.cancelledAt !== null && revision > storedJob.cancelledAt) return;
    storedJob.cancelledAt = revision;
    storedJob.cancelledByDependency = false;
    if (this.listing || outcome(storedJob) !== 'cancelled') return;
    this.closeCancelled(storedJob);
    this.dependencies.cancelled(storedJob);
  }

  private closeCancelled(storedJob: StoredJob): void {
    storedJob.progress = null;
    this.listener.onCancelled?.(storedJob);
  }

  private applyProgress(key: string, value: unknown, revision: number): void {
    const { id, number, isPart } = parseProgressKey(key);
    const storedJob = this.jobs.get(id);
    if (storedJob === undefined) {
      const early = this.earlyProgress.get(id) ?? [];
      early.push({ key, value, revision });
      this.earlyProgress.set(id, early);
      return;
    }
    if (storedJob.doneAt !== null || storedJob.progress === null) return;
    const old = storedJob.progress.get(key);
    if (old !== undefined && old.revision >= revision) return;
    const record = records.decodeProgress(value);
    const first = isPart ? number : number * this.tasksPerChunk;
    const size = isPart
      ? (record.tasks ?? 0)
      : chunkSize(storedJob.spec.tasks, this.tasksPerChunk, number);
    const { attainedS } = record;
    storedJob.progress.set(key, {
      first,
      bits: decodeBits(record.bits, size),
      revision,
      attainedS,
    });
    storedJob.doneMs = Math.max(storedJob.doneMs, record.doneMs ?? 0);
    this.sumProgress(storedJob);
  }

  /** Done when all records together name all tasks, with the youngest of them. */
  private sumProgress(storedJob: StoredJob): void {
    const stored = [...storedJob.progress!.values()];
    storedJob.doneTasks = countDone(storedJob.spec.tasks, stored);
    storedJob.attainedS = stored.reduce((sum, { attainedS }) => sum + attainedS, 0);
    if (storedJob.doneTasks < storedJob.spec.tasks) return;
    storedJob.doneAt = Math.max(...stored.map(({ revision }) => revision));
    storedJob.progress = null;
    if (!this.listing && outcome(storedJob) === 'done') this.dependencies.done(storedJob);
  }

  private applyMachine(id: string, record: records.MachineRecord, revision: number): void {
    const old = this.machines.get(id);
    if (old !== undefined) {
      if (old.revision >= revision) return;
      this.countClaims(old.record, -1);
    }
    this.machines.set(id, { record, revision });
    this.countClaims(record, 1);
  }

  private countClaims(record: records.MachineRecord, by: number): void {
    for (const claim of record.claims) {
      const storedJob = this.jobs.get(claim.job);
      if (storedJob !== undefined) storedJob.claimCount = Math.max(0, storedJob.claimCount + by);
    }
  }
}
