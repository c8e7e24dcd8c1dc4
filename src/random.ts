import { unsafeUniformIntDistribution, xoroshiro128plus, type RandomGenerator } from 'pure-rand';

/**
 * 32 bits that cannot be reproduced. V8 seeds `Math.random` from the system's entropy for each process; loading Node's
 * crypto module instead would take a tenth of the processor time of a start.
 */
const randomInt32 = (): number => Math.floor(Math.random() * 2 ** 32) | 0;

/** Length of a name that no other process ever has. */
const UNIQUE_BYTES = 12;

/** Returns a unique name in hexadecimal digits. It is not a secret. */
export const uniqueName = (): string =>
  Array.from({ length: UNIQUE_BYTES / 4 }, () =>
    (randomInt32() >>> 0).toString(16).padStart(8, '0'),
  ).join('');

/** Generator for the jitter of retries, one for the process; tests may seed it. */
let generator: RandomGenerator = xoroshiro128plus(randomInt32());

/** Makes the following random numbers reproducible, for tests. */
export function seedRandom(seed: number): void {
  generator = xoroshiro128plus(seed);
}

const MAX_RANDOM_INT = 0x3fffffff;

/** Returns a number in [0, 1). */
export const random = (): number =>
  unsafeUniformIntDistribution(0, MAX_RANDOM_INT, generator) / (MAX_RANDOM_INT + 1);
