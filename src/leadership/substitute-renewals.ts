/** What a majority says of leases that were renewed in a leader's place, asked for when a lease seems to have expired. */

import type { Clock } from '../clock.js';
import type { ElectedAnswer } from '../peers/messages.js';
import { QuorumAcknowledgement } from './quorum-acknowledgement.js';

/** What is known of renewals that others give or gave, in steady seconds. */
export interface RenewalKnowledge {
  /** Until when others may renew leases, or may have renewed them. */
  keptUntil: number;
  /** Up to which moment that is certain: of what was renewed after it, nothing is known. */
  provenAt: number;
}

/** What `SubstituteRenewals` work with. */
export interface SubstituteRenewalsOptions {
  /** Acknowledgement of the leader that asks; until it is reached, others may renew with older tokens. */
  acknowledged: QuorumAcknowledgement;
  controllerCount: number;
  clock: Clock;
  /** The other controllers. */
  names: () => readonly string[];
  /** Asks one of them to acknowledge the leader of this token; null: no answer. */
  askElected: (node: string, token: number) => Promise<ElectedAnswer | null>;
}

/**
 * Renewals in the place of a leader that may not have noticed that it was away: it was frozen across an outage, or cut
 * off from the others while each of them was refused. Whoever renews in its place has the word of a majority, whose
 * members remember until when it holds. So a lease is over for certain only when a majority, asked after its end, knows of no
 * renewal that it does not count with: any two majorities share a controller.
 */
export class SubstituteRenewals {
  private latest: RenewalKnowledge = { keptUntil: -Infinity, provenAt: -Infinity };
  private round: Promise<boolean> | null = null;

  constructor(private readonly options: SubstituteRenewalsOptions) {}

  /** By the acknowledgement of the leader, and by the latest round that a majority answered. */
  get known(): RenewalKnowledge {
    const { keptUntil, provenAt } = this.latest;
    const { othersRenewUntil } = this.options.acknowledged;
    return { keptUntil: Math.max(keptUntil, othersRenewUntil), provenAt };
  }

  /** Asks all others; resolves once a majority has answered, or with false when none does. */
  request(): Promise<boolean> {
    this.round ??= this.runRound().finally(() => (this.round = null));
    return this.round;
  }

  private async runRound(): Promise<boolean> {
    const { acknowledged, controllerCount, clock } = this.options;
    const askedAt = clock.now();
    const answers = new QuorumAcknowledgement(acknowledged.token, controllerCount, clock);
    await this.collect(answers);
    if (answers.state === 'pending') return false;
    this.latest = { keptUntil: answers.othersRenewUntil, provenAt: askedAt };
    return true;
  }

  /** Resolves at the majority's last answer, or when all have answered or kept silent. */
  private collect(answers: QuorumAcknowledgement): Promise<void> {
    const { acknowledged, names, askElected } = this.options;
    return new Promise((resolve) => {
      const askOne = async (node: string): Promise<void> => {
        const remainsS = (await askElected(node, acknowledged.token))?.remainsS;
        if (remainsS !== undefined) answers.record(node, { remainsS });
        if (answers.state === 'reached') resolve();
      };
      void Promise.all(names().map(askOne)).then(() => resolve());
    });
  }
}
