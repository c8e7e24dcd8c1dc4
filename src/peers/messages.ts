import * as v from 'valibot';

/**
 * Messages between controllers and their validation. On a connection, the initiator sends questions and the
 * acceptor sends the answers. Both sides also send their health from time to time.
 */

/**
 * Incremented when a message changes in a way that another version would misinterpret. Controllers with
 * different protocol versions do not exchange messages.
 */
export const PROTOCOL_VERSION = 2;

/** Maximum length of a job id in a message, in characters. */
const MAX_JOB_ID = 200;

/** A question of one controller to another. The field names are part of the protocol between controllers. */
export type Question =
  /** A worker's heartbeat, forwarded unchanged. `hop`: the receiver forwards it to the leader if it does not lead. */
  | { q: 'report'; body: Buffer; hop: boolean }
  /**
   * Asks whether the key-value store refuses the receiver too. If it does, the receiver promises not to take
   * over leadership for about `forMs` and answers with the cancellations stored after the revision `applied`.
   */
  | { q: 'refused'; token: number; forMs: number; applied: number }
  /** Asks the receiver to acknowledge the leader with this token. */
  | { q: 'elected'; token: number }
  /** Asks whether the receiver is reachable. */
  | { q: 'there' }
  /** A user's request, forwarded by a controller that the key-value store does not serve. */
  | { q: 'user'; to: 'submit' | 'poll' | 'cancel'; text: string }
  /** A cancellation is about to be stored: the receiver stops the job's tasks if its zone is cut off. */
  | { q: 'cancelling'; job: string }
  /** A cancellation is stored: the receiver records it, even if its replica does not show it. */
  | { q: 'cancelled'; job: string };

/** The kind of a question. */
export type QuestionKind = Question['q'];
/** The question of one kind. */
export type QuestionOf<K extends QuestionKind> = Extract<Question, { q: K }>;

/** The reply to an HTTP request, returned to the controller that forwarded the request. */
export interface ReplyAnswer {
  status?: number;
  body?: string;
  /** In seconds. */
  retryAfter?: number;
}

/** The answer to `refused`. */
export interface RefusedAnswer {
  /** Whether the key-value store refuses the answering controller. */
  refused?: boolean;
  /** Ids of cancelled jobs. */
  cancelled?: string[];
  /** Seconds since the answering controller last knew every stored cancellation for certain. */
  freshAgeS?: number;
}

/** The answer to `elected`. */
export interface ElectedAnswer {
  /** Seconds until the promises and lease renewals of the answering controller have ended; negative if they have. */
  remainsS?: number;
}

/**
 * The answer to each kind of question. All fields are optional: a controller that has no answer, or that
 * received a malformed question, sends an empty answer, and a malformed field is dropped on arrival.
 */
export interface AnswerByKind {
  report: ReplyAnswer;
  refused: RefusedAnswer;
  elected: ElectedAnswer;
  there: { there?: boolean };
  user: ReplyAnswer;
  cancelling: { told?: boolean };
  cancelled: { noted?: boolean };
}

/** The answer to any question. */
export type Answer = AnswerByKind[QuestionKind];
/** The answer to one question. */
export type AnswerTo<Q extends Question> = AnswerByKind[Q['q']];

/** The health of a controller, by which its ability to lead is judged. */
export interface ControllerHealth {
  /** How late it is, in seconds; see `Overload.latenessS`. */
  latenessS: number;
  /** Whether the key-value store serves it. */
  served: boolean;
  /** Recent waiting time in seconds of heartbeats that it forwarded to the leader; missing if it forwarded none. */
  relayS?: number;
}

/**
 * A capability that earlier versions with the same protocol lack. A version that sends no list of
 * features has none of them.
 */
export type Feature =
  /** Jobs that depend on other jobs, and all record formats introduced with them. */
  'pipelines';
/** Features of this version. */
export const FEATURES: readonly Feature[] = ['pipelines'];

/** The first frame of a connection. */
export interface HelloFrame {
  v: number;
  from: string;
  features: readonly string[];
}

/** The initiator of a connection and the features of its version. */
export interface Hello {
  from: string;
  features: ReadonlySet<string>;
}
/** A question with the id that its answer will carry. */
export interface QuestionFrame {
  id: number;
  q: Question;
}
/** An answer with the id of its question. */
export interface AnswerFrame {
  id: number;
  a: Answer;
}
/** The sender's health, sent in both directions. The key `fitness` is part of the protocol. */
export interface HealthFrame {
  fitness: ControllerHealth;
}

/** A frame that violates the protocol. The receiver closes the connection. */
export class MalformedFrameError extends Error {}

type Fields = Record<string, unknown>;

const isFields = (raw: unknown): raw is Fields => raw !== null && typeof raw === 'object';

function requireFields(frame: unknown): Fields {
  if (!isFields(frame)) throw new MalformedFrameError('no object');
  return frame;
}

function requireFrameId(frame: Fields): number {
  if (typeof frame.id !== 'number') throw new MalformedFrameError('no id');
  return frame.id;
}

const finite = v.pipe(v.number(), v.finite());
const nonNegative = v.pipe(finite, v.minValue(0));
const revision = v.pipe(v.number(), v.safeInteger(), v.minValue(0));
const jobId = v.pipe(v.string(), v.maxLength(MAX_JOB_ID));

// Questions

const questionSchema = v.variant('q', [
  v.object({ q: v.literal('refused'), token: revision, forMs: nonNegative, applied: revision }),
  v.object({ q: v.literal('elected'), token: revision }),
  v.object({ q: v.literal('there') }),
  v.object({
    q: v.literal('user'),
    to: v.picklist(['submit', 'poll', 'cancel']),
    text: v.string(),
  }),
  v.object({ q: v.literal('cancelling'), job: jobId }),
  v.object({ q: v.literal('cancelled'), job: jobId }),
]);

/** Validates a question. Returns null if it is malformed or of an unknown kind. */
export function parseQuestion(raw: Fields): Question | null {
  // Validated without valibot for speed: hundreds of heartbeats arrive every second.
  if (raw.q === 'report') return parseHeartbeatQuestion(raw);
  const result = v.safeParse(questionSchema, raw);
  return result.success ? result.output : null;
}

function parseHeartbeatQuestion({ body, hop }: Fields): QuestionOf<'report'> | null {
  if (!Buffer.isBuffer(body)) return null;
  return { q: 'report', body, hop: hop === true };
}

// Answers

const optionalBoolean = v.fallback(v.optional(v.boolean()), undefined);
const optionalNumber = v.fallback(v.optional(finite), undefined);
const optionalString = v.fallback(v.optional(v.string()), undefined);

const ANSWER_SCHEMAS = {
  refused: v.object({
    refused: optionalBoolean,
    cancelled: v.fallback(v.optional(v.array(v.string())), undefined),
    freshAgeS: optionalNumber,
  }),
  elected: v.object({ remainsS: optionalNumber }),
  there: v.object({ there: optionalBoolean }),
  user: v.object({ status: optionalNumber, body: optionalString, retryAfter: optionalNumber }),
  cancelling: v.object({ told: optionalBoolean }),
  cancelled: v.object({ noted: optionalBoolean }),
};

/** Validates the answer to a question of this kind. Returns null, which counts as no answer, if it is not an object. */
export function parseAnswer<K extends QuestionKind>(kind: K, raw: unknown): AnswerByKind[K] | null;
/** Overload for a kind that is not known at compile time. */
export function parseAnswer(kind: QuestionKind, raw: unknown): Answer | null {
  if (!isFields(raw)) return null;
  // Validated without valibot, as the question is.
  if (kind === 'report') return parseHeartbeatAnswer(raw);
  const result = v.safeParse(ANSWER_SCHEMAS[kind], raw);
  return result.success ? result.output : {};
}

function parseHeartbeatAnswer(raw: Fields): ReplyAnswer {
  const answer: ReplyAnswer = {};
  if (typeof raw.status === 'number') answer.status = raw.status;
  if (typeof raw.body === 'string') answer.body = raw.body;
  if (typeof raw.retryAfter === 'number') answer.retryAfter = raw.retryAfter;
  return answer;
}

// Frames

const helloSchema = v.object({
  v: v.literal(PROTOCOL_VERSION),
  from: v.string(),
  features: v.fallback(v.optional(v.array(v.string()), []), []),
});
const healthSchema = v.object({
  latenessS: nonNegative,
  served: v.boolean(),
  relayS: v.optional(nonNegative),
});

/** Validates the first frame of a connection. Throws MalformedFrameError. */
export function parseHello(frame: unknown): Hello {
  const result = v.safeParse(helloSchema, frame);
  if (!result.success) throw new MalformedFrameError('unknown version');
  const { from, features } = result.output;
  return { from, features: new Set(features) };
}

function parseHealth(raw: unknown): ControllerHealth {
  const result = v.safeParse(healthSchema, raw);
  if (!result.success) throw new MalformedFrameError('fitness');
  return result.output;
}

/** A frame sent by the initiator of a connection; `question` is null if it is malformed. */
export type InitiatorFrame =
  | { kind: 'question'; id: number; question: Question | null }
  | { kind: 'fitness'; fitness: ControllerHealth };

/** Validates a frame of the initiator after its hello. Throws MalformedFrameError. */
export function parseInitiatorFrame(raw: unknown): InitiatorFrame {
  const frame = requireFields(raw);
  if ('fitness' in frame) return { kind: 'fitness', fitness: parseHealth(frame.fitness) };
  const id = requireFrameId(frame);
  if (!isFields(frame.q)) throw new MalformedFrameError('no question');
  return { kind: 'question', id, question: parseQuestion(frame.q) };
}

/** A frame sent by the acceptor of a connection; `answer` is validated by `parseAnswer`. */
export type AcceptorFrame =
  { kind: 'answer'; id: number; answer: unknown } | { kind: 'fitness'; fitness: ControllerHealth };

/** Validates a frame of the acceptor. Throws MalformedFrameError. */
export function parseAcceptorFrame(raw: unknown): AcceptorFrame {
  const frame = requireFields(raw);
  if ('fitness' in frame) return { kind: 'fitness', fitness: parseHealth(frame.fitness) };
  return { kind: 'answer', id: requireFrameId(frame), answer: frame.a };
}
