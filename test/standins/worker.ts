import { wait } from '../helpers.js';
import { ModelServer } from './model-server.js';
import { HttpStandIn, type Answer, type Json } from './http.js';
import type { RuleChecker } from './rules.js';

/** A task as it stands in a heartbeat. */
export interface Task {
  piece: string;
  pour: number;
  temper: 'gathering' | 'running' | 'flushing' | 'ended';
  cause: string | undefined;
  timer: NodeJS.Timeout | undefined;
  /** When it began to run, in ms; null: it has not. */
  runsSince: number | null;
  saved: boolean;
}

/** Whether a task is on its machine. */
export const occupies = (task: Task): boolean => task.temper !== 'ended';

/** What a machine is, and where. */
export interface MachineProperties {
  type: string;
  zone: string;
  spot: boolean;
}

/** Times that all workers keep. */
export interface FleetTimes {
  leaseS: number;
  gangPeerS: number;
}

/** What the workers of a fleet have in common. */
export interface FleetContext {
  rules: RuleChecker;
  times: FleetTimes;
  gpus: number;
  /** Ports of the controllers, in the order of their names. */
  controllers: number[];
  /** Controllers that new machines cannot reach. */
  unreachable: number[];
  /** Each machine has a model server and an address of its own; missing: none has. */
  modelServers?: ModelServers;
}

/** What the workers' model servers have in common. */
export interface ModelServers {
  /** The port of all of them, and how long a model takes to load. */
  port: number;
  loadMs: () => number;
  /** The loopback address of a machine. */
  hostOf: (id: string) => string;
}

/** In leases. */
const REPORT_INTERVAL_LEASES = 0.05;
const ANSWER_TIMEOUT_LEASES = 0.4;
const LEASE_CHECK_MS = 10;

/** One machine's worker. */
export class Worker extends HttpStandIn {
  tasks: Task[] = [];
  /** Its reports reach no controller, direct commands reach it. */
  mute = false;
  /** Its reports arrive, answers and direct commands are lost. */
  deaf = false;
  /** Controllers that it cannot reach. */
  readonly unreachable: Set<number>;
  /** The last report that it sent. */
  lastReport = '{}';
  /** Direct commands that were held up on their way, and how many of those have come since. */
  heldUp = 0;
  arrivedLate = 0;
  private isFrozen = false;
  private directDelayMs = 0;
  private agentEpoch = 1;
  private sequence = 0;
  private highestToken = 0;
  /** Only where machines have them. */
  readonly modelServer: ModelServer | null;
  private readonly host: string;
  private isTerminated = false;
  private controllerIndex = 0;
  private renewedAt = Date.now();
  private leaseTimer: NodeJS.Timeout | undefined;

  constructor(
    private readonly context: FleetContext,
    readonly id: string,
    readonly place: MachineProperties,
  ) {
    super((_method, url, body) => this.answer(url.pathname, body));
    this.unreachable = new Set(context.unreachable);
    const { modelServers } = context;
    this.host = modelServers?.hostOf(id) ?? '127.0.0.1';
    const { host } = this;
    this.modelServer =
      modelServers === undefined ? null : new ModelServer({ ...modelServers, host });
  }

  /** The highest token that it was given. */
  get token(): number {
    return this.highestToken;
  }

  /** Its machine type. */
  get type(): string {
    return this.place.type;
  }

  /** Its zone. */
  get zone(): string {
    return this.place.zone;
  }

  /** Whether the cloud may take it back. */
  get spot(): boolean {
    return this.place.spot;
  }

  /** Begins to listen and to send heartbeats. */
  async start(): Promise<void> {
    if (this.isTerminated) return;
    await this.listen(0, this.host);
    await this.modelServer?.start();
    this.renewedAt = Date.now();
    this.leaseTimer = setInterval(() => this.checkLease(), LEASE_CHECK_MS);
    void this.reportLoop();
  }

  // Troubles

  /** It stops doing anything at all, with its tasks on it. */
  hang(): void {
    this.isFrozen = true;
  }

  /** It goes on where it stopped, but for what its lease has ended. */
  goOn(): void {
    this.isFrozen = false;
  }

  /**
   * Direct commands are not answered, and carried out once so much later if they are still valid: also
   * by a machine that is deaf when they are sent.
   */
  holdUpDirect(ms: number): void {
    this.directDelayMs = ms;
  }

  private async untilThawed(): Promise<void> {
    while (this.isFrozen && !this.isTerminated) await wait(LEASE_CHECK_MS);
  }

  // Direct commands

  private async answer(path: string, body: Json): Promise<Answer | null> {
    if (path === '/do' && this.directDelayMs > 0) {
      this.heldUp++;
      setTimeout(() => this.deliverLate(body), this.directDelayMs);
      return null;
    }
    if (this.deaf) return null;
    await this.untilThawed();
    if (path === '/status') return [200, this.report()];
    return [this.executeDirect(body, false) ? 200 : 409, this.report()];
  }

  private deliverLate(body: Json): void {
    this.arrivedLate++;
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

  // Reports

  private report(): Json {
    const { id, port, type, zone, spot, agentEpoch: shift, highestToken: hallmark } = this;
    const pieces = this.tasks.map(({ piece, pour, temper, cause, saved }) => ({
      piece, pour, temper, cause, saved,
    })); // prettier-ignore
    return {
      bench: id, addr: `${this.host}:${port}`, casting: type, yard: zone, loaner: spot, shift,
      tally: ++this.sequence, hallmark, recall_s: null, pieces,
    }; // prettier-ignore
  }

  /** Tasks of a hanging machine too are gone for good when its lease ends: they never go on. */
  private checkLease(): void {
    if (Date.now() - this.renewedAt <= this.context.times.leaseS * 1000) return;
    for (const task of this.tasks) this.endTask(task, 'halted');
    this.tasks = [];
    this.agentEpoch++;
    this.renewedAt = Date.now();
  }

  private async reportLoop(): Promise<void> {
    while (!this.isTerminated) {
      await wait(this.context.times.leaseS * REPORT_INTERVAL_LEASES * 1000);
      await this.untilThawed();
      if (this.isTerminated || this.mute) continue;
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
    const { agentEpoch: shift } = this;
    this.lastReport = JSON.stringify(this.report());
    const response = await fetch(`http://127.0.0.1:${controllers[index]}/checkin`, {
      method: 'POST',
      body: this.lastReport,
      signal: AbortSignal.timeout(Math.round(times.leaseS * ANSWER_TIMEOUT_LEASES * 1000)),
    });
    const body = (await response.json()) as Json;
    await this.untilThawed();
    const late = Date.now() - sentAt > times.leaseS * ANSWER_TIMEOUT_LEASES * 1000;
    if (this.deaf || late) throw new Error('no answer in time');
    if (response.status === 200) this.applyReply(body, sentAt, shift);
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
    this.modelServer?.use(String(submission.mould));
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

  /** Gangs run once all tasks of an attempt wait. */
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

  /** What was saved of it need not be run again. */
  private runFor(task: Task, runS: number): void {
    const leftS = runS - (this.context.rules.savedS.get(task.piece) ?? 0);
    task.temper = 'running';
    task.runsSince = Date.now();
    task.timer = setTimeout(() => void this.complete(task), leftS * 1000);
  }

  /** One that can save does so first, if it is given the time. */
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
    if (ran && job !== undefined) this.modelServer?.leave(String(job.submission.mould));
    if (job?.submission.form === 'group' && ran && cause !== 'done') this.endGangPeers(task);
  }

  /** The other tasks of a running gang notice that one is gone. */
  private endGangPeers(gone: Task): void {
    setTimeout(() => {
      for (const { worker, task } of this.gang(jobOf(gone), gone.pour)) {
        if (task.temper === 'running') worker.endTask(task, 'mates_gone');
      }
    }, this.context.times.gangPeerS * 1000);
  }

  /** The machine is gone from one moment to the next. */
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

/** A trouble of one machine, for tables of tests. */
export interface MachineTrouble {
  begin(worker: Worker): void;
  end(worker: Worker): void;
}

/** Its heartbeats do not arrive. */
export const mute: MachineTrouble = {
  begin: (worker) => (worker.mute = true),
  end: (worker) => (worker.mute = false),
};

/** Nothing reaches it. */
export const deaf: MachineTrouble = {
  begin: (worker) => (worker.deaf = true),
  end: (worker) => (worker.deaf = false),
};

/** Its process stands still. */
export const hang: MachineTrouble = {
  begin: (worker) => worker.hang(),
  end: (worker) => worker.goOn(),
};
