import type { BitSet } from '../jobs/bit-set.js';
import type { JobSpec } from '../jobs/types.js';
import type { AcceptedJob } from './records.js';

/** The done tasks of one stored progress record. */
export interface StoredProgress {
  /** Index of the task of the lowest bit. */
  first: number;
  bits: BitSet;
  revision: number;
  attainedS: number;
}

/** The stored state of one job. It is a pure function of the changes up to a revision. */
export interface StoredJob extends AcceptedJob {
  /** Revision of its acceptance. */
  acceptedRevision: number;
  /** Revision of the first cancellation: its own, or that of a job that it depends on. */
  cancelledRevision: number | null;
  /** Whether it was cancelled with a job that it depends on, before a cancellation of its own. */
  cancelledByDependency: boolean;
  /** Revision at which the last of its tasks was stored as done. */
  doneRevision: number | null;
  /** Time in ms since the epoch, by the leader's clock, at which its last task was done; 0 if unknown. */
  doneMs: number;
  /**
   * Revision from which its tasks may start: all jobs that it depends on were done by then, and it was not
   * cancelled before. Null if its tasks must not start.
   */
  readyRevision: number | null;
  /** Time in ms since the epoch at which it became ready; for a job without dependencies, the time of its acceptance. */
  readyMs: number;
  /** Number of entries of `spec.dependencies` that are not known to be done. */
  unmetDependencies: number;
  doneTasks: number;
  attainedS: number;
  /** Its progress records by key. Dropped once the job is finished. */
  progress: Map<string, StoredProgress> | null;
  /** Number of claims of the job in the current machine records. */
  claimCount: number;
}

/** The spec of a job; null if the job is finished and was compacted. */
export const specOf = (storedJob: StoredJob): JobSpec | null =>
  storedJob.spec.id === '' ? null : storedJob.spec;

/** The outcome of a job; `open` if it is not final yet. */
export type JobOutcome = 'open' | 'done' | 'cancelled';

/** If a job is both done and cancelled, the lower revision counts: final, and the same on every controller. */
export function outcome(storedJob: StoredJob): JobOutcome {
  if (
    storedJob.cancelledRevision !== null &&
    (storedJob.doneRevision === null || storedJob.cancelledRevision < storedJob.doneRevision)
  )
    return 'cancelled';
  return storedJob.doneRevision !== null ? 'done' : 'open';
}

/** Whether the store, as far as it was read, shows that a job is cancelled; false for an unknown job. */
export const isStoredCancelled = (storedJob: StoredJob | undefined): boolean =>
  storedJob !== undefined && outcome(storedJob) === 'cancelled';

/** Whether a job is open and all its dependencies are done, so that its tasks may start. */
export const isReady = (storedJob: StoredJob): boolean =>
  storedJob.readyRevision !== null && outcome(storedJob) === 'open';

/** Whether a job is open and waits for dependencies, so that none of its tasks may start. */
export const isWaiting = (storedJob: StoredJob): boolean =>
  storedJob.readyRevision === null && outcome(storedJob) === 'open';

/**
 * Whether a job was cancelled before it became ready. None of its tasks was ever started or ever will be,
 * since a leader starts tasks of a job only once its replica of the store shows the job as ready.
 */
export const neverStarted = (storedJob: StoredJob): boolean =>
  storedJob.readyRevision === null && outcome(storedJob) === 'cancelled';
