/** Lending in one term of leadership. */

import type { JobSpec } from '../jobs/types.js';
import type { FreeCapacity } from '../scheduler/bin-packing.js';
import type {
  PreemptionRules,
  OwnedWrite,
  StoredScaleOutRequest,
  SubsystemTerm,
  TermView,
} from '../subsystems/subsystem.js';
import type { LendingConfig } from './declaration.js';
import { EstimateErrors } from './estimate-errors.js';
import { Grants } from './grants.js';
import { loanId, zeroStateCounts, type Loan } from './loan.js';
import { LoanTable } from './loan-table.js';
import { LoanClock } from './loan-times.js';
import { LoanMonitor } from './loan-monitor.js';
import { ReturnHolds } from './return-holds.js';
import { ReturnTimes } from './return-times.js';

/** Lending in one term of leadership. */
export class LendingTerm implements SubsystemTerm {
  readonly preemption: PreemptionRules;
  private readonly clock: LoanClock;
  private readonly table: LoanTable;
  private readonly errors: EstimateErrors;
  private readonly grants: Grants;
  private readonly monitor: LoanMonitor;
  private readonly holds: ReturnHolds;

  constructor(
    private readonly view: TermView,
    private readonly config: LendingConfig,
  ) {
    this.clock = new LoanClock(view);
    this.errors = new EstimateErrors(config.leastMargin);
    this.table = new LoanTable({
      nowMs: () => view.timeOfDay.nowMs(),
      onStored: () => this.grants.carryOutStored(),
      onChange: (loan, before) => this.onLoanChanged(loan, before),
      onRemoved: (id) => this.clock.forget(id),
    });
    const returnTimes = new ReturnTimes(view);
    const { table, errors, clock } = this;
    this.grants = new Grants({ view, table, config, errors, returnTimes });
    this.monitor = new LoanMonitor({
      view,
      table,
      grants: this.grants,
      returnTimes,
      config,
      clock,
    });
    this.holds = new ReturnHolds(view, table, clock);
    this.preemption = this.grants;
    this.table.reconcile(view.records());
    this.holds.update();
  }

  private onLoanChanged(loan: Loan, before: Loan | null): void {
    this.clock.recordChange(loan, before);
    const { lender, borrower, machine, gpus, state, dueMs, reason } = loan;
    const due = dueMs === null ? null : new Date(dueMs).toISOString();
    const { dueAt } = this.clock.timesOf(loan);
    const steadyS = this.view.now();
    this.view.log.info(
      { loan: loanId(loan), lender, borrower, machine, gpus, state, due, dueAt, steadyS, reason },
      'loan state changed',
    );
  }

  /** While nothing can be stored, no decisions are made. */
  tick(): void {
    if (!this.view.canWrite()) {
      this.monitor.recordOutage();
      return;
    }
    this.table.reconcile(this.view.records());
    this.errors.update(this.view.jobs());
    this.grants.carryOutStored();
    this.grants.carryOutOverdue();
    this.monitor.update();
    this.holds.update();
    this.table.removeEnded(this.config.keepEndedS * 1000);
  }

  /** See `SubsystemTerm.scaleOutRequests`. */
  scaleOutRequests(): StoredScaleOutRequest[] {
    return [];
  }

  /** See `SubsystemTerm.retainsMachine`. */
  retainsMachine(machine: string): boolean {
    return this.holds.retainsMachine(machine);
  }

  /** See `SubsystemTerm.reservedMachines`. */
  reservedMachines(): number {
    return 0;
  }

  /** See `SubsystemTerm.mayUse`. */
  mayUse(spec: JobSpec, capacity: FreeCapacity): boolean {
    return this.holds.mayUse(spec, capacity);
  }

  /** See `SubsystemTerm.preferenceS`. */
  preferenceS(spec: JobSpec, capacity: FreeCapacity): number {
    return this.holds.preferenceS(spec, capacity);
  }

  /** See `SubsystemTerm.dueWrites`. */
  dueWrites(): OwnedWrite[] {
    return this.table.dueWrites();
  }

  /** See `SubsystemTerm.statistics`. */
  statistics(): Record<string, number | string> {
    const states = zeroStateCounts();
    let openGpus = 0;
    for (const { current } of this.table.values()) states[current.state]++;
    for (const { current } of this.table.open()) openGpus += current.gpus;
    const figures: Record<string, number | string> = {};
    for (const [state, count] of Object.entries(states)) figures[`loans_${state}`] = count;
    figures.loans_open_gpus = openGpus;
    figures.loans_without_promise = this.grants.preemptionsWithoutLoan;
    return figures;
  }

  /** See `SubsystemTerm.stop`. */
  stop(): void {
    // Nothing to release: there are no timers and no connections.
  }
}
