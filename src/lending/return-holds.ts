/** Capacity that came back for a lender is not taken by work that is no more important. */

import { fits, type JobSpec } from '../jobs/types.js';
import { isAllowedOn, type FreeCapacity } from '../scheduler/bin-packing.js';
import type { TermView } from '../subsystems/subsystem.js';
import type { Loan } from './loan.js';
import { isAtLimit } from './lender-work.js';
import { replicasOnMachine } from './loan-evidence.js';
import type { LoanTable } from './loan-table.js';
import type { LoanClock } from './loan-times.js';

/** What came back is kept for so long, so that a lender that may not start keeps nobody from it. */
const HOLD_LEASES = 2;
/** A borrower goes where it was asked to leave only if that saves it so many leases. */
const AVOID_LEASES = 100;

interface Hold {
  lender: string;
  borrower: string;
  priority: number;
  gpus: number;
}

/** Capacity that came back is kept for the lender whose it was. */
export class ReturnHolds {
  private byMachine = new Map<string, Hold[]>();
  /** Replicas that have to leave what was recalled. */
  private recalledBorrowers: JobSpec[] = [];

  constructor(
    private readonly view: TermView,
    private readonly table: LoanTable,
    private readonly clock: LoanClock,
  ) {}

  /** Looks again which loans hold capacity. */
  update(): void {
    this.byMachine = new Map();
    this.recalledBorrowers = [];
    for (const { current } of this.table.open()) {
      const job = this.view.job(current.lender);
      if (current.state === 'recalled') this.addRecalledBorrowers(current);
      if (job === undefined || !this.isHolding(current)) continue;
      const { lender, borrower, gpus } = current;
      const hold = { lender, borrower, priority: job.spec.priority, gpus };
      this.byMachine.set(current.machine, [...(this.byMachine.get(current.machine) ?? []), hold]);
    }
  }

  private addRecalledBorrowers(loan: Loan): void {
    for (const { job } of replicasOnMachine(loan, this.view)) {
      const spec = this.view.spec(job);
      if (spec !== null) this.recalledBorrowers.push(spec);
    }
  }

  private isHolding(loan: Loan): boolean {
    const { state, lender, tasks } = loan;
    if (state !== 'recalled' && state !== 'returned') return false;
    const live = this.view.job(lender)?.attemptsByTask;
    const hasPlace = tasks.every(({ index }) => live?.has(index) === true);
    if (hasPlace || isAtLimit(loan, this.view)) return false;
    if (state === 'recalled') return true;
    const heldS = this.view.now() - this.clock.timesOf(loan).changedAt;
    return heldS <= this.view.settings.workers.lease_s * HOLD_LEASES;
  }

  /** A place to which a borrower may have to be moved is not given back either. */
  retainsMachine(machine: string): boolean {
    return this.byMachine.has(machine) || this.isRecallTarget(machine);
  }

  private isRecallTarget(machine: string): boolean {
    if (this.recalledBorrowers.length === 0) return false;
    const capacity = this.view.freeCapacities().find(({ id }) => id === machine);
    if (capacity === undefined) return false;
    return this.recalledBorrowers.some(
      (spec) => isAllowedOn(spec, capacity) && fits(spec, capacity),
    );
  }

  /**
   * A replica that has been moved had better not come back, where there is another place for it. It once
   * did as soon as its booking had expired.
   */
  preferenceS(spec: JobSpec, capacity: FreeCapacity): number {
    const isRecalledFromBorrower = this.byMachine
      .get(capacity.id)
      ?.some(({ borrower }) => borrower === spec.id);
    return isRecalledFromBorrower === true ? -this.view.settings.workers.lease_s * AVOID_LEASES : 0;
  }

  /** More important work may always use it: a loan forbids nothing that preemption would allow. */
  mayUse(spec: JobSpec, capacity: FreeCapacity): boolean {
    const holds = this.byMachine.get(capacity.id);
    if (holds === undefined) return true;
    let heldGpus = 0;
    for (const { lender, priority, gpus } of holds) {
      if (lender !== spec.id && spec.priority >= priority) heldGpus += gpus;
    }
    return heldGpus === 0 || capacity.gpus - spec.gpus >= heldGpus;
  }
}
