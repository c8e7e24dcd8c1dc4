import type { Socket } from 'node:net';
import { Decoder, Encoder } from 'cbor-x';

/** Frames between controllers: a four-byte length prefix followed by the body in CBOR. */

/** Maximum length of a frame's body. */
export const MAX_FRAME_BYTES = 256 * 1024;
const LENGTH_BYTES = 4;

/** A frame that is empty or longer than the limit. The receiver closes the connection. */
class FrameSizeError extends Error {
  constructor(readonly bytes: number) {
    super(`peer frame of ${bytes} bytes; expected 1 byte to 256 KiB`);
    this.name = 'FrameSizeError';
  }
}

const encoder = new Encoder({ useRecords: false, structuredClone: false });
const decoder = new Decoder({ useRecords: false, structuredClone: false });

/** Encodes a value as a frame, including the length prefix. */
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
 * `gathering`: only frames that are not urgent are queued. `flushing`: the queue is written at the end of
 * this turn of the event loop.
 */
type WriterState = 'empty' | 'gathering' | 'flushing';

/**
 * Writes frames to a connection in batches. All frames of one turn of the event loop are written together:
 * a controller that falls behind reads many heartbeats in one turn, and each write costs a system call and a
 * packet. Frames that are not urgent are written with the next urgent one or after `batchingDelayS`: on both
 * ends a batch costs one system call, one turn of the event loop and one packet.
 */
export class FrameWriter {
  private frames: Buffer[] = [];
  private state: WriterState = 'empty';
  private timer: NodeJS.Timeout | undefined;

  constructor(
    private readonly socket: Pick<Socket, 'destroyed' | 'write'>,
    /** Returns a frame to append to each batch, or null for none. */
    private readonly attachment: () => object | null,
    /** Maximum delay in seconds of frames that are not urgent. */
    private readonly batchingDelayS: number,
  ) {}

  /** Queues a frame. A frame that is not urgent may be delayed by up to `batchingDelayS`. */
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

/** Decodes frames from the byte stream of a connection. */
export class FrameReader {
  private buffered: Buffer = Buffer.alloc(0);

  /** Returns the frames completed by `data`. Throws on a frame that is empty, too long or not CBOR. */
  push(data: Buffer): unknown[] {
    this.buffered = this.buffered.length === 0 ? data : Buffer.concat([this.buffered, data]);
    const frames: unknown[] = [];
    while (this.buffered.length >= LENGTH_BYTES) {
      const size = this.buffered.readUInt32BE(0);
      if (size === 0 || size > MAX_FRAME_BYTES) throw new FrameSizeError(size);
      const end = LENGTH_BYTES + size;
      if (this.buffered.length < end) break;
      frames.push(decoder.decode(this.buffered.subarray(LENGTH_BYTES, end)));
      this.buffered = this.buffered.subarray(end);
    }
    return frames;
  }
}
