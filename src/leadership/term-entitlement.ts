/** How long the leader of one term may act: the rules by which that time begins, is extended and ends. */

import { MAX_CLOCK_DRIFT, type Clock } from '../clock.js';

/** Safety margin: seconds by which a leader's lease is assumed to end earlier than in the store. */
const LEASE_MARGIN_S = 0.02;

/** Earliest end of a lease that was granted or renewed by a request sent at this time, in steady seconds. */
export function leaseEnd(sentAt: number, leaseTtlS: number): number {
  // The lease ends one TTL after the request was carried out, which is no earlier than it was sent.
  return sentAt + leaseTtlS * (1 - 2 * MAX_CLOCK_DRIFT) - LEASE_MARGIN_S;
}

/**
 * The entitlement of one term of leadership, in steady seconds. While it lasts, it is extended by a renewal of the
 * leader's lease or by the confirmation of a majority in an outage. Once it has lapsed, the term is over, whatever arrives
 * later: others may have acted in place of the leader meanwhile, and a leader learns of that only by the acknowledgement of
 * a new election.
 */
export class TermEntitlement {
  private lapsed = false;

  constructor(
    private readonly clock: Clock,
    private until: number,
  ) {}

  /** When the entitlement lapses unless it is extended before. */
  get validUntil(): number {
    return this.until;
  }

  /** Whether it has lapsed, now or at any time before. */
  get hasLapsed(): boolean {
    if (this.clock.now() >= this.until) this.lapsed = true;
    return this.lapsed;
  }

  /** Extends the entitlement; false: it has already lapsed and stays so. */
  extend(until: number): boolean {
    if (this.hasLapsed) return false;
    this.until = Math.max(this.until, until);
    return true;
  }
}
