import type { BitSet } from '../jobs/bit-set.js';
import type { JobSpec } from '../jobs/types.js';
import type { AcceptedJob } from './records.js';

/** Which tasks a stored record names as done. */
export interface StoredProgress {
  /** The task of the lowest bit. */
  first: number;
  bits: BitSet;
  revision: number;
  attainedS: number;
}

/** What the store says of one job. A pure function of the changes up to a revision. */
export interface StoredJob extends AcceptedJob {
  /** Revision at which it was accepted. */
  acceptedAt: number;
  /** Revision of the first cancellation: its own, or that of a job that it needs. */
  cancelledAt: number | null;
  /** It was cancelled with a job that it needs, before its own user cancelled it. */
  cancelledByDependency: boolean;
  /** Revision at which its last task was stored as done. */
  doneAt: number | null;
  /** Time of day in ms at which its last task was found done, as the leader had it; 0: not known. */
  doneMs: number;
  /**
   * Revision from which its tasks may start: all jobs that it needs were done by then, and it was not
   * cancelled before. Null: they must not.
   */
  readyAt: number | null;
  /** Time of day in ms of the same moment; of its acceptance where it needs no other job. */
  readyMs: number;
  /** How many entries of `spec.dependencies` are not known to be done. */
  unmetDependencies: number;
  doneTasks: number;
  attainedS: number;
  /** Its records of done tasks, by key. Dropped once the job is over. */
  progress: Map<string, StoredProgress> | null;
  /** Attempts that machine records name at present. */
  claimCount: number;
}

/** Null: it is over, and what it asked for has left memory. */
export const specOf = (storedJob: StoredJob): JobSpec | null =>
  storedJob.spec.id === '' ? null : storedJob.spec;

/** What has become of a job; `open`: nothing final yet. */
export type JobOutcome = 'open' | 'done' | 'cancelled';

/** The older one of "done" and "cancelled" counts, on every node and for ever. */
export function outcome(storedJob: StoredJob): JobOutcome {
  if (
    storedJob.cancelledAt !== null &&
    (storedJob.doneAt === null || storedJob.cancelledAt < storedJob.doneAt)
  )
    return 'cancelled';
  return storedJob.doneAt !== null ? 'done' : 'open';
}

/** Whether the store, as far as it was read, shows that a job is cancelled; false for one that it does not show. */
export const isStoredCancelled = (storedJob: StoredJob | undefined): boolean =>
  storedJob !== undefined && outcome(storedJob) === 'cancelled';

/** Not over, and in need of no other job any more: its tasks may start. */
export const isReady = (storedJob: StoredJob): boolean =>
  storedJob.readyAt !== null && outcome(storedJob) === 'open';

/** Accepted, not over, and still in need of other jobs: nothing of it may start. */
export const isWaiting = (storedJob: StoredJob): boolean =>
  storedJob.readyAt === null && outcome(storedJob) === 'open';

/**
 * Whether no task of a cancelled job was ever started, nor can be: it was cancelled before it became
 * ready, and a leader starts tasks of a job only once its replica of the store shows it as ready.
 */
export const neverStarted = (storedJob: StoredJob): boolean =>
  storedJob.readyAt === null && outcome(storedJob) === 'cancelled';
