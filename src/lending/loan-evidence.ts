/** What the leader knows of the lender and the borrower of a loan at one moment. */

import type { AttemptView, LiveJobView, TermView } from '../subsystems/subsystem.js';
import { occupiesCapacity } from '../workers/attempt.js';
import type { Loan } from './loan.js';

/** State of the attempts that the loan names; `unheard`: inherited, and not yet reported to this leader. */
export type LentAttemptsState = 'running' | 'stopping' | 'gone' | 'unheard';

/** State of later attempts of the lent tasks; `nowhere`: not every task has one. */
export type LaterAttemptsState = 'nowhere' | 'placed' | 'running';

/** `wants`: not on the machine, but the GPUs are not back: a task of it has no place, or other work uses them. */
export type BorrowerPresence = 'there' | 'wants' | 'away';

/** What is known of the lender and the borrower of a loan at one moment. */
export interface LoanEvidence {
  /** Why the lender needs nothing back; null: its job is open and the tasks are not done. */
  lenderEndReason: string | null;
  lentAttempts: LentAttemptsState;
  laterAttempts: LaterAttemptsState;
  borrower: BorrowerPresence;
  machineGone: boolean;
  /** Why the GPUs have to be returned now; null: they need not be. */
  recallReason: string | null;
  /** Why the return of the GPUs is waived; null: it is not. */
  brokenReason: string | null;
  /** Seconds since the latest return time passed; 0: it has not. */
  lateS: number;
  /** Why a loan that is not lent yet is cancelled if its lender runs; null: it is not. */
  notCarriedOutReason: string | null;
}

function lenderEndReason(loan: Loan, job: LiveJobView | undefined): string | null {
  if (job === undefined) return 'the lender is over';
  if (job.cancelled) return 'the lender was cancelled';
  const done = job.phase !== 'active' || loan.tasks.every(({ index }) => job.done.has(index));
  return done ? 'the lender is done' : null;
}

function lentAttemptsState(attempts: readonly AttemptView[]): LentAttemptsState {
  if (attempts.length === 0) return 'gone';
  if (attempts.some((attempt) => attempt.stopRequest !== null || attempt.state === 'saving'))
    return 'stopping';
  return attempts.some((attempt) => attempt.state === 'inherited') ? 'unheard' : 'running';
}

function laterAttemptsState(loan: Loan, attempts: readonly AttemptView[]): LaterAttemptsState {
  if (attempts.length < loan.tasks.length) return 'nowhere';
  return attempts.every((attempt) => attempt.state === 'running') ? 'running' : 'placed';
}

/** Attempts of the lent tasks that may occupy capacity: those that the loan names, and later ones. */
function lenderAttempts(
  loan: Loan,
  job: LiveJobView | undefined,
): { lent: AttemptView[]; later: AttemptView[] } {
  const lent: AttemptView[] = [];
  const later: AttemptView[] = [];
  for (const { index, attempt } of loan.tasks) {
    for (const each of job?.attemptsByTask.get(index) ?? []) {
      if (occupiesCapacity(each)) (each.number === attempt ? lent : later).push(each);
    }
  }
  return { lent, later };
}

/** The borrower's attempts on the machine of a loan. */
function borrowerAttempts(loan: Loan, view: TermView): AttemptView[] {
  const job = view.job(loan.borrower);
  const attempts = job === undefined ? [] : [...job.attemptsByTask.values()].flat();
  return attempts.filter(
    (attempt) => attempt.machine === loan.machine && occupiesCapacity(attempt),
  );
}

/**
 * The replicas on the machine of a loan: the borrower's or, if it has none there, those of all services. The borrower
 * may have been placed elsewhere in the end, and another service here.
 */
export function replicasOnMachine(loan: Loan, view: TermView): AttemptView[] {
  const own = borrowerAttempts(loan, view);
  if (own.length > 0) return own;
  const there = [...(view.machine(loan.machine)?.attempts.values() ?? [])];
  return there.filter(
    (attempt) => occupiesCapacity(attempt) && view.spec(attempt.job)?.kind === 'service',
  );
}

/** `freeGpus`: free GPUs of the machine. GPUs that other work uses are not back. */
function borrowerPresence(loan: Loan, view: TermView, freeGpus: number): BorrowerPresence {
  if (borrowerAttempts(loan, view).length > 0) return 'there';
  if (freeGpus < loan.gpus) return 'wants';
  const job = view.job(loan.borrower);
  if (job === undefined || job.phase !== 'active') return 'away';
  return job.pendingTaskCount > 0 ? 'wants' : 'away';
}

function machineGone(loan: Loan, view: TermView): boolean {
  const machine = view.machine(loan.machine);
  return machine === undefined || machine.state === 'returned';
}

/** Observes a loan, except for what depends on time: the caller adds that. */
export function observeLoan(
  loan: Loan,
  view: TermView,
  freeGpus: number,
): Omit<LoanEvidence, 'recallReason' | 'brokenReason' | 'lateS' | 'notCarriedOutReason'> {
  const job = view.job(loan.lender);
  const { lent, later } = lenderAttempts(loan, job);
  return {
    lenderEndReason: lenderEndReason(loan, job),
    lentAttempts: lentAttemptsState(lent),
    laterAttempts: laterAttemptsState(loan, later),
    borrower: borrowerPresence(loan, view, freeGpus),
    machineGone: machineGone(loan, view),
  };
}
