import type { PeerNetwork } from '../peers/peer-network.js';
import type { ZoneLeaseWatch } from '../leadership/zone-lease.js';
import type { Clock } from '../clock.js';
import type { Settings } from '../config/settings.js';
import { outcome } from '../store/stored-job.js';
import type { Replica } from '../store/replica.js';
import { NOTIFY_TIMEOUT_S } from './cancellation-quorum.js';

/**
 * Cancellations are remembered until the store shows the end of their jobs, and otherwise for so many
 * leases: nothing is kept in a leader's place for that long. Never by their number: a fleet of hundreds
 * ends more jobs within a cut than any round figure, and one that is forgotten lets its tasks run on.
 */
const REMEMBER_LEASES = 20;

/** Job ids, and when each was heard of last. */
class RecentIds {
  private readonly ids = new Map<string, number>();

  constructor(
    private readonly clock: Clock,
    private readonly forS: number,
    private readonly over: (id: string) => boolean,
  ) {}

  /** Remembers an id from now on, and drops those that need not be remembered any more. */
  add(id: string): void {
    const now = this.clock.now();
    this.ids.delete(id);
    this.ids.set(id, now);
    for (const [old, at] of this.ids) {
      if (now - at <= this.forS && !this.over(old)) break;
      this.ids.delete(old);
    }
  }

  /** Whether the id is remembered. */
  has(id: string): boolean {
    return this.ids.has(id);
  }

  /** How many are remembered. */
  get size(): number {
    return this.ids.size;
  }

  /** Whether any is remembered and not over. */
  get hasOpen(): boolean {
    for (const id of this.ids.keys()) if (!this.over(id)) return true;
    return false;
  }

  /** The ids, oldest first. */
  keys(): IterableIterator<string> {
    return this.ids.keys();
  }
}

/** What a `CancellationBroadcast` works with. */
export interface CancellationBroadcastOptions {
  settings: Settings;
  zoneLeaseHolders: [string, string][];
  peers: PeerNetwork;
  replica: Replica;
  zoneLeases: ZoneLeaseWatch;
  clock: Clock;
}

/** Cancellations that this controller has heard of before, or other than from, the store. */
export class CancellationBroadcast {
  /** Stored, as another controller knows, but kept from this one by an outage. */
  private readonly stored: RecentIds;
  /** About to be stored. */
  private readonly announced: RecentIds;

  constructor(private readonly options: CancellationBroadcastOptions) {
    const { settings, replica, clock } = options;
    const forS = settings.workers.lease_s * REMEMBER_LEASES;
    const over = (id: string): boolean => {
      const storedJob = replica.jobs.get(id);
      return storedJob !== undefined && outcome(storedJob) !== 'open';
    };
    this.stored = new RecentIds(clock, forS, over);
    this.announced = new RecentIds(clock, forS, over);
  }

  /** How many are remembered. */
  get size(): number {
    return this.stored.size + this.announced.size;
  }

  /** Another controller knows that the cancellation is stored. */
  noteStored(id: string): void {
    this.stored.add(id);
  }

  /** Another controller is about to store the cancellation. */
  noteAnnounced(id: string): void {
    this.announced.add(id);
  }

  /** Stored cancellations after a revision, by the store's copy and by what others have told. */
  storedSince(revision: number): string[] {
    return [...new Set([...this.options.replica.cancelledSince(revision), ...this.stored.keys()])];
  }

  /** Whether a cancellation is stored, as another controller knows, that this one has not read. */
  get hasUnread(): boolean {
    return this.stored.hasOpen;
  }

  /** Whether a cancellation of the job was heard of, stored or announced. */
  knows(id: string): boolean {
    return this.stored.has(id) || this.announced.has(id);
  }

  /**
   * A zone that is cut off does not hear of a cancellation, and its zone lease holder would keep the job's
   * tasks alive for longer than is allowed after it has been told. So either the zone lease holders know of it
   * before it is stored, or what they may keep ends in time. Returns the seconds after which to ask
   * again; 0: it may be stored.
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

  /** The same, where these controllers are known to have noted the cancellation. */
  remainingWaitS(job: string, noted: ReadonlySet<string>): number {
    const unsure = this.options.zoneLeaseHolders.filter(
      ([, node]) => node !== this.options.settings.node && !noted.has(node),
    );
    if (unsure.length === 0) return 0;
    const zones = new Set(unsure.map(([zone]) => zone));
    let wait = 0;
    for (const { record } of this.options.replica.machines.values()) {
      if (!zones.has(record.zone) || !record.claims.some((claim) => claim.job === job)) continue;
      wait = Math.max(wait, this.zoneWaitS(record.zone));
    }
    const { lease_s } = this.options.settings.workers;
    return wait <= 0 ? 0 : Math.max(1, Math.ceil(Math.min(wait, lease_s / 2)));
  }

  /** Until what a zone's lease holder may keep, and does not know to be cancelled, ends within `cancel_s`. */
  private zoneWaitS(zone: string): number {
    const { lease_s, report_s, cancel_s } = this.options.settings.workers;
    const { keptUntil, provenAt } = this.options.zoneLeases.zone(zone);
    const present = provenAt < Infinity;
    // Kept to the bound, then a lease, all of it before the time allowed has passed.
    const gone = keptUntil + lease_s * 1.1 + report_s;
    return present ? report_s : gone - (this.options.clock.now() + cancel_s);
  }
}
