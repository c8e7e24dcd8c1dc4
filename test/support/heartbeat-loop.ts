/** Sends the heartbeats of a worker: the times and the choice of a controller follow the protocol. */
import { ANSWER_WAIT_S, MIN_HEARTBEAT_GAP_S } from '../../src/wire/workers.js';
import type { ControlPlaneWorld } from './control-plane-world.js';
import type { Worker } from './simulated-fleet.js';

/** Seconds until a worker that got no usable answer tries the next controller, as the protocol specifies. */
const NEXT_CONTROLLER_S = 1;

/** Options of a worker's heartbeats. */
export interface HeartbeatLoopOptions {
  /**
   * A higher token makes the worker send its next heartbeat early. The protocol requires this, but the
   * machines of the incident did not do it.
   */
  reportsNewToken: boolean;
  /** A change of its tasks makes the worker send its next heartbeat early, as the protocol specifies. */
  reportsTaskChanges?: boolean;
}

/** Sends the heartbeats of one worker as simulated time passes. */
export class HeartbeatLoop {
  private nextAt: number;
  private reportedToken = 0;
  private tokenReportedAt = -Infinity;
  private sentAt = -Infinity;
  private reportedChanges = 0;

  constructor(
    private readonly world: ControlPlaneWorld,
    readonly worker: Worker,
    private readonly options: HeartbeatLoopOptions,
    private controllerIndex = 0,
  ) {
    this.nextAt = world.now;
  }

  /** Sends a heartbeat if one is due. */
  async step(): Promise<void> {
    const { world, worker } = this;
    if (world.now < this.nextAt && !this.hasChangeToReport()) return;
    const { node, alive } = world.controllers[this.controllerIndex]!;
    const sentAt = world.now;
    this.sentAt = sentAt;
    this.reportedChanges = worker.taskChanges;
    const reply = await world.exchangeHeartbeat(worker, node);
    if (reply === null) {
      // A crashed process refuses the connection at once; otherwise the worker waits for the timeout.
      this.tryNext(sentAt + (alive ? ANSWER_WAIT_S : 0));
    } else if (reply.status === 200) this.onAccepted(sentAt);
    else if (reply.status === 421) this.onRedirected(String(reply.body), sentAt);
    else this.tryNext(sentAt);
  }

  private hasChangeToReport(): boolean {
    const { world, worker, options } = this;
    return (
      options.reportsTaskChanges === true &&
      worker.taskChanges !== this.reportedChanges &&
      world.now >= this.sentAt + MIN_HEARTBEAT_GAP_S
    );
  }

  private onAccepted(sentAt: number): void {
    const { worker, world, options } = this;
    const { reportS, leaseS } = world.times;
    this.nextAt = sentAt + reportS;
    if (worker.token === this.reportedToken) return;
    this.reportedToken = worker.token;
    if (!options.reportsNewToken || sentAt - this.tokenReportedAt < leaseS / 2) return;
    this.tokenReportedAt = sentAt;
    this.nextAt = sentAt + MIN_HEARTBEAT_GAP_S;
  }

  private onRedirected(body: string, sentAt: number): void {
    const { foreman } = JSON.parse(body) as { foreman?: string };
    const index = this.world.controllers.findIndex(({ node }) => node === foreman);
    if (index < 0 || index === this.controllerIndex) return this.tryNext(sentAt);
    this.controllerIndex = index;
    this.nextAt = sentAt;
  }

  private tryNext(from: number): void {
    this.controllerIndex = (this.controllerIndex + 1) % this.world.controllers.length;
    this.nextAt = from + NEXT_CONTROLLER_S;
  }
}
