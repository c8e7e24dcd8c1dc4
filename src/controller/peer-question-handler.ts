import type { CancellationBroadcast } from '../cancellation/cancellation-broadcast.js';
import type { RequestForwarder } from '../api/request-forwarder.js';
import type { RequestQueue } from '../admission/request-queue.js';
import type { LatencyHistograms } from '../latency-histograms.js';
import type { HeartbeatHandler } from '../heartbeat/heartbeat-handler.js';
import type { Election } from '../leadership/election.js';
import type { LeaderAcknowledgements } from '../leadership/leader-acknowledgements.js';
import type { Answer, Question, QuestionOf, ReplyAnswer } from '../peers/messages.js';
import { CLASS_OF, FORWARDED_QUEUE_TIMEOUT_S } from './request-classes.js';

/** Dependencies of a `PeerQuestionHandler`. */
export interface PeerQuestionHandlerOptions {
  requests: RequestQueue;
  latencies: LatencyHistograms;
  heartbeats: HeartbeatHandler;
  forwarder: RequestForwarder;
  election: Election;
  acknowledgements: LeaderAcknowledgements;
  cancellations: CancellationBroadcast;
  /** Called with cancellations that are stored, as another controller reports. */
  onCancellationsStored: (ids: string[]) => void;
}

/** Answers the questions of other controllers. */
export class PeerQuestionHandler {
  constructor(private readonly options: PeerQuestionHandlerOptions) {}

  /** Answers a question of another controller; the answer's type matches the question. */
  answer(question: Question): Promise<Answer> | Answer {
    const { acknowledgements, cancellations, election, onCancellationsStored } = this.options;
    switch (question.q) {
      case 'report':
        return this.handleHeartbeat(question);
      case 'elected':
        return acknowledgements.answer(question.token);
      case 'there':
        return { there: true };
      case 'user':
        return this.handleUserRequest(question);
      case 'cancelling':
        cancellations.noteAnnounced(question.job);
        return { told: true };
      case 'cancelled':
        onCancellationsStored([question.job]);
        return { noted: true };
      case 'refused':
        return election.outageQuorum.answer(question.token, question.forMs, question.applied);
    }
  }

  private handleHeartbeat({ body, hop }: QuestionOf<'report'>): ReplyAnswer | Promise<ReplyAnswer> {
    const { latencies, heartbeats, requests } = this.options;
    const work = (): ReplyAnswer | Promise<ReplyAnswer> => {
      const reply = latencies.time('report', () => heartbeats.handleForwarded(body, hop));
      if (reply instanceof Promise)
        return reply.then((answer) => ({ ...(answer ?? { status: 504 }) }));
      return { ...reply };
    };
    return requests.run('report', work, { status: 503 }, FORWARDED_QUEUE_TIMEOUT_S);
  }

  private handleUserRequest({ to, text }: QuestionOf<'user'>): ReplyAnswer | Promise<ReplyAnswer> {
    const { forwarder, requests } = this.options;
    const work = (): Promise<ReplyAnswer> => forwarder.serveForwarded(to, text);
    // Refused without a status, so that the peer asks another controller.
    return requests.run<ReplyAnswer>(CLASS_OF[to], work, {});
  }
}
