/**
 * When open loans changed and when they are due, by the steady clock of the term. The times of day in their records
 * identify these moments across terms; within a term, elapsed time is never computed from two times of day.
 */

import type { TermView } from '../subsystems/subsystem.js';
import { loanId, type Loan } from './loan.js';

/** Times of one loan, in seconds of the steady clock. */
export interface LoanTimes {
  /** When it entered its present state, or when this term first saw it in that state. */
  changedAt: number;
  /** Whether it entered its present state in this term; false: in an earlier one, at an unknown time. */
  changedInThisTerm: boolean;
  /** When the lender needs its place again, as far as is known; null: no deadline requires it. */
  dueAt: number | null;
  /** The latest moment at which it may be due; a return counts as late only after it, since `dueAt` may be inexact. */
  latestDueAt: number | null;
}

/** A loan's times, and the change to which they belong. */
interface RecordedTimes extends LoanTimes {
  changedMs: number;
  state: Loan['state'];
}

/** The times of a term's loans. */
export class LoanClock {
  private readonly known = new Map<string, RecordedTimes>();

  constructor(private readonly view: Pick<TermView, 'now' | 'timeOfDay' | 'settings'>) {}

  /** Records that this term granted or changed a loan; `before`: its previous value, null for a new loan. */
  recordChange(loan: Loan, before: Loan | null): void {
    const { dueAt, latestDueAt } =
      before === null ? this.timesOfNewLoan(loan) : this.timesOf(before);
    this.setTimes(loan, { changedInThisTerm: true, dueAt, latestDueAt });
  }

  /** The times of an open loan; a loan without recorded times was stored by an earlier term. */
  timesOf(loan: Loan): LoanTimes {
    const known = this.known.get(loanId(loan));
    if (known?.changedMs === loan.changedMs && known.state === loan.state) return known;
    if (known !== undefined) return this.setTimes(loan, { ...known, changedInThisTerm: false });
    const dueAt = this.inheritedDueAt(loan);
    const latestDueAt = dueAt === null ? null : Math.max(dueAt, this.inheritedLatestDueAt(loan));
    return this.setTimes(loan, { changedInThisTerm: false, dueAt, latestDueAt });
  }

  /** Drops the times of a loan that has ended or was never stored. */
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

  /** The due time if the latest change happened just now, which is the upper bound: both times are of one clock. */
  private inheritedLatestDueAt({ dueMs, changedMs }: Loan): number {
    return this.view.now() + Math.max(0, (dueMs ?? changedMs) - changedMs) / 1000;
  }

  /**
   * The due time by this machine's clock. A latest change in the future shows that the two machines' clocks differ by
   * an unknown time: the loan is then due at once, which at worst migrates the borrower early, but meets the deadline.
   */
  private inheritedDueAt({ dueMs, changedMs }: Loan): number | null {
    const { view } = this;
    if (dueMs === null) return null;
    const nowMs = view.timeOfDay.nowMs();
    if (changedMs - nowMs > 2 * view.settings.skewMs) return view.now();
    return view.now() + (dueMs - nowMs) / 1000;
  }
}
