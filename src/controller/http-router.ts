/** Where requests over HTTP go: of users, workers, health checks and operators. */

import type { RequestForwarder, UserRequest } from '../api/request-forwarder.js';
import type { RequestQueue } from '../admission/request-queue.js';
import type { Clock } from '../clock.js';
import type { LatencyHistograms } from '../latency-histograms.js';
import type { HeartbeatHandler } from '../heartbeat/heartbeat-handler.js';
import type { Message } from '../http/parser.js';
import type { Reply } from '../http/server.js';
import { route } from '../wire/users.js';
import { CLASS_OF, FORWARD_PATIENCE_S, HEARTBEAT_PATIENCE_S } from './request-classes.js';

/** Try again in a second, here or elsewhere. */
export const UNAVAILABLE: Reply = { status: 503, retryAfter: 1 };

/** What an `HttpRouter` works with. */
export interface HttpRouterOptions {
  clock: Clock;
  latencies: LatencyHistograms;
  requests: RequestQueue;
  heartbeats: HeartbeatHandler;
  forwarder: RequestForwarder;
  /** Whether this controller leads: then heartbeats are taken in, not forwarded. */
  isLeader: () => boolean;
  metrics: () => Record<string, unknown>;
  /** What operators are shown of a subsystem. */
  subsystemView: (name: string) => Reply;
}

/** Gives each request to the part that answers it, in its turn. */
export class HttpRouter {
  constructor(private readonly options: HttpRouterOptions) {}

  /** Answers a request. */
  handle(message: Message): Reply | Promise<Reply> {
    const { forwarder, metrics, subsystemView } = this.options;
    const to = route(message.method, message.target);
    switch (to.to) {
      case 'checkin':
        return this.report(message.body);
      case 'submit':
        return this.user({ to: 'submit', body: message.body });
      case 'poll':
      case 'cancel':
        return this.user(to);
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

  private report(body: Buffer): Reply | Promise<Reply> {
    const { clock, latencies, isLeader, heartbeats, requests } = this.options;
    const arrivedAt = clock.now();
    const work = (): Reply | Promise<Reply> =>
      latencies.time('report', () => heartbeats.handle(body, arrivedAt));
    const patienceS = isLeader() ? HEARTBEAT_PATIENCE_S : FORWARD_PATIENCE_S;
    return requests.run('report', work, UNAVAILABLE, patienceS);
  }

  private user(request: UserRequest): Reply | Promise<Reply> {
    const { latencies, forwarder, requests } = this.options;
    const serve = (): Promise<Reply> => forwarder.serve(request);
    const work = request.to === 'submit' ? () => latencies.time('submission', serve) : serve;
    return requests.run(CLASS_OF[request.to], work, UNAVAILABLE);
  }
}
