import { random } from '../random.js';
import { MAX_CLOCK_DRIFT, WakeableSleep, sleep, type Clock } from '../clock.js';
import type { Log } from '../log.js';
import { RequestRejectedError, type KeyValueStoreClient } from '../store/client.js';
import type { ReplicaSync } from '../store/replica-sync.js';
import type { Replica } from '../store/replica.js';
import * as records from '../store/records.js';
import type { PeerNetwork } from '../peers/peer-network.js';
import { OutageQuorum, type OutageEvents } from './outage-quorum.js';
import { renewalAllowanceS, type WorkerTimes } from './renewal-allowance.js';

/**
 * Who leads. The leader's key hangs on a lease; its revision is the token, so tokens only rise.
 *
 *   follower -> candidate -> leader <-> leader-in-outage -> follower
 *
 * `leader`: entitled by the lease. `leader-in-outage`: the state service refuses this node, and a majority
 * of controllers (this one among them) has just been refused too, which only an outage does; leases
 * stand still in one. Whatever the state, `entitled` is what counts for every answer and command.
 */
export type ElectionRole = 'follower' | 'candidate' | 'leader' | 'leader-in-outage';

/** What `/metrics` and the load lines of the log call each role: operators' scripts know these words. */
export const ROLE_IN_METRICS: Record<ElectionRole, string> = {
  follower: 'following',
  candidate: 'standing',
  leader: 'leading',
  'leader-in-outage': 'continuing',
};

/** A late controller leaves leadership to a fitter one for so many lives of the leader's lease, at most. */
const DEFER_TTLS = 0.5;
/** It looks so many times in that life whether it still has to. */
const DEFER_CHECKS_PER_TTL = 20;

const TRANSITIONS: Record<ElectionRole, ElectionRole[]> = {
  follower: ['candidate'],
  candidate: ['leader', 'follower'],
  leader: ['leader-in-outage', 'follower'],
  'leader-in-outage': ['leader', 'follower'],
};

export interface ElectionEvents extends OutageEvents {
  onElected(token: number): void;
  onDeposed(): void;
}

export class Election {
  role: ElectionRole = 'follower';
  token = 0;
  private lease = 0;
  /** How often this process has stood. */
  private campaigns = 0;
  private leaseValidUntil = -Infinity;
  /**
   * Since when this controller might stand, in seconds of the clock: nobody leads, or by the store only a
   * former process of its own. Null: it might not.
   */
  private vacantSince: number | null = null;
  /** It has handed over, and does not stand before. */
  private campaignsFrom = -Infinity;
  /** Tells outages from refusals of this controller alone. */
  readonly outage: OutageQuorum;
  private stopped = false;
  private readonly pause = new WakeableSleep();
  readonly leaseTtlS: number;
  /** Seconds for which leases may be renewed after the last proof of knowing every cancellation. */
  private readonly allowanceS: number;

  constructor(
    private readonly node: string,
    private readonly incarnation: string,
    controllerCount: number,
    workers: WorkerTimes,
    private readonly store: KeyValueStoreClient,
    private readonly replicaSync: ReplicaSync,
    private readonly replica: Replica,
    peers: () => PeerNetwork,
    private readonly clock: Clock,
    private readonly log: Log,
    private readonly events: ElectionEvents,
    /** This controller is late, and another one that could be elected is fitter. */
    private readonly healthierCanCampaign: () => boolean = () => false,
  ) {
    // A third of the workers' lease: the successor has two thirds to reach them all.
    this.leaseTtlS = workers.lease_s * 0.3;
    this.allowanceS = renewalAllowanceS(workers, this.leaseTtlS);
    const { leaseTtlS, allowanceS } = this;
    this.outage = new OutageQuorum({
      controllerCount: controllerCount, leaseTtlS: leaseTtlS, allowanceS, store, replicaSync, replica, peers, clock, log, events,
      leads: () => this.isLeading,
    }); // prettier-ignore
  }

  private changeRole(role: ElectionRole): void {
    if (role === this.role) return;
    if (!TRANSITIONS[this.role].includes(role)) throw new Error(`${this.role} -> ${role}`);
    this.log.info({ from: this.role, to: role, token: this.token }, 'role');
    const led = this.isLeading;
    this.role = role;
    if (role === 'leader') this.vacantSince = null;
    if (role === 'follower' && led) {
      this.leaseValidUntil = -Infinity;
      this.store.setRole('follower');
      this.events.onDeposed();
    }
  }

  private get isLeading(): boolean {
    return this.role === 'leader' || this.role === 'leader-in-outage';
  }

  /** Whether this node may act for the controllers at this moment. */
  get isEntitled(): boolean {
    if (!this.isLeading) return false;
    return this.clock.now() < this.entitledUntil;
  }

  /**
   * A leader whose lease is renewed but whose reads are not answered hears of no cancellation: it
   * must stop renewing workers' leases in time. In an outage `validUntil` counts with this already.
   */
  private get entitledUntil(): number {
    if (this.role === 'leader-in-outage') return this.leaseValidUntil;
    return Math.min(this.leaseValidUntil, this.replicaSync.freshAt + this.allowanceS);
  }

  /** Entitled, and commits can be expected to go through. */
  get canWrite(): boolean {
    return this.role === 'leader' && this.isEntitled;
  }

  wake(): void {
    this.pause.wakeUp();
  }

  async run(): Promise<void> {
    while (!this.stopped) {
      try {
        if (this.role === 'follower') await this.stepAsFollower();
        else await this.stepAsLeader();
      } catch (error) {
        this.log.debug({ err: String(error), role: this.role }, 'election step failed');
        if (this.role === 'candidate') this.changeRole('follower');
        await sleep(0.2);
      }
    }
  }

  private async stepAsFollower(): Promise<void> {
    const leader = this.replica.leader;
    if (!this.replicaSync.ready) {
      await sleep(0.05);
      return;
    }
    if (this.clock.now() < Math.max(this.outage.promisedUntil, this.campaignsFrom)) {
      await sleep(0.1);
      return;
    }
    // My own former process is dead for certain: nothing to wait for.
    const mine = leader !== null && leader.node === this.node;
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
      if (this.replica.leader !== null) return;
    }
    this.changeRole('candidate');
    const won = await this.campaign(leader?.revision ?? 0);
    if (!won) {
      this.changeRole('follower');
      await sleep(0.1 + random() * 0.2);
    }
  }

  /**
   * Whether to let a fitter controller be elected first. Not for long: that one may have ended, and
   * somebody has to stand.
   */
  private defersToHealthier(): boolean {
    const now = this.clock.now();
    this.vacantSince ??= now;
    if (now - this.vacantSince >= this.leaseTtlS * DEFER_TTLS) return false;
    return this.healthierCanCampaign();
  }

  private async campaign(guard: number): Promise<boolean> {
    const grantSentAt = this.clock.now();
    const lease = await this.store.grantLease(this.leaseTtlS, 1);
    // An earlier attempt's key may turn up late. It hangs on that one's lease, which nobody renews.
    const incarnation = `${this.incarnation}/${++this.campaigns}`;
    let token = 0;
    try {
      const result = await this.store.compareAndSwap(
        [{ key: records.LEADER, revision: guard }],
        [
          {
            put: records.LEADER,
            value: records.encodeLeader({ node: this.node, incarnation }),
            lease,
          },
        ],
        1,
      );
      if (!result.ok) return false;
      token = result.revision;
    } catch (error) {
      if (error instanceof RequestRejectedError) return false;
      // Not answered: read it back.
      const item = await this.store.get(records.LEADER, 1);
      if (item === null || records.decodeLeader(item.value).incarnation !== incarnation) {
        return false;
      }
      token = item.revision;
    }
    this.lease = lease;
    this.token = token;
    this.leaseValidUntil = this.leaseEnd(grantSentAt);
    this.store.setRole('leader');
    // Everything that former leaders stored must be in the picture before anything is decided.
    while (this.replica.applied < token || this.replicaSync.freshAt < grantSentAt) {
      if (this.stopped || this.clock.now() >= this.leaseValidUntil) {
        this.store.setRole('follower');
        return false;
      }
      if (!(await this.replicaSync.sync())) await sleep(0.05);
    }
    // Stopped while it was being elected: it would lead on with nobody to stop it again.
    if (this.stopped) return false;
    this.changeRole('leader');
    this.events.onElected(token);
    return true;
  }

  /** The lease ends a life after its renewal was carried out, which is no earlier than it was sent. */
  private leaseEnd(sentAt: number): number {
    return sentAt + this.leaseTtlS * (1 - 2 * MAX_CLOCK_DRIFT) - 0.02;
  }

  private async stepAsLeader(): Promise<void> {
    const sentAt = this.clock.now();
    const left = this.leaseValidUntil - sentAt;
    let refused = false;
    try {
      if (await this.store.keepLeaseAlive(this.lease, Math.max(0.3, Math.min(1, left / 2)))) {
        this.leaseValidUntil = Math.max(this.leaseValidUntil, this.leaseEnd(sentAt));
        if (this.role === 'leader-in-outage') this.changeRole('leader');
        this.refreshReplica();
      } else {
        this.log.info({ token: this.token }, 'lease has ended');
        this.changeRole('follower');
        return;
      }
    } catch (error) {
      refused = error instanceof RequestRejectedError && error.status === 503;
      this.log.debug({ err: String(error), left }, 'lease not renewed');
    }
    const leader = this.replica.leader;
    if (leader !== null && leader.revision > this.token) {
      this.changeRole('follower');
      return;
    }
    if (refused) await this.continueInOutage(sentAt);
    if (this.clock.now() >= this.entitledUntil) {
      this.log.info({ token: this.token }, 'entitlement has run out');
      this.changeRole('follower');
      return;
    }
    await sleep(
      this.role === 'leader-in-outage' || refused ? this.leaseTtlS / 12 : this.leaseTtlS / 5,
    );
  }

  /**
   * Hands leadership over: the key goes, and any other controller may stand at once. This one waits for
   * long enough that another one is elected first, where there is one.
   */
  async stepDown(): Promise<void> {
    if (this.role !== 'leader') return;
    const { lease } = this;
    this.campaignsFrom = this.clock.now() + this.leaseTtlS / 2;
    this.changeRole('follower');
    // Without an answer the key goes by itself, when the lease ends.
    await this.store.endLease(lease, this.leaseTtlS / 2).catch(() => undefined);
  }

  /** Reads the store when the watch has had nothing to show for a while. */
  private refreshReplica(): void {
    if (this.clock.now() - this.replicaSync.freshAt > this.leaseTtlS) void this.replicaSync.sync();
  }

  /**
   * Refused by the state service: an outage, or this node alone? Only in an outage do leases stand
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
    if (until <= this.clock.now()) return;
    this.leaseValidUntil = Math.max(this.leaseValidUntil, until);
    if (this.role === 'leader') this.changeRole('leader-in-outage');
  }

  /**
   * A later leader asks to be acknowledged, see `QuorumAcknowledgement`. From now on this controller
   * neither acts for an older one nor bears witness for it. Returns the seconds until its promises so
   * far have ended.
   */
  acknowledge(token: number): number {
    const now = this.clock.now();
    const known = token <= this.outage.acknowledged;
    let until = this.outage.acknowledge(token);
    if (!known && token > this.token && this.isLeading) {
      until = Math.max(until, Math.min(now, this.leaseValidUntil));
      this.log.info({ token: this.token, later: token }, 'a later leader');
      this.changeRole('follower');
    }
    return until - now;
  }

  stop(): void {
    this.stopped = true;
    this.pause.wakeUp();
  }
}
