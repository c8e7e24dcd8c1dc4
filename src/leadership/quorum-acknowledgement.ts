import type { Clock } from '../clock.js';

/** Another controller's acknowledgement of a leader. */
export interface LeaderAcknowledgement {
  /** Seconds until its promises to others and its renewals of leases have ended; negative: they have. */
  remainsS: number;
}

/**
 * The acknowledgement of a leader by a majority. A controller that renews leases for an earlier leader because it
 * takes a refusal for an outage (`Election.continueInOutage`, `OutageQuorum.mayRenewLeases`) needs a majority of
 * controllers that are refused too. Two controllers that are each refused alone can form one while a third is
 * served and elected. So before this leader counts any lease as expired, a majority must have acknowledged it: a
 * controller that has done so no longer confirms an outage to an older leader, and any two majorities share a
 * controller.
 *
 *   pending  others may be renewing leases with older tokens
 *   reached  no lease is renewed with an older token after `othersRenewUntil`
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

  /** Number of others that form a majority together with this controller. */
  private get needed(): number {
    return Math.floor(this.controllerCount / 2);
  }

  /** Whether the given controller has acknowledged the leader. */
  has(node: string): boolean {
    return this.promiseEnds.has(node);
  }

  /** Records a controller's acknowledgement; only its first one counts. */
  record(node: string, acknowledgement: LeaderAcknowledgement): void {
    if (!this.promiseEnds.has(node))
      this.promiseEnds.set(node, this.clock.now() + acknowledgement.remainsS);
  }

  /** Steady time until which others may renew, or may have renewed, leases with an older token. */
  get othersRenewUntil(): number {
    if (this.state === 'pending') return this.clock.now();
    const ends = [...this.promiseEnds.values()].sort((a, b) => a - b);
    return this.needed === 0 ? -Infinity : ends[this.needed - 1]!;
  }
}
