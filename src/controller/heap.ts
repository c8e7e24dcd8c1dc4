import { getHeapSpaceStatistics, setFlagsFromString } from 'node:v8';

/**
 * How far the heap may grow beyond what it holds before garbage is collected, in percent. V8 by itself
 * lets it grow to several times that, by the machine's memory and not by the process's. With 40, and 1 MB
 * for what is new, a leader that had just begun was kept so busy collecting that it lost its leadership.
 */
const GROWTH_PERCENT = 100;
/** Of a process's memory, what the space for new objects may take before it grows no further. */
const NEW_SPACE_SHARE = 0.08;
const MIB = 2 ** 20;

/** Bytes that the space for new objects takes. */
function newSpaceBytes(): number {
  return (
    getHeapSpaceStatistics().find((space) => space.space_name === 'new_space')?.space_size ?? 0
  );
}

/**
 * Keeps the heap in proportion to what it holds, whatever the deployment's size. To be called once the
 * program is loaded: V8 takes compiled code, Node's own included, only under the flags under which it
 * was compiled, and compiling it again doubles the cost of a start.
 *
 * Returns what is to be called once in a while, until it returns true: it stops the growth of the space
 * for new objects when that has taken its share of `memMb`, the process's memory in MiB.
 */
export function limitHeapGrowth(memMb: number): () => boolean {
  setFlagsFromString(`--heap-growing-percent=${GROWTH_PERCENT}`);
  const most = memMb * MIB * NEW_SPACE_SHARE;
  return () => {
    if (newSpaceBytes() < most / 2) return false;
    // It doubles at a time.
    setFlagsFromString('--semi-space-growth-factor=1');
    return true;
  };
}
