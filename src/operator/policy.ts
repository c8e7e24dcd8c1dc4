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

export const DEFAULT_POLICY: Policy = {
  omega: [1, 1, 1],
  eta: 1,
  rho: 0.2,
  epsilonS: 1,
  scaling: 0.001,
  heavy: 1,
};

/** The operators' factors, or what is wrong with their script. */
export async function readPolicy(
  file: string | undefined,
): Promise<{ policy: Policy; wrong: string | null }> {
  if (file === undefined) return { policy: DEFAULT_POLICY, wrong: null };
  const { loadScript, ScriptError } = await import('./script.js');
  try {
    return { policy: loadScript(file), wrong: null };
  } catch (e) {
    if (!(e instanceof ScriptError)) throw e;
    return { policy: DEFAULT_POLICY, wrong: `operator script ${file}: ${e.message}` };
  }
}
