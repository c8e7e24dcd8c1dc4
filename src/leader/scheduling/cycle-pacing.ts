import type { Overload } from '../../admission/overload.js';
import { MIN_HEARTBEAT_GAP_S } from '../../wire/workers.js';

/** Minimum time between the starts of two cycles, so that events that come in clusters share one. */
export const MIN_CYCLE_GAP_S = MIN_HEARTBEAT_GAP_S / 10;
/**
 * Maximum pause between two scheduling cycles, in leases. When only the share of time bounded the pause
 * on a late leader, the first cycle after all controllers had ended took one second, and the next one
 * came eighteen seconds later.
 */
const MAX_CYCLE_PAUSE_LEASES = 0.3;

/** Dependencies of `CyclePacing`. */
export interface CyclePacingOptions {
  /** Duration of the workers' leases, in seconds. */
  leaseS: number;
  overload: Pick<Overload, 'cycleShare'>;
}

/** Paces scheduling cycles: the longer a cycle takes, the later the next one begins, within bounds. */
export class CyclePacing {
  /** Earliest start of the next scheduling cycle, in seconds of the clock. */
  nextAt = -Infinity;

  constructor(private readonly options: CyclePacingOptions) {}

  /** Called when a scheduling cycle has ended. Both times are in seconds of the clock. */
  cycleEnded(began: number, end: number): void {
    const pauseS = (end - began) * (1 / this.options.overload.cycleShare - 1);
    const maxPauseS = this.options.leaseS * MAX_CYCLE_PAUSE_LEASES;
    this.nextAt = Math.max(began + MIN_CYCLE_GAP_S, end + Math.min(maxPauseS, pauseS));
  }
}
