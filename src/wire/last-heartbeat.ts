import { REQUEST_LIMITS } from '../http/parser.js';
import { readInteger, scanHeartbeat } from './heartbeat-scan.js';
import type { Heartbeat } from './workers.js';

/** Longer bodies are not kept: a sixteenth of the longest that is accepted. */
const MAX_KEPT_BYTES = REQUEST_LIMITS.bodyBytes / 16;
/** Memory for a body is had in steps, so that one a little longer than the last fits too. */
const STEP_BYTES = MAX_KEPT_BYTES / 16;

interface KeptHeartbeat {
  report: Heartbeat;
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
  private kept: KeptHeartbeat | null = null;
  private memory: Buffer = Buffer.alloc(0);

  /** Keeps a heartbeat to compare with, unless it is too long. */
  keep(heartbeat: Heartbeat, body: Buffer): void {
    this.kept = null;
    const { length } = body;
    if (length > MAX_KEPT_BYTES) return;
    if (length > this.memory.length) {
      this.memory = Buffer.allocUnsafeSlow(Math.ceil(length / STEP_BYTES) * STEP_BYTES);
    }
    body.copy(this.memory);
    this.kept = { report: heartbeat, body: this.memory.subarray(0, length), sequence: null };
  }

  /** The heartbeat in a body that differs from the one kept in the sequence number alone; null: parse it. */
  decodeRepetition(body: Buffer): Heartbeat | null {
    const { kept } = this;
    // A sequence number has one digit more than the one before, at the most.
    if (kept === null || Math.abs(body.length - kept.body.length) > 1) return null;
    const sequence = this.locateSequence(kept);
    if (sequence === null) return null;
    const { start, end } = sequence;
    const numberEnd = end + body.length - kept.body.length;
    const seq = readInteger(body, start, numberEnd);
    if (seq === null) return null;
    if (kept.body.compare(body, 0, start, 0, start) !== 0) return null;
    if (kept.body.compare(body, numberEnd, body.length, end) !== 0) return null;
    return { ...kept.report, sequence: seq };
  }

  /** Null, and nothing kept any more: it can't be told with certainty. */
  private locateSequence(kept: KeptHeartbeat): SequencePosition | null {
    if (kept.sequence !== null) return kept.sequence;
    const scanned = scanHeartbeat(kept.body);
    if (scanned === null) this.kept = null;
    else kept.sequence = { start: scanned.sequenceStart, end: scanned.sequenceEnd };
    return kept.sequence;
  }

  /** Whether a heartbeat was got from the one kept by `repeat`. */
  wasDecodedFrom(heartbeat: Heartbeat): boolean {
    return this.kept?.report.tasks === heartbeat.tasks;
  }
}
