import type { QuestionOf, ReplyAnswer } from '../peers/messages.js';
import type { PeerNetwork } from '../peers/peer-network.js';
import type { Reply } from '../http/server.js';
import type { KeyValueStoreClient } from '../store/client.js';
import type { ReplicaSync } from '../store/replica-sync.js';
import { mayHaveDependencies, SUBMIT_WAIT_S } from '../wire/users.js';
import type { UserApi } from './user-api.js';

/** A user's request, in a form that can be forwarded to another controller. */
export type UserRequest =
  { to: 'submit'; body: Buffer } | { to: 'poll'; id: string } | { to: 'cancel'; id: string };

/** Time-out of a forwarded request: half of the time for which the user waits. */
const FORWARD_TIMEOUT_S = SUBMIT_WAIT_S / 2;
/**
 * Leases without service by the store and without an answer of a peer before `isReady` returns false: users are
 * better served by other controllers.
 */
const ISOLATION_GRACE_LEASES = 0.2;

/** Dependencies of a `RequestForwarder`. */
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
 * Serves users' requests on any controller. A controller that the key-value store refuses, or that is cut
 * off from it, forwards them to one that the store serves, so every answer rests on what that one has read
 * or stored. If the store serves no controller, the answer is 503 at once; requests do not wait.
 */
export class RequestForwarder {
  private isolatedSince: number | null = null;

  constructor(private readonly options: RequestForwarderOptions) {}

  /** Whether the key-value store serves this controller and its replica has been loaded. */
  get isServed(): boolean {
    return this.options.store.health === 'served' && this.options.replicaSync.ready;
  }

  /** Whether this controller should receive users' requests. */
  isReady(): boolean {
    if (!this.options.userApi.ready()) return false;
    if (this.isServed) this.isolatedSince = null;
    const { isolatedSince } = this;
    return (
      isolatedSince === null ||
      this.options.now() - isolatedSince < this.options.workers.lease_s * ISOLATION_GRACE_LEASES
    );
  }

  /** Answers a user's request on this controller or forwards it to another one. */
  async serve(request: UserRequest): Promise<Reply> {
    if (this.isServed || this.options.userApi.hasFinalState(request)) {
      const reply = await this.serveLocally(request);
      if (reply.status !== 503 || this.isServed) return reply;
    }
    // Also checks whether the key-value store is available again.
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
    let anyPeerAnswered = false;
    // A version without pipeline support would ignore the dependencies and start the job too early.
    const mayDepend = request.to === 'submit' && mayHaveDependencies(request.body);
    for (const node of this.options.peers.byLatestAnswer()) {
      if (mayDepend && !this.options.knowsPipelines(node)) continue;
      const answer = await this.options.peers.ask(node, question, FORWARD_TIMEOUT_S);
      anyPeerAnswered ||= answer !== null;
      if (answer?.status === undefined) continue;
      this.isolatedSince = null;
      const { status, body = '', retryAfter } = answer;
      return { status, body, retryAfter };
    }
    // In an outage of the store the peers answer that they are refused too: redirecting users would not help.
    if (anyPeerAnswered) this.isolatedSince = null;
    else this.isolatedSince ??= this.options.now();
    return null;
  }

  /** Answers a request that a peer forwarded; never forwards it again. No status: the peer asks another one. */
  async serveForwarded(to: UserRequest['to'], text: string): Promise<ReplyAnswer> {
    if (!this.isServed) return {};
    const request: UserRequest =
      to === 'submit' ? { to, body: Buffer.from(text) } : { to, id: text };
    const reply = await this.serveLocally(request);
    return reply.status === 503 && !this.isServed ? {} : { ...reply };
  }
}
