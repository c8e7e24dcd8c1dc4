import { connect, type Socket } from 'node:net';
import { answerTimeout } from '../clock.js';
import { HttpParser } from './parser.js';
import type { Endpoint } from '../config/endpoint.js';

/** A response with its body in memory. */
export interface Response {
  status: number;
  body: Buffer;
}

/** Number of messages and of their bytes, heads included, since the start. */
export interface Traffic {
  sent: number;
  sentBytes: number;
  received: number;
  receivedBytes: number;
}

/** No valid response was received. `mayHaveBeenSent`: the request may have been carried out. */
export class NoResponseError extends Error {
  constructor(
    message: string,
    readonly mayHaveBeenSent: boolean,
  ) {
    super(message);
  }
}

interface QueuedRequest {
  method: string;
  path: string;
  body: string | undefined;
  deadline: number;
  resolve: (response: Response) => void;
  reject: (error: Error) => void;
  timer: NodeJS.Timeout | undefined;
}

class PooledConnection {
  private socket: Socket;
  private parser = new HttpParser('response');
  private activeRequest: QueuedRequest | null = null;
  private connected = false;
  closed = false;

  constructor(private readonly client: HttpClient) {
    this.socket = connect({ host: client.endpoint.host, port: client.endpoint.port });
    this.socket.setNoDelay(true);
    this.socket.on('connect', () => (this.connected = true));
    this.socket.on('data', (data) => this.onData(data));
    this.socket.on('end', () => this.onEnd());
    this.socket.on('error', (error) => this.fail(error.message));
    this.socket.on('close', () => this.fail('connection closed'));
  }

  /** Sends a request; the connection must be idle. */
  send(request: QueuedRequest): void {
    this.activeRequest = request;
    const timeoutMs = Math.max(1, request.deadline - performance.now());
    request.timer = answerTimeout(() => {
      if (this.activeRequest === request) this.fail('no response in time');
    }, timeoutMs);
    const body = request.body ?? '';
    const bodyBytes = Buffer.byteLength(body);
    let head = `${request.method} ${request.path} HTTP/1.1\r\nHost: ${this.client.endpoint.host}\r\n`;
    if (request.body !== undefined) {
      head += `Content-Type: application/json\r\nContent-Length: ${bodyBytes}\r\n`;
    }
    const { traffic } = this.client;
    traffic.sent++;
    // Heads are ASCII.
    traffic.sentBytes += head.length + 2 + bodyBytes;
    this.socket.write(`${head}\r\n${body}`);
  }

  private onData(data: Buffer): void {
    this.client.traffic.receivedBytes += data.length;
    this.parser.push(data);
    this.readMessage(false);
  }

  private onEnd(): void {
    this.readMessage(true);
    this.fail('connection ended');
  }

  private readMessage(ended: boolean): void {
    if (this.closed) return;
    let message;
    try {
      message = this.parser.next(ended);
    } catch {
      this.fail('bad response');
      return;
    }
    if (message === null) return;
    const request = this.activeRequest;
    if (request === null) {
      this.fail('unexpected response');
      return;
    }
    this.activeRequest = null;
    clearTimeout(request.timer);
    this.client.traffic.received++;
    if (!message.keepAlive || this.parser.pendingBytes > 0) this.destroy();
    request.resolve({ status: message.status, body: message.body });
    this.client.connectionIdleOrClosed(this);
  }

  private fail(reason: string): void {
    const request = this.activeRequest;
    const mayHaveBeenSent = this.connected;
    this.activeRequest = null;
    const wasOpen = !this.closed;
    this.destroy();
    if (request !== null) {
      clearTimeout(request.timer);
      request.reject(new NoResponseError(reason, mayHaveBeenSent));
    }
    if (wasOpen) this.client.connectionIdleOrClosed(this);
  }

  /** Closes the socket; the connection is not used again. */
  destroy(): void {
    this.closed = true;
    this.socket.destroy();
  }
}

/** A pool of connections to one address, each with one request at a time. */
export class HttpClient {
  readonly traffic: Traffic = { sent: 0, sentBytes: 0, received: 0, receivedBytes: 0 };
  private readonly idle: PooledConnection[] = [];
  private readonly connections = new Set<PooledConnection>();
  private readonly queue: QueuedRequest[] = [];
  private closed = false;

  constructor(
    readonly endpoint: Endpoint,
    private readonly maxConnections: number,
    private readonly maxQueue = 200,
  ) {}

  /** Rejects with NoResponseError if no valid response is received in time. */
  request(
    method: string,
    path: string,
    body: string | undefined,
    timeoutS: number,
  ): Promise<Response> {
    return new Promise((resolve, reject) => {
      if (this.closed) {
        reject(new NoResponseError('client closed', false));
        return;
      }
      if (this.queue.length >= this.maxQueue) {
        reject(new NoResponseError('too many requests wait', false));
        return;
      }
      const deadline = performance.now() + timeoutS * 1000;
      this.queue.push({ method, path, body, deadline, resolve, reject, timer: undefined });
      this.sendQueued();
    });
  }

  /** Called by a connection that has finished its request or was closed. */
  connectionIdleOrClosed(connection: PooledConnection): void {
    if (connection.closed) {
      this.connections.delete(connection);
      const at = this.idle.indexOf(connection);
      if (at >= 0) this.idle.splice(at, 1);
    } else this.idle.push(connection);
    this.sendQueued();
  }

  private sendQueued(): void {
    while (this.queue.length > 0) {
      let connection = this.idle.pop();
      if (connection === undefined) {
        if (this.connections.size >= this.maxConnections) return;
        connection = new PooledConnection(this);
        this.connections.add(connection);
      }
      const request = this.queue.shift()!;
      if (request.deadline <= performance.now()) {
        request.reject(new NoResponseError('waited too long for a connection', false));
        this.idle.push(connection);
        continue;
      }
      connection.send(request);
    }
  }

  /** Closes all connections. Queued requests and all later ones are rejected. */
  close(): void {
    this.closed = true;
    for (const request of this.queue.splice(0))
      request.reject(new NoResponseError('client closed', false));
    for (const connection of this.connections) connection.destroy();
    this.connections.clear();
    this.idle.length = 0;
  }
}
