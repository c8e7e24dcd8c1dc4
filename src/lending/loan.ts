/** A loan: GPUs that running finite work gave up for a service, and until when they have to be back. */

import { IllegalTransitionError } from '../illegal-transition.js';
import * as v from 'valibot';

/**
 *   requested  stored; the lender may not know of it yet
 *   saving     the lender was told to stop and has not exited
 *   lent       the lender is gone from the machine
 *   recalled   the GPUs, or others in their place, have to come back now
 *   returned   the borrower has left them, or the lender has been given another place
 *   resumed    the lender runs again
 *   lost       the machine is gone, and with it what was lent
 *   cancelled  nothing is owed any more: one of the two is over, or the lender was never stopped
 *   waived     the promise was not kept; the reason says why
 *
 * The last four are final.
 */
export const LOAN_STATES = [
  'requested',
  'saving',
  'lent',
  'recalled',
  'returned',
  'resumed',
  'lost',
  'cancelled',
  'waived',
] as const;

/** The states of a loan, see `LOAN_STATES`. */
export type LoanState = (typeof LOAN_STATES)[number];

/** A task of the lender, and the attempt of it that was to stop. */
export interface LentTask {
  index: number;
  attempt: number;
  machine: string;
}

/** A loan; times are times of day in ms. */
export interface Loan {
  lender: string;
  /** One task of an array, or all tasks of a gang. */
  tasks: readonly LentTask[];
  borrower: string;
  /** Where the borrower's task goes. */
  machine: string;
  /** GPUs that the lender gives up there. */
  gpus: number;
  state: LoanState;
  /** Time of day in ms by which the lender needs its place again; null: no deadline asks for it. */
  dueMs: number | null;
  grantedMs: number;
  /** Time of day in ms of the latest change. */
  changedMs: number;
  /** Whether a task of the borrower was seen on the machine. */
  used: boolean;
  /** Why it was granted and, once it is over, why it ended. */
  reason: string;
}

/** What a loan meets. */
export type LoanEvent =
  /** Chosen anew for another borrower by a later leader, which finds the lender running. */
  | { kind: 'granted-again'; borrower: string; reason: string }
  | { kind: 'told' }
  | { kind: 'vacated' }
  | { kind: 'borrower-seen' }
  | { kind: 'recalled'; reason: string }
  | { kind: 'returned'; reason: string }
  | { kind: 'resumed'; reason: string }
  | { kind: 'lost'; reason: string }
  | { kind: 'cancelled'; reason: string }
  | { kind: 'waived'; reason: string };

const OPEN_STATES: readonly LoanState[] = ['requested', 'saving', 'lent', 'recalled', 'returned'];
const AWAY_STATES: readonly LoanState[] = ['lent', 'recalled', 'returned'];

/** The states in which a loan can meet an event. */
const ALLOWED_STATES: Record<LoanEvent['kind'], readonly LoanState[]> = {
  'granted-again': ['requested', 'saving'],
  told: ['requested'],
  vacated: ['requested', 'saving'],
  'borrower-seen': ['lent', 'recalled'],
  // A borrower without another place may come back to what it had left.
  recalled: ['lent', 'returned'],
  returned: ['lent', 'recalled'],
  resumed: AWAY_STATES,
  lost: ['lent', 'recalled'],
  cancelled: OPEN_STATES,
  waived: AWAY_STATES,
};

/** The one function by which a loan changes. Throws IllegalTransitionError. */
export function advanceLoan(loan: Loan, event: LoanEvent, atMs: number): Loan {
  if (!ALLOWED_STATES[event.kind].includes(loan.state)) {
    throw new IllegalTransitionError(`loan ${loanId(loan)}`, loan.state, event.kind);
  }
  const changed = { ...loan, changedMs: atMs };
  switch (event.kind) {
    case 'granted-again':
      return { ...changed, borrower: event.borrower, reason: event.reason };
    case 'told':
      return { ...changed, state: 'saving' };
    case 'vacated':
      return { ...changed, state: 'lent' };
    case 'borrower-seen':
      return { ...loan, used: true };
    default:
      return { ...changed, state: event.kind, reason: event.reason };
  }
}

/** Whether something is still owed. */
export const isOpen = ({ state }: Loan): boolean => OPEN_STATES.includes(state);

/** Whether the GPUs are spoken for: no second loan may name them. */
export const holdsGpus = ({ state }: Loan): boolean =>
  isOpen({ state } as Loan) && state !== 'returned';

/** Whether the lender is off its machine and waits for a place. */
export const isAway = ({ state }: Loan): boolean => AWAY_STATES.includes(state);

/** Attempt numbers of a task never recur, so a loan's name does not either. */
export function loanId({ lender, tasks }: Pick<Loan, 'lender' | 'tasks'>): string {
  const { index, attempt } = tasks[0]!;
  return `${lender}/${index}/${attempt}`;
}

/** Keys of loans begin with it, below the subsystem's own prefix. */
export const LOAN_PREFIX = 'loan/';

/** A count of 0 for each state. */
export const zeroStateCounts = (): Record<LoanState, number> =>
  Object.fromEntries(LOAN_STATES.map((state) => [state, 0])) as Record<LoanState, number>;

// The record

const text = v.string();
const number = v.pipe(v.number(), v.finite());
const loanSchema = v.object({
  l: text,
  t: v.pipe(v.array(v.tuple([number, number, text])), v.minLength(1)),
  b: text,
  m: text,
  g: number,
  s: v.picklist(LOAN_STATES),
  d: v.optional(v.nullable(number), null),
  f: number,
  c: number,
  u: v.optional(v.boolean(), false),
  y: v.optional(text, ''),
});

/** The stored form of a loan. */
export function encodeLoan(loan: Loan): unknown {
  return {
    l: loan.lender,
    t: loan.tasks.map(({ index, attempt, machine }) => [index, attempt, machine]),
    b: loan.borrower,
    m: loan.machine,
    g: loan.gpus,
    s: loan.state,
    d: loan.dueMs,
    f: loan.grantedMs,
    c: loan.changedMs,
    u: loan.used,
    y: loan.reason,
  };
}

/** The size of its record. */
export const loanBytes = (loan: Loan): number =>
  Buffer.byteLength(JSON.stringify(encodeLoan(loan)));

/** Null: a record of another form, which is left alone. */
export function decodeLoan(value: unknown): Loan | null {
  const result = v.safeParse(loanSchema, value);
  if (!result.success) return null;
  const { l, t, b, m, g, s, d, f, c, u, y } = result.output;
  return {
    lender: l,
    tasks: t.map(([index, attempt, machine]) => ({ index, attempt, machine })),
    borrower: b,
    machine: m,
    gpus: g,
    state: s,
    dueMs: d,
    grantedMs: f,
    changedMs: c,
    used: u,
    reason: y,
  };
}
