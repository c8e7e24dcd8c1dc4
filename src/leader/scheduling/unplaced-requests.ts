/** Requests that found no capacity earlier in a scheduling cycle. */

import type { LiveJob } from '../../jobs/live-job.js';
import { fits, type Resources } from '../../jobs/types.js';

/**
 * Remembers which requests found no capacity in this scheduling cycle, so that no search is repeated for
 * a request of the same size or larger.
 *
 * Within a scheduling cycle capacity only shrinks: free capacity is allocated but never released, the
 * excess over the warm target only falls, and each preemption leaves fewer victims. So if a task of one
 * job fits nowhere and nothing can be preempted for it, the same holds for a task that is at least as
 * large in each resource and that may use the same machines and preempt the same work. Without this, in a
 * burst of arrays most of a scheduling cycle was spent on searching all machines in vain for each waiting
 * job.
 *
 * Not used for gangs, jobs bound to one zone or spread over several, and jobs that avoid machines: the
 * machines that they may use differ from job to job.
 */
export class UnplacedRequests {
  /** Sizes that fit nowhere, by `flagsOf` and request kind, on which the usable machines depend too. */
  private readonly sizesByFlags = [0, 1, 2, 3].map(() => new Map<string, Resources[]>());

  /** Called when a task of the job found no capacity and none can be made for it. */
  note(job: LiveJob): void {
    if (!isComparable(job)) return;
    const { placementKey, spec } = job;
    const sizes = this.sizesByFlags[flagsOf(job)]!;
    const known = sizes.get(placementKey);
    if (known === undefined) sizes.set(placementKey, [spec]);
    else if (!known.some((size) => fits(size, spec))) known.push(spec);
  }

  /** Whether a task of the job is certain to find no capacity either. */
  covers(job: LiveJob): boolean {
    if (!isComparable(job)) return false;
    const known = this.sizesByFlags[flagsOf(job)]!.get(job.placementKey);
    if (known === undefined) return false;
    for (const size of known) if (fits(size, job.spec)) return true;
    return false;
  }
}

function isComparable(job: LiveJob): boolean {
  const { spec } = job;
  return !job.isGang && !spec.oneZone && !spec.scatter && job.failures.size === 0;
}

/** Properties that change between cycles: long work has a share, guaranteed work may preempt more. */
function flagsOf({ isLong, isGuaranteed }: LiveJob): number {
  return (isLong ? 1 : 0) + (isGuaranteed ? 2 : 0);
}
