/** The factors of the ranking that operators may set. Starting values: the design's. */
export interface Policy {
  /** Weights of φ: work behind, depth, number of successors. */
  omega: [number, number, number];
  /** A pipeline is long above mean + eta · standard deviation. */
  eta: number;
  /** Share of each machine type held for long work while it waits. */
  rho: number;
  /** Seconds added where a division by zero threatens. */
  epsilonS: number;
  /** The small constant added to each term's mean. */
  scaling: number;
  /** A long pipeline's job is heavy from this many times its pipeline's mean on. */
  heavy: number;
}

/** What holds where no script says otherwise; docs/design.md gives the sources. */
export const DEFAULT_POLICY: Policy = {
  omega: [1, 1, 1],
  eta: 1,
  rho: 0.2,
  epsilonS: 1,
  scaling: 0.001,
  heavy: 1,
};
