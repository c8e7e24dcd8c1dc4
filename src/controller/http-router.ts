/** Where requests over HTTP go: of users, workers, health checks and operators. */

import type { RequestForwarder, UserRequest } from '../api/request-forwarder.js';
import type { RequestQueue } from '../admission/request-queue.js';
import type { Clock } from '../clock.js';
import type { Costs } from '../latency-histograms.js';
import type { HeartbeatHandler } from '../heartbeat/heartbeat-handler.js';
import type { Message } from '../http/parser.js';
import type { Reply } from '../http/server.js';
import { route } from '../wire/users.js';
import { CLASS_OF, RELAY_PATIENCE_S, REPORT_PATIENCE_S } from './request-classes.js';

export const BUSY: Reply = { status: 503, retryAfter: 1 };

export interface HttpRequestsOptions {
  clock: Clock;
  costs: Costs;
  requests: RequestQueue;
  heartbeats: HeartbeatHandler;
  forwarder: RequestForwarder;
  /** Whether this controller leads: then reports are taken in, not passed on. */
  leads: () => boolean;
  figures: () => Record<string, unknown>;
  /** What operators are shown of a subsystem. */
  subsystemView: (name: string) => Reply;
}

export class HttpRequests {
  constructor(private readonly options: HttpRequestsOptions) {}

  handle(message: Message): Reply | Promise<Reply> {
    const { forwarder, figures, subsystemView } = this.options;
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
        return forwarder.ready() ? { status: 200, body: '{}' } : { status: 503, retryAfter: 1 };
      case 'metrics':
        return { status: 200, body: JSON.stringify(figures()) };
      case 'subsystem':
        return subsystemView(to.name);
      case 'wrong-method':
        return { status: 405, body: '{}' };
      case 'nowhere':
        return { status: 404, body: '{}' };
    }
  }

  private report(body: Buffer): Reply | Promise<Reply> {
    const { clock, costs, leads, heartbeats, requests } = this.options;
    const arrivedAt = clock.now();
    const work = (): Reply | Promise<Reply> =>
      costs.time('report', () => heartbeats.handle(body, arrivedAt));
    const patienceS = leads() ? REPORT_PATIENCE_S : RELAY_PATIENCE_S;
    return requests.run('report', work, BUSY, patienceS);
  }

  private user(request: UserRequest): Reply | Promise<Reply> {
    const { costs, forwarder, requests } = this.options;
    const serve = (): Promise<Reply> => forwarder.serve(request);
    const work = request.to === 'submit' ? () => costs.time('submission', serve) : serve;
    return requests.run(CLASS_OF[request.to], work, BUSY);
  }
}
