/** Monitors open loans: updates their states, recalls those that are due, and migrates the borrowers. */

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

/** If a lender still runs this many leases after the start of a term, no leader has sent it a stop command. */
const NOT_STOPPED_LEASES = 1;
/** Saving may take this multiple of the time that the job declares, and this many leases more. */
const SAVE_FACTOR = 1.5;
const SAVE_GRACE_LEASES = 0.5;
/** Leases, besides the duration of a recall, before a return is waived: replicas of a class migrate one by one. */
const RETURN_GRACE_LEASES = 4;
/** Share of the time for a recall after which machines without the image are accepted. */
const FETCH_ALLOWED_SHARE = 0.5;

/** What a `LoanMonitor` depends on. */
export interface LoanMonitorOptions {
  view: TermView;
  table: LoanTable;
  grants: Grants;
  returnTimes: ReturnTimes;
  config: LendingConfig;
  clock: LoanClock;
}

/** Looks up the gap in ms between two migrations of replicas of a class, once for each class. */
function migrationGaps(view: TermView): (jobClass: string) => number {
  const gapsByClass = new Map<string, number>();
  return (jobClass) => {
    const gapMs = gapsByClass.get(jobClass) ?? view.migrationGapS(jobClass) * 1000;
    gapsByClass.set(jobClass, gapMs);
    return gapMs;
  };
}

/** Advances open loans by what is observed of their lenders and borrowers. */
export class LoanMonitor {
  private readonly startedAt: number;
  /** Since when this leader has been able to recall loans, in seconds of the steady clock. */
  private canActSince: number;

  constructor(private readonly options: LoanMonitorOptions) {
    this.startedAt = options.view.now();
    this.canActSince = this.startedAt;
  }

  /** Nothing can be stored, so no loan can be recalled. */
  recordOutage(): void {
    this.canActSince = this.options.view.now();
  }

  /** Processes all open loans once. */
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

  /** Advances one loan. Returns its new state; null: it has not changed. */
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
    // Only a stored recall: a successor that sees the replica migrate has to find the recall in the store.
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

  /** A team's guarantee takes precedence over the due time. */
  private recallReason(loan: Loan, isDue: boolean): string | null {
    if (this.options.view.job(loan.lender)?.isGuaranteed === true) {
      return 'the lender is within its guarantee';
    }
    return isDue ? 'the latest return comes near' : null;
  }

  /**
   * A return is waived only if this leader has been able to act since the due time for the duration of a recall plus
   * a grace period: a late return is better than none. When returns were waived at the due time, a lender lost its
   * place permanently after an outage, or after several leaders that each ended before they could recall the loan.
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

  /** Ends attempts whose saving takes too long, so that the borrower does not wait forever. */
  private endOverdueSaving(loan: Loan): void {
    const { view, clock } = this.options;
    const job = view.job(loan.lender);
    if (job === undefined) return;
    const maxSavingS =
      job.spec.saveS * SAVE_FACTOR + view.settings.workers.lease_s * SAVE_GRACE_LEASES;
    if (view.now() - clock.timesOf(loan).changedAt <= maxSavingS) return;
    for (const { index, attempt } of loan.tasks) {
      const overdue = job.attemptsByTask.get(index)?.find((each) => each.number === attempt);
      if (overdue !== undefined) view.endStoppingAttempt(overdue);
    }
  }

  /**
   * Migrates a replica off the machine of a recalled loan, if there is a free place for it (see `mayFetchImage`) and
   * other replicas of its service run meanwhile. Not needed for a lender that has a place elsewhere: its loan is
   * `returned` by then.
   */
  private migrateBorrower(loan: Loan): void {
    const { view } = this.options;
    if (isAtLimit(loan, view)) return;
    const attempts = replicasOnMachine(loan, view);
    if (attempts.some((attempt) => attempt.stopRequest !== null)) return;
    for (const { job, index } of attempts) {
      // A service with pending tasks would take these GPUs again: its priority is higher than the lender's.
      if (view.job(job)?.pendingTaskCount !== 0) continue;
      const migration = { job, index, from: loan.machine, mayFetch: this.mayFetchImage(loan) };
      if (view.migrateReplica(migration)) return;
    }
  }

  /**
   * Once half of the time for the recall has passed, a machine that has to fetch the image is accepted too. A new
   * leader often does not know which images idle machines have cached.
   */
  private mayFetchImage(loan: Loan): boolean {
    const { view, clock, returnTimes } = this.options;
    const { dueAt, changedAt } = clock.timesOf(loan);
    const deadlineAt = dueAt ?? changedAt + returnTimes.recallDurationS;
    return view.now() >= changedAt + (deadlineAt - changedAt) * FETCH_ALLOWED_SHARE;
  }
}
