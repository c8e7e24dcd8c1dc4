import type { Overload } from '../admission/overload.js';
import { CHANGE_GAP_S } from '../wire/workers.js';

/** Events come in clusters: passes are at least so far apart, in seconds. */
export const PASS_GAP_S = CHANGE_GAP_S / 10;
/**
 * A late leader places once in so many leases at least. A first pass after all controllers had ended took a
 * second of an overloaded leader, in which other controllers gave up a hundred reports that they had passed
 * on; and by the share of time that passes may take, the next one came only twenty seconds later.
 */
const LONGEST_PAUSE_LEASES = 0.3;
/**
 * A leader that is late from its beginning places nothing for so many leases: until then it hears of all
 * machines whose leases can still be renewed. With 0.3 its first pass came just when leases ran out
 * that had last been renewed before all controllers ended.
 */
const FIRST_PAUSE_LEASES = 1;

export interface PassPacingOptions {
  /** The workers' lease, in seconds. */
  leaseS: number;
  overload: Pick<Overload, 'late' | 'passShare'>;
  /** When the term began, in seconds of the clock. */
  startedAt: number;
}

/** When passes run, and which of them place: a leader that is late answers reports first. */
export class PassPacing {
  /** When the next pass may begin, in seconds of the clock. */
  nextAt = -Infinity;
  /** While it is late, this leader places nothing before this time, in seconds of the clock. */
  private placesFrom: number;

  constructor(private readonly options: PassPacingOptions) {
    this.placesFrom = options.startedAt + options.leaseS * FIRST_PAUSE_LEASES;
  }

  /** Whether a pass that begins now places. Then it counts as having placed. */
  places(now: number): boolean {
    if (this.options.overload.late && now < this.placesFrom) return false;
    this.placesFrom = now + this.longestPauseS;
    return true;
  }

  /** A pass has ended. The longer it took, the later comes the next. */
  ended(began: number, end: number): void {
    const pauseS = (end - began) * (1 / this.options.overload.passShare - 1);
    this.nextAt = Math.max(began + PASS_GAP_S, end + Math.min(this.longestPauseS, pauseS));
  }

  private get longestPauseS(): number {
    return this.options.leaseS * LONGEST_PAUSE_LEASES;
  }
}
