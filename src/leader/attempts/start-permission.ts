/** Whether a claimed attempt may be started. */

import type { LiveJob } from '../../jobs/live-job.js';
import type { Attempt } from '../../workers/attempt.js';
import type { TermState } from '../term/term-state.js';

/** Whether the job is open and ready, the task not done, the machine ready and, for a gang, every claim stored. */
export function mayStart(term: TermState, attempt: Attempt): boolean {
  const job = term.jobs.get(attempt.job);
  const machine = term.machines.get(attempt.machine);
  if (job === undefined || machine === undefined || job.phase !== 'active') return false;
  // Readiness follows from the order of the store's changes, not from this leader's view of the job's dependencies.
  if (job.storedJob.readyRevision === null) return false;
  if (machine.state !== 'ready' || machine.reclaimAt !== null) return false;
  if (job.done.has(attempt.index)) return false;
  return !job.isGang || areGangClaimsStored(job, attempt.number);
}

/**
 * The same for a start that is sent directly to the worker. It may arrive at any later time, so there must be a higher
 * token of this term that makes the worker refuse it then, without a commit: see `fenceDirectStarts`. If there is none,
 * the start goes with the answer to the next heartbeat, which is never carried out late.
 */
export function mayStartDirectly(term: TermState, attempt: Attempt): boolean {
  const machine = term.machines.get(attempt.machine);
  if (machine === undefined || attempt.claimRevision === null) return false;
  return attempt.claimRevision > machine.token && mayStart(term, attempt);
}

/** Whether all claims of a gang are stored; none of its tasks starts before. */
function areGangClaimsStored(job: LiveJob, number: number): boolean {
  let claims = 0;
  for (const other of job.activeAttempts()) {
    if (other.number !== number || other.state === 'claiming' || other.stopRequest !== null)
      return false;
    claims++;
  }
  return claims === job.spec.tasks;
}
