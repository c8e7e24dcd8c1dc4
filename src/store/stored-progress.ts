/** Decoding of progress records. */

import { BitSet } from '../jobs/bit-set.js';
import type { StoredProgress } from './stored-job.js';
import * as records from './records.js';

/** Parses the key of a progress record; `number` is the index of the chunk, or of the first task of a part. */
export function parseProgressKey(key: string): { id: string; number: number; isPart: boolean } {
  const isPart = key.startsWith(records.PROGRESS_PARTS);
  const rest = key.slice((isPart ? records.PROGRESS_PARTS : records.PROGRESS).length);
  const slash = rest.indexOf('/');
  return { id: rest.slice(0, slash), number: Number(rest.slice(slash + 1)), isPart };
}

/** Decodes the done tasks of a record; null stands for all of them. */
export function decodeBits(text: string | null, size: number): BitSet {
  if (text !== null) return BitSet.decode(size, text);
  const bits = new BitSet(size);
  bits.fill();
  return bits;
}

/** Number of tasks that are done in any of the records. Chunks and parts of a job may overlap. */
export function countDone(tasks: number, stored: StoredProgress[]): number {
  if (stored.length === 1) return stored[0]!.bits.count;
  const union = new BitSet(tasks);
  for (const { first, bits } of stored) {
    for (let i = 0; i < bits.size; i++) if (bits.has(i)) union.add(first + i);
  }
  return union.count;
}
