import { connect, type Socket } from 'node:net';
import { answerTimeout } from '../clock.js';
import { HttpParser } from './parser.js';
import type { Endpoint } from '../config/endpoint.js';

/** A response, its body in memory. */
export interface Response {
  status: number;
  body: Buffer;
}

/** Messages, and the bytes of them with their heads, since the start. */
export interface Traffic {
  sent: number;
  sentBytes: number;
  received: number;
  receivedBytes: number;
}

/** Nothing usable came back. `sent` tells whether the request may have been carried out. */
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
  private job: QueuedRequest | null = null;
  private connected = false;
  dead = false;

  constructor(private readonly owner: HttpClient) {
    this.socket = connect({ host: owner.endpoint.host, port: owner.endpoint.port });
    this.socket.setNoDelay(true);
    this.socket.on('connect', () => (this.connected = true));
    this.socket.on('data', (data) => this.onData(data));
    this.socket.on('end', () => this.onEnd());
    this.socket.on('error', (error) => this.fail(error.message));
    this.socket.on('close', () => this.fail('connection closed'));
  }

  /** Sends a request; the connection must be idle. */
  start(job: QueuedRequest): void {
    this.job = job;
    const wait = Math.max(1, job.deadline - performance.now());
    job.timer = answerTimeout(() => {
      if (this.job === job) this.fail('no response in time');
    }, wait);
    const body = job.body ?? '';
    const bodyBytes = Buffer.byteLength(body);
    let head = `${job.method} ${job.path} HTTP/1.1\r\nHost: ${this.owner.endpoint.host}\r\n`;
    if (job.body !== undefined) {
      head += `Content-Type: application/json\r\nContent-Length: ${bodyBytes}\r\n`;
    }
    const { traffic } = this.owner;
    traffic.sent++;
    // Heads are ASCII.
    traffic.sentBytes += head.length + 2 + bodyBytes;
    this.socket.write(`${head}\r\n${body}`);
  }

  private onData(data: Buffer): void {
    this.owner.traffic.receivedBytes += data.length;
    this.parser.push(data);
    this.read(false);
  }

  private onEnd(): void {
    this.read(true);
    this.fail('connection ended');
  }

  private read(ended: boolean): void {
    if (this.dead) return;
    let message;
    try {
      message = this.parser.next(ended);
    } catch {
      this.fail('bad response');
      return;
    }
    if (message === null) return;
    const job = this.job;
    if (job === null) {
      this.fail('unexpected response');
      return;
    }
    this.job = null;
    clearTimeout(job.timer);
    this.owner.traffic.received++;
    if (!message.keepAlive || this.parser.pendingBytes > 0) this.destroy();
    job.resolve({ status: message.status, body: message.body });
    this.owner.free(this);
  }

  private fail(why: string): void {
    const job = this.job;
    const sent = this.connected;
    this.job = null;
    const first = !this.dead;
    this.destroy();
    if (job !== null) {
      clearTimeout(job.timer);
      job.reject(new NoResponseError(why, sent));
    }
    if (first) this.owner.free(this);
  }

  /** Closes the socket; the connection is not used again. */
  destroy(): void {
    this.dead = true;
    this.socket.destroy();
  }
}

/** A pool of connections to one address. One request at a time on each. */
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

  /** Rejects with NoResponseError where nothing usable came back in time. */
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
      this.pump();
    });
  }

  /** A connection has done its request, or is dead. */
  free(line: PooledConnection): void {
    if (line.dead) {
      this.connections.delete(line);
      const at = this.idle.indexOf(line);
      if (at >= 0) this.idle.splice(at, 1);
    } else this.idle.push(line);
    this.pump();
  }

  private pump(): void {
    while (this.queue.length > 0) {
      let line = this.idle.pop();
      if (line === undefined) {
        if (this.connections.size >= this.maxConnections) return;
        line = new PooledConnection(this);
        this.connections.add(line);
      }
      const job = this.queue.shift()!;
      if (job.deadline <= performance.now()) {
        job.reject(new NoResponseError('waited too long for a connection', false));
        this.idle.push(line);
        continue;
      }
      line.start(job);
    }
  }

  /** Ends all connections. Requests that wait, and all later ones, are rejected. */
  close(): void {
    this.closed = true;
    for (const job of this.queue.splice(0)) job.reject(new NoResponseError('client closed', false));
    for (const line of this.connections) line.destroy();
    this.connections.clear();
    this.idle.length = 0;
  }
}
