import { random } from '../random.js';
import { Pause, sleep, type Clock } from '../clock.js';
import type { Log } from '../log.js';
import type { LiveJob } from '../jobs/live.js';
import { Refused, type StateClient } from '../state/client.js';
import * as records from '../state/records.js';
import type { Guard, Item, Op } from '../wire/state.js';
import type { Attempt } from '../workers/attempt.js';
import type { Machine } from '../workers/machine.js';
import type { Term } from './term.js';

interface Write {
  key: string;
  guard: number;
  op: Op;
  bytes: number;
  /** It goes into a batch now. */
  begin(): void;
  stored(revision: number): void;
  failed(): void;
  /** What was read back after a commit whose outcome was open, or whose guard failed. */
  reread(item: Item | null): void;
}

const TXN_BYTES = 60 * 1024;

/** 0 to 3: claims of that priority; the ends of jobs go with the highest. */
const SOON = 4;
const LATER = 5;

interface Due {
  urgency: number;
  make(): Write;
}

/**
 * Writes a term's records, a batch at a time, most urgent first. Every put is guarded by the
 * leader's key and by its own key's revision, so that a transaction carried out late changes
 * nothing.
 */
export class TermStore {
  private stopped = false;
  private readonly pause = new Pause();
  typesDirty = false;
  private typesRevision: number | undefined;

  constructor(
    private readonly term: Term,
    private readonly node: string,
    private readonly state: StateClient,
    private readonly clock: Clock,
    private readonly log: Log,
    /** The leader's key has changed: this term is over. */
    private readonly onLost: () => void,
  ) {}

  nudge(): void {
    this.pause.end();
  }

  async run(): Promise<void> {
    while (!this.stopped) {
      try {
        if (!this.term.deps.writing() || !(await this.flush())) await this.pause.wait(0.25);
      } catch (e) {
        this.log.error({ err: String(e), stack: (e as Error).stack }, 'store round failed');
        await sleep(0.2);
      }
    }
  }

  private async flush(): Promise<boolean> {
    const { writes } = this.state;
    const due = this.collect();
    if (due.length === 0) return false;
    if (writes.available < 1) {
      await sleep(writes.wait(1));
      return true;
    }
    const most = Math.min(this.state.txnOps, Math.floor(writes.available));
    // What can wait leaves half of what may be written at once to what comes next.
    const mostLater = Math.min(most, Math.floor(writes.available - writes.capacity / 2));
    const batch: Write[] = [];
    let bytes = 512;
    for (const d of due) {
      if (batch.length >= (d.urgency === LATER ? mostLater : most)) break;
      // Encoded only now: of what waits for its turn only the order is looked at.
      const w = d.make();
      if (bytes + w.bytes > TXN_BYTES) break;
      bytes += w.bytes;
      w.begin();
      batch.push(w);
    }
    if (batch.length === 0) return false;
    writes.force(batch.length);
    await this.commit(batch);
    return true;
  }

  private async commit(batch: Write[]): Promise<void> {
    const guards: Guard[] = [{ key: records.LEADER, revision: this.term.deps.token }];
    for (const w of batch) guards.push({ key: w.key, revision: w.guard });
    try {
      const r = await this.state.commit(
        guards,
        batch.map((w) => w.op),
        1.5,
      );
      if (this.stopped) return;
      if (r.ok) {
        this.term.latestRevision = Math.max(this.term.latestRevision, r.revision);
        for (const w of batch) w.stored(r.revision);
        return;
      }
      for (const w of batch) w.failed();
      if (r.failed.includes(records.LEADER)) {
        this.onLost();
        return;
      }
      this.log.info({ failed: r.failed }, 'records differ from what was known');
      await this.reread(batch.filter((w) => r.failed.includes(w.key)));
    } catch (e) {
      if (this.stopped) return;
      for (const w of batch) w.failed();
      if (e instanceof Refused) {
        if (e.status === 400) await this.rejected(batch);
        await sleep(0.1 + random() * 0.1);
        return;
      }
      // Not answered: it may have been carried out, or still be. Read back, then write again.
      await this.reread(batch);
    }
  }

  /** One malformed write must not keep the others of its batch from being stored. */
  private async rejected(batch: Write[]): Promise<void> {
    this.log.error({ keys: batch.map((w) => w.key) }, 'commit malformed');
    if (batch.length === 1) return;
    for (const w of batch) {
      if (this.stopped) return;
      this.state.writes.force(1);
      w.begin();
      await this.commit([w]);
    }
  }

  private async reread(batch: Write[]): Promise<void> {
    for (const w of batch) {
      while (!this.stopped) {
        try {
          const item = await this.state.get(w.key, 1);
          w.reread(item);
          break;
        } catch {
          await sleep(0.2);
        }
      }
    }
  }

  /** What there is to write, in the order of urgency. */
  private collect(): Due[] {
    const { term } = this;
    const now = this.clock.now();
    const due: Due[] = [];
    for (const job of term.jobs.values()) {
      if (job.dirtyChunks.size === 0 || job.cancelled) continue;
      const urgent = job.finished;
      // A record is written at most once a second while it grows.
      if (!urgent && now - (job.dirtySince ?? now) < 1) continue;
      for (const chunk of job.dirtyChunks) {
        due.push({ urgency: urgent ? 0 : SOON, make: () => this.progress(job, chunk) });
      }
    }
    for (const id of term.dirtyMachines) {
      const m = term.machines.get(id);
      if (m === undefined) {
        term.dirtyMachines.delete(id);
        continue;
      }
      const claiming = this.claiming(m);
      const make = (): Write => this.machine(m, m.claims());
      if (claiming !== null) due.push({ urgency: claiming, make });
      else if (m.state === 'returning' || m.nextToken > m.token) due.push({ urgency: SOON, make });
      else if (m.revision === 0 && m.attempts.size === 0) term.dirtyMachines.delete(id);
      // Claims too many are safe; they are dropped with the next write, or when there is time.
      else due.push({ urgency: LATER, make });
    }
    for (const [id, revision] of term.removals) {
      due.push({ urgency: LATER, make: () => this.removal(id, revision) });
    }
    if (this.typesDirty) due.push({ urgency: SOON, make: () => this.types() });
    return due.sort((a, b) => a.urgency - b.urgency);
  }

  /** The highest priority among the claims on a machine that wait for being stored. */
  private claiming(m: Machine): number | null {
    let best: number | null = null;
    for (const a of m.attempts.values()) {
      if (a.state !== 'claiming') continue;
      const priority = this.term.jobs.get(a.job)?.spec.priority ?? SOON - 1;
      if (best === null || priority < best) best = priority;
    }
    return best;
  }

  private write(
    key: string,
    guard: number,
    op: Op,
    on: Pick<Write, 'begin' | 'stored' | 'failed' | 'reread'>,
  ): Write {
    const bytes = key.length * 2 + 100 + ('put' in op ? JSON.stringify(op.value).length : 0);
    return { key, guard, op, bytes, ...on };
  }

  private machine(m: Machine, claims: Attempt[]): Write {
    const { term } = this;
    const key = records.machineKey(m.id);
    const returning = m.state === 'returning';
    const token = m.nextToken;
    const value = records.encodeMachine({
      owner: this.node,
      term: term.deps.token,
      ...(token > term.deps.token ? { token } : {}),
      addr: m.addr,
      type: m.type,
      zone: m.zone,
      spot: m.spot,
      returning,
      claims: claims.map((a) => ({ job: a.job, index: a.index, attempt: a.number })),
      images: [...m.images].slice(-32).map(([image, i]) => [image, i.gb]),
    });
    return this.write(
      key,
      m.revision,
      { put: key, value },
      {
        begin: () => term.dirtyMachines.delete(m.id),
        stored: (revision) => {
          m.revision = revision;
          m.recordTerm = term.deps.token;
          m.raiseToken(token);
          if (returning) m.returnStored = true;
          for (const a of claims) term.stored(a);
        },
        failed: () => term.dirtyMachines.add(m.id),
        reread: (item) => (m.revision = item?.revision ?? 0),
      },
    );
  }

  private progress(job: LiveJob, chunk: number): Write {
    const key = records.progressKey(job.spec.id, chunk);
    const value = records.encodeProgress(job.chunkRecord(chunk));
    const fresh = job.unstored(chunk);
    const stored = (revision: number): void => {
      job.chunkRevisions.set(chunk, revision);
      for (const a of job.storedTasks(chunk, fresh, this.clock.now())) {
        a.settled = true;
        this.term.urgent.add(a.machine);
      }
      if (job.finished && job.dirtyChunks.size === 0) this.term.completed(job);
    };
    return this.write(
      key,
      job.chunkRevisions.get(chunk) ?? 0,
      { put: key, value },
      {
        begin: () => undefined,
        stored,
        failed: () => undefined,
        reread: (item) => {
          // Stored after all: writing it again would make "done" younger than it is, and a
          // cancellation in between would seem to have come first.
          // The time attained may differ by now: what is done decides.
          const bits = item === null ? undefined : records.decodeProgress(item.value).bits;
          if (item !== null && (bits === null || bits === records.decodeProgress(value).bits)) {
            stored(item.revision);
          } else job.chunkRevisions.set(chunk, item?.revision ?? 0);
        },
      },
    );
  }

  private removal(id: string, revision: number): Write {
    const key = records.machineKey(id);
    return this.write(
      key,
      revision,
      { remove: key },
      {
        begin: () => undefined,
        stored: () => this.term.removed(id, null),
        failed: () => undefined,
        reread: (item) => this.term.removed(id, item?.revision ?? null),
      },
    );
  }

  private types(): Write {
    const value = records.encodeTypes([...this.term.types.values()]);
    this.typesRevision ??= this.term.deps.replica.typesRevision;
    return this.write(
      records.TYPES,
      this.typesRevision,
      { put: records.TYPES, value },
      {
        begin: () => undefined,
        stored: () => (this.typesDirty = false),
        failed: () => undefined,
        reread: (item) => (this.typesRevision = item?.revision ?? 0),
      },
    );
  }

  stop(): void {
    this.stopped = true;
    this.pause.end();
  }
}
