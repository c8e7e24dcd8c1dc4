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
 * Zones that go on working by themselves. Where a zone has exactly one controller, that one is its
 * zone lease holder: cut off together with its zone, it keeps renewing the leases of the zone's machines with
 * the last token, so that what runs there goes on. It starts nothing.
 *
 * What the others must know is when a zone lease holder may be doing so. Each zone lease holder holds a key on a short
 * lease; it keeps no machine before that key is certainly gone, and none for longer than a bound
 * after the last proof that the key was there:
 *
 *   key there, by a fresh read      the zone lease holder keeps nothing, and has not since the key was put
 *   key gone                        it may keep until the bound has passed since it went
 *
 * So a silent machine counts as lost only when its lease has expired and either is proven since, and
 * a cancellation is taken only if the zone lease holder has been told, or if the bound ends in time.
 */

/**
 * Life of the key's lease: so much of a worker's lease, and of the time that a worker waits for an answer.
 * A worker must get one before it looks for other controllers, all of them outside the cut. By its lease
 * alone, one of 15 s, the zone lease holder began when those that had sent heartbeats in the cut's first moments had gone.
 */
const TTL_LEASES = 0.1;
const TTL_ANSWER_WAITS = 0.25;
/**
 * When a zone lease holder may begin, counted from the sending of the last renewal that was answered. Until then
 * the key is certainly gone: its life, once more for a renewal that was carried out without an answer
 * (there is never more than one of them), once more for an outage too short to be noticed, after
 * which leases have their full time again, and half a life for late ends. In lives.
 */
const BEGIN_TTLS = 3.5;
/** The bound: longer cuts end like any other silence. */
const RENEW_LEASES = 7;
/** Renewals within one life of the key. */
const RENEWALS_PER_TTL = 4;

/** The times of a zone lease, in seconds. */
export interface ZoneLeaseTimes {
  ttlS: number;
  beginS: number;
  renewForS: number;
}

/** The times of a zone lease, as ratios to the workers' lease. */
export function zoneLeaseTimes(leaseS: number): ZoneLeaseTimes {
  const ttlS = Math.min(leaseS * TTL_LEASES, ANSWER_WAIT_S * TTL_ANSWER_WAITS);
  return { ttlS, beginS: ttlS * BEGIN_TTLS, renewForS: leaseS * RENEW_LEASES };
}

/** The sole controller of each zone. With one zone only, nothing is cut off with a zone. */
export function zoneLeaseHolders(all: { node: string; zone: string }[]): Map<string, string> {
  const by = new Map<string, string[]>();
  for (const controller of all)
    by.set(controller.zone, [...(by.get(controller.zone) ?? []), controller.node]);
  const out = new Map<string, string>();
  if (by.size < 2) return out;
  for (const [zone, nodes] of by) if (nodes.length === 1) out.set(zone, nodes[0]!);
  return out;
}

/**
 * A zone lease holder's own side:
 *
 *   away     no key of this process is known to be in the store
 *   present  it is
 *   doubting a renewal was not answered: none is sent until the store is heard again
 *   alone    neither the store nor any other controller answers
 */
export type ZoneLeaseHolderState = 'away' | 'present' | 'doubting' | 'alone';

const TRANSITIONS: Record<ZoneLeaseHolderState, ZoneLeaseHolderState[]> = {
  away: ['present'],
  present: ['away', 'doubting'],
  doubting: ['present', 'alone'],
  alone: ['present', 'doubting'],
};

/** What a `ZoneLeaseHolder` works with. */
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

/** The zone lease of the only controller of a zone. */
export class ZoneLeaseHolder {
  state: ZoneLeaseHolderState = 'away';
  /** When the last renewal that was carried out had been sent. */
  private provenAt = -Infinity;
  private lease = 0;
  /** It may have renewed leases since its key was put; then the key is put anew, which tells the others when that ended. */
  private hasRenewed = false;
  /** A key that was put without an answer may be there until then. */
  private renewsFrom = -Infinity;
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

  /** Whether leases of the zone's machines may be renewed at this moment. Whoever asks does so. */
  mayRenewLeases(): boolean {
    const now = this.options.clock.now();
    const from = Math.max(this.renewsFrom, this.certainlyGoneAt(this.provenAt));
    if (this.state !== 'alone' || now <= from) return false;
    if (now >= this.provenAt + this.times.renewForS) return false;
    this.hasRenewed = true;
    return true;
  }

  /** When a key is certainly gone whose last renewal was sent at this time. */
  private certainlyGoneAt(sentAt: number): number {
    return sentAt + this.times.beginS * (1 + 2 * MAX_CLOCK_DRIFT);
  }

  /** Waits for as long as it may still turn out that this zone is alone. */
  async waitUntilDecided(deadline: number): Promise<boolean> {
    while (!this.stopped && this.options.clock.now() < deadline) {
      if (this.mayRenewLeases()) return true;
      if (this.state === 'away' || this.state === 'present') return false;
      await sleep(this.times.ttlS / RENEWALS_PER_TTL);
    }
    return this.mayRenewLeases();
  }

  /** Holds the key, and finds out when the zone is cut off, until `stop`. */
  async run(): Promise<void> {
    const pause = this.times.ttlS / RENEWALS_PER_TTL;
    while (!this.stopped) {
      try {
        if (this.state === 'away') await this.register();
        else {
          // A renewal that was not answered may still be carried out: a second one would let the key
          // live on while this zone is being kept.
          if (this.state !== 'present')
            await this.options.store.get(records.LEADER, this.times.ttlS / 2);
          if (this.hasRenewed) await this.registerAnew();
          else await this.renew();
        }
      } catch (error) {
        // Refused is heard: an outage, or this controller alone. Nothing is cut off.
        const heard = error instanceof RequestRejectedError && error.status > 0;
        if (this.state === 'present' && !heard) this.changeState('doubting');
        if (!heard) await this.askPeers();
      }
      await sleep(pause);
    }
  }

  private async register(): Promise<void> {
    if (!this.options.replicaSync.ready) return;
    const sentAt = this.options.clock.now();
    const lease = await this.options.store.grantLease(this.times.ttlS, this.times.ttlS);
    const key = records.controllerKey(this.options.node);
    this.options.store.writeBudget.force(1);
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
    this.provenAt = sentAt;
    this.hasRenewed = false;
    this.changeState('present');
  }

  /**
   * The key of before may have stood through an outage while leases were renewed here, and would show nothing of that. No
   * lease is renewed from before the new one is put.
   */
  private async registerAnew(): Promise<void> {
    this.changeState('doubting');
    this.renewsFrom = this.certainlyGoneAt(this.options.clock.now());
    await this.register();
  }

  private async renew(): Promise<void> {
    const sentAt = this.options.clock.now();
    const there = await this.options.store.keepLeaseAlive(this.lease, this.times.ttlS / 2);
    this.changeState('present');
    if (there) this.provenAt = sentAt;
    else this.changeState('away');
  }

  /** The store is silent: is anybody else there? */
  private async askPeers(): Promise<void> {
    if (this.state !== 'doubting' && this.state !== 'alone') return;
    const peers = this.options.peers();
    const timeout = this.times.ttlS / 2;
    const answers = await Promise.all(
      peers.names.map((node) => peers.ask(node, { q: 'there' }, timeout)),
    );
    this.changeState(answers.some((answer) => answer !== null) ? 'doubting' : 'alone');
  }

  /** Ends `run`. */
  stop(): void {
    this.stopped = true;
  }
}

/** What a `ZoneLeaseWatch` works with. */
export interface ZoneLeaseWatchOptions {
  byZone: Map<string, string>;
  leaseS: number;
  replica: Pick<Replica, 'controllers'>;
  replicaSync: Pick<ReplicaSync, 'ready' | 'freshAt'>;
  store: Pick<KeyValueStoreClient, 'rejectedAt'>;
  clock: Clock;
}

/** What a controller knows of the zone lease holders, itself included. */
export class ZoneLeaseWatch {
  private readonly seenAt = new Map<string, number>();
  private readonly goneAt = new Map<string, number>();
  private readonly times: ZoneLeaseTimes;

  constructor(private readonly options: ZoneLeaseWatchOptions) {
    const { leaseS } = options;
    this.times = zoneLeaseTimes(leaseS);
  }

  /** The only controller of a zone; null: it has none, or several. */
  holderOf(zone: string): string | null {
    return this.options.byZone.get(zone) ?? null;
  }

  /** Its key has been there for so long, as seen from here. */
  isSteady(node: string, forS: number): boolean {
    const seen = this.seenAt.get(node);
    return (
      this.options.replica.controllers.has(node) &&
      seen !== undefined &&
      this.options.clock.now() - seen >= forS
    );
  }

  /** A zone lease holder's key was put anew or is gone. */
  keyChanged(node: string): void {
    const now = this.options.clock.now();
    if (this.options.replica.controllers.has(node)) this.seenAt.set(node, now);
    else this.goneAt.set(node, now);
  }

  /**
   * `keptUntil`: until when a zone's zone lease holder may renew, or may have renewed, leases of its machines.
   * `provenAt`: up to which moment that is certain.
   */
  zone(zone: string): RenewalKnowledge {
    const node = this.options.byZone.get(zone);
    if (node === undefined) return { keptUntil: -Infinity, provenAt: Infinity };
    const now = this.options.clock.now();
    if (this.options.replica.controllers.has(node)) {
      // Leases stand still in an outage: what a read shows right after one proves nothing.
      const sure =
        this.options.replicaSync.freshAt - this.options.store.rejectedAt > this.times.beginS;
      return {
        keptUntil: this.seenAt.get(node) ?? now,
        provenAt: sure ? this.options.replicaSync.freshAt : -Infinity,
      };
    }
    let gone = this.goneAt.get(node);
    if (gone === undefined) {
      gone = now;
      // It may have gone just before this controller had read the store for the first time.
      if (this.options.replicaSync.ready) this.goneAt.set(node, now);
    }
    return {
      keptUntil: gone + this.times.renewForS * (1 + 2 * MAX_CLOCK_DRIFT),
      provenAt: Infinity,
    };
  }
}
