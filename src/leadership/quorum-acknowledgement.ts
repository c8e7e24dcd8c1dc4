import type { Clock } from '../clock.js';

/** What another controller says of a leader: it has acknowledged it, and what it promised others. */
export interface Acknowledged {
  /** Seconds until the last of its promises to others has ended; negative: it has. */
  remainsS: number;
}

/**
 * The acknowledgement of a leader by a majority. Whoever renews leases for a former leader, because it
 * takes a refusal for an outage (`Election.continueInOutage`, `OutageQuorum.mayRenewLeases`), needs a majority of
 * controllers that say they are refused too. Two that are each refused alone can make one, beside a
 * third that is served and elected. So before this leader counts any lease as run out, a majority must
 * have acknowledged it: whoever has gives no such word for an older leader any more, and any two
 * majorities share a node.
 *
 *   pending  leases may be renewed by others at this moment
 *   reached  they have not been since `keptUntil`, and never will be
 */
export class QuorumAcknowledgement {
  private readonly promiseEnds = new Map<string, number>();

  constructor(
    readonly token: number,
    private readonly controllerCount: number,
    private readonly clock: Clock,
  ) {}

  /** Whether a majority has acknowledged the leader. */
  get state(): 'pending' | 'reached' {
    return this.promiseEnds.size >= this.needed ? 'reached' : 'pending';
  }

  /** Others that make a majority together with this controller. */
  private get needed(): number {
    return Math.floor(this.controllerCount / 2);
  }

  /** Whether this controller has acknowledged it. */
  has(node: string): boolean {
    return this.promiseEnds.has(node);
  }

  /** A controller has acknowledged the leader; its first word counts. */
  record(node: string, acknowledged: Acknowledged): void {
    if (!this.promiseEnds.has(node))
      this.promiseEnds.set(node, this.clock.now() + acknowledged.remainsS);
  }

  /** Until when others may renew, or may have renewed, leases with an older token. */
  get othersRenewUntil(): number {
    if (this.state === 'pending') return this.clock.now();
    const ends = [...this.promiseEnds.values()].sort((a, b) => a - b);
    return this.needed === 0 ? -Infinity : ends[this.needed - 1]!;
  }
}
