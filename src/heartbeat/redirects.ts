import type { Clock } from '../clock.js';
import type { Settings } from '../config/settings.js';
import type { ZoneLeaseWatch } from '../leadership/zone-lease.js';
import type { KeyValueStoreClient } from '../store/client.js';
import type { Replica } from '../store/replica.js';
import type { RoutingFields } from './received-heartbeat.js';

/**
 * Minimum time between two redirects of the same worker by a controller, in leases. With 3 leases, workers that
 * had left their zone's controller while the leader was late had not returned when their zone was cut off 25 s
 * later.
 */
const REDIRECT_INTERVAL_LEASES = 1.5;
/**
 * Number of heartbeat intervals for which a zone's controller must have been present before workers are
 * redirected to it.
 */
const STEADY_INTERVALS = 2;

/** Dependencies of `Redirects`. */
export interface RedirectOptions {
  settings: Pick<Settings, 'node' | 'workers'>;
  replica: Pick<Replica, 'leader'>;
  store: Pick<KeyValueStoreClient, 'health'>;
  zoneLeases: Pick<ZoneLeaseWatch, 'holderOf' | 'isSteady'>;
  /** Whether another controller is too late to lead, by fresh health data. */
  isLate: (node: string) => boolean;
  clock: Clock;
}

/**
 * Decides which workers are redirected to another controller. A controller redirects each worker at most once
 * in 1.5 leases, so that no worker is sent back and forth. A redirect is a 421, which renews no lease.
 *
 * A late controller does not redirect its own workers to a healthier one. This was tried: those workers were
 * connected elsewhere when their zone was cut off, or lost their leases during the change, see docs/results.md.
 */
export class Redirects {
  /** When each machine's worker was last redirected, the earliest first. */
  private readonly redirectedAt = new Map<string, number>();

  constructor(private readonly options: RedirectOptions) {}

  /** The controller to redirect the worker to; null: it stays. */
  redirectTarget({ machine, zone }: RoutingFields): string | null {
    const controller = this.zoneControllerFor(zone);
    return controller === null || this.wasRecentlyRedirected(machine) ? null : controller;
  }

  /**
   * The controller of a worker's zone if the worker should connect to it, otherwise null. If the zone is cut
   * off, the worker is then already connected to the controller that can renew its lease; a search for it that
   * starts only then takes longer than the lease. A late controller is excluded, since it could not forward
   * heartbeats in time, unless it is the leader: a late leader answers heartbeats itself, and transfers
   * leadership if another controller is healthier. When workers were not redirected to a late leader, they were
   * connected elsewhere when their zone was cut off.
   */
  private zoneControllerFor(zone: string): string | null {
    const { settings, replica, store, zoneLeases, isLate } = this.options;
    const controller = zoneLeases.holderOf(zone);
    if (controller === null || controller === settings.node) return null;
    if (replica.leader === null || store.health !== 'served') return null;
    if (!zoneLeases.isSteady(controller, settings.workers.report_s * STEADY_INTERVALS)) return null;
    return isLate(controller) && controller !== replica.leader.node ? null : controller;
  }

  private get redirectIntervalS(): number {
    return this.options.settings.workers.lease_s * REDIRECT_INTERVAL_LEASES;
  }

  private wasRecentlyRedirected(machine: string): boolean {
    const at = this.redirectedAt.get(machine);
    return at !== undefined && this.options.clock.now() - at < this.redirectIntervalS;
  }

  /** Records that a machine's worker is being redirected. */
  recordRedirect(machine: string): void {
    const now = this.options.clock.now();
    this.redirectedAt.delete(machine);
    this.redirectedAt.set(machine, now);
    for (const [redirected, at] of this.redirectedAt) {
      if (now - at < this.redirectIntervalS) break;
      this.redirectedAt.delete(redirected);
    }
  }
}
