import { setFlagsFromString } from 'node:v8';

/**
 * How far the heap may grow beyond what it holds before garbage is collected, in percent. V8 by itself
 * lets it grow to several times that, by the machine's memory and not by the process's. With 40, and 1 MB for
 * what is new, a leader that had just begun was kept so busy collecting that it lost its leadership.
 */
const GROWTH_PERCENT = 100;

/**
 * Keeps the heap in proportion to what it holds, whatever the deployment's size. To be called once the
 * program is loaded: V8 takes compiled code, Node's own included, only under the flags under which it
 * was compiled, and compiling it again doubles the cost of a start.
 */
export function limitHeapGrowth(): void {
  setFlagsFromString(`--heap-growing-percent=${GROWTH_PERCENT}`);
}
