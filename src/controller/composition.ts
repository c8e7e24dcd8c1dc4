/** The composition root: builds the parts of a controller and connects them. */

import { HealthTable } from '../admission/controller-health.js';
import { LeadershipTransfer } from '../admission/leadership-transfer.js';
import { Overload } from '../admission/overload.js';
import { RequestQueue } from '../admission/request-queue.js';
import type { RequestForwarder } from '../api/request-forwarder.js';
import { CancellationBroadcast } from '../cancellation/cancellation-broadcast.js';
import { CancellationTimes } from '../cancellation/cancellation-times.js';
import type { Clock } from '../clock.js';
import { CloudClient } from '../cloud/client.js';
import type { Settings } from '../config/settings.js';
import { HeartbeatHandler } from '../heartbeat/heartbeat-handler.js';
import { HttpServer } from '../http/server.js';
import { LatencyHistograms } from '../latency-histograms.js';
import { Election } from '../leadership/election.js';
import { LeaderAcknowledgements } from '../leadership/leader-acknowledgements.js';
import { ZoneLeaseHolder, ZoneLeaseWatch, zoneLeaseHolders } from '../leadership/zone-lease.js';
import type { Log } from '../log.js';
import type { Policy } from '../operator/policy.js';
import { PeerNetwork } from '../peers/peer-network.js';
import { uniqueName } from '../random.js';
import { KeyValueStoreClient } from '../store/client.js';
import type { FeaturesFileRecord } from '../store/records.js';
import { ReplicaSync } from '../store/replica-sync.js';
import { Replica } from '../store/replica.js';
import type { Subsystem } from '../subsystems/subsystem.js';
import type { TimeOfDay } from '../time-of-day.js';
import { ControllerVersions } from './controller-versions.js';
import { HttpRouter, type HttpRouterOptions } from './http-router.js';
import { MachineTypeCache } from './machine-type-cache.js';
import { PeerQuestionHandler } from './peer-question-handler.js';
import { makeRequestForwarder } from './request-path.js';
import { TermRunner } from './term-runner.js';

/**
 * Heartbeats to be forwarded are collected for this share of a heartbeat interval, so that a controller that
 * does not lead writes, and the leader reads, a batch of them at once.
 */
const BATCHING_DELAY_SHARE = 0.1;
/** Share of the sockets that is for users and workers. */
const SERVER_SOCKET_SHARE = 0.6;
/** Pause between two reads of the store's changes, for the leader and for other controllers. */
const LEADER_WATCH_PAUSE_S = 0.01;
const FOLLOWER_WATCH_PAUSE_S = 0.15;
/**
 * The minimum time between two synchronising reads is the smaller of `MAX_READ_GAP_S` and the time that
 * `READ_GAP_REQUESTS` requests of each controller take at the store's rate limit.
 */
const MAX_READ_GAP_S = 0.1;
const READ_GAP_REQUESTS = 3;
/** Time-outs of a connection for receiving a request and for staying idle. */
const READ_TIMEOUT_S = 5;
const IDLE_TIMEOUT_S = 120;

/** Options of a `Composition`. */
export interface CompositionOptions {
  settings: Settings;
  policy: Policy;
  log: Log;
  clock: Clock;
  /** This process's time of day. */
  timeOfDay: TimeOfDay;
  subsystems: readonly Subsystem[];
  /** The record of this controller's features file; undefined: it has none. */
  featuresFile: FeaturesFileRecord | undefined;
  /** Views for operators. */
  views: Pick<HttpRouterOptions, 'metrics' | 'subsystemView'>;
}

/** All parts of a controller, not started yet. */
export class Composition {
  readonly incarnation: string;
  readonly overload = new Overload();
  readonly latencies: LatencyHistograms;
  readonly requests: RequestQueue;
  readonly health: HealthTable;
  readonly store: KeyValueStoreClient;
  readonly replica: Replica;
  readonly cancellationTimes: CancellationTimes;
  readonly terms: TermRunner;
  readonly replicaSync: ReplicaSync;
  readonly cloud: CloudClient;
  readonly machineTypes: MachineTypeCache;
  readonly peers: PeerNetwork;
  readonly election: Election;
  readonly acknowledgements: LeaderAcknowledgements;
  readonly versions: ControllerVersions;
  readonly leadershipTransfer: LeadershipTransfer;
  readonly zoneLeases: ZoneLeaseWatch;
  /** Null: this controller is not the only one of its zone, or there is only one zone. */
  readonly zoneLeaseHolder: ZoneLeaseHolder | null;
  readonly cancellations: CancellationBroadcast;
  readonly heartbeats: HeartbeatHandler;
  readonly forwarder: RequestForwarder;
  readonly server: HttpServer;
  private readonly questionHandler: PeerQuestionHandler;

  constructor(private readonly options: CompositionOptions) {
    const { settings, clock } = options;
    // Unique for each process: names of scale-out requests and of stored batches begin with it.
    this.incarnation = `${settings.node}-${uniqueName()}`;
    this.latencies = new LatencyHistograms(() => clock.now());
    this.requests = this.makeRequestQueue();
    this.health = this.makeHealthTable();
    this.store = new KeyValueStoreClient(settings, clock);
    this.replica = new Replica(Math.floor(settings.progressValueKb * 1024));
    this.replicaSync = this.makeReplicaSync();
    this.cloud = new CloudClient(settings, clock);
    this.cancellationTimes = new CancellationTimes(clock, settings.workers.cancel_s);
    this.terms = this.makeTermRunner();
    this.machineTypes = this.makeMachineTypeCache();
    this.election = this.makeElection();
    this.acknowledgements = this.makeAcknowledgements();
    this.peers = this.makePeerNetwork();
    this.versions = this.makeVersions();
    this.leadershipTransfer = this.makeLeadershipTransfer();
    const holders = zoneLeaseHolders([settings, ...settings.peers]);
    this.zoneLeases = this.makeZoneLeaseWatch(holders);
    this.zoneLeaseHolder =
      holders.get(settings.zone) === settings.node ? this.makeZoneLeaseHolder() : null;
    this.cancellations = this.makeCancellationBroadcast(holders);
    this.heartbeats = this.makeHeartbeatHandler();
    this.forwarder = makeRequestForwarder({ ...options, ...this.requestPathParts() });
    this.questionHandler = this.makeQuestionHandler();
    this.server = this.makeServer();
    this.listenToReplica();
  }

  /** Called with cancellations that are stored, as another controller reports. */
  private onCancellationsStored(ids: string[]): void {
    for (const id of ids) {
      this.cancellations.noteStored(id);
      this.cancellationTimes.note(id);
      this.terms.leader?.onCancellationStored(id);
    }
  }

  private listenToReplica(): void {
    this.replica.listener = {
      onReady: (storedJob) => this.terms.leader?.onReady(storedJob),
      onCancelled: (storedJob) => {
        // A job without claims in machine records has no task that could outlast its cancellation.
        if (storedJob.claimCount > 0) this.cancellationTimes.note(storedJob.spec.id);
        this.terms.leader?.onCancelled(storedJob);
      },
      onLeaderChange: () => {
        this.logLeader();
        this.election.wake();
        void this.acknowledgements.acknowledgeLeader();
      },
      onAcknowledgement: (node, record) => this.acknowledgements.recordStored(node, record),
      onPresenceChange: (node) => this.zoneLeases.keyChanged(node),
    };
  }

  private logLeader(): void {
    const { leader, applied } = this.replica;
    this.options.log.info(
      { leader: leader?.node ?? null, token: leader?.revision ?? null, revision: applied },
      'leader read from the store',
    );
  }

  private requestPathParts(): Pick<
    Composition,
    'incarnation' | 'store' | 'replica' | 'replicaSync' | 'peers' | 'cancellations' | 'versions'
  > & { knownTypes: () => MachineTypeCache['known'] } {
    const { incarnation, store, replica, replicaSync, peers, cancellations, versions } = this;
    const knownTypes = (): MachineTypeCache['known'] => this.machineTypes.known;
    return {
      ...{ incarnation, store, replica, replicaSync, peers, cancellations, versions },
      knownTypes,
    };
  }

  private makeRequestQueue(): RequestQueue {
    const { settings, clock, log } = this.options;
    return new RequestQueue({
      clock,
      leaseS: settings.workers.lease_s,
      capacity: settings.limits.sockets,
      overload: this.overload,
      onError: (error) => log.error({ err: error }, 'serving requests failed'),
    });
  }

  private makeHealthTable(): HealthTable {
    const { settings, clock } = this.options;
    return new HealthTable({
      clock,
      heartbeatIntervalS: settings.workers.report_s,
      own: () => ({
        latenessS: this.overload.latenessS,
        served: this.forwarder.isServed,
        relayS: this.heartbeats.forwardingDelay.meanS,
      }),
    });
  }

  private makeReplicaSync(): ReplicaSync {
    const { settings, clock, log } = this.options;
    return new ReplicaSync({
      store: this.store,
      replica: this.replica,
      clock,
      log,
      pauseS: () => (this.terms.leader === null ? FOLLOWER_WATCH_PAUSE_S : LEADER_WATCH_PAUSE_S),
      minSyncIntervalS: Math.min(
        MAX_READ_GAP_S,
        (READ_GAP_REQUESTS * settings.controllerCount) / settings.state.rps,
      ),
    });
  }

  private makeTermRunner(): TermRunner {
    return new TermRunner({
      ...this.options,
      incarnation: this.incarnation,
      store: this.store,
      replica: this.replica,
      replicaSync: this.replicaSync,
      cloud: this.cloud,
      cancellationTimes: this.cancellationTimes,
      latencies: this.latencies,
      overload: this.overload,
      election: () => this.election,
      acknowledgements: () => this.acknowledgements,
      zoneLeases: () => this.zoneLeases,
      versions: () => this.versions,
      machineTypes: () => this.machineTypes,
    });
  }

  private makeMachineTypeCache(): MachineTypeCache {
    return new MachineTypeCache({
      cloud: this.cloud,
      replicaSync: this.replicaSync,
      replica: this.replica,
      leader: () => this.terms.leader,
      log: this.options.log,
    });
  }

  private makeElection(): Election {
    const { settings, clock, log } = this.options;
    return new Election({
      node: settings.node,
      incarnation: this.incarnation,
      controllerCount: settings.controllerCount,
      workers: settings.workers,
      store: this.store,
      replicaSync: this.replicaSync,
      replica: this.replica,
      peers: () => this.peers,
      clock,
      log,
      events: {
        onElected: (token) => this.terms.begin(token),
        onDeposed: () => this.terms.end(),
        onKnownCancelled: (ids) => this.onCancellationsStored(ids),
        cancelledSince: (revision) => this.cancellations.storedSince(revision),
      },
      healthierCanCampaign: () => this.overload.isLate && this.health.findHealthier() !== null,
    });
  }

  private makeAcknowledgements(): LeaderAcknowledgements {
    const { settings, clock, log } = this.options;
    const { election, store, replica } = this;
    const peers = (): PeerNetwork => this.peers;
    return new LeaderAcknowledgements({ settings, election, peers, store, replica, clock, log });
  }

  private makePeerNetwork(): PeerNetwork {
    const { settings, log } = this.options;
    return new PeerNetwork({
      self: settings.node,
      peers: settings.peers,
      handler: (_from, question) => this.questionHandler.answer(question),
      log,
      maxPending: settings.limits.sockets,
      health: this.health,
      batchingDelayS: settings.workers.report_s * BATCHING_DELAY_SHARE,
    });
  }

  private makeVersions(): ControllerVersions {
    const { settings, clock, log, featuresFile } = this.options;
    return new ControllerVersions({
      node: settings.node,
      others: settings.peers.map((peer) => peer.node),
      leaseS: settings.workers.lease_s,
      replica: this.replica,
      peers: () => this.peers,
      health: this.health,
      store: this.store,
      replicaSync: this.replicaSync,
      clock,
      log,
      ...(featuresFile === undefined ? {} : { featuresFile }),
    });
  }

  private makeLeadershipTransfer(): LeadershipTransfer {
    const { settings, clock, log } = this.options;
    return new LeadershipTransfer({
      overload: this.overload,
      health: this.health,
      clock,
      log,
      leaseS: settings.workers.lease_s,
      isLeader: () => this.election.canWrite,
      electedAt: () => this.terms.leader?.term.startedAt ?? clock.now(),
      stepDown: () => this.election.stepDown(),
    });
  }

  private makeZoneLeaseWatch(holderByZone: Map<string, string>): ZoneLeaseWatch {
    const { settings, clock } = this.options;
    const { replica, replicaSync, store } = this;
    const leaseS = settings.workers.lease_s;
    return new ZoneLeaseWatch({ holderByZone, leaseS, replica, replicaSync, store, clock });
  }

  private makeZoneLeaseHolder(): ZoneLeaseHolder {
    const { settings, clock, log } = this.options;
    return new ZoneLeaseHolder({
      node: settings.node,
      incarnation: this.incarnation,
      leaseS: settings.workers.lease_s,
      store: this.store,
      replicaSync: this.replicaSync,
      replica: this.replica,
      peers: () => this.peers,
      clock,
      log,
    });
  }

  private makeCancellationBroadcast(holders: Map<string, string>): CancellationBroadcast {
    const { settings, clock } = this.options;
    const { peers, replica, zoneLeases } = this;
    return new CancellationBroadcast({
      ...{ settings, peers, replica, zoneLeases, clock },
      zoneLeaseHolders: [...holders],
    });
  }

  private makeHeartbeatHandler(): HeartbeatHandler {
    const { settings, clock, log } = this.options;
    return new HeartbeatHandler({
      settings,
      election: this.election,
      store: this.store,
      replica: this.replica,
      peers: this.peers,
      zoneLeaseHolder: this.zoneLeaseHolder,
      zoneLeases: this.zoneLeases,
      isLate: (node) => this.health.isLate(node),
      leader: () => this.terms.leader,
      isKnownCancelled: (job) => this.cancellations.knows(job),
      hasUnreadCancellations: () => this.cancellations.hasUnread,
      clock,
      log,
    });
  }

  private makeQuestionHandler(): PeerQuestionHandler {
    return new PeerQuestionHandler({
      requests: this.requests,
      latencies: this.latencies,
      heartbeats: this.heartbeats,
      forwarder: this.forwarder,
      election: this.election,
      acknowledgements: this.acknowledgements,
      cancellations: this.cancellations,
      onCancellationsStored: (ids) => this.onCancellationsStored(ids),
    });
  }

  private makeServer(): HttpServer {
    const { settings, clock, log, views } = this.options;
    const router = new HttpRouter({
      clock,
      latencies: this.latencies,
      requests: this.requests,
      heartbeats: this.heartbeats,
      forwarder: this.forwarder,
      isLeader: () => this.terms.leader !== null,
      ...views,
    });
    const limits = {
      sockets: Math.floor(settings.limits.sockets * SERVER_SOCKET_SHARE),
      readS: READ_TIMEOUT_S,
      idleS: IDLE_TIMEOUT_S,
    };
    return new HttpServer(
      (message) => router.handle(message),
      limits,
      () => clock.now(),
      (error) => log.error({ err: error }, 'request failed'),
    );
  }
}
