/** `pewtershelf loans`: prints the loans that a running controller reports. */

import * as v from 'valibot';
import { fetchView, formatTable, type ViewRequest } from '../subsystems/view-command.js';
import { LOAN_STATES } from './loan.js';
import type { LoanRow, LoansView } from './view.js';

const text = v.string();
const number = v.number();
const LOANS_REQUEST: ViewRequest<LoansView> = {
  subsystem: 'lending',
  title: 'lending is',
  schema: v.object({
    loans: v.array(
      v.object({
        loan: text,
        lender: text,
        tasks: number,
        borrower: text,
        machine: text,
        gpus: number,
        state: v.picklist(LOAN_STATES),
        due: v.nullable(text),
        granted: text,
        changed: text,
        reason: text,
      }),
    ),
  }),
};

/** Formats loans as a table for a terminal. */
export function loansTable(loans: readonly LoanRow[]): string {
  const head = ['loan', 'tasks', 'borrower', 'machine', 'gpus', 'state', 'due', 'changed'];
  const rows = loans.map(
    ({ loan, tasks, borrower, machine, gpus, state, due, changed, reason }) => [
      ...[loan, tasks, borrower, machine, gpus, state, due ?? '-', changed, reason],
    ],
  );
  return formatTable([...head, 'reason'], rows);
}

/** The command's options. */
export interface LoansCommandOptions {
  /** The address of a controller's user API, HOST:PORT. */
  at: string;
  /** Only loans in which this job lends or borrows. */
  job?: string;
  json: boolean;
}

/** Returns the command's output. Throws CommandError. */
export async function loansCommand({ at, job, json }: LoansCommandOptions): Promise<string> {
  const { loans } = await fetchView(at, LOANS_REQUEST);
  const matchingLoans = loans.filter(
    ({ lender, borrower }) => job === undefined || lender === job || borrower === job,
  );
  return json ? `${JSON.stringify(matchingLoans, null, 1)}\n` : loansTable(matchingLoans);
}
