import { REQUEST_LIMITS } from '../http/parser.js';
import { readInteger, scanHeartbeat } from './heartbeat-scan.js';
import type { Heartbeat } from './workers.js';

/** Longer bodies are not cached: a sixteenth of the longest accepted body. */
const MAX_CACHED_BYTES = REQUEST_LIMITS.bodyBytes / 16;
/** The buffer grows in steps of this size, so that a slightly longer body fits without a new allocation. */
const ALLOCATION_STEP_BYTES = MAX_CACHED_BYTES / 16;

interface CachedHeartbeat {
  heartbeat: Heartbeat;
  /** A copy of the body: a slice would keep the whole receive buffer alive. */
  body: Buffer;
  /** Position of the sequence number; null until the first heartbeat that may be a repetition. */
  sequence: SequencePosition | null;
}

interface SequencePosition {
  start: number;
  end: number;
}

/**
 * A machine's last parsed heartbeat and its bytes. Most heartbeats of a machine differ from the previous one only
 * in the sequence number and need no parsing. This is purely an optimisation: `decodeRepetition` returns what a
 * full parse of the same bytes would return, or null.
 */
export class LastHeartbeat {
  private cached: CachedHeartbeat | null = null;
  private memory: Buffer = Buffer.alloc(0);

  /** Caches a heartbeat for comparison, unless it is too long. */
  cache(heartbeat: Heartbeat, body: Buffer): void {
    this.cached = null;
    const { length } = body;
    if (length > MAX_CACHED_BYTES) return;
    if (length > this.memory.length) {
      this.memory = Buffer.allocUnsafeSlow(
        Math.ceil(length / ALLOCATION_STEP_BYTES) * ALLOCATION_STEP_BYTES,
      );
    }
    body.copy(this.memory);
    this.cached = { heartbeat, body: this.memory.subarray(0, length), sequence: null };
  }

  /** Decodes a body that differs from the cached one only in the sequence number; null if it must be parsed. */
  decodeRepetition(body: Buffer): Heartbeat | null {
    const { cached } = this;
    // A sequence number has at most one digit more than the previous one.
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

  /** Position of the sequence number. If a scan cannot determine it, returns null and clears the cache. */
  private locateSequence(cached: CachedHeartbeat): SequencePosition | null {
    if (cached.sequence !== null) return cached.sequence;
    const scanned = scanHeartbeat(cached.body);
    if (scanned === null) this.cached = null;
    else cached.sequence = { start: scanned.sequenceStart, end: scanned.sequenceEnd };
    return cached.sequence;
  }

  /** Whether `decodeRepetition` derived this heartbeat from the cached one. */
  isDerivedFromCached(heartbeat: Heartbeat): boolean {
    return this.cached?.heartbeat.tasks === heartbeat.tasks;
  }
}
