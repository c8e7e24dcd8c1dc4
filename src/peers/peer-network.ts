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

/** Answers a question; the answer is of the question's kind. What it throws is an empty answer. */
export type QuestionHandler = (from: string, question: Question) => Promise<Answer> | Answer;

/** What a `PeerNetwork` works with. */
export interface PeerNetworkOptions {
  self: string;
  peers: { node: string; addr: Endpoint }[];
  handler: QuestionHandler;
  log: Log;
  /** Questions under way on one link: each comes from a connection of this controller's. */
  maxPending: number;
  health: HealthExchange;
  /** Seconds for which heartbeats that are forwarded may wait for others. */
  batchingDelayS: number;
}

/**
 * The links between controllers: CBOR frames with a length before them, over TCP. Each node asks
 * over connections that it opened itself and answers on those that it accepted. Nothing that must
 * hold rests on these links alone; a broken frame closes its connection and nothing else.
 */
export class PeerNetwork {
  private readonly server: Server;
  private readonly links = new Map<string, Link>();
  private readonly accepted = new Set<Socket>();
  private closed = false;
  /** What each of the others said of its version when it opened its latest connection. */
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
    // A peer needs one connection; some more for those it has given up and that still hang.
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
        this.options.health.note(from, frame.fitness);
        return;
      }
      if (++pendingQuestions > this.options.maxPending)
        throw new MalformedFrameError('too many questions');
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
    if (!this.links.has(from)) throw new MalformedFrameError('unknown peer');
    this.features.set(from, features);
    return from;
  }

  /** `question` null: it was malformed. */
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
      this.options.log.info({ err: error }, 'peer question failed');
    }
    writer.write({ id, a: answer } satisfies AnswerFrame);
  }

  /** Rejects when the address cannot be had. */
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
  get names(): string[] {
    return [...this.links.keys()];
  }

  /** What another controller said of its version; null: it has not opened a connection to this one. */
  announcedFeatures(node: string): ReadonlySet<string> | null {
    return this.features.get(node) ?? null;
  }

  /** The others, those that answered last first. */
  byLatestAnswer(): string[] {
    const links = [...this.links].sort((a, b) => b[1].answeredAt - a[1].answeredAt);
    return links.map(([node]) => node);
  }

  /** Null: no answer. */
  ask<Q extends Question>(
    node: string,
    question: Q,
    timeoutS: number,
  ): Promise<AnswerTo<Q> | null> {
    if (this.closed) return Promise.resolve(null);
    return this.links.get(node)?.ask(question, timeoutS) ?? Promise.resolve(null);
  }

  /** Ends all connections; every later question has no answer. */
  close(): void {
    this.closed = true;
    this.server.close();
    for (const link of this.links.values()) link.close();
    for (const socket of this.accepted) socket.destroy();
  }
}
