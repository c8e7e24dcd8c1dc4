/** A loan: GPUs that a finite job gives up for a service, and the time by which it needs them again. */

import { IllegalTransitionError } from '../illegal-transition.js';
import * as v from 'valibot';

/**
 *   requested  granted; the lender may not have received its stop command yet
 *   saving     the lender is being stopped and has not exited
 *   lent       the lender has left the machine
 *   recalled   the GPUs, or others in place of them, have to be returned now
 *   returned   the borrower has left the GPUs, or the lender has been given another place
 *   resumed    the lender runs again
 *   lost       the machine is gone, and with it the GPUs
 *   cancelled  no return is needed any more: one of the two jobs has ended, or the lender was never stopped
 *   waived     the GPUs were not returned; the reason says why
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

/** A task of the lender, and its attempt that is stopped for the loan. */
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
  /** The machine that the borrower's task gets. */
  machine: string;
  /** GPUs that the lender gives up on that machine. */
  gpus: number;
  state: LoanState;
  /** Time of day in ms by which the lender needs its place again; null: no deadline requires it. */
  dueMs: number | null;
  grantedMs: number;
  /** Time of day in ms of the latest change. */
  changedMs: number;
  /** Whether a task of the borrower was seen on the machine. */
  used: boolean;
  /** Why it was granted or, after that, the reason of the latest change that has one. */
  reason: string;
}

/** Events that change a loan. */
export type LoanEvent =
  /** A later leader finds the lender running and chooses it for another borrower. */
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

/** The states in which each event is allowed. */
const ALLOWED_STATES: Record<LoanEvent['kind'], readonly LoanState[]> = {
  'granted-again': ['requested', 'saving'],
  told: ['requested'],
  vacated: ['requested', 'saving'],
  'borrower-seen': ['lent', 'recalled'],
  // A borrower without another place may return to the machine that it had left.
  recalled: ['lent', 'returned'],
  returned: ['lent', 'recalled'],
  resumed: AWAY_STATES,
  lost: ['lent', 'recalled'],
  cancelled: OPEN_STATES,
  waived: AWAY_STATES,
};

/** The only function that changes a loan. Throws IllegalTransitionError. */
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

/** Whether the loan is open: its state is not final. */
export const isOpen = ({ state }: Loan): boolean => OPEN_STATES.includes(state);

/** Whether the loan reserves its GPUs, so that no second loan may name them. */
export const holdsGpus = ({ state }: Loan): boolean =>
  isOpen({ state } as Loan) && state !== 'returned';

/** Whether the lender is off its machine and waits for a place. */
export const isAway = ({ state }: Loan): boolean => AWAY_STATES.includes(state);

/** A loan's id. It is unique because attempt numbers of a task are never reused. */
export function loanId({ lender, tasks }: Pick<Loan, 'lender' | 'tasks'>): string {
  const { index, attempt } = tasks[0]!;
  return `${lender}/${index}/${attempt}`;
}

/** Prefix of the keys of loans, below the subsystem's own prefix. */
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

/** The size of a loan's record in bytes. */
export const loanBytes = (loan: Loan): number =>
  Buffer.byteLength(JSON.stringify(encodeLoan(loan)));

/** Decodes a record. Null: it has another format, and is not changed. */
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
