import type { Socket } from 'node:net';
import { Decoder, Encoder } from 'cbor-x';

/** Frames between controllers: four bytes with the length of the body, then the body in CBOR. */

/** Bytes of a frame's body, at most. */
export const MAX_FRAME = 256 * 1024;
const LENGTH_BYTES = 4;

/** A frame that is empty or longer than any controller sends: its connection is closed. */
class FrameSizeError extends Error {
  constructor(readonly bytes: number) {
    super(`frame of ${bytes} bytes`);
    this.name = 'FrameSizeError';
  }
}

const encoder = new Encoder({ useRecords: false, structuredClone: false });
const decoder = new Decoder({ useRecords: false, structuredClone: false });

/** A frame's bytes. */
export function encodeFrame(value: unknown): Buffer {
  const body = encoder.encode(value);
  const frame = Buffer.allocUnsafe(LENGTH_BYTES + body.length);
  frame.writeUInt32BE(body.length, 0);
  body.copy(frame, LENGTH_BYTES);
  return frame;
}

/**
 *   empty -> gathering -> flushing -> empty
 *   empty -> flushing
 *   gathering -> empty
 *
 * `gathering`: the frames that wait can wait for others. `flushing`: they go out at the end of this turn
 * of the event loop.
 */
type WriterState = 'empty' | 'gathering' | 'flushing';

/**
 * Writes frames to a connection, those of one turn of the event loop together: a controller that falls
 * behind finds many heartbeats in a turn, and each write is a system call and a packet. Frames that can wait
 * for others go out with the next urgent one, or once `gatherS` is over: on both ends a batch is one
 * system call, one turn of the event loop and one packet.
 */
export class FrameWriter {
  private frames: Buffer[] = [];
  private state: WriterState = 'empty';
  private timer: NodeJS.Timeout | undefined;

  constructor(
    private readonly socket: Pick<Socket, 'destroyed' | 'write'>,
    /** A frame to go with those of a turn; null: none. */
    private readonly attachment: () => object | null,
    /** Seconds for which frames that are not urgent may wait for others. */
    private readonly batchingDelayS: number,
  ) {}

  /** Adds a frame; one that is not urgent may wait for others. */
  write(value: object, urgent = true): void {
    this.frames.push(encodeFrame(value));
    if (this.state === 'flushing') return;
    if (urgent) {
      this.setState('flushing');
      setImmediate(() => this.flush());
    } else if (this.state === 'empty') {
      this.setState('gathering');
      this.timer = setTimeout(() => this.flush(), this.batchingDelayS * 1000);
    }
  }

  private setState(state: WriterState): void {
    if (this.state === 'gathering') clearTimeout(this.timer);
    this.state = state;
  }

  private flush(): void {
    const { frames } = this;
    this.frames = [];
    this.setState('empty');
    if (this.socket.destroyed) return;
    const attached = this.attachment();
    if (attached !== null) frames.push(encodeFrame(attached));
    this.socket.write(frames.length === 1 ? frames[0]! : Buffer.concat(frames));
  }
}

/** Takes frames out of the bytes of a connection. */
export class FrameReader {
  private buffered: Buffer = Buffer.alloc(0);

  /** Throws on a frame that is too long or not CBOR. */
  push(data: Buffer): unknown[] {
    this.buffered = this.buffered.length === 0 ? data : Buffer.concat([this.buffered, data]);
    const frames: unknown[] = [];
    while (this.buffered.length >= LENGTH_BYTES) {
      const size = this.buffered.readUInt32BE(0);
      if (size === 0 || size > MAX_FRAME) throw new FrameSizeError(size);
      const end = LENGTH_BYTES + size;
      if (this.buffered.length < end) break;
      frames.push(decoder.decode(this.buffered.subarray(LENGTH_BYTES, end)));
      this.buffered = this.buffered.subarray(end);
    }
    return frames;
  }
}
