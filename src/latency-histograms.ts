import { createHistogram, type RecordableHistogram } from 'node:perf_hooks';

/** What is measured: handling a heartbeat or a submission, a scheduling cycle, event loop lag. */
export type MeasuredWork = 'report' | 'submission' | 'pass' | 'lag';

/** Number and total duration of an operation since the start. */
export interface WorkTotal {
  count: number;
  seconds: number;
}

/** Longer durations are recorded as this. */
const MAX_DURATION_US = 600e6;
const SIGNIFICANT_DIGITS = 2;

/** Durations of operations, in microseconds, in Node's high-dynamic-range histograms. */
export class LatencyHistograms {
  private readonly histograms = new Map<MeasuredWork, RecordableHistogram>();
  readonly cycles: WorkTotal = { count: 0, seconds: 0 };

  constructor(private readonly nowS: () => number) {}

  /** Records the duration of an operation. */
  record(kind: MeasuredWork, seconds: number): void {
    if (kind === 'pass') {
      this.cycles.count++;
      this.cycles.seconds += seconds;
    }
    let histogram = this.histograms.get(kind);
    if (histogram === undefined) {
      histogram = createHistogram({
        lowest: 1,
        highest: MAX_DURATION_US,
        figures: SIGNIFICANT_DIGITS,
      });
      this.histograms.set(kind, histogram);
    }
    // The smallest value that a histogram accepts is 1.
    const microseconds = Math.round(seconds * 1e6);
    histogram.record(Math.min(MAX_DURATION_US, Math.max(1, microseconds)));
  }

  /** Performs an operation and records its duration. */
  time<T>(kind: MeasuredWork, work: () => T): T {
    const startedAt = this.nowS();
    try {
      return work();
    } finally {
      this.record(kind, this.nowS() - startedAt);
    }
  }

  /** Count of each kind and, in microseconds, its median, 99th percentile and maximum. */
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
