import type { PeerNetwork } from '../peers/peer-network.js';
import type { ZoneLeaseWatch } from '../leadership/zone-lease.js';
import type { Clock } from '../clock.js';
import type { Settings } from '../config/settings.js';
import { outcome } from '../store/stored-job.js';
import type { Replica } from '../store/replica.js';
import { NOTIFY_TIMEOUT_S } from './cancellation-quorum.js';

/**
 * Cancellations are remembered until the store shows the end of their jobs, otherwise for this many workers'
 * leases: no substitute renews leases for that long. Their number is not limited: a fleet of hundreds of machines
 * can end more jobs during a network partition than any fixed limit, and the tasks of a forgotten one would
 * continue to run.
 */
const RETENTION_LEASES = 20;

/** Job ids with the time at which each was last added. */
class RecentIds {
  private readonly ids = new Map<string, number>();

  constructor(
    private readonly clock: Clock,
    private readonly retentionS: number,
    private readonly hasEnded: (id: string) => boolean,
  ) {}

  /** Adds an id or renews its time, and drops ids that need no longer be remembered. */
  add(id: string): void {
    const now = this.clock.now();
    this.ids.delete(id);
    this.ids.set(id, now);
    for (const [old, at] of this.ids) {
      if (now - at <= this.retentionS && !this.hasEnded(old)) break;
      this.ids.delete(old);
    }
  }

  /** Whether the id is remembered. */
  has(id: string): boolean {
    return this.ids.has(id);
  }

  /** Number of remembered ids. */
  get size(): number {
    return this.ids.size;
  }

  /** Whether the job of any remembered id has not ended. */
  get hasOpen(): boolean {
    for (const id of this.ids.keys()) if (!this.hasEnded(id)) return true;
    return false;
  }

  /** The ids, oldest first. */
  keys(): IterableIterator<string> {
    return this.ids.keys();
  }
}

/** Dependencies and settings of a `CancellationBroadcast`. */
export interface CancellationBroadcastOptions {
  settings: Settings;
  zoneLeaseHolders: [string, string][];
  peers: PeerNetwork;
  replica: Replica;
  zoneLeases: ZoneLeaseWatch;
  clock: Clock;
}

/** Announces cancellations to other controllers, and remembers those that it learns from them rather than from the store. */
export class CancellationBroadcast {
  /** Stored, as another controller knows, but perhaps not yet read by this one because of an outage. */
  private readonly stored: RecentIds;
  /** About to be stored. */
  private readonly announced: RecentIds;

  constructor(private readonly options: CancellationBroadcastOptions) {
    const { settings, replica, clock } = options;
    const retentionS = settings.workers.lease_s * RETENTION_LEASES;
    const hasEnded = (id: string): boolean => {
      const storedJob = replica.jobs.get(id);
      return storedJob !== undefined && outcome(storedJob) !== 'open';
    };
    this.stored = new RecentIds(clock, retentionS, hasEnded);
    this.announced = new RecentIds(clock, retentionS, hasEnded);
  }

  /** Number of remembered cancellations. */
  get size(): number {
    return this.stored.size + this.announced.size;
  }

  /** Records a cancellation that is stored, as another controller knows. */
  noteStored(id: string): void {
    this.stored.add(id);
  }

  /** Records a cancellation that a controller is about to store. */
  noteAnnounced(id: string): void {
    this.announced.add(id);
  }

  /** Jobs whose cancellation was stored after a revision, by the replica, and those that others know to be stored. */
  storedSince(revision: number): string[] {
    return [...new Set([...this.options.replica.cancelledSince(revision), ...this.stored.keys()])];
  }

  /** Whether another controller knows of a stored cancellation that this one has not read. */
  get hasUnread(): boolean {
    return this.stored.hasOpen;
  }

  /** Whether another controller has reported a cancellation of the job, stored or announced. */
  knows(id: string): boolean {
    return this.stored.has(id) || this.announced.has(id);
  }

  /**
   * Announces a cancellation to the zone lease holders before it is stored. The holder of a zone that is cut off
   * learns of no cancellation, and would renew the leases of the job's tasks for longer than is allowed after
   * the cancellation has been confirmed. So either the holders know of it before it is stored, or their renewals
   * end in time. Returns the seconds after which to ask again; 0: it may be stored.
   */
  async announce(job: string): Promise<number> {
    if (this.options.zoneLeaseHolders.length === 0) return 0;
    this.noteAnnounced(job);
    const others = this.options.zoneLeaseHolders.filter(
      ([, node]) => node !== this.options.settings.node,
    );
    const noted = new Set<string>();
    await Promise.all(
      others.map(async ([, node]) => {
        const answer = await this.options.peers.ask(
          node,
          { q: 'cancelling', job },
          NOTIFY_TIMEOUT_S,
        );
        if (answer?.told === true) noted.add(node);
      }),
    );
    return this.remainingWaitS(job, noted);
  }

  /** Seconds after which to ask again, as `announce` returns them, if only these controllers have noted the cancellation. */
  remainingWaitS(job: string, noted: ReadonlySet<string>): number {
    const unnotified = this.options.zoneLeaseHolders.filter(
      ([, node]) => node !== this.options.settings.node && !noted.has(node),
    );
    if (unnotified.length === 0) return 0;
    const zones = new Set(unnotified.map(([zone]) => zone));
    let wait = 0;
    for (const { record } of this.options.replica.machines.values()) {
      if (!zones.has(record.zone) || !record.claims.some((claim) => claim.job === job)) continue;
      wait = Math.max(wait, this.zoneWaitS(record.zone));
    }
    const { lease_s } = this.options.settings.workers;
    return wait <= 0 ? 0 : Math.max(1, Math.ceil(Math.min(wait, lease_s / 2)));
  }

  /**
   * Seconds to wait for a zone whose lease holder has not noted the cancellation: until its tasks are certain to end
   * within `cancel_s`, or a heartbeat interval while the holder's key exists. Not positive: there is nothing to wait for.
   */
  private zoneWaitS(zone: string): number {
    const { lease_s, report_s, cancel_s } = this.options.settings.workers;
    const { renewedUntil, provenUntil } = this.options.zoneLeases.zoneRenewal(zone);
    const isKeyPresent = provenUntil < Infinity;
    // The last renewal, then 1.1 leases and a heartbeat interval: all of it must have passed within `cancel_s`.
    const tasksEndBy = renewedUntil + lease_s * 1.1 + report_s;
    return isKeyPresent ? report_s : tasksEndBy - (this.options.clock.now() + cancel_s);
  }
}
