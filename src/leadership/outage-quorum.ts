import { MAX_CLOCK_DRIFT, type Clock } from '../clock.js';
import type { Log } from '../log.js';
import { RequestRejectedError, type KeyValueStoreClient } from '../store/client.js';
import type { ReplicaSync } from '../store/replica-sync.js';
import type { Replica } from '../store/replica.js';
import * as records from '../store/records.js';
import { MAX_FRAME_BYTES } from '../peers/frames.js';
import type { RefusedAnswer } from '../peers/messages.js';
import type { PeerNetwork } from '../peers/peer-network.js';
import { OutagePromises } from './outage-promises.js';
import { UNACKNOWLEDGED_CONFIRM_S } from './renewal-allowance.js';

/** Share of a frame between controllers that the cancellations in one answer may take. */
const CANCELLATIONS_FRAME_SHARE = 0.9;
/** Bytes that a job's id takes in a frame in addition to its characters. */
const ID_OVERHEAD_BYTES = 3;
/** Seconds after which a read of the key-value store counts as not answered. */
const PROBE_TIMEOUT_S = 0.5;
/** Seconds that another controller may take to answer whether it is refused. */
const PEER_TIMEOUT_S = 0.8;

/** Whether all cancelled jobs fit in one frame. Sending only some is useless: tasks of any of the others may be running. */
function fitInOneFrame(ids: string[]): boolean {
  let bytes = 0;
  for (const id of ids) bytes += id.length + ID_OVERHEAD_BYTES;
  return bytes <= MAX_FRAME_BYTES * CANCELLATIONS_FRAME_SHARE;
}

/** A majority of controllers has confirmed that the key-value store refuses it. */
export interface OutageConfirmation {
  /** Steady time up to which the majority as a whole knows every stored cancellation. */
  freshAt: number;
}

/** Callbacks of an outage quorum to its controller. */
export interface OutageEvents {
  /** Another controller knows that the cancellations of these jobs are stored. */
  onKnownCancelled(ids: string[]): void;
  /** Jobs whose cancellation was stored after a revision, as far as this controller knows. */
  cancelledSince(revision: number): string[];
}

/** Dependencies and settings of an `OutageQuorum`. */
export interface OutageQuorumOptions {
  /** Number of controllers, this one included. */
  controllerCount: number;
  /** TTL of a leader's lease, in seconds. */
  leaseTtlS: number;
  /** Seconds for which leases may be renewed after the last time at which every cancellation was known. */
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
 * Distinguishes an outage of the key-value store from a refusal of this controller alone, by asking whether
 * a majority of controllers is refused, and answers the same question of others. Leases do not expire in an
 * outage, so running tasks may then be continued without the key-value store. docs/design.md, "Cancellations
 * and outages".
 */
export class OutageQuorum {
  /** Token of the latest leader that this controller has acknowledged: it confirms an outage to no older one. */
  acknowledgedToken = 0;
  private readonly promises = new OutagePromises();
  /** Until when this controller may renew leases by the latest confirmation of a majority. */
  private mayRenewUntil = -Infinity;
  /** Until when this controller may have renewed leases earlier, as a substitute or as the leader. */
  private renewedUntil = -Infinity;
  private currentCheck: Promise<boolean> | null = null;
  private readonly startedAt: number;

  constructor(private readonly options: OutageQuorumOptions) {
    this.startedAt = options.clock.now();
  }

  private get now(): number {
    return this.options.clock.now();
  }

  /** This controller has promised not to campaign before this time. */
  get promisedUntil(): number {
    return this.promises.until;
  }

  /** Answers another controller that asks whether this one is refused, by a new request to the key-value store. */
  async answer(token: number, forMs: number, applied: number): Promise<RefusedAnswer> {
    // A process that has not read the store knows neither the leader nor the cancellations that its
    // predecessor had acknowledged; its answer could complete a majority that knows of neither.
    const { replicaSync, replica, store, events, leaseTtlS } = this.options;
    if (!replicaSync.ready) return {};
    const knownLeader = replica.leader;
    if (this.acknowledgedToken > token || (knownLeader !== null && knownLeader.revision > token)) {
      return { refused: false };
    }
    // A leader does not confirm an outage to others. A candidate does: in an outage it may campaign again and again.
    if (this.options.leads()) return { refused: false };
    const forS = Math.min(forMs / 1000, leaseTtlS);
    const promise = this.promises.make(this.now + forS * (1 + 2 * MAX_CLOCK_DRIFT));
    try {
      await store.get(records.LEADER, PROBE_TIMEOUT_S);
      promise.withdraw();
      return { refused: false };
    } catch (error) {
      if (error instanceof RequestRejectedError && error.status === 503) {
        promise.confirm();
        // Because of the outage the leader may not have read the last cancellations, but their tasks must end too.
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
   * Acknowledges a leader: from now on this controller neither renews leases for an older one nor confirms
   * an outage to it. Returns the steady time at which its promises and its own renewals of leases have
   * ended. Asked again, it returns the same time, since an answer may be lost.
   */
  acknowledge(token: number): number {
    this.recordRenewals(Math.min(this.now, this.mayRenewUntil));
    if (token > this.acknowledgedToken) {
      this.acknowledgedToken = token;
      this.mayRenewUntil = -Infinity;
    }
    // A process that has just started does not know the promises of its predecessor.
    const unknownUntil = this.startedAt + this.options.leaseTtlS * (1 + 2 * MAX_CLOCK_DRIFT);
    return Math.max(this.promisedUntil, this.renewedUntil, unknownUntil);
  }

  /** Records that this controller may have renewed leases until this time. */
  recordRenewals(until: number): void {
    this.renewedUntil = Math.max(this.renewedUntil, until);
  }

  /**
   * Whether this controller may renew workers' leases as a substitute: there is no working leader, and none can
   * be elected because the key-value store is down for all. The substitute renews leases with the last leader's
   * token and does nothing else. Like a leader that continues in an outage it needs a majority that is refused,
   * and it must itself have been refused for longer than a leader takes to notice the outage. Every later
   * decision on leases takes these renewals into account.
   */
  mayRenewLeases(): Promise<boolean> {
    if (this.options.leads()) return Promise.resolve(false);
    if (this.now < this.mayRenewUntil) return Promise.resolve(true);
    this.currentCheck ??= this.checkMayRenewLeases().finally(() => (this.currentCheck = null));
    return this.currentCheck;
  }

  private async checkMayRenewLeases(): Promise<boolean> {
    const leader = this.options.replica.leader;
    if (leader === null || this.acknowledgedToken > leader.revision) return false;
    if (!this.options.replicaSync.ready) return false;
    try {
      await this.options.store.get(records.LEADER, PROBE_TIMEOUT_S);
      return false;
    } catch (error) {
      if (!(error instanceof RequestRejectedError) || error.status !== 503) return false;
    }
    const rejectedSince = this.options.store.rejectedSince;
    // The others' promises run from when they were given, which is after the question was sent.
    const askedAt = this.now;
    if (rejectedSince === null || askedAt - rejectedSince < this.options.leaseTtlS * 0.4)
      return false;
    const confirmation = await this.confirmOutage(leader.revision, this.substituteWindowS);
    if (confirmation === null || this.acknowledgedToken > leader.revision) return false;
    const until = askedAt + this.substituteWindowS * (1 - 2 * MAX_CLOCK_DRIFT);
    this.recordRenewals(this.mayRenewUntil);
    this.mayRenewUntil = Math.min(until, this.renewalBound(confirmation));
    if (this.now >= this.mayRenewUntil) return false;
    this.options.log.info({ token: leader.revision }, 'renewing leases for a failed leader');
    return true;
  }

  /** Seconds for which a substitute may renew after the last proof of an outage. */
  get substituteWindowS(): number {
    return this.options.leaseTtlS / 3;
  }

  /**
   * Until when leases may be renewed by the confirmation of a majority. The answers have made known all
   * cancellations that any member of it knows. A cancellation that none of them knows was stored after
   * `freshAt`, and no user received a confirmation of it until `UNACKNOWLEDGED_CONFIRM_S` later.
   */
  renewalBound(confirmation: OutageConfirmation): number {
    return confirmation.freshAt + UNACKNOWLEDGED_CONFIRM_S + this.options.allowanceS;
  }

  /** Asks all others whether they are refused. Null: no majority has confirmed it, or another controller is served. */
  async confirmOutage(token: number, forS: number): Promise<OutageConfirmation | null> {
    const peers = this.options.peers();
    const askedAt = this.now;
    const question = {
      q: 'refused',
      token,
      forMs: Math.ceil(forS * 1000),
      applied: this.options.replica.applied,
    } as const;
    const answers = await Promise.all(
      peers.peerNames.map((node) =>
        peers.ask(node, question, Math.min(PEER_TIMEOUT_S, this.options.leaseTtlS / 4)),
      ),
    );
    for (const answer of answers) {
      if (answer?.cancelled !== undefined) this.options.events.onKnownCancelled(answer.cancelled);
    }
    if (answers.some((answer) => answer?.refused === false)) return null;
    const freshAgesS = answers.flatMap((answer) =>
      answer?.refused === true && answer.freshAgeS !== undefined ? [answer.freshAgeS] : [],
    );
    if ((1 + freshAgesS.length) * 2 <= this.options.controllerCount) return null;
    const freshest = Math.max(
      this.options.replicaSync.freshAt,
      ...freshAgesS.map((age) => askedAt - age),
    );
    return { freshAt: freshest };
  }
}
