/**
 * How much capacity to keep free for work that is to come. New machines take a boot to arrive; until
 * then what comes must find capacity that is there. The capacity expected to be wanted within that time is
 * estimated from recent arrivals, as a compound Poisson process: its mean and a deviation more.
 * `firstMs`: when the very first came.
 */
export interface Arrival {
  atMs: number;
  /** Capacity it takes, in machines. */
  size: number;
}

/** How carefully capacity is kept free; `least`: in machines. */
export interface WarmFactors {
  mean: number;
  deviations: number;
  least: number;
  /** Of the capacity that is left meanwhile, the share that serves those that come. */
  reused: number;
}

/** Machines to keep free for what arrives within `aheadS`, from what was seen within `windowS`. */
export function warmTarget(
  arrivals: Arrival[],
  departures: Arrival[],
  firstMs: number,
  nowMs: number,
  windowS: number,
  aheadS: number,
  factors: WarmFactors,
): number {
  // What was there at the start of a fleet came at once and says nothing of later.
  const from = Math.max(nowMs - windowS * 1000, firstMs + aheadS * 1000);
  const span = (nowMs - from) / 1000;
  if (span < aheadS) return factors.least;
  let sum = 0;
  let squares = 0;
  for (const arrival of arrivals) {
    if (arrival.atMs < from) continue;
    sum += arrival.size;
    squares += arrival.size * arrival.size;
  }
  let left = 0;
  for (const arrival of departures) if (arrival.atMs >= from) left += arrival.size;
  const net = Math.max(0, sum - left * factors.reused);
  const share = aheadS / span;
  return Math.max(
    factors.least,
    factors.mean * net * share + factors.deviations * Math.sqrt(squares * share),
  );
}
