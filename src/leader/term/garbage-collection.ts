/** Garbage collection of a term: finished jobs and lost machines. */

import type { Machine } from '../../workers/machine.js';
import type { Term } from './term.js';

/** Leases after which the record of a silent machine is removed if the cloud's list no longer names it. */
const FORGET_LEASES = 6;

/** Closes and forgets closing jobs that have no attempt left on any machine. */
export function closeFinishedJobs(term: Term): void {
  const closing = [...term.jobs.values()].filter((job) => job.phase === 'closing');
  if (closing.length === 0) return;
  const referenced = new Set<string>();
  for (const machine of term.machines.values()) {
    for (const attempt of machine.attempts.values()) referenced.add(attempt.job);
  }
  for (const job of closing) {
    if (referenced.has(job.spec.id)) continue;
    job.changePhase('closed');
    term.jobs.delete(job.spec.id);
  }
}

/** Machines that have been silent for so long that no further heartbeat is expected. */
export function machinesToForget(term: Term): Machine[] {
  const { now } = term;
  const forgetAfterS = term.context.settings.workers.lease_s * FORGET_LEASES;
  return [...term.machines.values()].filter(
    (machine) => machine.state === 'silent' && now - machine.lastSeenAt >= forgetAfterS,
  );
}
