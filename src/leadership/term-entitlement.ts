/** How long the leader of one term may act: the one rule by which that time begins, is extended and ends. */

import { MAX_CLOCK_DRIFT, type Clock } from '../clock.js';

/** Seconds by which a leader's lease is taken to end before it does in the store. */
const LEASE_MARGIN_S = 0.02;

/** When a lease ends at the earliest that was granted or renewed by a request sent at this time, in steady seconds. */
export function leaseEnd(sentAt: number, leaseTtlS: number): number {
  // The lease ends a life after the request was carried out, which is no earlier than it was sent.
  return sentAt + leaseTtlS * (1 - 2 * MAX_CLOCK_DRIFT) - LEASE_MARGIN_S;
}

/**
 * The entitlement of one term of leadership, in steady seconds. It is extended while it lasts, by a renewal of the
 * leader's lease or by a majority's word in an outage. Once it has lapsed the term is over, whatever arrives later:
 * others may have acted in the leader's place meanwhile, and only a new election, with a new acknowledgement, knows of it.
 */
export class TermEntitlement {
  private lapsed = false;

  constructor(
    private readonly clock: Clock,
    private until: number,
  ) {}

  /** When it lapses, unless it is extended before. */
  get validUntil(): number {
    return this.until;
  }

  /** Whether it has lapsed, now or at any time before. */
  get hasLapsed(): boolean {
    if (this.clock.now() >= this.until) this.lapsed = true;
    return this.lapsed;
  }

  /** Extends it; false: it has lapsed already, and stays so. */
  extend(until: number): boolean {
    if (this.hasLapsed) return false;
    this.until = Math.max(this.until, until);
    return true;
  }
}
