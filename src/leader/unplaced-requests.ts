/** Requests that found no capacity earlier in a pass. */

import type { LiveJob } from '../jobs/live.js';
import { fits, type Size } from '../jobs/types.js';

/**
 * What found no capacity in this pass, so that what asks for as much or more is not looked for again.
 *
 * Within a pass capacity only shrinks: free capacity is taken, never given back, the share beyond what is kept
 * warm only falls, and what may be stopped for a job gets less with each task that is. So where a task
 * of one job fits nowhere and nothing can be stopped for it, neither can a task that is at least as
 * large in each resource and that may use the same machines and stop the same work. In a burst of
 * arrays most of a pass was spent on looking through all machines, for each job that waited, in vain.
 *
 * Not for gangs, jobs bound to one zone or spread over several, and jobs that avoid machines: what
 * they may use differs from job to job.
 */
export class UnplacedRequests {
  /** By what decides, beside the size, which machines a task may use: sizes that fit nowhere. */
  private readonly sizes = new Map<string, Size[]>();

  /** A task of the job found no capacity, and none can be made for it. */
  note(job: LiveJob): void {
    if (!isComparable(job)) return;
    const key = kindOf(job);
    const known = this.sizes.get(key);
    if (known === undefined) this.sizes.set(key, [job.spec]);
    else if (!known.some((size) => fits(size, job.spec))) known.push(job.spec);
  }

  /** Whether a task of the job is sure to find no capacity either. */
  covers(job: LiveJob): boolean {
    if (!isComparable(job)) return false;
    const known = this.sizes.get(kindOf(job));
    return known?.some((size) => fits(size, job.spec)) ?? false;
  }
}

function isComparable(job: LiveJob): boolean {
  const { spec } = job;
  return !job.gang && !spec.oneZone && !spec.scatter && job.failedOn.size === 0;
}

/** Whatever, beside the size, decides on the machines that a task may use or have emptied for it. */
function kindOf(job: LiveJob): string {
  const { priority, kind, spot, zone, types, team, saveS, checkpointS } = job.spec;
  const { long, guaranteed } = job;
  return JSON.stringify([
    priority, kind, spot, zone, types, team, saveS, checkpointS, long, guaranteed,
  ]); // prettier-ignore
}
