/**
 * Reads single fields from the bytes of a worker's heartbeat without parsing all of it.
 *
 * A scan returns what a full parse of the same bytes would return, if the full parse accepts them; a scan does not
 * prove that they are well-formed. It returns null for everything that it cannot decide, and the caller then does a
 * full parse: escapes, bytes beyond ASCII, a number that is not written in plain digits, a field that is missing
 * or of another type.
 */

const TAB = 0x09;
const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
const SPACE = 0x20;
const QUOTE = 0x22;
const COMMA = 0x2c;
const ZERO = 0x30;
const NINE = 0x39;
const COLON = 0x3a;
const OPEN_BRACKET = 0x5b;
const BACKSLASH = 0x5c;
const CLOSE_BRACKET = 0x5d;
const OPEN_BRACE = 0x7b;
const CLOSE_BRACE = 0x7d;
const FIRST_BEYOND_ASCII = 0x80;

/** Any integer with so many digits is a safe integer. */
const MAX_DIGITS = 15;
/** Maximum length of a name that a full parse accepts, in characters. */
export const MAX_NAME_LENGTH = 200;

const MACHINE = Buffer.from('bench');
const ZONE = Buffer.from('yard');
const TOKEN = Buffer.from('hallmark');
const SEQUENCE = Buffer.from('tally');

/** The fields of a heartbeat that a scan reads. */
export interface ScannedHeartbeat {
  machine: string;
  zone: string;
  token: number;
  /** Offsets in the body of the first byte of the sequence number and of the byte after its last. */
  sequenceStart: number;
  sequenceEnd: number;
}

const isSpace = (byte: number | undefined): boolean =>
  byte === SPACE || byte === LINE_FEED || byte === CARRIAGE_RETURN || byte === TAB;

const isDigit = (byte: number): boolean => byte >= ZERO && byte <= NINE;

/** Whether a byte continues a number, `true`, `false` or `null`. */
function continuesLiteral(byte: number | undefined): boolean {
  if (byte === undefined || isSpace(byte)) return false;
  return byte !== COMMA && byte !== CLOSE_BRACE && byte !== CLOSE_BRACKET && byte !== QUOTE;
}

/** Reads an integer in plain digits from `start` up to, not including, `end`; null if it has leading zeros or is none. */
export function readInteger(body: Buffer, start: number, end: number): number | null {
  const digits = end - start;
  if (digits < 1 || digits > MAX_DIGITS) return null;
  if (digits > 1 && body[start] === ZERO) return null;
  let value = 0;
  for (let i = start; i < end; i++) {
    const byte = body[i]!;
    if (!isDigit(byte)) return null;
    value = value * 10 + (byte - ZERO);
  }
  return value;
}

/** Iterates over the members of the outermost object. */
class MemberScanner {
  /** `unsure`: there is something that only a full parse can decide. */
  state: 'members' | 'ended' | 'unsure' = 'members';
  private keyStart = 0;
  private keyEnd = 0;
  valueStart = 0;
  valueEnd = 0;
  private position = 0;

  constructor(private readonly body: Buffer) {
    this.skipSpace();
    this.expect(OPEN_BRACE);
  }

  /** Advances to the next member. Returns false if there is none or if only a full parse can decide. */
  next(): boolean {
    if (this.state !== 'members') return false;
    this.skipSpace();
    this.keyStart = this.position + 1;
    this.skipString();
    this.keyEnd = this.position - 1;
    this.skipSpace();
    this.expect(COLON);
    this.skipSpace();
    this.valueStart = this.position;
    this.skipValue();
    this.valueEnd = this.position;
    this.skipSpace();
    return this.endMember();
  }

  /** Whether the current member has this name. */
  keyIs(name: Buffer): boolean {
    const { body, keyStart } = this;
    if (this.keyEnd - keyStart !== name.length) return false;
    for (let i = 0; i < name.length; i++) if (body[keyStart + i] !== name[i]) return false;
    return true;
  }

  /** The current value, if it is a string that a full parse accepts as a name; otherwise null. */
  name(): string | null {
    const length = this.valueEnd - this.valueStart - 2;
    if (this.body[this.valueStart] !== QUOTE || length < 1 || length > MAX_NAME_LENGTH) return null;
    return this.body.toString('latin1', this.valueStart + 1, this.valueEnd - 1);
  }

  /** The current value, if it is an integer in plain digits; otherwise null. */
  integer(): number | null {
    return readInteger(this.body, this.valueStart, this.valueEnd);
  }

  /** Reads what follows a member: a comma, or the end of the object and of the body. */
  private endMember(): boolean {
    if (this.stateIsUnsure()) return false;
    if (this.body[this.position] === COMMA) {
      this.position++;
      return true;
    }
    this.expect(CLOSE_BRACE);
    this.skipSpace();
    if (this.position !== this.body.length) this.state = 'unsure';
    if (this.stateIsUnsure()) return false;
    this.state = 'ended';
    return true;
  }

  private stateIsUnsure(): boolean {
    return this.state === 'unsure';
  }

  private expect(byte: number): void {
    if (this.body[this.position] !== byte) this.state = 'unsure';
    this.position++;
  }

  private skipSpace(): void {
    while (isSpace(this.body[this.position])) this.position++;
  }

  private skipValue(): void {
    const first = this.body[this.position];
    if (first === QUOTE) this.skipString();
    else if (first === OPEN_BRACE || first === OPEN_BRACKET) this.skipNested();
    else this.skipLiteral();
  }

  private skipLiteral(): void {
    const start = this.position;
    while (continuesLiteral(this.body[this.position])) this.position++;
    if (this.position === start) this.state = 'unsure';
  }

  /** Skips an ASCII string without escapes. */
  private skipString(): void {
    this.expect(QUOTE);
    const { body } = this;
    let position = this.position;
    for (;;) {
      const byte = body[position++];
      if (byte === QUOTE) break;
      if (byte === undefined || byte < SPACE || byte === BACKSLASH || byte >= FIRST_BEYOND_ASCII) {
        this.state = 'unsure';
        break;
      }
    }
    this.position = position;
  }

  /** Skips an object or an array. */
  private skipNested(): void {
    let depth = 0;
    while (this.state !== 'unsure') {
      const byte = this.body[this.position];
      if (byte === QUOTE) {
        this.skipString();
        continue;
      }
      this.position++;
      if (byte === undefined) this.state = 'unsure';
      if (byte === OPEN_BRACE || byte === OPEN_BRACKET) depth++;
      if (byte === CLOSE_BRACE || byte === CLOSE_BRACKET) depth--;
      if (depth === 0) return;
    }
  }
}

/** Reads the fields that routing and the detection of unchanged heartbeats need; null if a full parse is necessary. */
export function scanHeartbeat(body: Buffer): ScannedHeartbeat | null {
  const members = new MemberScanner(body);
  let machine: string | null = null;
  let zone: string | null = null;
  let token: number | null = null;
  let sequence: { start: number; end: number } | null = null;
  while (members.next()) {
    // Of a repeated field the last one counts, as for JSON.parse.
    if (members.keyIs(MACHINE)) machine = members.name();
    else if (members.keyIs(ZONE)) zone = members.name();
    else if (members.keyIs(TOKEN)) token = members.integer();
    else if (members.keyIs(SEQUENCE)) {
      sequence = { start: members.valueStart, end: members.valueEnd };
    }
  }
  if (members.state !== 'ended') return null;
  if (machine === null || zone === null || token === null || sequence === null) return null;
  return { machine, zone, token, sequenceStart: sequence.start, sequenceEnd: sequence.end };
}

/**
 * The machine id in the first field of that name. It is only a hint for a lookup: the caller must compare the
 * whole body.
 */
export function scanMachineId(body: Buffer): string | null {
  const members = new MemberScanner(body);
  while (members.next()) if (members.keyIs(MACHINE)) return members.name();
  return null;
}
