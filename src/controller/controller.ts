import { uniqueName } from '../random.js';
import { CloudClient } from '../cloud/client.js';
import { Election, ROLE_IN_METRICS } from '../leadership/election.js';
import { PeerNetwork } from '../peers/peer-network.js';
import { ZoneLeaseHolder, ZoneLeaseWatch, zoneLeaseHolders } from '../leadership/zone-lease.js';
import { steadyClock, type Clock } from '../clock.js';
import type { Settings } from '../config/settings.js';
import { HttpServer, type Reply } from '../http/server.js';
import type { Log } from '../log.js';
import type { Policy } from '../operator/policy.js';
import type { FeaturesFileRecord } from '../store/records.js';
import type { Subsystem } from '../subsystems/subsystem.js';
import { KeyValueStoreClient } from '../store/client.js';
import { ReplicaSync } from '../store/replica-sync.js';
import { RequestWriter } from '../store/request-writer.js';
import { Replica } from '../store/replica.js';
import { LeaderAcknowledgements } from '../leadership/leader-acknowledgements.js';
import { LatencyHistograms } from '../latency-histograms.js';
import { RequestForwarder } from '../api/request-forwarder.js';
import { CancellationBroadcast } from '../cancellation/cancellation-broadcast.js';
import { CancellationQuorum } from '../cancellation/cancellation-quorum.js';
import { Leader } from '../leader/leader.js';
import { HealthTable } from '../admission/controller-health.js';
import { LeadershipTransfer } from '../admission/leadership-transfer.js';
import { Overload } from '../admission/overload.js';
import { HeartbeatHandler } from '../heartbeat/heartbeat-handler.js';
import { RequestQueue } from '../admission/request-queue.js';
import { UserApi } from '../api/user-api.js';
import { UNAVAILABLE, HttpRouter } from './http-router.js';
import { LoadLog, type LoadSources } from './load-log.js';
import { MachineTypeCache } from './machine-type-cache.js';
import { pipelineStatistics } from './pipeline-statistics.js';
import { PeerQuestionHandler } from './peer-question-handler.js';
import { ControllerVersions } from './controller-versions.js';

/** Jobs that are over stay whole in memory for so many leases after their acceptance. */
const TRIM_LEASES = 60;
/**
 * Reports that are passed on wait for others for this share of a report interval: a controller that does
 * not lead then writes, and the leader reads, a batch of them at once.
 */
const GATHER_REPORTS = 0.1;
/** Of the sockets, those for users and workers. */
const SERVER_SOCKETS = 0.6;
/** Costs are logged, and old jobs trimmed, once in so many ticks. */
const COST_TICKS = 40;
/** The load is logged once a report interval. */
const LOAD_TICKS = 2;
/** What is known of the confirmation of cancellations is kept for so many leases. */
const CONFIRMED_LEASES = 20;

export interface ControllerOptions {
  clock?: Clock;
  wallMs?: () => number;
  /** What the features file switches on; missing: nothing. */
  features?: ControllerFeatures;
}

export interface ControllerFeatures {
  file: FeaturesFileRecord;
  subsystems: readonly Subsystem[];
}

/** One controller: everything of it that does input and output, put together. */
export class Controller {
  readonly store: KeyValueStoreClient;
  readonly replica: Replica;
  readonly replicaSync: ReplicaSync;
  readonly election: Election;
  readonly peers: PeerNetwork;
  private readonly acknowledgements: LeaderAcknowledgements;
  private readonly forwarder: RequestForwarder;
  /** Only where this controller is its zone's keeper. */
  private readonly zoneLeaseHolder: ZoneLeaseHolder | null;
  private readonly zoneLeases: ZoneLeaseWatch;
  private readonly cancellations: CancellationBroadcast;
  private readonly heartbeats: HeartbeatHandler;
  private readonly questionHandler: PeerQuestionHandler;
  readonly server: HttpServer;
  leader: Leader | null = null;
  private readonly cloud: CloudClient;
  private readonly machineTypes: MachineTypeCache;
  private readonly clock: Clock;
  private readonly wallMs: () => number;
  private readonly incarnation: string;
  private tickTimer: NodeJS.Timeout | undefined;
  private readonly latencies: LatencyHistograms;
  private readonly overload = new Overload();
  private readonly requests: RequestQueue;
  private readonly health: HealthTable;
  private readonly leadershipTransfer: LeadershipTransfer;
  private readonly versions: ControllerVersions;
  private tickedAt: number | null = null;
  private ticks = 0;
  /** Only where the log's level is `debug`. */
  private readonly loadLog: LoadLog | null;
  private lostInEarlierTerms = 0;
  private readonly subsystems: readonly Subsystem[];

  constructor(
    readonly settings: Settings,
    private readonly policy: Policy,
    private readonly log: Log,
    options: ControllerOptions = {},
  ) {
    this.clock = options.clock ?? steadyClock;
    this.subsystems = options.features?.subsystems ?? [];
    this.latencies = new LatencyHistograms(() => this.clock.now());
    this.wallMs = options.wallMs ?? Date.now;
    this.requests = new RequestQueue({
      clock: this.clock,
      leaseS: settings.workers.lease_s,
      capacity: settings.limits.sockets,
      overload: this.overload,
      onError: (error) => log.error({ err: String(error) }, 'serving requests failed'),
    });
    this.health = new HealthTable({
      clock: this.clock,
      reportS: settings.workers.report_s,
      own: () => ({
        latenessS: this.overload.latenessS,
        served: this.forwarder.isServed,
        relayS: this.heartbeats.forwardingDelay.meanS,
      }),
    });
    // Never the same twice: names of requests and of stored batches begin with it.
    this.incarnation = `${settings.node}-${uniqueName()}`;
    this.store = new KeyValueStoreClient(settings, this.clock);
    this.replica = new Replica(Math.floor(settings.progressValueKb * 1024));
    this.replica.listener = {
      onReady: (storedJob) => this.leader?.onReady(storedJob),
      onCancelled: (storedJob) => this.leader?.onCancelled(storedJob),
      onLeader: () => {
        this.election.wake();
        void this.acknowledgements.acknowledgeLeader();
      },
      onAcknowledgement: (node, ack) => this.acknowledgements.noteStored(node, ack),
      onPresence: (node) => this.zoneLeases.keyChanged(node),
    };
    this.replicaSync = new ReplicaSync(
      this.store,
      this.replica,
      this.clock,
      log,
      () => (this.leader === null ? 0.15 : 0.01),
      Math.min(0.1, (3 * settings.controllerCount) / settings.state.rps),
    );
    this.cloud = new CloudClient(settings, this.clock);
    this.machineTypes = new MachineTypeCache({
      cloud: this.cloud,
      replicaSync: this.replicaSync,
      replica: this.replica,
      leader: () => this.leader,
      log,
    });
    this.election = new Election(
      settings.node,
      this.incarnation,
      settings.controllerCount,
      settings.workers,
      this.store,
      this.replicaSync,
      this.replica,
      () => this.peers,
      this.clock,
      log,
      {
        onElected: (token) => this.elected(token),
        onDeposed: () => this.deposed(),
        onKnownCancelled: (ids) => this.cancellationsHeard(ids),
        cancelledSince: (revision) => this.cancellations.storedSince(revision),
      },
      () => this.overload.late && this.health.healthier() !== null,
    );
    this.acknowledgements = new LeaderAcknowledgements(
      settings,
      this.election,
      () => this.peers,
      this.store,
      this.replica,
      this.clock,
      log,
    );
    this.peers = new PeerNetwork(
      settings.node,
      settings.peers,
      (_from, question) => this.questionHandler.answer(question),
      log,
      settings.limits.sockets,
      this.health,
      settings.workers.report_s * GATHER_REPORTS,
    );
    this.versions = new ControllerVersions({
      node: settings.node,
      others: settings.peers.map((peer) => peer.node),
      leaseS: settings.workers.lease_s,
      replica: this.replica,
      peers: () => this.peers,
      health: this.health,
      store: this.store,
      replicaSync: this.replicaSync,
      clock: this.clock,
      log,
      ...(options.features === undefined ? {} : { file: options.features.file }),
    });
    this.leadershipTransfer = new LeadershipTransfer({
      overload: this.overload,
      health: this.health,
      clock: this.clock,
      log,
      leaseS: settings.workers.lease_s,
      leads: () => this.election.canWrite,
      electedAt: () => this.leader?.term.startedAt ?? this.clock.now(),
      stepDown: () => this.election.stepDown(),
    });
    const byZone = zoneLeaseHolders([settings, ...settings.peers]);
    this.zoneLeases = new ZoneLeaseWatch(
      byZone,
      settings.workers.lease_s,
      this.replica,
      this.replicaSync,
      this.store,
      this.clock,
    );
    this.zoneLeaseHolder =
      byZone.get(settings.zone) !== settings.node
        ? null
        : new ZoneLeaseHolder(
            settings.node,
            this.incarnation,
            settings.workers.lease_s,
            this.store,
            this.replicaSync,
            this.replica,
            () => this.peers,
            this.clock,
            log,
          );
    this.cancellations = new CancellationBroadcast(
      settings,
      [...byZone],
      this.peers,
      this.replica,
      this.zoneLeases,
      this.clock,
    );
    this.heartbeats = new HeartbeatHandler({
      settings,
      election: this.election,
      store: this.store,
      replica: this.replica,
      peers: this.peers,
      zoneLeaseHolder: this.zoneLeaseHolder,
      zoneLeases: this.zoneLeases,
      isLate: (node) => this.health.isLate(node),
      leader: () => this.leader,
      isKnownCancelled: (job) => this.cancellations.knows(job),
      clock: this.clock,
      log,
    });
    const requestWriter = new RequestWriter(
      this.incarnation,
      this.store,
      this.replicaSync,
      this.replica,
      this.store.writeBudget,
      this.clock,
      log,
    );
    const cancellationQuorum = new CancellationQuorum({
      controllerCount: settings.controllerCount,
      peers: this.peers,
      replica: this.replica,
      clock: this.clock,
      remainingWaitS: (job, noted) => this.cancellations.remainingWaitS(job, noted),
      rememberS: settings.workers.lease_s * CONFIRMED_LEASES,
    });
    const userApi = new UserApi({
      settings,
      replicaSync: this.replicaSync,
      replica: this.replica,
      requestWriter,
      types: () => this.machineTypes.known,
      announceCancellation: (job) => this.cancellations.announce(job),
      confirmCancellation: (storedJob, job) => cancellationQuorum.confirm(storedJob, job),
      isOldVersionPresent: () => this.versions.isOldPresent('pipelines'),
      wallMs: this.wallMs,
      log,
    });
    this.forwarder = new RequestForwarder(
      userApi,
      this.store,
      this.replicaSync,
      this.peers,
      settings.workers,
      () => this.clock.now(),
      (node) => this.versions.knows(node, 'pipelines'),
    );
    this.questionHandler = new PeerQuestionHandler({
      requests: this.requests,
      latencies: this.latencies,
      heartbeats: this.heartbeats,
      forwarder: this.forwarder,
      election: this.election,
      acknowledgements: this.acknowledgements,
      cancellations: this.cancellations,
      cancellationsHeard: (ids) => this.cancellationsHeard(ids),
    });
    const http = new HttpRouter({
      clock: this.clock,
      latencies: this.latencies,
      requests: this.requests,
      heartbeats: this.heartbeats,
      forwarder: this.forwarder,
      isLeader: () => this.leader !== null,
      metrics: () => this.metrics(),
      subsystemView: (name) => this.subsystemView(name),
    });
    this.server = new HttpServer(
      (message) => http.handle(message),
      { sockets: Math.floor(settings.limits.sockets * SERVER_SOCKETS), readS: 5, idleS: 120 },
      () => this.clock.now(),
      (error) => log.error({ err: String(error), stack: (error as Error).stack }, 'request failed'),
    );
    this.loadLog = log.isLevelEnabled('debug') ? this.makeLoadLog() : null;
  }

  private makeLoadLog(): LoadLog {
    const sources: LoadSources = {
      clock: this.clock,
      role: () => ROLE_IN_METRICS[this.election.role],
      overload: this.overload,
      requests: this.requests,
      heartbeats: this.heartbeats.counts,
      machinesLost: () => this.lostInEarlierTerms + (this.leader?.term.machinesLost ?? 0),
      stateTraffic: () => this.store.traffic,
      passes: this.latencies.cycles,
    };
    return new LoadLog(sources, this.log);
  }

  /** Rejects, with everything closed again, when one of its addresses cannot be had. */
  async start(): Promise<void> {
    try {
      await this.server.listen(this.settings.bind);
      await this.peers.listen(this.settings.peerBind);
    } catch (error) {
      this.stop();
      throw error;
    }
    void this.replicaSync.run();
    void this.election.run();
    void this.zoneLeaseHolder?.run();
    void this.versions.publish();
    void this.machineTypes.fetch();
    this.tickTimer = setInterval(() => this.onTick(), this.settings.workers.report_s * 500);
    this.log.info({ bind: this.settings.bind }, 'started');
  }

  private onTick(): void {
    const now = this.clock.now();
    const interval = this.settings.workers.report_s / 2;
    if (this.tickedAt !== null) {
      const lag = now - this.tickedAt - interval;
      this.latencies.record('lag', lag);
      this.overload.noteLag(lag, now);
    }
    this.tickedAt = now;
    this.versions.logChanges();
    if (++this.ticks % LOAD_TICKS === 0) this.loadLog?.write();
    if (this.ticks % COST_TICKS === 0) {
      this.log.debug(this.latencies.statistics(), 'costs');
      this.replica.compactFinished(
        this.wallMs() - this.settings.workers.lease_s * TRIM_LEASES * 1000,
      );
    }
    this.leader?.tick();
    this.leadershipTransfer.consider();
    this.health.refresh(this.peers);
  }

  stop(): void {
    clearInterval(this.tickTimer);
    this.loadLog?.stop();
    this.election.stop();
    this.acknowledgements.stop();
    this.zoneLeaseHolder?.stop();
    this.versions.stop();
    this.machineTypes.stop();
    this.replicaSync.stop();
    this.leader?.stop();
    this.leader = null;
    this.server.close();
    this.peers.close();
    this.store.close();
    this.cloud.close();
  }

  // Leadership

  private elected(token: number): void {
    this.endTerm();
    this.leader = new Leader(
      {
        settings: this.settings,
        clock: this.clock,
        wallMs: this.wallMs,
        log: this.log,
        replica: this.replica,
        policy: this.policy,
        token,
        incarnation: this.incarnation,
        allReadDenseRecords: () => this.versions.everyoneKnows('pipelines'),
        isEntitled: () => this.election.isEntitled && this.election.token === token,
        othersRenewUntil: () =>
          Math.max(
            this.store.rejectedAt + this.election.outage.substituteS,
            this.acknowledgements.othersRenewUntil(token),
          ),
        zoneRenewal: (zone) => this.zoneLeases.zone(zone),
        requestProof: () =>
          void this.replicaSync.sync().then((ok) => ok && this.leader?.term.requestCycle()),
        canWrite: () => this.election.canWrite && this.election.token === token,
      },
      {
        store: this.store,
        cloud: this.cloud,
        onLeadershipLost: () => this.election.wake(),
        latencies: this.latencies,
        overload: this.overload,
        subsystems: this.subsystems,
      },
    );
    void this.acknowledgements.collect(token);
    this.leader.start();
    const { fetched } = this.machineTypes;
    if (fetched !== null && this.leader.term.machineTypes.size === 0)
      this.leader.onMachineTypes(fetched);
  }

  private deposed(): void {
    this.endTerm();
  }

  private endTerm(): void {
    if (this.leader === null) return;
    this.leader.stop();
    this.lostInEarlierTerms += this.leader.term.machinesLost;
    this.leader = null;
  }

  // Requests

  /** What a subsystem's records say, for operators; the same on every controller. */
  private subsystemView(name: string): Reply {
    const subsystem = this.subsystems.find((each) => each.name === name);
    if (subsystem === undefined) return { status: 404, body: '{}' };
    if (!this.replicaSync.ready) return UNAVAILABLE;
    const own = this.replica.subsystems.of(name);
    const view = subsystem.view(own, this.settings, this.wallMs());
    // In many lines: no line of an answer may be longer than 64 KiB.
    return { status: 200, body: JSON.stringify(view, null, 1) };
  }

  private cancellationsHeard(ids: string[]): void {
    for (const id of ids) {
      this.cancellations.noteStored(id);
      this.leader?.onCancellationHeard(id);
    }
  }

  metrics(): Record<string, unknown> {
    return {
      node: this.settings.node,
      role: ROLE_IN_METRICS[this.election.role],
      token: this.election.token,
      leader: this.replica.leader?.node ?? null,
      revision: this.replica.applied,
      jobs: this.replica.jobs.size,
      ...pipelineStatistics(this.replica),
      pipelines_known: this.versions.everyoneKnows('pipelines'),
      features_differ: this.versions.withDifferentFeatures().join(' '),
      connections: this.server.connections,
      garbage: this.replica.malformedRecords,
      cancellations_heard: this.cancellations.size,
      memory_mb: Math.round(process.memoryUsage.rss() / 1e6),
      heap_mb: Math.round(process.memoryUsage().heapTotal / 1e6),
      ...this.leader?.statistics(),
      ...this.latencies.statistics(),
      ...this.requests.statistics(),
    };
  }
}
