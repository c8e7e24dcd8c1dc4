/** Taking in what reports showed: tasks found, running, ended or gone. */

import type { LiveJob } from '../jobs/live.js';
import { occupiesCapacity, type Attempt } from '../workers/attempt.js';
import type { HeartbeatChanges, Machine } from '../workers/machine.js';
import type { AttemptStops } from './attempt-stops.js';
import type { MachineHealth } from './machine-health.js';
import type { TermState } from './term-state.js';

/** Nothing new goes to a machine that is told in vain for so many report intervals, at first. */
const MISSED_SHUN_REPORTS = 2;
/** The same for a machine whose worker started anew. */
const RESTART_SHUN_REPORTS = 1;

/** Changes jobs by what is seen of their attempts. */
export class ReportDigest {
  constructor(
    private readonly state: TermState,
    private readonly stops: AttemptStops,
    private readonly health: MachineHealth,
  ) {}

  /** What a report, a lapsed lease or a returned machine has shown. */
  digest(m: Machine, c: HeartbeatChanges): void {
    const { now } = this.state;
    for (const a of c.unclaimed) this.foreign(m, a);
    for (const a of c.changed) this.noteImage(m, a, now);
    for (const a of c.exited) this.noteImage(m, a, now);
    for (const a of c.changed) this.moved(m, a, now);
    for (const a of c.exited) this.over(m, a);
    const { report_s } = this.state.deps.settings.workers;
    // Its reports come, but what it is told does not arrive.
    if (c.rejectedStarts > 0) this.health.shun(m, report_s * MISSED_SHUN_REPORTS);
    if (c.agentRestarted) this.health.shun(m, report_s * RESTART_SHUN_REPORTS);
    if (m.reclaimedAt !== null) this.drain(m);
    if (c.exited.length > 0 || c.changed.length > 0) this.state.requestPass();
  }

  /** An attempt that no claim names: adopted where its task is wanted and nowhere else. */
  private foreign(m: Machine, a: Attempt): void {
    const job = this.state.jobs.get(a.job);
    this.state.dirtyMachines.add(m.id);
    if (job === undefined || job.phase !== 'open') {
      this.dismissFound(m, a, 'unwanted task found');
      return;
    }
    const others = job.gang ? [...job.holding()].length > 0 : job.live.has(a.index);
    if (job.done.has(a.index) || others || a.index >= job.spec.tasks) {
      this.dismissFound(m, a, 'second copy of a task found');
      return;
    }
    job.adopt(a);
    if (job.gang) this.stops.stopAll(job, 0);
  }

  private dismissFound(m: Machine, a: Attempt, message: string): void {
    this.state.deps.log.info({ machine: m.id, job: a.job, index: a.index }, message);
    this.stops.dismiss(a);
  }

  private noteImage(m: Machine, a: Attempt, now: number): void {
    const job = this.state.jobs.get(a.job);
    if (job === undefined || (a.state !== 'running' && a.state !== 'waiting')) return;
    const cacheGb = this.state.types.get(m.type)?.cacheGb ?? 0;
    m.noteImage(job.spec.image, job.spec.imageGb, cacheGb, now);
  }

  private moved(m: Machine, a: Attempt, now: number): void {
    // Its start provably went nowhere, and it is not wanted any more. Left as it was, it held its room
    // and its task for the rest of the term.
    if (a.state === 'claimed' && a.stopRequest !== null) this.stops.withdraw(m, a);
    if (
      a.predictedFetchS > 0 &&
      a.startSentAt !== null &&
      (a.state === 'running' || a.state === 'waiting')
    ) {
      this.state.fetches.note(a.predictedFetchS, now - a.startSentAt);
      a.predictedFetchS = 0;
    }
    if (a.state === 'running') this.logRuns(m, a, now);
  }

  private logRuns(m: Machine, a: Attempt, now: number): void {
    const job = this.state.jobs.get(a.job);
    if (job === undefined) return;
    this.state.deps.log.debug(
      {
        job: a.job,
        index: a.index,
        class: job.spec.class,
        machine: m.id,
        ageS: now - job.readySince,
      },
      'runs',
    );
  }

  /** An attempt has exited or is provably gone. */
  over(m: Machine, a: Attempt): void {
    const job = this.state.jobs.get(a.job);
    if (job === undefined) {
      a.settled = true;
      return;
    }
    this.noteRun(job, a);
    if (a.state === 'ended' && a.cause === 'done' && !job.cancelled) {
      this.done(m, job, a);
      return;
    }
    a.settled = true;
    job.release(a);
    if (job.phase !== 'open') return;
    if (a.state === 'ended') this.health.taskFailed(m, job, a);
    if (job.gang) this.stopRestOfGang(job, a);
  }

  private noteRun(job: LiveJob, a: Attempt): void {
    if (a.startedAt === null) return;
    const ranS = this.state.now - a.startedAt;
    job.attainedS += ranS;
    job.noteRun(ranS, this.state.deps.settings.workers.lease_s);
  }

  /** Without one of its tasks a gang is over; those that are saving may finish that. */
  private stopRestOfGang(job: LiveJob, a: Attempt): void {
    for (const other of [...job.holding()]) {
      if (other.number === a.number && other.stopRequest === null) this.stops.stop(other, 0);
    }
  }

  private done(m: Machine, job: LiveJob, a: Attempt): void {
    m.successes++;
    m.taskFailures.clear();
    m.cordonCount = 0;
    const indexes = job.gang ? [...Array(job.spec.tasks).keys()] : [a.index];
    // A gang completes together: if one task is done, all are.
    for (const i of indexes) job.markDone(i, this.state.now);
    // Stored already, as for the other tasks of a gang: nothing is written again.
    if (job.progress.isStored(a.index)) a.settled = true;
    else job.awaiting.push(a);
    job.release(a);
    for (const other of [...(job.live.get(a.index) ?? [])]) this.stops.stop(other, 0);
  }

  /** The cloud is about to take the machine: what can be saved is saved now. */
  private drain(m: Machine): void {
    for (const a of [...m.attempts.values()]) {
      const job = this.state.jobs.get(a.job);
      if (job === undefined || !occupiesCapacity(a) || a.stopRequest !== null) continue;
      this.stops.stopTask(job, a);
    }
  }
}
