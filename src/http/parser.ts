/**
 * An incremental HTTP/1.1 parser for requests and responses with bodies held in memory.
 * It takes one message at a time; what follows a complete message stays unread until `next`.
 */

export interface Head {
  /** Requests: the method. Responses: empty. */
  method: string;
  /** Requests: the target, undecoded. Responses: empty. */
  target: string;
  /** Responses: the status. Requests: 0. */
  status: number;
  headers: Map<string, string>;
  /** Whether the connection goes on after this message. */
  keepAlive: boolean;
}

export interface Message extends Head {
  body: Buffer;
}

export class HttpError extends Error {
  constructor(
    readonly status: number,
    message: string,
  ) {
    super(message);
  }
}

export interface ParserLimits {
  headBytes: number;
  bodyBytes: number;
}

export const REQUEST_LIMITS: ParserLimits = { headBytes: 16 * 1024, bodyBytes: 64 * 1024 };
export const RESPONSE_LIMITS: ParserLimits = { headBytes: 16 * 1024, bodyBytes: 16 * 1024 * 1024 };

type State = 'head' | 'sized' | 'chunkSize' | 'chunkData' | 'chunkEnd' | 'trailer' | 'close';

const EMPTY = Buffer.alloc(0);
const TOKEN = /^[!#$%&'*+\-.^_`|~0-9A-Za-z]+$/;

export class HttpParser {
  private state: State = 'head';
  private chunks: Buffer[] = [];
  private held: Buffer = EMPTY;
  private head: Head | null = null;
  private body: Buffer[] = [];
  private bodySize = 0;
  private neededBytes = 0;
  private trailerSize = 0;

  constructor(
    private readonly kind: 'request' | 'response',
    private readonly limits: ParserLimits = kind === 'request' ? REQUEST_LIMITS : RESPONSE_LIMITS,
  ) {}

  /** Bytes are kept as they come; `next` looks at them. */
  push(data: Buffer): void {
    this.chunks.push(data);
  }

  /** Whether a message has begun that is not complete. */
  get isMidMessage(): boolean {
    return this.state !== 'head' || this.pendingBytes > 0;
  }

  get pendingBytes(): number {
    let bytes = this.held.length;
    for (const data of this.chunks) bytes += data.length;
    return bytes;
  }

  private receivedBytes(): Buffer {
    if (this.chunks.length > 0) {
      this.held =
        this.held.length === 0 && this.chunks.length === 1
          ? this.chunks[0]!
          : Buffer.concat([this.held, ...this.chunks]);
      this.chunks = [];
    }
    return this.held;
  }

  /** The next complete message, or null when more bytes are needed. Throws HttpError. */
  next(ended = false): Message | null {
    for (;;) {
      const buf = this.receivedBytes();
      switch (this.state) {
        case 'head': {
          let from = 0;
          if (this.kind === 'request' && buf.length >= 2 && buf[0] === 13 && buf[1] === 10)
            from = 2;
          const end = buf.indexOf('\r\n\r\n', from);
          if (end < 0) {
            if (buf.length > this.limits.headBytes) throw new HttpError(400, 'header too large');
            return null;
          }
          if (end > this.limits.headBytes) throw new HttpError(400, 'header too large');
          this.readHead(buf.toString('latin1', from, end));
          this.held = buf.subarray(end + 4);
          break;
        }
        case 'sized': {
          if (buf.length < this.neededBytes) return null;
          this.body = this.neededBytes > 0 ? [buf.subarray(0, this.neededBytes)] : [];
          this.held = buf.subarray(this.neededBytes);
          return this.finish();
        }
        case 'close': {
          if (buf.length > this.limits.bodyBytes) throw new HttpError(413, 'body too large');
          if (!ended) return null;
          this.body = [buf];
          this.held = EMPTY;
          return this.finish();
        }
        case 'chunkSize': {
          const end = buf.indexOf('\r\n');
          if (end < 0) {
            if (buf.length > 1024) throw new HttpError(400, 'bad chunk');
            return null;
          }
          const word = buf.toString('latin1', 0, end).split(';')[0]!.trim();
          if (!/^[0-9a-fA-F]{1,8}$/.test(word)) throw new HttpError(400, 'bad chunk size');
          this.neededBytes = parseInt(word, 16);
          this.held = buf.subarray(end + 2);
          if (this.neededBytes === 0) {
            this.trailerSize = 0;
            this.state = 'trailer';
          } else {
            this.bodySize += this.neededBytes;
            if (this.bodySize > this.limits.bodyBytes) throw new HttpError(413, 'body too large');
            this.state = 'chunkData';
          }
          break;
        }
        case 'chunkData': {
          if (buf.length < this.neededBytes) return null;
          this.body.push(buf.subarray(0, this.neededBytes));
          this.held = buf.subarray(this.neededBytes);
          this.state = 'chunkEnd';
          break;
        }
        case 'chunkEnd': {
          if (buf.length < 2) return null;
          if (buf[0] !== 13 || buf[1] !== 10) throw new HttpError(400, 'bad chunk end');
          this.held = buf.subarray(2);
          this.state = 'chunkSize';
          break;
        }
        case 'trailer': {
          const end = buf.indexOf('\r\n');
          if (end < 0) {
            if (buf.length > 4096) throw new HttpError(400, 'trailer too large');
            return null;
          }
          this.held = buf.subarray(end + 2);
          if (end === 0) return this.finish();
          this.trailerSize += end;
          if (this.trailerSize > 4096) throw new HttpError(400, 'trailer too large');
          break;
        }
      }
    }
  }

  private finish(): Message {
    const head = this.head!;
    const body = this.body.length === 1 ? this.body[0]! : Buffer.concat(this.body);
    this.head = null;
    this.body = [];
    this.bodySize = 0;
    this.state = 'head';
    return { ...head, body };
  }

  private readHead(text: string): void {
    const lines = text.split('\r\n');
    const first = lines[0]!;
    const headers = new Map<string, string>();
    for (let i = 1; i < lines.length; i++) {
      const line = lines[i]!;
      const colon = line.indexOf(':');
      if (colon <= 0) throw new HttpError(400, 'bad header line');
      const name = line.slice(0, colon);
      if (!TOKEN.test(name)) throw new HttpError(400, 'bad header name');
      const key = name.toLowerCase();
      const value = line.slice(colon + 1).trim();
      const old = headers.get(key);
      if (old !== undefined && (key === 'content-length' || key === 'transfer-encoding')) {
        // Two lengths, even equal ones: a smuggling attempt or a broken client.
        throw new HttpError(400, `repeated ${key}`);
      }
      headers.set(key, old === undefined ? value : `${old}, ${value}`);
    }
    let method = '';
    let target = '';
    let status = 0;
    let version: string;
    if (this.kind === 'request') {
      const parts = first.split(' ');
      if (parts.length !== 3 || !TOKEN.test(parts[0]!) || parts[1] === '') {
        throw new HttpError(400, 'bad request line');
      }
      [method, target, version] = parts as [string, string, string];
    } else {
      const match = /^(HTTP\/1\.[01]) (\d{3})( .*)?$/.exec(first);
      if (match === null) throw new HttpError(400, 'bad status line');
      version = match[1]!;
      status = Number(match[2]);
    }
    if (version !== 'HTTP/1.1' && version !== 'HTTP/1.0') throw new HttpError(400, 'bad version');
    const connection = (headers.get('connection') ?? '').toLowerCase();
    const keepAlive =
      version === 'HTTP/1.1' ? !connection.includes('close') : connection.includes('keep-alive');
    this.head = { method, target, status, headers, keepAlive };

    const length = headers.get('content-length');
    const coding = headers.get('transfer-encoding');
    if (length !== undefined && coding !== undefined) throw new HttpError(400, 'two body lengths');
    if (coding !== undefined) {
      if (coding.toLowerCase() !== 'chunked') throw new HttpError(400, 'unknown transfer coding');
      this.state = 'chunkSize';
      return;
    }
    if (length !== undefined) {
      if (!/^\d{1,15}$/.test(length)) throw new HttpError(400, 'bad content length');
      this.neededBytes = Number(length);
      if (this.neededBytes > this.limits.bodyBytes) throw new HttpError(413, 'body too large');
      this.state = 'sized';
      return;
    }
    if (this.kind === 'response' && status !== 204 && status !== 304) {
      this.state = 'close';
      this.head.keepAlive = false;
      return;
    }
    this.neededBytes = 0;
    this.state = 'sized';
  }
}
