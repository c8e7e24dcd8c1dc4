import { random } from '../random.js';
import { DRIFT, Pause, sleep, type Clock } from '../clock.js';
import type { Log } from '../log.js';
import { RequestRejectedError, type KeyValueStoreClient } from '../store/client.js';
import type { ReplicaSync } from '../store/replica-sync.js';
import type { Replica } from '../store/replica.js';
import * as records from '../store/records.js';
import type { PeerNet } from '../peers/net.js';
import { OutageQuorum, type OutageEvents } from './outage.js';
import { renewalAllowanceS, type WorkerTimes } from './renewal.js';

/**
 * Who leads. The leader's key hangs on a lease; its revision is the token, so tokens only rise.
 *
 *   following -> standing -> leading <-> continuing -> following
 *
 * `leading`: entitled by the lease. `continuing`: the state service refuses this node, and a majority
 * of controllers (this one among them) has just been refused too, which only an outage does; leases
 * stand still in one. Whatever the state, `entitled` is what counts for every answer and command.
 */
export type Role = 'following' | 'standing' | 'leading' | 'continuing';

/** A late controller leaves leadership to a fitter one for so many lives of the leader's lease, at most. */
const GIVE_WAY_LIVES = 0.5;
/** It looks so many times in that life whether it still has to. */
const GIVE_WAY_LOOKS = 20;

const ALLOWED: Record<Role, Role[]> = {
  following: ['standing'],
  standing: ['leading', 'following'],
  leading: ['continuing', 'following'],
  continuing: ['leading', 'following'],
};

export interface ElectionEvents extends OutageEvents {
  onElected(token: number): void;
  onDeposed(): void;
}

export class Election {
  role: Role = 'following';
  token = 0;
  private lease = 0;
  /** How often this process has stood. */
  private attempts = 0;
  private validUntil = -Infinity;
  /**
   * Since when this controller might stand, in seconds of the clock: nobody leads, or by the store only a
   * former process of its own. Null: it might not.
   */
  private vacantSince: number | null = null;
  /** It has handed over, and does not stand before. */
  private standsFrom = -Infinity;
  /** Tells outages from refusals of this controller alone. */
  readonly outage: OutageQuorum;
  private stopped = false;
  private readonly pause = new Pause();
  readonly lifeS: number;
  /** Seconds for which leases may be renewed after the last proof of knowing every cancellation. */
  private readonly allowanceS: number;

  constructor(
    private readonly node: string,
    private readonly incarnation: string,
    nodes: number,
    workers: WorkerTimes,
    private readonly state: KeyValueStoreClient,
    private readonly follower: ReplicaSync,
    private readonly replica: Replica,
    peers: () => PeerNet,
    private readonly clock: Clock,
    private readonly log: Log,
    private readonly events: ElectionEvents,
    /** This controller is late, and another one that could be elected is fitter. */
    private readonly fitterCanStand: () => boolean = () => false,
  ) {
    // A third of the workers' lease: the successor has two thirds to reach them all.
    this.lifeS = workers.lease_s * 0.3;
    this.allowanceS = renewalAllowanceS(workers, this.lifeS);
    const { lifeS, allowanceS } = this;
    this.outage = new OutageQuorum({
      nodes, lifeS, allowanceS, state, follower, replica, peers, clock, log, events,
      leads: () => this.leads,
    }); // prettier-ignore
  }

  private become(role: Role): void {
    if (role === this.role) return;
    if (!ALLOWED[this.role].includes(role)) throw new Error(`${this.role} -> ${role}`);
    this.log.info({ from: this.role, to: role, token: this.token }, 'role');
    const led = this.leads;
    this.role = role;
    if (role === 'leading') this.vacantSince = null;
    if (role === 'following' && led) {
      this.validUntil = -Infinity;
      this.state.setRole('follower');
      this.events.onDeposed();
    }
  }

  private get leads(): boolean {
    return this.role === 'leading' || this.role === 'continuing';
  }

  /** Whether this node may act for the controllers at this moment. */
  get entitled(): boolean {
    if (!this.leads) return false;
    return this.clock.now() < this.actsUntil;
  }

  /**
   * A leader whose lease is renewed but whose reads are not answered hears of no cancellation: it
   * must stop renewing workers' leases in time. In an outage `validUntil` counts with this already.
   */
  private get actsUntil(): number {
    if (this.role === 'continuing') return this.validUntil;
    return Math.min(this.validUntil, this.follower.freshAt + this.allowanceS);
  }

  /** Entitled, and commits can be expected to go through. */
  get writing(): boolean {
    return this.role === 'leading' && this.entitled;
  }

  nudge(): void {
    this.pause.end();
  }

  async run(): Promise<void> {
    while (!this.stopped) {
      try {
        if (this.role === 'following') await this.followStep();
        else await this.leadStep();
      } catch (e) {
        this.log.debug({ err: String(e), role: this.role }, 'election step failed');
        if (this.role === 'standing') this.become('following');
        await sleep(0.2);
      }
    }
  }

  private async followStep(): Promise<void> {
    const leader = this.replica.leader;
    if (!this.follower.ready) {
      await sleep(0.05);
      return;
    }
    if (this.clock.now() < Math.max(this.outage.promisedUntil, this.standsFrom)) {
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
    if (this.givesWay()) {
      await this.pause.wait(this.lifeS / GIVE_WAY_LOOKS);
      return;
    }
    if (!mine) {
      // Apart from one another, so that a single node stands as a rule.
      await sleep(random() * 0.05 * this.lifeS);
      if (this.replica.leader !== null) return;
    }
    this.become('standing');
    const won = await this.stand(leader?.revision ?? 0);
    if (!won) {
      this.become('following');
      await sleep(0.1 + random() * 0.2);
    }
  }

  /**
   * Whether to let a fitter controller be elected first. Not for long: that one may have ended, and
   * somebody has to stand.
   */
  private givesWay(): boolean {
    const now = this.clock.now();
    this.vacantSince ??= now;
    if (now - this.vacantSince >= this.lifeS * GIVE_WAY_LIVES) return false;
    return this.fitterCanStand();
  }

  private async stand(guard: number): Promise<boolean> {
    const grantSentAt = this.clock.now();
    const lease = await this.state.grantLease(this.lifeS, 1);
    // An earlier attempt's key may turn up late. It hangs on that one's lease, which nobody renews.
    const incarnation = `${this.incarnation}/${++this.attempts}`;
    let token = 0;
    try {
      const r = await this.state.compareAndSwap(
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
      if (!r.ok) return false;
      token = r.revision;
    } catch (e) {
      if (e instanceof RequestRejectedError) return false;
      // Not answered: read it back.
      const item = await this.state.get(records.LEADER, 1);
      if (item === null || records.decodeLeader(item.value).incarnation !== incarnation) {
        return false;
      }
      token = item.revision;
    }
    this.lease = lease;
    this.token = token;
    this.validUntil = this.until(grantSentAt);
    this.state.setRole('leader');
    // Everything that former leaders stored must be in the picture before anything is decided.
    while (this.replica.applied < token || this.follower.freshAt < grantSentAt) {
      if (this.stopped || this.clock.now() >= this.validUntil) {
        this.state.setRole('follower');
        return false;
      }
      if (!(await this.follower.sync())) await sleep(0.05);
    }
    // Stopped while it was being elected: it would lead on with nobody to stop it again.
    if (this.stopped) return false;
    this.become('leading');
    this.events.onElected(token);
    return true;
  }

  /** The lease ends a life after its renewal was carried out, which is no earlier than it was sent. */
  private until(sentAt: number): number {
    return sentAt + this.lifeS * (1 - 2 * DRIFT) - 0.02;
  }

  private async leadStep(): Promise<void> {
    const sentAt = this.clock.now();
    const left = this.validUntil - sentAt;
    let refused = false;
    try {
      if (await this.state.keepLeaseAlive(this.lease, Math.max(0.3, Math.min(1, left / 2)))) {
        this.validUntil = Math.max(this.validUntil, this.until(sentAt));
        if (this.role === 'continuing') this.become('leading');
        this.refresh();
      } else {
        this.log.info({ token: this.token }, 'lease has ended');
        this.become('following');
        return;
      }
    } catch (e) {
      refused = e instanceof RequestRejectedError && e.status === 503;
      this.log.debug({ err: String(e), left }, 'lease not renewed');
    }
    const l = this.replica.leader;
    if (l !== null && l.revision > this.token) {
      this.become('following');
      return;
    }
    if (refused) await this.continueInOutage(sentAt);
    if (this.clock.now() >= this.actsUntil) {
      this.log.info({ token: this.token }, 'entitlement has run out');
      this.become('following');
      return;
    }
    await sleep(this.role === 'continuing' || refused ? this.lifeS / 12 : this.lifeS / 5);
  }

  /**
   * Hands leadership over: the key goes, and any other controller may stand at once. This one waits for
   * long enough that another one is elected first, where there is one.
   */
  async resign(): Promise<void> {
    if (this.role !== 'leading') return;
    const { lease } = this;
    this.standsFrom = this.clock.now() + this.lifeS / 2;
    this.become('following');
    // Without an answer the key goes by itself, when the lease ends.
    await this.state.endLease(lease, this.lifeS / 2).catch(() => undefined);
  }

  /** Reads the store when the watch has had nothing to show for a while. */
  private refresh(): void {
    if (this.clock.now() - this.follower.freshAt > this.lifeS) void this.follower.sync();
  }

  /**
   * Refused by the state service: an outage, or this node alone? Only in an outage do leases stand
   * still. A node that is served says so, and then this one yields when its time is up.
   */
  private async continueInOutage(askedAt: number): Promise<void> {
    const forS = this.lifeS / 2;
    if (this.outage.acknowledged > this.token) return;
    const majority = await this.outage.majorityRefused(this.token, forS);
    if (majority === null || this.outage.acknowledged > this.token) return;
    // The promises count from when they were given, which is after the question was sent.
    const until = Math.min(askedAt + forS * (1 - 2 * DRIFT), this.outage.bound(majority));
    if (until <= this.clock.now()) return;
    this.validUntil = Math.max(this.validUntil, until);
    if (this.role === 'leading') this.become('continuing');
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
    if (!known && token > this.token && this.leads) {
      until = Math.max(until, Math.min(now, this.validUntil));
      this.log.info({ token: this.token, later: token }, 'a later leader');
      this.become('following');
    }
    return until - now;
  }

  stop(): void {
    this.stopped = true;
    this.pause.end();
  }
}
