/** Plans when recalls have to begin so that all of them end in time, with a bounded number in progress. */

/** A loan that may have to be recalled. */
export interface DueLoan {
  id: string;
  /** When the lender needs its place, in ms of a clock that is never set; null: no deadline requires it. */
  dueMs: number | null;
  /** Borrowers of one group are migrated one after the other. */
  group: string;
}

/** How fast loans can be recalled; times in ms. */
export interface RecallPace {
  /** Duration of one recall. */
  recallDurationMs: number;
  /** Maximum number of recalls in progress. */
  maxConcurrent: number;
  /** Minimum time between the starts of two recalls of one group. */
  gapMs: (group: string) => number;
}

/**
 * Returns the time, in ms of the same clock, at which each recall has to begin, by loan id, the earliest due first.
 * Each recall ends by its due time, and before the one `maxConcurrent` positions later begins; within a group, recalls
 * begin at least the gap apart. Loans without a due time are left out.
 */
export function planRecalls(
  loans: readonly DueLoan[],
  { recallDurationMs, maxConcurrent, gapMs }: RecallPace,
): Map<string, number> {
  const due = loans.filter((loan): loan is DueLoan & { dueMs: number } => loan.dueMs !== null);
  due.sort((a, b) => a.dueMs - b.dueMs || (a.id < b.id ? -1 : 1));
  const startsMs: number[] = [];
  const firstStartOfGroup = new Map<string, number>();
  for (let i = due.length - 1; i >= 0; i--) {
    const { dueMs, group } = due[i]!;
    const nextStartMs = startsMs[i + maxConcurrent] ?? Infinity;
    const nextStartOfGroupMs = firstStartOfGroup.get(group) ?? Infinity;
    startsMs[i] = Math.min(
      Math.min(dueMs, nextStartMs) - recallDurationMs,
      nextStartOfGroupMs - gapMs(group),
    );
    firstStartOfGroup.set(group, startsMs[i]!);
  }
  return new Map(due.map(({ id }, i) => [id, startsMs[i]!]));
}
