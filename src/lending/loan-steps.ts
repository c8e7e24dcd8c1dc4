/** Determines the next change of a loan: a pure function of its state and the evidence. */

import type { Loan, LoanEvent } from './loan.js';
import type { LoanEvidence } from './loan-evidence.js';

/** Returns the next event of the loan; null: nothing changes. */
export function nextEvent(loan: Loan, evidence: LoanEvidence): LoanEvent | null {
  const { lenderEndReason } = evidence;
  if (lenderEndReason !== null) return { kind: 'cancelled', reason: lenderEndReason };
  switch (loan.state) {
    case 'requested':
    case 'saving':
      return beforeLent(loan, evidence);
    case 'lent':
    case 'recalled':
      return whileLent(loan, evidence);
    case 'returned':
      if (evidence.laterAttempts === 'running') return resumedEvent(evidence);
      if (evidence.laterAttempts === 'nowhere' && evidence.borrower === 'there') {
        return { kind: 'recalled', reason: 'the borrower came back' };
      }
      return waivedEvent(evidence);
    default:
      return null;
  }
}

function beforeLent(
  loan: Loan,
  { lentAttempts, notCarriedOutReason }: LoanEvidence,
): LoanEvent | null {
  if (lentAttempts === 'gone') return { kind: 'vacated' };
  if (lentAttempts === 'stopping') return loan.state === 'requested' ? { kind: 'told' } : null;
  if (lentAttempts === 'running' && notCarriedOutReason !== null) {
    return { kind: 'cancelled', reason: notCarriedOutReason };
  }
  return null;
}

function whileLent(loan: Loan, evidence: LoanEvidence): LoanEvent | null {
  const { laterAttempts, borrower, machineGone, recallReason } = evidence;
  if (laterAttempts === 'running') return resumedEvent(evidence);
  if (laterAttempts === 'placed') return returnedEvent('the lender has a place', evidence);
  if (machineGone) return { kind: 'lost', reason: 'the machine is gone' };
  if (borrower === 'away') return returnedEvent('the borrower has left', evidence);
  const waived = waivedEvent(evidence);
  if (waived !== null) return waived;
  if (loan.state === 'lent' && recallReason !== null)
    return { kind: 'recalled', reason: recallReason };
  if (borrower === 'there' && !loan.used) return { kind: 'borrower-seen' };
  return null;
}

/** The part of a reason that states by how much a return is late; empty if it is not. */
function latenessSuffix({ lateS }: LoanEvidence): string {
  return lateS > 0 ? `, ${Math.ceil(lateS)} s late` : '';
}

const returnedEvent = (reason: string, evidence: LoanEvidence): LoanEvent => ({
  kind: 'returned',
  reason: reason + latenessSuffix(evidence),
});

const resumedEvent = (evidence: LoanEvidence): LoanEvent => ({
  kind: 'resumed',
  reason: `the lender runs again${latenessSuffix(evidence)}`,
});

function waivedEvent({ brokenReason, laterAttempts }: LoanEvidence): LoanEvent | null {
  if (brokenReason === null || laterAttempts !== 'nowhere') return null;
  return { kind: 'waived', reason: brokenReason };
}
