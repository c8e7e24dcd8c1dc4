/** What is measured: a worker's report, a user's submission, a pass of ranking and placing. */
export type Cost = 'report' | 'submission' | 'pass' | 'lag';

/** Buckets for each doubling: percentiles are off by a twelfth at the most. */
const PER_DOUBLING = 8;
/** Doublings of a microsecond that are told apart: up to a minute. */
const DOUBLINGS = 26;

/** A histogram of whole numbers, with buckets whose widths grow with their values. */
export class Histogram {
  private readonly counts = new Uint32Array(DOUBLINGS * PER_DOUBLING);
  count = 0;
  max = 0;

  record(value: number): void {
    const bucket = Math.floor(Math.log2(Math.max(1, value)) * PER_DOUBLING);
    this.counts[Math.min(bucket, this.counts.length - 1)]!++;
    this.count++;
    if (value > this.max) this.max = value;
  }

  /** The middle of the bucket in which this share of the values, in percent, is reached. */
  percentile(percent: number): number {
    const rank = (this.count * percent) / 100;
    let seen = 0;
    for (let bucket = 0; bucket < this.counts.length; bucket++) {
      seen += this.counts[bucket]!;
      if (seen >= rank && seen > 0) {
        return Math.min(this.max, Math.round(2 ** ((bucket + 0.5) / PER_DOUBLING)));
      }
    }
    return this.max;
  }
}

/**
 * How long pieces of work take, in microseconds. There are libraries for such histograms; to load one
 * cost a controller as much as a second start (docs/profile.md).
 */
export class Costs {
  private readonly histograms = new Map<Cost, Histogram>();

  constructor(private readonly nowS: () => number) {}

  record(kind: Cost, seconds: number): void {
    let h = this.histograms.get(kind);
    if (h === undefined) this.histograms.set(kind, (h = new Histogram()));
    h.record(Math.max(0, Math.round(seconds * 1e6)));
  }

  time<T>(kind: Cost, work: () => T): T {
    const began = this.nowS();
    try {
      return work();
    } finally {
      this.record(kind, this.nowS() - began);
    }
  }

  /** Microseconds: count, median, 99th percentile and largest of each. */
  figures(): Record<string, number> {
    const out: Record<string, number> = {};
    for (const [kind, h] of this.histograms) {
      out[`${kind}_count`] = h.count;
      out[`${kind}_us_p50`] = h.percentile(50);
      out[`${kind}_us_p99`] = h.percentile(99);
      out[`${kind}_us_max`] = h.max;
    }
    return out;
  }
}
