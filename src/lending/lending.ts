/** Lending as a subsystem of the controller. */

import type { OwnedRecord, Subsystem, SubsystemTerm, TermView } from '../subsystems/subsystem.js';
import type { LendingConfig } from './declaration.js';
import { LendingTerm } from './lending-term.js';
import { loansView, type LoansView } from './view.js';

/** The subsystem's name, in keys of the store. */
export const LENDING = 'lending';

/** Lending as a subsystem of a controller. */
export class Lending implements Subsystem {
  readonly name = LENDING;

  constructor(private readonly config: LendingConfig) {}

  /** See `Subsystem.beginTerm`. */
  beginTerm(view: TermView): SubsystemTerm {
    return new LendingTerm(view, this.config);
  }

  /** See `Subsystem.view`. */
  view(records: ReadonlyMap<string, OwnedRecord>): LoansView {
    return loansView(records);
  }
}
