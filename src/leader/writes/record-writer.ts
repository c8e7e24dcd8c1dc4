/** Writes the records of a term in batches, and handles commits that are refused or not answered. */

import { random } from '../../random.js';
import { WakeableSleep, sleep, type Clock } from '../../clock.js';
import type { Log } from '../../log.js';
import { RequestRejectedError, type KeyValueStoreClient } from '../../store/client.js';
import * as records from '../../store/records.js';
import type { ActiveSubsystems } from '../../subsystems/active-subsystems.js';
import type { Operation, Precondition } from '../../wire/key-value-store.js';
import { DueWrites, LATER, type DueWrite } from './due-writes.js';
import { RecordWrites, type RecordWrite } from './record-writes.js';
import type { Term } from '../term/term.js';

/** Largest request body of a batch, in bytes. */
const MAX_TRANSACTION_BYTES = 60 * 1024;
/** Bytes of a request body in addition to its writes. */
const ENVELOPE_BYTES = 512;
/** Share of the write budget's capacity that counts as a full budget. */
const NEARLY_FULL_BUDGET_SHARE = 0.9;
/** How long the writer waits when nothing is due, unless it is woken. */
const IDLE_S = 0.25;
const COMMIT_TIMEOUT_S = 1.5;
/** Wait before a retry after an error. */
const RETRY_S = 0.2;
/** Wait before a retry after a rejected request; up to as much again is added at random. */
const REJECTED_RETRY_S = 0.1;

/** Dependencies of `RecordWriter`. */
export interface RecordWriterOptions {
  term: Term;
  store: KeyValueStoreClient;
  clock: Clock;
  log: Log;
  /** Called when the leader's key has changed, which ends this term. */
  onLeadershipLost: () => void;
  subsystems: ActiveSubsystems;
}

/**
 * Writes a term's records, one batch at a time, most urgent first. Every change is guarded by the
 * leader's key and by its own key's revision, so that a transaction that is carried out late has no
 * effect.
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
   * Marks the machine types for writing. Types that do not fit into one value are not stored: the refused write
   * would be retried forever, and every controller asks the cloud when the store has none.
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

  /** Wakes the writer, since a write is due. */
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
    const batch = this.startBatch(due);
    if (batch.length === 0) return false;
    writeBudget.forceTake(batch.reduce((sum, write) => sum + 1 + write.alsoOperations.length, 0));
    await this.commitBatch(batch);
    return true;
  }

  /** Encodes and starts the first due writes, as many as fit into a transaction and the write budget. */
  private startBatch(due: DueWrite[]): RecordWrite[] {
    const batch: RecordWrite[] = [];
    let bytes = ENVELOPE_BYTES;
    let operations = 0;
    for (const entry of due) {
      operations += entry.operations ?? 1;
      if (operations > this.maxOperations(entry, batch.length === 0)) break;
      // Encoded only now, since for writes that are not in this batch only the order matters.
      const write = entry.encode();
      if (bytes + write.bytes > MAX_TRANSACTION_BYTES) break;
      bytes += write.bytes;
      write.started();
      batch.push(write);
    }
    return batch;
  }

  /** How many operations a transaction may have with this write. */
  private maxOperations({ urgency }: DueWrite, isFirst: boolean): number {
    const { writeBudget, operationsPerTransaction } = this.options.store;
    const { available, capacity } = writeBudget;
    const maxOperations = Math.min(operationsPerTransaction, Math.floor(available));
    // A group of deferrable operations that exceeds their share is written once the budget is full; otherwise it
    // would wait forever.
    const mayUseFullBudget = isFirst && available >= capacity * NEARLY_FULL_BUDGET_SHARE;
    if (urgency < LATER || mayUseFullBudget) return maxOperations;
    // Deferrable writes leave half of the write budget's capacity to writes that become due next.
    return Math.min(maxOperations, Math.floor(available - capacity / 2));
  }

  private async commitBatch(batch: RecordWrite[]): Promise<void> {
    const { term, store, log, onLeadershipLost } = this.options;
    const { preconditions, operations } = transactionOf(batch, term.context.token);
    try {
      const result = await store.compareAndSwap(preconditions, operations, COMMIT_TIMEOUT_S);
      if (this.stopped) return;
      if (result.ok) {
        term.latestRevision = Math.max(term.latestRevision, result.revision);
        for (const write of batch) write.onStored(result.revision);
        return;
      }
      for (const write of batch) write.failed();
      if (result.failed.includes(records.LEADER)) {
        onLeadershipLost();
        return;
      }
      log.info({ failed: result.failed }, 'compare-and-swap failed');
      const hasFailed = ({ key }: { key: string }): boolean => result.failed.includes(key);
      await this.readBack(
        batch.filter((write) => hasFailed(write) || write.alsoOperations.some(hasFailed)),
      );
    } catch (error) {
      if (this.stopped) return;
      for (const write of batch) write.failed();
      if (error instanceof RequestRejectedError) {
        if (error.status === 400) await this.retryOneByOne(batch);
        await sleep(REJECTED_RETRY_S + random() * REJECTED_RETRY_S);
        return;
      }
      // Without an answer, the commit may have been carried out or may still be: read back, then write again.
      await this.readBack(batch);
    }
  }

  /** Commits each write on its own, so that one malformed write does not block the others of its batch. */
  private async retryOneByOne(batch: RecordWrite[]): Promise<void> {
    this.options.log.error({ keys: batch.map((write) => write.key) }, 'transaction malformed');
    if (batch.length === 1) return;
    for (const write of batch) {
      if (this.stopped) return;
      this.options.store.writeBudget.forceTake(1 + write.alsoOperations.length);
      write.started();
      await this.commitBatch([write]);
    }
  }

  private async readBack(batch: RecordWrite[]): Promise<void> {
    for (const write of batch) {
      while (!this.stopped) {
        try {
          const item = await this.options.store.get(write.key, 1);
          write.onReadBack(item);
          break;
        } catch {
          await sleep(RETRY_S);
        }
      }
    }
  }

  /** Stops writing; later outcomes are ignored. */
  stop(): void {
    this.stopped = true;
    this.pause.wakeUp();
  }
}

/** The transaction of a batch: each change is guarded by its own key's revision, and all by the leader's key. */
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
