/** An in-memory key-value store whose transactions can be rejected or delayed, or lose their responses. */
import type { JobSpec } from '../../src/jobs/types.js';
import {
  RequestRejectedError,
  OutcomeUnknownError,
  type CompareAndSwapResult,
  type KeyValueStoreClient,
} from '../../src/store/client.js';
import * as records from '../../src/store/records.js';
import { Replica } from '../../src/store/replica.js';
import type { Change, Precondition, KeyValue, Operation } from '../../src/wire/key-value-store.js';
import { spec } from '../helpers.js';
import { fake } from './fake.js';

/** What happens to the following transactions. */
export type StoreMode = 'serve' | 'refuse' | 'lose answers' | 'hold back';

/** An in-memory key-value store with the methods of the client that the code under test uses. */
export class MemoryStore implements Pick<
  KeyValueStoreClient,
  'compareAndSwap' | 'get' | 'changes' | 'grantLease' | 'keepLeaseAlive' | 'endLease' | 'setRole'
> {
  mode: StoreMode = 'serve';
  currentRevision = 0;
  commits = 0;
  readonly valueBytes = 8192;
  readonly operationsPerTransaction = 20;
  rejectedSince: number | null = null;
  readonly writeBudget = {
    available: 1e6,
    capacity: 1e6,
    forceTake: () => undefined,
    wait: () => 0,
  };
  private readonly items = new Map<string, KeyValue>();
  private readonly changeLog: Change[] = [];
  private readonly heldBack: (() => void)[] = [];
  /** Leases by the keys that are attached to them. */
  private readonly leaseOf = new Map<string, number>();
  private leases = 0;

  /** This store as the type of client that the code under test expects. */
  client(): KeyValueStoreClient {
    return fake<KeyValueStoreClient>(this);
  }

  /** See `KeyValueStoreClient.setRole`. */
  setRole(): void {
    // This store has no request limits.
  }

  private apply(preconditions: Precondition[], operations: Operation[]): CompareAndSwapResult {
    const failed = preconditions.filter(
      (precondition) => (this.items.get(precondition.key)?.revision ?? 0) !== precondition.revision,
    );
    if (failed.length > 0)
      return { ok: false, failed: failed.map((precondition) => precondition.key) };
    if (operations.length > 0) this.currentRevision++;
    for (const op of operations) {
      const revision = this.currentRevision;
      if ('remove' in op) {
        this.items.delete(op.remove);
        this.changeLog.push({ kind: 'removed', key: op.remove, revision });
      } else {
        const item = { key: op.put, value: JSON.parse(JSON.stringify(op.value)), revision };
        this.items.set(op.put, item);
        if (op.lease === undefined) this.leaseOf.delete(op.put);
        else this.leaseOf.set(op.put, op.lease);
        this.changeLog.push({ kind: 'put', ...item });
      }
    }
    return { ok: true, revision: this.currentRevision };
  }

  /** See `KeyValueStoreClient.compareAndSwap`; `mode` determines what happens to it. */
  compareAndSwap(
    preconditions: Precondition[],
    operations: Operation[],
  ): Promise<CompareAndSwapResult> {
    this.commits++;
    if (this.mode === 'refuse') return Promise.reject(new RequestRejectedError(503));
    if (this.mode === 'hold back') {
      this.heldBack.push(() => this.apply(preconditions, operations));
      return Promise.reject(new OutcomeUnknownError('held back'));
    }
    const result = this.apply(preconditions, operations);
    if (this.mode === 'lose answers') return Promise.reject(new OutcomeUnknownError('answer lost'));
    return Promise.resolve(result);
  }

  /** Executes the transactions that were held back. */
  deliverHeldBack(): void {
    for (const apply of this.heldBack.splice(0)) apply();
  }

  /** See `KeyValueStoreClient.get`. */
  get(key: string): Promise<KeyValue | null> {
    if (this.mode === 'refuse') return Promise.reject(new RequestRejectedError(503));
    return Promise.resolve(this.items.get(key) ?? null);
  }

  /** See `KeyValueStoreClient.changes`. */
  changes(_prefix: string, after: number): Promise<{ revision: number; changes: Change[] }> {
    if (this.mode === 'refuse') return Promise.reject(new RequestRejectedError(503));
    const changes = this.changeLog.filter((change) => change.revision > after);
    return Promise.resolve({ revision: this.currentRevision, changes });
  }

  /** See `KeyValueStoreClient.grantLease`; leases never expire here. */
  grantLease(): Promise<number> {
    return Promise.resolve(++this.leases);
  }

  /** See `KeyValueStoreClient.keepLeaseAlive`. */
  keepLeaseAlive(): Promise<boolean> {
    return Promise.resolve(true);
  }

  /** See `KeyValueStoreClient.endLease`. */
  endLease(id: number): Promise<void> {
    for (const [key, lease] of [...this.leaseOf]) {
      if (lease !== id) continue;
      this.leaseOf.delete(key);
      this.remove(key);
    }
    return Promise.resolve();
  }

  /** Puts a value without a precondition and returns its revision. */
  put(key: string, value: unknown): number {
    this.apply([], [{ put: key, value }]);
    return this.currentRevision;
  }

  /** Removes a key without a precondition. */
  remove(key: string): void {
    this.apply([], [{ remove: key }]);
  }

  /** All keys. */
  keys(): string[] {
    return [...this.items.keys()];
  }

  /** The value of a key, or undefined. */
  value(key: string): unknown {
    return this.items.get(key)?.value;
  }

  /** The revision of a key; 0 if it does not exist. */
  revision(key: string): number {
    return this.items.get(key)?.revision ?? 0;
  }

  /** Stores an accepted job. Keys begin with the writing controller, so a listing may not be in order of revisions. */
  accept(overrides: Partial<JobSpec>, atMs = 0, writer = 'b'): number {
    const value = records.encodeRequestBatch({
      jobs: [{ spec: spec(overrides), acceptedAtMs: atMs }],
      cancelledIds: [],
    });
    return this.put(`${records.JOBS}${writer}-${this.currentRevision}`, value);
  }

  /** Stores a cancellation and returns its revision. */
  cancel(id: string, writer = 'b'): number {
    const value = records.encodeRequestBatch({ jobs: [], cancelledIds: [id] });
    return this.put(`${records.JOBS}${writer}-${this.currentRevision}`, value);
  }

  /** Applies all changes to a replica. */
  replayInto(replica: Replica): Replica {
    replica.advance(this.currentRevision, this.changeLog);
    return replica;
  }

  /** A replica to which nothing has been applied. */
  emptyReplica(): Replica {
    return new Replica(this.valueBytes);
  }

  /** Applies a complete listing, in order of keys, to a replica. */
  listInto(replica: Replica): Replica {
    const keys = [...this.items.keys()].sort();
    for (const key of keys) replica.applyListed(this.items.get(key)!);
    replica.removeMissing(new Set(keys), this.currentRevision);
    replica.applied = this.currentRevision;
    replica.listingComplete();
    return replica;
  }

  /** A new replica to which a complete listing has been applied. */
  listedReplica(listener: Replica['listener'] = {}): Replica {
    const replica = this.emptyReplica();
    replica.listener = listener;
    return this.listInto(replica);
  }
}
