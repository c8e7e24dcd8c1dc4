/**
 * An incremental HTTP/1.1 parser for requests and responses with bodies held in memory.
 * It takes one message at a time; what follows a complete message stays unread until `next`.
 */

/** What stands before a message's body. */
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

/** A whole message. */
export interface Message extends Head {
  body: Buffer;
}

/** What is wrong with a message, and the status to answer it with. */
export class HttpError extends Error {
  constructor(
    readonly status: number,
    message: string,
  ) {
    super(message);
  }
}

/** The longest head and body that are accepted, in bytes. */
export interface ParserLimits {
  headBytes: number;
  bodyBytes: number;
}

/** The longest request (protocol). */
export const REQUEST_LIMITS: ParserLimits = { headBytes: 16 * 1024, bodyBytes: 64 * 1024 };
/** The longest response: changes of the store have no bound of their own. */
const RESPONSE_LIMITS: ParserLimits = { headBytes: 16 * 1024, bodyBytes: 16 * 1024 * 1024 };

type State = 'head' | 'sized' | 'chunkSize' | 'chunkData' | 'chunkEnd' | 'trailer' | 'close';

/** A message; null: bytes are missing; or another step can be made at once. */
type Step = Message | null | 'again';

const EMPTY = Buffer.alloc(0);
const CARRIAGE_RETURN = 13;
const LINE_FEED = 10;
const LINE_END = '\r\n';
const HEAD_END = '\r\n\r\n';
/** Bytes of the line with a chunk's size, and of all lines after the last chunk, at most. */
const MAX_CHUNK_LINE_BYTES = 1024;
const MAX_TRAILER_BYTES = 4096;
const CHUNK_SIZE = /^[0-9a-fA-F]{1,8}$/;
const CONTENT_LENGTH = /^\d{1,15}$/;
const STATUS_LINE = /^(HTTP\/1\.[01]) (\d{3})( .*)?$/;
const TOKEN = /^[!#$%&'*+\-.^_`|~0-9A-Za-z]+$/;

/** Parses messages of one connection as their bytes come. */
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

  /** Bytes that came and belong to no complete message yet. */
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
      const step = this.step(this.receivedBytes(), ended);
      if (step !== 'again') return step;
    }
  }

  /** One step in the present state: a message, null where bytes are missing, or another step. */
  private step(bytes: Buffer, ended: boolean): Step {
    switch (this.state) {
      case 'head':
        return this.stepHead(bytes);
      case 'sized':
        return this.stepSized(bytes);
      case 'close':
        return this.stepUntilClose(bytes, ended);
      case 'chunkSize':
        return this.stepChunkSize(bytes);
      case 'chunkData':
        return this.stepChunkData(bytes);
      case 'chunkEnd':
        return this.stepChunkEnd(bytes);
      case 'trailer':
        return this.stepTrailer(bytes);
    }
  }

  private stepHead(bytes: Buffer): Step {
    // An empty line before a request is allowed.
    const from = this.kind === 'request' && startsWithLineEnd(bytes) ? LINE_END.length : 0;
    const end = bytes.indexOf(HEAD_END, from);
    if (Math.max(end, end < 0 ? bytes.length : 0) > this.limits.headBytes) {
      throw new HttpError(400, 'header too large');
    }
    if (end < 0) return null;
    this.readHead(bytes.toString('latin1', from, end));
    this.held = bytes.subarray(end + HEAD_END.length);
    return 'again';
  }

  private stepSized(bytes: Buffer): Step {
    if (bytes.length < this.neededBytes) return null;
    this.body = this.neededBytes > 0 ? [bytes.subarray(0, this.neededBytes)] : [];
    this.held = bytes.subarray(this.neededBytes);
    return this.finish();
  }

  private stepUntilClose(bytes: Buffer, ended: boolean): Step {
    if (bytes.length > this.limits.bodyBytes) throw new HttpError(413, 'body too large');
    if (!ended) return null;
    this.body = [bytes];
    this.held = EMPTY;
    return this.finish();
  }

  private stepChunkSize(bytes: Buffer): Step {
    const end = bytes.indexOf(LINE_END);
    if (end < 0) {
      if (bytes.length > MAX_CHUNK_LINE_BYTES) throw new HttpError(400, 'bad chunk');
      return null;
    }
    const word = bytes.toString('latin1', 0, end).split(';')[0]!.trim();
    if (!CHUNK_SIZE.test(word)) throw new HttpError(400, 'bad chunk size');
    this.neededBytes = parseInt(word, 16);
    this.held = bytes.subarray(end + LINE_END.length);
    if (this.neededBytes === 0) {
      this.trailerSize = 0;
      this.state = 'trailer';
      return 'again';
    }
    this.bodySize += this.neededBytes;
    if (this.bodySize > this.limits.bodyBytes) throw new HttpError(413, 'body too large');
    this.state = 'chunkData';
    return 'again';
  }

  private stepChunkData(bytes: Buffer): Step {
    if (bytes.length < this.neededBytes) return null;
    this.body.push(bytes.subarray(0, this.neededBytes));
    this.held = bytes.subarray(this.neededBytes);
    this.state = 'chunkEnd';
    return 'again';
  }

  private stepChunkEnd(bytes: Buffer): Step {
    if (bytes.length < LINE_END.length) return null;
    if (!startsWithLineEnd(bytes)) throw new HttpError(400, 'bad chunk end');
    this.held = bytes.subarray(LINE_END.length);
    this.state = 'chunkSize';
    return 'again';
  }

  private stepTrailer(bytes: Buffer): Step {
    const end = bytes.indexOf(LINE_END);
    if (end < 0) {
      if (bytes.length > MAX_TRAILER_BYTES) throw new HttpError(400, 'trailer too large');
      return null;
    }
    this.held = bytes.subarray(end + LINE_END.length);
    if (end === 0) return this.finish();
    this.trailerSize += end;
    if (this.trailerSize > MAX_TRAILER_BYTES) throw new HttpError(400, 'trailer too large');
    return 'again';
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
    const lines = text.split(LINE_END);
    const headers = parseHeaders(lines);
    const start =
      this.kind === 'request' ? parseRequestLine(lines[0]!) : parseStatusLine(lines[0]!);
    const { method, target, status, version } = start;
    if (version !== 'HTTP/1.1' && version !== 'HTTP/1.0') throw new HttpError(400, 'bad version');
    const connection = (headers.get('connection') ?? '').toLowerCase();
    const keepAlive =
      version === 'HTTP/1.1' ? !connection.includes('close') : connection.includes('keep-alive');
    const head = { method, target, status, headers, keepAlive };
    this.head = head;
    this.state = this.bodyState(head);
  }

  /** How the body after a head is delimited. */
  private bodyState(head: Head): State {
    const length = head.headers.get('content-length');
    const coding = head.headers.get('transfer-encoding');
    if (length !== undefined && coding !== undefined) throw new HttpError(400, 'two body lengths');
    if (coding !== undefined) {
      if (coding.toLowerCase() !== 'chunked') throw new HttpError(400, 'unknown transfer coding');
      return 'chunkSize';
    }
    if (length !== undefined) {
      if (!CONTENT_LENGTH.test(length)) throw new HttpError(400, 'bad content length');
      this.neededBytes = Number(length);
      if (this.neededBytes > this.limits.bodyBytes) throw new HttpError(413, 'body too large');
      return 'sized';
    }
    if (this.kind === 'response' && head.status !== 204 && head.status !== 304) {
      head.keepAlive = false;
      return 'close';
    }
    this.neededBytes = 0;
    return 'sized';
  }
}

const startsWithLineEnd = (bytes: Buffer): boolean =>
  bytes.length >= LINE_END.length && bytes[0] === CARRIAGE_RETURN && bytes[1] === LINE_FEED;

/** Headers by their names in small letters; the first line is the start line. */
function parseHeaders(lines: string[]): Map<string, string> {
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
  return headers;
}

/** What a message begins with; the fields that its kind does not have are empty. */
interface StartLine {
  method: string;
  target: string;
  status: number;
  version: string;
}

function parseRequestLine(line: string): StartLine {
  const parts = line.split(' ');
  const [method = '', target = '', version = ''] = parts;
  if (parts.length !== 3 || !TOKEN.test(method) || target === '') {
    throw new HttpError(400, 'bad request line');
  }
  return { method, target, status: 0, version };
}

function parseStatusLine(line: string): StartLine {
  const match = STATUS_LINE.exec(line);
  if (match === null) throw new HttpError(400, 'bad status line');
  return { method: '', target: '', status: Number(match[2]), version: match[1]! };
}
