/** Follows open loans: what has become of them, what has to come back, and how. */

import type { TermView } from '../subsystems/subsystem.js';
import type { LendingConfig } from './declaration.js';
import type { Grants } from './grants.js';
import { isAway, type Loan } from './loan.js';
import { borrowerAttempts, seenOf, type LoanEvidence } from './loan-evidence.js';
import { nextEvent } from './loan-steps.js';
import type { LoanEntry, LoanTable } from './loan-table.js';
import { planRecalls } from './recall-plan.js';
import type { WayBackTimes } from './way-back.js';

/** A lender that a term sees running so long was never told by anybody. */
const UNTOLD_LEASES = 1;
/** Saving may take so much longer than its job says, and so many leases more. */
const SAVE_FACTOR = 1.5;
const SAVE_LEASES = 0.5;

export interface LoanWatchOptions {
  view: TermView;
  table: LoanTable;
  grants: Grants;
  wayBack: WayBackTimes;
  config: LendingConfig;
}

export class LoanWatch {
  private readonly startedAt: number;
  /** Time of day in ms of the latest moment at which nothing could be stored; null: there was none. */
  private outageMs: number | null = null;

  constructor(private readonly options: LoanWatchOptions) {
    this.startedAt = options.view.now();
  }

  /** Nothing can be stored: nothing is decided. */
  noteOutage(): void {
    this.outageMs = this.options.view.wallMs();
  }

  look(): void {
    const { table, view, config, wayBack } = this.options;
    const away = [...table.open()].filter(({ current }) => isAway(current));
    const due = away.map(({ id, current }) => ({ id, dueMs: current.dueMs }));
    const begins = planRecalls(due, wayBack.seconds * 1000, config.recallsAtOnce);
    let underWay = away.filter(({ current }) => current.state === 'recalled').length;
    for (const entry of [...table.open()]) {
      const begin = begins.get(entry.id) ?? Infinity;
      const isDue = view.wallMs() >= begin && underWay < config.recallsAtOnce;
      if (this.step(entry, isDue) === 'recalled') underWay++;
    }
  }

  /** Carries one loan on. Returns its new state, null where it has not changed. */
  private step(entry: LoanEntry, isDue: boolean): Loan['state'] | null {
    const { table, view, grants } = this.options;
    if (grants.isPending(entry)) return null;
    const before = entry.current;
    const event = nextEvent(before, this.evidence(entry, isDue));
    if (event !== null) {
      this.noteWayBack(before, event.kind);
      table.apply(entry, event);
    }
    if (entry.current.state === 'saving') this.endSaving(entry.current);
    // A successor has to find a recall whose replica it sees moving.
    if (entry.stored?.state === 'recalled') this.bringBack(entry.stored);
    view.nudgeStore();
    return entry.current.state === before.state ? null : entry.current.state;
  }

  private evidence(entry: LoanEntry, isDue: boolean): LoanEvidence {
    const loan = entry.current;
    const seen = seenOf(loan, this.options.view);
    return {
      ...seen,
      recall: this.recallReason(loan, isDue),
      broken: this.brokenReason(loan, seen),
      notCarriedOut: this.untoldReason(),
    };
  }

  /** A team's guarantee comes before any due time. */
  private recallReason(loan: Loan, isDue: boolean): string | null {
    if (this.options.view.job(loan.lender)?.guaranteed === true) {
      return 'the lender is within its guarantee';
    }
    return isDue ? 'the latest return comes near' : null;
  }

  private brokenReason(loan: Loan, seen: Pick<LoanEvidence, 'borrower'>): string | null {
    const { view, wayBack } = this.options;
    if (loan.dueMs === null || view.wallMs() <= loan.dueMs) return null;
    if (this.isOverLimit(loan)) return "the lender's team is at its limit";
    const began = loan.dueMs - wayBack.seconds * 1000;
    if (this.outageMs !== null && this.outageMs >= began) return 'the state service was out';
    if (seen.borrower === 'away') return 'the lender has no place, though the borrower has left';
    return 'no free place for the lender or the borrower';
  }

  private isOverLimit(loan: Loan): boolean {
    const { view } = this.options;
    const spec = view.spec(loan.lender);
    const team = spec === null ? undefined : view.settings.teams.get(spec.team);
    if (spec === null || team === undefined) return false;
    const used = view.usage(spec.team);
    const over = (more: number, now: number, most: number): boolean =>
      most > 0 && now + more > most;
    return over(spec.gpus, used.gpus, team.gpusMax) || over(spec.cores, used.cores, team.coresMax);
  }

  private untoldReason(): string | null {
    const { view } = this.options;
    const runS = view.now() - this.startedAt;
    return runS > view.settings.workers.lease_s * UNTOLD_LEASES ? 'never carried out' : null;
  }

  private noteWayBack(loan: Loan, kind: string): void {
    if (loan.state !== 'recalled' || (kind !== 'returned' && kind !== 'resumed')) return;
    const { view, wayBack } = this.options;
    wayBack.note((view.wallMs() - loan.changedMs) / 1000);
  }

  /** A lender whose saving never ends does not keep the borrower waiting for ever. */
  private endSaving(loan: Loan): void {
    const { view } = this.options;
    const job = view.job(loan.lender);
    if (job === undefined) return;
    const mostS = job.spec.saveS * SAVE_FACTOR + view.settings.workers.lease_s * SAVE_LEASES;
    if ((view.wallMs() - loan.changedMs) / 1000 <= mostS) return;
    for (const { index, attempt } of loan.tasks) {
      const late = job.live.get(index)?.find((a) => a.number === attempt);
      if (late !== undefined) view.endStopped(late);
    }
  }

  /**
   * A lender with a place elsewhere needs nothing: a machine was rented for it, or others have left. Else
   * the borrower's replica is moved, where that has a free place with its image and others answer.
   */
  private bringBack(loan: Loan): void {
    const { view } = this.options;
    // What the borrower misses elsewhere it would take back here: it is the more important of the two.
    if (this.isOverLimit(loan) || view.job(loan.borrower)?.pendingCount !== 0) return;
    const attempts = borrowerAttempts(loan, view);
    if (attempts.some((a) => a.stop !== null)) return;
    for (const { index } of attempts) {
      if (view.moveReplica(loan.borrower, index, loan.machine)) return;
    }
  }
}
