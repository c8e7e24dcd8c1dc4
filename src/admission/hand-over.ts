import type { Clock } from '../clock.js';
import type { Log } from '../log.js';
import type { PeerNet } from '../peers/peers.js';
import { ANSWER_WAIT_S } from '../wire/workers.js';
import type { Overload } from './overload.js';

/** Seconds that another controller may take to say how far behind it is: a share of a worker's wait. */
const ASK_WAIT_S = ANSWER_WAIT_S * 0.25;
/** Another controller had better lead when its delay is below this share of the leader's. */
const FITTER_SHARE = 0.5;
/** A controller hands over no more than once in so many workers' leases. */
const GAP_LEASES = 2;

export interface HandOverOptions {
  overload: Overload;
  peers: Pick<PeerNet, 'names' | 'ask'>;
  clock: Clock;
  log: Log;
  leaseS: number;
  leads: () => boolean;
  /** Gives up leadership, so that another controller is elected at once. */
  resign: () => Promise<void>;
}

/**
 * An overloaded leader hands over. It renews its own lease, which is little work, while workers' reports
 * wait longer than the workers do: on a controller that had become three times slower, leadership was
 * kept like this until the leases of all machines had run out. Where no other controller is better
 * off it stays.
 */
export class HandOver {
  private asking = false;
  private resignedAt = -Infinity;

  constructor(private readonly options: HandOverOptions) {}

  /** Called regularly. Resolves once it is decided. */
  async consider(): Promise<void> {
    const { leads, overload, clock, leaseS } = this.options;
    if (this.asking || !leads()) return;
    if (!overload.tooLateToLead(clock.now())) return;
    if (clock.now() - this.resignedAt < leaseS * GAP_LEASES) return;
    this.asking = true;
    try {
      if (!(await this.anotherIsFitter()) || !leads()) return;
      // It may have caught up while the others answered.
      if (!overload.tooLateToLead(clock.now())) return;
      this.resignedAt = clock.now();
      this.options.log.info({ delayS: overload.delayS }, 'too late to lead: hands over');
      await this.options.resign();
    } finally {
      this.asking = false;
    }
  }

  private async anotherIsFitter(): Promise<boolean> {
    const { peers, overload } = this.options;
    const delayS = Math.max(overload.delayS, overload.meanLagS);
    const answers = await Promise.all(
      peers.names.map((node) => peers.ask(node, { q: 'there' }, ASK_WAIT_S)),
    );
    return answers.some(
      (answer) =>
        answer?.served === true &&
        typeof answer.delayS === 'number' &&
        answer.delayS < delayS * FITTER_SHARE,
    );
  }
}
