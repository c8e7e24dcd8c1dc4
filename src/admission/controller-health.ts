import type { Clock } from '../clock.js';
import type { HealthExchange } from '../peers/health-exchange.js';
import type { ControllerHealth } from '../peers/messages.js';
import type { PeerNetwork } from '../peers/peer-network.js';
import { ANSWER_WAIT_S } from '../wire/workers.js';
import { LATE_S } from './overload.js';

/** A connection carries this controller's figure once in so many heartbeat intervals, at most. */
const SEND_HEARTBEATS = 0.25;
/** Another controller that has told no figure for so many heartbeat intervals is asked. */
const ASK_HEARTBEATS = 1;
/** A figure that is older than so many heartbeat intervals says nothing of the present. */
const FRESH_HEARTBEATS = 3;
/** Another controller is healthier when it is late by less than this share of this one's lateness. */
const HEALTHIER_SHARE = 0.5;

/** What a `HealthTable` works with. */
export interface HealthTableOptions {
  clock: Clock;
  /** The workers' heartbeat interval, in seconds. */
  heartbeatIntervalS: number;
  /** This controller's figure now. */
  own: () => ControllerHealth;
}

/** What a controller knows of another one. Times are in seconds of this controller's clock. */
interface LastHeard {
  health: ControllerHealth | null;
  heardAt: number;
  askedAt: number;
}

/**
 * How fit the controllers are to lead: this one's figure goes to the others with the frames that are
 * exchanged anyway, theirs are kept here. So a late controller can decide with what it has: an answer to
 * a question would reach it a turn of its late event loop later. What is decided by these figures is
 * only who had better lead, never whether anybody may.
 */
export class HealthTable implements HealthExchange {
  private readonly others = new Map<string, LastHeard>();

  constructor(private readonly options: HealthTableOptions) {}

  /** See `HealthExchange.nextToSend`. */
  nextToSend(): () => ControllerHealth | null {
    const { clock, heartbeatIntervalS, own } = this.options;
    let sentAt = -Infinity;
    return () => {
      const now = clock.now();
      if (now - sentAt < heartbeatIntervalS * SEND_HEARTBEATS) return null;
      sentAt = now;
      return own();
    };
  }

  /** See `HealthExchange.note`. */
  note(node: string, health: ControllerHealth): void {
    const entry = this.entry(node);
    entry.health = health;
    entry.heardAt = this.options.clock.now();
  }

  /**
   * Asks those that have told no figure for a heartbeat interval; called regularly. The question carries
   * this controller's figure, so that of a pair of controllers one asks.
   */
  refresh(peers: Pick<PeerNetwork, 'names' | 'ask'>): void {
    const { clock, heartbeatIntervalS } = this.options;
    const now = clock.now();
    for (const node of peers.names) {
      const entry = this.entry(node);
      if (now - Math.max(entry.heardAt, entry.askedAt) < heartbeatIntervalS * ASK_HEARTBEATS)
        continue;
      entry.askedAt = now;
      // With the longest patience: a link is taken down when an answer is late.
      void peers.ask(node, { q: 'there' }, ANSWER_WAIT_S);
    }
  }

  /**
   * The controller that is best off by a fresh figure, where the key-value store serves it and it is less than
   * half as late as `latenessS`, this one's lateness. Null: none is known.
   */
  healthier(latenessS = this.options.own().latenessS): string | null {
    let best: string | null = null;
    let bestS = latenessS * HEALTHIER_SHARE;
    for (const node of this.others.keys()) {
      const health = this.current(node);
      if (health === null || !health.served || health.latenessS >= bestS) continue;
      best = node;
      bestS = health.latenessS;
    }
    return best;
  }

  /** Whether another controller is too late, by a fresh figure. */
  isLate(node: string): boolean {
    const health = this.current(node);
    return health !== null && health.latenessS > LATE_S;
  }

  /**
   * Seconds that heartbeats forwarded to this controller wait for its answers, by fresh figures of the others:
   * the least of them, since one that is slow itself waits longer. 0: none has told.
   */
  forwardingDelayS(): number {
    let least = Infinity;
    for (const node of this.others.keys()) {
      const relayS = this.current(node)?.relayS;
      if (relayS !== undefined) least = Math.min(least, relayS);
    }
    return least === Infinity ? 0 : least;
  }

  /** Seconds since another controller told a figure, over any connection; Infinity: it has told none. */
  silentS(node: string): number {
    const { others } = this;
    return this.options.clock.now() - (others.get(node)?.heardAt ?? -Infinity);
  }

  private current(node: string): ControllerHealth | null {
    const { clock, heartbeatIntervalS } = this.options;
    const entry = this.others.get(node);
    if (entry === undefined || clock.now() - entry.heardAt >= heartbeatIntervalS * FRESH_HEARTBEATS)
      return null;
    return entry.health;
  }

  private entry(node: string): LastHeard {
    let entry = this.others.get(node);
    if (entry === undefined) {
      entry = { health: null, heardAt: -Infinity, askedAt: -Infinity };
      this.others.set(node, entry);
    }
    return entry;
  }
}
