import { random } from '../random.js';
import { connect, createServer, type Server, type Socket } from 'node:net';
import { Decoder, Encoder } from 'cbor-x';
import { answerTimeout } from '../clock.js';
import type { Endpoint } from '../config/endpoint.js';
import type { Log } from '../log.js';

/**
 * The link between controllers: CBOR frames with a length before them, over TCP. Each node asks
 * over connections that it opened itself and answers on those that it accepted. Nothing that must
 * hold rests on this link alone; a broken frame closes its connection and nothing else.
 */
const VERSION = 1;
const MAX_FRAME = 256 * 1024;

const encoder = new Encoder({ useRecords: false, structuredClone: false });
const decoder = new Decoder({ useRecords: false, structuredClone: false });

export function encodeFrame(value: unknown): Buffer {
  const body = encoder.encode(value) as Buffer;
  const frame = Buffer.allocUnsafe(4 + body.length);
  frame.writeUInt32BE(body.length, 0);
  body.copy(frame, 4);
  return frame;
}

/**
 * Writes frames to a connection, those of one turn of the event loop together: a controller that falls
 * behind finds many reports in a turn, and each write is a system call and a packet.
 */
class FrameWriter {
  private frames: Buffer[] = [];

  constructor(private readonly socket: Socket) {}

  write(value: unknown): void {
    this.frames.push(encodeFrame(value));
    if (this.frames.length === 1) setImmediate(() => this.flush());
  }

  private flush(): void {
    const { frames } = this;
    this.frames = [];
    if (this.socket.destroyed) return;
    this.socket.write(frames.length === 1 ? frames[0]! : Buffer.concat(frames));
  }
}

export class FrameReader {
  private held: Buffer = Buffer.alloc(0);

  /** Throws on a frame that is too long or not CBOR. */
  push(data: Buffer): unknown[] {
    this.held = this.held.length === 0 ? data : Buffer.concat([this.held, data]);
    const out: unknown[] = [];
    while (this.held.length >= 4) {
      const size = this.held.readUInt32BE(0);
      if (size === 0 || size > MAX_FRAME) throw new Error(`frame of ${size} bytes`);
      if (this.held.length < 4 + size) break;
      out.push(decoder.decode(this.held.subarray(4, 4 + size)));
      this.held = this.held.subarray(4 + size);
    }
    return out;
  }
}

export type Question =
  /** A worker's report, passed on as it came. `hop`: pass it on to the leader if you do not lead. */
  | { q: 'report'; body: Buffer; hop: boolean }
  /**
   * Does the state service refuse you too? Promise not to take over for a while if it does, and tell
   * the cancellations stored after the revision `applied`.
   */
  | { q: 'refused'; token: number; forMs: number; applied: number }
  /** A leader was elected: acknowledge it. */
  | { q: 'elected'; token: number }
  /** Are you there? */
  | { q: 'there' }
  /** A user's request, passed on by a controller that the state service does not serve. */
  | { q: 'user'; to: 'submit' | 'poll' | 'cancel'; text: string }
  /** A cancellation is about to be stored: stop its tasks if your zone is cut off. */
  | { q: 'cancelling'; job: string }
  /** A cancellation is stored: note it, whatever the state service shows you. */
  | { q: 'cancelled'; job: string };

export type Answer = Record<string, unknown>;
export type Answerer = (from: string, question: Question) => Promise<Answer> | Answer;

type LinkState = 'down' | 'connecting' | 'up';

class Link {
  private state: LinkState = 'down';
  private socket: Socket | null = null;
  private writer: FrameWriter | null = null;
  private nextId = 1;
  private readonly pending = new Map<
    number,
    { resolve: (a: Answer | null) => void; timer: NodeJS.Timeout }
  >();
  private retryAt = 0;
  /** When the last answer came. */
  answeredAt = -Infinity;
  private backoffMs = 50;

  constructor(
    private readonly self: string,
    private readonly to: Endpoint,
    private readonly log: Log,
    private readonly maxPending: number,
  ) {}

  private become(state: LinkState): void {
    this.state = state;
    if (state === 'down') {
      this.socket?.destroy();
      this.socket = null;
      this.writer = null;
      for (const p of this.pending.values()) {
        clearTimeout(p.timer);
        p.resolve(null);
      }
      this.pending.clear();
    }
    if (state === 'up') this.backoffMs = 50;
  }

  private open(): void {
    const now = performance.now();
    if (now < this.retryAt) return;
    this.retryAt = now + this.backoffMs * (0.75 + random() / 2);
    this.backoffMs = Math.min(2000, this.backoffMs * 2);
    const socket = connect({ host: this.to.host, port: this.to.port });
    this.socket = socket;
    const writer = new FrameWriter(socket);
    this.writer = writer;
    this.become('connecting');
    const reader = new FrameReader();
    socket.setNoDelay(true);
    const down = (): void => {
      if (this.socket === socket) this.become('down');
    };
    const slow = answerTimeout(() => {
      if (this.state === 'connecting') down();
    }, 1500);
    socket.on('connect', () => {
      clearTimeout(slow);
      if (this.socket === socket) this.become('up');
    });
    socket.on('data', (data) => {
      try {
        for (const f of reader.push(data)) this.answered(f);
      } catch (e) {
        this.log.info({ err: String(e) }, 'broken frame from a peer');
        down();
      }
    });
    socket.on('error', down);
    socket.on('close', () => {
      clearTimeout(slow);
      down();
    });
    writer.write({ v: VERSION, from: this.self });
  }

  private answered(frame: unknown): void {
    if (frame === null || typeof frame !== 'object') throw new Error('no object');
    const f = frame as { id?: unknown; a?: unknown };
    if (typeof f.id !== 'number') throw new Error('no id');
    this.answeredAt = performance.now();
    const p = this.pending.get(f.id);
    if (p === undefined) return;
    this.pending.delete(f.id);
    clearTimeout(p.timer);
    p.resolve(f.a !== null && typeof f.a === 'object' ? (f.a as Answer) : null);
  }

  ask(question: Question, timeoutS: number): Promise<Answer | null> {
    if (this.state === 'down') this.open();
    const { socket, writer } = this;
    if (socket === null || writer === null || this.pending.size >= this.maxPending)
      return Promise.resolve(null);
    const id = this.nextId++;
    const sentAt = performance.now();
    return new Promise((resolve) => {
      const timer = answerTimeout(() => {
        if (!this.pending.delete(id)) return;
        resolve(null);
        // Hanging, perhaps cut off: a new connection is the only way to find out. Not when others were
        // answered meanwhile: hundreds of reports may be under way on this one.
        if (this.socket === socket && this.answeredAt < sentAt) this.become('down');
      }, timeoutS * 1000);
      this.pending.set(id, { resolve, timer });
      writer.write({ id, q: question });
    });
  }

  close(): void {
    this.become('down');
  }
}

export class PeerNet {
  private readonly server: Server;
  private readonly links = new Map<string, Link>();
  private readonly accepted = new Set<Socket>();
  private closed = false;

  constructor(
    self: string,
    peers: { node: string; addr: Endpoint }[],
    private readonly answerer: Answerer,
    private readonly log: Log,
    /** Questions under way on one link: each comes from a connection of this controller's. */
    private readonly maxPending: number,
  ) {
    for (const p of peers) this.links.set(p.node, new Link(self, p.addr, log, maxPending));
    this.server = createServer((s) => this.accept(s));
    this.server.on('error', (e) => log.error({ err: e.message }, 'peer server'));
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
    const writer = new FrameWriter(socket);
    let from: string | null = null;
    let busy = 0;
    socket.on('error', () => socket.destroy());
    socket.on('close', () => this.accepted.delete(socket));
    socket.on('data', (data) => {
      try {
        for (const frame of reader.push(data)) {
          if (frame === null || typeof frame !== 'object') throw new Error('no object');
          const f = frame as { v?: unknown; from?: unknown; id?: unknown; q?: unknown };
          if (from === null) {
            if (f.v !== VERSION || typeof f.from !== 'string' || !this.links.has(f.from)) {
              throw new Error('unknown peer or version');
            }
            from = f.from;
            continue;
          }
          if (typeof f.id !== 'number' || f.q === null || typeof f.q !== 'object') {
            throw new Error('no question');
          }
          if (++busy > this.maxPending) throw new Error('too many questions');
          void this.answer(writer, from, f.id, f.q as Question).finally(() => busy--);
        }
      } catch (e) {
        this.log.info({ err: String(e) }, 'broken frame from a peer');
        socket.destroy();
      }
    });
  }

  private async answer(writer: FrameWriter, from: string, id: number, q: Question): Promise<void> {
    let a: Answer;
    try {
      a = await this.answerer(from, q);
    } catch (e) {
      this.log.info({ err: String(e) }, 'question from a peer');
      a = {};
    }
    writer.write({ id, a });
  }

  listen(at: Endpoint): Promise<void> {
    return new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(at.port, at.host, () => {
        this.server.off('error', reject);
        resolve();
      });
    });
  }

  get names(): string[] {
    return [...this.links.keys()];
  }

  /** The others, those that answered last first. */
  lately(): string[] {
    const links = [...this.links].sort((a, b) => b[1].answeredAt - a[1].answeredAt);
    return links.map(([node]) => node);
  }

  /** Null: no answer. */
  ask(node: string, question: Question, timeoutS: number): Promise<Answer | null> {
    if (this.closed) return Promise.resolve(null);
    return this.links.get(node)?.ask(question, timeoutS) ?? Promise.resolve(null);
  }

  /** Ends all connections; every later question has no answer. */
  close(): void {
    this.closed = true;
    this.server.close();
    for (const l of this.links.values()) l.close();
    for (const s of this.accepted) s.destroy();
  }
}
