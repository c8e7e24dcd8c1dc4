/** Requests that found no capacity earlier in a scheduling cycle. */

import type { LiveJob } from '../../jobs/live-job.js';
import { fits, type Resources } from '../../jobs/types.js';

/**
 * What found no capacity in this scheduling cycle, so that what asks for as much or more is not looked for again.
 *
 * Within a scheduling cycle capacity only shrinks: free capacity is taken, never given back, the share beyond what is kept
 * warm only falls, and what may be stopped for a job gets less with each task that is. So where a task
 * of one job fits nowhere and nothing can be stopped for it, neither can a task that is at least as
 * large in each resource and that may use the same machines and stop the same work. In a burst of
 * arrays most of a scheduling cycle was spent on looking through all machines, for each job that waited, in vain.
 *
 * Not for gangs, jobs bound to one zone or spread over several, and jobs that avoid machines: what
 * they may use differs from job to job.
 */
export class UnplacedRequests {
  /** Sizes that fit nowhere, by what else decides which machines a task may use; see `flagsOf`. */
  private readonly sizesByFlags = [0, 1, 2, 3].map(() => new Map<string, Resources[]>());

  /** A task of the job found no capacity, and none can be made for it. */
  note(job: LiveJob): void {
    if (!isComparable(job)) return;
    const { requestKind, spec } = job;
    const sizes = this.sizesByFlags[flagsOf(job)]!;
    const known = sizes.get(requestKind);
    if (known === undefined) sizes.set(requestKind, [spec]);
    else if (!known.some((size) => fits(size, spec))) known.push(spec);
  }

  /** Whether a task of the job is sure to find no capacity either. */
  covers(job: LiveJob): boolean {
    if (!isComparable(job)) return false;
    const known = this.sizesByFlags[flagsOf(job)]!.get(job.requestKind);
    if (known === undefined) return false;
    for (const size of known) if (fits(size, job.spec)) return true;
    return false;
  }
}

function isComparable(job: LiveJob): boolean {
  const { spec } = job;
  return !job.isGang && !spec.oneZone && !spec.scatter && job.failedOn.size === 0;
}

/** What changes from pass to pass: long work has a share of its own, a guarantee lets it stop other work. */
function flagsOf({ isLong, isGuaranteed }: LiveJob): number {
  return (isLong ? 1 : 0) + (isGuaranteed ? 2 : 0);
}
