/** Free capacity that is kept for work to come. */

import type { Arrivals } from '../cloud/arrivals.js';
import type { Term } from './term.js';

/** How much is kept free, by what arrives. */
export class WarmReserve {
  constructor(
    private readonly term: Term,
    private readonly arrivals: Arrivals,
  ) {}

  /** On spot or ordinary machines, in machines. With nothing to do there is nothing to be warm for. */
  target(spot: boolean): number {
    return this.term.jobs.size === 0 ? 0 : this.arrivals.target(spot);
  }
}
