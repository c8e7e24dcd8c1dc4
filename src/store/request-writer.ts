import { random } from '../random.js';
import { sleep, type TokenBucket, type Clock } from '../clock.js';
import type { Log } from '../log.js';
import type { JobOutcome } from './stored-job.js';
import type { Replica } from './replica.js';
import { outcome } from './stored-job.js';
import type { ReplicaSync } from './replica-sync.js';
import { RequestRejectedError, type KeyValueStoreClient } from './client.js';
import * as records from './records.js';

type PendingRequest = (
  | { kind: 'job'; accepted: records.AcceptedJob; size: number }
  | { kind: 'cancel'; id: string; size: number }
) & { deadline: number; resolve: (state: JobOutcome | null) => void };

/** Number of failed requests, other than by the rate limit, after which a batch or the read after it is abandoned. */
const MAX_FAILURES = 2;

const WRITE_TIMEOUT_S = 1.5;

/** Size of a record without its jobs and cancellations. */
const EMPTY_RECORD_BYTES = 64;
/** Maximum size of a record, as a fraction of the size limit of a value in the key-value store. */
const MAX_FILL = 0.9;

/** Encoded size of a job in a record, in bytes. */
const jobBytes = (accepted: records.AcceptedJob): number =>
  Buffer.byteLength(JSON.stringify(records.encodeJob(accepted))) + 1;

/** Dependencies of a `RequestWriter`. */
export interface RequestWriterOptions {
  incarnation: string;
  store: KeyValueStoreClient;
  replicaSync: ReplicaSync;
  replica: Replica;
  budget: TokenBucket;
  clock: Clock;
  log: Log;
}

/**
 * Stores users' requests, accepted jobs and cancellations, in batches. Requests that arrive while a batch is
 * being stored go into the next one, so that a response is delayed by milliseconds and costs a fraction of a
 * write.
 */
export class RequestWriter {
  private queue: PendingRequest[] = [];
  private running = false;
  private batchCount = 0;

  constructor(private readonly options: RequestWriterOptions) {}

  /** Whether a record with this job alone fits into a value of the key-value store. */
  fits(accepted: records.AcceptedJob): boolean {
    return EMPTY_RECORD_BYTES + jobBytes(accepted) <= this.options.store.valueBytes * MAX_FILL;
  }

  /** Whether the queue holds more than can be stored within this time, so that a new request would time out. */
  isFull(timeoutS: number): boolean {
    const bytes = this.queue.reduce((sum, request) => sum + request.size, 0);
    return bytes > this.options.budget.perSecond * timeoutS * this.options.store.valueBytes;
  }

  /** Stores a job. Resolves with its outcome once that is read back; null if it is unknown whether it was stored. */
  accept(accepted: records.AcceptedJob, timeoutS: number): Promise<JobOutcome | null> {
    const size = jobBytes(accepted);
    return this.enqueue({ kind: 'job', accepted, size }, timeoutS);
  }

  /** Stores a cancellation. Resolves with the job's outcome once that is read back; null if it is unknown. */
  cancel(id: string, timeoutS: number): Promise<JobOutcome | null> {
    return this.enqueue({ kind: 'cancel', id, size: id.length + 3 }, timeoutS);
  }

  private enqueue(
    request:
      | { kind: 'job'; accepted: records.AcceptedJob; size: number }
      | { kind: 'cancel'; id: string; size: number },
    timeoutS: number,
  ): Promise<JobOutcome | null> {
    return new Promise((resolve) => {
      this.queue.push({ ...request, deadline: this.options.clock.now() + timeoutS, resolve });
      if (!this.running) void this.drain();
    });
  }

  private nextBatch(): PendingRequest[] {
    const now = this.options.clock.now();
    const expired = this.queue.filter((request) => request.deadline <= now);
    for (const request of expired) request.resolve(null);
    this.queue = this.queue.filter((request) => request.deadline > now);
    const batch: PendingRequest[] = [];
    let bytes = EMPTY_RECORD_BYTES;
    while (this.queue.length > 0) {
      const request = this.queue[0]!;
      if (batch.length > 0 && bytes + request.size > this.options.store.valueBytes * MAX_FILL)
        break;
      bytes += request.size;
      batch.push(this.queue.shift()!);
    }
    return batch;
  }

  /**
   * Encodes the records of a batch, which are put in one transaction. Jobs with dependencies get a key prefix
   * that old versions ignore, since those would start the jobs at once.
   */
  private encodePuts(batch: PendingRequest[]): { put: string; value: unknown }[] {
    const jobs = batch.flatMap((request) => (request.kind === 'job' ? [request.accepted] : []));
    const cancelledIds = batch.flatMap((request) =>
      request.kind === 'cancel' ? [request.id] : [],
    );
    const dependent = jobs.filter((job) => job.spec.dependencies.length > 0);
    const independent = jobs.filter((job) => job.spec.dependencies.length === 0);
    const batchName = `${this.options.incarnation}-${this.batchCount++}`;
    const puts: { put: string; value: unknown }[] = [];
    if (independent.length + cancelledIds.length > 0) {
      const value = records.encodeRequestBatch({ jobs: independent, cancelledIds });
      puts.push({ put: records.JOBS + batchName, value });
    }
    if (dependent.length > 0) {
      const value = records.encodeRequestBatch({ jobs: dependent, cancelledIds: [] });
      puts.push({ put: records.DEPENDENT_JOBS + batchName, value });
    }
    return puts;
  }

  private async drain(): Promise<void> {
    this.running = true;
    try {
      while (this.queue.length > 0) {
        while (!this.options.budget.tryTake(1)) await sleep(this.options.budget.secondsUntil(1));
        const batch = this.nextBatch();
        if (batch.length > 0) await this.storeBatch(batch);
      }
    } finally {
      this.running = false;
    }
  }

  private async storeBatch(batch: PendingRequest[]): Promise<void> {
    const puts = this.encodePuts(batch);
    // One write has been taken from the budget; a batch with both dependent and independent jobs needs two.
    if (puts.length > 1) this.options.budget.forceTake(puts.length - 1);
    const deadline = Math.max(...batch.map((request) => request.deadline));
    const stored = await this.writePuts(puts, deadline);
    const synced = stored && (await this.readBack(deadline));
    for (const request of batch) {
      const id = request.kind === 'job' ? request.accepted.spec.id : request.id;
      const storedJob = this.options.replica.jobs.get(id);
      request.resolve(synced && storedJob !== undefined ? outcome(storedJob) : null);
    }
  }

  /**
   * Writes a batch and returns whether it is stored. If the store answers 400 or 503, or two requests fail, this
   * returns without waiting for the deadline: the user is answered soon and can try again, perhaps at another
   * controller that the store serves.
   */
  private async writePuts(
    puts: { put: string; value: unknown }[],
    deadline: number,
  ): Promise<boolean> {
    const { store, budget, clock, log } = this.options;
    const preconditions = puts.map(({ put }) => ({ key: put, revision: 0 }));
    let first = true;
    let failures = 0;
    while (failures < MAX_FAILURES && clock.now() < deadline) {
      if (!first) while (!budget.tryTake(1)) await sleep(budget.secondsUntil(1));
      first = false;
      try {
        const result = await store.compareAndSwap(preconditions, puts, WRITE_TIMEOUT_S);
        // A failed precondition: an earlier attempt without a response was executed.
        if (!result.ok)
          log.debug({ keys: result.failed }, 'batch was stored by an earlier attempt');
        return true;
      } catch (error) {
        const status = error instanceof RequestRejectedError ? error.status : null;
        if (status === 400 || status === 503) return false;
        if (status !== 429) failures++;
        await sleep(0.1 + random() * 0.1);
      }
    }
    return false;
  }

  /** Waits until this controller's replica holds the stored batch. Users get no response before that. */
  private async readBack(deadline: number): Promise<boolean> {
    const { replicaSync, clock } = this.options;
    for (let reads = 0; reads < MAX_FAILURES && clock.now() < deadline; reads++) {
      if (await replicaSync.sync()) return true;
      await sleep(0.05);
    }
    return false;
  }
}
