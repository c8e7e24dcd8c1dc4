import { uniqueName } from '../random.js';
import { CloudClient } from '../cloud/client.js';
import { Election } from '../leadership/election.js';
import { PeerNet } from '../peers/net.js';
import { ZoneLeaseKeeper, ZoneLeaseWatch, zoneLeaseKeepers } from '../leadership/zone-lease.js';
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
import { Costs } from '../costs.js';
import { RequestForwarder } from '../api/request-forwarder.js';
import { CancellationNotices } from '../cancellation/notices.js';
import { CancellationConfirmation } from '../cancellation/confirmation.js';
import { Leader } from '../leader/leader.js';
import { FitnessTable } from '../admission/fitness.js';
import { HandOver } from '../admission/hand-over.js';
import { Overload } from '../admission/overload.js';
import { Reports } from '../heartbeat/reports.js';
import { RequestQueue } from '../admission/request-queue.js';
import { Users } from '../api/users.js';
import { BUSY, HttpRequests } from './http-requests.js';
import { LoadLog } from './load-log.js';
import { MachineTypes } from './machine-types.js';
import { pipelineFigures } from './pipeline-figures.js';
import { PeerAnswers } from './peer-answers.js';
import { Versions } from './versions.js';

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
  readonly state: KeyValueStoreClient;
  readonly replica: Replica;
  readonly follower: ReplicaSync;
  readonly election: Election;
  readonly peers: PeerNet;
  private readonly acknowledgements: LeaderAcknowledgements;
  private readonly forwarder: RequestForwarder;
  /** Only where this controller is its zone's keeper. */
  private readonly zoneKeeper: ZoneLeaseKeeper | null;
  private readonly zoneLeases: ZoneLeaseWatch;
  private readonly cancellationNotices: CancellationNotices;
  private readonly reports: Reports;
  private readonly peerAnswers: PeerAnswers;
  readonly server: HttpServer;
  leader: Leader | null = null;
  private readonly cloud: CloudClient;
  private readonly machineTypes: MachineTypes;
  private readonly clock: Clock;
  private readonly wallMs: () => number;
  private readonly incarnation: string;
  private tickTimer: NodeJS.Timeout | undefined;
  private readonly costs: Costs;
  private readonly overload = new Overload();
  private readonly requests: RequestQueue;
  private readonly fitness: FitnessTable;
  private readonly handOver: HandOver;
  private readonly versions: Versions;
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
    this.costs = new Costs(() => this.clock.now());
    this.wallMs = options.wallMs ?? Date.now;
    this.requests = new RequestQueue({
      clock: this.clock,
      leaseS: settings.workers.lease_s,
      capacity: settings.limits.sockets,
      overload: this.overload,
      onError: (e) => log.error({ err: String(e) }, 'serving requests failed'),
    });
    this.fitness = new FitnessTable({
      clock: this.clock,
      reportS: settings.workers.report_s,
      own: () => ({
        latenessS: this.overload.latenessS,
        served: this.forwarder.served,
        relayS: this.reports.relayWait.meanS,
      }),
    });
    // Never the same twice: names of requests and of stored batches begin with it.
    this.incarnation = `${settings.node}-${uniqueName()}`;
    this.state = new KeyValueStoreClient(settings, this.clock);
    this.replica = new Replica(Math.floor(settings.progressValueKb * 1024));
    this.replica.listener = {
      onReady: (j) => this.leader?.onReady(j),
      onCancelled: (j) => this.leader?.onCancelled(j),
      onLeader: () => {
        this.election.nudge();
        void this.acknowledgements.acknowledgeLeader();
      },
      onAcknowledgement: (node, ack) => this.acknowledgements.noteStored(node, ack),
      onPresence: (node) => this.zoneLeases.changed(node),
    };
    this.follower = new ReplicaSync(
      this.state,
      this.replica,
      this.clock,
      log,
      () => (this.leader === null ? 0.15 : 0.01),
      Math.min(0.1, (3 * settings.nodes) / settings.state.rps),
    );
    this.cloud = new CloudClient(settings, this.clock);
    this.machineTypes = new MachineTypes({
      cloud: this.cloud,
      follower: this.follower,
      replica: this.replica,
      leader: () => this.leader,
      log,
    });
    this.election = new Election(
      settings.node,
      this.incarnation,
      settings.nodes,
      settings.workers,
      this.state,
      this.follower,
      this.replica,
      () => this.peers,
      this.clock,
      log,
      {
        onElected: (token) => this.elected(token),
        onDeposed: () => this.deposed(),
        onKnownCancelled: (ids) => this.knownCancelled(ids),
        cancelledSince: (revision) => this.cancellationNotices.storedSince(revision),
      },
      () => this.overload.late && this.fitness.fitter() !== null,
    );
    this.acknowledgements = new LeaderAcknowledgements(
      settings,
      this.election,
      () => this.peers,
      this.state,
      this.replica,
      this.clock,
      log,
    );
    this.peers = new PeerNet(
      settings.node,
      settings.peers,
      (_from, question) => this.peerAnswers.answer(question),
      log,
      settings.limits.sockets,
      this.fitness,
      settings.workers.report_s * GATHER_REPORTS,
    );
    this.versions = new Versions({
      node: settings.node,
      others: settings.peers.map((peer) => peer.node),
      leaseS: settings.workers.lease_s,
      replica: this.replica,
      peers: () => this.peers,
      fitness: this.fitness,
      state: this.state,
      follower: this.follower,
      clock: this.clock,
      log,
      ...(options.features === undefined ? {} : { file: options.features.file }),
    });
    this.handOver = new HandOver({
      overload: this.overload,
      fitness: this.fitness,
      clock: this.clock,
      log,
      leaseS: settings.workers.lease_s,
      leads: () => this.election.writing,
      electedAt: () => this.leader?.term.startedAt ?? this.clock.now(),
      resign: () => this.election.resign(),
    });
    const byZone = zoneLeaseKeepers([settings, ...settings.peers]);
    this.zoneLeases = new ZoneLeaseWatch(
      byZone,
      settings.workers.lease_s,
      this.replica,
      this.follower,
      this.state,
      this.clock,
    );
    this.zoneKeeper =
      byZone.get(settings.zone) !== settings.node
        ? null
        : new ZoneLeaseKeeper(
            settings.node,
            this.incarnation,
            settings.workers.lease_s,
            this.state,
            this.follower,
            this.replica,
            () => this.peers,
            this.clock,
            log,
          );
    this.cancellationNotices = new CancellationNotices(
      settings,
      [...byZone],
      this.peers,
      this.replica,
      this.zoneLeases,
      this.clock,
    );
    this.reports = new Reports({
      settings,
      election: this.election,
      state: this.state,
      replica: this.replica,
      peers: this.peers,
      zoneKeeper: this.zoneKeeper,
      zoneLeases: this.zoneLeases,
      isLate: (node) => this.fitness.isLate(node),
      leader: () => this.leader,
      knownCancelled: (job) => this.cancellationNotices.knows(job),
      clock: this.clock,
      log,
    });
    const requestWriter = new RequestWriter(
      this.incarnation,
      this.state,
      this.follower,
      this.replica,
      this.state.writes,
      this.clock,
      log,
    );
    const confirmation = new CancellationConfirmation({
      nodes: settings.nodes,
      peers: this.peers,
      replica: this.replica,
      clock: this.clock,
      waitUnlessNoted: (job, noted) => this.cancellationNotices.waitUnlessNoted(job, noted),
      rememberS: settings.workers.lease_s * CONFIRMED_LEASES,
    });
    const users = new Users({
      settings,
      follower: this.follower,
      replica: this.replica,
      requestWriter,
      types: () => this.machineTypes.known,
      mayCancel: (job) => this.cancellationNotices.wait(job),
      mayTellCancelled: (facts, job) => confirmation.confirm(facts, job),
      pipelinesUnknown: () => this.versions.isOldPresent('pipelines'),
      wallMs: this.wallMs,
      log,
    });
    this.forwarder = new RequestForwarder(
      users,
      this.state,
      this.follower,
      this.peers,
      settings.workers,
      () => this.clock.now(),
      (node) => this.versions.knows(node, 'pipelines'),
    );
    this.peerAnswers = new PeerAnswers({
      requests: this.requests,
      costs: this.costs,
      reports: this.reports,
      forwarder: this.forwarder,
      election: this.election,
      acknowledgements: this.acknowledgements,
      cancellationNotices: this.cancellationNotices,
      knownCancelled: (ids) => this.knownCancelled(ids),
    });
    const http = new HttpRequests({
      clock: this.clock,
      costs: this.costs,
      requests: this.requests,
      reports: this.reports,
      forwarder: this.forwarder,
      leads: () => this.leader !== null,
      figures: () => this.figures(),
      subsystemView: (name) => this.subsystemView(name),
    });
    this.server = new HttpServer(
      (message) => http.handle(message),
      { sockets: Math.floor(settings.limits.sockets * SERVER_SOCKETS), readS: 5, idleS: 120 },
      () => this.clock.now(),
      (e) => log.error({ err: String(e), stack: (e as Error).stack }, 'request failed'),
    );
    this.loadLog = log.isLevelEnabled('debug') ? this.makeLoadLog() : null;
  }

  private makeLoadLog(): LoadLog {
    const sources = {
      clock: this.clock,
      role: () => this.election.role,
      overload: this.overload,
      requests: this.requests,
      reports: this.reports.counts,
      machinesLost: () => this.lostInEarlierTerms + (this.leader?.term.machinesLost ?? 0),
      stateTraffic: () => this.state.traffic,
      passes: this.costs.passes,
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
    void this.follower.run();
    void this.election.run();
    void this.zoneKeeper?.run();
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
      this.costs.record('lag', lag);
      this.overload.noteLag(lag, now);
    }
    this.tickedAt = now;
    this.versions.note();
    if (++this.ticks % LOAD_TICKS === 0) this.loadLog?.write();
    if (this.ticks % COST_TICKS === 0) {
      this.log.debug(this.costs.figures(), 'costs');
      this.replica.compactFinished(
        this.wallMs() - this.settings.workers.lease_s * TRIM_LEASES * 1000,
      );
    }
    this.leader?.tick();
    this.handOver.consider();
    this.fitness.refresh(this.peers);
  }

  stop(): void {
    clearInterval(this.tickTimer);
    this.loadLog?.stop();
    this.election.stop();
    this.acknowledgements.stop();
    this.zoneKeeper?.stop();
    this.versions.stop();
    this.machineTypes.stop();
    this.follower.stop();
    this.leader?.stop();
    this.leader = null;
    this.server.close();
    this.peers.close();
    this.state.close();
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
        denseRecords: () => this.versions.everyoneKnows('pipelines'),
        entitled: () => this.election.entitled && this.election.token === token,
        keptUntil: () =>
          Math.max(
            this.state.rejectedAt + this.election.outage.substituteS,
            this.acknowledgements.keptUntil(token),
          ),
        zone: (zone) => this.zoneLeases.zone(zone),
        prove: () => void this.follower.sync().then((ok) => ok && this.leader?.term.requestPass()),
        writing: () => this.election.writing && this.election.token === token,
      },
      {
        state: this.state,
        cloud: this.cloud,
        onLost: () => this.election.nudge(),
        costs: this.costs,
        overload: this.overload,
        subsystems: this.subsystems,
      },
    );
    void this.acknowledgements.collect(token);
    this.leader.start();
    const { fetched } = this.machineTypes;
    if (fetched !== null && this.leader.term.types.size === 0) this.leader.onTypes(fetched);
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
    const subsystem = this.subsystems.find((s) => s.name === name);
    if (subsystem === undefined) return { status: 404, body: '{}' };
    if (!this.follower.ready) return BUSY;
    const own = this.replica.subsystems.of(name);
    const view = subsystem.view(own, this.settings, this.wallMs());
    // In many lines: no line of an answer may be longer than 64 KiB.
    return { status: 200, body: JSON.stringify(view, null, 1) };
  }

  private knownCancelled(ids: string[]): void {
    for (const id of ids) {
      this.cancellationNotices.noteStored(id);
      this.leader?.onKnownCancelled(id);
    }
  }

  figures(): Record<string, unknown> {
    return {
      node: this.settings.node,
      role: this.election.role,
      token: this.election.token,
      leader: this.replica.leader?.node ?? null,
      revision: this.replica.applied,
      jobs: this.replica.jobs.size,
      ...pipelineFigures(this.replica),
      pipelines_known: this.versions.everyoneKnows('pipelines'),
      features_differ: this.versions.withOtherFeatures().join(' '),
      connections: this.server.connections,
      garbage: this.replica.malformedRecords,
      cancellations_heard: this.cancellationNotices.size,
      memory_mb: Math.round(process.memoryUsage.rss() / 1e6),
      heap_mb: Math.round(process.memoryUsage().heapTotal / 1e6),
      ...this.leader?.figures(),
      ...this.costs.figures(),
      ...this.requests.figures(),
    };
  }
}
