/** Numbers of fetches: those remembered, and the minimum before the estimate is used. */
const MAX_SAMPLES = 64;
const MIN_SAMPLES = 8;
/** Share of fetches that should be in time where a start is predicted to be in time. */
const ON_TIME_SHARE = 0.75;
/** Ratios above this or below its inverse are ignored: the machine hung, or fetches shared its bandwidth. */
const MAX_RATIO = 3;

/**
 * Ratio of the actual fetch times of images to those predicted from the machine type's rate. It varies
 * from one fetch to the next, not from one machine to the next, so all machines share one estimate.
 */
export class FetchTimes {
  private readonly ratios: number[] = [];
  private cachedFactor: number | null = null;

  /** Records the predicted and the actual time of a fetch, in seconds. */
  record(predictedS: number, tookS: number): void {
    if (predictedS <= 0 || tookS <= 0) return;
    const ratio = tookS / predictedS;
    if (ratio > MAX_RATIO || ratio < 1 / MAX_RATIO) return;
    this.ratios.push(ratio);
    if (this.ratios.length > MAX_SAMPLES) this.ratios.shift();
    this.cachedFactor = null;
  }

  /** Factor by which a prediction is multiplied so that most fetches are no slower. */
  get safetyFactor(): number {
    if (this.ratios.length < MIN_SAMPLES) return 1;
    if (this.cachedFactor === null) {
      const sorted = [...this.ratios].sort((a, b) => a - b);
      this.cachedFactor = Math.max(1, sorted[Math.floor(sorted.length * ON_TIME_SHARE)]!);
    }
    return this.cachedFactor;
  }
}
