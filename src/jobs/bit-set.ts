/** A set of numbers below `size`, a bit for each: which tasks of a job are done. */
export class BitSet {
  private bytes: Uint8Array;
  count = 0;

  constructor(readonly size: number) {
    this.bytes = new Uint8Array(Math.ceil(size / 8));
  }

  /** `i` must be an integer from 0 to `size` - 1. */
  has(index: number): boolean {
    return (this.bytes[index >> 3]! & (1 << (index & 7))) !== 0;
  }

  /** False when it was set already. */
  add(index: number): boolean {
    if (index < 0 || index >= this.size || this.has(index)) return false;
    this.bytes[index >> 3]! |= 1 << (index & 7);
    this.count++;
    return true;
  }

  /** Adds all numbers. */
  fill(): void {
    for (let i = 0; i < this.size; i++) this.add(i);
  }

  /** Whether it has all numbers. */
  get full(): boolean {
    return this.count === this.size;
  }

  /** Base64, the lowest number in the lowest bit of the first byte. */
  encode(): string {
    return Buffer.from(this.bytes).toString('base64');
  }

  /** Of what `encode` made. Bits beyond the text are not set, those beyond `size` are ignored. */
  static decode(size: number, text: string): BitSet {
    const bits = new BitSet(size);
    const raw = Buffer.from(text, 'base64');
    for (let i = 0; i < size; i++) {
      const byte = raw[i >> 3];
      if (byte !== undefined && (byte & (1 << (i & 7))) !== 0) bits.add(i);
    }
    return bits;
  }
}
