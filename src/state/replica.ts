import type { JobSpec, MachineType } from '../jobs/types.js';
import { BitSet } from '../jobs/bit-set.js';
import { chunkCount, chunkSize, chunkTasks } from '../jobs/chunks.js';
import type { Change, Item } from '../wire/state.js';
import * as records from './records.js';

/** What the store says of one job. A pure function of the changes up to a revision. */
export interface JobFacts extends records.Accepted {
  /** Revision at which it was accepted. */
  acceptedAt: number;
  /** Revision of the first cancellation. */
  cancelledAt: number | null;
  /** Revision at which its last task was stored as done. */
  doneAt: number | null;
  doneTasks: number;
  attainedS: number;
  /** Dropped once the job is over. */
  chunks: Map<number, { bits: BitSet; revision: number; attainedS: number }> | null;
  /** Attempts that machine records name at present. */
  claims: number;
}

/** What is left of the description of a job that was over long ago, shared by all alike. */
const LEAN: JobSpec = {
  id: '', class: '', team: '', kind: 'array', priority: 3, tasks: 0, cores: 0, gpus: 0, memGb: 0,
  image: '', imageGb: 0, types: null, zone: null, oneZone: false, scatter: false, spot: false,
  estimateS: 0, checkpointS: 0, saveS: 0, deadlineS: null,
}; // prettier-ignore

/** Null: it is over, and what it asked for has left memory. */
export const specOf = (j: JobFacts): JobSpec | null => (j.spec.id === '' ? null : j.spec);

export type Outcome = 'open' | 'done' | 'cancelled';

/** The older one of "done" and "cancelled" counts, on every node and for ever. */
export function outcome(j: JobFacts): Outcome {
  if (j.cancelledAt !== null && (j.doneAt === null || j.cancelledAt < j.doneAt)) return 'cancelled';
  return j.doneAt !== null ? 'done' : 'open';
}

export interface Listener {
  onJob?(j: JobFacts): void;
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
  listener: Listener = {};

  constructor(valueBytes: number) {
    this.perChunk = chunkTasks(valueBytes);
  }

  get chunkTasks(): number {
    return this.perChunk;
  }

  private readonly lean = new Map<number, JobSpec>();

  /**
   * Of jobs that are over and were accepted before this time only the outcome stays in memory: users
   * may ask for ever, and what they are told needs no more. Not while a machine's record names one of
   * its tasks: what that takes there must be known.
   */
  trim(beforeMs: number): void {
    for (const [id, j] of this.jobs) {
      if (j.atMs >= beforeMs || j.claims > 0 || j.spec.id === '' || outcome(j) === 'open') continue;
      const { tasks } = j.spec;
      let lean = this.lean.get(tasks);
      if (lean === undefined) this.lean.set(tasks, (lean = { ...LEAN, tasks }));
      const { atMs, acceptedAt, cancelledAt, doneAt, doneTasks } = j;
      this.jobs.set(id, {
        spec: lean,
        atMs,
        acceptedAt,
        cancelledAt,
        doneAt,
        doneTasks,
        attainedS: 0,
        chunks: null,
        claims: 0,
      });
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
    for (const facts of this.jobs.values()) {
      if (facts.chunks !== null && outcome(facts) === 'cancelled') this.closeCancelled(facts);
    }
  }

  /**
   * Ids of jobs whose cancellation was stored after `revision`, as far as this copy goes. Rarely
   * asked for, and then several times for the same revision: the last result is kept.
   */
  cancelledSince(revision: number): readonly string[] {
    const last = this.lastCancelled;
    if (last.since === revision && last.applied === this.applied) return last.ids;
    const ids: string[] = [];
    for (const [id, facts] of this.jobs) {
      if (facts.cancelledAt === null || facts.cancelledAt <= revision) continue;
      if (outcome(facts) === 'cancelled') ids.push(id);
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
      if (key.startsWith(records.JOBS))
        this.applySubmissions(records.decodeSubmissions(value), revision);
      else if (key.startsWith(records.PROGRESS)) this.progress(key, value, revision);
      else if (key.startsWith(records.MACHINES)) {
        this.machine(key.slice(records.MACHINES.length), records.decodeMachine(value), revision);
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
    for (const accepted of r.jobs) {
      const id = accepted.spec.id;
      const old = this.jobs.get(id);
      if (old !== undefined) {
        // Two nodes accepted the same job at once: the same job, the older acceptance counts, in
        // whatever order a listing shows the two.
        if (revision < old.acceptedAt) {
          old.acceptedAt = revision;
          if (specOf(old) !== null) Object.assign(old, accepted);
        }
        continue;
      }
      // Field by field: spreading `accepted` takes ten times as long as all the rest, see docs/profile.md.
      const facts: JobFacts = {
        spec: accepted.spec,
        atMs: accepted.atMs,
        acceptedAt: revision,
        cancelledAt: this.earlyCancels.get(id) ?? null,
        doneAt: null,
        doneTasks: 0,
        attainedS: 0,
        chunks: new Map(),
        claims: 0,
      };
      this.earlyCancels.delete(id);
      this.jobs.set(id, facts);
      for (const item of this.earlyProgress.get(id) ?? []) {
        this.progress(item.key, item.value, item.revision);
      }
      this.earlyProgress.delete(id);
      if (outcome(facts) === 'open') this.listener.onJob?.(facts);
    }
    for (const id of r.cancels) {
      const facts = this.jobs.get(id);
      if (facts === undefined) {
        // A listing goes by key, not by time: the job itself may come later.
        const early = this.earlyCancels.get(id);
        this.earlyCancels.set(id, Math.min(early ?? Infinity, revision));
      } else if (facts.cancelledAt === null || revision < facts.cancelledAt) {
        facts.cancelledAt = revision;
        if (!this.listing && outcome(facts) === 'cancelled') this.closeCancelled(facts);
      }
    }
  }

  private closeCancelled(facts: JobFacts): void {
    facts.chunks = null;
    this.listener.onCancelled?.(facts);
  }

  private progress(key: string, value: unknown, revision: number): void {
    const rest = key.slice(records.PROGRESS.length);
    const slash = rest.indexOf('/');
    const id = rest.slice(0, slash);
    const chunk = Number(rest.slice(slash + 1));
    const facts = this.jobs.get(id);
    if (facts === undefined) {
      const early = this.earlyProgress.get(id) ?? [];
      early.push({ key, value, revision });
      this.earlyProgress.set(id, early);
      return;
    }
    if (facts.doneAt !== null || facts.chunks === null) return;
    const old = facts.chunks.get(chunk);
    if (old !== undefined && old.revision >= revision) return;
    const size = chunkSize(facts.spec.tasks, this.perChunk, chunk);
    const p = records.decodeProgress(value);
    let bits: BitSet;
    if (p.bits === null) {
      bits = new BitSet(size);
      bits.fill();
    } else bits = BitSet.decode(size, p.bits);
    facts.chunks.set(chunk, { bits, revision, attainedS: p.attainedS });
    let done = 0;
    let attained = 0;
    let last = 0;
    for (const c of facts.chunks.values()) {
      done += c.bits.count;
      attained += c.attainedS;
      last = Math.max(last, c.revision);
    }
    facts.doneTasks = done;
    facts.attainedS = attained;
    const chunks = chunkCount(facts.spec.tasks, this.perChunk);
    if (done === facts.spec.tasks && facts.chunks.size === chunks) {
      facts.doneAt = last;
      facts.chunks = null;
    }
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
