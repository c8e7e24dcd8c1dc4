import type { CancellationBroadcast } from '../cancellation/cancellation-broadcast.js';
import type { RequestForwarder } from '../api/request-forwarder.js';
import type { RequestQueue } from '../admission/request-queue.js';
import type { LatencyHistograms } from '../latency-histograms.js';
import type { HeartbeatHandler } from '../heartbeat/heartbeat-handler.js';
import type { Election } from '../leadership/election.js';
import type { LeaderAcknowledgements } from '../leadership/leader-acknowledgements.js';
import type { Answer, Question, QuestionOf, ReplyAnswer } from '../peers/messages.js';
import { CLASS_OF, FORWARDED_PATIENCE_S } from './request-classes.js';

/** What a `PeerQuestionHandler` works with. */
export interface PeerQuestionHandlerOptions {
  requests: RequestQueue;
  latencies: LatencyHistograms;
  heartbeats: HeartbeatHandler;
  forwarder: RequestForwarder;
  election: Election;
  acknowledgements: LeaderAcknowledgements;
  cancellations: CancellationBroadcast;
  /** Cancellations that another controller knows to be stored. */
  cancellationsHeard: (ids: string[]) => void;
}

/** Answers what other controllers ask. */
export class PeerQuestionHandler {
  constructor(private readonly options: PeerQuestionHandlerOptions) {}

  /** Answers a question of another controller; the answer is of the question's kind. */
  answer(question: Question): Promise<Answer> | Answer {
    const { acknowledgements, cancellations, election, cancellationsHeard } = this.options;
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
        cancellations.noteAnnounced(question.job);
        return { told: true };
      case 'cancelled':
        cancellationsHeard([question.job]);
        return { noted: true };
      case 'refused':
        return election.outage.answer(question.token, question.forMs, question.applied);
    }
  }

  private report({ body, hop }: QuestionOf<'report'>): ReplyAnswer | Promise<ReplyAnswer> {
    const { latencies, heartbeats, requests } = this.options;
    const work = (): ReplyAnswer | Promise<ReplyAnswer> => {
      const reply = latencies.time('report', () => heartbeats.handleForwarded(body, hop));
      if (reply instanceof Promise)
        return reply.then((answer) => ({ ...(answer ?? { status: 504 }) }));
      return { ...reply };
    };
    return requests.run('report', work, { status: 503 }, FORWARDED_PATIENCE_S);
  }

  private user({ to, text }: QuestionOf<'user'>): ReplyAnswer | Promise<ReplyAnswer> {
    const { forwarder, requests } = this.options;
    const work = (): Promise<ReplyAnswer> => forwarder.serveForwarded(to, text);
    // Refused without a status: another controller may have time for it.
    return requests.run<ReplyAnswer>(CLASS_OF[to], work, {});
  }
}
