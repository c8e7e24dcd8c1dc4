/** The next change of a loan: a pure function of its state and of what is known. */

import type { Loan, LoanEvent } from './loan.js';
import type { LoanEvidence } from './loan-evidence.js';

/** Null: nothing changes. */
export function nextEvent(loan: Loan, evidence: LoanEvidence): LoanEvent | null {
  const { lenderOver } = evidence;
  if (lenderOver !== null) return { kind: 'cancelled', reason: lenderOver };
  switch (loan.state) {
    case 'requested':
    case 'saving':
      return beforeLent(loan, evidence);
    case 'lent':
    case 'recalled':
      return whileLent(loan, evidence);
    case 'returned':
      if (evidence.lenderElsewhere === 'running') return resumed(evidence);
      if (evidence.lenderElsewhere === 'nowhere' && evidence.borrower === 'there') {
        return { kind: 'recalled', reason: 'the borrower came back' };
      }
      return brokenPromise(evidence);
    default:
      return null;
  }
}

function beforeLent(loan: Loan, { lenderThere, notCarriedOut }: LoanEvidence): LoanEvent | null {
  if (lenderThere === 'gone') return { kind: 'vacated' };
  if (lenderThere === 'stopping') return loan.state === 'requested' ? { kind: 'told' } : null;
  if (lenderThere === 'running' && notCarriedOut !== null) {
    return { kind: 'cancelled', reason: notCarriedOut };
  }
  return null;
}

function whileLent(loan: Loan, evidence: LoanEvidence): LoanEvent | null {
  const { lenderElsewhere, borrower, machineGone, recall } = evidence;
  if (lenderElsewhere === 'running') return resumed(evidence);
  if (lenderElsewhere === 'placed') return returned('the lender has a place', evidence);
  if (machineGone) return { kind: 'lost', reason: 'the machine is gone' };
  if (borrower === 'away') return returned('the borrower has left', evidence);
  const broken = brokenPromise(evidence);
  if (broken !== null) return broken;
  if (loan.state === 'lent' && recall !== null) return { kind: 'recalled', reason: recall };
  if (borrower === 'there' && !loan.used) return { kind: 'borrower-seen' };
  return null;
}

/** What comes late is told with it. */
function late({ lateS }: LoanEvidence): string {
  return lateS > 0 ? `, ${Math.ceil(lateS)} s late` : '';
}

const returned = (reason: string, evidence: LoanEvidence): LoanEvent => ({
  kind: 'returned',
  reason: reason + late(evidence),
});

const resumed = (evidence: LoanEvidence): LoanEvent => ({
  kind: 'resumed',
  reason: `the lender runs again${late(evidence)}`,
});

function brokenPromise({ broken, lenderElsewhere }: LoanEvidence): LoanEvent | null {
  if (broken === null || lenderElsewhere !== 'nowhere') return null;
  return { kind: 'waived', reason: broken };
}
