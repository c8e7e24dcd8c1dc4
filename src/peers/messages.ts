import * as v from 'valibot';

/**
 * Messages between controllers, and their validation. A connection carries questions one way and their
 * answers the other way; both ways carry the sender's health now and then.
 */

/**
 * Raised when a message changes in a way that the other version would take wrongly. Controllers of
 * different versions do not talk to each other.
 */
export const PROTOCOL_VERSION = 2;

/** Longest id of a job in a message, in characters. */
const MAX_JOB_ID = 200;

/** What one controller asks another. Field names are part of the protocol between controllers. */
export type Question =
  /** A worker's heartbeat, forwarded as it came. `hop`: pass it on to the leader if you do not lead. */
  | { q: 'report'; body: Buffer; hop: boolean }
  /**
   * Does the state service refuse you too? Promise not to take over for a while if it does, and tell
   * the cancellations stored after the revision `applied`.
   */
  | { q: 'refused'; token: number; forMs: number; applied: number }
  /** A leader was elected: acknowledge it. */
  | { q: 'elected'; token: number }
  /** Are you there? */
  | { q: 'there' }
  /** A user's request, passed on by a controller that the state service does not serve. */
  | { q: 'user'; to: 'submit' | 'poll' | 'cancel'; text: string }
  /** A cancellation is about to be stored: stop its tasks if your zone is cut off. */
  | { q: 'cancelling'; job: string }
  /** A cancellation is stored: note it, whatever the state service shows you. */
  | { q: 'cancelled'; job: string };

/** Names the kinds of questions. */
export type QuestionKind = Question['q'];
/** The question of one kind. */
export type QuestionOf<K extends QuestionKind> = Extract<Question, { q: K }>;

/** What an HTTP request is answered with, told to the controller that has passed the request on. */
export interface ReplyAnswer {
  status?: number;
  body?: string;
  /** Seconds. */
  retryAfter?: number;
}

/** The answer to `refused`. */
export interface RefusedAnswer {
  /** Whether the key-value store refuses the one asked. */
  refused?: boolean;
  /** Ids of jobs. */
  cancelled?: string[];
  /** Seconds since the one asked is certain to have known every stored cancellation. */
  freshAgeS?: number;
}

/** The answer to `elected`. */
export interface ElectedAnswer {
  /** Seconds until the last promise of the one asked has ended; negative: it has. */
  remainsS?: number;
}

/**
 * The answer to each kind of question. All fields may be missing: whoever has nothing to say, or was
 * asked something malformed, gives an empty answer; and a malformed field is left out on arrival.
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

/** How well a controller is able to lead. */
export interface ControllerHealth {
  /** Seconds by which it is behind, see `Overload.latenessS`. */
  latenessS: number;
  /** Whether the key-value store serves it. */
  served: boolean;
  /** Seconds that heartbeats it forwarded to the leader waited lately; none: it passed none on. */
  relayS?: number;
}

/**
 * What a version can do that earlier ones with the same protocol cannot. A version without the list
 * has none of it.
 */
export type Feature =
  /** Jobs that need other jobs, and all forms of records that came with them. */
  'pipelines';
/** The features of this version. */
export const FEATURES: readonly Feature[] = ['pipelines'];

/** The first frame of a connection. */
export interface HelloFrame {
  v: number;
  from: string;
  features: readonly string[];
}

/** Who has opened a connection, and what its version can do. */
export interface Hello {
  from: string;
  features: ReadonlySet<string>;
}
/** A question with the number that its answer has. */
export interface QuestionFrame {
  id: number;
  q: Question;
}
/** An answer with the number of its question. */
export interface AnswerFrame {
  id: number;
  a: Answer;
}
/** The sender's health, which goes both ways. Its key is part of the protocol. */
export interface HealthFrame {
  fitness: ControllerHealth;
}

/** A frame that no controller sends: its connection is closed. */
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

/** Null: malformed, or of a kind that is not known. */
export function parseQuestion(raw: Fields): Question | null {
  // Checked by hand: heartbeats come hundreds of times a second.
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

/** The answer to a question of this kind. Null: it is no object, which counts as no answer. */
export function parseAnswer<K extends QuestionKind>(kind: K, raw: unknown): AnswerByKind[K] | null;
/** The same for a kind that is not known before. */
export function parseAnswer(kind: QuestionKind, raw: unknown): Answer | null {
  if (!isFields(raw)) return null;
  // Checked by hand, as the question is.
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

/** The first frame of a connection. Throws MalformedFrameError. */
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

/** What the controller that opened a connection sends on it; `question` null: a malformed one. */
export type InitiatorFrame =
  | { kind: 'question'; id: number; question: Question | null }
  | { kind: 'fitness'; fitness: ControllerHealth };

/** A later frame of the controller that asks. Throws MalformedFrameError. */
export function parseInitiatorFrame(raw: unknown): InitiatorFrame {
  const frame = requireFields(raw);
  if ('fitness' in frame) return { kind: 'fitness', fitness: parseHealth(frame.fitness) };
  const id = requireFrameId(frame);
  if (!isFields(frame.q)) throw new MalformedFrameError('no question');
  return { kind: 'question', id, question: parseQuestion(frame.q) };
}

/** What the controller that accepted a connection sends on it; `answer`: see `parseAnswer`. */
export type AcceptorFrame =
  { kind: 'answer'; id: number; answer: unknown } | { kind: 'fitness'; fitness: ControllerHealth };

/** A frame of the controller that answers. Throws MalformedFrameError. */
export function parseAcceptorFrame(raw: unknown): AcceptorFrame {
  const frame = requireFields(raw);
  if ('fitness' in frame) return { kind: 'fitness', fitness: parseHealth(frame.fitness) };
  return { kind: 'answer', id: requireFrameId(frame), answer: frame.a };
}
