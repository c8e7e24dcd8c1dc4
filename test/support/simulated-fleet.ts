/** Simulated workers that follow the protocol in simulated time and detect violations of invariants. */
import type { Command, Heartbeat, TaskStatus } from '../../src/wire/workers.js';
import { attemptKey } from '../../src/workers/attempt.js';

/** A worker that follows the protocol; images take no time to load. */
export class Worker {
  agentEpoch = 1;
  sequence = 0;
  token = 0;
  /** All messages to it are lost; its heartbeats arrive. */
  inboundLost = false;
  /** Its heartbeats are lost; direct commands reach it. */
  heartbeatsLost = false;
  /** It executes and sends nothing; direct commands to it wait. */
  hangs = false;
  /** It has no room: each start is refused and reported as ended. */
  refusesStarts = false;
  reclaimNoticeS: number | null = null;
  spot = false;
  answeredAt: number;
  /** Number of changes of its tasks. */
  taskChanges = 0;
  readonly tasks = new Map<string, TaskStatus>();

  constructor(
    readonly id: string,
    readonly fleet: Fleet,
    readonly zone = 'z1',
  ) {
    this.answeredAt = fleet.now;
  }

  /** Creates its next heartbeat. */
  heartbeat(): Heartbeat {
    this.sequence++;
    return {
      machine: this.id, addr: '127.0.0.1:1', type: 'g8', zone: this.zone, spot: this.spot,
      agentEpoch: this.agentEpoch, sequence: this.sequence, token: this.token, reclaimNoticeS: this.reclaimNoticeS,
      tasks: [...this.tasks.values()].map((task) => ({ ...task })),
    }; // prettier-ignore
  }

  /** Ends all tasks and begins a new agent epoch if the lease has expired. */
  tick(): void {
    if (this.fleet.now - this.answeredAt <= this.fleet.leaseS) return;
    this.restart();
  }

  /** Forgets all tasks and begins a new agent epoch. */
  restart(): void {
    this.taskChanges++;
    this.tasks.clear();
    this.agentEpoch++;
    this.answeredAt = this.fleet.now;
  }

  /** Applies the answer to a heartbeat that was sent at `sentAt`. */
  takeAnswer(token: number, commands: Command[], sentAt: number): void {
    if (this.inboundLost || token < this.token) return;
    this.token = token;
    this.answeredAt = sentAt;
    this.execute(commands);
  }

  /** Executes direct commands. Returns a heartbeat; null: refused for an old token or another agent epoch. */
  takeDirect(token: number, agentEpoch: number, commands: Command[]): Heartbeat | null {
    if (token < this.token || agentEpoch !== this.agentEpoch) return null;
    this.token = token;
    this.execute(commands);
    return this.heartbeat();
  }

  private execute(commands: Command[]): void {
    for (const command of commands) {
      const key = attemptKey(command.job, command.index, command.attempt);
      const task = this.tasks.get(key);
      if (command.kind === 'forget' && task?.state === 'ended') {
        this.taskChanges++;
        this.tasks.delete(key);
      }
      if (command.kind === 'stop' && task !== undefined) this.stop(task, command.graceS);
      if (command.kind !== 'start' || task !== undefined) continue;
      this.begin(key, command);
    }
  }

  private begin(key: string, command: Command): void {
    const { job, index, attempt } = command;
    const task: TaskStatus = { job, index, attempt, state: 'running', cause: null, saved: false };
    if (this.refusesStarts) this.end(task, 'full');
    else this.fleet.noteStart(this, command);
    this.taskChanges++;
    this.tasks.set(key, task);
  }

  /** Stops a task without saving its progress. */
  protected stop(task: TaskStatus, _graceS: number): void {
    this.end(task, 'stopped');
  }

  /** Ends a task. */
  end(task: TaskStatus, cause: TaskStatus['cause']): void {
    if (task.state === 'ended') return;
    this.taskChanges++;
    task.state = 'ended';
    task.cause = cause;
  }

  /** Tasks of a job that have not ended. */
  running(job: string): TaskStatus[] {
    return [...this.tasks.values()].filter((task) => task.job === job && task.state !== 'ended');
  }
}

/** All workers, and the violations that they detected. */
export class Fleet {
  now = 0;
  readonly workers = new Map<string, Worker>();
  readonly starts = new Map<string, number>();
  /** Jobs whose cancellation was confirmed to a user. */
  readonly cancelled = new Set<string>();
  readonly violations: string[] = [];

  constructor(readonly leaseS: number) {}

  /** Adds a machine. */
  add(id: string, zone = 'z1'): Worker {
    const worker = this.makeWorker(id, zone);
    this.workers.set(id, worker);
    return worker;
  }

  /** Creates a worker; subclasses create other kinds. */
  protected makeWorker(id: string, zone: string): Worker {
    return new Worker(id, this, zone);
  }

  /** Records the start of a task and any violation that it causes. */
  noteStart(on: Worker, command: Command): void {
    const name = `${command.job}/${command.index}`;
    this.starts.set(name, (this.starts.get(name) ?? 0) + 1);
    if (this.cancelled.has(command.job)) this.violations.push(`ran_cancelled ${name}`);
    for (const other of this.workers.values()) {
      if (other.running(command.job).some((task) => task.index === command.index)) {
        this.violations.push(`ran_twice ${name}: ${on.id} and ${other.id}`);
      }
    }
  }

  /** Number of tasks of a job that run on machines. */
  running(job: string): number {
    return [...this.workers.values()].reduce((n, worker) => n + worker.running(job).length, 0);
  }
}

const KIND_BY_VERB = { start: 'start', kill: 'stop', reap: 'forget' } as const;

/** A command as encoded in the answer to a heartbeat. */
interface EncodedCommand {
  verb: string;
  piece: string;
  pour: number;
  cooling_s?: number;
}

function decodeCommand(order: EncodedCommand): Command {
  const [job, index] = order.piece.split('/') as [string, string];
  const base = { job, index: Number(index), attempt: order.pour };
  const kind = KIND_BY_VERB[order.verb as keyof typeof KIND_BY_VERB];
  return kind === 'stop' ? { kind, ...base, graceS: order.cooling_s ?? 0 } : { kind, ...base };
}

/** Decodes the body of an answer with status 200 to a heartbeat. */
export function decodeHeartbeatReply(body: string): { token: number; commands: Command[] } {
  const { hallmark, orders } = JSON.parse(body) as { hallmark: number; orders: EncodedCommand[] };
  return { token: hallmark, commands: orders.map(decodeCommand) };
}
