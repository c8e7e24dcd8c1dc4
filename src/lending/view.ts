/** What operators are shown: a function of the records alone, the same on every controller. */

import type { OwnedRecord } from '../subsystems/subsystem.js';
import { decodeLoan, isOpen, LOAN_PREFIX, loanId, type Loan, type LoanState } from './loan.js';

/** A loan as operators are shown it. */
export interface LoanRow {
  loan: string;
  lender: string;
  tasks: number;
  borrower: string;
  machine: string;
  gpus: number;
  state: LoanState;
  /** ISO 8601; null: no deadline asks for it. */
  due: string | null;
  granted: string;
  changed: string;
  reason: string;
}

/** All loans as operators are shown them. */
export interface LoansView {
  /** Open ones first, the earliest due first; then those that are over, the latest first. */
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

/** What the records of the subsystem say. */
export function loansView(records: ReadonlyMap<string, OwnedRecord>): LoansView {
  return { loans: storedLoans(records).sort(compareLoans).map(rowOf) };
}
