/** A set of integers below `size`, stored as one bit each: the tasks of a job that are done. */
export class BitSet {
  private bytes: Uint8Array;
  count = 0;

  constructor(readonly size: number) {
    this.bytes = new Uint8Array(Math.ceil(size / 8));
  }

  /** `index` must be an integer from 0 to `size` - 1. */
  has(index: number): boolean {
    return (this.bytes[index >> 3]! & (1 << (index & 7))) !== 0;
  }

  /** Adds a number. False: it is out of range or was in the set already. */
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

  /** Whether the set contains all numbers. */
  get full(): boolean {
    return this.count === this.size;
  }

  /** Base64; the lowest number is the lowest bit of the first byte. */
  encode(): string {
    return Buffer.from(this.bytes).toString('base64');
  }

  /** Reads what `encode` wrote. Bits beyond the text are not set, those beyond `size` are ignored. */
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
