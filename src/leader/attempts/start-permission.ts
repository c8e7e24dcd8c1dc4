/** Whether a claimed attempt may be started. */

import type { LiveJob } from '../../jobs/live-job.js';
import type { Attempt } from '../../workers/attempt.js';
import type { TermState } from '../term/term-state.js';

/** Its job is open and ready, its task not done, its machine ready; of a gang, every claim is stored. */
export function mayStart(term: TermState, attempt: Attempt): boolean {
  const job = term.jobs.get(attempt.job);
  const machine = term.machines.get(attempt.machine);
  if (job === undefined || machine === undefined || job.phase !== 'active') return false;
  // By the store's changes in their order, whatever this leader believes of the jobs that it needs.
  if (job.storedJob.readyAt === null) return false;
  if (machine.state !== 'ready' || machine.reclaimedAt !== null) return false;
  if (job.done.has(attempt.index)) return false;
  return !job.isGang || isGangStored(job, attempt.number);
}

/**
 * The same for a start that is sent straight to the worker. It may arrive at any later time, so there must be a token of
 * this term that refuses it then, without a commit: see `fenceUnanswered`. Where there is none, the start goes with the
 * answer to the next heartbeat, which is never carried out late.
 */
export function mayStartDirectly(term: TermState, attempt: Attempt): boolean {
  const machine = term.machines.get(attempt.machine);
  if (machine === undefined || attempt.claimRevision === null) return false;
  return attempt.claimRevision > machine.token && mayStart(term, attempt);
}

/** All of a gang's claims are stored before the first of them starts. */
function isGangStored(job: LiveJob, number: number): boolean {
  let claims = 0;
  for (const other of job.activeAttempts()) {
    if (other.number !== number || other.state === 'claiming' || other.stopRequest !== null)
      return false;
    claims++;
  }
  return claims === job.spec.tasks;
}
