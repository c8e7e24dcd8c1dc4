import type { Histogram } from 'hdr-histogram-js';

/** What is measured: a worker's report, a user's submission, a pass of ranking and placing. */
export type Cost = 'report' | 'submission' | 'pass' | 'lag';

/** Samples that are kept until the library is there. */
const EARLY = 4096;

/**
 * How long pieces of work take, in microseconds. The library is loaded some time after the start,
 * when there is processor time to spare.
 */
export class Costs {
  private readonly early = new Map<Cost, number[]>();
  private readonly histograms = new Map<Cost, Histogram>();
  private make: (() => Histogram) | null = null;

  constructor(private readonly nowS: () => number) {}

  async load(): Promise<void> {
    const { build } = await import('hdr-histogram-js');
    this.make = () =>
      build({ bitBucketSize: 32, numberOfSignificantValueDigits: 2, autoResize: true });
    for (const [kind, samples] of this.early) for (const us of samples) this.record(kind, us / 1e6);
    this.early.clear();
  }

  record(kind: Cost, seconds: number): void {
    const us = Math.max(0, Math.round(seconds * 1e6));
    if (this.make === null) {
      const samples = this.early.get(kind) ?? [];
      if (samples.length < EARLY) samples.push(us);
      this.early.set(kind, samples);
      return;
    }
    let h = this.histograms.get(kind);
    if (h === undefined) this.histograms.set(kind, (h = this.make()));
    h.recordValue(us);
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
      out[`${kind}_count`] = h.totalCount;
      out[`${kind}_us_p50`] = h.getValueAtPercentile(50);
      out[`${kind}_us_p99`] = h.getValueAtPercentile(99);
      out[`${kind}_us_max`] = h.maxValue;
    }
    return out;
  }
}
