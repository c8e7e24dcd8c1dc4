/** Reserves returned capacity for its lender, against work whose priority is not higher. */

import { fits, type JobSpec } from '../jobs/types.js';
import { isAllowedOn, type FreeCapacity } from '../scheduler/bin-packing.js';
import type { TermView } from '../subsystems/subsystem.js';
import type { Loan } from './loan.js';
import { isAtLimit } from './lender-work.js';
import { replicasOnMachine } from './loan-evidence.js';
import type { LoanTable } from './loan-table.js';
import type { LoanClock } from './loan-times.js';

/** Returned capacity is reserved for at most this many leases, so that a lender that may not start does not block it. */
const HOLD_LEASES = 2;
/** A borrower is placed on a machine that it had to leave only if that saves it this many leases. */
const AVOID_LEASES = 100;

interface Hold {
  lender: string;
  borrower: string;
  priority: number;
  gpus: number;
}

/** Reserves recalled and returned capacity for its lender. */
export class ReturnHolds {
  private byMachine = new Map<string, Hold[]>();
  /** Jobs of replicas that have to leave recalled GPUs, once for each replica. */
  private recalledBorrowers: JobSpec[] = [];

  constructor(
    private readonly view: TermView,
    private readonly table: LoanTable,
    private readonly clock: LoanClock,
  ) {}

  /** Determines anew which loans reserve capacity. */
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

  /** Whether a machine must not be removed: it has reserved capacity, or a recalled borrower may be migrated to it. */
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
   * A replica that has been migrated should not return if there is another place for it. Without this preference it
   * returned as soon as the reservation of its new place had expired.
   */
  preferenceS(spec: JobSpec, capacity: FreeCapacity): number {
    const isRecalledFromBorrower = this.byMachine
      .get(capacity.id)
      ?.some(({ borrower }) => borrower === spec.id);
    return isRecalledFromBorrower === true ? -this.view.settings.workers.lease_s * AVOID_LEASES : 0;
  }

  /** Work with a higher priority may always use the capacity: a loan forbids nothing that preemption would allow. */
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
