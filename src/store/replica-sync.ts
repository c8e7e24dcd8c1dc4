import { random } from '../random.js';
import { sleep, type Clock } from '../clock.js';
import type { Log } from '../log.js';
import { type KeyValueStoreClient } from './client.js';
import { type Replica } from './replica.js';
import * as records from './records.js';

/** A listing took so long that the store no longer has the changes since its first page. */
class OutdatedListingError extends Error {
  constructor() {
    super('listing took too long: the store no longer has the changes since its first page');
    this.name = 'OutdatedListingError';
  }
}

/** Dependencies and settings of a `ReplicaSync`. */
export interface ReplicaSyncOptions {
  store: KeyValueStoreClient;
  replica: Replica;
  clock: Clock;
  log: Log;
  /** Pause in seconds between two watches: longer on a follower than on a leader. */
  pauseS: () => number;
  /** Minimum time in seconds between two reads of `sync`. */
  minSyncIntervalS: number;
}

/** Keeps a replica up to date with the store, and brings it up to the present on request. */
export class ReplicaSync {
  ready = false;
  /** Steady time at which the latest read whose response is in the replica was sent. */
  freshAt = -Infinity;
  private stopped = false;
  private currentRead: Promise<boolean> | null = null;
  private currentReadSent = false;
  private nextRead: Promise<boolean> | null = null;
  private lastReadAt = -Infinity;

  readonly replica: Replica;
  constructor(private readonly options: ReplicaSyncOptions) {
    this.replica = options.replica;
  }

  /** Lists the store and then follows its changes until `stop`; lists it again if the changes are no longer available. */
  async run(): Promise<void> {
    while (!this.stopped) {
      try {
        if (!this.ready) await this.load();
        const from = this.replica.applied;
        const sentAt = this.options.clock.now();
        const response = await this.options.store.changes(records.ROOT, from, 10, 30);
        if (response === null) {
          this.ready = false;
          continue;
        }
        this.replica.advance(response.revision, response.changes);
        this.freshAt = Math.max(this.freshAt, sentAt);
        await sleep(this.options.pauseS());
      } catch (error) {
        if (this.stopped) return;
        this.options.log.debug({ err: error }, 'watch interrupted');
        await sleep(0.1 + random() * 0.1);
      }
    }
  }

  private async load(): Promise<void> {
    const startedAt = this.options.clock.now();
    const keys = new Set<string>();
    const firstPageRevision = await this.options.store.list(records.ROOT, (item) => {
      keys.add(item.key);
      this.replica.applyListed(item);
    });
    this.replica.removeMissing(keys, firstPageRevision);
    this.replica.applied = Math.max(this.replica.applied, firstPageRevision);
    // Pages are read at different revisions: only with the changes since the first one are they consistent.
    const response = await this.options.store.changes(records.ROOT, firstPageRevision, 0, 5);
    if (response === null) throw new OutdatedListingError();
    this.replica.advance(response.revision, response.changes);
    this.replica.listingComplete();
    this.freshAt = Math.max(this.freshAt, startedAt);
    this.ready = true;
    const { applied: revision, jobs, machines } = this.replica;
    const tookS = this.options.clock.now() - startedAt;
    this.options.log.info(
      { revision, jobs: jobs.size, machines: machines.size, tookS },
      'replica loaded',
    );
  }

  /**
   * Resolves with true once the replica holds everything that was stored at the time of the call. Callers share
   * reads, but only reads that were sent after the call: an earlier one may miss later changes.
   */
  sync(): Promise<boolean> {
    if (this.currentRead === null) {
      this.currentReadSent = false;
      this.currentRead = this.readNow().finally(() => (this.currentRead = null));
      return this.currentRead;
    }
    if (!this.currentReadSent) return this.currentRead;
    this.nextRead ??= this.currentRead
      .then(() => undefined)
      .then(() => {
        this.nextRead = null;
        return this.sync();
      });
    return this.nextRead;
  }

  private async readNow(): Promise<boolean> {
    const waitS = this.lastReadAt + this.options.minSyncIntervalS - this.options.clock.now();
    if (waitS > 0) await sleep(waitS);
    // The read is sent after this point, so later callers wait for the next one.
    this.currentReadSent = true;
    const sentAt = this.options.clock.now();
    this.lastReadAt = sentAt;
    if (!this.ready) return false;
    try {
      const response = await this.options.store.changes(records.ROOT, this.replica.applied, 0, 1.5);
      if (response === null) {
        this.ready = false;
        return false;
      }
      this.replica.advance(response.revision, response.changes);
      this.freshAt = Math.max(this.freshAt, sentAt);
      return true;
    } catch {
      return false;
    }
  }

  /** Stops `run`. */
  stop(): void {
    this.stopped = true;
  }
}
