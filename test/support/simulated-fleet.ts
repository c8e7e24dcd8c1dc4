/** Workers that follow the protocol, and the rules that they can see broken. Time moves by hand. */
import type { Command, Heartbeat, TaskStatus } from '../../src/wire/workers.js';
import { attemptKey } from '../../src/workers/attempt.js';

/** A worker by the protocol; images are there at once. */
export class Worker {
  agentEpoch = 1;
  sequence = 0;
  token = 0;
  /** Its heartbeats arrive, nothing reaches it. */
  deaf = false;
  /** Its reports don't arrive. */
  mute = false;
  reclaimNoticeS: number | null = null;
  answeredAt: number;
  readonly tasks = new Map<string, TaskStatus>();

  constructor(
    readonly id: string,
    readonly fleet: Fleet,
    readonly zone = 'z1',
  ) {
    this.answeredAt = fleet.now;
  }

  /** Its next heartbeat. */
  heartbeat(): Heartbeat {
    this.sequence++;
    return {
      machine: this.id, addr: '127.0.0.1:1', type: 'g8', zone: this.zone, spot: false,
      agentEpoch: this.agentEpoch, sequence: this.sequence, token: this.token, reclaimNoticeS: this.reclaimNoticeS,
      tasks: [...this.tasks.values()].map((task) => ({ ...task })),
    }; // prettier-ignore
  }

  /** Its lease may have expired. */
  tick(): void {
    if (this.fleet.now - this.answeredAt <= this.fleet.leaseS) return;
    this.tasks.clear();
    this.agentEpoch++;
    this.answeredAt = this.fleet.now;
  }

  /** The answer to a heartbeat that was sent at `sentAt`. */
  takeAnswer(token: number, commands: Command[], sentAt: number): void {
    if (this.deaf || token < this.token) return;
    this.token = token;
    this.answeredAt = sentAt;
    this.execute(commands);
  }

  /** Null: refused, or lost. */
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
      if (command.kind === 'forget' && task?.state === 'ended') this.tasks.delete(key);
      if (command.kind === 'stop' && task !== undefined) this.stop(task, command.graceS);
      if (command.kind !== 'start' || task !== undefined) continue;
      this.fleet.noteStart(this, command);
      const { job, index, attempt } = command;
      this.tasks.set(key, { job, index, attempt, state: 'running', cause: null, saved: false });
    }
  }

  /** Nothing is saved here. */
  protected stop(task: TaskStatus, _graceS: number): void {
    this.end(task, 'stopped');
  }

  /** A task ends. */
  end(task: TaskStatus, cause: TaskStatus['cause']): void {
    if (task.state === 'ended') return;
    task.state = 'ended';
    task.cause = cause;
  }

  /** Tasks of a job that have not ended. */
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
  readonly violations: string[] = [];

  constructor(readonly leaseS: number) {}

  /** A machine is there from now on. */
  add(id: string, zone = 'z1'): Worker {
    const worker = this.makeWorker(id, zone);
    this.workers.set(id, worker);
    return worker;
  }

  /** The kind of worker that this fleet has. */
  protected makeWorker(id: string, zone: string): Worker {
    return new Worker(id, this, zone);
  }

  /** A worker starts a task: looks whether a rule is broken. */
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

  /** How many tasks of a job are on machines. */
  running(job: string): number {
    return [...this.workers.values()].reduce((n, worker) => n + worker.running(job).length, 0);
  }
}

const KIND_BY_VERB = { start: 'start', kill: 'stop', reap: 'forget' } as const;

/** A command as it stands in the answer to a heartbeat. */
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

/** The body of a 200 to a heartbeat. */
export function decodeHeartbeatReply(body: string): { token: number; commands: Command[] } {
  const { hallmark, orders } = JSON.parse(body) as { hallmark: number; orders: EncodedCommand[] };
  return { token: hallmark, commands: orders.map(decodeCommand) };
}
