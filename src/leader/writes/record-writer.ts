/** The writer of a term: batches, commits, and what to do when one is refused or not answered. */

import { random } from '../../random.js';
import { Pause, sleep, type Clock } from '../../clock.js';
import type { Log } from '../../log.js';
import { RequestRejectedError, type KeyValueStoreClient } from '../../store/client.js';
import * as records from '../../store/records.js';
import type { ActiveSubsystems } from '../../subsystems/active-subsystems.js';
import type { Precondition } from '../../wire/key-value-store.js';
import { DueWrites, LATER } from './due-writes.js';
import { RecordWrites, type Write } from './record-writes.js';
import type { Term } from '../term/term.js';

/** Of a request's body, what a batch may take. */
const TXN_BYTES = 60 * 1024;
/** What a request takes beside its writes. */
const FRAME_BYTES = 512;
/** Of what may be written at once, what counts as all of it. */
const NEARLY_ALL = 0.9;
/** How long the writer waits when nothing is due, unless it is nudged. */
const IDLE_S = 0.25;
const COMMIT_TIMEOUT_S = 1.5;
/** Before the next try after an error; with as much again at random after a refusal. */
const RETRY_S = 0.2;
const REFUSED_S = 0.1;

export interface TermStoreOptions {
  term: Term;
  store: KeyValueStoreClient;
  clock: Clock;
  log: Log;
  /** The leader's key has changed: this term is over. */
  onLost: () => void;
  subsystems: ActiveSubsystems;
}

/**
 * Writes a term's records, a batch at a time, most urgent first. Every put is guarded by the
 * leader's key and by its own key's revision, so that a transaction carried out late changes
 * nothing.
 */
export class TermStore {
  private stopped = false;
  private readonly pause = new Pause();
  private readonly writes: RecordWrites;
  private readonly due: DueWrites;

  constructor(private readonly options: TermStoreOptions) {
    const { term, clock, subsystems } = options;
    this.writes = new RecordWrites(term, clock);
    this.due = new DueWrites(term, this.writes, clock, subsystems);
  }

  /**
   * The machine types differ from those stored. Where they do not fit into one value they are not stored: a
   * refused write would be tried for ever, and every controller asks the cloud when the store has none.
   */
  markTypes(): void {
    const { term, log } = this.options;
    const bytes = Buffer.byteLength(
      JSON.stringify(records.encodeMachineTypes([...term.types.values()])),
    );
    const mostBytes = term.deps.settings.state.value_kb * 1024;
    this.writes.typesDirty = bytes <= mostBytes;
    if (!this.writes.typesDirty) log.info({ bytes, mostBytes }, 'machine types are not stored');
  }

  nudge(): void {
    this.pause.end();
  }

  async run(): Promise<void> {
    while (!this.stopped) {
      try {
        if (!this.options.term.deps.writing() || !(await this.flush()))
          await this.pause.wait(IDLE_S);
      } catch (error) {
        this.options.log.error(
          { err: String(error), stack: (error as Error).stack },
          'store round failed',
        );
        await sleep(RETRY_S);
      }
    }
  }

  private async flush(): Promise<boolean> {
    const { writes } = this.options.store;
    const due = this.due.collect();
    if (due.length === 0) return false;
    if (writes.available < 1) {
      await sleep(writes.wait(1));
      return true;
    }
    const most = Math.min(
      this.options.store.operationsPerTransaction,
      Math.floor(writes.available),
    );
    // What can wait leaves half of what may be written at once to what comes next.
    const mostLater = Math.min(most, Math.floor(writes.available - writes.capacity / 2));
    const batch: Write[] = [];
    let bytes = FRAME_BYTES;
    let ops = 0;
    for (const entry of due) {
      ops += entry.ops ?? 1;
      // A group that is larger than its share waits until all is there, rather than for ever.
      const alone = batch.length === 0 && writes.available >= writes.capacity * NEARLY_ALL;
      if (ops > (entry.urgency >= LATER && !alone ? mostLater : most)) break;
      // Encoded only now: of what waits for its turn only the order is looked at.
      const write = entry.make();
      if (bytes + write.bytes > TXN_BYTES) break;
      bytes += write.bytes;
      write.begin();
      batch.push(write);
    }
    if (batch.length === 0) return false;
    writes.force(batch.reduce((sum, write) => sum + 1 + write.also.length, 0));
    await this.commit(batch);
    return true;
  }

  private async commit(batch: Write[]): Promise<void> {
    const { term, store, log, onLost } = this.options;
    const guards: Precondition[] = [{ key: records.LEADER, revision: term.deps.token }];
    for (const write of batch) {
      for (const { key, guard } of [write, ...write.also]) guards.push({ key, revision: guard });
    }
    try {
      const result = await store.compareAndSwap(
        guards,
        batch.flatMap((write) => [write.op, ...write.also.map(({ op }) => op)]),
        COMMIT_TIMEOUT_S,
      );
      if (this.stopped) return;
      if (result.ok) {
        term.latestRevision = Math.max(term.latestRevision, result.revision);
        for (const write of batch) write.stored(result.revision);
        return;
      }
      for (const write of batch) write.failed();
      if (result.failed.includes(records.LEADER)) {
        onLost();
        return;
      }
      log.info({ failed: result.failed }, 'records differ from what was known');
      const differs = ({ key }: { key: string }): boolean => result.failed.includes(key);
      await this.reread(batch.filter((write) => differs(write) || write.also.some(differs)));
    } catch (error) {
      if (this.stopped) return;
      for (const write of batch) write.failed();
      if (error instanceof RequestRejectedError) {
        if (error.status === 400) await this.rejected(batch);
        await sleep(REFUSED_S + random() * REFUSED_S);
        return;
      }
      // Not answered: it may have been carried out, or still be. Read back, then write again.
      await this.reread(batch);
    }
  }

  /** One malformed write must not keep the others of its batch from being stored. */
  private async rejected(batch: Write[]): Promise<void> {
    this.options.log.error({ keys: batch.map((write) => write.key) }, 'commit malformed');
    if (batch.length === 1) return;
    for (const write of batch) {
      if (this.stopped) return;
      this.options.store.writes.force(1 + write.also.length);
      write.begin();
      await this.commit([write]);
    }
  }

  private async reread(batch: Write[]): Promise<void> {
    for (const write of batch) {
      while (!this.stopped) {
        try {
          const item = await this.options.store.get(write.key, 1);
          write.reread(item);
          break;
        } catch {
          await sleep(RETRY_S);
        }
      }
    }
  }

  stop(): void {
    this.stopped = true;
    this.pause.end();
  }
}
