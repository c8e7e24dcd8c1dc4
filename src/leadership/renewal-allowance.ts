import { MAX_CLOCK_DRIFT } from '../clock.js';

/**
 * How long workers' leases may be renewed by a controller that may not know of every cancellation.
 *
 * A user who has been told that a job is cancelled may count on its tasks being gone after `cancel_s`.
 * Whoever renews a lease must therefore know of every cancellation that any user has been told of, or
 * stop renewing early enough for the lease to run out in time. docs/design.md, "Cancellations and
 * outages", has the whole argument.
 */

/**
 * Share of a lease within which a worker that is renewed no more has ended its tasks: the lease, the
 * drift of its clock, and a worker that is slow to notice.
 */
const LEASE_END = 1.1 * (1 + 2 * MAX_CLOCK_DRIFT);

/**
 * Seconds after which a stored cancellation is told to users although no majority of controllers is
 * known to have heard of it. Users repeat a cancellation for 60 s (protocol): within the first three
 * quarters of that.
 */
export const UNHEARD_CONFIRM_S = 45;

/** The workers' lease, and the time within which a cancelled task has to be gone; in seconds. */
export interface WorkerTimes {
  lease_s: number;
  cancel_s: number;
}

/**
 * Seconds for which leases may be renewed after the moment up to which every stored cancellation is
 * known. At least `leastS`: with settings that leave less, a leader could not act at all.
 */
export function renewalAllowanceS(workers: WorkerTimes, leastS: number): number {
  return Math.max(leastS, workers.cancel_s - workers.lease_s * LEASE_END);
}
