import { connect, type Socket } from 'node:net';
import { answerTimeout } from '../clock.js';
import type { Endpoint } from '../config/endpoint.js';
import type { Log } from '../log.js';
import { random } from '../random.js';
import { healthAttachment, type HealthExchange } from './health-exchange.js';
import { FrameReader, FrameWriter } from './frames.js';
import {
  FEATURES,
  parseAnswer,
  parseAcceptorFrame,
  PROTOCOL_VERSION,
  type Answer,
  type AnswerTo,
  type HelloFrame,
  type Question,
  type QuestionFrame,
  type QuestionKind,
} from './messages.js';

type LinkState = 'down' | 'connecting' | 'up';

const CONNECT_TIMEOUT_MS = 1500;
/** Initial and maximum delay between two connection attempts. */
const MIN_BACKOFF_MS = 50;
const MAX_BACKOFF_MS = 2000;

/** A question that is waiting for its answer. */
interface PendingQuestion {
  kind: QuestionKind;
  resolve: (answer: Answer | null) => void;
  timer: NodeJS.Timeout;
}

/** Dependencies and settings of a `Link`. */
export interface LinkOptions {
  /** Names of this controller and of the peer. */
  self: string;
  peer: string;
  addr: Endpoint;
  log: Log;
  /** Maximum number of unanswered questions. */
  maxPending: number;
  /** Maximum delay in seconds of forwarded heartbeats, which are sent in batches. */
  batchingDelayS: number;
  health: HealthExchange;
}

/** Sends questions to one peer over an outgoing connection, which is reopened by a later question if it was closed. */
export class Link {
  private state: LinkState = 'down';
  private socket: Socket | null = null;
  private writer: FrameWriter | null = null;
  private nextId = 1;
  private readonly pending = new Map<number, PendingQuestion>();
  private retryAt = 0;
  private backoffMs = MIN_BACKOFF_MS;
  /** Time of the last answer, in milliseconds of `performance.now()`. */
  answeredAt = -Infinity;

  constructor(private readonly options: LinkOptions) {}

  private setState(state: LinkState): void {
    this.state = state;
    if (state === 'down') {
      this.socket?.destroy();
      this.socket = null;
      this.writer = null;
      for (const pending of this.pending.values()) {
        clearTimeout(pending.timer);
        pending.resolve(null);
      }
      this.pending.clear();
    }
    if (state === 'up') this.backoffMs = MIN_BACKOFF_MS;
  }

  private open(): void {
    const now = performance.now();
    if (now < this.retryAt) return;
    this.retryAt = now + this.backoffMs * (0.75 + random() / 2);
    this.backoffMs = Math.min(MAX_BACKOFF_MS, this.backoffMs * 2);
    const { self, addr, log, health, batchingDelayS } = this.options;
    const socket = connect({ host: addr.host, port: addr.port });
    this.socket = socket;
    const writer = new FrameWriter(socket, healthAttachment(health), batchingDelayS);
    this.writer = writer;
    this.setState('connecting');
    const reader = new FrameReader();
    socket.setNoDelay(true);
    const onDisconnect = (): void => {
      if (this.socket === socket) this.setState('down');
    };
    const connectTimer = answerTimeout(() => {
      if (this.state === 'connecting') onDisconnect();
    }, CONNECT_TIMEOUT_MS);
    socket.on('connect', () => {
      clearTimeout(connectTimer);
      if (this.socket === socket) this.setState('up');
    });
    socket.on('data', (data) => {
      try {
        for (const frame of reader.push(data)) this.handleFrame(frame);
      } catch (error) {
        log.info({ err: error }, 'malformed peer frame');
        onDisconnect();
      }
    });
    socket.on('error', onDisconnect);
    socket.on('close', () => {
      clearTimeout(connectTimer);
      onDisconnect();
    });
    writer.write({ v: PROTOCOL_VERSION, from: self, features: FEATURES } satisfies HelloFrame);
  }

  private handleFrame(raw: unknown): void {
    const frame = parseAcceptorFrame(raw);
    if (frame.kind === 'fitness')
      this.options.health.recordHealth(this.options.peer, frame.fitness);
    else this.handleAnswer(frame.id, frame.answer);
  }

  private handleAnswer(id: number, answer: unknown): void {
    this.answeredAt = performance.now();
    const pending = this.pending.get(id);
    if (pending === undefined) return;
    this.pending.delete(id);
    clearTimeout(pending.timer);
    pending.resolve(parseAnswer(pending.kind, answer));
  }

  /** Sends a question. Resolves with null if it cannot be sent or is not answered in time. */
  ask<Q extends Question>(question: Q, timeoutS: number): Promise<AnswerTo<Q> | null> {
    if (this.state === 'down') this.open();
    const { socket, writer } = this;
    if (socket === null || writer === null || this.pending.size >= this.options.maxPending)
      return Promise.resolve(null);
    const id = this.nextId++;
    const sentAt = performance.now();
    return new Promise((resolve) => {
      const timer = answerTimeout(() => {
        if (!this.pending.delete(id)) return;
        resolve(null);
        // The connection may be dead, which only a new one can show. If other questions were answered
        // in the meantime it is kept: hundreds of heartbeats may be waiting for their answers on it.
        if (this.socket === socket && this.answeredAt < sentAt) this.setState('down');
      }, timeoutS * 1000);
      // `handleAnswer` parses the answer according to the kind of the question.
      const resolveAs = resolve as PendingQuestion['resolve'];
      this.pending.set(id, { kind: question.q, resolve: resolveAs, timer });
      writer.write({ id, q: question } satisfies QuestionFrame, question.q !== 'report');
    });
  }

  /** Closes the connection. Pending questions resolve with null. */
  close(): void {
    this.setState('down');
  }
}
