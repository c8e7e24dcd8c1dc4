/**
 * Several controllers, a key-value store and workers in injected time: leaders change, and the heartbeats of workers
 * reach whichever controller they are sent to, straight or forwarded. Nothing opens a socket.
 */
import { pino } from 'pino';
import { parseSettings } from '../../src/config/settings.js';
import type { Reply } from '../../src/http/server.js';
import type { JobSpec } from '../../src/jobs/types.js';
import { renewalAllowanceS } from '../../src/leadership/renewal-allowance.js';
import * as records from '../../src/store/records.js';
import { encodeHeartbeat } from './encoded-heartbeat.js';
import type { Command, Heartbeat } from '../../src/wire/workers.js';
import { attemptKey } from '../../src/workers/attempt.js';
import { g8, settingsText } from '../helpers.js';
import { MemoryStore } from './memory-store.js';
import type { ReportLoop } from './report-loop.js';
import { LEADER_TTL_LEASES, SimulatedController } from './simulated-controller.js';
import { decodeHeartbeatReply, Fleet, type Worker } from './simulated-fleet.js';

/** Times of a deployment, in seconds. */
export interface DeploymentTimes {
  reportS: number;
  leaseS: number;
  cancelS: number;
}

/** Those of the deployment where a cancelled task ran on. */
export const INCIDENT_TIMES: DeploymentTimes = { reportS: 2.5, leaseS: 10, cancelS: 35 };

/** An answer of 200 that renewed a machine's lease and left out the stop of a cancelled task. */
export interface OmittedStop {
  at: number;
  machine: string;
  /** Of the answer. */
  token: number;
  job: string;
  /** Seconds since a user was told that the job is cancelled. */
  sinceToldS: number;
  /** All controllers that were running then had read the cancellation. */
  readByAll: boolean;
}

/** A direct command that is held back on its way. */
interface DelayedCommand {
  worker: Worker;
  token: number;
  agentEpoch: number;
  commands: Command[];
}

const CONTROLLERS = 3;
/** Controllers take their turns so often in a heartbeat interval. */
const STEPS_PER_HEARTBEAT = 10;
const TIME_TOLERANCE_S = 1e-9;

/** Controllers, store and workers. */
export class ControlPlaneWorld {
  readonly store = new MemoryStore();
  readonly fleet: Fleet;
  readonly controllers: SimulatedController[];
  /** What all controllers have logged. */
  readonly logLines: Record<string, unknown>[] = [];
  readonly log = pino(
    { level: 'info', base: null },
    { write: (line: string) => void this.logLines.push(JSON.parse(line)) },
  );
  /** The store refuses everybody; its leases stand still. */
  storeOutage = false;
  /** Jobs that were accepted, in their order. */
  readonly accepted: string[] = [];
  /** When a user was first told that a job is cancelled, by job. */
  readonly toldAt = new Map<string, number>();
  readonly omittedStops: OmittedStop[] = [];
  /** Workers that report by themselves. */
  readonly reportLoops: ReportLoop[] = [];
  /** Called between the answer to a heartbeat and its arrival. */
  deliverBeforeAnswer = (): void => undefined;
  /** Direct commands are held back on their way from now on. */
  holdsDirectCommands = false;
  private readonly delayedCommands: DelayedCommand[] = [];
  private readonly unconfirmed = new Set<string>();
  private leaderKeyUntil = -Infinity;

  constructor(
    readonly times: DeploymentTimes = INCIDENT_TIMES,
    /** GPUs that the jobs may hold at most; 0: any number. */
    private readonly gpusMax = 0,
  ) {
    this.fleet = new Fleet(times.leaseS);
    const ports = Array.from({ length: CONTROLLERS }, (_, i) => ({ bind: i + 1, peer: i + 11 }));
    this.store.put(records.MACHINE_TYPES, [g8]);
    this.controllers = ports.map((_, index) => {
      const zones = ports.map(() => 'z1');
      const text = settingsText(index, ports, 3, 4, times.leaseS, zones, times.cancelS);
      const parsed = parseSettings(text);
      const workers = { ...parsed.workers, report_s: times.reportS };
      parsed.teams.set('t', { name: 't', cores: 0, coresMax: 0, gpus: 0, gpusMax });
      return new SimulatedController(this, { ...parsed, workers });
    });
    const names = this.controllers.map(({ node }) => node);
    for (const controller of this.controllers) controller.connect(names);
  }

  /** Seconds since the beginning. */
  get now(): number {
    return this.fleet.now;
  }

  /** Time of day, in ms. */
  wallMs(): number {
    return 1e9 + this.now * 1000;
  }

  /** A controller by its name. */
  controller(node: string): SimulatedController {
    return this.controllers.find((controller) => controller.node === node)!;
  }

  /** The controller that leads by its own belief, if there is one. */
  get leader(): SimulatedController | undefined {
    return this.controllers.find((each) => each.isRunning && each.term !== null && each.isEntitled);
  }

  // The leader's key

  /** A controller has the key; its fencing token is returned. */
  acquireLeaderKey(node: string, ttlS: number): number {
    const incarnation = `${node}-${this.store.currentRevision}`;
    const token = this.store.put(records.LEADER, records.encodeLeader({ node, incarnation }));
    this.leaderKeyUntil = this.now + ttlS;
    return token;
  }

  /** False: the key is not there any more, or is a later leader's. */
  renewLeaderKey(token: number, ttlS: number): boolean {
    if (this.store.revision(records.LEADER) !== token) return false;
    this.leaderKeyUntil = this.now + ttlS;
    return true;
  }

  /** The key is given up, if it is still that of this token. */
  removeLeaderKey(token: number): void {
    if (this.store.revision(records.LEADER) === token) this.store.remove(records.LEADER);
  }

  private expireLeaderKey(): void {
    // Leases stand still in an outage, and have their full time again after it.
    const ttlS = this.times.leaseS * LEADER_TTL_LEASES;
    if (this.storeOutage) this.leaderKeyUntil = this.now + ttlS;
    if (this.now <= this.leaderKeyUntil || this.store.revision(records.LEADER) === 0) return;
    this.store.remove(records.LEADER);
  }

  // Users

  /** A job is accepted. */
  submitJob(over: Partial<JobSpec>): void {
    this.store.accept(over, this.wallMs());
    if (over.id !== undefined) this.accepted.push(over.id);
  }

  /** A cancellation is stored; its user is told as soon as some controller may do so. */
  cancel(id: string): void {
    this.store.cancel(id);
    this.unconfirmed.add(id);
  }

  private async confirmCancellations(): Promise<void> {
    for (const id of [...this.unconfirmed]) {
      for (const controller of this.controllers) {
        if (this.toldAt.has(id) || !(await controller.confirmsCancellation(id))) continue;
        this.toldAt.set(id, this.now);
        this.unconfirmed.delete(id);
      }
    }
  }

  // Time

  /** Time passes until this second. Workers without a loop report only as the caller lets them. */
  async runUntil(at: number): Promise<void> {
    const stepS = this.times.reportS / STEPS_PER_HEARTBEAT;
    while (this.now < at - TIME_TOLERANCE_S) {
      this.fleet.now = Math.min(at, this.now + stepS);
      for (const worker of this.fleet.workers.values()) worker.tick();
      for (const loop of this.reportLoops) await loop.step();
      this.expireLeaderKey();
      for (const controller of this.controllers) await controller.step();
      await this.confirmCancellations();
    }
  }

  // Workers

  /** A worker's heartbeat goes to a controller. Returns the answer that arrived; null: there was none. */
  async exchangeHeartbeat(
    worker: Worker,
    node: string,
    heartbeat = worker.heartbeat(),
  ): Promise<Reply | null> {
    const sentAt = this.now;
    const controller = this.controller(node);
    if (worker.mute || !controller.isRunning) return null;
    const reply = await controller.handler.handle(encodeHeartbeat(heartbeat));
    // What else has come to the worker before the answer does.
    this.deliverBeforeAnswer();
    if (worker.deaf) return null;
    if (reply.status === 200) this.takeAnswer(worker, heartbeat, String(reply.body), sentAt);
    return reply;
  }

  private takeAnswer(worker: Worker, heartbeat: Heartbeat, body: string, sentAt: number): void {
    const { token, commands } = decodeHeartbeatReply(body);
    if (token >= worker.token) this.noteOmittedStops(heartbeat, token, commands);
    worker.takeAnswer(token, commands, sentAt);
  }

  /** Looks whether an answer that renews a lease stops all tasks there that are told to be cancelled. */
  private noteOmittedStops(heartbeat: Heartbeat, token: number, commands: Command[]): void {
    for (const task of heartbeat.tasks) {
      const confirmedAt = this.toldAt.get(task.job);
      if (confirmedAt === undefined || task.state === 'ended') continue;
      const isStopped = commands.some(
        ({ kind, job, index }) => kind === 'stop' && job === task.job && index === task.index,
      );
      if (isStopped) continue;
      const readByAll = this.controllers.every(
        (each) => !each.isRunning || each.knowsCancelled(task.job),
      );
      const sinceConfirmedS = this.now - confirmedAt;
      this.omittedStops.push({
        at: this.now, machine: heartbeat.machine, token, job: task.job, sinceToldS: sinceConfirmedS, readByAll,
      }); // prettier-ignore
    }
  }

  /** Null: refused, lost, or held back on its way. */
  takeDirect(id: string, token: number, epoch: number, commands: Command[]): Heartbeat | null {
    const worker = this.fleet.workers.get(id);
    if (worker === undefined) return null;
    if (this.holdsDirectCommands) {
      this.delayedCommands.push({ worker, token, agentEpoch: epoch, commands });
      return null;
    }
    return worker.deaf ? null : worker.takeDirect(token, epoch, commands);
  }

  /** Direct commands that were held back arrive. */
  deliverHeldBack(): void {
    this.fleet.violations.push(...this.lateStarts());
    for (const { worker, token, agentEpoch, commands } of this.delayedCommands.splice(0))
      worker.takeDirect(token, agentEpoch, commands);
  }

  // What must hold

  /** Seconds for which a controller that does not know of a cancellation may renew leases. */
  get allowanceS(): number {
    const { leaseS: lease_s, cancelS: cancel_s } = this.times;
    return renewalAllowanceS({ lease_s, cancel_s }, lease_s * LEADER_TTL_LEASES);
  }

  /** Starts of cancelled tasks that are still on their way after their time, and would be carried out. */
  lateStarts(): string[] {
    const late: string[] = [];
    for (const { worker, token, agentEpoch, commands } of this.delayedCommands) {
      if (token < worker.token || agentEpoch !== worker.agentEpoch) continue;
      for (const { kind, job, index, attempt } of commands) {
        const confirmedAt = this.toldAt.get(job) ?? Infinity;
        if (kind !== 'start' || this.now <= confirmedAt + this.times.cancelS) continue;
        if (worker.tasks.has(attemptKey(job, index, attempt))) continue;
        late.push(
          `start of ${job}/${index} on ${worker.id}, told at ${confirmedAt}, now ${this.now}`,
        );
      }
    }
    return late;
  }

  /** What is running beyond the quota; each task has one GPU. */
  overQuota(): string[] {
    if (this.gpusMax === 0) return [];
    const running = this.accepted.reduce((sum, id) => sum + this.fleet.running(id), 0);
    return running <= this.gpusMax ? [] : [`${running} tasks of at most ${this.gpusMax}`];
  }

  /** Cancelled tasks that are still on machines after their time. */
  overdueTasks(): string[] {
    const overdue: string[] = [];
    for (const [job, confirmedAt] of this.toldAt) {
      if (this.now <= confirmedAt + this.times.cancelS) continue;
      for (const worker of this.fleet.workers.values()) {
        for (const task of worker.running(job))
          overdue.push(
            `${job}/${task.index} on ${worker.id}, told at ${confirmedAt}, now ${this.now}`,
          );
      }
    }
    return overdue;
  }
}
