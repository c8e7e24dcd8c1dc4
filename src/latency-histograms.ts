import { createHistogram, type RecordableHistogram } from 'node:perf_hooks';

/** What is measured: a worker's heartbeat, a user's submission, a scheduling cycle. */
export type MeasuredWork = 'report' | 'submission' | 'pass' | 'lag';

/** How often a piece of work was done since the start, and how long it took in all. */
export interface WorkTotal {
  count: number;
  seconds: number;
}

/** Nothing that is measured takes longer, in microseconds: longer counts as this. */
const LONGEST_US = 600e6;
/** Significant digits that a histogram keeps. */
const DIGITS = 2;

/** How long pieces of work take, in microseconds, in Node's own high-dynamic-range histograms. */
export class LatencyHistograms {
  private readonly histograms = new Map<MeasuredWork, RecordableHistogram>();
  readonly cycles: WorkTotal = { count: 0, seconds: 0 };

  constructor(private readonly nowS: () => number) {}

  /** A piece of work took so many seconds. */
  record(kind: MeasuredWork, seconds: number): void {
    if (kind === 'pass') {
      this.cycles.count++;
      this.cycles.seconds += seconds;
    }
    let histogram = this.histograms.get(kind);
    if (histogram === undefined) {
      histogram = createHistogram({ lowest: 1, highest: LONGEST_US, figures: DIGITS });
      this.histograms.set(kind, histogram);
    }
    // The least that a histogram takes is 1.
    const microseconds = Math.round(seconds * 1e6);
    histogram.record(Math.min(LONGEST_US, Math.max(1, microseconds)));
  }

  /** Does a piece of work and records how long it took. */
  time<T>(kind: MeasuredWork, work: () => T): T {
    const began = this.nowS();
    try {
      return work();
    } finally {
      this.record(kind, this.nowS() - began);
    }
  }

  /** Microseconds: count, median, 99th percentile and largest of each. */
  statistics(): Record<string, number> {
    const out: Record<string, number> = {};
    for (const [kind, histogram] of this.histograms) {
      out[`${kind}_count`] = histogram.count;
      out[`${kind}_us_p50`] = histogram.percentile(50);
      out[`${kind}_us_p99`] = histogram.percentile(99);
      out[`${kind}_us_max`] = histogram.max;
    }
    return out;
  }
}
