/**
 * A leader with an in-memory store and simulated workers. Tests advance the clock, and nothing opens a socket.
 */
import type { CloudClient } from '../../src/cloud/client.js';
import type { Settings } from '../../src/config/settings.js';
import type { JobSpec, MachineType } from '../../src/jobs/types.js';
import { LatencyHistograms } from '../../src/latency-histograms.js';
import type { CapacityManager } from '../../src/leader/capacity/capacity-manager.js';
import { Leader } from '../../src/leader/leader.js';
import type { Scheduler } from '../../src/leader/scheduling/scheduler.js';
import { silentLog } from '../../src/log.js';
import { DEFAULT_POLICY } from '../../src/operator/policy.js';
import * as records from '../../src/store/records.js';
import type { Replica } from '../../src/store/replica.js';
import type { Subsystem } from '../../src/subsystems/subsystem.js';
import { TimeOfDay } from '../../src/time-of-day.js';
import type { Machine } from '../../src/workers/machine.js';
import type { DirectOutcome } from '../../src/workers/machine-attempts.js';
import { g8, settings } from '../helpers.js';
import { fake } from './fake.js';
import { MemoryStore, type StoreMode } from './memory-store.js';
import { decodeHeartbeatReply, Fleet, type Worker } from './simulated-fleet.js';

/** Internals of a leader that normally run from timers and that the simulation calls directly. */
interface LeaderParts {
  scheduleCycle(): void;
  runCycle(): void;
  collectGarbage(): void;
  forgetMachine(machine: Machine): void;
  writer: { writeBatch(): Promise<boolean> };
  scheduler: Scheduler;
  capacity: CapacityManager;
  dispatcher: { dispatch(): void };
}

/** The leader's decisions so far. */
interface Decisions {
  /** Key, revision and value of each record, by key. */
  stored: [string, number, unknown][];
  /** How often each task was started, by `job/index`. */
  starts: [string, number][];
  wanted: ReturnType<CapacityManager['machinesToAdd']>;
}

/** Optional components of a world. */
export interface LeaderWorldOptions {
  subsystems?: readonly Subsystem[];
  cloud?: CloudClient;
  /** A fleet of extended workers. */
  fleet?: Fleet;
  /** Times that replace those of the settings. */
  workers?: Partial<Settings['workers']>;
  /** The type of all machines; absent: `g8`. */
  machineType?: MachineType;
}

/** A leader with a store and a fleet. `failOver` replaces the leader by a new one. */
export class LeaderWorld {
  readonly settings: Settings = settings();
  readonly store = new MemoryStore();
  readonly fleet: Fleet;
  leader!: Leader;
  parts!: LeaderParts;
  replica!: Replica;
  token = 0;
  canWrite = true;
  zoneRenewal = { renewedUntil: -Infinity, provenUntil: Infinity };
  /** Renewals that other controllers give in the leader's place. */
  substituteRenewal = { renewedUntil: -Infinity, provenUntil: Infinity };
  /** How often the leader has asked a majority for a proof of these renewals. */
  proofsRequested = 0;
  machinesReturned: string[] = [];
  /** Offset of the time of day on the leader's machine after a clock jump. */
  wallClockJumpMs = 0;

  constructor(
    gpusMax = 100,
    private readonly options: LeaderWorldOptions = {},
  ) {
    Object.assign(this.settings.workers, options.workers);
    this.fleet = options.fleet ?? new Fleet(this.settings.workers.lease_s);
    this.settings.teams.set('t', { name: 't', cores: 0, coresMax: 0, gpus: 0, gpusMax });
    this.store.put(records.MACHINE_TYPES, [options.machineType ?? g8]);
    this.failOver();
  }

  /** Seconds since the beginning. */
  get now(): number {
    return this.fleet.now;
  }

  /** Time of day on the leader's machine, in ms. */
  wallMs(): number {
    return 1e9 + this.now * 1000 + this.wallClockJumpMs;
  }

  /** The present leader's term. */
  get term(): Leader['term'] {
    return this.leader.term;
  }

  /** A machine as the leader knows it. */
  machine(id: string): Machine {
    return this.term.machines.get(id)!;
  }

  private makeTimeOfDay(): TimeOfDay {
    return new TimeOfDay({
      clock: { now: () => this.now },
      wallMs: () => this.wallMs(),
      skewMs: this.settings.skewMs,
      leaseS: this.settings.workers.lease_s,
    });
  }

  /** Ends the leader, whose memory is lost; another controller leads from now on. */
  failOver(): void {
    const value = records.encodeLeader({
      node: 'n',
      incarnation: `n-${this.store.currentRevision}`,
    });
    this.token = this.store.put(records.LEADER, value);
    const { token } = this;
    const replica = this.store.listedReplica();
    this.replica = replica;
    this.leader = new Leader(
      {
        settings: this.settings,
        clock: { now: () => this.now },
        timeOfDay: this.makeTimeOfDay(),
        log: silentLog(),
        replica,
        policy: DEFAULT_POLICY,
        token,
        incarnation: 'n',
        allReadDenseRecords: () => true,
        isEntitled: () => this.token === token,
        canWrite: () => this.canWrite && this.token === token,
        substituteRenewal: () => this.substituteRenewal,
        requestSubstituteProof: () => void this.proofsRequested++,
        zoneRenewal: () => this.zoneRenewal,
        requestZoneProof: () => undefined,
        cancellationKnownAt: () => undefined,
      },
      {
        store: this.store.client(),
        cloud: this.options.cloud ?? fake<CloudClient>({ listMachines: () => Promise.resolve([]) }),
        onLeadershipLost: () => undefined,
        latencies: new LatencyHistograms(() => this.now),
        subsystems: this.options.subsystems,
      },
    );
    const leader = this.leader;
    this.parts = leader as unknown as LeaderParts;
    this.parts.scheduleCycle = () => undefined;
    this.parts.dispatcher.dispatch = () => undefined;
    replica.listener = {
      onReady: (storedJob) => leader.onReady(storedJob),
      onCancelled: (storedJob) => leader.onCancelled(storedJob),
    };
    this.parts.capacity.provisioner.listedOnce = true;
  }

  /** Stores a job as accepted; the leader reads it. */
  submitJob(over: Partial<JobSpec> = {}): void {
    this.store.accept(over, 1e9 + this.now * 1000);
    this.store.replayInto(this.replica);
  }

  /** Stores a cancellation; the user gets the answer as soon as it is stored. */
  cancel(id: string): void {
    this.store.cancel(id);
    this.fleet.cancelled.add(id);
  }

  /** As `cancel`, with the leader reachable: the user gets the answer once the leader has noted the cancellation. */
  cancelNotedByLeader(id: string): void {
    this.store.cancel(id);
    this.leader.onCancellationStored(id);
    this.fleet.cancelled.add(id);
  }

  /** Sends a worker's heartbeat to the leader and delivers the answer. */
  exchangeHeartbeat(worker: Worker): void {
    if (worker.heartbeatsLost) return;
    const sentAt = this.now;
    const reply = this.leader.answerHeartbeat(worker.heartbeat());
    if (reply.status !== 200) return;
    const { token, commands } = decodeHeartbeatReply(String(reply.body));
    worker.takeAnswer(token, commands, sentAt);
  }

  /** Sends the due direct commands; the caller determines whether they arrive and are answered. */
  sendDirect(id: string): { arrive(): void; unanswered(): void; answered(): DirectOutcome } {
    const machine = this.machine(id);
    const worker = this.fleet.workers.get(id)!;
    const commands = machine.dueCommands((attempt) => this.term.mayStartDirectly(attempt), false);
    const { agentEpoch, token } = machine;
    machine.markSent(commands, 'direct', this.now);
    return {
      arrive: () => void worker.takeDirect(token, agentEpoch, commands),
      answered: () => {
        const heartbeat = worker.takeDirect(token, agentEpoch, commands);
        const outcome = heartbeat === null ? 'refused' : 'done';
        machine.applyDirectOutcome(commands, outcome, this.now);
        if (heartbeat !== null) {
          const changes = machine.applyHeartbeat(heartbeat, 'direct-answer', this.now);
          this.term.reconcile(machine, changes);
        }
        return outcome;
      },
      unanswered: () => machine.applyDirectOutcome(commands, 'unknown', this.now),
    };
  }

  /** Writes until nothing is due; the leader reads the changes. */
  async writeAll(): Promise<void> {
    for (let i = 0; i < 20 && this.canWrite && (await this.parts.writer.writeBatch()); i++);
    this.store.replayInto(this.replica);
  }

  /** Writes one batch with the store in this mode, then sets the store to `serve`. */
  async writeOnceInMode(mode: StoreMode): Promise<void> {
    this.store.mode = mode;
    await this.parts.writer.writeBatch();
    this.store.mode = 'serve';
  }

  /** All stored records, started tasks and machines to add, for comparing the decisions of two runs. */
  decisions(): Decisions {
    const { store, fleet } = this;
    return {
      stored: store
        .keys()
        .sort()
        .map((key) => [key, store.revision(key), store.value(key)]),
      starts: [...fleet.starts],
      wanted: this.parts.capacity.machinesToAdd(),
    };
  }

  /** The leader reads the store's changes and runs a scheduling cycle. */
  runCycle(): void {
    this.store.replayInto(this.replica);
    this.parts.runCycle();
  }

  /** Advances the time: in every interval workers send heartbeats, and the leader places, stores and commands. */
  async run(seconds: number): Promise<void> {
    const { report_s } = this.settings.workers;
    for (let left = seconds; left > 1e-9; left -= report_s) {
      this.fleet.now += report_s;
      for (const worker of this.fleet.workers.values()) {
        worker.tick();
        this.exchangeHeartbeat(worker);
      }
      this.runCycle();
      await this.writeAll();
      this.leader.tick();
    }
  }
}
