/**
 * Fixtures of the meeting tests: a key-value store in memory whose transactions can be late or lose
 * their answers, workers that follow the protocol, and a leader over both. Time moves by hand, and
 * nothing opens a socket.
 */
import type { CloudClient } from '../src/cloud/client.js';
import type { Settings } from '../src/config/settings.js';
import type { JobSpec } from '../src/jobs/types.js';
import { silentLog } from '../src/log.js';
import { DEFAULT_POLICY } from '../src/operator/policy.js';
import { LatencyHistograms } from '../src/latency-histograms.js';
import { Leader } from '../src/leader/leader.js';
import type { Scheduler } from '../src/leader/scheduling/scheduler.js';
import type { CapacityManager } from '../src/leader/capacity/capacity-manager.js';
import type { Subsystem } from '../src/subsystems/subsystem.js';
import {
  RequestRejectedError,
  OutcomeUnknownError,
  type CompareAndSwapResult,
  type KeyValueStoreClient,
} from '../src/store/client.js';
import * as records from '../src/store/records.js';
import { Replica } from '../src/store/replica.js';
import type { Change, Precondition, KeyValue, Operation } from '../src/wire/key-value-store.js';
import type { Command, Heartbeat, TaskStatus } from '../src/wire/workers.js';
import { attemptKey } from '../src/workers/attempt.js';
import type { Machine } from '../src/workers/machine.js';
import { g8, settings, spec } from './helpers.js';
import { fake } from './support/fake.js';

/** What becomes of the next transactions. */
export type Mode = 'serve' | 'refuse' | 'lose answers' | 'hold back';

/** A key-value store by the protocol. Its methods are those of the client that the code under test uses. */
export class MemoryStore implements Pick<
  KeyValueStoreClient,
  'compareAndSwap' | 'get' | 'changes' | 'grantLease' | 'keepLeaseAlive' | 'setRole'
> {
  mode: Mode = 'serve';
  ledger = 0;
  commits = 0;
  readonly valueBytes = 8192;
  readonly operationsPerTransaction = 20;
  rejectedSince: number | null = null;
  readonly writeBudget = { available: 1e6, capacity: 1e6, force: () => undefined, wait: () => 0 };
  private readonly items = new Map<string, KeyValue>();
  private readonly log: Change[] = [];
  private readonly held: (() => void)[] = [];
  private leases = 0;

  client(): KeyValueStoreClient {
    return fake<KeyValueStoreClient>(this);
  }

  setRole(): void {
    // No limits to share out.
  }

  private apply(guards: Precondition[], ops: Operation[]): CompareAndSwapResult {
    const failed = guards.filter(
      (precondition) => (this.items.get(precondition.key)?.revision ?? 0) !== precondition.revision,
    );
    if (failed.length > 0)
      return { ok: false, failed: failed.map((precondition) => precondition.key) };
    if (ops.length > 0) this.ledger++;
    for (const op of ops) {
      const revision = this.ledger;
      if ('remove' in op) {
        this.items.delete(op.remove);
        this.log.push({ kind: 'removed', key: op.remove, revision });
      } else {
        const item = { key: op.put, value: JSON.parse(JSON.stringify(op.value)), revision };
        this.items.set(op.put, item);
        this.log.push({ kind: 'put', ...item });
      }
    }
    return { ok: true, revision: this.ledger };
  }

  compareAndSwap(guards: Precondition[], ops: Operation[]): Promise<CompareAndSwapResult> {
    this.commits++;
    if (this.mode === 'refuse') return Promise.reject(new RequestRejectedError(503));
    if (this.mode === 'hold back') {
      this.held.push(() => this.apply(guards, ops));
      return Promise.reject(new OutcomeUnknownError('held back'));
    }
    const result = this.apply(guards, ops);
    if (this.mode === 'lose answers') return Promise.reject(new OutcomeUnknownError('answer lost'));
    return Promise.resolve(result);
  }

  /** What was held back is carried out now. */
  deliver(): void {
    for (const late of this.held.splice(0)) late();
  }

  get(key: string): Promise<KeyValue | null> {
    if (this.mode === 'refuse') return Promise.reject(new RequestRejectedError(503));
    return Promise.resolve(this.items.get(key) ?? null);
  }

  changes(_prefix: string, after: number): Promise<{ revision: number; changes: Change[] }> {
    if (this.mode === 'refuse') return Promise.reject(new RequestRejectedError(503));
    const changes = this.log.filter((change) => change.revision > after);
    return Promise.resolve({ revision: this.ledger, changes });
  }

  grantLease(): Promise<number> {
    return Promise.resolve(++this.leases);
  }

  keepLeaseAlive(): Promise<boolean> {
    return Promise.resolve(true);
  }

  put(key: string, value: unknown): number {
    this.apply([], [{ put: key, value }]);
    return this.ledger;
  }

  keys(): string[] {
    return [...this.items.keys()];
  }

  value(key: string): unknown {
    return this.items.get(key)?.value;
  }

  revision(key: string): number {
    return this.items.get(key)?.revision ?? 0;
  }

  /** Keys begin with the controller that writes them: what comes later may be listed first. */
  accept(over: Partial<JobSpec>, atMs = 0, writer = 'b'): number {
    const value = records.encodeRequestBatch({
      jobs: [{ spec: spec(over), atMs }],
      cancelledIds: [],
    });
    return this.put(`${records.JOBS}${writer}-${this.ledger}`, value);
  }

  cancel(id: string, writer = 'b'): number {
    const value = records.encodeRequestBatch({ jobs: [], cancelledIds: [id] });
    return this.put(`${records.JOBS}${writer}-${this.ledger}`, value);
  }

  /** Feeds a replica with the stream of changes. */
  feed(replica: Replica): Replica {
    replica.advance(this.ledger, this.log);
    return replica;
  }

  /** A replica that lists the store afresh, in the order of keys. */
  listed(listener: Replica['listener'] = {}): Replica {
    const replica = new Replica(this.valueBytes);
    replica.listener = listener;
    const keys = [...this.items.keys()].sort();
    for (const key of keys) replica.applyListed(this.items.get(key)!);
    replica.removeMissing(new Set(keys), this.ledger);
    replica.applied = this.ledger;
    replica.listingComplete();
    return replica;
  }
}

export type Broken = string[];

/** A worker by the protocol; images are there at once. */
export class Worker {
  session = 1;
  seq = 0;
  token = 0;
  /** Its heartbeats arrive, nothing reaches it. */
  deaf = false;
  /** Its reports don't arrive. */
  mute = false;
  noticeS: number | null = null;
  answeredAt: number;
  readonly tasks = new Map<string, TaskStatus>();

  constructor(
    readonly id: string,
    readonly fleet: Fleet,
    readonly zone = 'z1',
  ) {
    this.answeredAt = fleet.now;
  }

  report(): Heartbeat {
    this.seq++;
    return {
      machine: this.id, addr: '127.0.0.1:1', type: 'g8', zone: this.zone, spot: false,
      agentEpoch: this.session, sequence: this.seq, token: this.token, reclaimNoticeS: this.noticeS,
      tasks: [...this.tasks.values()].map((task) => ({ ...task })),
    }; // prettier-ignore
  }

  /** Its lease may have expired. */
  tick(): void {
    if (this.fleet.now - this.answeredAt <= this.fleet.leaseS) return;
    this.tasks.clear();
    this.session++;
    this.answeredAt = this.fleet.now;
  }

  answered(token: number, orders: Command[], sentAt: number): void {
    if (this.deaf || token < this.token) return;
    this.token = token;
    this.answeredAt = sentAt;
    this.execute(orders);
  }

  /** Null: refused, or lost. */
  direct(token: number, session: number, orders: Command[]): Heartbeat | null {
    if (token < this.token || session !== this.session) return null;
    this.token = token;
    this.execute(orders);
    return this.report();
  }

  private execute(orders: Command[]): void {
    for (const command of orders) {
      const key = attemptKey(command.job, command.index, command.attempt);
      const task = this.tasks.get(key);
      if (command.kind === 'forget' && task?.state === 'ended') this.tasks.delete(key);
      if (command.kind === 'stop' && task !== undefined) this.stop(task, command.graceS);
      if (command.kind !== 'start' || task !== undefined) continue;
      this.fleet.started(this, command);
      const { job, index, attempt } = command;
      this.tasks.set(key, { job, index, attempt, state: 'running', cause: null, saved: false });
    }
  }

  /** Nothing is saved here. */
  protected stop(task: TaskStatus, _graceS: number): void {
    this.end(task, 'stopped');
  }

  end(task: TaskStatus, cause: TaskStatus['cause']): void {
    if (task.state === 'ended') return;
    task.state = 'ended';
    task.cause = cause;
  }

  running(job: string): TaskStatus[] {
    return [...this.tasks.values()].filter((task) => task.job === job && task.state !== 'ended');
  }
}

/** All workers, and the rules that they can see broken. */
export class Fleet {
  now = 0;
  readonly workers = new Map<string, Worker>();
  readonly starts = new Map<string, number>();
  /** Jobs whose users were told that they are cancelled. */
  readonly cancelled = new Set<string>();
  readonly broken: Broken = [];

  constructor(readonly leaseS: number) {}

  add(id: string, zone = 'z1'): Worker {
    const worker = this.makeWorker(id, zone);
    this.workers.set(id, worker);
    return worker;
  }

  protected makeWorker(id: string, zone: string): Worker {
    return new Worker(id, this, zone);
  }

  started(on: Worker, command: Command): void {
    const name = `${command.job}/${command.index}`;
    this.starts.set(name, (this.starts.get(name) ?? 0) + 1);
    if (this.cancelled.has(command.job)) this.broken.push(`ran_cancelled ${name}`);
    for (const other of this.workers.values()) {
      if (other.running(command.job).some((task) => task.index === command.index)) {
        this.broken.push(`ran_twice ${name}: ${on.id} and ${other.id}`);
      }
    }
  }

  running(job: string): number {
    return [...this.workers.values()].reduce((n, worker) => n + worker.running(job).length, 0);
  }
}

/** What runs from timers in a leader, driven by hand here. */
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

export interface WorldExtras {
  subsystems?: readonly Subsystem[];
  cloud?: CloudClient;
  /** Workers that do more than the usual ones. */
  fleet?: Fleet;
}

/** A leader over a store and a fleet. `takeOver` ends it, and another one begins. */
export class World {
  readonly settings: Settings = settings();
  readonly store = new MemoryStore();
  readonly fleet: Fleet;
  leader!: Leader;
  parts!: LeaderParts;
  replica!: Replica;
  token = 0;
  writing = true;
  zone = { keptUntil: -Infinity, provenAt: Infinity };
  returned: string[] = [];
  /** By how much the time of day has jumped on the leader's machine. */
  wallJumpMs = 0;

  constructor(
    gpusMax = 100,
    private readonly extras: WorldExtras = {},
  ) {
    this.fleet = extras.fleet ?? new Fleet(this.settings.workers.lease_s);
    this.settings.teams.set('t', { name: 't', cores: 0, coresMax: 0, gpus: 0, gpusMax });
    this.store.put(records.MACHINE_TYPES, [g8]);
    this.takeOver();
  }

  get now(): number {
    return this.fleet.now;
  }

  /** Time of day, in ms, as the leader's machine shows it. */
  wallMs(): number {
    return 1e9 + this.now * 1000 + this.wallJumpMs;
  }

  get term(): Leader['term'] {
    return this.leader.term;
  }

  machine(id: string): Machine {
    return this.term.machines.get(id)!;
  }

  /** The leader ends with all that it has in memory; another controller leads from now on. */
  takeOver(): void {
    const value = records.encodeLeader({ node: 'n', incarnation: `n-${this.store.ledger}` });
    this.token = this.store.put(records.LEADER, value);
    const { token } = this;
    const replica = this.store.listed();
    this.replica = replica;
    this.leader = new Leader(
      {
        settings: this.settings,
        clock: { now: () => this.now },
        wallMs: () => this.wallMs(),
        log: silentLog(),
        replica,
        policy: DEFAULT_POLICY,
        token,
        incarnation: 'n',
        allReadDenseRecords: () => true,
        isEntitled: () => this.token === token,
        canWrite: () => this.writing && this.token === token,
        othersRenewUntil: () => -Infinity,
        zoneRenewal: () => this.zone,
        requestProof: () => undefined,
      },
      {
        store: this.store.client(),
        cloud: this.extras.cloud ?? fake<CloudClient>({ listMachines: () => Promise.resolve([]) }),
        onLeadershipLost: () => undefined,
        latencies: new LatencyHistograms(() => this.now),
        subsystems: this.extras.subsystems,
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

  job(over: Partial<JobSpec> = {}): void {
    this.store.accept(over, 1e9 + this.now * 1000);
    this.store.feed(this.replica);
  }

  /** The user is told so as soon as it is stored. */
  cancel(id: string): void {
    this.store.cancel(id);
    this.fleet.cancelled.add(id);
  }

  /** A worker reports and gets its answer. */
  checkin(worker: Worker): void {
    if (worker.mute) return;
    const sentAt = this.now;
    const reply = this.leader.answerHeartbeat(worker.report());
    if (reply.status !== 200) return;
    const { hallmark, orders } = JSON.parse(String(reply.body)) as {
      hallmark: number;
      orders: { verb: string; piece: string; pour: number; cooling_s?: number }[];
    };
    worker.answered(hallmark, orders.map(asCommand), sentAt);
  }

  /** A direct command goes out; the caller says what becomes of it. */
  sendDirect(id: string): { arrive(): void; unanswered(): void } {
    const machine = this.machine(id);
    const worker = this.fleet.workers.get(id)!;
    const commands = machine.dueCommands((attempt) => this.term.mayStart(attempt), false);
    const { agentEpoch } = machine;
    const { token } = this;
    machine.markSent(commands, 'direct', this.now);
    return {
      arrive: () => void worker.direct(token, agentEpoch, commands),
      unanswered: () => machine.directCommandsEnded(commands, 'unknown', agentEpoch, this.now),
    };
  }

  async flush(): Promise<void> {
    for (let i = 0; i < 20 && this.writing && (await this.parts.writer.writeBatch()); i++);
    this.store.feed(this.replica);
  }

  /** One transaction that the key-value store meets in this mode; from then on it serves. */
  async flushOnceAs(mode: Mode): Promise<void> {
    this.store.mode = mode;
    await this.parts.writer.writeBatch();
    this.store.mode = 'serve';
  }

  pass(): void {
    this.store.feed(this.replica);
    this.parts.runCycle();
  }

  /** Time passes: workers report every interval, the leader places, stores and commands. */
  async run(seconds: number): Promise<void> {
    const { report_s } = this.settings.workers;
    for (let left = seconds; left > 1e-9; left -= report_s) {
      this.fleet.now += report_s;
      for (const worker of this.fleet.workers.values()) {
        worker.tick();
        this.checkin(worker);
      }
      this.pass();
      await this.flush();
      this.leader.tick();
    }
  }
}

const OPS = { start: 'start', kill: 'stop', reap: 'forget' } as const;

function asCommand(o: { verb: string; piece: string; pour: number; cooling_s?: number }): Command {
  const [job, index] = o.piece.split('/') as [string, string];
  const base = { job, index: Number(index), attempt: o.pour };
  const kind = OPS[o.verb as keyof typeof OPS];
  return kind === 'stop' ? { kind, ...base, graceS: o.cooling_s ?? 0 } : { kind, ...base };
}
