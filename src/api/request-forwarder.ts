import type { QuestionOf, ReplyAnswer } from '../peers/messages.js';
import type { PeerNetwork } from '../peers/peer-network.js';
import type { Reply } from '../http/server.js';
import type { KeyValueStoreClient } from '../store/client.js';
import type { ReplicaSync } from '../store/replica-sync.js';
import { mayHaveDependencies, SUBMIT_WAIT_S } from '../wire/users.js';
import type { UserApi } from './user-api.js';

/** What a user asks for, in a form that can be forwarded to another controller. */
export type UserRequest =
  { to: 'submit'; body: Buffer } | { to: 'poll'; id: string } | { to: 'cancel'; id: string };

/** How long another controller may take with a user's request: half of what the user waits. */
const FORWARD_TIMEOUT_S = SUBMIT_WAIT_S / 2;
/** For so many leases nobody was of help: users are better served elsewhere. */
const ALONE_LEASES = 0.2;

/** What a `RequestForwarder` works with. */
export interface RequestForwarderOptions {
  userApi: UserApi;
  store: Pick<KeyValueStoreClient, 'health'>;
  replicaSync: Pick<ReplicaSync, 'ready' | 'sync'>;
  peers: Pick<PeerNetwork, 'byLatestAnswer' | 'ask'>;
  workers: { lease_s: number };
  now: () => number;
  knowsPipelines: (node: string) => boolean;
}

/**
 * Users' requests as they come to any controller. One that the key-value store refuses, or that is cut
 * off from it, passes them on to a controller that is served: nothing is told but what that one has
 * read or stored. Where nobody is served the answer is 503 at once, never a wait for better times.
 */
export class RequestForwarder {
  private aloneSince: number | null = null;

  constructor(private readonly options: RequestForwarderOptions) {}

  /** The key-value store serves this controller, and it has read the store. */
  get isServed(): boolean {
    return this.options.store.health === 'served' && this.options.replicaSync.ready;
  }

  /** Whether users should be sent here. */
  isReady(): boolean {
    if (!this.options.userApi.ready()) return false;
    if (this.isServed) this.aloneSince = null;
    const { aloneSince } = this;
    return (
      aloneSince === null ||
      this.options.now() - aloneSince < this.options.workers.lease_s * ALONE_LEASES
    );
  }

  /** Answers a user's request here, or has another controller answer it. */
  async serve(request: UserRequest): Promise<Reply> {
    if (this.isServed || this.options.userApi.knows(request)) {
      const reply = await this.serveLocally(request);
      if (reply.status !== 503 || this.isServed) return reply;
    }
    // Looks whether the state service is back, besides.
    else void this.options.replicaSync.sync();
    return (await this.forward(request)) ?? (await this.serveLocally(request));
  }

  private async serveLocally(request: UserRequest): Promise<Reply> {
    switch (request.to) {
      case 'submit':
        return this.options.userApi.submit(request.body);
      case 'poll':
        return this.options.userApi.poll(request.id);
      case 'cancel':
        return this.options.userApi.cancel(request.id);
    }
  }

  private async forward(request: UserRequest): Promise<Reply | null> {
    const text = request.to === 'submit' ? request.body.toString('utf8') : request.id;
    const question: QuestionOf<'user'> = { q: 'user', to: request.to, text };
    let reached = false;
    // A version that does not know them would take a job that needs others for one that does not.
    const awaits = request.to === 'submit' && mayHaveDependencies(request.body);
    for (const node of this.options.peers.byLatestAnswer()) {
      if (awaits && !this.options.knowsPipelines(node)) continue;
      const answer = await this.options.peers.ask(node, question, FORWARD_TIMEOUT_S);
      reached ||= answer !== null;
      if (answer?.status === undefined) continue;
      this.aloneSince = null;
      const { status, body = '', retryAfter } = answer;
      return { status, body, retryAfter };
    }
    // In an outage the others answer that they are refused too: users are no better off there.
    if (reached) this.aloneSince = null;
    else this.aloneSince ??= this.options.now();
    return null;
  }

  /** Forwarded by another controller; it goes no further. Without a status: ask somebody else. */
  async serveForwarded(to: UserRequest['to'], text: string): Promise<ReplyAnswer> {
    if (!this.isServed) return {};
    const request: UserRequest =
      to === 'submit' ? { to, body: Buffer.from(text) } : { to, id: text };
    const reply = await this.serveLocally(request);
    return reply.status === 503 && !this.isServed ? {} : { ...reply };
  }
}
