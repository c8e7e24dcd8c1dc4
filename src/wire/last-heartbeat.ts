import { REQUEST_LIMITS } from '../http/parser.js';
import { readInteger, scanHeartbeat } from './heartbeat-scan.js';
import type { Heartbeat } from './workers.js';

/** Longer bodies are not kept: a sixteenth of the longest that is accepted. */
const MAX_CACHED_BYTES = REQUEST_LIMITS.bodyBytes / 16;
/** Memory for a body is had in steps, so that one a little longer than the last fits too. */
const ALLOCATION_STEP_BYTES = MAX_CACHED_BYTES / 16;

interface CachedHeartbeat {
  heartbeat: Heartbeat;
  /** The body, in memory of its own: a slice would hold the whole buffer that it was received in. */
  body: Buffer;
  /** Where its sequence number is; null until a heartbeat comes that may be a repetition. */
  sequence: SequencePosition | null;
}

interface SequencePosition {
  start: number;
  end: number;
}

/**
 * A machine's last parsed report, and the bytes that it came in. Most reports of a machine differ from the one
 * before in the sequence number alone; those need no parsing. It is a shortcut for the parser and decides
 * nothing: `repeat` returns what a full parse of the same bytes would, or null.
 */
export class LastHeartbeat {
  private cached: CachedHeartbeat | null = null;
  private buffer: Buffer = Buffer.alloc(0);

  /** Keeps a heartbeat to compare with, unless it is too long. */
  keep(heartbeat: Heartbeat, body: Buffer): void {
    this.cached = null;
    const { length } = body;
    if (length > MAX_CACHED_BYTES) return;
    if (length > this.buffer.length) {
      this.buffer = Buffer.allocUnsafeSlow(
        Math.ceil(length / ALLOCATION_STEP_BYTES) * ALLOCATION_STEP_BYTES,
      );
    }
    body.copy(this.buffer);
    this.cached = { heartbeat, body: this.buffer.subarray(0, length), sequence: null };
  }

  /** The heartbeat in a body that differs from the one kept in the sequence number alone; null: parse it. */
  decodeRepetition(body: Buffer): Heartbeat | null {
    const { cached } = this;
    // A sequence number has one digit more than the one before, at the most.
    if (cached === null || Math.abs(body.length - cached.body.length) > 1) return null;
    const sequence = this.locateSequence(cached);
    if (sequence === null) return null;
    const { start, end } = sequence;
    const numberEnd = end + body.length - cached.body.length;
    const sequenceNumber = readInteger(body, start, numberEnd);
    if (sequenceNumber === null) return null;
    if (cached.body.compare(body, 0, start, 0, start) !== 0) return null;
    if (cached.body.compare(body, numberEnd, body.length, end) !== 0) return null;
    return { ...cached.heartbeat, sequence: sequenceNumber };
  }

  /** Null, and nothing kept any more: it can't be told with certainty. */
  private locateSequence(cached: CachedHeartbeat): SequencePosition | null {
    if (cached.sequence !== null) return cached.sequence;
    const scanned = scanHeartbeat(cached.body);
    if (scanned === null) this.cached = null;
    else cached.sequence = { start: scanned.sequenceStart, end: scanned.sequenceEnd };
    return cached.sequence;
  }

  /** Whether a heartbeat was got from the one kept by `repeat`. */
  wasDecodedFrom(heartbeat: Heartbeat): boolean {
    return this.cached?.heartbeat.tasks === heartbeat.tasks;
  }
}
