/** What a term need not remember any more. */

import type { Machine } from '../../workers/machine.js';
import type { Term } from './term.js';

/** Records of machines that are silent and gone from the cloud's list are dropped after it. */
const FORGET_LEASES = 6;

/** Closes and forgets jobs that are over and that no attempt on any machine is of. */
export function closeFinishedJobs(term: Term): void {
  const closing = [...term.jobs.values()].filter((job) => job.phase === 'closing');
  if (closing.length === 0) return;
  const referred = new Set<string>();
  for (const machine of term.machines.values()) {
    for (const attempt of machine.attempts.values()) referred.add(attempt.job);
  }
  for (const job of closing) {
    if (referred.has(job.spec.id)) continue;
    job.changePhase('closed');
    term.jobs.delete(job.spec.id);
  }
}

/** Machines that have been silent for so long that they will not be back. */
export function machinesToForget(term: Term): Machine[] {
  const { now } = term;
  const patience = term.context.settings.workers.lease_s * FORGET_LEASES;
  return [...term.machines.values()].filter(
    (machine) => machine.state === 'silent' && now - machine.lastSeenAt >= patience,
  );
}
