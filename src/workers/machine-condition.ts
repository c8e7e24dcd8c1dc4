/** What failed tasks say of a machine: whether it is left alone for a while, or put into quarantine. */
export class MachineCondition {
  /** No new work before this time, because it did not do what it was told; seconds of the steady clock. */
  cordonedUntil = -Infinity;
  /** How often in a row it was cordoned; a success sets it back. */
  cordonCount = 0;
  /** Tasks that failed here, as `job/index`, and when; drained by a success. */
  readonly taskFailures = new Map<string, number>();
  /** Tasks of jobs that do well elsewhere fail here: it gets nothing new and is given back. */
  quarantined = false;

  /** A task was done here: earlier failures say nothing any more. */
  taskSucceeded(): void {
    this.taskFailures.clear();
    this.cordonCount = 0;
  }
}
