/** Follows open loans: what has become of them, what has to come back, and how. */

import type { TermView } from '../subsystems/subsystem.js';
import type { LendingConfig } from './declaration.js';
import type { Grants } from './grants.js';
import { isAtLimit } from './lender-work.js';
import { isAway, type Loan } from './loan.js';
import { replicasOnMachine, observeLoan, type LoanEvidence } from './loan-evidence.js';
import { nextEvent } from './loan-steps.js';
import type { LoanEntry, LoanTable } from './loan-table.js';
import type { LoanClock } from './loan-times.js';
import { planRecalls } from './recall-plan.js';
import type { ReturnTimes } from './return-times.js';

/** A lender that a term sees running so long was never told by anybody. */
const NOT_STOPPED_LEASES = 1;
/** Saving may take so much longer than its job says, and so many leases more. */
const SAVE_FACTOR = 1.5;
const SAVE_GRACE_LEASES = 0.5;
/** Replicas of a class move one after the other: so many leases more are given to find a way back. */
const RETURN_GRACE_LEASES = 4;
/** Of the time for a recall, what passes before places without the image are taken. */
const FETCH_ALLOWED_SHARE = 0.5;

/** What a `LoanMonitor` works with. */
export interface LoanMonitorOptions {
  view: TermView;
  table: LoanTable;
  grants: Grants;
  returnTimes: ReturnTimes;
  config: LendingConfig;
  clock: LoanClock;
}

/** The gap in ms between two moves of replicas of a class; each is looked up once. */
function migrationGaps(view: TermView): (jobClass: string) => number {
  const gapsByClass = new Map<string, number>();
  return (jobClass) => {
    const gapMs = gapsByClass.get(jobClass) ?? view.migrationGapS(jobClass) * 1000;
    gapsByClass.set(jobClass, gapMs);
    return gapMs;
  };
}

/** Carries open loans on by what is seen of both sides. */
export class LoanMonitor {
  private readonly startedAt: number;
  /** Since when this leader has been able to bring something back, in seconds of the steady clock. */
  private canActSince: number;

  constructor(private readonly options: LoanMonitorOptions) {
    this.startedAt = options.view.now();
    this.canActSince = this.startedAt;
  }

  /** Nothing can be stored: nothing is decided. */
  recordOutage(): void {
    this.canActSince = this.options.view.now();
  }

  /** One round over all open loans. */
  update(): void {
    const { table, view, config, returnTimes, clock } = this.options;
    const awayLoans = [...table.open()].filter(({ current }) => isAway(current));
    const dueLoans = awayLoans.map(({ id, current }) => {
      const { borrower } = current;
      const { dueAt } = clock.timesOf(current);
      const dueMs = dueAt === null ? null : dueAt * 1000;
      return { id, dueMs, group: view.spec(borrower)?.class ?? borrower };
    });
    const recallStarts = planRecalls(dueLoans, {
      recallDurationMs: returnTimes.recallDurationS * 1000,
      maxConcurrent: config.recallsAtOnce,
      gapMs: migrationGaps(view),
    });
    const free = new Map(view.freeCapacities().map(({ id, gpus }) => [id, gpus]));
    let activeRecalls = awayLoans.filter(({ current }) => current.state === 'recalled').length;
    for (const entry of [...table.open()]) {
      const recallStartMs = recallStarts.get(entry.id) ?? Infinity;
      const isDue = view.now() * 1000 >= recallStartMs && activeRecalls < config.recallsAtOnce;
      const freeGpus = free.get(entry.current.machine) ?? 0;
      if (this.advance(entry, isDue, freeGpus) === 'recalled') activeRecalls++;
    }
  }

  /** Carries one loan on. Returns its new state, null where it has not changed. */
  private advance(entry: LoanEntry, isDue: boolean, freeGpus: number): Loan['state'] | null {
    const { table, view, grants } = this.options;
    if (grants.isPending(entry)) return null;
    const before = entry.current;
    const event = nextEvent(before, this.evidence(entry, isDue, freeGpus));
    if (event !== null) {
      this.recordReturnTime(before, event.kind);
      table.apply(entry, event);
      view.wakeWriter();
    }
    if (entry.current.state === 'saving') this.endOverdueSaving(entry.current);
    // A successor has to find a recall whose replica it sees moving.
    if (entry.stored?.state === 'recalled') this.migrateBorrower(entry.stored);
    return entry.current.state === before.state ? null : entry.current.state;
  }

  private evidence(entry: LoanEntry, isDue: boolean, freeGpus: number): LoanEvidence {
    const loan = entry.current;
    const { view, clock } = this.options;
    const observed = observeLoan(loan, view, freeGpus);
    const { latestDueAt } = clock.timesOf(loan);
    return {
      ...observed,
      recallReason: this.recallReason(loan, isDue),
      brokenReason: this.brokenReason(loan, observed),
      lateS: latestDueAt === null ? 0 : Math.max(0, view.now() - latestDueAt),
      notCarriedOutReason: this.notCarriedOutReason(),
    };
  }

  /** A team's guarantee comes before any due time. */
  private recallReason(loan: Loan, isDue: boolean): string | null {
    if (this.options.view.job(loan.lender)?.isGuaranteed === true) {
      return 'the lender is within its guarantee';
    }
    return isDue ? 'the latest return comes near' : null;
  }

  /**
   * A promise is given up only after a leader could act for as long as a way back takes, and found none:
   * what is late but possible still comes back. Given up at the due time, a lender that several leaders in
   * a row had no time for, or an outage, was without its place for good.
   */
  private brokenReason(loan: Loan, observed: Pick<LoanEvidence, 'borrower'>): string | null {
    const { view, returnTimes, clock } = this.options;
    const { latestDueAt } = clock.timesOf(loan);
    if (latestDueAt === null) return null;
    const graceS =
      returnTimes.recallDurationS + view.settings.workers.lease_s * RETURN_GRACE_LEASES;
    if (view.now() <= Math.max(latestDueAt, this.canActSince) + graceS) return null;
    if (isAtLimit(loan, view)) return "the lender's team is at its limit";
    if (observed.borrower === 'away')
      return 'the lender has no place, though the borrower has left';
    return 'no free place for the lender or the borrower';
  }

  private notCarriedOutReason(): string | null {
    const { view } = this.options;
    const runS = view.now() - this.startedAt;
    return runS > view.settings.workers.lease_s * NOT_STOPPED_LEASES ? 'never carried out' : null;
  }

  private recordReturnTime(loan: Loan, kind: string): void {
    if (loan.state !== 'recalled' || (kind !== 'returned' && kind !== 'resumed')) return;
    const { view, returnTimes, clock } = this.options;
    const { changedAt, changedInThisTerm } = clock.timesOf(loan);
    if (changedInThisTerm) returnTimes.record(view.now() - changedAt);
  }

  /** A lender whose saving never ends does not keep the borrower waiting for ever. */
  private endOverdueSaving(loan: Loan): void {
    const { view, clock } = this.options;
    const job = view.job(loan.lender);
    if (job === undefined) return;
    const maxSavingS =
      job.spec.saveS * SAVE_FACTOR + view.settings.workers.lease_s * SAVE_GRACE_LEASES;
    if (view.now() - clock.timesOf(loan).changedAt <= maxSavingS) return;
    for (const { index, attempt } of loan.tasks) {
      const overdue = job.attemptsByTask.get(index)?.find((each) => each.number === attempt);
      if (overdue !== undefined) view.endStopped(overdue);
    }
  }

  /**
   * A lender with a place elsewhere needs nothing: a machine was added for it, or others have left. Else
   * the borrower's replica is moved, where that has a free place with its image and others answer.
   */
  private migrateBorrower(loan: Loan): void {
    const { view } = this.options;
    if (isAtLimit(loan, view)) return;
    const attempts = replicasOnMachine(loan, view);
    if (attempts.some((attempt) => attempt.stopRequest !== null)) return;
    for (const { job, index } of attempts) {
      // What a service misses elsewhere it would take back here: it is the more important of the two.
      if (view.job(job)?.pendingTaskCount !== 0) continue;
      const migration = { job, index, from: loan.machine, mayFetch: this.mayFetchImage(loan) };
      if (view.migrateReplica(migration)) return;
    }
  }

  /**
   * Half of the time for the recall is over: a place where the image has to be fetched will do too. A new
   * leader often does not know what idle machines have cached.
   */
  private mayFetchImage(loan: Loan): boolean {
    const { view, clock, returnTimes } = this.options;
    const { dueAt, changedAt } = clock.timesOf(loan);
    const deadlineAt = dueAt ?? changedAt + returnTimes.recallDurationS;
    return view.now() >= changedAt + (deadlineAt - changedAt) * FETCH_ALLOWED_SHARE;
  }
}
