import type { Clock } from '../clock.js';
import type { HealthExchange } from '../peers/health-exchange.js';
import type { ControllerHealth } from '../peers/messages.js';
import type { PeerNetwork } from '../peers/peer-network.js';
import { ANSWER_WAIT_S } from '../wire/workers.js';
import { LATE_S } from './overload.js';

/** Minimum time between two sends of this controller's health on a connection, in heartbeat intervals. */
const SEND_GAP_INTERVALS = 0.25;
/** A controller that has sent no health data for this number of heartbeat intervals is asked. */
const ASK_AFTER_INTERVALS = 1;
/** Health data that is older than this number of heartbeat intervals is stale. */
const FRESH_INTERVALS = 3;
/** Another controller is healthier when it is late by less than this share of this one's lateness. */
const HEALTHIER_SHARE = 0.5;

/** Dependencies of `HealthTable`. */
export interface HealthTableOptions {
  clock: Clock;
  /** The workers' heartbeat interval, in seconds. */
  heartbeatIntervalS: number;
  /** This controller's current health. */
  own: () => ControllerHealth;
}

/** What is known of another controller. Times are in seconds of this controller's clock. */
interface PeerEntry {
  health: ControllerHealth | null;
  receivedAt: number;
  askedAt: number;
}

/**
 * How well each controller is able to lead. This controller's health is sent to the others with frames that are
 * exchanged anyway, and theirs is stored here, so that a late controller can decide without asking: an answer
 * would reach it one turn of its late event loop later. The data decides only which controller should lead,
 * never whether one may lead.
 */
export class HealthTable implements HealthExchange {
  private readonly peers = new Map<string, PeerEntry>();

  constructor(private readonly options: HealthTableOptions) {}

  /** See `HealthExchange.createSender`. */
  createSender(): () => ControllerHealth | null {
    const { clock, heartbeatIntervalS, own } = this.options;
    let sentAt = -Infinity;
    return () => {
      const now = clock.now();
      if (now - sentAt < heartbeatIntervalS * SEND_GAP_INTERVALS) return null;
      sentAt = now;
      return own();
    };
  }

  /** See `HealthExchange.note`. */
  recordHealth(node: string, health: ControllerHealth): void {
    const entry = this.entry(node);
    entry.health = health;
    entry.receivedAt = this.options.clock.now();
  }

  /**
   * Asks controllers that have sent no health data for one heartbeat interval; called regularly. The question
   * carries this controller's health, so that only one of two controllers has to ask.
   */
  refresh(peers: Pick<PeerNetwork, 'peerNames' | 'ask'>): void {
    const { clock, heartbeatIntervalS } = this.options;
    const now = clock.now();
    for (const node of peers.peerNames) {
      const entry = this.entry(node);
      if (
        now - Math.max(entry.receivedAt, entry.askedAt) <
        heartbeatIntervalS * ASK_AFTER_INTERVALS
      )
        continue;
      entry.askedAt = now;
      // The longest time-out, because a link is closed when an answer is late.
      void peers.ask(node, { q: 'there' }, ANSWER_WAIT_S);
    }
  }

  /**
   * The least late controller, by fresh health data, among those that the key-value store serves and that are
   * less than half as late as `latenessS`, this controller's lateness. Null: there is none.
   */
  findHealthier(latenessS = this.options.own().latenessS): string | null {
    let best: string | null = null;
    let bestS = latenessS * HEALTHIER_SHARE;
    for (const node of this.peers.keys()) {
      const health = this.freshHealth(node);
      if (health === null || !health.served || health.latenessS >= bestS) continue;
      best = node;
      bestS = health.latenessS;
    }
    return best;
  }

  /** Whether another controller is too late to lead, by fresh health data. */
  isLate(node: string): boolean {
    const health = this.freshHealth(node);
    return health !== null && health.latenessS > LATE_S;
  }

  /**
   * Seconds that heartbeats forwarded to this controller wait for its answers, by fresh health data of the
   * others. The minimum counts, since a controller that is slow itself waits longer. 0: there is no data.
   */
  forwardingDelayS(): number {
    let least = Infinity;
    for (const node of this.peers.keys()) {
      const relayS = this.freshHealth(node)?.relayS;
      if (relayS !== undefined) least = Math.min(least, relayS);
    }
    return least === Infinity ? 0 : least;
  }

  /** Seconds since another controller last sent health data, over any connection; Infinity: it never did. */
  silentS(node: string): number {
    const { peers } = this;
    return this.options.clock.now() - (peers.get(node)?.receivedAt ?? -Infinity);
  }

  private freshHealth(node: string): ControllerHealth | null {
    const { clock, heartbeatIntervalS } = this.options;
    const entry = this.peers.get(node);
    if (
      entry === undefined ||
      clock.now() - entry.receivedAt >= heartbeatIntervalS * FRESH_INTERVALS
    )
      return null;
    return entry.health;
  }

  private entry(node: string): PeerEntry {
    let entry = this.peers.get(node);
    if (entry === undefined) {
      entry = { health: null, receivedAt: -Infinity, askedAt: -Infinity };
      this.peers.set(node, entry);
    }
    return entry;
  }
}
