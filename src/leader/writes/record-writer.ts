/** The writer of a term: batches, commits, and what to do when one is refused or not answered. */

import { random } from '../../random.js';
import { WakeableSleep, sleep, type Clock } from '../../clock.js';
import type { Log } from '../../log.js';
import { RequestRejectedError, type KeyValueStoreClient } from '../../store/client.js';
import * as records from '../../store/records.js';
import type { ActiveSubsystems } from '../../subsystems/active-subsystems.js';
import type { Operation, Precondition } from '../../wire/key-value-store.js';
import { DueWrites, LATER } from './due-writes.js';
import { RecordWrites, type RecordWrite } from './record-writes.js';
import type { Term } from '../term/term.js';

/** Of a request's body, what a batch may take. */
const TRANSACTION_BYTES = 60 * 1024;
/** What a request takes beside its writes. */
const ENVELOPE_BYTES = 512;
/** Of what may be written at once, what counts as all of it. */
const NEARLY_ALL = 0.9;
/** How long the writer waits when nothing is due, unless it is nudged. */
const IDLE_S = 0.25;
const COMMIT_TIMEOUT_S = 1.5;
/** Before the next try after an error; with as much again at random after a refusal. */
const RETRY_S = 0.2;
const REFUSED_S = 0.1;

/** What a `RecordWriter` works with. */
export interface RecordWriterOptions {
  term: Term;
  store: KeyValueStoreClient;
  clock: Clock;
  log: Log;
  /** The leader's key has changed: this term is over. */
  onLeadershipLost: () => void;
  subsystems: ActiveSubsystems;
}

/**
 * Writes a term's records, a batch at a time, most urgent first. Every put is guarded by the
 * leader's key and by its own key's revision, so that a transaction carried out late changes
 * nothing.
 */
export class RecordWriter {
  private stopped = false;
  private readonly pause = new WakeableSleep();
  private readonly writes: RecordWrites;
  private readonly dueWrites: DueWrites;

  constructor(private readonly options: RecordWriterOptions) {
    const { term, clock, subsystems } = options;
    this.writes = new RecordWrites(term, clock);
    this.dueWrites = new DueWrites(term, this.writes, clock, subsystems);
  }

  /**
   * The machine types differ from those stored. Where they do not fit into one value they are not stored: a
   * refused write would be tried for ever, and every controller asks the cloud when the store has none.
   */
  markMachineTypes(): void {
    const { term, log } = this.options;
    const bytes = Buffer.byteLength(
      JSON.stringify(records.encodeMachineTypes([...term.machineTypes.values()])),
    );
    const mostBytes = term.context.settings.state.value_kb * 1024;
    this.writes.machineTypesDirty = bytes <= mostBytes;
    if (!this.writes.machineTypesDirty)
      log.info({ bytes, mostBytes }, 'machine types not stored: too large');
  }

  /** There is something to write. */
  wake(): void {
    this.pause.wakeUp();
  }

  /** Writes batch after batch until `stop`. */
  async run(): Promise<void> {
    while (!this.stopped) {
      try {
        if (!this.options.term.context.canWrite() || !(await this.writeBatch()))
          await this.pause.wait(IDLE_S);
      } catch (error) {
        this.options.log.error({ err: error }, 'record writer failed');
        await sleep(RETRY_S);
      }
    }
  }

  private async writeBatch(): Promise<boolean> {
    const { writeBudget } = this.options.store;
    const due = this.dueWrites.collect();
    if (due.length === 0) return false;
    if (writeBudget.available < 1) {
      await sleep(writeBudget.secondsUntil(1));
      return true;
    }
    const most = Math.min(
      this.options.store.operationsPerTransaction,
      Math.floor(writeBudget.available),
    );
    // What can wait leaves half of what may be written at once to what comes next.
    const mostLater = Math.min(most, Math.floor(writeBudget.available - writeBudget.capacity / 2));
    const batch: RecordWrite[] = [];
    let bytes = ENVELOPE_BYTES;
    let ops = 0;
    for (const entry of due) {
      ops += entry.operations ?? 1;
      // A group that is larger than its share waits until all is there, rather than for ever.
      const alone =
        batch.length === 0 && writeBudget.available >= writeBudget.capacity * NEARLY_ALL;
      if (ops > (entry.urgency >= LATER && !alone ? mostLater : most)) break;
      // Encoded only now: of what waits for its turn only the order is looked at.
      const write = entry.encode();
      if (bytes + write.bytes > TRANSACTION_BYTES) break;
      bytes += write.bytes;
      write.started();
      batch.push(write);
    }
    if (batch.length === 0) return false;
    writeBudget.force(batch.reduce((sum, write) => sum + 1 + write.alsoOperations.length, 0));
    await this.commitBatch(batch);
    return true;
  }

  private async commitBatch(batch: RecordWrite[]): Promise<void> {
    const { term, store, log, onLeadershipLost } = this.options;
    const { preconditions, operations } = transactionOf(batch, term.context.token);
    try {
      const result = await store.compareAndSwap(preconditions, operations, COMMIT_TIMEOUT_S);
      if (this.stopped) return;
      if (result.ok) {
        term.latestRevision = Math.max(term.latestRevision, result.revision);
        for (const write of batch) write.stored(result.revision);
        return;
      }
      for (const write of batch) write.failed();
      if (result.failed.includes(records.LEADER)) {
        onLeadershipLost();
        return;
      }
      log.info({ failed: result.failed }, 'compare-and-swap failed');
      const differs = ({ key }: { key: string }): boolean => result.failed.includes(key);
      await this.readBack(
        batch.filter((write) => differs(write) || write.alsoOperations.some(differs)),
      );
    } catch (error) {
      if (this.stopped) return;
      for (const write of batch) write.failed();
      if (error instanceof RequestRejectedError) {
        if (error.status === 400) await this.retryOneByOne(batch);
        await sleep(REFUSED_S + random() * REFUSED_S);
        return;
      }
      // Not answered: it may have been carried out, or still be. Read back, then write again.
      await this.readBack(batch);
    }
  }

  /** One malformed write must not keep the others of its batch from being stored. */
  private async retryOneByOne(batch: RecordWrite[]): Promise<void> {
    this.options.log.error({ keys: batch.map((write) => write.key) }, 'transaction malformed');
    if (batch.length === 1) return;
    for (const write of batch) {
      if (this.stopped) return;
      this.options.store.writeBudget.force(1 + write.alsoOperations.length);
      write.started();
      await this.commitBatch([write]);
    }
  }

  private async readBack(batch: RecordWrite[]): Promise<void> {
    for (const write of batch) {
      while (!this.stopped) {
        try {
          const item = await this.options.store.get(write.key, 1);
          write.readBack(item);
          break;
        } catch {
          await sleep(RETRY_S);
        }
      }
    }
  }

  /** Nothing more is written; outcomes that still come are ignored. */
  stop(): void {
    this.stopped = true;
    this.pause.wakeUp();
  }
}

/** All changes of a batch, each guarded by its own key's revision and all by the leader's key. */
function transactionOf(
  batch: RecordWrite[],
  token: number,
): { preconditions: Precondition[]; operations: Operation[] } {
  const preconditions: Precondition[] = [{ key: records.LEADER, revision: token }];
  const operations: Operation[] = [];
  for (const write of batch) {
    for (const { key, expectedRevision, operation } of [write, ...write.alsoOperations]) {
      preconditions.push({ key, revision: expectedRevision });
      operations.push(operation);
    }
  }
  return { preconditions, operations };
}
