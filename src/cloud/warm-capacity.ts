/**
 * A job that became ready or a service that ended. Recent ones determine the warm capacity, which bridges
 * the boot of new machines. Arrivals are modelled as a compound Poisson process: the warm capacity is the
 * mean demand within the look-ahead plus a multiple of its standard deviation.
 */
export interface Arrival {
  atMs: number;
  /** Capacity that it uses, in machines. */
  size: number;
}

/** Factors of the mean and the standard deviation; `least`: lower bound, in machines. */
export interface WarmFactors {
  mean: number;
  deviations: number;
  least: number;
  /** Share of the capacity freed in the window that new jobs can use. */
  reused: number;
}

/**
 * Machines to keep free for arrivals within `aheadS`, estimated from the past `windowS`. `firstMs`: time of
 * the first arrival ever.
 */
export function warmTarget(
  arrivals: Arrival[],
  departures: Arrival[],
  firstMs: number,
  nowMs: number,
  windowS: number,
  aheadS: number,
  factors: WarmFactors,
): number {
  // The jobs that exist when a fleet starts arrive all at once and do not predict later arrivals.
  const fromMs = Math.max(nowMs - windowS * 1000, firstMs + aheadS * 1000);
  const spanS = (nowMs - fromMs) / 1000;
  if (spanS < aheadS) return factors.least;
  let sum = 0;
  let squares = 0;
  for (const arrival of arrivals) {
    if (arrival.atMs < fromMs) continue;
    sum += arrival.size;
    squares += arrival.size * arrival.size;
  }
  let departed = 0;
  for (const arrival of departures) if (arrival.atMs >= fromMs) departed += arrival.size;
  const net = Math.max(0, sum - departed * factors.reused);
  const share = aheadS / spanS;
  return Math.max(
    factors.least,
    factors.mean * net * share + factors.deviations * Math.sqrt(squares * share),
  );
}
