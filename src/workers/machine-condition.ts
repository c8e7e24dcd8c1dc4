import type { TaskFailure } from '../jobs/task-failure.js';

/** What failed tasks indicate about a machine: whether it is cordoned for a while, or quarantined. */
export class MachineCondition {
  /**
   * No new work before this time, since a task failed or a start was refused here, or the agent restarted; seconds of
   * the steady clock.
   */
  cordonedUntil = -Infinity;
  /** Number of cordons since the last success, up to a limit; each doubles the time of the next one. */
  cordonCount = 0;
  /** Failures of tasks here recently and since the last success, by `job/index`. */
  readonly taskFailures = new Map<string, TaskFailure>();
  /** Tasks of jobs that succeed elsewhere fail here: it gets no new work and is returned. */
  quarantined = false;

  /** A task succeeded here: earlier failures no longer count. */
  taskSucceeded(): void {
    this.taskFailures.clear();
    this.cordonCount = 0;
  }
}
