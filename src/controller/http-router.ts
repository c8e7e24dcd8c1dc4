/** Routes HTTP requests of users, workers, health checks and operators. */

import type { RequestForwarder, UserRequest } from '../api/request-forwarder.js';
import type { RequestQueue } from '../admission/request-queue.js';
import type { Clock } from '../clock.js';
import type { LatencyHistograms } from '../latency-histograms.js';
import type { HeartbeatHandler } from '../heartbeat/heartbeat-handler.js';
import type { Message } from '../http/parser.js';
import type { Reply } from '../http/server.js';
import { route } from '../wire/users.js';
import { CLASS_OF, FORWARD_QUEUE_TIMEOUT_S, HEARTBEAT_QUEUE_TIMEOUT_S } from './request-classes.js';

/** Tells the client to retry in a second, here or at another controller. */
export const UNAVAILABLE: Reply = { status: 503, retryAfter: 1 };

/** Dependencies of an `HttpRouter`. */
export interface HttpRouterOptions {
  clock: Clock;
  latencies: LatencyHistograms;
  requests: RequestQueue;
  heartbeats: HeartbeatHandler;
  forwarder: RequestForwarder;
  /** Whether this controller leads: the leader processes heartbeats, others forward them. */
  isLeader: () => boolean;
  metrics: () => Record<string, unknown>;
  /** A subsystem's view for operators. */
  subsystemView: (name: string) => Reply;
}

/** Passes each request to the part that answers it, heartbeats and users' requests through the request queue. */
export class HttpRouter {
  constructor(private readonly options: HttpRouterOptions) {}

  /** Answers a request of a user, a worker or an operator. */
  handle(message: Message): Reply | Promise<Reply> {
    const { forwarder, metrics, subsystemView } = this.options;
    const to = route(message.method, message.target);
    switch (to.to) {
      case 'checkin':
        return this.handleHeartbeat(message.body);
      case 'submit':
        return this.handleUserRequest({ to: 'submit', body: message.body });
      case 'poll':
      case 'cancel':
        return this.handleUserRequest(to);
      case 'ready':
        return forwarder.isReady() ? { status: 200, body: '{}' } : { status: 503, retryAfter: 1 };
      case 'metrics':
        return { status: 200, body: JSON.stringify(metrics()) };
      case 'subsystem':
        return subsystemView(to.name);
      case 'wrong-method':
        return { status: 405, body: '{}' };
      case 'nowhere':
        return { status: 404, body: '{}' };
    }
  }

  private handleHeartbeat(body: Buffer): Reply | Promise<Reply> {
    const { clock, latencies, isLeader, heartbeats, requests } = this.options;
    const arrivedAt = clock.now();
    const work = (): Reply | Promise<Reply> =>
      latencies.time('report', () => heartbeats.handle(body, arrivedAt));
    const timeoutS = isLeader() ? HEARTBEAT_QUEUE_TIMEOUT_S : FORWARD_QUEUE_TIMEOUT_S;
    return requests.run('report', work, UNAVAILABLE, timeoutS);
  }

  private handleUserRequest(request: UserRequest): Reply | Promise<Reply> {
    const { latencies, forwarder, requests } = this.options;
    const serve = (): Promise<Reply> => forwarder.serve(request);
    const work = request.to === 'submit' ? () => latencies.time('submission', serve) : serve;
    return requests.run(CLASS_OF[request.to], work, UNAVAILABLE);
  }
}
