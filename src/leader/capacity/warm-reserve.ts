/** Free capacity that is kept for work to come. */

import type { DemandForecast } from '../../cloud/demand-forecast.js';
import { NO_SUBSYSTEMS, type ActiveSubsystems } from '../../subsystems/active-subsystems.js';
import type { Term } from '../term/term.js';

/** How much is kept free, by what arrives. */
export class WarmReserve {
  constructor(
    private readonly term: Term,
    private readonly forecast: DemandForecast,
    private readonly subsystems: ActiveSubsystems = NO_SUBSYSTEMS,
  ) {}

  /**
   * On spot or ordinary machines, in machines. With nothing to do there is nothing to be warm for, but
   * what subsystems keep: that is free, and not there for others.
   */
  target(spot: boolean): number {
    const kept = spot ? 0 : this.subsystems.keptMachines();
    return this.term.jobs.size === 0 ? kept : this.forecast.warmTarget(spot) + kept;
  }
}
