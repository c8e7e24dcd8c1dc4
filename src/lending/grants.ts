/** Grants loans: a loan is stored before its lender is stopped. */

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

/** Heartbeat intervals within which a grant has to be stored; after that, the lender is preempted without a loan. */
const STORE_TIMEOUT_HEARTBEATS = 1;

/** A preemption whose loans are being stored. */
interface PendingGrant {
  preemption: Preemption;
  loans: LoanEntry[];
  /** Attempts that are about to be stopped, by key. */
  attempts: ReadonlySet<string>;
  since: number;
}

/** What `Grants` depends on. */
export interface GrantOptions {
  view: TermView;
  table: LoanTable;
  config: LendingConfig;
  errors: EstimateErrors;
  returnTimes: ReturnTimes;
}

/** Rates possible lenders for a service, and stores their loans before they are stopped. */
export class Grants implements PreemptionRules {
  private pending: PendingGrant[] = [];
  /** Preemptions for services that were carried out without a loan. */
  preemptionsWithoutLoan = 0;

  constructor(private readonly options: GrantOptions) {}

  /** See `PreemptionRules.extraCost`. */
  extraCost(borrower: LiveJobView, victim: PreemptionVictim, allowsSaving: boolean): number {
    if (!isLoanable(borrower, victim)) return 0;
    const assessment = this.assess(victim, allowsSaving);
    return assessment.safe ? assessment.cost : 1;
  }

  private assess(victim: PreemptionVictim, allowsSaving: boolean): LoanAssessment {
    const { table } = this.options;
    const { job, attempt } = victim;
    const open = table.openLoanOf(job.spec.id, attempt.index);
    const loanOfAttempt = table.get(loanIdOf(victim));
    const hasOpenLoan =
      (loanOfAttempt !== undefined && !isNotYetLent(loanOfAttempt)) ||
      (open !== undefined && open !== loanOfAttempt);
    const history = { hasOpenLoan, lentAtMs: table.lastGrantedAtMs(job.spec.id) };
    return assessLoan(lenderWork(victim, allowsSaving, history, this.options));
  }

  /** See `PreemptionRules.isStopping`. */
  isStopping({ job, index, number, state }: AttemptView): boolean {
    const key = attemptKey(job, index, number);
    if (this.pending.some(({ attempts }) => attempts.has(key))) return true;
    // An earlier leader has sent the stop command.
    return state === 'saving' && this.options.table.openLoanOf(job, index) !== undefined;
  }

  /** Unless all victims may lend, the preemption is carried out at once without a loan. */
  takesOver(preemption: Preemption): boolean {
    const { preemptingJob: borrower, victims } = preemption;
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

  /** One loan for each lender; null: one of them may not lend, or a limit is reached. */
  private loansOf(preemption: Preemption): Loan[] | null {
    const { view, table, config } = this.options;
    const byId = new Map<string, Loan>();
    for (const victim of preemption.victims) {
      const assessment = this.assess(victim, preemption.allowsSaving);
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

  /** Whether the machine has enough GPUs that no other open loan names. */
  private hasUnlentGpus(machine: string, loans: readonly Loan[]): boolean {
    const { view, table } = this.options;
    const machineGpus = view.machineTypes().get(view.machine(machine)?.type ?? '')?.gpus ?? 0;
    const newLoans = loans.filter((loan) => table.get(loanId(loan)) === undefined);
    const gpus = newLoans.reduce((sum, loan) => sum + loan.gpus, table.lentGpus(machine));
    return gpus <= machineGpus + 1e-6;
  }

  /**
   * Adds a new loan, or grants the one again that an earlier term stored and did not carry out. A loan whose grant is
   * pending is not changed: if two borrowers take both machines of a gang in one scheduling cycle, its loan would
   * name the second borrower with the machine of the first.
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

  /** Carries out the preemptions whose loans are all stored. */
  carryOutStored(): void {
    const { table } = this.options;
    this.carryOutReady(({ loans }) => loans.every((loan) => table.isStored(loan)));
  }

  /**
   * Carries out preemptions without a loan where the loans could not be stored in time: critical work must not wait
   * longer than without lending. If the store has accepted such a record after all, it is an ordinary loan.
   */
  carryOutOverdue(): void {
    const { view } = this.options;
    const maxWaitS = view.settings.workers.report_s * STORE_TIMEOUT_HEARTBEATS;
    const isOverdue = ({ since }: PendingGrant): boolean => view.now() - since > maxWaitS;
    const loans = this.pending.filter(isOverdue).flatMap((pending) => pending.loans);
    this.preemptionsWithoutLoan += this.carryOutReady(isOverdue);
    // Loans that the store does not accept are not retried forever.
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

  /** Whether a loan is being stored as part of a grant, or its preemption is about to be carried out. */
  isPending(entry: LoanEntry): boolean {
    return this.pending.some(({ loans }) => loans.includes(entry));
  }
}

/** Only services borrow, and only from finite jobs. All other preemptions are made without a loan. */
const isLoanable = (borrower: LiveJobView, { job }: PreemptionVictim): boolean =>
  borrower.spec.kind === 'service' && job.spec.kind !== 'service';

/** Whether the lender may still be on its machine. */
const isNotYetLent = ({ current: { state } }: LoanEntry): boolean =>
  state === 'requested' || state === 'saving';

/** All tasks of a gang are lent together. */
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
  { machine, preemptingJob: borrower }: Preemption,
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
