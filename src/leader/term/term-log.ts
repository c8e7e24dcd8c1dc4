/** What a term of leadership logs of itself: its beginning, its end, and when all machines have shown its token. */

import type { CancelledAttempts } from '../attempts/cancelled-attempts.js';
import type { Term } from './term.js';

/** The lines about one term. None of them is repeated in it. */
export class TermLog {
  private fencingDone = false;

  constructor(
    private readonly term: Term,
    private readonly cancelledAttempts: CancelledAttempts,
  ) {}

  /** What the term begins with: what was read, and which cancelled tasks earlier terms have left on machines. */
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

  /** A term that ends before its machines have shown its token has started nothing on them. */
  ended(): void {
    const { context, machines, now, startedAt } = this.term;
    context.log.info(
      {
        token: context.token,
        lastedS: now - startedAt,
        machines: machines.size,
        notFenced: this.notFenced(),
        ...this.cancelledAttempts.statistics(),
      },
      'term ended',
    );
  }

  /** Looks whether all machines have shown the token, for the first lease of the term. */
  tick(): void {
    if (this.fencingDone) return;
    const { context, machines, now, startedAt } = this.term;
    if (now - startedAt > context.settings.workers.lease_s) this.fencingDone = true;
    if (this.notFenced() > 0) return;
    this.fencingDone = true;
    context.log.info({ machines: machines.size, tookS: now - startedAt }, 'all machines fenced');
  }

  /** Machines that have not shown the term's token. */
  private notFenced(): number {
    let count = 0;
    for (const { state } of this.term.machines.values())
      if (state === 'unheard' || state === 'fencing') count++;
    return count;
  }
}
