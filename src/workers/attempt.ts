import { IllegalTransitionError } from '../illegal-transition.js';
import type { ExitCause } from '../wire/workers.js';

/**
 * The states of an attempt.
 *
 *   claiming   its claim is being stored
 *   claimed    the claim is stored; the start was not sent, or provably was not carried out
 *   inherited  claimed by an earlier leader: it may be on the machine
 *   sent       the start was sent: it may be on the machine
 *   fetching, waiting, running, saving   as reported by heartbeats
 *   ended      exited, but still reported by the worker's heartbeats
 *   gone       provably not on the machine, now or later
 */
export type AttemptState =
  | 'claiming'
  | 'claimed'
  | 'inherited'
  | 'sent'
  | 'fetching'
  | 'waiting'
  | 'running'
  | 'saving'
  | 'ended'
  | 'gone';

const REPORTED_OR_GONE: AttemptState[] = [
  'fetching',
  'waiting',
  'running',
  'saving',
  'ended',
  'gone',
];
const TRANSITIONS: Record<AttemptState, AttemptState[]> = {
  claiming: ['claimed', 'gone'],
  claimed: ['sent', 'gone', ...REPORTED_OR_GONE],
  inherited: REPORTED_OR_GONE,
  sent: ['claimed', ...REPORTED_OR_GONE],
  fetching: REPORTED_OR_GONE,
  waiting: REPORTED_OR_GONE,
  running: REPORTED_OR_GONE,
  saving: REPORTED_OR_GONE,
  ended: ['gone'],
  gone: [],
};

/** Why an attempt is to end. */
export type StopReason =
  | 'cancelled'
  | 'done-elsewhere'
  | 'gang-lost-a-task'
  | 'job-closed'
  | 'migrated'
  | 'preempted'
  | 'reclaimed'
  | 'subsystem'
  | 'unclaimed';

/** An attempt to run one task on one machine; times in seconds of the steady clock. */
export interface Attempt {
  job: string;
  index: number;
  number: number;
  machine: string;
  state: AttemptState;
  /**
   * Revision of this term's commit that stored the claim; null: claimed in another term, or not stored yet. A
   * start is sent directly only with a token below it, so that a higher token, which refuses the start, exists
   * without a further commit.
   */
  claimRevision: number | null;
  /** Agent epoch in which the start was sent or the attempt was last reported; null: unknown. */
  agentEpoch: number | null;
  /** Number of the heartbeat whose answer carried the start; null: no answer did. */
  sentInHeartbeat: number | null;
  /** A direct message with the start is in flight. */
  sendingDirectly: boolean;
  /**
   * Token of the direct message that carried the start. Answered or not, a copy of it may arrive at any time in its
   * agent epoch, and is carried out unless the worker knows the attempt or has seen a higher token. Null: there is none.
   */
  directStartToken: number | null;
  cause: ExitCause | null;
  saved: boolean;
  /** The requested stop: when and why, its grace period, and when the command was sent. Null: none. */
  stopRequest: { at: number; graceS: number; sentAt: number | null; reason: StopReason } | null;
  /** Its end has been processed and stored: the worker may forget it. */
  settled: boolean;
  createdAt: number;
  startedAt: number | null;
  endedAt: number | null;
  rejectedStarts: number;
  /** Predicted fetch time of this attempt alone, in seconds; 0: no prediction, or it shares a fetch. */
  predictedFetchS: number;
  /** When its start was sent. */
  startSentAt: number | null;
}

/** The fields that identify an attempt, and its machine. */
export type AttemptIdentity = Pick<Attempt, 'job' | 'index' | 'number' | 'machine'>;

/** Creates an attempt in the given state. */
export function makeAttempt(
  { job, index, number, machine }: AttemptIdentity,
  state: AttemptState,
  now: number,
): Attempt {
  return {
    job,
    index,
    number,
    machine,
    state,
    claimRevision: null,
    agentEpoch: null,
    sentInHeartbeat: null,
    sendingDirectly: false,
    directStartToken: null,
    cause: null,
    saved: false,
    stopRequest: null,
    settled: false,
    createdAt: now,
    startedAt: null,
    endedAt: null,
    rejectedStarts: 0,
    predictedFetchS: 0,
    startSentAt: null,
  };
}

/** Changes an attempt's state; no other function does. False: it already had this state. */
export function advanceAttempt(attempt: Attempt, to: AttemptState, now: number): boolean {
  if (attempt.state === to) return false;
  if (!TRANSITIONS[attempt.state].includes(to)) {
    const { job, index, number } = attempt;
    throw new IllegalTransitionError(
      `attempt ${attemptKey(job, index, number)}`,
      attempt.state,
      to,
    );
  }
  attempt.state = to;
  if (to === 'running' && attempt.startedAt === null) attempt.startedAt = now;
  if ((to === 'ended' || to === 'gone') && attempt.endedAt === null) attempt.endedAt = now;
  return true;
}

/** Whether it occupies capacity on its machine, in its zone and in its team's limit. */
export const occupiesCapacity = (attempt: Attempt): boolean =>
  attempt.state !== 'ended' && attempt.state !== 'gone';

/** Whether the worker may know of it, so that a command is needed to stop it. */
export const mayBeOnMachine = (attempt: Attempt): boolean =>
  occupiesCapacity(attempt) && attempt.state !== 'claiming' && attempt.state !== 'claimed';

/** The key of an attempt. */
export const attemptKey = (job: string, index: number, number: number): string =>
  `${job}/${index}#${number}`;
