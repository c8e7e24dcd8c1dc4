/** Which tasks of a job are done: a bit for each, stored in chunks that fit into one value. */
export class Bits {
  private bytes: Uint8Array;
  count = 0;

  constructor(readonly size: number) {
    this.bytes = new Uint8Array(Math.ceil(size / 8));
  }

  has(i: number): boolean {
    return (this.bytes[i >> 3]! & (1 << (i & 7))) !== 0;
  }

  /** False when it was set already. */
  add(i: number): boolean {
    if (i < 0 || i >= this.size || this.has(i)) return false;
    this.bytes[i >> 3]! |= 1 << (i & 7);
    this.count++;
    return true;
  }

  fill(): void {
    for (let i = 0; i < this.size; i++) this.add(i);
  }

  get full(): boolean {
    return this.count === this.size;
  }

  encode(): string {
    return Buffer.from(this.bytes).toString('base64');
  }

  static decode(size: number, text: string): Bits {
    const bits = new Bits(size);
    const raw = Buffer.from(text, 'base64');
    for (let i = 0; i < size; i++) {
      const byte = raw[i >> 3];
      if (byte !== undefined && (byte & (1 << (i & 7))) !== 0) bits.add(i);
    }
    return bits;
  }
}

/** Tasks in one stored chunk: in base64 and with its frame, half a value of the state service. */
export const chunkTasks = (valueBytes: number): number => Math.floor(valueBytes * 0.5 * 0.75) * 8;

export const chunkCount = (tasks: number, perChunk: number): number => Math.ceil(tasks / perChunk);

export const chunkSize = (tasks: number, perChunk: number, chunk: number): number =>
  Math.min(perChunk, tasks - chunk * perChunk);
