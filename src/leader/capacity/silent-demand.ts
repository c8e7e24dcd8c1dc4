/** Demand for tasks on machines that have been silent for so long that their leases will probably expire. */

import type { Demand } from '../../cloud/scale-out-plan.js';
import type { LiveJob } from '../../jobs/live-job.js';
import { occupiesCapacity } from '../../workers/attempt.js';
import type { Machine } from '../../workers/machine.js';
import type { Term } from '../term/term.js';

/**
 * A machine that has been silent for this share of a lease is unlikely to send a heartbeat before its lease
 * expires. Its tasks then have to start elsewhere, so a machine for them is requested and boots meanwhile.
 */
export const SILENT_LEASE_SHARE = 0.4;
/** If a larger share of the fleet is silent, the fault is assumed to be on this controller's side. */
const MAX_SILENT_SHARE = 0.5;

/**
 * Demand for replicas and gangs on silent machines, as if their leases had expired already. When a fifth or more of
 * a fleet of hundreds was cut off at once, its replicas were missing for a lease, which is unavoidable, and then for
 * a boot, which can take place during the lease. Excludes zones whose lease holder may be renewing leases, and is
 * empty while the fault is probably on this controller's side.
 */
export function silentDemand(term: Term): Demand[] {
  const silent = silentMachines(term);
  return [...tasksToReplace(term, silent)].map(([job, tasks]) => ({
    spec: job.spec,
    // A gang is restarted as a unit.
    tasks: job.isGang ? job.spec.tasks : tasks,
    zones: job.isGang ? new Map<string, number>() : zonesExcluding(term, job, silent),
  }));
}

/** Machines that have been silent for too long; none if so many are that the fault may be this controller's. */
function silentMachines(term: Term): Set<Machine> {
  const { now } = term;
  const silentAfterS = term.context.settings.workers.lease_s * SILENT_LEASE_SHARE;
  const silent = new Set<Machine>();
  let total = 0;
  for (const machine of term.machines.values()) {
    if (machine.state !== 'ready' && machine.state !== 'fencing' && machine.state !== 'unheard')
      continue;
    total++;
    if (now - machine.lastSeenAt > silentAfterS) silent.add(machine);
  }
  if (silent.size > total * MAX_SILENT_SHARE) silent.clear();
  return silent;
}

/** Number of tasks on these machines to be started elsewhere, by job; without best-effort work. */
function tasksToReplace(term: Term, silent: Set<Machine>): Map<LiveJob, number> {
  const { now } = term;
  const tasks = new Map<LiveJob, number>();
  for (const machine of silent) {
    if (term.context.zoneRenewal(machine.zone).renewedUntil > now) continue;
    for (const attempt of machine.attempts.values()) {
      const job = term.jobs.get(attempt.job);
      if (
        job === undefined ||
        job.phase !== 'active' ||
        !occupiesCapacity(attempt) ||
        attempt.stopRequest !== null
      )
        continue;
      if (job.spec.priority < 3) tasks.set(job, (tasks.get(job) ?? 0) + 1);
    }
  }
  return tasks;
}

function zonesExcluding(term: Term, job: LiveJob, silent: Set<Machine>): Map<string, number> {
  const zones = new Map<string, number>();
  for (const attempt of job.activeAttempts()) {
    const machine = term.machines.get(attempt.machine);
    if (machine === undefined || silent.has(machine)) continue;
    zones.set(machine.zone, (zones.get(machine.zone) ?? 0) + 1);
  }
  return zones;
}
