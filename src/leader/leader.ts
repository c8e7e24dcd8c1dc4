import { DemandForecast } from '../cloud/demand-forecast.js';
import type { CloudClient } from '../cloud/client.js';
import type { Reply } from '../http/server.js';
import type { MachineType } from '../jobs/types.js';
import type { KeyValueStoreClient } from '../store/client.js';
import type { StoredJob } from '../store/stored-job.js';
import type { Heartbeat } from '../wire/workers.js';
import { HeartbeatAnswerer } from './heartbeat-answerer.js';
import { ActiveSubsystems } from '../subsystems/active-subsystems.js';
import type { Subsystem, TermView } from '../subsystems/subsystem.js';
import type { Machine } from '../workers/machine.js';
import type { LatencyHistograms } from '../latency-histograms.js';
import { CancelledAttempts } from './attempts/cancelled-attempts.js';
import { CommandDispatcher } from './attempts/command-dispatcher.js';
import { HttpDirectTransport, type DirectTransport } from './attempts/direct-channels.js';
import { termStatistics } from './term/statistics.js';
import { Overload } from '../admission/overload.js';
import { MIN_CYCLE_GAP_S, CyclePacing } from './scheduling/cycle-pacing.js';
import { splitOversizedProgress } from './writes/progress-layout.js';
import { Scheduler } from './scheduling/scheduler.js';
import { SubsystemView } from './term/subsystem-view.js';
import { RecordWriter } from './writes/record-writer.js';
import { closeFinishedJobs, machinesToForget } from './term/garbage-collection.js';
import { Term, type TermContext } from './term/term.js';
import { TermLog } from './term/term-log.js';
import { CapacityManager } from './capacity/capacity-manager.js';

/** What a leader uses in addition to its term's context. */
export interface LeaderServices {
  store: KeyValueStoreClient;
  cloud: CloudClient;
  /** Called when the leader's key has changed, which ends this term. */
  onLeadershipLost: () => void;
  latencies: LatencyHistograms;
  /** Limits the processor time of scheduling cycles; shared by the successive leaders of a controller. */
  overload?: Overload;
  /** How commands are sent directly to workers; missing: over HTTP connections. */
  directTransport?: DirectTransport;
  /** Subsystems that this controller's features file enables. */
  subsystems?: readonly Subsystem[];
}

/** Leads for one term: answers heartbeats, places tasks, writes to the store, commands workers and scales the fleet. */
export class Leader {
  readonly term: Term;
  private readonly scheduler: Scheduler;
  private readonly writer: RecordWriter;
  private readonly capacity: CapacityManager;
  private readonly dispatcher: CommandDispatcher;
  private readonly answerer: HeartbeatAnswerer;
  private readonly forecast: DemandForecast;
  private readonly subsystems: ActiveSubsystems;
  private readonly cancelledAttempts: CancelledAttempts;
  private readonly log: TermLog;
  private readonly latencies: LatencyHistograms;
  private timer: NodeJS.Timeout | null = null;
  private readonly cyclePacing: CyclePacing;
  private stopped = false;

  constructor(
    private readonly context: TermContext,
    {
      store,
      cloud,
      onLeadershipLost,
      latencies,
      overload = new Overload(),
      directTransport = makeDirectTransport(context),
      subsystems = [],
    }: LeaderServices,
  ) {
    this.latencies = latencies;
    this.term = new Term(context);
    this.cancelledAttempts = new CancelledAttempts(this.term);
    this.log = new TermLog(this.term, this.cancelledAttempts);
    this.cyclePacing = new CyclePacing({ leaseS: context.settings.workers.lease_s, overload });
    this.term.onCycleRequested = () => this.scheduleCycle();
    this.forecast = makeForecast(this.term);
    this.subsystems = new ActiveSubsystems(context.log);
    this.capacity = this.makeCapacityManager(cloud);
    this.scheduler = this.makeScheduler();
    this.answerer = new HeartbeatAnswerer(this.term, ({ id }) =>
      this.capacity.provisioner.machineReported(id),
    );
    this.dispatcher = new CommandDispatcher(this.term, directTransport, () => this.scheduleCycle());
    this.writer = new RecordWriter({
      term: this.term,
      store,
      clock: context.clock,
      log: context.log,
      onLeadershipLost,
      subsystems: this.subsystems,
    });
    this.subsystems.begin(subsystems, (subsystem) => this.subsystemView(subsystem.name));
    if (context.replica.machineTypes === null && this.term.machineTypes.size > 0)
      this.writer.markMachineTypes();
  }

  private makeCapacityManager(cloud: CloudClient): CapacityManager {
    return new CapacityManager({
      term: this.term,
      cloud,
      scheduler: () => this.scheduler,
      forecast: this.forecast,
      forgetMachine: (machine) => this.forgetMachine(machine),
      onMachineTypes: (types) => this.onMachineTypes(types),
      subsystems: this.subsystems,
    });
  }

  private makeScheduler(): Scheduler {
    return new Scheduler(
      this.term,
      this.forecast,
      (type, zone) => this.capacity.provisioner.isShort(type, zone, true),
      (spot) => this.capacity.warmTarget(spot),
      this.subsystems,
    );
  }

  private subsystemView(subsystem: string): TermView {
    const { term, capacity, writer, scheduler } = this;
    return new SubsystemView(subsystem, {
      term,
      capacity,
      wakeWriter: () => writer.wake(),
      migrateReplica: (attempt, mayFetch) =>
        scheduler.migrateReplica(attempt, capacity.capacities, mayFetch),
      migrationGapS: (jobClass) => scheduler.migrationGapS(jobClass),
    });
  }

  /** Starts the record writer, the machine provisioner and the scheduling cycles. */
  start(): void {
    this.log.began();
    void this.writer.run();
    void this.capacity.provisioner.run();
    this.scheduleCycle();
  }

  /** Ends the term: nothing more is written or commanded, and no machine is requested. */
  stop(): void {
    this.log.ended();
    this.stopped = true;
    this.writer.stop();
    this.capacity.provisioner.stop();
    if (this.timer !== null) clearTimeout(this.timer);
    this.dispatcher.stop();
    this.subsystems.stop();
  }

  /** Applies the cloud's machine types with their present prices. */
  onMachineTypes(types: MachineType[]): void {
    const previous = JSON.stringify(
      [...this.term.machineTypes.values()].map((type) => ({ ...type, spotPrice: 0 })),
    );
    this.term.setMachineTypes(types);
    // Spot prices change all the time; only properties that validation and placement depend on are worth a write.
    if (JSON.stringify(types.map((type) => ({ ...type, spotPrice: 0 }))) !== previous) {
      this.writer.markMachineTypes();
      this.writer.wake();
    }
    this.term.requestCycle();
  }

  /** Handles a job that has become ready: accepted without dependencies, or its last dependency is done. */
  onReady(storedJob: StoredJob): void {
    this.forecast.jobBecameReady(storedJob.spec, storedJob.readyMs);
    this.term.addJob(storedJob);
  }

  /** Handles a cancellation that was read from the store. */
  onCancelled(storedJob: StoredJob): void {
    if (this.term.jobs.has(storedJob.spec.id)) this.forecast.serviceEnded(storedJob.spec);
    this.term.jobCancelled(storedJob);
  }

  /** Handles a stored cancellation reported by another controller, which an outage keeps this one from reading. */
  onCancellationStored(id: string): void {
    this.term.cancellationReported(id);
  }

  // Heartbeats

  /** See `HeartbeatAnswerer.decode`. */
  decodeHeartbeat(body: Buffer): Heartbeat {
    return this.answerer.decode(body);
  }

  /** See `HeartbeatAnswerer.answer`. */
  answerHeartbeat(heartbeat: Heartbeat, body?: Buffer): Reply {
    return this.answerer.answer(heartbeat, body);
  }

  // Scheduling cycles

  private scheduleCycle(): void {
    if (this.stopped || this.timer !== null) return;
    const wait = Math.max(MIN_CYCLE_GAP_S / 4, this.cyclePacing.nextAt - this.context.clock.now());
    this.timer = setTimeout(() => {
      this.timer = null;
      try {
        this.latencies.time('pass', () => this.runCycle());
      } catch (error) {
        this.context.log.error({ err: error }, 'scheduling cycle failed');
      }
    }, wait * 1000);
  }

  /** Called about twice in a heartbeat interval, for work that depends only on time. */
  tick(): void {
    if (this.stopped) return;
    this.log.tick();
    this.capacity.consolidate();
    this.scheduler.waitingJobs.tick();
    splitOversizedProgress(this.term);
    // Before garbage collection, so that subsystems still see what has just ended.
    this.subsystems.tick();
    this.cancelledAttempts.tick();
    this.collectGarbage();
    this.term.requestCycle();
  }

  private runCycle(): void {
    if (this.stopped) return;
    const startedAt = this.context.clock.now();
    const { term, context, capacity } = this;
    if (!context.isEntitled()) return;
    term.expireLeases();
    term.quarantine.review();
    if (context.canWrite()) {
      const result = this.scheduler.runCycle();
      capacity.demand = result.demand;
      capacity.capacities = result.capacities;
      capacity.usages = result.usages;
    }
    for (const machine of term.machines.values())
      if (machine.hasActiveAttempts()) machine.idleSince = startedAt;
    if (term.machinesToWrite.size > 0 || this.hasUnstoredProgress()) this.writer.wake();
    this.dispatcher.dispatch();
    if (capacity.demand.length > 0) capacity.provisioner.wake();
    const end = context.clock.now();
    this.cyclePacing.cycleEnded(startedAt, end);
  }

  private hasUnstoredProgress(): boolean {
    for (const job of this.term.jobs.values()) if (job.progress.dirty.size > 0) return true;
    return false;
  }

  /** Forgets finished jobs and machines that have been silent for long. */
  private collectGarbage(): void {
    closeFinishedJobs(this.term);
    for (const machine of machinesToForget(this.term)) {
      // Only if the cloud's list does not name it either, so that there is nothing left to return.
      if (this.capacity.isUnlisted(machine.id)) this.forgetMachine(machine);
    }
  }

  private forgetMachine(machine: Machine): void {
    this.term.forgetMachine(machine);
    this.dispatcher.closeChannel(machine.id);
  }

  // Statistics

  /** Values for `/metrics`. */
  statistics(): Record<string, number | string> {
    return {
      ...termStatistics(this.term, this.capacity),
      ...this.scheduler.waitingJobs.statistics(),
      ...this.capacity.scaleOutStatistics(),
      ...this.cancelledAttempts.statistics(),
      ...this.term.commandLog.statistics(),
      ...this.subsystems.statistics(),
    };
  }
}

function makeDirectTransport({ settings, log }: TermContext): DirectTransport {
  const { limits, workers } = settings;
  return new HttpDirectTransport({ sockets: limits.sockets, heartbeatS: workers.report_s, log });
}

/** A demand forecast that has seen all jobs that have become ready so far. */
function makeForecast(term: Term): DemandForecast {
  const { settings, replica } = term.context;
  const wallMs = (): number => term.timeOfDay.nowMs();
  const types = (): MachineType[] => [...term.machineTypes.values()];
  const forecast = new DemandForecast(wallMs, settings.workers.report_s, types);
  for (const { readyRevision, readyMs, spec } of replica.jobs.values()) {
    if (readyRevision !== null) forecast.jobBecameReady(spec, readyMs);
  }
  return forecast;
}
