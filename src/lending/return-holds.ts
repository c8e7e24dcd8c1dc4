/** Room that came back for a lender is not taken by work that is no more important. */

import type { JobSpec } from '../jobs/types.js';
import type { FreeCapacity } from '../scheduler/place.js';
import type { TermView } from '../subsystems/subsystem.js';
import type { Loan } from './loan.js';
import type { LoanTable } from './loan-table.js';
import type { WayBackTimes } from './way-back.js';

/** What came back is kept for so long, so that a lender that may not start keeps nobody from it. */
const HOLD_LEASES = 2;

interface Hold {
  lender: string;
  borrower: string;
  priority: number;
  gpus: number;
}

export class ReturnHolds {
  private byMachine = new Map<string, Hold[]>();

  constructor(
    private readonly view: TermView,
    private readonly table: LoanTable,
    private readonly wayBack: WayBackTimes,
  ) {}

  /** Looks again which loans hold room. */
  update(): void {
    this.byMachine = new Map();
    for (const { current } of this.table.open()) {
      const job = this.view.job(current.lender);
      if (job === undefined || !this.holds(current)) continue;
      const { lender, borrower, gpus } = current;
      const hold = { lender, borrower, priority: job.spec.priority, gpus };
      this.byMachine.set(current.machine, [...(this.byMachine.get(current.machine) ?? []), hold]);
    }
  }

  private holds({ state, changedMs, lender, tasks }: Loan): boolean {
    if (state !== 'recalled' && state !== 'returned') return false;
    const live = this.view.job(lender)?.live;
    // It has a place by now.
    if (tasks.every(({ index }) => live?.has(index) === true)) return false;
    const heldS = (this.view.wallMs() - changedMs) / 1000;
    return heldS <= this.view.settings.workers.lease_s * HOLD_LEASES;
  }

  keeps(machine: string): boolean {
    return this.byMachine.has(machine);
  }

  /**
   * A replica that has been moved had better not come back, where there is another place for it. It once
   * did as soon as its booking had run out.
   */
  preferenceS(spec: JobSpec, room: FreeCapacity): number {
    const isBorrowers = this.byMachine.get(room.id)?.some(({ borrower }) => borrower === spec.id);
    return isBorrowers === true ? -this.wayBack.seconds : 0;
  }

  /** More important work may always use it: a loan forbids nothing that preemption would allow. */
  mayUse(spec: JobSpec, room: FreeCapacity): boolean {
    const holds = this.byMachine.get(room.id);
    if (holds === undefined) return true;
    let held = 0;
    for (const { lender, priority, gpus } of holds) {
      if (lender !== spec.id && spec.priority >= priority) held += gpus;
    }
    return held === 0 || room.gpus - spec.gpus >= held;
  }
}
