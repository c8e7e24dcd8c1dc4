/** Reconciles jobs and attempts with heartbeats: tasks found, running, ended or gone. */

import type { LiveJob } from '../../jobs/live-job.js';
import { occupiesCapacity, type Attempt } from '../../workers/attempt.js';
import type { HeartbeatChanges } from '../../workers/heartbeat-changes.js';
import type { Machine } from '../../workers/machine.js';
import type { AttemptStopper } from './attempt-stopper.js';
import type { JobHealth } from './job-health.js';
import type { MachineHealth } from './machine-health.js';
import type { MachineQuarantine } from './machine-quarantine.js';
import type { TermState } from '../term/term-state.js';

/** Length of the first cordon of a machine that did not carry out a start, in heartbeat intervals. */
const REJECTED_START_CORDON_HEARTBEATS = 2;
/** Length of the first cordon of a machine whose agent restarted, in heartbeat intervals. */
const RESTART_CORDON_HEARTBEATS = 1;

/** What is rated by the runs of tasks. */
interface Ratings {
  jobHealth: JobHealth;
  quarantine: MachineQuarantine;
}

/** Updates jobs from the observed state of their attempts. */
export class HeartbeatReconciler {
  constructor(
    private readonly term: TermState,
    private readonly stopper: AttemptStopper,
    private readonly health: MachineHealth,
    private readonly ratings: Ratings,
  ) {}

  /** Applies the changes that a heartbeat has shown. */
  reconcile(machine: Machine, changes: HeartbeatChanges): void {
    const { now } = this.term;
    for (const attempt of changes.unclaimed) this.adoptOrDismiss(machine, attempt);
    for (const attempt of changes.changed) this.recordImageUse(machine, attempt, now);
    for (const attempt of changes.exited) this.recordImageUse(machine, attempt, now);
    for (const attempt of changes.changed) this.attemptChanged(machine, attempt, now);
    for (const attempt of changes.exited) this.attemptExited(machine, attempt);
    const { report_s } = this.term.context.settings.workers;
    // Its heartbeats arrive, but commands to it do not.
    if (changes.rejectedStarts > 0)
      this.health.cordon(machine, report_s * REJECTED_START_CORDON_HEARTBEATS);
    if (changes.agentRestarted) this.health.cordon(machine, report_s * RESTART_CORDON_HEARTBEATS);
    if (machine.reclaimAt !== null) this.evictGracefully(machine);
    if (changes.exited.length > 0 || changes.changed.length > 0) this.term.requestCycle();
  }

  /** Adopts an attempt without a claim if its task is still to be done and has no other attempt; else dismisses it. */
  private adoptOrDismiss(machine: Machine, attempt: Attempt): void {
    const job = this.term.jobs.get(attempt.job);
    this.term.machinesToWrite.add(machine.id);
    if (job === undefined || job.phase !== 'active') {
      this.dismiss(machine, attempt, 'unclaimed task dismissed: job over');
      return;
    }
    const hasOtherAttempts = job.isGang
      ? [...job.activeAttempts()].length > 0
      : job.attemptsByTask.has(attempt.index);
    if (job.done.has(attempt.index) || hasOtherAttempts || attempt.index >= job.spec.tasks) {
      this.dismiss(machine, attempt, 'unclaimed task dismissed: duplicate');
      return;
    }
    job.addAttempt(attempt);
    if (job.isGang) this.stopper.stopAll(job, 0, 'unclaimed');
  }

  private dismiss(machine: Machine, attempt: Attempt, message: string): void {
    this.term.context.log.info(
      { machine: machine.id, job: attempt.job, index: attempt.index },
      message,
    );
    this.stopper.dismiss(attempt, 'unclaimed');
  }

  private recordImageUse(machine: Machine, attempt: Attempt, now: number): void {
    const job = this.term.jobs.get(attempt.job);
    if (job === undefined || (attempt.state !== 'running' && attempt.state !== 'waiting')) return;
    const cacheGb = this.term.machineTypes.get(machine.type)?.cacheGb ?? 0;
    machine.recordImageUse(job.spec.image, job.spec.imageGb, cacheGb, now);
  }

  private attemptChanged(machine: Machine, attempt: Attempt, now: number): void {
    // Its start was provably not carried out, and it has been asked to stop. Unless its claim is withdrawn, it
    // occupies its capacity and its task for the rest of the term.
    if (attempt.state === 'claimed' && attempt.stopRequest !== null)
      this.stopper.withdrawClaim(machine, attempt);
    if (
      attempt.predictedFetchS > 0 &&
      attempt.startSentAt !== null &&
      (attempt.state === 'running' || attempt.state === 'waiting')
    ) {
      this.term.fetchTimes.record(attempt.predictedFetchS, now - attempt.startSentAt);
      attempt.predictedFetchS = 0;
    }
    if (attempt.state === 'running') this.logRunning(machine, attempt, now);
  }

  private logRunning(machine: Machine, attempt: Attempt, now: number): void {
    const job = this.term.jobs.get(attempt.job);
    if (job === undefined) return;
    this.term.context.log.debug(
      {
        job: attempt.job,
        index: attempt.index,
        class: job.spec.class,
        machine: machine.id,
        ageS: now - job.readySince,
      },
      'task running',
    );
  }

  /** Handles an attempt that has exited or is provably gone. */
  attemptExited(machine: Machine, attempt: Attempt): void {
    const job = this.term.jobs.get(attempt.job);
    if (job === undefined) {
      attempt.settled = true;
      return;
    }
    this.recordRunTime(job, attempt);
    if (attempt.state === 'ended' && attempt.cause === 'done' && !job.cancelled) {
      this.taskDone(machine, job, attempt);
      return;
    }
    attempt.settled = true;
    job.removeAttempt(attempt);
    if (job.phase !== 'active') return;
    if (attempt.state === 'ended') this.health.taskFailed(machine, job, attempt);
    if (job.isGang) this.stopRestOfGang(job, attempt);
  }

  private recordRunTime(job: LiveJob, attempt: Attempt): void {
    if (attempt.startedAt === null) return;
    job.attainedS += this.term.now - attempt.startedAt;
    this.ratings.jobHealth.runEnded(job, attempt);
  }

  /** Stops the remaining tasks of a gang that has lost one. Those already asked to stop may finish saving. */
  private stopRestOfGang(job: LiveJob, attempt: Attempt): void {
    for (const other of [...job.activeAttempts()]) {
      if (other.number === attempt.number && other.stopRequest === null)
        this.stopper.stop(other, 0, 'gang-lost-a-task');
    }
  }

  private taskDone(machine: Machine, job: LiveJob, attempt: Attempt): void {
    this.ratings.quarantine.taskDone(machine, attempt);
    const indexes = job.isGang ? [...Array(job.spec.tasks).keys()] : [attempt.index];
    // A gang completes as a unit: if one task is done, all are.
    for (const index of indexes) job.markDone(index, this.term.now);
    // Its end may be stored already, as with the other tasks of a gang: it is not written again.
    if (job.progress.isStored(attempt.index)) attempt.settled = true;
    else job.unstoredEnds.push(attempt);
    job.removeAttempt(attempt);
    for (const other of [...(job.attemptsByTask.get(attempt.index) ?? [])])
      this.stopper.stop(other, 0, 'done-elsewhere');
  }

  /** The cloud is about to reclaim the machine: stops its tasks with time to save. */
  private evictGracefully(machine: Machine): void {
    for (const attempt of [...machine.attempts.values()]) {
      const job = this.term.jobs.get(attempt.job);
      if (job === undefined || !occupiesCapacity(attempt) || attempt.stopRequest !== null) continue;
      this.stopper.stopGracefully(job, attempt, 'reclaimed');
    }
  }
}
