import type { Overload } from '../../admission/overload.js';
import { MIN_HEARTBEAT_GAP_S } from '../../wire/workers.js';

/** Events come in clusters: scheduling cycles are at least so far apart, in seconds. */
export const MIN_CYCLE_GAP_S = MIN_HEARTBEAT_GAP_S / 10;
/**
 * The longest pause between two passes, in leases. By the share of time alone that scheduling cycles may take on a late
 * leader, the next one came eighteen seconds after one of a second, the first after all controllers had ended.
 */
const MAX_CYCLE_PAUSE_LEASES = 0.3;

/** What a `CyclePacing` works with. */
export interface CyclePacingOptions {
  /** The workers' lease, in seconds. */
  leaseS: number;
  overload: Pick<Overload, 'cycleShare'>;
}

/** When scheduling cycles run: the longer one took, the later comes the next, within bounds. */
export class CyclePacing {
  /** When the next scheduling cycle may begin, in seconds of the clock. */
  nextAt = -Infinity;

  constructor(private readonly options: CyclePacingOptions) {}

  /** A scheduling cycle has ended. Times in seconds of the clock. */
  cycleEnded(began: number, end: number): void {
    const pauseS = (end - began) * (1 / this.options.overload.cycleShare - 1);
    const maxPauseS = this.options.leaseS * MAX_CYCLE_PAUSE_LEASES;
    this.nextAt = Math.max(began + MIN_CYCLE_GAP_S, end + Math.min(maxPauseS, pauseS));
  }
}
