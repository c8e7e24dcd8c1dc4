/** Follows open loans: what has become of them, what has to come back, and how. */

import type { TermView } from '../subsystems/subsystem.js';
import type { LendingConfig } from './declaration.js';
import type { Grants } from './grants.js';
import { isAtLimit } from './lender-work.js';
import { isAway, type Loan } from './loan.js';
import { replicasThere, observeLoan, type LoanEvidence } from './loan-evidence.js';
import { nextEvent } from './loan-steps.js';
import type { LoanEntry, LoanTable } from './loan-table.js';
import type { LoanClock } from './loan-times.js';
import { planRecalls } from './recall-plan.js';
import type { ReturnTimes } from './return-times.js';

/** A lender that a term sees running so long was never told by anybody. */
const UNTOLD_LEASES = 1;
/** Saving may take so much longer than its job says, and so many leases more. */
const SAVE_FACTOR = 1.5;
const SAVE_LEASES = 0.5;
/** Replicas of a class move one after the other: so many leases more are given to find a way back. */
const GRACE_LEASES = 4;
/** Of the time for a recall, what passes before places without the image are taken. */
const PRESSING_SHARE = 0.5;

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
function moveGaps(view: TermView): (jobClass: string) => number {
  const known = new Map<string, number>();
  return (jobClass) => {
    const gapMs = known.get(jobClass) ?? view.migrationGapS(jobClass) * 1000;
    known.set(jobClass, gapMs);
    return gapMs;
  };
}

/** Carries open loans on by what is seen of both sides. */
export class LoanMonitor {
  private readonly startedAt: number;
  /** Since when this leader has been able to bring something back, in seconds of the steady clock. */
  private ableFrom: number;

  constructor(private readonly options: LoanMonitorOptions) {
    this.startedAt = options.view.now();
    this.ableFrom = this.startedAt;
  }

  /** Nothing can be stored: nothing is decided. */
  noteOutage(): void {
    this.ableFrom = this.options.view.now();
  }

  /** One round over all open loans. */
  update(): void {
    const { table, view, config, returnTimes, clock } = this.options;
    const away = [...table.open()].filter(({ current }) => isAway(current));
    const due = away.map(({ id, current }) => {
      const { borrower } = current;
      const { dueAt } = clock.of(current);
      const dueMs = dueAt === null ? null : dueAt * 1000;
      return { id, dueMs, group: view.spec(borrower)?.class ?? borrower };
    });
    const begins = planRecalls(due, {
      wayBackMs: returnTimes.seconds * 1000,
      atOnce: config.recallsAtOnce,
      gapMs: moveGaps(view),
    });
    const free = new Map(view.freeCapacities().map(({ id, gpus }) => [id, gpus]));
    let underWay = away.filter(({ current }) => current.state === 'recalled').length;
    for (const entry of [...table.open()]) {
      const begin = begins.get(entry.id) ?? Infinity;
      const isDue = view.now() * 1000 >= begin && underWay < config.recallsAtOnce;
      const freeGpus = free.get(entry.current.machine) ?? 0;
      if (this.step(entry, isDue, freeGpus) === 'recalled') underWay++;
    }
  }

  /** Carries one loan on. Returns its new state, null where it has not changed. */
  private step(entry: LoanEntry, isDue: boolean, freeGpus: number): Loan['state'] | null {
    const { table, view, grants } = this.options;
    if (grants.isPending(entry)) return null;
    const before = entry.current;
    const event = nextEvent(before, this.evidence(entry, isDue, freeGpus));
    if (event !== null) {
      this.recordReturnTime(before, event.kind);
      table.apply(entry, event);
      view.wakeWriter();
    }
    if (entry.current.state === 'saving') this.endSaving(entry.current);
    // A successor has to find a recall whose replica it sees moving.
    if (entry.stored?.state === 'recalled') this.startReturn(entry.stored);
    return entry.current.state === before.state ? null : entry.current.state;
  }

  private evidence(entry: LoanEntry, isDue: boolean, freeGpus: number): LoanEvidence {
    const loan = entry.current;
    const { view, clock } = this.options;
    const seen = observeLoan(loan, view, freeGpus);
    const { lateFrom } = clock.of(loan);
    return {
      ...seen,
      recall: this.recallReason(loan, isDue),
      broken: this.brokenReason(loan, seen),
      lateS: lateFrom === null ? 0 : Math.max(0, view.now() - lateFrom),
      notCarriedOut: this.untoldReason(),
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
  private brokenReason(loan: Loan, seen: Pick<LoanEvidence, 'borrower'>): string | null {
    const { view, returnTimes, clock } = this.options;
    const { lateFrom } = clock.of(loan);
    if (lateFrom === null) return null;
    const graceS = returnTimes.seconds + view.settings.workers.lease_s * GRACE_LEASES;
    if (view.now() <= Math.max(lateFrom, this.ableFrom) + graceS) return null;
    if (isAtLimit(loan, view)) return "the lender's team is at its limit";
    if (seen.borrower === 'away') return 'the lender has no place, though the borrower has left';
    return 'no free place for the lender or the borrower';
  }

  private untoldReason(): string | null {
    const { view } = this.options;
    const runS = view.now() - this.startedAt;
    return runS > view.settings.workers.lease_s * UNTOLD_LEASES ? 'never carried out' : null;
  }

  private recordReturnTime(loan: Loan, kind: string): void {
    if (loan.state !== 'recalled' || (kind !== 'returned' && kind !== 'resumed')) return;
    const { view, returnTimes, clock } = this.options;
    const { changedAt, isOwnChange } = clock.of(loan);
    if (isOwnChange) returnTimes.record(view.now() - changedAt);
  }

  /** A lender whose saving never ends does not keep the borrower waiting for ever. */
  private endSaving(loan: Loan): void {
    const { view, clock } = this.options;
    const job = view.job(loan.lender);
    if (job === undefined) return;
    const mostS = job.spec.saveS * SAVE_FACTOR + view.settings.workers.lease_s * SAVE_LEASES;
    if (view.now() - clock.of(loan).changedAt <= mostS) return;
    for (const { index, attempt } of loan.tasks) {
      const late = job.attemptsByTask.get(index)?.find((each) => each.number === attempt);
      if (late !== undefined) view.endStopped(late);
    }
  }

  /**
   * A lender with a place elsewhere needs nothing: a machine was added for it, or others have left. Else
   * the borrower's replica is moved, where that has a free place with its image and others answer.
   */
  private startReturn(loan: Loan): void {
    const { view } = this.options;
    if (isAtLimit(loan, view)) return;
    const attempts = replicasThere(loan, view);
    if (attempts.some((attempt) => attempt.stopRequest !== null)) return;
    for (const { job, index } of attempts) {
      // What a service misses elsewhere it would take back here: it is the more important of the two.
      if (view.job(job)?.pendingTaskCount !== 0) continue;
      const move = { job, index, from: loan.machine, mayFetch: this.isPressing(loan) };
      if (view.migrateReplica(move)) return;
    }
  }

  /**
   * Half of the time for the recall is over: a place where the image has to be fetched will do too. A new
   * leader often does not know what idle machines have cached.
   */
  private isPressing(loan: Loan): boolean {
    const { view, clock, returnTimes } = this.options;
    const { dueAt, changedAt } = clock.of(loan);
    const until = dueAt ?? changedAt + returnTimes.seconds;
    return view.now() >= changedAt + (until - changedAt) * PRESSING_SHARE;
  }
}
