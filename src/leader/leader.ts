import { Arrivals } from '../cloud/demand-forecast.js';
import type { CloudClient } from '../cloud/client.js';
import type { Reply } from '../http/server.js';
import type { MachineType } from '../jobs/types.js';
import type { KeyValueStoreClient } from '../store/client.js';
import type { StoredJob } from '../store/stored-job.js';
import { scanMachineId } from '../wire/heartbeat-scan.js';
import { decodeHeartbeat, encodeHeartbeatReply, type Heartbeat } from '../wire/workers.js';
import { ActiveSubsystems } from '../subsystems/active-subsystems.js';
import type { Subsystem, TermView } from '../subsystems/subsystem.js';
import type { Machine } from '../workers/machine.js';
import type { Costs } from '../latency-histograms.js';
import { DirectCommands } from './attempts/command-dispatcher.js';
import { figures } from './term/statistics.js';
import { Overload } from '../admission/overload.js';
import { PASS_GAP_S, PassPacing } from './scheduling/cycle-pacing.js';
import { dividePending } from './writes/progress-layout.js';
import { Scheduler } from './scheduling/scheduler.js';
import { SubsystemView } from './term/subsystem-view.js';
import { TermStore } from './writes/record-writer.js';
import { closeJobs, lostForGood } from './term/garbage-collection.js';
import { Term, type TermDeps } from './term/term.js';
import { CapacityManager } from './capacity/capacity-manager.js';

/** What a leader works with, beside what its term rests on. */
export interface LeaderServices {
  store: KeyValueStoreClient;
  cloud: CloudClient;
  /** The leader's key has changed: this term is over. */
  onLost: () => void;
  costs: Costs;
  /** What a pass may take of the processor; shared by the leaders of a controller. */
  overload?: Overload;
  /** Those that this controller's features file switches on. */
  subsystems?: readonly Subsystem[];
}

/** Acts for one term: answers reports, places, stores, commands and keeps the fleet. */
export class Leader {
  readonly term: Term;
  private readonly scheduler: Scheduler;
  private readonly store: TermStore;
  private readonly capacity: CapacityManager;
  private readonly direct: DirectCommands;
  private readonly arrivals: Arrivals;
  private readonly subsystems: ActiveSubsystems;
  private readonly costs: Costs;
  private timer: NodeJS.Timeout | null = null;
  private readonly pacing: PassPacing;
  private stopped = false;
  /** Whether it has been logged how long this term took to hear of its machines. */
  private fencedLogged = false;

  constructor(
    private readonly deps: TermDeps,
    { store, cloud, onLost, costs, overload = new Overload(), subsystems = [] }: LeaderServices,
  ) {
    this.costs = costs;
    this.term = new Term(deps);
    this.pacing = new PassPacing({ leaseS: deps.settings.workers.lease_s, overload });
    this.term.onStir = () => this.schedule();
    this.arrivals = new Arrivals(deps.wallMs, deps.settings.workers.report_s, () => [
      ...this.term.types.values(),
    ]);
    for (const storedJob of deps.replica.jobs.values()) {
      if (storedJob.readyAt !== null) this.arrivals.add(storedJob.spec, storedJob.readyMs);
    }
    this.subsystems = new ActiveSubsystems(deps.log);
    this.capacity = new CapacityManager({
      term: this.term,
      cloud,
      scheduler: () => this.scheduler,
      arrivals: this.arrivals,
      forget: (machine) => this.forget(machine),
      onTypes: (types) => this.onTypes(types),
      subsystems: this.subsystems,
    });
    this.scheduler = new Scheduler(
      this.term,
      this.arrivals,
      (type) => this.capacity.spotShort(type),
      (spot) => this.capacity.target(spot),
      this.subsystems,
    );
    this.direct = new DirectCommands(this.term, () => this.schedule());
    this.store = new TermStore({
      term: this.term,
      store: store,
      clock: deps.clock,
      log: deps.log,
      onLost,
      subsystems: this.subsystems,
    });
    this.subsystems.begin(subsystems, (subsystem) => this.view(subsystem.name));
    if (deps.replica.machineTypes === null && this.term.types.size > 0) this.store.markTypes();
  }

  private view(subsystem: string): TermView {
    const { term, capacity, store, scheduler } = this;
    return new SubsystemView(subsystem, {
      term,
      capacity,
      nudgeStore: () => store.nudge(),
      moveReplica: (attempt, mayFetch) => scheduler.moveReplica(attempt, capacity.rooms, mayFetch),
      moveGapS: (jobClass) => scheduler.moveGapS(jobClass),
    });
  }

  start(): void {
    void this.store.run();
    void this.capacity.fleet.run();
    this.schedule();
  }

  stop(): void {
    this.stopped = true;
    this.store.stop();
    this.capacity.fleet.stop();
    if (this.timer !== null) clearTimeout(this.timer);
    this.direct.stop();
    this.subsystems.stop();
  }

  onTypes(types: MachineType[]): void {
    const before = JSON.stringify(
      [...this.term.types.values()].map((type) => ({ ...type, spotPrice: 0 })),
    );
    this.term.setTypes(types);
    // Prices move all the time; only what validation and placing rest on is worth a write.
    if (JSON.stringify(types.map((type) => ({ ...type, spotPrice: 0 }))) !== before) {
      this.store.markTypes();
      this.store.nudge();
    }
    this.term.requestPass();
  }

  /** A job was accepted that needs no other one, or the last one that it needs is done. */
  onReady(storedJob: StoredJob): void {
    this.arrivals.add(storedJob.spec, storedJob.readyMs);
    this.term.addJob(storedJob);
  }

  onCancelled(storedJob: StoredJob): void {
    if (this.term.jobs.has(storedJob.spec.id)) this.arrivals.left(storedJob.spec);
    this.term.cancelled(storedJob);
  }

  /** Stored, as another controller knows, but kept from this one by an outage. */
  onKnownCancelled(id: string): void {
    this.term.knownCancelled(id);
  }

  // Reports

  /** The report in a body, parsed unless it repeats the machine's last one. Throws BadMessage. */
  decodeHeartbeat(body: Buffer): Heartbeat {
    const machine = scanMachineId(body);
    const known = machine === null ? undefined : this.term.machines.get(machine);
    return known?.lastHeartbeat.decodeRepetition(body) ?? decodeHeartbeat(body);
  }

  /**
   * A worker's check-in, straight from it or passed on by another controller. `body`: what it was read from,
   * if the machine's next report is to be compared with it.
   */
  answerHeartbeat(heartbeat: Heartbeat, body?: Buffer): Reply {
    const { term, deps } = this;
    if (!deps.entitled()) return { status: 503, retryAfter: 1 };
    // Of a later leader: it would drop an answer from here, and its lease would run out meanwhile.
    if (term.isLater(heartbeat.token)) return { status: 503, retryAfter: 1 };
    // A copy that was held back. Taken for a machine, work would be placed on it.
    if (term.returned.has(heartbeat.machine)) return { status: 503, retryAfter: 1 };
    const now = term.now;
    const machine = this.machineOf(heartbeat);
    const repeated = machine.isRepeated(heartbeat);
    if (body !== undefined && !repeated && !machine.lastHeartbeat.wasDecodedFrom(heartbeat)) {
      machine.lastHeartbeat.keep(heartbeat, body);
    }
    // Fenced once by this term, forgotten, and back.
    if (heartbeat.token > machine.token) machine.raiseToken(term.latestRevision);
    const changes = machine.applyHeartbeat(heartbeat, true, now);
    if (!changes.stale) term.digest(machine, changes);
    const fresh =
      !changes.stale &&
      (machine.state === 'ready' || machine.state === 'returning') &&
      heartbeat.token === machine.token;
    const commands = fresh
      ? machine.dueCommands(now, (attempt) => term.mayStart(attempt), true)
      : [];
    machine.markSent(commands, 'checkin', now);
    if (fresh) term.urgent.delete(machine.id);
    if (!repeated) machine.leaseRenewed(now);
    return { status: 200, body: encodeHeartbeatReply(machine.token, commands) };
  }

  private machineOf(heartbeat: Heartbeat): Machine {
    const known = this.term.machines.has(heartbeat.machine);
    const machine = this.term.machine(heartbeat.machine);
    if (!known) {
      this.deps.log.info(
        { machine: machine.id, type: heartbeat.type, zone: heartbeat.zone },
        'machine reports',
      );
      this.capacity.fleet.heard(machine.id);
      this.term.requestPass();
    }
    return machine;
  }

  // Passes

  private schedule(): void {
    if (this.stopped || this.timer !== null) return;
    const wait = Math.max(PASS_GAP_S / 4, this.pacing.nextAt - this.deps.clock.now());
    this.timer = setTimeout(() => {
      this.timer = null;
      try {
        this.costs.time('pass', () => this.pass());
      } catch (error) {
        this.deps.log.error({ err: String(error), stack: (error as Error).stack }, 'pass failed');
      }
    }, wait * 1000);
  }

  /** Called about twice a report interval, for what comes with time alone. */
  tick(): void {
    if (this.stopped) return;
    if (!this.fencedLogged) this.logFenced();
    this.capacity.consolidate();
    if (this.deps.writing()) this.term.fenceUnanswered();
    dividePending(this.term);
    // Before the sweep: what has just ended can still be looked at.
    this.subsystems.tick();
    this.sweep();
    this.term.requestPass();
  }

  private pass(): void {
    if (this.stopped) return;
    const began = this.deps.clock.now();
    const { term, deps, capacity } = this;
    if (!deps.entitled()) return;
    term.expire();
    if (deps.writing()) {
      const r = this.scheduler.pass();
      capacity.demand = r.demand;
      capacity.rooms = r.rooms;
      capacity.usages = r.usages;
    }
    for (const machine of term.machines.values())
      if (machine.hasActiveAttempts()) machine.idleSince = began;
    if (term.dirtyMachines.size > 0 || this.anyDirty()) this.store.nudge();
    this.direct.push();
    if (capacity.demand.length > 0) capacity.fleet.nudge();
    const end = deps.clock.now();
    this.pacing.ended(began, end);
  }

  private logFenced(): void {
    const { machines, now, startedAt } = this.term;
    if (now - startedAt > this.deps.settings.workers.lease_s) this.fencedLogged = true;
    for (const machine of machines.values())
      if (machine.state === 'unheard' || machine.state === 'fencing') return;
    this.fencedLogged = true;
    this.deps.log.info({ machines: machines.size, tookS: now - startedAt }, 'all machines fenced');
  }

  private anyDirty(): boolean {
    for (const job of this.term.jobs.values()) if (job.progress.dirty.size > 0) return true;
    return false;
  }

  /** Forgets jobs and machines that are over. */
  private sweep(): void {
    closeJobs(this.term);
    for (const machine of lostForGood(this.term)) {
      // Not in the cloud's list either: nothing is left to give back.
      if (this.capacity.unlisted(machine.id)) this.forget(machine);
    }
  }

  private forget(machine: Machine): void {
    this.term.forget(machine);
    this.direct.forget(machine.id);
  }

  // Figures

  figures(): Record<string, number | string> {
    return { ...figures(this.term, this.capacity), ...this.subsystems.figures() };
  }
}
