import { randomBytes } from 'node:crypto';
import { unsafeUniformIntDistribution, xoroshiro128plus, type RandomGenerator } from 'pure-rand';

/** Randomness for spreading retries. One generator for the process; tests may seed it. */
let generator: RandomGenerator = xoroshiro128plus(randomBytes(4).readInt32LE(0));

export function seedRandom(seed: number): void {
  generator = xoroshiro128plus(seed);
}

const STEPS = 0x3fffffff;

/** From 0 to below 1. */
export const random = (): number => unsafeUniformIntDistribution(0, STEPS, generator) / (STEPS + 1);
