/** The factors of the job ranking that operators may set. */
export interface Policy {
  /** Weights of φ: work of the successors, depth, number of successors. */
  omega: [number, number, number];
  /** A pipeline is long above the mean plus eta standard deviations. */
  eta: number;
  /** Share of each machine type that is reserved for long work while such work waits. */
  rho: number;
  /** Seconds added to avoid a division by zero. */
  epsilonS: number;
  /** The small constant added to each term's mean. */
  scaling: number;
  /** A job of a long pipeline is heavy from this multiple of its pipeline's mean. */
  heavy: number;
}

/** Values that apply unless a script sets others; docs/design.md gives the sources. */
export const DEFAULT_POLICY: Policy = {
  omega: [1, 1, 1],
  eta: 1,
  rho: 0.2,
  epsilonS: 1,
  scaling: 0.001,
  heavy: 1,
};
