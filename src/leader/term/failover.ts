/** Restores the state of a new term from the store. */

import { isReady, type StoredJob } from '../../store/stored-job.js';
import type { Replica, StoredMachine } from '../../store/replica.js';
import { makeAttempt } from '../../workers/attempt.js';
import { Machine } from '../../workers/machine.js';
import type { AttemptStopper } from '../attempts/attempt-stopper.js';
import type { TermState } from './term-state.js';

/**
 * Jobs that may start, in the order in which they became ready. Later jobs are added in this order too, and
 * guarantees depend on it.
 */
export function readyJobs(replica: Replica): StoredJob[] {
  const open = [...replica.jobs.values()].filter((storedJob) => isReady(storedJob));
  return open.sort((a, b) => a.readyRevision! - b.readyRevision!);
}

/**
 * Restores a machine from its record: each attempt that the record claims may be on it. The jobs of these
 * attempts must have been added before.
 */
export function restoreMachine(
  term: TermState,
  stopper: AttemptStopper,
  id: string,
  stored: StoredMachine,
): void {
  const machine = machineFromRecord(term, id, stored);
  const { startedAt: now } = term;
  for (const { job, index, attempt: number } of stored.record.claims) {
    const attempt = makeAttempt({ job, index, number, machine: id }, 'inherited', now);
    machine.addClaim(attempt);
    const liveJob = term.jobs.get(job);
    if (liveJob !== undefined && !liveJob.done.has(index)) liveJob.addAttempt(attempt);
    else stopper.dismiss(attempt, 'job-closed');
  }
  term.machines.set(id, machine);
}

function machineFromRecord(
  term: TermState,
  id: string,
  { record, revision }: StoredMachine,
): Machine {
  const { context, startedAt: now } = term;
  const machine = new Machine(id, context.token, context.settings.workers.lease_s, now);
  machine.addr = record.addr;
  machine.type = record.type;
  machine.zone = record.zone;
  machine.spot = record.spot;
  machine.recordRevision = revision;
  machine.recordTerm = record.term;
  for (const [image, gb] of record.images) {
    machine.images.restore(image, gb, now);
  }
  // The record already marks the machine as returning. Without `returnRecorded`, it would never be returned to the cloud.
  if (record.returning && machine.changeState('returning')) machine.returnRecorded = true;
  return machine;
}
