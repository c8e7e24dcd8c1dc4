/**
 * One of several controllers in simulated time. Its replica, heartbeat handler, outage quorum and leader are the
 * production classes. The election and the lease of the leader's key are simulated, since those of the program
 * depend on timers.
 */
import { CancellationBroadcast } from '../../src/cancellation/cancellation-broadcast.js';
import { CancellationQuorum } from '../../src/cancellation/cancellation-quorum.js';
import { CancellationTimes } from '../../src/cancellation/cancellation-times.js';
import type { CloudClient } from '../../src/cloud/client.js';
import type { Settings } from '../../src/config/settings.js';
import { HeartbeatHandler } from '../../src/heartbeat/heartbeat-handler.js';
import { LatencyHistograms } from '../../src/latency-histograms.js';
import type { DirectTransport } from '../../src/leader/attempts/direct-channels.js';
import { Leader } from '../../src/leader/leader.js';
import type { Election } from '../../src/leadership/election.js';
import { OutageQuorum } from '../../src/leadership/outage-quorum.js';
import { QuorumAcknowledgement } from '../../src/leadership/quorum-acknowledgement.js';
import { renewalAllowanceS } from '../../src/leadership/renewal-allowance.js';
import { SubstituteRenewals } from '../../src/leadership/substitute-renewals.js';
import { TermEntitlement, leaseEnd } from '../../src/leadership/term-entitlement.js';
import type { ZoneLeaseHolder, ZoneLeaseWatch } from '../../src/leadership/zone-lease.js';
import { DEFAULT_POLICY } from '../../src/operator/policy.js';
import type { Answer, ElectedAnswer, Question } from '../../src/peers/messages.js';
import type { PeerNetwork } from '../../src/peers/peer-network.js';
import {
  OutcomeUnknownError,
  RequestRejectedError,
  type KeyValueStoreClient,
} from '../../src/store/client.js';
import type { Replica } from '../../src/store/replica.js';
import type { ReplicaSync } from '../../src/store/replica-sync.js';
import { isStoredCancelled } from '../../src/store/stored-job.js';
import { TimeOfDay } from '../../src/time-of-day.js';
import type { ControlPlaneWorld } from './control-plane-world.js';
import { fake } from './fake.js';

/** How the key-value store answers one controller. */
export type StoreHealth = 'served' | 'refused' | 'silent';

/** TTL of the leader's key, in leases of a worker; see `Election`. */
export const LEADER_TTL_LEASES = 0.3;
/** Greatest number of batches that are written in one step. */
const MAX_BATCHES = 20;

/** Private members of a leader that timers drive in production and the simulation drives here. */
interface LeaderInternals {
  scheduleCycle(): void;
  log: { began(): void };
  runCycle(): void;
  writer: { writeBatch(): Promise<boolean> };
  capacity: { provisioner: { listedOnce: boolean } };
}

/** A term of leadership, as this controller sees it. */
interface SimulatedTerm {
  leader: Leader;
  token: number;
  entitlement: TermEntitlement;
  inOutage: boolean;
  acknowledged: QuorumAcknowledgement;
}

/** A controller process; `restart` replaces it by a new one with the same name. */
export class SimulatedController {
  alive = true;
  frozenUntil = -Infinity;
  /** How the store answers this controller; an outage of the store affects all of them. */
  ownStoreHealth: StoreHealth = 'served';
  /** Whether messages between this controller and the others arrive, in both directions. */
  peersReachable = true;
  /** Whether it is a candidate when there is no leader. */
  isCandidate = true;
  /** Controllers whose answers to this one are lost; requests to them arrive. */
  readonly answersLostFrom = new Set<string>();
  /** Its reads of the store are not answered, while its lease renewals are. */
  readsLost = false;
  /** It has detected that its zone is partitioned, and renews leases there. */
  aloneInZone = false;
  term: SimulatedTerm | null = null;
  replica!: Replica;
  handler!: HeartbeatHandler;
  private freshAt = -Infinity;
  private ready = false;
  private timeOfDay!: TimeOfDay;
  private rejectedSince: number | null = null;
  private outage!: OutageQuorum;
  private cancellations!: CancellationBroadcast;
  private quorum!: CancellationQuorum;
  private cancellationTimes!: CancellationTimes;
  private readonly leaderTtlS: number;
  private readonly allowanceS: number;

  constructor(
    private readonly world: ControlPlaneWorld,
    readonly settings: Settings,
  ) {
    const { workers } = settings;
    this.leaderTtlS = workers.lease_s * LEADER_TTL_LEASES;
    this.allowanceS = renewalAllowanceS(workers, this.leaderTtlS);
    this.restart();
  }

  /** Name of the controller. */
  get node(): string {
    return this.settings.node;
  }

  /** Whether the process is alive and not frozen. */
  get isRunning(): boolean {
    return this.alive && this.world.now >= this.frozenUntil;
  }

  /** How the store answers it now, with a general outage taken into account. */
  get storeHealth(): StoreHealth {
    if (this.ownStoreHealth === 'served' && this.world.storeOutage) return 'refused';
    return this.ownStoreHealth;
  }

  /** Crashes the process; its state in memory is lost. */
  kill(): void {
    this.endTerm();
    this.alive = false;
    this.ready = false;
  }

  /** Starts a new process with an empty replica. */
  restart(): void {
    const clock = { now: () => this.world.now };
    const { log } = this.world;
    this.endTerm();
    this.alive = true;
    this.frozenUntil = -Infinity;
    this.ready = false;
    this.freshAt = -Infinity;
    this.timeOfDay = new TimeOfDay({
      ...{ clock, wallMs: () => this.world.wallMs(), skewMs: this.settings.skewMs },
      leaseS: this.settings.workers.lease_s,
    });
    this.replica = this.world.store.emptyReplica();
    this.replica.listener = this.followerListener;
    this.cancellationTimes = new CancellationTimes(clock, this.settings.workers.cancel_s);
    this.cancellations = new CancellationBroadcast({
      settings: this.settings,
      zoneLeaseHolders: [],
      peers: this.peers,
      replica: this.replica,
      zoneLeases: fake<ZoneLeaseWatch>({}),
      clock,
    });
    this.outage = new OutageQuorum({
      ...{ controllerCount: this.settings.controllerCount, leaseTtlS: this.leaderTtlS, clock, log },
      allowanceS: this.allowanceS,
      store: this.storeClient(),
      replicaSync: this.replicaSync(),
      replica: this.replica,
      peers: () => this.peers,
      events: {
        onKnownCancelled: (ids) => this.noteCancellations(ids),
        cancelledSince: (revision) => this.cancellations.storedSince(revision),
      },
      leads: () => this.term !== null,
    });
    this.quorum = new CancellationQuorum({
      controllerCount: this.settings.controllerCount,
      peers: this.peers,
      replica: this.replica,
      clock,
      remainingWaitS: () => 0,
      retentionS: Infinity,
    });
    this.handler = this.makeHandler();
  }

  private makeHandler(): HeartbeatHandler {
    const storeHealth = (): StoreHealth => this.storeHealth;
    const isEntitled = (): boolean => this.isEntitled;
    const isAlone = (): boolean => this.aloneInZone;
    const { outage } = this;
    return new HeartbeatHandler({
      settings: this.settings,
      election: fake<Election>({
        outageQuorum: outage,
        get isEntitled() {
          return isEntitled();
        },
      }),
      store: fake<KeyValueStoreClient>({
        get health() {
          return storeHealth();
        },
      }),
      replica: this.replica,
      peers: this.peers,
      zoneLeaseHolder: fake<ZoneLeaseHolder>({
        get state() {
          return isAlone() ? 'alone' : 'present';
        },
        mayRenewLeases: isAlone,
        waitUntilMayRenew: () => Promise.resolve(isAlone()),
      }),
      zoneLeases: fake<ZoneLeaseWatch>({ holderOf: () => null }),
      isLate: () => false,
      leader: () => this.term?.leader ?? null,
      isKnownCancelled: (job) => this.cancellations.knows(job),
      hasUnreadCancellations: () => this.cancellations.hasUnread,
      clock: { now: () => this.world.now },
      log: this.world.log,
    });
  }

  private replicaSync(): ReplicaSync {
    const ready = (): boolean => this.ready;
    const freshAt = (): number => this.freshAt;
    return fake<ReplicaSync>({
      get ready() {
        return ready();
      },
      get freshAt() {
        return freshAt();
      },
    });
  }

  /** A store client with the health that this controller sees. */
  private storeClient(): KeyValueStoreClient {
    const { store } = this.world;
    const rejectedSince = (): number | null => this.rejectedSince;
    const ifServed = async <T>(answer: () => Promise<T>): Promise<T> => {
      const health = this.storeHealth;
      if (health === 'refused') {
        this.rejectedSince ??= this.world.now;
        throw new RequestRejectedError(503);
      }
      if (health === 'silent') throw new OutcomeUnknownError('cut off');
      return answer();
    };
    return fake<KeyValueStoreClient>({
      operationsPerTransaction: store.operationsPerTransaction,
      writeBudget: store.writeBudget,
      get rejectedSince() {
        return rejectedSince();
      },
      get: (key: string) => ifServed(() => store.get(key)),
      compareAndSwap: (...args: Parameters<KeyValueStoreClient['compareAndSwap']>) =>
        ifServed(() => store.compareAndSwap(args[0], args[1])),
    });
  }

  private readonly peers = fake<PeerNetwork>({
    peerNames: [],
    ask: (node: string, question: Question) => this.ask(node, question),
  });

  /** Sets the names of the other controllers. */
  connect(names: readonly string[]): void {
    Object.assign(this.peers, { peerNames: names.filter((name) => name !== this.node) });
  }

  private async ask(node: string, question: Question): Promise<Answer | null> {
    const other = this.world.controller(node);
    if (!other.isRunning || !other.peersReachable || !this.peersReachable) return null;
    const answer = await other.answer(question);
    return this.answersLostFrom.has(node) ? null : answer;
  }

  private async answer(question: Question): Promise<Answer | null> {
    switch (question.q) {
      case 'report':
        return { ...((await this.handler.handleForwarded(question.body, question.hop)) ?? {}) };
      case 'refused':
        return this.outage.answer(question.token, question.forMs, question.applied);
      case 'cancelled':
        this.noteCancellations([question.job]);
        return { noted: true };
      case 'elected':
        return { remainsS: this.acknowledge(question.token) };
      default:
        return {};
    }
  }

  /** Delivers direct commands through the simulated network. */
  private readonly directTransport: DirectTransport = {
    channelTo: ({ id }) => ({
      send: ({ token, agentEpoch, commands }) => {
        const heartbeat = this.world.takeDirect(id, token, agentEpoch, commands);
        return Promise.resolve({ outcome: heartbeat === null ? 'unknown' : 'done', heartbeat });
      },
    }),
    closeChannel: () => undefined,
    stop: () => undefined,
  };

  private readonly followerListener: Replica['listener'] = {
    onCancelled: ({ claimCount, spec }) => {
      if (claimCount > 0) this.cancellationTimes.note(spec.id);
    },
  };

  private noteCancellations(ids: readonly string[]): void {
    for (const id of ids) {
      this.cancellations.noteStored(id);
      this.cancellationTimes.note(id);
      this.term?.leader.onCancellationStored(id);
    }
  }

  private acknowledge(token: number): number {
    if (this.term !== null && token > this.term.token) this.endTerm();
    return this.outage.acknowledge(token) - this.world.now;
  }

  /** Whether its replica shows the job as cancelled. */
  knowsCancelled(id: string): boolean {
    return isStoredCancelled(this.replica.jobs.get(id));
  }

  /** Whether this controller may now confirm to a user that a job is cancelled. */
  async confirmsCancellation(id: string): Promise<boolean> {
    const storedJob = this.replica.jobs.get(id);
    if (!this.isRunning || !this.ready || this.storeHealth !== 'served') return false;
    if (this.readsLost || storedJob === undefined || !this.knowsCancelled(id)) return false;
    return this.quorum.confirm(storedJob, id);
  }

  /** Whether it may act as the leader now. */
  get isEntitled(): boolean {
    const { term } = this;
    if (term === null || term.entitlement.hasLapsed) return false;
    return term.inOutage || this.world.now < this.freshAt + this.allowanceS;
  }

  /** One simulation step: reads the store, campaigns or renews its term, and runs the leader if it has one. */
  async step(): Promise<void> {
    if (!this.isRunning) return;
    this.syncReplica();
    if (this.term === null) this.campaign();
    else await this.continueTerm();
    await this.runLeader();
  }

  private syncReplica(): void {
    if (this.storeHealth !== 'served') {
      if (this.storeHealth === 'refused') this.rejectedSince ??= this.world.now;
      return;
    }
    this.rejectedSince = null;
    if (this.readsLost) return;
    if (this.ready) this.world.store.replayInto(this.replica);
    else this.world.store.listInto(this.replica);
    this.ready = true;
    this.freshAt = this.world.now;
    const known = this.replica.leader;
    if (
      known !== null &&
      known.node !== this.node &&
      known.revision > this.outage.acknowledgedToken
    )
      this.acknowledge(known.revision);
  }

  private campaign(): void {
    if (!this.isCandidate || !this.ready || this.storeHealth !== 'served') return;
    if (this.world.now < this.outage.promisedUntil) return;
    const { leader } = this.replica;
    if (leader !== null && leader.node !== this.node) return;
    const token = this.world.acquireLeaderKey(this.node, this.leaderTtlS);
    this.world.store.replayInto(this.replica);
    this.beginTerm(token);
  }

  private beginTerm(token: number): void {
    const clock = { now: () => this.world.now };
    const { controllerCount } = this.settings;
    const acknowledged = new QuorumAcknowledgement(token, controllerCount, clock);
    const renewals = new SubstituteRenewals({
      ...{ acknowledged, controllerCount, clock },
      names: () => this.peers.peerNames,
      requestAcknowledgement: (node) => this.requestAcknowledgement(node, token),
    });
    const leader = new Leader(
      {
        ...{ settings: this.settings, clock, log: this.world.log, policy: DEFAULT_POLICY, token },
        timeOfDay: this.timeOfDay,
        replica: this.replica,
        incarnation: this.node,
        allReadDenseRecords: () => true,
        isEntitled: () => this.isEntitled && this.term?.token === token,
        canWrite: () => this.isEntitled && this.term?.token === token && !this.term.inOutage,
        substituteRenewal: () => renewals.known,
        requestSubstituteProof: () => void renewals.request(),
        zoneRenewal: () => ({ renewedUntil: -Infinity, provenUntil: Infinity }),
        requestZoneProof: () => undefined,
        cancellationKnownAt: (job) => this.cancellationTimes.of(job),
      },
      {
        store: this.storeClient(),
        cloud: fake<CloudClient>({ listMachines: () => Promise.resolve([]) }),
        onLeadershipLost: () => this.endTerm(),
        latencies: new LatencyHistograms(clock.now),
        directTransport: this.directTransport,
      },
    );
    const parts = leader as unknown as LeaderInternals;
    parts.scheduleCycle = () => undefined;
    parts.capacity.provisioner.listedOnce = true;
    this.replica.listener = {
      onReady: (storedJob) => leader.onReady(storedJob),
      onCancelled: (storedJob) => {
        this.followerListener.onCancelled?.(storedJob);
        leader.onCancelled(storedJob);
      },
    };
    const entitlement = new TermEntitlement(clock, leaseEnd(clock.now(), this.leaderTtlS));
    this.term = { leader, token, entitlement, inOutage: false, acknowledged };
    parts.log.began();
  }

  private endTerm(): void {
    if (this.term === null) return;
    this.outage.recordRenewals(Math.min(this.world.now, this.term.entitlement.validUntil));
    this.term = null;
    this.replica.listener = this.followerListener;
  }

  private async continueTerm(): Promise<void> {
    const term = this.term!;
    await this.collectAcknowledgements(term);
    const { now } = this.world;
    const health = this.storeHealth;
    if (health === 'served') {
      if (!this.world.renewLeaderKey(term.token, this.leaderTtlS)) return this.endTerm();
      if (term.entitlement.extend(leaseEnd(now, this.leaderTtlS))) term.inOutage = false;
    }
    if (health === 'refused') await this.continueInOutage(term);
    if (this.isEntitled) return;
    if (health === 'served') this.world.removeLeaderKey(term.token);
    this.endTerm();
  }

  private async requestAcknowledgement(node: string, token: number): Promise<ElectedAnswer | null> {
    return (await this.ask(node, { q: 'elected', token })) as ElectedAnswer | null;
  }

  private async collectAcknowledgements(term: SimulatedTerm): Promise<void> {
    for (const node of this.peers.peerNames) {
      if (term.acknowledged.has(node)) continue;
      const remainsS = (await this.requestAcknowledgement(node, term.token))?.remainsS;
      if (remainsS !== undefined) term.acknowledged.record(node, { remainsS });
    }
  }

  private async continueInOutage(term: SimulatedTerm): Promise<void> {
    const forS = this.leaderTtlS / 2;
    const askedAt = this.world.now;
    if (this.outage.acknowledgedToken > term.token) return;
    const majority = await this.outage.confirmOutage(term.token, forS);
    if (majority === null || this.outage.acknowledgedToken > term.token) return;
    const until = Math.min(askedAt + forS, this.outage.renewalBound(majority));
    if (until <= this.world.now) return;
    if (term.entitlement.extend(until)) term.inOutage = true;
  }

  private async runLeader(): Promise<void> {
    const { term } = this;
    if (term === null || !this.isEntitled) return;
    const parts = term.leader as unknown as LeaderInternals;
    parts.runCycle();
    // Writes stay pending while the store does not serve: the writer would wait for it in real time.
    for (let i = 0; i < MAX_BATCHES && this.storeHealth === 'served' && !term.inOutage; i++) {
      if (!(await parts.writer.writeBatch())) break;
    }
    if (this.term === term) term.leader.tick();
  }
}
