/**
 * When open loans changed and when they are due, by the steady clock of the term. Times of day in their records name these
 * moments across terms; within one nothing is the difference of two of them.
 */

import type { TermView } from '../subsystems/subsystem.js';
import { loanId, type Loan } from './loan.js';

/** Times of one loan, in seconds of the steady clock. */
export interface LoanTimes {
  /** When it came into its present state, or when this term first saw it there. */
  changedAt: number;
  /** When its present state began in this term; false: an earlier one brought it there, at a time that is not known. */
  changedInThisTerm: boolean;
  /** When the lender needs its place again, as far as is known; null: no deadline asks for it. */
  dueAt: number | null;
  /** The latest moment at which it may be due: what a term cannot know it does not hold against a loan. */
  latestDueAt: number | null;
}

/** A loan's times, and the change that they belong to. */
interface RecordedTimes extends LoanTimes {
  changedMs: number;
  state: Loan['state'];
}

/** The times of a term's loans. */
export class LoanClock {
  private readonly known = new Map<string, RecordedTimes>();

  constructor(private readonly view: Pick<TermView, 'now' | 'timeOfDay' | 'settings'>) {}

  /** A loan is granted by this term, or changed; `before`: as it was, null for a new one. */
  recordChange(loan: Loan, before: Loan | null): void {
    const { dueAt, latestDueAt } =
      before === null ? this.timesOfNewLoan(loan) : this.timesOf(before);
    this.setTimes(loan, { changedInThisTerm: true, dueAt, latestDueAt });
  }

  /** The times of an open loan; one that is not known was stored by an earlier term. */
  timesOf(loan: Loan): LoanTimes {
    const known = this.known.get(loanId(loan));
    if (known?.changedMs === loan.changedMs && known.state === loan.state) return known;
    if (known !== undefined) return this.setTimes(loan, { ...known, changedInThisTerm: false });
    const dueAt = this.inheritedDueAt(loan);
    const latestDueAt = dueAt === null ? null : Math.max(dueAt, this.inheritedLatestDueAt(loan));
    return this.setTimes(loan, { changedInThisTerm: false, dueAt, latestDueAt });
  }

  /** A loan that is over, or was never stored. */
  forget(id: string): void {
    this.known.delete(id);
  }

  private setTimes(loan: Loan, times: Omit<LoanTimes, 'changedAt'>): LoanTimes {
    const { changedMs, state } = loan;
    const { changedInThisTerm, dueAt, latestDueAt } = times;
    const changedAt = this.view.now();
    const known = { changedAt, changedInThisTerm, dueAt, latestDueAt, changedMs, state };
    this.known.set(loanId(loan), known);
    return known;
  }

  private timesOfNewLoan({ dueMs, grantedMs }: Loan): Pick<LoanTimes, 'dueAt' | 'latestDueAt'> {
    const dueAt = dueMs === null ? null : this.view.now() + (dueMs - grantedMs) / 1000;
    return { dueAt, latestDueAt: dueAt };
  }

  /** It is due no later than if its latest change had happened just now: both times are of one clock. */
  private inheritedLatestDueAt({ dueMs, changedMs }: Loan): number {
    return this.view.now() + Math.max(0, (dueMs ?? changedMs) - changedMs) / 1000;
  }

  /**
   * By this machine's clock. A change that is still to come by it shows that the two clocks differ by an unknown time:
   * then it is due at once, which costs the borrower at the most, and keeps the promise.
   */
  private inheritedDueAt({ dueMs, changedMs }: Loan): number | null {
    const { view } = this;
    if (dueMs === null) return null;
    const nowMs = view.timeOfDay.nowMs();
    if (changedMs - nowMs > 2 * view.settings.skewMs) return view.now();
    return view.now() + (dueMs - nowMs) / 1000;
  }
}
