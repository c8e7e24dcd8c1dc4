/**
 * An incremental HTTP/1.1 parser for requests and responses with bodies held in memory.
 * It parses one message at a time; bytes after a complete message are not parsed until `next` is called.
 */

/** A message's start line and headers. */
export interface Head {
  /** Requests: the method. Responses: empty. */
  method: string;
  /** Requests: the target, undecoded. Responses: empty. */
  target: string;
  /** Responses: the status. Requests: 0. */
  status: number;
  headers: Map<string, string>;
  /** Whether the connection stays open after this message. */
  keepAlive: boolean;
}

/** A complete message. */
export interface Message extends Head {
  body: Buffer;
}

/** A malformed or too large message, with the status to answer it with. */
export class HttpError extends Error {
  constructor(
    readonly status: number,
    message: string,
  ) {
    super(message);
  }
}

/** Limits of a message's head and body, in bytes. */
export interface ParserLimits {
  headBytes: number;
  bodyBytes: number;
}

/** Limits of a request, set by the protocol. */
export const REQUEST_LIMITS: ParserLimits = { headBytes: 16 * 1024, bodyBytes: 64 * 1024 };
/** Limits of a response: lists of the store's changes have no bound of their own. */
const RESPONSE_LIMITS: ParserLimits = { headBytes: 16 * 1024, bodyBytes: 16 * 1024 * 1024 };

type State = 'head' | 'sized' | 'chunkSize' | 'chunkData' | 'chunkEnd' | 'trailer' | 'close';

/** A message; null: more bytes are needed; 'again': another step can follow at once. */
type Step = Message | null | 'again';

const EMPTY = Buffer.alloc(0);
const CARRIAGE_RETURN = 13;
const LINE_FEED = 10;
const LINE_END = '\r\n';
const HEAD_END = '\r\n\r\n';
/** Limits of a chunk-size line and of the whole trailer. */
const MAX_CHUNK_LINE_BYTES = 1024;
const MAX_TRAILER_BYTES = 4096;
const CHUNK_SIZE = /^[0-9a-fA-F]{1,8}$/;
const CONTENT_LENGTH = /^\d{1,15}$/;
const STATUS_LINE = /^(HTTP\/1\.[01]) (\d{3})( .*)?$/;
const TOKEN = /^[!#$%&'*+\-.^_`|~0-9A-Za-z]+$/;

/** Parses the messages of one connection incrementally. */
export class HttpParser {
  private state: State = 'head';
  private chunks: Buffer[] = [];
  private unparsed: Buffer = EMPTY;
  private head: Head | null = null;
  private body: Buffer[] = [];
  private bodySize = 0;
  private neededBytes = 0;
  private trailerSize = 0;

  constructor(
    private readonly kind: 'request' | 'response',
    private readonly limits: ParserLimits = kind === 'request' ? REQUEST_LIMITS : RESPONSE_LIMITS,
  ) {}

  /** Appends received bytes without parsing them. */
  push(data: Buffer): void {
    this.chunks.push(data);
  }

  /** Whether an incomplete message has been received. */
  get isMidMessage(): boolean {
    return this.state !== 'head' || this.pendingBytes > 0;
  }

  /** Number of received bytes that are not parsed yet. */
  get pendingBytes(): number {
    let bytes = this.unparsed.length;
    for (const data of this.chunks) bytes += data.length;
    return bytes;
  }

  private mergeChunks(): Buffer {
    if (this.chunks.length > 0) {
      this.unparsed =
        this.unparsed.length === 0 && this.chunks.length === 1
          ? this.chunks[0]!
          : Buffer.concat([this.unparsed, ...this.chunks]);
      this.chunks = [];
    }
    return this.unparsed;
  }

  /** The next complete message, or null when more bytes are needed. Throws HttpError. */
  next(ended = false): Message | null {
    for (;;) {
      const step = this.step(this.mergeChunks(), ended);
      if (step !== 'again') return step;
    }
  }

  /** Performs one step in the present state. */
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
    this.unparsed = bytes.subarray(end + HEAD_END.length);
    return 'again';
  }

  private stepSized(bytes: Buffer): Step {
    if (bytes.length < this.neededBytes) return null;
    this.body = this.neededBytes > 0 ? [bytes.subarray(0, this.neededBytes)] : [];
    this.unparsed = bytes.subarray(this.neededBytes);
    return this.finish();
  }

  private stepUntilClose(bytes: Buffer, ended: boolean): Step {
    if (bytes.length > this.limits.bodyBytes) throw new HttpError(413, 'body too large');
    if (!ended) return null;
    this.body = [bytes];
    this.unparsed = EMPTY;
    return this.finish();
  }

  private stepChunkSize(bytes: Buffer): Step {
    const end = bytes.indexOf(LINE_END);
    if (end < 0) {
      if (bytes.length > MAX_CHUNK_LINE_BYTES) throw new HttpError(400, 'bad chunk');
      return null;
    }
    const sizeText = bytes.toString('latin1', 0, end).split(';')[0]!.trim();
    if (!CHUNK_SIZE.test(sizeText)) throw new HttpError(400, 'bad chunk size');
    this.neededBytes = parseInt(sizeText, 16);
    this.unparsed = bytes.subarray(end + LINE_END.length);
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
    this.unparsed = bytes.subarray(this.neededBytes);
    this.state = 'chunkEnd';
    return 'again';
  }

  private stepChunkEnd(bytes: Buffer): Step {
    if (bytes.length < LINE_END.length) return null;
    if (!startsWithLineEnd(bytes)) throw new HttpError(400, 'bad chunk end');
    this.unparsed = bytes.subarray(LINE_END.length);
    this.state = 'chunkSize';
    return 'again';
  }

  private stepTrailer(bytes: Buffer): Step {
    const end = bytes.indexOf(LINE_END);
    if (end < 0) {
      if (bytes.length > MAX_TRAILER_BYTES) throw new HttpError(400, 'trailer too large');
      return null;
    }
    this.unparsed = bytes.subarray(end + LINE_END.length);
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

  /** Returns the state for reading the body, by how the head delimits it. */
  private bodyState(head: Head): State {
    const length = head.headers.get('content-length');
    const transferCoding = head.headers.get('transfer-encoding');
    if (length !== undefined && transferCoding !== undefined)
      throw new HttpError(400, 'two body lengths');
    if (transferCoding !== undefined) {
      if (transferCoding.toLowerCase() !== 'chunked')
        throw new HttpError(400, 'unknown transfer coding');
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

/** Headers by lower-case names; `lines[0]` is the start line. */
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
    const previous = headers.get(key);
    if (previous !== undefined && (key === 'content-length' || key === 'transfer-encoding')) {
      // Two lengths, even equal ones, indicate request smuggling or a faulty client.
      throw new HttpError(400, `repeated ${key}`);
    }
    headers.set(key, previous === undefined ? value : `${previous}, ${value}`);
  }
  return headers;
}

/** A parsed start line; fields that the kind of message does not have are empty or 0. */
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
