/** Lending as a subsystem of the controller. */

import type { OwnedRecord, Subsystem, SubsystemTerm, TermView } from '../subsystems/subsystem.js';
import type { LendingConfig } from './declaration.js';
import { LendingTerm } from './lending-term.js';
import { loansView, type LoansView } from './view.js';

export const LENDING = 'lending';

export class Lending implements Subsystem {
  readonly name = LENDING;

  constructor(private readonly config: LendingConfig) {}

  beginTerm(view: TermView): SubsystemTerm {
    return new LendingTerm(view, this.config);
  }

  view(records: ReadonlyMap<string, OwnedRecord>): LoansView {
    return loansView(records);
  }
}
