import { getHeapSpaceStatistics, setFlagsFromString } from 'node:v8';

/**
 * Growth of the heap over its live size before garbage is collected. By default V8 lets the heap grow to
 * several times the live size, depending on the machine's memory and not on the process's limit. With 40 %
 * and a new space of 1 MB, a newly elected leader spent so much time on collections that it lost leadership.
 */
const MAX_HEAP_GROWTH_PERCENT = 100;
/** Share of the process's memory at which V8's new space stops growing. */
const NEW_SPACE_SHARE = 0.08;
const MIB = 2 ** 20;

/** Size of V8's new space. */
function newSpaceBytes(): number {
  return (
    getHeapSpaceStatistics().find((space) => space.space_name === 'new_space')?.space_size ?? 0
  );
}

/**
 * Keeps the heap in proportion to its live size, whatever the deployment's size. Call it once the program
 * is loaded: V8 accepts cached code, Node's own included, only with the flags with which it was compiled,
 * and compiling it again doubles the cost of a start.
 *
 * Returns a function to be called regularly until it returns true: it stops the growth of the new space
 * when that has reached its share of `memMb`, the process's memory in MiB.
 */
export function limitHeapGrowth(memMb: number): () => boolean {
  setFlagsFromString(`--heap-growing-percent=${MAX_HEAP_GROWTH_PERCENT}`);
  const limitBytes = memMb * MIB * NEW_SPACE_SHARE;
  return () => {
    if (newSpaceBytes() < limitBytes / 2) return false;
    // The new space doubles with each growth.
    setFlagsFromString('--semi-space-growth-factor=1');
    return true;
  };
}
