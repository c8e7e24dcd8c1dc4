import { MAX_CLOCK_DRIFT } from '../clock.js';

/**
 * How long a controller that may not know every cancellation may renew workers' leases.
 *
 * Once a cancellation is confirmed to a user, the tasks of the job must have ended within `cancel_s`. A
 * controller that renews a lease must therefore know every cancellation that has been confirmed to any user,
 * or stop renewing early enough for the lease to expire in time. docs/design.md, "Cancellations and
 * outages", has the full reasoning.
 */

/**
 * Time after its last renewal within which a worker has ended its tasks, in leases: the lease, the drift of
 * its clock, and a tenth for a worker that reacts late.
 */
const LEASE_END_LEASES = 1.1 * (1 + 2 * MAX_CLOCK_DRIFT);

/**
 * Seconds after which a stored cancellation is confirmed to users even if no majority of controllers is
 * known to have noted it. Users repeat a cancellation for 60 s (protocol); this is three quarters of that.
 */
export const UNACKNOWLEDGED_CONFIRM_S = 45;

/** The workers' lease, and the time within which a cancelled task must have ended; in seconds. */
export interface WorkerTimes {
  lease_s: number;
  cancel_s: number;
}

/**
 * Seconds for which leases may be renewed after the time up to which every stored cancellation is
 * known. At least `minimumS`: with settings that allow less, a leader could not act at all.
 */
export function renewalAllowanceS(workers: WorkerTimes, minimumS: number): number {
  return Math.max(minimumS, workers.cancel_s - workers.lease_s * LEASE_END_LEASES);
}
