import { createServer, type Server, type Socket } from 'node:net';
import { HttpError, HttpParser, type Message } from './parser.js';
import type { Endpoint } from '../config/endpoint.js';

/** A response to a request. */
export interface Reply {
  status: number;
  /** Encoded JSON or an empty string. */
  body?: string;
  retryAfter?: number;
  close?: boolean;
}

/** Answers a request. If it throws, the answer is 503. */
export type Handler = (request: Message) => Reply | Promise<Reply>;

const REASONS: Record<number, string> = {
  200: 'OK',
  201: 'Created',
  400: 'Bad Request',
  404: 'Not Found',
  405: 'Method Not Allowed',
  408: 'Request Timeout',
  413: 'Payload Too Large',
  421: 'Misdirected Request',
  422: 'Unprocessable Content',
  429: 'Too Many Requests',
  500: 'Internal Server Error',
  503: 'Service Unavailable',
};

/** Encodes a reply as an HTTP response. */
export function encodeReply(reply: Reply): string {
  const body = reply.body ?? '';
  let head =
    `HTTP/1.1 ${reply.status} ${REASONS[reply.status] ?? 'Status'}\r\n` +
    `Content-Length: ${Buffer.byteLength(body)}\r\n`;
  if (body !== '') head += 'Content-Type: application/json\r\n';
  if (reply.retryAfter !== undefined) head += `Retry-After: ${reply.retryAfter}\r\n`;
  if (reply.close === true) head += 'Connection: close\r\n';
  return `${head}\r\n${body}`;
}

type ConnectionState = 'idle' | 'reading' | 'handling' | 'closing';

class Connection {
  state: ConnectionState = 'idle';
  since: number;
  private readonly parser = new HttpParser('request');

  constructor(
    readonly socket: Socket,
    private readonly server: HttpServer,
  ) {
    this.since = server.now();
    socket.setNoDelay(true);
    socket.on('data', (data) => this.onData(data));
    socket.on('error', () => socket.destroy());
    socket.on('close', () => server.connectionClosed(this));
  }

  /** The one place where a connection changes its state. */
  private changeState(state: ConnectionState): void {
    if (this.state === 'closing') return;
    this.state = state;
    this.since = this.server.now();
  }

  private onData(data: Buffer): void {
    if (this.state === 'closing') return;
    this.parser.push(data);
    if (this.state === 'handling') {
      // The protocol does not allow HTTP pipelining: data sent before the answer is an error.
      this.fail(400);
      return;
    }
    if (this.state === 'idle') this.changeState('reading');
    let message: Message | null;
    try {
      message = this.parser.next();
    } catch (error) {
      this.fail(error instanceof HttpError ? error.status : 400);
      return;
    }
    if (message === null) return;
    if (this.parser.pendingBytes > 0) {
      this.fail(400);
      return;
    }
    this.changeState('handling');
    void this.handle(message);
  }

  private async handle(message: Message): Promise<void> {
    let reply: Reply;
    try {
      const answer = this.server.handler(message);
      reply = answer instanceof Promise ? await answer : answer;
    } catch (error) {
      this.server.onError(error);
      reply = { status: 503, retryAfter: 1 };
    }
    // The connection was closed in the meantime, or was already answered with 400.
    if (this.state !== 'handling') return;
    if (!message.keepAlive) reply = { ...reply, close: true };
    this.socket.write(encodeReply(reply));
    if (reply.close === true) {
      this.changeState('closing');
      this.socket.end();
    } else {
      this.changeState('idle');
    }
  }

  /** Answers with this status and closes the connection. */
  fail(status: number): void {
    if (this.state === 'closing') return;
    this.socket.write(encodeReply({ status, close: true }));
    this.changeState('closing');
    this.socket.end();
  }
}

/** Largest number of connections, and time-outs for receiving a request and for idle connections. */
export interface ServerLimits {
  sockets: number;
  readS: number;
  idleS: number;
}

/** A bounded HTTP server on node:net. */
export class HttpServer {
  private readonly server: Server;
  private readonly openConnections = new Set<Connection>();
  private idleTimer: NodeJS.Timeout | undefined;

  constructor(
    readonly handler: Handler,
    private readonly limits: ServerLimits,
    readonly now: () => number,
    readonly onError: (error: unknown) => void,
  ) {
    this.server = createServer((socket) => this.accept(socket));
    this.server.on('error', (error) => onError(error));
  }

  private accept(socket: Socket): void {
    if (this.openConnections.size >= this.limits.sockets) {
      // Closes the connection that has been idle longest, if for at least `readS`; otherwise refuses the new one.
      let oldest: Connection | undefined;
      for (const connection of this.openConnections) {
        if (
          connection.state === 'idle' &&
          (oldest === undefined || connection.since < oldest.since)
        )
          oldest = connection;
      }
      if (oldest === undefined || this.now() - oldest.since < this.limits.readS) {
        socket.destroy();
        return;
      }
      oldest.socket.destroy();
      this.openConnections.delete(oldest);
    }
    this.openConnections.add(new Connection(socket, this));
  }

  /** Called when a connection is closed. */
  connectionClosed(connection: Connection): void {
    this.openConnections.delete(connection);
  }

  /** Number of open connections. */
  get connections(): number {
    return this.openConnections.size;
  }

  /** Rejects if it cannot bind the address. */
  listen(at: Endpoint): Promise<void> {
    this.idleTimer = setInterval(() => {
      const now = this.now();
      for (const connection of this.openConnections) {
        const age = now - connection.since;
        if (connection.state === 'reading' && age > this.limits.readS) connection.fail(408);
        else if (connection.state === 'idle' && age > this.limits.idleS)
          connection.socket.destroy();
        else if (connection.state === 'closing' && age > this.limits.readS)
          connection.socket.destroy();
      }
    }, 1000);
    return new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(at.port, at.host, 512, () => {
        this.server.off('error', reject);
        resolve();
      });
    });
  }

  /** The port it listens on; 0: it does not listen. */
  get port(): number {
    const address = this.server.address();
    return address !== null && typeof address === 'object' ? address.port : 0;
  }

  /** Stops listening and closes all connections. */
  close(): void {
    clearInterval(this.idleTimer);
    this.server.close();
    for (const connection of this.openConnections) connection.socket.destroy();
    this.openConnections.clear();
  }
}
