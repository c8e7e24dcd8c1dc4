/** Log lines of a term: its start, its end, and when all machines have shown its token. */

import type { CancelledAttempts } from '../attempts/cancelled-attempts.js';
import type { Term } from './term.js';

/** Writes the log lines of one term, each at most once. */
export class TermLog {
  private fencingDone = false;

  constructor(
    private readonly term: Term,
    private readonly cancelledAttempts: CancelledAttempts,
  ) {}

  /** Logs the start: what was read, and the cancelled tasks that earlier terms have left on machines. */
  began(): void {
    const { context, machines, jobs } = this.term;
    this.cancelledAttempts.tick();
    context.log.info(
      {
        token: context.token,
        revision: context.replica.applied,
        jobs: jobs.size,
        machines: machines.size,
        ...this.cancelledAttempts.statistics(),
      },
      'term began',
    );
  }

  /** Logs the end. A term has started nothing on machines that have not shown its token. */
  ended(): void {
    const { context, machines, now, startedAt } = this.term;
    context.log.info(
      {
        token: context.token,
        lastedS: now - startedAt,
        machines: machines.size,
        notFenced: this.countNotFenced(),
        ...this.cancelledAttempts.statistics(),
      },
      'term ended',
    );
  }

  /** During the first lease of the term, checks whether all machines have shown its token. */
  tick(): void {
    if (this.fencingDone) return;
    const { context, machines, now, startedAt } = this.term;
    if (now - startedAt > context.settings.workers.lease_s) this.fencingDone = true;
    if (this.countNotFenced() > 0) return;
    this.fencingDone = true;
    context.log.info({ machines: machines.size, tookS: now - startedAt }, 'all machines fenced');
  }

  /** Number of machines that have not shown their token of this term. */
  private countNotFenced(): number {
    let count = 0;
    for (const { state } of this.term.machines.values())
      if (state === 'unheard' || state === 'fencing') count++;
    return count;
  }
}
