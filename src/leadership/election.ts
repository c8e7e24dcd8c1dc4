import { random } from '../random.js';
import { MAX_CLOCK_DRIFT, WakeableSleep, sleep } from '../clock.js';
import { IllegalTransitionError } from '../illegal-transition.js';
import { RequestRejectedError } from '../store/client.js';
import { mayBecome, type ElectionRole } from './election-role.js';
import { acquireLeaderKey } from './leader-key.js';
import { OutageQuorum, type OutageEvents, type OutageQuorumOptions } from './outage-quorum.js';
import { renewalAllowanceS, type WorkerTimes } from './renewal-allowance.js';
import { TermEntitlement, leaseEnd } from './term-entitlement.js';

/** Maximum time for which a late controller defers to a healthier one, in TTLs of the leader's lease. */
const DEFER_TTLS = 0.5;
/** How often it checks whether it still has to defer, per TTL. */
const DEFER_CHECKS_PER_TTL = 20;

/** Outcome of a renewal of the leader's lease; `unknown`: it was not answered. */
type LeaderLeaseRenewal = 'renewed' | 'expired' | 'refused' | 'unknown';

/** Callbacks of an election to its controller. */
export interface ElectionEvents extends OutageEvents {
  onElected(token: number): void;
  onDeposed(): void;
}

/** Dependencies and settings of an `Election`. */
export interface ElectionOptions extends Omit<
  OutageQuorumOptions,
  'leaseTtlS' | 'allowanceS' | 'leads'
> {
  node: string;
  incarnation: string;
  workers: WorkerTimes;
  events: ElectionEvents;
  /** Whether this controller is late and another one, which could be elected, is healthier. */
  healthierCanCampaign: () => boolean;
}

/** This controller's part in leader election by a key of the store that is attached to a lease. */
export class Election {
  role: ElectionRole = 'follower';
  token = 0;
  private lease = 0;
  /** Number of campaigns of this process. */
  private campaigns = 0;
  /** For the current term, or the one that this controller campaigns for; null: there is none. */
  private entitlement: TermEntitlement | null = null;
  /**
   * Steady time since which this controller may campaign, because there is no leader or the store still
   * shows an earlier process of this controller as the leader. Null: it may not.
   */
  private vacantSince: number | null = null;
  /** Steady time before which this controller does not campaign, after it has transferred leadership. */
  private campaignsNotBefore = -Infinity;
  /** Distinguishes outages from refusals of this controller alone. */
  readonly outageQuorum: OutageQuorum;
  private stopped = false;
  private readonly pause = new WakeableSleep();
  readonly leaseTtlS: number;
  /** Seconds for which leases may be renewed after the last time at which every cancellation was known. */
  private readonly allowanceS: number;

  constructor(private readonly options: ElectionOptions) {
    const { workers } = options;
    // About a third of the workers' lease, which leaves a successor two thirds to reach all workers.
    this.leaseTtlS = workers.lease_s * 0.3;
    this.allowanceS = renewalAllowanceS(workers, this.leaseTtlS);
    this.outageQuorum = new OutageQuorum({
      ...options,
      leaseTtlS: this.leaseTtlS,
      allowanceS: this.allowanceS,
      leads: () => this.isLeading,
    });
  }

  private changeRole(role: ElectionRole): void {
    if (role === this.role) return;
    if (!mayBecome(this.role, role)) {
      throw new IllegalTransitionError('election', this.role, role);
    }
    this.options.log.info(
      { from: this.role, to: role, token: this.token },
      'election role changed',
    );
    const wasLeading = this.isLeading;
    this.role = role;
    if (role === 'leader') this.vacantSince = null;
    if (role === 'follower' && wasLeading) {
      this.noteOwnRenewals();
      this.entitlement = null;
      this.options.store.setRole('follower');
      this.options.events.onDeposed();
    }
  }

  /** A later leader that asks for acknowledgement must learn until when this one may have renewed leases. */
  private noteOwnRenewals(): void {
    const until = this.entitlement?.validUntil ?? -Infinity;
    this.outageQuorum.recordRenewals(Math.min(this.options.clock.now(), until));
  }

  private get isLeading(): boolean {
    return this.role === 'leader' || this.role === 'leader-in-outage';
  }

  /** Whether this controller may act as the leader now. */
  get isEntitled(): boolean {
    return this.isLeading && this.entitlement?.hasLapsed === false && this.readsAreFresh;
  }

  /**
   * A leader whose lease is renewed but whose reads are not answered learns of no cancellation, so it
   * must stop renewing workers' leases in time. In an outage the entitlement by a majority already
   * takes this into account, see `OutageQuorum.renewalBound`.
   */
  private get readsAreFresh(): boolean {
    if (this.role === 'leader-in-outage') return true;
    return this.options.clock.now() < this.options.replicaSync.freshAt + this.allowanceS;
  }

  /** Whether this controller is entitled and its commits can be expected to succeed. */
  get canWrite(): boolean {
    return this.role === 'leader' && this.isEntitled;
  }

  /** Ends the pause between two steps, for example because the leader's key has changed. */
  wake(): void {
    this.pause.wakeUp();
  }

  /** Follows, campaigns and leads until `stop`. */
  async run(): Promise<void> {
    while (!this.stopped) {
      try {
        if (this.role === 'follower') await this.stepAsFollower();
        else await this.stepAsLeader();
      } catch (error) {
        this.options.log.debug({ err: error, role: this.role }, 'election step failed');
        if (this.role === 'candidate') this.changeRole('follower');
        await sleep(0.2);
      }
    }
  }

  private async stepAsFollower(): Promise<void> {
    const leader = this.options.replica.leader;
    if (!this.options.replicaSync.ready) {
      await sleep(0.05);
      return;
    }
    if (
      this.options.clock.now() < Math.max(this.outageQuorum.promisedUntil, this.campaignsNotBefore)
    ) {
      await sleep(0.1);
      return;
    }
    // An earlier process of this controller has certainly ended, so its key need not expire first.
    const isOwnKey = leader !== null && leader.node === this.options.node;
    if (leader !== null && !isOwnKey) {
      this.vacantSince = null;
      await this.pause.wait(0.5);
      return;
    }
    if (this.defersToHealthier()) {
      await this.pause.wait(this.leaseTtlS / DEFER_CHECKS_PER_TTL);
      return;
    }
    if (!isOwnKey) {
      // Random delay, so that usually only one controller campaigns.
      await sleep(random() * 0.05 * this.leaseTtlS);
      if (this.options.replica.leader !== null) return;
    }
    this.changeRole('candidate');
    const won = await this.campaign(leader?.revision ?? 0);
    if (!won) {
      this.changeRole('follower');
      await sleep(0.1 + random() * 0.2);
    }
  }

  /**
   * Whether to let a healthier controller be elected first. Limited to half a TTL, since that controller may
   * have ended and a leader is needed.
   */
  private defersToHealthier(): boolean {
    const now = this.options.clock.now();
    this.vacantSince ??= now;
    if (now - this.vacantSince >= this.leaseTtlS * DEFER_TTLS) return false;
    return this.options.healthierCanCampaign();
  }

  /** Tries to replace the leader's key as last seen. Returns whether this controller leads now. */
  private async campaign(expectedRevision: number): Promise<boolean> {
    const { store, clock, node, incarnation, events } = this.options;
    const grantSentAt = clock.now();
    const lease = await store.grantLease(this.leaseTtlS, 1);
    // The key of an earlier campaign may be stored late. It is attached to the lease of that campaign,
    // which nobody renews, so each campaign must recognize its own key.
    const claim = `${incarnation}/${++this.campaigns}`;
    const token = await acquireLeaderKey(store, {
      node,
      incarnation: claim,
      lease,
      expectedRevision,
    });
    if (token === null) return false;
    this.lease = lease;
    this.token = token;
    this.entitlement = new TermEntitlement(clock, leaseEnd(grantSentAt, this.leaseTtlS));
    store.setRole('leader');
    if (!(await this.catchUp(this.entitlement, grantSentAt))) {
      store.setRole('follower');
      return false;
    }
    // `stop` was called during the campaign. It is not called again, so a term that begins now would not be ended.
    if (this.stopped) return false;
    this.changeRole('leader');
    events.onElected(token);
    return true;
  }

  /**
   * Before the term begins, updates the replica with everything that earlier leaders stored. Returns false if the
   * entitlement has lapsed or `stop` was called.
   */
  private async catchUp(entitlement: TermEntitlement, grantSentAt: number): Promise<boolean> {
    const { replica, replicaSync } = this.options;
    while (replica.applied < this.token || replicaSync.freshAt < grantSentAt) {
      if (this.stopped || entitlement.hasLapsed) return false;
      if (!(await replicaSync.sync())) await sleep(0.05);
    }
    return !entitlement.hasLapsed;
  }

  private async stepAsLeader(): Promise<void> {
    const sentAt = this.options.clock.now();
    const renewal = await this.renewLeaderLease(sentAt);
    const leader = this.options.replica.leader;
    // Deposed during the renewal, by the acknowledgement of a later leader or by `stepDown`.
    if (!this.isLeading) return;
    if (renewal === 'expired' || (leader !== null && leader.revision > this.token)) {
      this.changeRole('follower');
      return;
    }
    if (renewal === 'refused') await this.continueInOutage(sentAt);
    if (!this.isEntitled) {
      await this.endLapsedTerm(renewal === 'renewed');
      return;
    }
    await sleep(
      this.role === 'leader-in-outage' || renewal === 'refused'
        ? this.leaseTtlS / 12
        : this.leaseTtlS / 5,
    );
  }

  /** Renews the lease of the leader's key, and extends the entitlement unless it has lapsed. */
  private async renewLeaderLease(sentAt: number): Promise<LeaderLeaseRenewal> {
    const { entitlement } = this;
    const remainingS = (entitlement?.validUntil ?? sentAt) - sentAt;
    try {
      const timeoutS = Math.max(0.3, Math.min(1, remainingS / 2));
      if (!(await this.options.store.keepLeaseAlive(this.lease, timeoutS))) {
        this.options.log.info({ token: this.token }, 'leader lease expired');
        return 'expired';
      }
      if (entitlement?.extend(leaseEnd(sentAt, this.leaseTtlS)) === true) {
        if (this.role === 'leader-in-outage') this.changeRole('leader');
        this.refreshReplica();
      }
      return 'renewed';
    } catch (error) {
      this.options.log.debug({ err: error, left: remainingS }, 'leader lease not renewed');
      return error instanceof RequestRejectedError && error.status === 503 ? 'refused' : 'unknown';
    }
  }

  /**
   * Ends the term. The key could exist for long, since leases run their full time again after an outage. So where the
   * store answers, the lease is revoked, and any controller may campaign at once, this one included.
   */
  private async endLapsedTerm(storeAnswers: boolean): Promise<void> {
    const { lease, token, entitlement, options } = this;
    const steadyS = options.clock.now();
    options.log.info(
      { token, steadyS, validUntil: entitlement?.validUntil, freshAt: options.replicaSync.freshAt },
      'leader entitlement expired',
    );
    this.changeRole('follower');
    if (storeAnswers) await this.revokeLease(lease);
  }

  /** Best effort: if this fails, the key is removed when the lease expires. */
  private async revokeLease(lease: number): Promise<void> {
    await this.options.store.endLease(lease, this.leaseTtlS / 2).catch(() => undefined);
  }

  /**
   * Transfers leadership: revokes the lease of the key, so that any other controller may campaign at once. This
   * one waits for half a TTL, so that another one, if there is one, is elected first.
   */
  async stepDown(): Promise<void> {
    if (this.role !== 'leader') return;
    const { lease } = this;
    this.campaignsNotBefore = this.options.clock.now() + this.leaseTtlS / 2;
    this.changeRole('follower');
    await this.revokeLease(lease);
  }

  /** Reads the store when the watch has returned nothing for longer than the TTL of the leader's lease. */
  private refreshReplica(): void {
    if (this.options.clock.now() - this.options.replicaSync.freshAt > this.leaseTtlS)
      void this.options.replicaSync.sync();
  }

  /**
   * Called when the key-value store refuses this leader. Extends the entitlement if a majority of controllers is
   * refused, which means an outage, in which leases do not expire. If another controller is served, this one
   * alone is refused, and its term ends with its lease.
   */
  private async continueInOutage(askedAt: number): Promise<void> {
    const forS = this.leaseTtlS / 2;
    if (this.outageQuorum.acknowledgedToken > this.token) return;
    const confirmation = await this.outageQuorum.confirmOutage(this.token, forS);
    if (confirmation === null || this.outageQuorum.acknowledgedToken > this.token) return;
    // The others' promises run from when they were given, which is after the question was sent.
    const until = Math.min(
      askedAt + forS * (1 - 2 * MAX_CLOCK_DRIFT),
      this.outageQuorum.renewalBound(confirmation),
    );
    if (until <= this.options.clock.now()) return;
    if (this.entitlement?.extend(until) !== true) return;
    if (this.role === 'leader') this.changeRole('leader-in-outage');
  }

  /**
   * Acknowledges a later leader, see `QuorumAcknowledgement`. From now on this controller neither acts for an
   * older leader nor confirms an outage to one. Returns the seconds until its promises and its renewals of
   * leases have ended; negative: they have.
   */
  acknowledge(token: number): number {
    if (token > this.outageQuorum.acknowledgedToken && token > this.token && this.isLeading) {
      this.options.log.info({ token: this.token, later: token }, 'newer leader acknowledged');
      this.changeRole('follower');
    }
    return this.outageQuorum.acknowledge(token) - this.options.clock.now();
  }

  /** Ends `run`; a campaign under way no longer makes this controller the leader. */
  stop(): void {
    this.stopped = true;
    this.pause.wakeUp();
  }
}
