import { unsafeUniformIntDistribution, xoroshiro128plus, type RandomGenerator } from 'pure-rand';

/**
 * 32 bits that nobody can repeat. V8 seeds this generator from the system's entropy for each process;
 * to load Node's crypto for it takes a tenth of a start's processor time.
 */
const randomInt32 = (): number => Math.floor(Math.random() * 2 ** 32) | 0;

/** Bytes of a name that no other process ever has. */
const UNIQUE_BYTES = 12;

/** A name for this process in hexadecimal digits. Not a secret. */
export const uniqueName = (): string =>
  Array.from({ length: UNIQUE_BYTES / 4 }, () =>
    (randomInt32() >>> 0).toString(16).padStart(8, '0'),
  ).join('');

/** Randomness for spreading retries. One generator for the process; tests may seed it. */
let generator: RandomGenerator = xoroshiro128plus(randomInt32());

/** Makes the numbers that follow repeatable, for tests. */
export function seedRandom(seed: number): void {
  generator = xoroshiro128plus(seed);
}

const STEPS = 0x3fffffff;

/** From 0 to below 1. */
export const random = (): number => unsafeUniformIntDistribution(0, STEPS, generator) / (STEPS + 1);
