import { wait } from '../helpers.js';
import { ModelServer } from './model-server.js';
import { HttpStandIn, type Answer, type Json } from './http.js';
import type { RuleChecker } from './rules.js';

/** A task as encoded in a heartbeat. */
export interface Task {
  piece: string;
  pour: number;
  temper: 'gathering' | 'running' | 'flushing' | 'ended';
  cause: string | undefined;
  timer: NodeJS.Timeout | undefined;
  /** When it began to run, in ms; null: not yet. */
  runsSince: number | null;
  saved: boolean;
}

/** Whether a task occupies resources of its machine. */
export const occupies = (task: Task): boolean => task.temper !== 'ended';

/** Type, zone and kind of rental of a machine. */
export interface MachineProperties {
  type: string;
  zone: string;
  spot: boolean;
}

/** Times that apply to all workers. */
export interface FleetTimes {
  leaseS: number;
  gangPeerS: number;
}

/** Data that the workers of a fleet share. */
export interface FleetContext {
  rules: RuleChecker;
  times: FleetTimes;
  gpus: number;
  /** Ports of the controllers, in the order of their names. */
  controllers: number[];
  /** Controllers that new machines cannot reach. */
  unreachable: number[];
  /** If present, each machine has a model server and its own address. */
  modelServers?: ModelServers;
}

/** Settings that the workers' model servers share. */
export interface ModelServers {
  /** The port of every model server. */
  port: number;
  /** How long a model takes to load. */
  loadMs: () => number;
  /** The loopback address of a machine. */
  hostOf: (id: string) => string;
}

const HEARTBEAT_INTERVAL_LEASES = 0.05;
const ANSWER_TIMEOUT_LEASES = 0.4;
const LEASE_CHECK_MS = 10;

/** The worker of one machine. */
export class Worker extends HttpStandIn {
  tasks: Task[] = [];
  /** Its heartbeats are lost; direct commands reach it. */
  heartbeatsLost = false;
  /** Its heartbeats arrive; answers and direct commands to it are lost. */
  inboundLost = false;
  /** Controllers that it cannot reach. */
  readonly unreachable: Set<number>;
  /** Body of the last heartbeat that it sent. */
  lastHeartbeat = '{}';
  /** Number of requests with direct commands whose delivery was delayed. */
  delayedCommands = 0;
  /** Number of these that have been delivered since. */
  lateCommands = 0;
  private isFrozen = false;
  private directDelayMs = 0;
  private agentEpoch = 1;
  private sequence = 0;
  private highestToken = 0;
  /** Null where machines have no model servers. */
  readonly modelServer: ModelServer | null;
  private readonly host: string;
  private isTerminated = false;
  private controllerIndex = 0;
  private renewedAt = Date.now();
  private leaseTimer: NodeJS.Timeout | undefined;

  constructor(
    private readonly context: FleetContext,
    readonly id: string,
    readonly properties: MachineProperties,
  ) {
    super((_method, url, body) => this.answer(url.pathname, body));
    this.unreachable = new Set(context.unreachable);
    const { modelServers } = context;
    this.host = modelServers?.hostOf(id) ?? '127.0.0.1';
    const { host } = this;
    this.modelServer =
      modelServers === undefined ? null : new ModelServer({ ...modelServers, host });
  }

  /** The highest fencing token that it has received. */
  get token(): number {
    return this.highestToken;
  }

  /** Its machine type. */
  get type(): string {
    return this.properties.type;
  }

  /** Its zone. */
  get zone(): string {
    return this.properties.zone;
  }

  /** Whether the cloud may reclaim the machine. */
  get spot(): boolean {
    return this.properties.spot;
  }

  /** Starts to listen and to send heartbeats. */
  async start(): Promise<void> {
    if (this.isTerminated) return;
    await this.listen(0, this.host);
    await this.modelServer?.start();
    this.renewedAt = Date.now();
    this.leaseTimer = setInterval(() => this.checkLease(), LEASE_CHECK_MS);
    void this.heartbeatLoop();
  }

  // Faults

  /** Freezes the worker; its tasks stay on it. */
  freeze(): void {
    this.isFrozen = true;
  }

  /** Ends the freeze. Tasks that ended with the lease in the meantime stay ended. */
  thaw(): void {
    this.isFrozen = false;
  }

  /**
   * Leaves direct commands unanswered and executes them after this delay if they are still valid by then,
   * even if messages to the worker are lost when they are sent.
   */
  delayDirectCommands(ms: number): void {
    this.directDelayMs = ms;
  }

  private async untilThawed(): Promise<void> {
    while (this.isFrozen && !this.isTerminated) await wait(LEASE_CHECK_MS);
  }

  // Direct commands

  private async answer(path: string, body: Json): Promise<Answer | null> {
    if (path === '/do' && this.directDelayMs > 0) {
      this.delayedCommands++;
      setTimeout(() => this.deliverLate(body), this.directDelayMs);
      return null;
    }
    if (this.inboundLost) return null;
    await this.untilThawed();
    if (path === '/status') return [200, this.createHeartbeat()];
    return [this.executeDirect(body, false) ? 200 : 409, this.createHeartbeat()];
  }

  private deliverLate(body: Json): void {
    this.lateCommands++;
    this.executeDirect(body, true);
  }

  private executeDirect(body: Json, isDelayed: boolean): boolean {
    const hallmark = body.hallmark as number;
    if (this.isTerminated || hallmark < this.highestToken || body.shift !== this.agentEpoch)
      return false;
    this.highestToken = hallmark;
    this.execute(body.orders as Json[], isDelayed);
    return true;
  }

  // Heartbeats

  private createHeartbeat(): Json {
    const { id, port, type, zone, spot, agentEpoch: shift, highestToken: hallmark } = this;
    const pieces = this.tasks.map(({ piece, pour, temper, cause, saved }) => ({
      piece, pour, temper, cause, saved,
    })); // prettier-ignore
    return {
      bench: id, addr: `${this.host}:${port}`, casting: type, yard: zone, loaner: spot, shift,
      tally: ++this.sequence, hallmark, recall_s: null, pieces,
    }; // prettier-ignore
  }

  /** Ends all tasks when the lease expires, also those of a frozen machine: they do not continue after it. */
  private checkLease(): void {
    if (Date.now() - this.renewedAt <= this.context.times.leaseS * 1000) return;
    for (const task of this.tasks) this.endTask(task, 'halted');
    this.tasks = [];
    this.agentEpoch++;
    this.renewedAt = Date.now();
  }

  private async heartbeatLoop(): Promise<void> {
    while (!this.isTerminated) {
      await wait(this.context.times.leaseS * HEARTBEAT_INTERVAL_LEASES * 1000);
      await this.untilThawed();
      if (this.isTerminated || this.heartbeatsLost) continue;
      try {
        await this.sendHeartbeat();
      } catch {
        this.controllerIndex++;
      }
    }
  }

  private async sendHeartbeat(): Promise<void> {
    const { controllers, times } = this.context;
    const index = this.controllerIndex % controllers.length;
    if (this.unreachable.has(index)) throw new Error('unreachable');
    const sentAt = Date.now();
    const { agentEpoch } = this;
    this.lastHeartbeat = JSON.stringify(this.createHeartbeat());
    const response = await fetch(`http://127.0.0.1:${controllers[index]}/checkin`, {
      method: 'POST',
      body: this.lastHeartbeat,
      signal: AbortSignal.timeout(Math.round(times.leaseS * ANSWER_TIMEOUT_LEASES * 1000)),
    });
    const body = (await response.json()) as Json;
    await this.untilThawed();
    const late = Date.now() - sentAt > times.leaseS * ANSWER_TIMEOUT_LEASES * 1000;
    if (this.inboundLost || late) throw new Error('no answer in time');
    if (response.status === 200) this.applyReply(body, sentAt, agentEpoch);
    else if (response.status === 421 && typeof body.foreman === 'string') {
      this.controllerIndex = Number(body.foreman.split('-')[1]);
    } else this.controllerIndex++;
  }

  private applyReply(body: Json, sentAt: number, agentEpoch: number): void {
    if ((body.hallmark as number) < this.highestToken || agentEpoch !== this.agentEpoch) return;
    this.highestToken = body.hallmark as number;
    this.renewedAt = sentAt;
    this.execute(body.orders as Json[], false);
  }

  // Tasks

  private execute(orders: Json[], isDelayed: boolean): void {
    for (const { verb, piece, pour, cooling_s } of orders) {
      const task = this.tasks.find((task) => task.piece === piece && task.pour === pour);
      if (verb === 'start' && task === undefined) {
        this.startTask(piece as string, pour as number, isDelayed);
      }
      if (verb === 'kill' && task !== undefined && occupies(task)) {
        this.stopTask(task, Number(cooling_s));
      }
      if (verb === 'reap' && task?.temper === 'ended') {
        this.tasks.splice(this.tasks.indexOf(task), 1);
      }
    }
  }

  private startTask(piece: string, pour: number, isDelayed: boolean): void {
    const { rules } = this.context;
    const cause = this.refusalCause(piece);
    const task: Task = {
      ...{ piece, pour, temper: 'running', cause: undefined, timer: undefined },
      ...{ runsSince: null, saved: false },
    };
    this.tasks.push(task);
    if (cause !== null) {
      task.temper = 'ended';
      task.cause = cause;
      return;
    }
    const { submission, runS } = rules.jobs.get(jobOf(task))!;
    if (submission.form === 'group') task.temper = 'gathering';
    rules.noteStart(this, task, isDelayed);
    this.modelServer?.addUser(String(submission.mould));
    if (submission.form === 'group') this.startCompleteGang(jobOf(task), pour);
    else if (submission.form === 'batch') this.runFor(task, runS);
  }

  private refusalCause(piece: string): string | null {
    const { jobs } = this.context.rules;
    const job = jobs.get(piece.split('/')[0]!);
    if (job === undefined) return 'no_such';
    const here = this.tasks.filter(occupies);
    if (here.some((task) => task.piece === piece)) return 'in_use';
    const used = here.reduce((sum, task) => sum + jobs.get(jobOf(task))!.submission.gpus, 0);
    return used + job.submission.gpus > this.context.gpus ? 'full' : null;
  }

  /** Starts a gang once all tasks of the attempt are waiting. */
  private startCompleteGang(job: string, pour: number): void {
    const { submission, runS } = this.context.rules.jobs.get(job)!;
    const waiting = this.gang(job, pour).filter(({ task }) => task.temper === 'gathering');
    if (waiting.length < submission.pieces) return;
    for (const { worker, task } of waiting) worker.runFor(task, runS);
  }

  private gang(job: string, pour: number): { worker: Worker; task: Task }[] {
    return [...this.context.rules.workers.values()].flatMap((worker) =>
      worker.tasks
        .filter((task) => jobOf(task) === job && task.pour === pour)
        .map((task) => ({ worker, task })),
    );
  }

  /** Runs a task for its remaining time; progress that was saved is not repeated. */
  private runFor(task: Task, runS: number): void {
    const leftS = runS - (this.context.rules.savedS.get(task.piece) ?? 0);
    task.temper = 'running';
    task.runsSince = Date.now();
    task.timer = setTimeout(() => void this.complete(task), leftS * 1000);
  }

  /** Stops a task. A task with checkpoints saves its progress first if the grace period is long enough. */
  private stopTask(task: Task, coolingS: number): void {
    const { stamp_s, stamping_s } = this.context.rules.jobs.get(jobOf(task))!.submission;
    const saveS = Number(stamping_s ?? 0);
    if (task.temper === 'flushing' && coolingS > 0) return;
    if (task.temper !== 'running' || !(Number(stamp_s) > 0) || coolingS < saveS) {
      this.endTask(task, 'halted');
      return;
    }
    clearTimeout(task.timer);
    task.temper = 'flushing';
    const ranS = (Date.now() - (task.runsSince ?? Date.now())) / 1000;
    task.timer = setTimeout(() => this.save(task, ranS), saveS * 1000);
  }

  private save(task: Task, ranS: number): void {
    const { savedS } = this.context.rules;
    savedS.set(task.piece, (savedS.get(task.piece) ?? 0) + ranS);
    task.saved = true;
    this.endTask(task, 'halted');
  }

  private async complete(task: Task): Promise<void> {
    await this.untilThawed();
    if (!occupies(task)) return;
    this.context.rules.noteCompletion(task.piece);
    this.endTask(task, 'done');
  }

  private endTask(task: Task, cause: string): void {
    clearTimeout(task.timer);
    const ran = task.temper === 'running' || task.temper === 'flushing';
    task.temper = 'ended';
    task.cause = cause;
    const job = this.context.rules.jobs.get(jobOf(task));
    if (ran && job !== undefined) this.modelServer?.removeUser(String(job.submission.mould));
    if (job?.submission.form === 'group' && ran && cause !== 'done') this.endGangPeers(task);
  }

  /** Ends the other running tasks of a gang after the time in which they detect the loss of a peer. */
  private endGangPeers(gone: Task): void {
    setTimeout(() => {
      for (const { worker, task } of this.gang(jobOf(gone), gone.pour)) {
        if (task.temper === 'running') worker.endTask(task, 'mates_gone');
      }
    }, this.context.times.gangPeerS * 1000);
  }

  /** Ends the machine with all its tasks at once. */
  end(): void {
    this.isTerminated = true;
    clearInterval(this.leaseTimer);
    for (const task of this.tasks) this.endTask(task, 'halted');
    this.tasks = [];
    this.context.rules.workers.delete(this.id);
    this.modelServer?.close();
    this.close();
  }
}

function jobOf(task: Task): string {
  return task.piece.split('/')[0]!;
}

/** A fault of one machine, for tables of tests. */
export interface MachineFault {
  begin(worker: Worker): void;
  end(worker: Worker): void;
}

/** Its heartbeats are lost. */
export const heartbeatLoss: MachineFault = {
  begin: (worker) => (worker.heartbeatsLost = true),
  end: (worker) => (worker.heartbeatsLost = false),
};

/** Answers and direct commands to it are lost. */
export const inboundLoss: MachineFault = {
  begin: (worker) => (worker.inboundLost = true),
  end: (worker) => (worker.inboundLost = false),
};

/** Its process is frozen. */
export const freeze: MachineFault = {
  begin: (worker) => worker.freeze(),
  end: (worker) => worker.thaw(),
};
