/** The view of loans for operators: a function of the records alone, so that every controller shows the same. */

import type { OwnedRecord } from '../subsystems/subsystem.js';
import { decodeLoan, isOpen, LOAN_PREFIX, loanId, type Loan, type LoanState } from './loan.js';

/** A loan as shown to operators. */
export interface LoanRow {
  loan: string;
  lender: string;
  tasks: number;
  borrower: string;
  machine: string;
  gpus: number;
  state: LoanState;
  /** ISO 8601; null: no deadline requires it. */
  due: string | null;
  granted: string;
  changed: string;
  reason: string;
}

/** All loans as shown to operators. */
export interface LoansView {
  /** Open loans first, the earliest due first; then ended loans, the latest first. */
  loans: LoanRow[];
}

const iso = (ms: number): string => new Date(ms).toISOString();

function rowOf(loan: Loan): LoanRow {
  const { lender, borrower, machine, gpus, state, dueMs, reason } = loan;
  return {
    loan: loanId(loan),
    lender,
    tasks: loan.tasks.length,
    borrower,
    machine,
    gpus,
    state,
    due: dueMs === null ? null : iso(dueMs),
    granted: iso(loan.grantedMs),
    changed: iso(loan.changedMs),
    reason,
  };
}

function compareLoans(a: Loan, b: Loan): number {
  if (isOpen(a) !== isOpen(b)) return isOpen(a) ? -1 : 1;
  if (!isOpen(a)) return b.changedMs - a.changedMs;
  return (a.dueMs ?? Infinity) < (b.dueMs ?? Infinity) ? -1 : 1;
}

/** The loans that a subsystem's records hold. */
function storedLoans(records: ReadonlyMap<string, OwnedRecord>): Loan[] {
  const loans: Loan[] = [];
  for (const [key, { value }] of records) {
    const loan = key.startsWith(LOAN_PREFIX) ? decodeLoan(value) : null;
    if (loan !== null) loans.push(loan);
  }
  return loans;
}

/** Builds the view from the records of the subsystem. */
export function loansView(records: ReadonlyMap<string, OwnedRecord>): LoansView {
  return { loans: storedLoans(records).sort(compareLoans).map(rowOf) };
}
