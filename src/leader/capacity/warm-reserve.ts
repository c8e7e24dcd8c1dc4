/** The warm reserve: free capacity for work that has not arrived yet. */

import type { DemandForecast } from '../../cloud/demand-forecast.js';
import { NO_SUBSYSTEMS, type ActiveSubsystems } from '../../subsystems/active-subsystems.js';
import type { Term } from '../term/term.js';

/** Computes the size of the warm reserve from the demand forecast. */
export class WarmReserve {
  constructor(
    private readonly term: Term,
    private readonly forecast: DemandForecast,
    private readonly subsystems: ActiveSubsystems = NO_SUBSYSTEMS,
  ) {}

  /**
   * The reserve on spot or ordinary machines, in machines. Without open jobs it consists only of the machines
   * that subsystems reserve, which are free but not available to other work.
   */
  target(spot: boolean): number {
    const kept = spot ? 0 : this.subsystems.reservedMachines();
    return this.term.jobs.size === 0 ? kept : this.forecast.warmTarget(spot) + kept;
  }
}
