import type { MachineType } from '../jobs/types.js';
import { chunkSize, chunkTasks } from '../jobs/chunks.js';
import { DependencyGraph } from '../pipelines/dependency-graph.js';
import type { Change, Item } from '../wire/state.js';
import { neverStarted, outcome, specOf, type JobFacts } from './job-facts.js';
import { LeanJobs } from './lean-jobs.js';
import * as records from './records.js';
import { bitsOf, countDone, progressName } from './stored-progress.js';
import { SubsystemRecords } from './subsystem-records.js';

export interface Listener {
  /** A job may start from now on: it was accepted, or all jobs that it needs are done. */
  onReady?(j: JobFacts): void;
  onCancelled?(j: JobFacts): void;
  onLeader?(): void;
  /** A controller's key was put or is gone. */
  onPresence?(node: string): void;
  onAck?(node: string, ack: records.AckRecord): void;
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
  readonly jobs = new Map<string, JobFacts>();
  readonly machines = new Map<string, StoredMachine>();
  leader: (records.LeaderRecord & { revision: number }) | null = null;
  /** Controllers whose key is there, with its revision. */
  readonly present = new Map<string, number>();
  /** What controllers have acknowledged by way of the store, and the record's revision. */
  readonly acks = new Map<string, { ack: records.AckRecord; revision: number }>();
  /** What the version that a controller ran last could do, and the record's revision. */
  readonly versions = new Map<string, { record: records.VersionRecord; revision: number }>();
  /** What subsystems keep, as it was written: also of those that are switched off here. */
  readonly subsystems = new SubsystemRecords();
  /** The highest token that is known. */
  lastToken = 0;
  types: MachineType[] | null = null;
  typesRevision = 0;
  garbage = 0;
  private readonly perChunk: number;
  private earlyCancels = new Map<string, number>();
  private earlyProgress = new Map<string, Item[]>();
  private listing = false;
  private lastCancelled = { since: -1, applied: -1, ids: [] as readonly string[] };
  readonly dependencies = new DependencyGraph(this.jobs, {
    onReady: (job) => this.listener.onReady?.(job),
    onCancelled: (job) => this.closeCancelled(job),
  });
  listener: Listener = {};

  constructor(valueBytes: number) {
    this.perChunk = chunkTasks(valueBytes);
  }

  get chunkTasks(): number {
    return this.perChunk;
  }

  private readonly lean = new LeanJobs();

  /**
   * Of jobs that are over and were accepted before this time only the outcome stays in memory: users
   * may ask for ever, and what they are told needs no more. Not while a machine's record names one of
   * its tasks: what that takes there must be known.
   */
  trim(beforeMs: number): void {
    for (const [id, j] of this.jobs) {
      if (j.atMs >= beforeMs || j.claims > 0 || j.spec.id === '' || outcome(j) === 'open') continue;
      this.jobs.set(id, this.lean.make(j));
    }
  }

  /**
   * One item of a listing. Older copies of what is known already change nothing. A listing goes by
   * key, not by revision: a job's progress comes after its cancellation even where it is older, and
   * then the job is done. So nothing is concluded from a cancellation before `listed`.
   */
  item(item: Item): void {
    this.listing = true;
    this.put(item.key, item.value, item.revision);
  }

  /** The listing is complete, with the changes since its first page. */
  listed(): void {
    this.listing = false;
    this.dependencies.rebuild();
    for (const facts of this.jobs.values()) {
      if (facts.progress !== null && outcome(facts) === 'cancelled') this.closeCancelled(facts);
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
    for (const [id, facts] of this.jobs) {
      if (facts.cancelledAt === null || facts.cancelledAt <= revision) continue;
      // What never started has no task whose lease could be renewed: a cascade may hold thousands.
      if (outcome(facts) === 'cancelled' && !neverStarted(facts)) ids.push(id);
    }
    this.lastCancelled = { since: revision, applied: this.applied, ids };
    return ids;
  }

  /**
   * Keys that a fresh listing lacks are gone. `revision`: of its first page. What has been put since may
   * be missing from it, and the changes show it.
   */
  retain(keys: Set<string>, revision: number): void {
    const known = [...this.machines.keys()].map(records.machineKey);
    known.push(...[...this.present.keys()].map(records.nodeKey));
    if (this.leader !== null) known.push(records.LEADER);
    known.push(...this.subsystems.keys());
    for (const key of known) if (!keys.has(key)) this.removed(key, revision + 1);
  }

  /** Changes after some revision at or below `applied`, up to `revision`. */
  advance(revision: number, changes: Change[]): void {
    for (const c of changes) {
      if (c.revision <= this.applied) continue;
      if (c.kind === 'put') this.put(c.key, c.value, c.revision);
      else this.removed(c.key, c.revision);
    }
    if (revision > this.applied) this.applied = revision;
  }

  private put(key: string, value: unknown, revision: number): void {
    try {
      if (key.startsWith(records.JOBS) || key.startsWith(records.DEPENDENT_JOBS))
        this.applySubmissions(records.decodeSubmissions(value), revision);
      else if (key.startsWith(records.PROGRESS) || key.startsWith(records.PROGRESS_PARTS))
        this.progress(key, value, revision);
      else if (key.startsWith(records.MACHINES)) {
        this.machine(key.slice(records.MACHINES.length), records.decodeMachine(value), revision);
      } else if (key.startsWith(records.SUBSYSTEMS)) {
        this.subsystems.put(key, value, revision);
      } else if (key.startsWith(records.NODES)) {
        const node = key.slice(records.NODES.length);
        if ((this.present.get(node) ?? -1) >= revision) return;
        this.present.set(node, revision);
        this.listener.onPresence?.(node);
      } else if (key.startsWith(records.ACKS)) {
        const node = key.slice(records.ACKS.length);
        if ((this.acks.get(node)?.revision ?? -1) >= revision) return;
        const ack = records.decodeAck(value);
        this.acks.set(node, { ack, revision });
        this.listener.onAck?.(node, ack);
      } else if (key.startsWith(records.VERSIONS)) {
        const node = key.slice(records.VERSIONS.length);
        if ((this.versions.get(node)?.revision ?? -1) >= revision) return;
        this.versions.set(node, { record: records.decodeVersion(value), revision });
      } else if (key === records.LEADER) {
        if (this.leader !== null && this.leader.revision >= revision) return;
        this.leader = { ...records.decodeLeader(value), revision };
        this.lastToken = Math.max(this.lastToken, revision);
        this.listener.onLeader?.();
      } else if (key === records.TYPES && revision > this.typesRevision) {
        this.types = records.decodeTypes(value);
        this.typesRevision = revision;
      }
    } catch {
      // A value that no version of ours wrote: it must not stop the rest.
      this.garbage++;
    }
  }

  private removed(key: string, revision: number): void {
    if (key === records.LEADER) {
      if (this.leader !== null && this.leader.revision < revision) {
        this.leader = null;
        this.listener.onLeader?.();
      }
    } else if (key.startsWith(records.SUBSYSTEMS)) {
      this.subsystems.removed(key, revision);
    } else if (key.startsWith(records.NODES)) {
      const node = key.slice(records.NODES.length);
      if ((this.present.get(node) ?? Infinity) >= revision) return;
      this.present.delete(node);
      this.listener.onPresence?.(node);
    } else if (key.startsWith(records.MACHINES)) {
      const id = key.slice(records.MACHINES.length);
      const old = this.machines.get(id);
      if (old !== undefined && old.revision < revision) {
        this.count(old.record, -1);
        this.machines.delete(id);
      }
    }
  }

  private applySubmissions(r: records.SubmissionsRecord, revision: number): void {
    for (const accepted of r.jobs) this.applyAccepted(accepted, revision);
    for (const id of r.cancels) this.applyCancellation(id, revision);
  }

  private applyAccepted(accepted: records.Accepted, revision: number): void {
    const id = accepted.spec.id;
    const old = this.jobs.get(id);
    if (old !== undefined) {
      this.acceptedTwice(old, accepted, revision);
      return;
    }
    const alone = accepted.spec.awaits.length === 0;
    // Field by field: spreading `accepted` takes ten times as long as all the rest, see docs/profile.md.
    const facts: JobFacts = {
      spec: accepted.spec,
      atMs: accepted.atMs,
      acceptedAt: revision,
      cancelledAt: this.earlyCancels.get(id) ?? null,
      cancelledWithNeeded: false,
      doneAt: null,
      doneMs: 0,
      readyAt: alone ? revision : null,
      readyMs: accepted.atMs,
      missing: 0,
      doneTasks: 0,
      attainedS: 0,
      progress: new Map(),
      claims: 0,
    };
    this.earlyCancels.delete(id);
    this.jobs.set(id, facts);
    for (const item of this.earlyProgress.get(id) ?? []) {
      this.progress(item.key, item.value, item.revision);
    }
    this.earlyProgress.delete(id);
    if (alone && outcome(facts) === 'open') this.listener.onReady?.(facts);
    else if (!this.listing) this.dependencies.accepted(facts);
  }

  /**
   * Two nodes accepted the same job at once: the same job, the older acceptance counts, in whatever
   * order a listing shows the two.
   */
  private acceptedTwice(old: JobFacts, accepted: records.Accepted, revision: number): void {
    if (revision >= old.acceptedAt) return;
    old.acceptedAt = revision;
    if (specOf(old) === null) return;
    Object.assign(old, accepted);
    old.readyAt = accepted.spec.awaits.length === 0 ? revision : null;
    old.readyMs = accepted.atMs;
  }

  private applyCancellation(id: string, revision: number): void {
    const facts = this.jobs.get(id);
    if (facts === undefined) {
      // A listing goes by key, not by time: the job itself may come later.
      const early = this.earlyCancels.get(id);
      this.earlyCancels.set(id, Math.min(early ?? Infinity, revision));
      return;
    }
    if (facts.cancelledAt !== null && revision > facts.cancelledAt) return;
    facts.cancelledAt = revision;
    facts.cancelledWithNeeded = false;
    if (this.listing || outcome(facts) !== 'cancelled') return;
    this.closeCancelled(facts);
    this.dependencies.cancelled(facts);
  }

  private closeCancelled(facts: JobFacts): void {
    facts.progress = null;
    this.listener.onCancelled?.(facts);
  }

  private progress(key: string, value: unknown, revision: number): void {
    const { id, number, isPart } = progressName(key);
    const facts = this.jobs.get(id);
    if (facts === undefined) {
      const early = this.earlyProgress.get(id) ?? [];
      early.push({ key, value, revision });
      this.earlyProgress.set(id, early);
      return;
    }
    if (facts.doneAt !== null || facts.progress === null) return;
    const old = facts.progress.get(key);
    if (old !== undefined && old.revision >= revision) return;
    const p = records.decodeProgress(value);
    const first = isPart ? number : number * this.perChunk;
    const size = isPart ? (p.tasks ?? 0) : chunkSize(facts.spec.tasks, this.perChunk, number);
    const { attainedS } = p;
    facts.progress.set(key, { first, bits: bitsOf(p.bits, size), revision, attainedS });
    facts.doneMs = Math.max(facts.doneMs, p.doneMs ?? 0);
    this.sumProgress(facts);
  }

  /** Done when all records together name all tasks, with the youngest of them. */
  private sumProgress(facts: JobFacts): void {
    const stored = [...facts.progress!.values()];
    facts.doneTasks = countDone(facts.spec.tasks, stored);
    facts.attainedS = stored.reduce((sum, { attainedS }) => sum + attainedS, 0);
    if (facts.doneTasks < facts.spec.tasks) return;
    facts.doneAt = Math.max(...stored.map(({ revision }) => revision));
    facts.progress = null;
    if (!this.listing && outcome(facts) === 'done') this.dependencies.done(facts);
  }

  private machine(id: string, record: records.MachineRecord, revision: number): void {
    const old = this.machines.get(id);
    if (old !== undefined) {
      if (old.revision >= revision) return;
      this.count(old.record, -1);
    }
    this.machines.set(id, { record, revision });
    this.count(record, 1);
  }

  private count(record: records.MachineRecord, by: number): void {
    for (const c of record.claims) {
      const facts = this.jobs.get(c.job);
      if (facts !== undefined) facts.claims = Math.max(0, facts.claims + by);
    }
  }
}
