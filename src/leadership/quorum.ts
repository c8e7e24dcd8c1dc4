import type { Clock } from '../clock.js';

/** What another controller says of a leader: it has acknowledged it, and what it promised others. */
export interface Acknowledged {
  /** Seconds until the last of its promises to others has ended; negative: it has. */
  remainsS: number;
}

/**
 * The acknowledgement of a leader by a majority. Whoever renews leases for a former leader, because it
 * takes a refusal for an outage (`Election.continueInOutage`, `OutageQuorum.mayKeep`), needs a majority of
 * controllers that say they are refused too. Two that are each refused alone can make one, beside a
 * third that is served and elected. So before this leader counts any lease as run out, a majority must
 * have acknowledged it: whoever has gives no such word for an older leader any more, and any two
 * majorities share a node.
 *
 *   pending  leases may be renewed by others at this moment
 *   reached  they have not been since `keptUntil`, and never will be
 */
export class QuorumAcknowledgement {
  private readonly ends = new Map<string, number>();

  constructor(
    readonly token: number,
    private readonly nodes: number,
    private readonly clock: Clock,
  ) {}

  get state(): 'pending' | 'reached' {
    return this.ends.size >= this.needed ? 'reached' : 'pending';
  }

  /** Others that make a majority together with this controller. */
  private get needed(): number {
    return Math.floor(this.nodes / 2);
  }

  has(node: string): boolean {
    return this.ends.has(node);
  }

  note(node: string, a: Acknowledged): void {
    if (!this.ends.has(node)) this.ends.set(node, this.clock.now() + a.remainsS);
  }

  /** Until when others may renew, or may have renewed, leases with an older token. */
  get keptUntil(): number {
    if (this.state === 'pending') return this.clock.now();
    const ends = [...this.ends.values()].sort((a, b) => a - b);
    return this.needed === 0 ? -Infinity : ends[this.needed - 1]!;
  }
}
