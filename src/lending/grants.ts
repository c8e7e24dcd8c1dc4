/** Granting: the loan is stored before the lender is told to stop. */

import type {
  AttemptView,
  Preemption,
  PreemptionRules,
  PreemptionVictim,
  LiveJobView,
  TermView,
} from '../subsystems/subsystem.js';
import { attemptKey } from '../workers/attempt.js';
import type { LendingConfig } from './declaration.js';
import type { EstimateErrors } from './estimate-errors.js';
import { lenderWork } from './lender-work.js';
import { loanBytes, loanId, type LentTask, type Loan } from './loan.js';
import type { LoanEntry, LoanTable } from './loan-table.js';
import { assessLoan, type LoanAssessment } from './loan-safety.js';
import type { ReturnTimes } from './return-times.js';

/** Report intervals within which a grant has to be stored; then capacity is made without a promise. */
const STORE_TIMEOUT_HEARTBEATS = 1;

/** An preemption whose loans are on their way into the store. */
interface PendingGrant {
  preemption: Preemption;
  loans: LoanEntry[];
  /** Attempts that are about to be stopped, by key. */
  attempts: ReadonlySet<string>;
  since: number;
}

/** What `Grants` work with. */
export interface GrantOptions {
  view: TermView;
  table: LoanTable;
  config: LendingConfig;
  errors: EstimateErrors;
  returnTimes: ReturnTimes;
}

/** Weighs whom to preempt for a service, and stores loans before anybody is told to stop. */
export class Grants implements PreemptionRules {
  private pending: PendingGrant[] = [];
  /** Preemptions of services by which capacity was made without any promise. */
  preemptionsWithoutLoan = 0;

  constructor(private readonly options: GrantOptions) {}

  /** See `PreemptionRules.harm`. */
  extraCost(borrower: LiveJobView, victim: PreemptionVictim, saves: boolean): number {
    if (!isLoanable(borrower, victim)) return 0;
    const assessment = this.assess(victim, saves);
    return assessment.safe ? assessment.cost : 1;
  }

  private assess(victim: PreemptionVictim, saves: boolean): LoanAssessment {
    const { table } = this.options;
    const { job, attempt } = victim;
    const open = table.openLoanOf(job.spec.id, attempt.index);
    const loanOfAttempt = table.get(loanIdOf(victim));
    const lending =
      (loanOfAttempt !== undefined && !isNotYetLent(loanOfAttempt)) ||
      (open !== undefined && open !== loanOfAttempt);
    const history = { lending, lentAtMs: table.lastGrantedAtMs(job.spec.id) };
    return assessLoan(lenderWork(victim, saves, history, this.options));
  }

  /** See `PreemptionRules.isStopping`. */
  isStopping({ job, index, number, state }: AttemptView): boolean {
    const key = attemptKey(job, index, number);
    if (this.pending.some(({ attempts }) => attempts.has(key))) return true;
    // Told by an earlier leader.
    return state === 'saving' && this.options.table.openLoanOf(job, index) !== undefined;
  }

  /** Where not all victims may lend, the capacity is made at once and nothing is promised. */
  takesOver(preemption: Preemption): boolean {
    const { borrower, victims } = preemption;
    if (!victims.every((victim) => isLoanable(borrower, victim))) return false;
    const loans = this.loansOf(preemption);
    if (loans === null) {
      this.preemptionsWithoutLoan++;
      return false;
    }
    const entries = loans.map((loan) => this.addOrRegrant(loan));
    const attempts = new Set(loans.flatMap(attemptKeys));
    const since = this.options.view.now();
    this.pending.push({ preemption, loans: entries, attempts, since });
    this.carryOutStored();
    this.options.view.wakeWriter();
    return true;
  }

  /** One loan for each lender; null: one of them may not lend. */
  private loansOf(preemption: Preemption): Loan[] | null {
    const { view, table, config } = this.options;
    const byId = new Map<string, Loan>();
    for (const victim of preemption.victims) {
      const assessment = this.assess(victim, preemption.saves);
      if (!assessment.safe) return null;
      const loan = makeLoan(victim, preemption, view.timeOfDay.nowMs(), assessment.latestReturnS);
      byId.set(loanId(loan), loan);
    }
    const loans = [...byId.values()];
    const open = [...table.open()].length;
    if (open + loans.length > config.maxOpen) return null;
    const maxBytes = view.settings.state.value_kb * 1024;
    if (loans.some((loan) => loanBytes(loan) > maxBytes)) return null;
    return this.hasUnlentGpus(preemption.machine, loans) ? loans : null;
  }

  /** No GPU may be named by two open loans. */
  private hasUnlentGpus(machine: string, loans: readonly Loan[]): boolean {
    const { view, table } = this.options;
    const machineGpus = view.machineTypes().get(view.machine(machine)?.type ?? '')?.gpus ?? 0;
    const newLoans = loans.filter((loan) => table.get(loanId(loan)) === undefined);
    const gpus = newLoans.reduce((sum, loan) => sum + loan.gpus, table.lentGpus(machine));
    return gpus <= machineGpus + 1e-6;
  }

  /**
   * A new loan, or the one that an earlier term stored and did not carry out. One that is being granted stays
   * as it is: both machines of a gang were once wanted in one scheduling cycle, and its loan named the second borrower
   * with the first one's machine.
   */
  private addOrRegrant(loan: Loan): LoanEntry {
    const { table } = this.options;
    const known = table.get(loanId(loan));
    if (known === undefined) return table.add(loan);
    const { borrower, reason } = loan;
    if (!this.isPending(known) && known.current.borrower !== borrower) {
      table.apply(known, { kind: 'granted-again', borrower, reason });
    }
    return known;
  }

  /** Stops the lenders whose loans are all stored. */
  carryOutStored(): void {
    const { table } = this.options;
    this.carryOutReady(({ loans }) => loans.every((loan) => table.isStored(loan)));
  }

  /**
   * What could not be stored in time is carried out without a promise: critical work gets what it would
   * without lending. A record that the store takes after all is a loan like any other.
   */
  carryOutOverdue(): void {
    const { view } = this.options;
    const maxWaitS = view.settings.workers.report_s * STORE_TIMEOUT_HEARTBEATS;
    const isOverdue = ({ since }: PendingGrant): boolean => view.now() - since > maxWaitS;
    const loans = this.pending.filter(isOverdue).flatMap((pending) => pending.loans);
    this.preemptionsWithoutLoan += this.carryOutReady(isOverdue);
    // What the store will not take is not offered to it for ever.
    for (const loan of loans) if (loan.stored === null) this.options.table.dropUnstored(loan);
  }

  /** Carries out the preemptions that are ready. Returns how many. */
  private carryOutReady(isReady: (pending: PendingGrant) => boolean): number {
    const ready = this.pending.filter(isReady);
    if (ready.length === 0) return 0;
    this.pending = this.pending.filter((pending) => !ready.includes(pending));
    for (const { preemption, loans } of ready) {
      if (preemption.carryOut()) continue;
      for (const loan of loans) this.cancelGrant(loan);
    }
    return ready.length;
  }

  private cancelGrant(loan: LoanEntry): void {
    if (loan.current.state !== 'requested') return;
    this.options.table.apply(loan, { kind: 'cancelled', reason: 'the borrower needs it no more' });
  }

  /** Whether a loan is on its way into the store or about to be carried out. */
  isPending(entry: LoanEntry): boolean {
    return this.pending.some(({ loans }) => loans.includes(entry));
  }
}

/** Serving borrows from finite work. Anything else that makes capacity does so without a loan. */
const isLoanable = (borrower: LiveJobView, { job }: PreemptionVictim): boolean =>
  borrower.spec.kind === 'service' && job.spec.kind !== 'service';

/** A loan whose lender may not have been told, and runs. */
const isNotYetLent = ({ current: { state } }: LoanEntry): boolean =>
  state === 'requested' || state === 'saving';

/** A gang lends whole. */
function lentTasks({ job, attempt }: PreemptionVictim): LentTask[] {
  const attempts = job.isGang ? [...job.attemptsByTask.values()].flat() : [attempt];
  const same = attempts.filter((each) => each.number === attempt.number);
  return same
    .map(({ index, number, machine }) => ({ index, attempt: number, machine }))
    .sort((a, b) => a.index - b.index);
}

const loanIdOf = (victim: PreemptionVictim): string =>
  loanId({ lender: victim.job.spec.id, tasks: lentTasks(victim) });

const attemptKeys = ({ lender, tasks }: Loan): string[] =>
  tasks.map(({ index, attempt }) => attemptKey(lender, index, attempt));

function makeLoan(
  victim: PreemptionVictim,
  { machine, borrower }: Preemption,
  nowMs: number,
  latestReturnS: number,
): Loan {
  const { spec } = victim.job;
  const tasks = lentTasks(victim);
  const tasksOnMachine = tasks.filter((task) => task.machine === machine).length;
  return {
    lender: spec.id,
    tasks,
    borrower: borrower.spec.id,
    machine,
    gpus: spec.gpus * tasksOnMachine,
    state: 'requested',
    dueMs: latestReturnS === Infinity ? null : Math.round(nowMs + latestReturnS * 1000),
    grantedMs: nowMs,
    changedMs: nowMs,
    used: false,
    reason: `${borrower.spec.class} has no place`,
  };
}
