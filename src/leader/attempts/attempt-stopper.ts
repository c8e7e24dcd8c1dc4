/** Ends attempts: withdraws their claim if the start was never sent, sends a stop otherwise. */

import type { LiveJob } from '../../jobs/live-job.js';
import {
  occupiesCapacity,
  mayBeOnMachine,
  type Attempt,
  type StopReason,
} from '../../workers/attempt.js';
import type { Machine } from '../../workers/machine.js';
import type { TermState } from '../term/term-state.js';

/** Factor by which the grace period exceeds the time for saving, since the worker compares the two. */
const SAVE_GRACE_FACTOR = 1.1;

/** Requests that attempts end. Stops go out with the next commands to their machines. */
export class AttemptStopper {
  constructor(private readonly term: TermState) {}

  /** Requests that an attempt ends within `graceS`. One whose start was never sent is withdrawn at once. */
  stop(attempt: Attempt, graceS: number, reason: StopReason): void {
    if (!occupiesCapacity(attempt)) return;
    const machine = this.term.machines.get(attempt.machine);
    if (attempt.state === 'claimed' && machine !== undefined) {
      this.withdrawClaim(machine, attempt);
      return;
    }
    if (attempt.stopRequest === null || graceS < attempt.stopRequest.graceS) {
      attempt.stopRequest = { at: this.term.now, graceS, sentAt: null, reason };
      machine?.markChanged();
      if (mayBeOnMachine(attempt)) this.term.machinesToCommand.add(attempt.machine);
    }
    this.term.requestCycle();
  }

  /** Withdraws a claim whose start was never sent, or was provably not carried out. */
  withdrawClaim(machine: Machine, attempt: Attempt): void {
    machine.withdrawClaim(attempt, this.term.now);
    this.term.machinesToWrite.add(machine.id);
    this.term.jobs.get(attempt.job)?.removeAttempt(attempt);
    this.term.requestCycle();
  }

  /** Stops an attempt that no job needs, without grace; if it has ended, its worker may forget it. */
  dismiss(attempt: Attempt, reason: StopReason): void {
    if (attempt.state === 'ended') attempt.settled = true;
    else attempt.stopRequest ??= { at: this.term.now, graceS: 0, sentAt: null, reason };
    this.term.machines.get(attempt.machine)?.markChanged();
    this.term.machinesToCommand.add(attempt.machine);
  }

  /** Stops all tasks of a job at the same moment, since a gang ends as a unit. */
  stopAll(job: LiveJob, graceS: number, reason: StopReason): void {
    for (const list of [...job.attemptsByTask.values()])
      for (const attempt of [...list]) this.stop(attempt, graceS, reason);
  }

  /** Stops a task with the time that it needs to save, together with the rest of its gang. */
  stopGracefully(job: LiveJob, attempt: Attempt, reason: StopReason): void {
    const graceS = job.spec.checkpointS > 0 ? job.spec.saveS * SAVE_GRACE_FACTOR : 0;
    if (job.isGang) this.stopAll(job, graceS, reason);
    else this.stop(attempt, graceS, reason);
  }

  /** Stops a task, or its gang, without saving: work since the last checkpoint is lost. */
  stopImmediately(job: LiveJob, attempt: Attempt, reason: StopReason): void {
    if (job.isGang) this.stopAll(job, 0, reason);
    else this.stop(attempt, 0, reason);
  }

  /** Starts no further task of a job and stops all that may be on a machine. */
  closeJob(job: LiveJob): void {
    if (job.phase === 'active') job.changePhase('closing');
    this.stopAll(job, 0, 'cancelled');
    for (const machine of this.term.machines.values()) {
      for (const attempt of machine.attempts.values()) {
        if (attempt.job === job.spec.id && attempt.state === 'ended') attempt.settled = true;
      }
    }
    this.term.requestCycle();
  }
}
