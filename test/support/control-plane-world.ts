/**
 * Simulates several controllers, a key-value store and workers in simulated time, without sockets. Leaders
 * change, and workers send heartbeats to any controller, which answers or forwards them.
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
import { DirectNetwork } from './direct-network.js';
import { MemoryStore } from './memory-store.js';
import type { HeartbeatLoop } from './heartbeat-loop.js';
import { LEADER_TTL_LEASES, SimulatedController } from './simulated-controller.js';
import { decodeHeartbeatReply, Fleet, type Worker } from './simulated-fleet.js';

/** Times of a deployment, in seconds. */
export interface DeploymentTimes {
  reportS: number;
  leaseS: number;
  cancelS: number;
}

/** Times of the deployment in which a cancelled task kept running. */
export const INCIDENT_TIMES: DeploymentTimes = { reportS: 2.5, leaseS: 10, cancelS: 35 };

/** An answer with status 200 that renewed a machine's lease without a stop command for a cancelled task. */
export interface OmittedStop {
  at: number;
  machine: string;
  /** Fencing token of the answer. */
  token: number;
  job: string;
  /** Seconds since the cancellation of the job was confirmed to a user. */
  sinceConfirmedS: number;
  /** Whether all controllers that were running at that time had read the cancellation. */
  readByAll: boolean;
}

const CONTROLLERS = 3;
/** Simulation steps per heartbeat interval; each controller runs once in each step. */
const STEPS_PER_HEARTBEAT = 10;
const TIME_TOLERANCE_S = 1e-9;

/** The simulated controllers, store and workers. */
export class ControlPlaneWorld {
  readonly store = new MemoryStore();
  readonly fleet: Fleet;
  readonly controllers: SimulatedController[];
  /** Log records of all controllers. */
  readonly logLines: Record<string, unknown>[] = [];
  readonly log = pino(
    { level: 'info', base: null },
    { write: (line: string) => void this.logLines.push(JSON.parse(line)) },
  );
  /** The store refuses all requests, and its leases do not expire. */
  storeOutage = false;
  /** Ids of accepted jobs, in the order of acceptance. */
  readonly accepted: string[] = [];
  /** GPUs of each task of a job, by job id. */
  private readonly gpusPerTask = new Map<string, number>();
  /** When the cancellation of a job was first confirmed to a user, by job id. */
  readonly confirmedAt = new Map<string, number>();
  readonly omittedStops: OmittedStop[] = [];
  /** Loops of the workers that send heartbeats periodically. */
  readonly heartbeatLoops: HeartbeatLoop[] = [];
  /** Called after a controller has answered a heartbeat and before the worker receives the answer. */
  deliverBeforeAnswer = (): void => undefined;
  /** Whether new direct commands are delayed until `deliverHeldBack`. */
  delaysDirectCommands = false;
  readonly directNetwork = new DirectNetwork();
  private readonly unconfirmed = new Set<string>();
  private leaderKeyUntil = -Infinity;

  constructor(
    readonly times: DeploymentTimes = INCIDENT_TIMES,
    /** GPU quota of the jobs; 0: unlimited. */
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

  /** Simulated seconds since the start. */
  get now(): number {
    return this.fleet.now;
  }

  /** Simulated time of day, in ms. */
  wallMs(): number {
    return 1e9 + this.now * 1000;
  }

  /** The controller with this name. */
  controller(node: string): SimulatedController {
    return this.controllers.find((controller) => controller.node === node)!;
  }

  /** The first running controller that regards itself as the entitled leader. */
  get leader(): SimulatedController | undefined {
    return this.controllers.find((each) => each.isRunning && each.term !== null && each.isEntitled);
  }

  // The leader's key

  /** Gives the leader's key to a controller. Returns the fencing token. */
  acquireLeaderKey(node: string, ttlS: number): number {
    const incarnation = `${node}-${this.store.currentRevision}`;
    const token = this.store.put(records.LEADER, records.encodeLeader({ node, incarnation }));
    this.leaderKeyUntil = this.now + ttlS;
    return token;
  }

  /** Renews the key. Returns false if it has expired or belongs to a later leader. */
  renewLeaderKey(token: number, ttlS: number): boolean {
    if (this.store.revision(records.LEADER) !== token) return false;
    this.leaderKeyUntil = this.now + ttlS;
    return true;
  }

  /** Removes the key if it still has this token. */
  removeLeaderKey(token: number): void {
    if (this.store.revision(records.LEADER) === token) this.store.remove(records.LEADER);
  }

  private expireLeaderKey(): void {
    // Leases do not expire in an outage and have their full TTL after it.
    const ttlS = this.times.leaseS * LEADER_TTL_LEASES;
    if (this.storeOutage) this.leaderKeyUntil = this.now + ttlS;
    if (this.now <= this.leaderKeyUntil || this.store.revision(records.LEADER) === 0) return;
    this.store.remove(records.LEADER);
  }

  // Users

  /** Stores a job as accepted. */
  submitJob(over: Partial<JobSpec>): void {
    this.store.accept(over, this.wallMs());
    if (over.id === undefined) return;
    this.accepted.push(over.id);
    this.gpusPerTask.set(over.id, over.gpus ?? 1);
  }

  /** Stores a cancellation. It counts as confirmed to the user as soon as any controller may confirm it. */
  cancel(id: string): void {
    this.store.cancel(id);
    this.unconfirmed.add(id);
  }

  private async confirmCancellations(): Promise<void> {
    for (const id of [...this.unconfirmed]) {
      for (const controller of this.controllers) {
        if (this.confirmedAt.has(id) || !(await controller.confirmsCancellation(id))) continue;
        this.confirmedAt.set(id, this.now);
        this.unconfirmed.delete(id);
      }
    }
  }

  // Time

  /** Advances time to this second. A worker without a loop sends heartbeats only when the caller does so. */
  async runUntil(at: number): Promise<void> {
    const stepS = this.times.reportS / STEPS_PER_HEARTBEAT;
    while (this.now < at - TIME_TOLERANCE_S) {
      this.fleet.now = Math.min(at, this.now + stepS);
      for (const worker of this.fleet.workers.values()) worker.tick();
      for (const loop of this.heartbeatLoops) await loop.step();
      this.expireLeaderKey();
      for (const controller of this.controllers) await controller.step();
      await this.confirmCancellations();
    }
  }

  // Workers

  /** Sends a worker's heartbeat to a controller. Returns the answer; null: none reached the worker. */
  async exchangeHeartbeat(
    worker: Worker,
    node: string,
    heartbeat = worker.heartbeat(),
  ): Promise<Reply | null> {
    const sentAt = this.now;
    const controller = this.controller(node);
    if (worker.heartbeatsLost || worker.hangs || !controller.isRunning) return null;
    const reply = await controller.handler.handle(encodeHeartbeat(heartbeat));
    // Other messages can reach the worker before this answer does.
    this.deliverBeforeAnswer();
    if (worker.inboundLost) return null;
    if (reply.status === 200) this.takeAnswer(worker, heartbeat, String(reply.body), sentAt);
    return reply;
  }

  private takeAnswer(worker: Worker, heartbeat: Heartbeat, body: string, sentAt: number): void {
    const { token, commands } = decodeHeartbeatReply(body);
    if (token >= worker.token) this.noteOmittedStops(heartbeat, token, commands);
    worker.takeAnswer(token, commands, sentAt);
  }

  /** Records each task with a confirmed cancellation for which an answer that renews the lease has no stop command. */
  private noteOmittedStops(heartbeat: Heartbeat, token: number, commands: Command[]): void {
    for (const task of heartbeat.tasks) {
      const confirmedAt = this.confirmedAt.get(task.job);
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
        at: this.now, machine: heartbeat.machine, token, job: task.job, sinceConfirmedS, readByAll,
      }); // prettier-ignore
    }
  }

  /** Delivers direct commands to a worker. Null: refused, lost or delayed. */
  takeDirect(id: string, token: number, epoch: number, commands: Command[]): Heartbeat | null {
    const worker = this.fleet.workers.get(id);
    if (worker === undefined) return null;
    const message = { worker, token, agentEpoch: epoch, commands };
    if (this.delaysDirectCommands || worker.hangs) {
      this.directNetwork.delayed.push(message);
      return null;
    }
    return worker.inboundLost ? null : this.directNetwork.deliver(message);
  }

  /** Delivers all delayed direct commands. */
  deliverDelayedCommands(): void {
    this.fleet.violations.push(...this.lateStarts());
    this.directNetwork.deliverDelayed();
  }

  // Invariants

  /** Seconds for which a controller that does not know of a cancellation may renew leases. */
  get allowanceS(): number {
    const { leaseS: lease_s, cancelS: cancel_s } = this.times;
    return renewalAllowanceS({ lease_s, cancel_s }, lease_s * LEADER_TTL_LEASES);
  }

  /** Delayed starts of cancelled tasks that workers would still execute later than `cancel_s` after the confirmation. */
  lateStarts(): string[] {
    const late: string[] = [];
    for (const { worker, token, agentEpoch, commands } of this.directNetwork.delayed) {
      if (token < worker.token || agentEpoch !== worker.agentEpoch) continue;
      for (const { kind, job, index, attempt } of commands) {
        const confirmedAt = this.confirmedAt.get(job) ?? Infinity;
        if (kind !== 'start' || this.now <= confirmedAt + this.times.cancelS) continue;
        if (worker.tasks.has(attemptKey(job, index, attempt))) continue;
        late.push(
          `start of ${job}/${index} on ${worker.id}, cancellation confirmed at ${confirmedAt}, now ${this.now}`,
        );
      }
    }
    return late;
  }

  /** A violation if running tasks use more GPUs than the quota allows. */
  overQuota(): string[] {
    if (this.gpusMax === 0) return [];
    const used = this.accepted.reduce(
      (sum, id) => sum + this.fleet.running(id) * this.gpusPerTask.get(id)!,
      0,
    );
    return used <= this.gpusMax ? [] : [`${used} GPUs are used, at most ${this.gpusMax} allowed`];
  }

  /** Cancelled tasks that still run later than `cancel_s` after the confirmation. */
  overdueTasks(): string[] {
    const overdue: string[] = [];
    for (const [job, confirmedAt] of this.confirmedAt) {
      if (this.now <= confirmedAt + this.times.cancelS) continue;
      for (const worker of this.fleet.workers.values()) {
        for (const task of worker.running(job))
          overdue.push(
            `${job}/${task.index} on ${worker.id}, cancellation confirmed at ${confirmedAt}, now ${this.now}`,
          );
      }
    }
    return overdue;
  }
}
