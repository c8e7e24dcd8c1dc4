import { IllegalTransitionError } from '../illegal-transition.js';
import { MAX_CLOCK_DRIFT, sleep, type Clock } from '../clock.js';
import type { Log } from '../log.js';
import * as records from '../store/records.js';
import type { ReplicaSync } from '../store/replica-sync.js';
import type { Replica } from '../store/replica.js';
import { RequestRejectedError, type KeyValueStoreClient } from '../store/client.js';
import { ANSWER_WAIT_S } from '../wire/workers.js';
import type { PeerNetwork } from '../peers/peer-network.js';
import type { RenewalKnowledge } from './substitute-renewals.js';

/**
 * Zone leases keep the tasks of a zone running while the zone is cut off from the rest of the fleet.
 *
 * If a zone has exactly one controller, that controller is the zone lease holder. When it is cut off together
 * with its zone, it renews the leases of the zone's machines with the last token, so that their tasks continue.
 * It starts nothing.
 *
 * The other controllers must know when a zone lease holder may be renewing. So each holder holds a key in the
 * key-value store that is attached to a short lease. It renews no machine's lease before that key has certainly
 * expired, and none later than a fixed time after the last proof that the key existed:
 *
 *   key exists, by a fresh read   the holder renews no leases, and has not since the key was put
 *   key is absent                 the holder may renew leases until that fixed time after the key's removal
 *
 * So a silent machine counts as lost only when its lease has expired and one of the two has been proven since. A
 * cancellation is accepted only if the holder has been notified, or if its renewals end in time.
 */

/**
 * TTL of the key's lease: the smaller one of these shares, of a worker's lease and of the time that a worker waits
 * for an answer to a heartbeat. The holder must answer before its workers try other controllers, none of which they
 * can reach. When the TTL was a share of the worker's lease alone, one of 15 s, the holder began to renew too late: the
 * workers that had sent the first heartbeats after the zone was cut off had already left.
 */
const TTL_LEASES = 0.1;
const TTL_ANSWER_WAITS = 0.25;
/**
 * Delay until a zone lease holder may renew leases, in TTLs of its key, counted from the sending of the last renewal
 * that was answered. The key has certainly expired by then: one TTL, one more for a renewal that was carried out but
 * not answered (there is never more than one), one more for an outage too short to be noticed, after which leases run
 * their full time again, and half a TTL for late expiry.
 */
const RENEWAL_DELAY_TTLS = 3.5;
/** Maximum time for which a holder renews leases, in workers' leases; if its zone is cut off for longer, they expire. */
const MAX_RENEWAL_LEASES = 7;
/** Renewals of the key per TTL. */
const RENEWALS_PER_TTL = 4;

/** The times of a zone lease, in seconds. */
export interface ZoneLeaseTimes {
  ttlS: number;
  renewalDelayS: number;
  maxRenewalS: number;
}

/** The times of a zone lease for a given length of the workers' lease. */
export function zoneLeaseTimes(leaseS: number): ZoneLeaseTimes {
  const ttlS = Math.min(leaseS * TTL_LEASES, ANSWER_WAIT_S * TTL_ANSWER_WAITS);
  return {
    ttlS,
    renewalDelayS: ttlS * RENEWAL_DELAY_TTLS,
    maxRenewalS: leaseS * MAX_RENEWAL_LEASES,
  };
}

/** The sole controllers of zones, by zone; empty with fewer than two zones, where no zone can be cut off. */
export function zoneLeaseHolders(
  controllers: { node: string; zone: string }[],
): Map<string, string> {
  const nodesByZone = new Map<string, string[]>();
  for (const controller of controllers)
    nodesByZone.set(controller.zone, [
      ...(nodesByZone.get(controller.zone) ?? []),
      controller.node,
    ]);
  const holders = new Map<string, string>();
  if (nodesByZone.size < 2) return holders;
  for (const [zone, nodes] of nodesByZone) if (nodes.length === 1) holders.set(zone, nodes[0]!);
  return holders;
}

/**
 * State of a zone lease holder:
 *
 *   away      the store is not known to hold a key of this process
 *   present   the store holds the key
 *   doubting  a renewal was not answered; the next one is sent only after the store has answered a read
 *   alone     neither the store nor any other controller answers
 */
export type ZoneLeaseHolderState = 'away' | 'present' | 'doubting' | 'alone';

const TRANSITIONS: Record<ZoneLeaseHolderState, ZoneLeaseHolderState[]> = {
  away: ['present'],
  present: ['away', 'doubting'],
  doubting: ['present', 'alone'],
  alone: ['present', 'doubting'],
};

/** Dependencies and settings of a `ZoneLeaseHolder`. */
export interface ZoneLeaseHolderOptions {
  node: string;
  incarnation: string;
  leaseS: number;
  store: KeyValueStoreClient;
  replicaSync: ReplicaSync;
  replica: Replica;
  peers: () => PeerNetwork;
  clock: Clock;
  log: Log;
}

/** Holds the zone lease of this controller's zone, in which it is the only controller. */
export class ZoneLeaseHolder {
  state: ZoneLeaseHolderState = 'away';
  /** When the last put or renewal of the key that succeeded was sent. */
  private lastRenewalSentAt = -Infinity;
  private lease = 0;
  /** Leases may have been renewed since the key was put. If so, it is put again, which shows others when that ended. */
  private mayHaveRenewed = false;
  /** No lease is renewed before this time: a key whose put was not answered may exist until then. */
  private renewsNotBefore = -Infinity;
  private stopped = false;
  private readonly times: ZoneLeaseTimes;

  constructor(private readonly options: ZoneLeaseHolderOptions) {
    const { leaseS } = options;
    this.times = zoneLeaseTimes(leaseS);
  }

  private changeState(to: ZoneLeaseHolderState): void {
    if (to === this.state) return;
    if (!TRANSITIONS[this.state].includes(to))
      throw new IllegalTransitionError('zone lease', this.state, to);
    this.options.log.info({ from: this.state, to }, 'zone lease state changed');
    this.state = to;
  }

  /** Whether leases of the zone's machines may be renewed now. A caller that gets true is assumed to renew one. */
  mayRenewLeases(): boolean {
    const now = this.options.clock.now();
    const notBefore = Math.max(this.renewsNotBefore, this.keyExpiredBy(this.lastRenewalSentAt));
    if (this.state !== 'alone' || now <= notBefore) return false;
    if (now >= this.lastRenewalSentAt + this.times.maxRenewalS) return false;
    this.mayHaveRenewed = true;
    return true;
  }

  /** Time by which a key has certainly expired whose last renewal was sent at `sentAt`. */
  private keyExpiredBy(sentAt: number): number {
    return sentAt + this.times.renewalDelayS * (1 + 2 * MAX_CLOCK_DRIFT);
  }

  /**
   * Waits until leases may be renewed, at most until the deadline and only while the zone may turn out to be cut off.
   * Returns whether they may.
   */
  async waitUntilMayRenew(deadline: number): Promise<boolean> {
    while (!this.stopped && this.options.clock.now() < deadline) {
      if (this.mayRenewLeases()) return true;
      if (this.state === 'away' || this.state === 'present') return false;
      await sleep(this.times.ttlS / RENEWALS_PER_TTL);
    }
    return this.mayRenewLeases();
  }

  /** Holds the key and detects that the zone is cut off, until `stop`. */
  async run(): Promise<void> {
    const pause = this.times.ttlS / RENEWALS_PER_TTL;
    while (!this.stopped) {
      try {
        if (this.state === 'away') await this.register();
        else {
          // A renewal that was not answered may still be carried out. A second one could extend the key
          // while leases are renewed here, so the store must answer a read first.
          if (this.state !== 'present')
            await this.options.store.get(records.LEADER, this.times.ttlS / 2);
          if (this.mayHaveRenewed) await this.reregister();
          else await this.renew();
        }
      } catch (error) {
        // A refusal is an answer, in an outage or to this controller alone: the zone is not cut off.
        const storeAnswered = error instanceof RequestRejectedError && error.status > 0;
        if (this.state === 'present' && !storeAnswered) this.changeState('doubting');
        if (!storeAnswered) await this.probePeers();
      }
      await sleep(pause);
    }
  }

  private async register(): Promise<void> {
    if (!this.options.replicaSync.ready) return;
    const sentAt = this.options.clock.now();
    const lease = await this.options.store.grantLease(this.times.ttlS, this.times.ttlS);
    const key = records.controllerKey(this.options.node);
    this.options.store.writeBudget.forceTake(1);
    const result = await this.options.store.compareAndSwap(
      [{ key, revision: this.options.replica.controllers.get(this.options.node) ?? 0 }],
      [{ put: key, value: { i: this.options.incarnation }, lease }],
      this.times.ttlS,
    );
    if (!result.ok) {
      await this.options.replicaSync.sync();
      return;
    }
    this.lease = lease;
    this.lastRenewalSentAt = sentAt;
    this.mayHaveRenewed = false;
    this.changeState('present');
  }

  /**
   * Puts the key again after leases may have been renewed. The old key may have existed throughout, in an outage, and
   * would not show others that they were. From before the put until the new key has certainly expired, no lease is renewed.
   */
  private async reregister(): Promise<void> {
    this.changeState('doubting');
    this.renewsNotBefore = this.keyExpiredBy(this.options.clock.now());
    await this.register();
  }

  private async renew(): Promise<void> {
    const sentAt = this.options.clock.now();
    const leaseExists = await this.options.store.keepLeaseAlive(this.lease, this.times.ttlS / 2);
    this.changeState('present');
    if (leaseExists) this.lastRenewalSentAt = sentAt;
    else this.changeState('away');
  }

  /** Called when the store does not answer: checks whether any other controller does. */
  private async probePeers(): Promise<void> {
    if (this.state !== 'doubting' && this.state !== 'alone') return;
    const peers = this.options.peers();
    const timeout = this.times.ttlS / 2;
    const answers = await Promise.all(
      peers.peerNames.map((node) => peers.ask(node, { q: 'there' }, timeout)),
    );
    this.changeState(answers.some((answer) => answer !== null) ? 'doubting' : 'alone');
  }

  /** Ends `run`. */
  stop(): void {
    this.stopped = true;
  }
}

/** Dependencies and settings of a `ZoneLeaseWatch`. */
export interface ZoneLeaseWatchOptions {
  holderByZone: Map<string, string>;
  leaseS: number;
  replica: Pick<Replica, 'controllers'>;
  replicaSync: Pick<ReplicaSync, 'ready' | 'freshAt'>;
  store: Pick<KeyValueStoreClient, 'rejectedAt'>;
  clock: Clock;
}

/** What a controller knows about the zone lease holders, itself included, from their keys in its replica. */
export class ZoneLeaseWatch {
  private readonly keyPutAt = new Map<string, number>();
  private readonly keyRemovedAt = new Map<string, number>();
  private readonly times: ZoneLeaseTimes;

  constructor(private readonly options: ZoneLeaseWatchOptions) {
    const { leaseS } = options;
    this.times = zoneLeaseTimes(leaseS);
  }

  /** The only controller of a zone; null: the zone has none, or several. */
  holderOf(zone: string): string | null {
    return this.options.holderByZone.get(zone) ?? null;
  }

  /** Whether this controller has seen the key of the given holder for at least `forS` seconds. */
  isSteady(node: string, forS: number): boolean {
    const seen = this.keyPutAt.get(node);
    return (
      this.options.replica.controllers.has(node) &&
      seen !== undefined &&
      this.options.clock.now() - seen >= forS
    );
  }

  /** Records that a zone lease holder's key was put or removed. */
  keyChanged(node: string): void {
    const now = this.options.clock.now();
    if (this.options.replica.controllers.has(node)) this.keyPutAt.set(node, now);
    else this.keyRemovedAt.set(node, now);
  }

  /** Renewals of leases of a zone's machines by the zone lease holder. */
  zoneRenewal(zone: string): RenewalKnowledge {
    const node = this.options.holderByZone.get(zone);
    if (node === undefined) return { renewedUntil: -Infinity, provenUntil: Infinity };
    const now = this.options.clock.now();
    if (this.options.replica.controllers.has(node)) {
      // Keys do not expire in an outage, so a read soon after one does not prove that the holder reaches the store.
      const readIsConclusive =
        this.options.replicaSync.freshAt - this.options.store.rejectedAt > this.times.renewalDelayS;
      return {
        renewedUntil: this.keyPutAt.get(node) ?? now,
        provenUntil: readIsConclusive ? this.options.replicaSync.freshAt : -Infinity,
      };
    }
    let removedAt = this.keyRemovedAt.get(node);
    if (removedAt === undefined) {
      removedAt = now;
      // The removal was not seen: it may have happened just before the store was read for the first time.
      if (this.options.replicaSync.ready) this.keyRemovedAt.set(node, now);
    }
    return {
      renewedUntil: removedAt + this.times.maxRenewalS * (1 + 2 * MAX_CLOCK_DRIFT),
      provenUntil: Infinity,
    };
  }
}
