/** Renewals of leases by substitutes: a majority is asked about them when a lease seems to have expired. */

import type { Clock } from '../clock.js';
import type { ElectedAnswer } from '../peers/messages.js';
import { QuorumAcknowledgement } from './quorum-acknowledgement.js';

/** What is known of renewals by others, in steady seconds. */
export interface RenewalKnowledge {
  /** Until when others may renew leases, or may have renewed them. */
  renewedUntil: number;
  /** Time up to which `renewedUntil` is certain: later renewals may be unknown. */
  provenUntil: number;
}

/** Dependencies and settings of `SubstituteRenewals`. */
export interface SubstituteRenewalsOptions {
  /** Acknowledgement of the leader that asks; until it is reached, others may renew with older tokens. */
  acknowledged: QuorumAcknowledgement;
  controllerCount: number;
  clock: Clock;
  /** Names of the other controllers. */
  names: () => readonly string[];
  /** Asks one of them to acknowledge the leader with this token; null: no answer. */
  requestAcknowledgement: (node: string, token: number) => Promise<ElectedAnswer | null>;
}

/**
 * Renewals by substitutes that the leader may not have noticed: it was frozen during an outage, or cut off from the others
 * while each of them was refused. A substitute needs the confirmation of a majority, whose members remember until when it
 * is valid. So a lease has certainly expired only when a majority, asked after its end, knows of no renewal that the
 * leader has not taken into account: any two majorities share a controller.
 */
export class SubstituteRenewals {
  private latestProof: RenewalKnowledge = { renewedUntil: -Infinity, provenUntil: -Infinity };
  private round: Promise<boolean> | null = null;

  constructor(private readonly options: SubstituteRenewalsOptions) {}

  /** Result of the acknowledgement of the leader and of the latest round that a majority answered. */
  get known(): RenewalKnowledge {
    const { renewedUntil, provenUntil } = this.latestProof;
    const { othersRenewUntil } = this.options.acknowledged;
    return { renewedUntil: Math.max(renewedUntil, othersRenewUntil), provenUntil };
  }

  /** Asks all others; resolves with true once a majority has answered, or with false if no majority does. */
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
    this.latestProof = { renewedUntil: answers.othersRenewUntil, provenUntil: askedAt };
    return true;
  }

  /** Resolves once a majority has answered, or when each has answered or timed out. */
  private collect(answers: QuorumAcknowledgement): Promise<void> {
    const { acknowledged, names, requestAcknowledgement } = this.options;
    return new Promise((resolve) => {
      const askOne = async (node: string): Promise<void> => {
        const remainsS = (await requestAcknowledgement(node, acknowledged.token))?.remainsS;
        if (remainsS !== undefined) answers.record(node, { remainsS });
        if (answers.state === 'reached') resolve();
      };
      void Promise.all(names().map(askOne)).then(() => resolve());
    });
  }
}
