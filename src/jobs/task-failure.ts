/** A task that ended with an error. */
export interface TaskFailure {
  /** When it ended, in seconds of the steady clock. */
  at: number;
  /** For how long it had run, in seconds; 0 if it was never seen running. */
  ranS: number;
}
