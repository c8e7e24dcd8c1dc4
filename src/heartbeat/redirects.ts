import type { Clock } from '../clock.js';
import type { Settings } from '../config/settings.js';
import type { ZoneLeaseWatch } from '../leadership/zone-lease.js';
import type { KeyValueStoreClient } from '../store/client.js';
import type { Replica } from '../store/replica.js';
import type { Routing } from './received-heartbeat.js';

/**
 * A controller sends a worker elsewhere no more than once in so many leases. With three, workers that had left their
 * zone's controller while the leader was late were still away when their zone was cut off, 25 s later.
 */
const REDIRECT_LEASES = 1.5;
/** The controller of a zone has been there for so many heartbeat intervals before workers are sent to it. */
const HOME_HEARTBEATS = 2;

/** What `Redirects` work with. */
export interface RedirectOptions {
  settings: Pick<Settings, 'node' | 'workers'>;
  replica: Pick<Replica, 'leader'>;
  store: Pick<KeyValueStoreClient, 'health'>;
  zoneLeases: Pick<ZoneLeaseWatch, 'holderOf' | 'isSteady'>;
  /** Whether another controller, as far as it has told lately, does not keep up. */
  isLate: (node: string) => boolean;
  clock: Clock;
}

/**
 * Which workers are told to send heartbeats to another controller. Seldom for each worker, so that none is sent back
 * and forth: by one controller once in one and a half leases. The answer is a 421, which renews nothing.
 *
 * A late controller that sent its own workers to a healthier one was tried: they were away when their zone was
 * cut off, or lost their leases on the way, see docs/results.md.
 */
export class Redirects {
  /** When workers were last sent elsewhere, the earliest first. */
  private readonly sentAt = new Map<string, number>();

  constructor(private readonly options: RedirectOptions) {}

  /** Where the worker should go; null: it stays. */
  redirectTarget({ machine, zone }: Routing): string | null {
    const home = this.homeOf(zone);
    return home === null || this.wasSentLately(machine) ? null : home;
  }

  /**
   * The controller of a worker's own zone, when the worker should go there. Should the zone be cut off, it is
   * already where it can be kept; to look for that controller only then takes it longer than its lease. Not
   * while that controller is late: it could not pass the heartbeat on in time. A late leader answers by itself, and
   * transfers leadership where another one is healthier; kept from it, workers were away when their zone was cut off.
   */
  private homeOf(zone: string): string | null {
    const { settings, replica, store, zoneLeases, isLate } = this.options;
    const home = zoneLeases.holderOf(zone);
    if (home === null || home === settings.node) return null;
    if (replica.leader === null || store.health !== 'served') return null;
    if (!zoneLeases.isSteady(home, settings.workers.report_s * HOME_HEARTBEATS)) return null;
    return isLate(home) && home !== replica.leader.node ? null : home;
  }

  private get spanS(): number {
    return this.options.settings.workers.lease_s * REDIRECT_LEASES;
  }

  private wasSentLately(machine: string): boolean {
    const at = this.sentAt.get(machine);
    return at !== undefined && this.options.clock.now() - at < this.spanS;
  }

  /** The worker of a machine is told to go elsewhere. */
  recordSent(machine: string): void {
    const now = this.options.clock.now();
    this.sentAt.delete(machine);
    this.sentAt.set(machine, now);
    for (const [sent, at] of this.sentAt) {
      if (now - at < this.spanS) break;
      this.sentAt.delete(sent);
    }
  }
}
