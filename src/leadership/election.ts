import { random } from '../random.js';
import { MAX_CLOCK_DRIFT, WakeableSleep, sleep } from '../clock.js';
import { IllegalTransitionError } from '../illegal-transition.js';
import { RequestRejectedError } from '../store/client.js';
import { mayBecome, type ElectionRole } from './election-role.js';
import { acquireLeaderKey } from './leader-key.js';
import { OutageQuorum, type OutageEvents, type OutageQuorumOptions } from './outage-quorum.js';
import { renewalAllowanceS, type WorkerTimes } from './renewal-allowance.js';
import { TermEntitlement, leaseEnd } from './term-entitlement.js';

/** A late controller leaves leadership to a healthier one for so many lives of the leader's lease, at most. */
const DEFER_TTLS = 0.5;
/** It looks so many times in that life whether it still has to. */
const DEFER_CHECKS_PER_TTL = 20;

/** What became of a renewal of the leader's lease; `unknown`: it was not answered. */
type LeaderLeaseRenewal = 'renewed' | 'expired' | 'refused' | 'unknown';

/** What an election tells its controller. */
export interface ElectionEvents extends OutageEvents {
  onElected(token: number): void;
  onDeposed(): void;
}

/** What an `Election` works with. */
export interface ElectionOptions extends Omit<
  OutageQuorumOptions,
  'leaseTtlS' | 'allowanceS' | 'leads'
> {
  node: string;
  incarnation: string;
  workers: WorkerTimes;
  events: ElectionEvents;
  /** This controller is late, and another one that could be elected is healthier. */
  healthierCanCampaign: () => boolean;
}

/** This controller's part in the election of a leader, by a key of the store that hangs on a lease. */
export class Election {
  role: ElectionRole = 'follower';
  token = 0;
  private lease = 0;
  /** How often this process has stood. */
  private campaigns = 0;
  /** Of the present term, or of the one that this controller stands for; null: there is none. */
  private entitlement: TermEntitlement | null = null;
  /**
   * Since when this controller might stand, in seconds of the clock: nobody leads, or by the store only a
   * former process of its own. Null: it might not.
   */
  private vacantSince: number | null = null;
  /** It has transferred leadership, and does not stand before. */
  private campaignsFrom = -Infinity;
  /** Tells outages from refusals of this controller alone. */
  readonly outage: OutageQuorum;
  private stopped = false;
  private readonly pause = new WakeableSleep();
  readonly leaseTtlS: number;
  /** Seconds for which leases may be renewed after the last proof of knowing every cancellation. */
  private readonly allowanceS: number;

  constructor(private readonly options: ElectionOptions) {
    const { workers } = options;
    // A third of the workers' lease: the successor has two thirds to reach them all.
    this.leaseTtlS = workers.lease_s * 0.3;
    this.allowanceS = renewalAllowanceS(workers, this.leaseTtlS);
    this.outage = new OutageQuorum({
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
    const led = this.isLeading;
    this.role = role;
    if (role === 'leader') this.vacantSince = null;
    if (role === 'follower' && led) {
      this.noteOwnRenewals();
      this.entitlement = null;
      this.options.store.setRole('follower');
      this.options.events.onDeposed();
    }
  }

  /** A later leader that asks for acknowledgement must know until when this one may have renewed leases. */
  private noteOwnRenewals(): void {
    const until = this.entitlement?.validUntil ?? -Infinity;
    this.outage.noteRenewals(Math.min(this.options.clock.now(), until));
  }

  private get isLeading(): boolean {
    return this.role === 'leader' || this.role === 'leader-in-outage';
  }

  /** Whether this node may act for the controllers at this moment. */
  get isEntitled(): boolean {
    return this.isLeading && this.entitlement?.hasLapsed === false && this.readsAreFresh;
  }

  /**
   * A leader whose lease is renewed but whose reads are not answered hears of no cancellation: it
   * must stop renewing workers' leases in time. A majority's word in an outage counts with this already.
   */
  private get readsAreFresh(): boolean {
    if (this.role === 'leader-in-outage') return true;
    return this.options.clock.now() < this.options.replicaSync.freshAt + this.allowanceS;
  }

  /** Entitled, and commits can be expected to go through. */
  get canWrite(): boolean {
    return this.role === 'leader' && this.isEntitled;
  }

  /** The leader's key has changed: look at once. */
  wake(): void {
    this.pause.wakeUp();
  }

  /** Campaigns, leads and follows until `stop`. */
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
    if (this.options.clock.now() < Math.max(this.outage.promisedUntil, this.campaignsFrom)) {
      await sleep(0.1);
      return;
    }
    // My own former process is dead for certain: nothing to wait for.
    const mine = leader !== null && leader.node === this.options.node;
    if (leader !== null && !mine) {
      this.vacantSince = null;
      await this.pause.wait(0.5);
      return;
    }
    if (this.defersToHealthier()) {
      await this.pause.wait(this.leaseTtlS / DEFER_CHECKS_PER_TTL);
      return;
    }
    if (!mine) {
      // Apart from one another, so that a single node stands as a rule.
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
   * Whether to let a healthier controller be elected first. Not for long: that one may have ended, and
   * somebody has to stand.
   */
  private defersToHealthier(): boolean {
    const now = this.options.clock.now();
    this.vacantSince ??= now;
    if (now - this.vacantSince >= this.leaseTtlS * DEFER_TTLS) return false;
    return this.options.healthierCanCampaign();
  }

  /** Stands for election over the key as it was seen last. Returns whether this controller leads now. */
  private async campaign(expectedRevision: number): Promise<boolean> {
    const { store, clock, node, incarnation, events } = this.options;
    const grantSentAt = clock.now();
    const lease = await store.grantLease(this.leaseTtlS, 1);
    // An earlier campaign's key may turn up late. It hangs on that one's lease, which nobody renews.
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
    // Stopped while it was being elected: it would lead on with nobody to stop it again.
    if (this.stopped) return false;
    this.changeRole('leader');
    events.onElected(token);
    return true;
  }

  /** Everything that former leaders stored must be in the replica before anything is decided. */
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
    // Deposed while it waited, by an acknowledgement of a later leader or by `stepDown`.
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

  /** Renews the lease of the leader's key, and the entitlement with it unless that has lapsed. */
  private async renewLeaderLease(sentAt: number): Promise<LeaderLeaseRenewal> {
    const { entitlement } = this;
    const left = (entitlement?.validUntil ?? sentAt) - sentAt;
    try {
      const timeoutS = Math.max(0.3, Math.min(1, left / 2));
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
      this.options.log.debug({ err: error, left }, 'leader lease not renewed');
      return error instanceof RequestRejectedError && error.status === 503 ? 'refused' : 'unknown';
    }
  }

  /**
   * The term is over. The key may stand for long, since leases have their full time again after an outage: where the
   * store answers it goes at once, and anybody may stand, this controller too.
   */
  private async endLapsedTerm(isServed: boolean): Promise<void> {
    const { lease, token, entitlement, options } = this;
    const steadyS = options.clock.now();
    options.log.info(
      { token, steadyS, validUntil: entitlement?.validUntil, freshAt: options.replicaSync.freshAt },
      'leader entitlement expired',
    );
    this.changeRole('follower');
    if (isServed) await this.giveUpLease(lease);
  }

  /** Best effort: without an answer the key goes by itself, when the lease ends. */
  private async giveUpLease(lease: number): Promise<void> {
    await this.options.store.endLease(lease, this.leaseTtlS / 2).catch(() => undefined);
  }

  /**
   * Hands leadership over: the key goes, and any other controller may stand at once. This one waits for
   * long enough that another one is elected first, where there is one.
   */
  async stepDown(): Promise<void> {
    if (this.role !== 'leader') return;
    const { lease } = this;
    this.campaignsFrom = this.options.clock.now() + this.leaseTtlS / 2;
    this.changeRole('follower');
    await this.giveUpLease(lease);
  }

  /** Reads the store when the watch has had nothing to show for a while. */
  private refreshReplica(): void {
    if (this.options.clock.now() - this.options.replicaSync.freshAt > this.leaseTtlS)
      void this.options.replicaSync.sync();
  }

  /**
   * Refused by the key-value store: an outage, or this node alone? Only in an outage do leases stand
   * still. A node that is served says so, and then this one yields when its time is up.
   */
  private async continueInOutage(askedAt: number): Promise<void> {
    const forS = this.leaseTtlS / 2;
    if (this.outage.acknowledged > this.token) return;
    const majority = await this.outage.majorityRejected(this.token, forS);
    if (majority === null || this.outage.acknowledged > this.token) return;
    // The promises count from when they were given, which is after the question was sent.
    const until = Math.min(
      askedAt + forS * (1 - 2 * MAX_CLOCK_DRIFT),
      this.outage.renewalBound(majority),
    );
    if (until <= this.options.clock.now()) return;
    if (this.entitlement?.extend(until) !== true) return;
    if (this.role === 'leader') this.changeRole('leader-in-outage');
  }

  /**
   * A later leader asks to be acknowledged, see `QuorumAcknowledgement`. From now on this controller
   * neither acts for an older one nor bears witness for it. Returns the seconds until its promises so
   * far have ended.
   */
  acknowledge(token: number): number {
    if (token > this.outage.acknowledged && token > this.token && this.isLeading) {
      this.options.log.info({ token: this.token, later: token }, 'newer leader acknowledged');
      this.changeRole('follower');
    }
    return this.outage.acknowledge(token) - this.options.clock.now();
  }

  /** Ends `run`; an election that is under way is not won any more. */
  stop(): void {
    this.stopped = true;
    this.pause.wakeUp();
  }
}
