/** A controller: starts its parts, calls them at regular ticks and stops them. */

import { steadyClock, type Clock } from '../clock.js';
import type { Settings } from '../config/settings.js';
import type { Reply } from '../http/server.js';
import type { Leader } from '../leader/leader.js';
import { ROLE_IN_METRICS } from '../leadership/election-role.js';
import type { Election } from '../leadership/election.js';
import type { Log } from '../log.js';
import type { Policy } from '../operator/policy.js';
import type { FeaturesFileRecord } from '../store/records.js';
import type { Subsystem } from '../subsystems/subsystem.js';
import { TimeOfDay } from '../time-of-day.js';
import { Composition } from './composition.js';
import { UNAVAILABLE } from './http-router.js';
import { LoadLog } from './load-log.js';
import { controllerMetrics } from './metrics.js';

/** Finished jobs stay uncompacted in memory for so many leases after their acceptance. */
const COMPACTION_LEASES = 60;
/** Ticks in a heartbeat interval. */
const TICKS_PER_HEARTBEAT = 2;
/** Number of ticks after which latencies are logged and old jobs compacted. */
const HOUSEKEEPING_TICKS = 40;
/** The load is logged once a heartbeat interval. */
const LOAD_LOG_TICKS = TICKS_PER_HEARTBEAT;

/** Optional parameters of a controller. */
export interface ControllerOptions {
  clock?: Clock;
  /** Time of day in ms. */
  wallMs?: () => number;
  /** Features that the features file enables; absent: none. */
  features?: ControllerFeatures;
}

/** The features file of a controller and the subsystems that it enables. */
export interface ControllerFeatures {
  file: FeaturesFileRecord;
  subsystems: readonly Subsystem[];
}

/** A controller without the parts that belong to the whole process, so that tests can run several in one. */
export class Controller {
  private readonly parts: Composition;
  private readonly clock: Clock;
  private readonly timeOfDay: TimeOfDay;
  private readonly subsystems: readonly Subsystem[];
  /** Null unless the log level is `debug`. */
  private readonly loadLog: LoadLog | null;
  private tickTimer: NodeJS.Timeout | undefined;
  private lastTickAt: number | null = null;
  private ticks = 0;

  constructor(
    readonly settings: Settings,
    policy: Policy,
    private readonly log: Log,
    options: ControllerOptions = {},
  ) {
    this.clock = options.clock ?? steadyClock;
    this.timeOfDay = new TimeOfDay({
      clock: this.clock,
      wallMs: options.wallMs ?? Date.now,
      skewMs: settings.skewMs,
      leaseS: settings.workers.lease_s,
    });
    this.subsystems = options.features?.subsystems ?? [];
    this.parts = new Composition({
      settings,
      policy,
      log,
      clock: this.clock,
      timeOfDay: this.timeOfDay,
      subsystems: this.subsystems,
      featuresFile: options.features?.file,
      views: {
        metrics: () => this.metrics(),
        subsystemView: (name) => this.subsystemView(name),
      },
    });
    this.loadLog = log.isLevelEnabled('debug') ? this.makeLoadLog() : null;
  }

  /** The leader of the present term; null: this controller is not the leader. */
  get leader(): Leader | null {
    return this.parts.terms.leader;
  }

  /** This controller's role and fencing token. */
  get election(): Election {
    return this.parts.election;
  }

  private makeLoadLog(): LoadLog {
    const { election, overload, requests, heartbeats, terms, store, latencies } = this.parts;
    return new LoadLog(
      {
        clock: this.clock,
        role: () => ROLE_IN_METRICS[election.role],
        overload,
        requests,
        heartbeats: heartbeats.counts,
        machinesLost: () => terms.machinesLost,
        stateTraffic: () => store.traffic,
        passes: latencies.cycles,
      },
      this.log,
    );
  }

  /** Starts all parts. If an address cannot be bound, stops everything and rejects. */
  async start(): Promise<void> {
    const { server, peers, replicaSync, election, zoneLeaseHolder, versions, machineTypes } =
      this.parts;
    try {
      await server.listen(this.settings.bind);
      await peers.listen(this.settings.peerBind);
    } catch (error) {
      this.stop();
      throw error;
    }
    void replicaSync.run();
    void election.run();
    void zoneLeaseHolder?.run();
    void versions.publish();
    void machineTypes.fetch();
    this.tickTimer = setInterval(() => this.onTick(), this.tickS * 1000);
    this.log.info({ bind: this.settings.bind }, 'controller started');
  }

  /** Seconds between two ticks. */
  private get tickS(): number {
    return this.settings.workers.report_s / TICKS_PER_HEARTBEAT;
  }

  private onTick(): void {
    const { versions, leadershipTransfer, health, peers } = this.parts;
    this.recordEventLoopLag(this.clock.now());
    // A clock jump counts from the first reading that shows it, so the time of day is read at every tick.
    this.timeOfDay.nowMs();
    versions.logChanges();
    if (++this.ticks % LOAD_LOG_TICKS === 0) this.loadLog?.write();
    if (this.ticks % HOUSEKEEPING_TICKS === 0) this.doHousekeeping();
    this.leader?.tick();
    leadershipTransfer.transferIfOverloaded();
    health.refresh(peers);
  }

  /** Records by how much the event loop is late. */
  private recordEventLoopLag(now: number): void {
    const { latencies, overload } = this.parts;
    if (this.lastTickAt !== null) {
      const lagS = now - this.lastTickAt - this.tickS;
      latencies.record('lag', lagS);
      overload.recordTimerLag(lagS, now);
    }
    this.lastTickAt = now;
  }

  private doHousekeeping(): void {
    const { latencies, replica } = this.parts;
    this.log.debug(latencies.statistics(), 'latencies');
    const keepMs = this.settings.workers.lease_s * COMPACTION_LEASES * 1000;
    replica.compactFinished(this.timeOfDay.nowMs() - keepMs);
  }

  /** Stops all parts. The controller cannot be started again. */
  stop(): void {
    const { parts } = this;
    clearInterval(this.tickTimer);
    this.loadLog?.stop();
    parts.election.stop();
    parts.acknowledgements.stop();
    parts.zoneLeaseHolder?.stop();
    parts.versions.stop();
    parts.machineTypes.stop();
    parts.replicaSync.stop();
    parts.terms.stop();
    parts.server.close();
    parts.peers.close();
    parts.store.close();
    parts.cloud.close();
  }

  /** A subsystem's view for operators. It is made from stored records, so that it is the same on every controller. */
  private subsystemView(name: string): Reply {
    const { replica, replicaSync } = this.parts;
    const subsystem = this.subsystems.find((each) => each.name === name);
    if (subsystem === undefined) return { status: 404, body: '{}' };
    if (!replicaSync.ready) return UNAVAILABLE;
    const own = replica.subsystems.forSubsystem(name);
    const view = subsystem.view(own, this.settings, this.timeOfDay.nowMs());
    // Indented, because no line of an answer may be longer than 64 KiB.
    return { status: 200, body: JSON.stringify(view, null, 1) };
  }

  /** The values that `/metrics` returns. */
  metrics(): Record<string, unknown> {
    const { leader, parts, settings } = this;
    return controllerMetrics({
      node: settings.node,
      leader,
      election: parts.election,
      replica: parts.replica,
      versions: parts.versions,
      server: parts.server,
      cancellations: parts.cancellations,
      latencies: parts.latencies,
      requests: parts.requests,
    });
  }
}
