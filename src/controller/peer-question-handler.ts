import type { CancellationNotices } from '../cancellation/cancellation-broadcast.js';
import type { RequestForwarder } from '../api/request-forwarder.js';
import type { RequestQueue } from '../admission/request-queue.js';
import type { Costs } from '../latency-histograms.js';
import type { HeartbeatHandler } from '../heartbeat/heartbeat-handler.js';
import type { Election } from '../leadership/election.js';
import type { LeaderAcknowledgements } from '../leadership/leader-acknowledgements.js';
import type { Answer, Question, QuestionOf, ReplyAnswer } from '../peers/messages.js';
import { CLASS_OF, PASSED_ON_PATIENCE_S } from './request-classes.js';

export interface PeerAnswersOptions {
  requests: RequestQueue;
  costs: Costs;
  heartbeats: HeartbeatHandler;
  forwarder: RequestForwarder;
  election: Election;
  acknowledgements: LeaderAcknowledgements;
  cancellationNotices: CancellationNotices;
  /** Cancellations that another controller knows to be stored. */
  knownCancelled: (ids: string[]) => void;
}

/** Answers what other controllers ask. */
export class PeerAnswers {
  constructor(private readonly options: PeerAnswersOptions) {}

  answer(question: Question): Promise<Answer> | Answer {
    const { acknowledgements, cancellationNotices, election, knownCancelled } = this.options;
    switch (question.q) {
      case 'report':
        return this.report(question);
      case 'elected':
        return acknowledgements.answer(question.token);
      case 'there':
        return { there: true };
      case 'user':
        return this.user(question);
      case 'cancelling':
        cancellationNotices.noteAnnounced(question.job);
        return { told: true };
      case 'cancelled':
        knownCancelled([question.job]);
        return { noted: true };
      case 'refused':
        return election.outage.answer(question.token, question.forMs, question.applied);
    }
  }

  private report({ body, hop }: QuestionOf<'report'>): ReplyAnswer | Promise<ReplyAnswer> {
    const { costs, heartbeats, requests } = this.options;
    const work = (): ReplyAnswer | Promise<ReplyAnswer> => {
      const reply = costs.time('report', () => heartbeats.handleForwarded(body, hop));
      if (reply instanceof Promise) return reply.then((r) => ({ ...(r ?? { status: 504 }) }));
      return { ...reply };
    };
    return requests.run('report', work, { status: 503 }, PASSED_ON_PATIENCE_S);
  }

  private user({ to, text }: QuestionOf<'user'>): ReplyAnswer | Promise<ReplyAnswer> {
    const { forwarder, requests } = this.options;
    const work = (): Promise<ReplyAnswer> => forwarder.passedOn(to, text);
    // Refused without a status: another controller may have time for it.
    return requests.run<ReplyAnswer>(CLASS_OF[to], work, {});
  }
}
