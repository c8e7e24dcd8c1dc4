/** Ending attempts: withdrawn while their start was never sent, told to stop otherwise. */

import type { LiveJob } from '../jobs/live.js';
import { occupiesCapacity, mayBeOnMachine, type Attempt } from '../workers/attempt.js';
import type { Machine } from '../workers/machine.js';
import type { TermState } from './term-state.js';

/** A task is given a little longer than its saving takes: the worker compares the two. */
const GRACE_PER_SAVE = 1.1;

/** Wants attempts gone. What is told to machines goes out with their next commands. */
export class AttemptStops {
  constructor(private readonly state: TermState) {}

  /** Wants an attempt gone within so many seconds. One that was never sent is withdrawn at once. */
  stop(a: Attempt, graceS: number): void {
    if (!occupiesCapacity(a)) return;
    const m = this.state.machines.get(a.machine);
    if (a.state === 'claimed' && m !== undefined) {
      this.withdraw(m, a);
      return;
    }
    if (a.stopRequest === null || graceS < a.stopRequest.graceS) {
      a.stopRequest = { at: this.state.now, graceS, sentAt: null };
      m?.markChanged();
      if (mayBeOnMachine(a)) this.state.urgent.add(a.machine);
    }
    this.state.requestPass();
  }

  /** A claim whose start was never sent, or provably not carried out. */
  withdraw(m: Machine, a: Attempt): void {
    m.withdrawClaim(a, this.state.now);
    this.state.dirtyMachines.add(m.id);
    this.state.jobs.get(a.job)?.release(a);
    this.state.requestPass();
  }

  /** An attempt that serves nothing: stopped at once if it shows up, forgotten when it has ended. */
  dismiss(a: Attempt): void {
    if (a.state === 'ended') a.settled = true;
    else a.stopRequest ??= { at: this.state.now, graceS: 0, sentAt: null };
    this.state.machines.get(a.machine)?.markChanged();
    this.state.urgent.add(a.machine);
  }

  /** Every task of a job is told within the same moment: a gang goes as a whole. */
  stopAll(job: LiveJob, graceS: number): void {
    for (const list of [...job.live.values()]) for (const a of [...list]) this.stop(a, graceS);
  }

  /** With the time it takes to save. Of a gang all tasks go. */
  stopTask(job: LiveJob, a: Attempt): void {
    const graceS = job.spec.checkpointS > 0 ? job.spec.saveS * GRACE_PER_SAVE : 0;
    if (job.gang) this.stopAll(job, graceS);
    else this.stop(a, graceS);
  }

  /** Without saving: what it did since its last checkpoint is lost. */
  stopTaskNow(job: LiveJob, a: Attempt): void {
    if (job.gang) this.stopAll(job, 0);
    else this.stop(a, 0);
  }

  /** Nothing of a job starts any more; what may be somewhere is told to go. */
  close(job: LiveJob): void {
    if (job.phase === 'open') job.become('closing');
    this.stopAll(job, 0);
    for (const m of this.state.machines.values()) {
      for (const a of m.attempts.values()) {
        if (a.job === job.spec.id && a.state === 'ended') a.settled = true;
      }
    }
    this.state.requestPass();
  }
}
