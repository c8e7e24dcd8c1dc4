import { Backoff } from '../backoff.js';
import type { TaskFailure } from '../jobs/task-failure.js';

/** A task's failure that counts against the machine on which it ran. */
export interface CountedFailure extends TaskFailure {
  /** The id of the task's job. */
  job: string;
  /** Its job has ended, and its tasks were known to outlive such a failure on some machine. */
  ofProvenJob: boolean;
}

/** A machine that counts as faulty; times in seconds of the steady clock. */
export interface Quarantine {
  since: number;
  /** The latest failure that counts against the machine. */
  failedAt: number;
  /** From when on a task may be started there as a probe, which shows whether the machine still fails tasks. */
  probeFrom: number;
  /** How many probes have failed. */
  failedProbes: number;
}

/** What failed tasks indicate about a machine: whether it is cordoned for a while, or quarantined. */
export class MachineCondition {
  /** No new work before it ends, since a task failed or a start was refused here, or the agent restarted. */
  readonly cordon = new Backoff();
  /** Failures of tasks here recently and since the last success, by `job/index`. */
  readonly taskFailures = new Map<string, CountedFailure>();
  /** Set while it counts as faulty: it gets no new work but probes, and is returned once it is empty. */
  quarantine: Quarantine | null = null;

  /** Whether it counts as faulty. */
  get quarantined(): boolean {
    return this.quarantine !== null;
  }

  /** A task succeeded here: earlier failures no longer count. */
  taskSucceeded(): void {
    this.taskFailures.clear();
    this.cordon.forgetFailures();
    this.quarantine = null;
  }
}
