import { MAX_CLOCK_DRIFT, type Clock } from '../clock.js';
import type { Log } from '../log.js';
import { RequestRejectedError, type KeyValueStoreClient } from '../store/client.js';
import type { ReplicaSync } from '../store/replica-sync.js';
import type { Replica } from '../store/replica.js';
import * as records from '../store/records.js';
import { MAX_FRAME } from '../peers/frames.js';
import type { RefusedAnswer } from '../peers/messages.js';
import type { PeerNetwork } from '../peers/peer-network.js';
import { OutagePromises } from './outage-promises.js';
import { UNHEARD_CONFIRM_S } from './renewal-allowance.js';

/** Of a frame between controllers, what the cancellations told in one answer may take. */
const CANCELLATIONS_SHARE = 0.9;
/** What a job's id takes in a frame beside its characters, in bytes. */
const ID_FRAME_BYTES = 3;
/** Seconds that a look at the key-value store may take before it is taken for silent. */
const PROBE_TIMEOUT_S = 0.5;
/** Seconds that another controller may take to say whether it is refused. */
const PEER_TIMEOUT_S = 0.8;

/** Whether all of them can be told at once. Telling some is no use: any of the others may be running. */
function fitInOneFrame(ids: string[]): boolean {
  let bytes = 0;
  for (const id of ids) bytes += id.length + ID_FRAME_BYTES;
  return bytes <= MAX_FRAME * CANCELLATIONS_SHARE;
}

/** A majority's word that the key-value store refuses it. */
export interface MajorityRejected {
  /** Steady time up to which the majority together knows every stored cancellation. */
  freshAt: number;
}

/** What an outage quorum asks and tells its controller. */
export interface OutageEvents {
  /** Cancellations that another controller knows to be stored. */
  onKnownCancelled(ids: string[]): void;
  /** Stored cancellations after a revision, as far as this controller knows of any. */
  cancelledSince(revision: number): string[];
}

/** What an `OutageQuorum` works with. */
export interface OutageQuorumOptions {
  /** Number of controllers, this one included. */
  controllerCount: number;
  /** Life of a leader's lease, in seconds. */
  leaseTtlS: number;
  /** Seconds for which leases may be renewed after the last proof of knowing every cancellation. */
  allowanceS: number;
  store: KeyValueStoreClient;
  replicaSync: ReplicaSync;
  replica: Replica;
  peers: () => PeerNetwork;
  clock: Clock;
  log: Log;
  events: OutageEvents;
  /** Whether this controller leads, in an outage or not. */
  leads: () => boolean;
}

/**
 * Tells an outage of the key-value store from a refusal of this controller alone, by the word of a
 * majority, and bears witness for others. Only in an outage do leases stand still, so that work may be
 * kept running without the key-value store. docs/design.md, "Cancellations and outages".
 */
export class OutageQuorum {
  /** The latest leader that this controller has acknowledged: it bears witness for no older one. */
  acknowledged = 0;
  private readonly promises = new OutagePromises();
  /** End of the present majority's word, by which this controller may renew leases. */
  private renewsUntil = -Infinity;
  /** Until when this controller may have renewed leases before that, in a leader's place or as a leader. */
  private renewedUntil = -Infinity;
  private currentCheck: Promise<boolean> | null = null;
  private readonly startedAt: number;

  constructor(private readonly options: OutageQuorumOptions) {
    this.startedAt = options.clock.now();
  }

  private get now(): number {
    return this.options.clock.now();
  }

  /** This controller has promised not to take over before. */
  get promisedUntil(): number {
    return this.promises.until;
  }

  /** Asked by another node: looks at the key-value store now, not at what it said before. */
  async answer(token: number, forMs: number, applied: number): Promise<RefusedAnswer> {
    // A process that has not read the store knows neither the leader nor the cancellations that the
    // one before it had acknowledged: its word would make a majority that knows of neither.
    const { replicaSync, replica, store, events, leaseTtlS } = this.options;
    if (!replicaSync.ready) return {};
    const known = replica.leader;
    if (this.acknowledged > token || (known !== null && known.revision > token)) {
      return { refused: false };
    }
    // One that only stands is as good a witness as any: it may stand again and again in an outage.
    if (this.options.leads()) return { refused: false };
    const forS = Math.min(forMs / 1000, leaseTtlS);
    const promise = this.promises.make(this.now + forS * (1 + 2 * MAX_CLOCK_DRIFT));
    try {
      await store.get(records.LEADER, PROBE_TIMEOUT_S);
      promise.withdraw();
      return { refused: false };
    } catch (error) {
      if (error instanceof RequestRejectedError && error.status === 503) {
        promise.keep();
        // An outage may keep the last cancellations from the leader: their tasks must go all the same.
        const cancelled = events.cancelledSince(applied);
        if (!replicaSync.ready || !fitInOneFrame(cancelled)) return {};
        const freshAgeS = this.now - replicaSync.freshAt;
        return { refused: true, cancelled, freshAgeS };
      }
      promise.withdraw();
      return {};
    }
  }

  /**
   * From now on this controller neither acts for a leader older than this one nor bears witness for it.
   * Returns the steady time at which its promises, and what it has renewed itself, have ended: the same
   * however often it is asked, since an answer may be lost.
   */
  acknowledge(token: number): number {
    this.noteRenewals(Math.min(this.now, this.renewsUntil));
    if (token > this.acknowledged) {
      this.acknowledged = token;
      this.renewsUntil = -Infinity;
    }
    // A process that began just now does not know what the one before it promised.
    const unknownUntil = this.startedAt + this.options.leaseTtlS * (1 + 2 * MAX_CLOCK_DRIFT);
    return Math.max(this.promisedUntil, this.renewedUntil, unknownUntil);
  }

  /** Leases may have been renewed by this controller until then. */
  noteRenewals(until: number): void {
    this.renewedUntil = Math.max(this.renewedUntil, until);
  }

  /**
   * Substituting: nobody leads, nobody can take over, because the key-value store is down for all. Then
   * workers' leases are kept alive with the last leader's token and nothing else is done. It takes
   * what continuing takes, a majority that is being refused, for longer than a leader takes to notice
   * the outage itself; every later decision on leases counts with what was renewed here.
   */
  mayRenewLeases(): Promise<boolean> {
    if (this.options.leads()) return Promise.resolve(false);
    if (this.now < this.renewsUntil) return Promise.resolve(true);
    this.currentCheck ??= this.checkMayRenewLeases().finally(() => (this.currentCheck = null));
    return this.currentCheck;
  }

  private async checkMayRenewLeases(): Promise<boolean> {
    const leader = this.options.replica.leader;
    if (leader === null || this.acknowledged > leader.revision) return false;
    if (!this.options.replicaSync.ready) return false;
    try {
      await this.options.store.get(records.LEADER, PROBE_TIMEOUT_S);
      return false;
    } catch (error) {
      if (!(error instanceof RequestRejectedError) || error.status !== 503) return false;
    }
    const since = this.options.store.rejectedSince;
    // The promises count from when they were given, which is after the question was sent.
    const askedAt = this.now;
    if (since === null || askedAt - since < this.options.leaseTtlS * 0.4) return false;
    const majority = await this.majorityRejected(leader.revision, this.substituteS);
    if (majority === null || this.acknowledged > leader.revision) return false;
    const until = askedAt + this.substituteS * (1 - 2 * MAX_CLOCK_DRIFT);
    this.noteRenewals(this.renewsUntil);
    this.renewsUntil = Math.min(until, this.renewalBound(majority));
    if (this.now >= this.renewsUntil) return false;
    this.options.log.info({ token: leader.revision }, 'renewing leases for a failed leader');
    return true;
  }

  /** How long after the last proof of an outage a substitute may still renew. */
  get substituteS(): number {
    return this.options.leaseTtlS / 3;
  }

  /**
   * Until when leases may be renewed on a majority's word. What one of it knows, all know by its
   * answer. A cancellation that none of it knows was stored after `freshAt`, and no user was told of
   * it before a further `UNHEARD_CONFIRM_S`.
   */
  renewalBound(majority: MajorityRejected): number {
    return majority.freshAt + UNHEARD_CONFIRM_S + this.options.allowanceS;
  }

  /** Null: no majority is refused, or not all of those that answered are. */
  async majorityRejected(token: number, forS: number): Promise<MajorityRejected | null> {
    const peers = this.options.peers();
    const askedAt = this.now;
    const question = {
      q: 'refused',
      token,
      forMs: Math.ceil(forS * 1000),
      applied: this.options.replica.applied,
    } as const;
    const answers = await Promise.all(
      peers.names.map((node) =>
        peers.ask(node, question, Math.min(PEER_TIMEOUT_S, this.options.leaseTtlS / 4)),
      ),
    );
    for (const answer of answers) {
      if (answer?.cancelled !== undefined) this.options.events.onKnownCancelled(answer.cancelled);
    }
    if (answers.some((answer) => answer?.refused === false)) return null;
    const ages = answers.flatMap((answer) =>
      answer?.refused === true && answer.freshAgeS !== undefined ? [answer.freshAgeS] : [],
    );
    if ((1 + ages.length) * 2 <= this.options.controllerCount) return null;
    const freshest = Math.max(
      this.options.replicaSync.freshAt,
      ...ages.map((age) => askedAt - age),
    );
    return { freshAt: freshest };
  }
}
