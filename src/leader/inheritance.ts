/** What a new term takes over from the store. */

import { isReady, type StoredJob } from '../store/stored-job.js';
import type { Replica, StoredMachine } from '../store/replica.js';
import { makeAttempt } from '../workers/attempt.js';
import { Machine } from '../workers/machine.js';
import type { AttemptStops } from './attempt-stops.js';
import type { TermState } from './term-state.js';

/**
 * Jobs that may start, in the order in which they became ready, as those that come later are: guarantees
 * go by it.
 */
export function openJobs(replica: Replica): StoredJob[] {
  const open = [...replica.jobs.values()].filter((f) => isReady(f));
  return open.sort((a, b) => a.readyAt! - b.readyAt!);
}

/**
 * A machine as the store shows it: whatever its record claims may be there. Its jobs must have been
 * added before.
 */
export function inheritMachine(
  state: TermState,
  stops: AttemptStops,
  id: string,
  stored: StoredMachine,
): void {
  const m = restored(state, id, stored);
  const { startedAt: now } = state;
  for (const c of stored.record.claims) {
    const a = makeAttempt(c.job, c.index, c.attempt, id, 'inherited', now);
    m.addClaim(a);
    const job = state.jobs.get(c.job);
    if (job !== undefined && !job.done.has(c.index)) job.adopt(a);
    else stops.dismiss(a);
  }
  state.machines.set(id, m);
}

function restored(state: TermState, id: string, { record, revision }: StoredMachine): Machine {
  const { deps, startedAt: now } = state;
  const m = new Machine(id, deps.token, deps.settings.workers.lease_s, now);
  m.addr = record.addr;
  m.type = record.type;
  m.zone = record.zone;
  m.spot = record.spot;
  m.recordRevision = revision;
  m.recordTerm = record.term;
  for (const [image, gb] of record.images) {
    m.images.set(image, { gb, at: now });
    m.fetchedGb += gb;
  }
  // The record says so already: without this no round would ever name it to the cloud again.
  if (record.returning && m.changeState('returning')) m.returnRecorded = true;
  return m;
}
