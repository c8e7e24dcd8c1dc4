/** When recalls have to begin so that all are over in time, with a bounded number of them at once. */

export interface DueLoan {
  id: string;
  /** Time of day in ms by which the lender needs its place; null: no deadline asks for it. */
  dueMs: number | null;
}

/**
 * The moment in ms at which each recall has to begin, by loan. With `atOnce` recalls that take `wayBackMs`
 * each, and the earliest due first: each is over when it is due, and before the one `atOnce` places later
 * has to begin. Loans without a due time are left out.
 */
export function planRecalls(
  loans: readonly DueLoan[],
  wayBackMs: number,
  atOnce: number,
): Map<string, number> {
  const due = loans.filter((loan): loan is DueLoan & { dueMs: number } => loan.dueMs !== null);
  due.sort((a, b) => a.dueMs - b.dueMs || (a.id < b.id ? -1 : 1));
  const begins: number[] = [];
  for (let i = due.length - 1; i >= 0; i--) {
    const next = begins[i + atOnce] ?? Infinity;
    begins[i] = Math.min(due[i]!.dueMs, next) - wayBackMs;
  }
  return new Map(due.map(({ id }, i) => [id, begins[i]!]));
}
