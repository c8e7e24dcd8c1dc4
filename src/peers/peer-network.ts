import { createServer, type Server, type Socket } from 'node:net';
import type { Endpoint } from '../config/endpoint.js';
import type { Log } from '../log.js';
import { healthAttachment, type HealthExchange } from './health-exchange.js';
import { FrameReader, FrameWriter } from './frames.js';
import { Link } from './link.js';
import {
  MalformedFrameError,
  parseInitiatorFrame,
  parseHello,
  type Answer,
  type AnswerFrame,
  type AnswerTo,
  type Question,
} from './messages.js';

/** Answers a question; the answer is of the question's kind. If it throws, an empty answer is sent. */
export type QuestionHandler = (from: string, question: Question) => Promise<Answer> | Answer;

/** Dependencies and settings of a `PeerNetwork`. */
export interface PeerNetworkOptions {
  self: string;
  peers: { node: string; addr: Endpoint }[];
  handler: QuestionHandler;
  log: Log;
  /**
   * Maximum number of unanswered questions on one link. Each question originates from an incoming
   * connection of the controller that sends it.
   */
  maxPending: number;
  health: HealthExchange;
  /** Maximum delay in seconds of forwarded heartbeats, which are sent in batches. */
  batchingDelayS: number;
}

/**
 * The connections between controllers: length-prefixed CBOR frames over TCP. Each controller sends its
 * questions over connections that it opened and answers on those that it accepted. No safety property
 * depends on these connections alone. A malformed frame closes its own connection and nothing else.
 */
export class PeerNetwork {
  private readonly server: Server;
  private readonly links = new Map<string, Link>();
  private readonly accepted = new Set<Socket>();
  private closed = false;
  /** Features that each peer announced when it opened its latest connection. */
  private readonly features = new Map<string, ReadonlySet<string>>();

  constructor(private readonly options: PeerNetworkOptions) {
    const { peers, self, log, maxPending, batchingDelayS, health } = options;
    for (const { node, addr } of peers) {
      this.links.set(
        node,
        new Link({
          self,
          peer: node,
          addr,
          log,
          maxPending,
          batchingDelayS,
          health,
        }),
      );
    }
    this.server = createServer((socket) => this.accept(socket));
    this.server.on('error', (error) => log.error({ err: error }, 'peer server failed'));
  }

  private accept(socket: Socket): void {
    // A peer needs one connection; the rest allows for abandoned ones that are still open here.
    if (this.accepted.size >= this.links.size * 8 + 8) {
      const oldest = this.accepted.values().next().value;
      oldest?.destroy();
    }
    this.accepted.add(socket);
    socket.setNoDelay(true);
    const reader = new FrameReader();
    const writer = new FrameWriter(
      socket,
      healthAttachment(this.options.health),
      this.options.batchingDelayS,
    );
    let from: string | null = null;
    let pendingQuestions = 0;
    const handleFrame = (raw: unknown): void => {
      if (from === null) {
        from = this.identify(raw);
        return;
      }
      const frame = parseInitiatorFrame(raw);
      if (frame.kind === 'fitness') {
        this.options.health.recordHealth(from, frame.fitness);
        return;
      }
      if (++pendingQuestions > this.options.maxPending)
        throw new MalformedFrameError('more unanswered questions on one connection than the limit');
      void this.answer(writer, from, frame.id, frame.question).finally(() => pendingQuestions--);
    };
    socket.on('error', () => socket.destroy());
    socket.on('close', () => this.accepted.delete(socket));
    socket.on('data', (data) => {
      try {
        for (const frame of reader.push(data)) handleFrame(frame);
      } catch (error) {
        this.options.log.info({ err: error }, 'malformed peer frame');
        socket.destroy();
      }
    });
  }

  private identify(hello: unknown): string {
    const { from, features } = parseHello(hello);
    if (!this.links.has(from))
      throw new MalformedFrameError('hello names a controller that is not configured as a peer');
    this.features.set(from, features);
    return from;
  }

  /** Answers a question; null, a malformed question, gets an empty answer. */
  private async answer(
    writer: FrameWriter,
    from: string,
    id: number,
    question: Question | null,
  ): Promise<void> {
    let answer: Answer = {};
    try {
      if (question !== null) answer = await this.options.handler(from, question);
    } catch (error) {
      this.options.log.info({ err: error }, 'answering a question of a peer failed');
    }
    writer.write({ id, a: answer } satisfies AnswerFrame);
  }

  /** Starts to accept connections. Rejects if the address cannot be bound. */
  listen(address: Endpoint): Promise<void> {
    return new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(address.port, address.host, () => {
        this.server.off('error', reject);
        resolve();
      });
    });
  }

  /** Names of the other controllers. */
  get peerNames(): string[] {
    return [...this.links.keys()];
  }

  /** Features that a peer announced; null if it has not opened a connection to this controller. */
  announcedFeatures(node: string): ReadonlySet<string> | null {
    return this.features.get(node) ?? null;
  }

  /** Names of the other controllers, the one with the latest answer first. */
  byLatestAnswer(): string[] {
    const links = [...this.links].sort((a, b) => b[1].answeredAt - a[1].answeredAt);
    return links.map(([node]) => node);
  }

  /** Sends a question to a peer. Resolves with null if there is no answer in time. */
  ask<Q extends Question>(
    node: string,
    question: Q,
    timeoutS: number,
  ): Promise<AnswerTo<Q> | null> {
    if (this.closed) return Promise.resolve(null);
    return this.links.get(node)?.ask(question, timeoutS) ?? Promise.resolve(null);
  }

  /** Closes all connections. Later questions resolve with null. */
  close(): void {
    this.closed = true;
    this.server.close();
    for (const link of this.links.values()) link.close();
    for (const socket of this.accepted) socket.destroy();
  }
}
