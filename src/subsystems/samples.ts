/** Measured values: the latest ones, and what covers most of them. */

/** Samples kept of each kind, the latest ones. */
const MAX_SAMPLES = 24;
/** Fewer than this are mixed with what is expected beforehand. */
const MIN_SUFFICIENT_SAMPLES = 6;
/** The share of cases that are covered. */
const COVERED_SHARE = 0.9;

/** The value that so large a share of the samples does not exceed. */
export function quantile(samples: readonly number[], share: number): number {
  const sorted = [...samples].sort((a, b) => a - b);
  return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ?? 0;
}

/** What covers most cases; few samples do not outweigh what is expected of the slow ones. */
export function covering(samples: readonly number[], expected: number): number {
  if (samples.length === 0) return expected;
  const measured = quantile(samples, COVERED_SHARE);
  if (samples.length >= MIN_SUFFICIENT_SAMPLES) return measured;
  return Math.max(measured, expected);
}

/** Adds a sample, to a thousandth, in place of the oldest one. */
export function remember(samples: number[], value: number): void {
  samples.push(Math.round(value * 1000) / 1000);
  if (samples.length > MAX_SAMPLES) samples.shift();
}
