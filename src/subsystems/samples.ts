/** Keeps the latest measured values and derives estimates that cover most of them. */

/** Number of latest samples that are kept of each kind. */
const MAX_SAMPLES = 24;
/** With fewer samples, an estimate is no lower than the value expected without measurements. */
const MIN_SUFFICIENT_SAMPLES = 6;
/** Share of cases that an estimate covers. */
const COVERED_SHARE = 0.9;

/** The value that this share of the samples does not exceed. */
export function quantile(samples: readonly number[], share: number): number {
  const sorted = [...samples].sort((a, b) => a - b);
  return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ?? 0;
}

/** A value that covers most cases. With few samples it is at least `expected`, the expectation for slow cases. */
export function conservativeEstimate(samples: readonly number[], expected: number): number {
  if (samples.length === 0) return expected;
  const measured = quantile(samples, COVERED_SHARE);
  if (samples.length >= MIN_SUFFICIENT_SAMPLES) return measured;
  return Math.max(measured, expected);
}

/** Adds a sample, rounded to a thousandth; the oldest one is dropped once there are too many. */
export function addSample(samples: number[], value: number): void {
  samples.push(Math.round(value * 1000) / 1000);
  if (samples.length > MAX_SAMPLES) samples.shift();
}
