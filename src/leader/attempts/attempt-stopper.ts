/** Ending attempts: withdrawn while their start was never sent, told to stop otherwise. */

import type { LiveJob } from '../../jobs/live-job.js';
import { occupiesCapacity, mayBeOnMachine, type Attempt } from '../../workers/attempt.js';
import type { Machine } from '../../workers/machine.js';
import type { TermState } from '../term/term-state.js';

/** A task is given a little longer than its saving takes: the worker compares the two. */
const GRACE_PER_SAVE = 1.1;

/** Wants attempts gone. What is told to machines goes out with their next commands. */
export class AttemptStopper {
  constructor(private readonly term: TermState) {}

  /** Wants an attempt gone within so many seconds. One that was never sent is withdrawn at once. */
  stop(attempt: Attempt, graceS: number): void {
    if (!occupiesCapacity(attempt)) return;
    const machine = this.term.machines.get(attempt.machine);
    if (attempt.state === 'claimed' && machine !== undefined) {
      this.withdrawClaim(machine, attempt);
      return;
    }
    if (attempt.stopRequest === null || graceS < attempt.stopRequest.graceS) {
      attempt.stopRequest = { at: this.term.now, graceS, sentAt: null };
      machine?.markChanged();
      if (mayBeOnMachine(attempt)) this.term.machinesToCommand.add(attempt.machine);
    }
    this.term.requestCycle();
  }

  /** A claim whose start was never sent, or provably not carried out. */
  withdrawClaim(machine: Machine, attempt: Attempt): void {
    machine.withdrawClaim(attempt, this.term.now);
    this.term.machinesToWrite.add(machine.id);
    this.term.jobs.get(attempt.job)?.removeAttempt(attempt);
    this.term.requestCycle();
  }

  /** An attempt that serves nothing: stopped at once if it shows up, forgotten when it has ended. */
  dismiss(attempt: Attempt): void {
    if (attempt.state === 'ended') attempt.settled = true;
    else attempt.stopRequest ??= { at: this.term.now, graceS: 0, sentAt: null };
    this.term.machines.get(attempt.machine)?.markChanged();
    this.term.machinesToCommand.add(attempt.machine);
  }

  /** Every task of a job is told within the same moment: a gang goes as a whole. */
  stopAll(job: LiveJob, graceS: number): void {
    for (const list of [...job.attemptsByTask.values()])
      for (const attempt of [...list]) this.stop(attempt, graceS);
  }

  /** With the time it takes to save. Of a gang all tasks go. */
  stopGracefully(job: LiveJob, attempt: Attempt): void {
    const graceS = job.spec.checkpointS > 0 ? job.spec.saveS * GRACE_PER_SAVE : 0;
    if (job.isGang) this.stopAll(job, graceS);
    else this.stop(attempt, graceS);
  }

  /** Without saving: what it did since its last checkpoint is lost. */
  stopImmediately(job: LiveJob, attempt: Attempt): void {
    if (job.isGang) this.stopAll(job, 0);
    else this.stop(attempt, 0);
  }

  /** Nothing of a job starts any more; what may be somewhere is told to go. */
  closeJob(job: LiveJob): void {
    if (job.phase === 'active') job.changePhase('closing');
    this.stopAll(job, 0);
    for (const machine of this.term.machines.values()) {
      for (const attempt of machine.attempts.values()) {
        if (attempt.job === job.spec.id && attempt.state === 'ended') attempt.settled = true;
      }
    }
    this.term.requestCycle();
  }
}
