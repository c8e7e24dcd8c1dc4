import { IllegalTransitionError } from '../illegal-transition.js';
import type { ExitCause } from '../wire/workers.js';

/**
 * One try of one task on one machine.
 *
 *   claiming   the claim is on its way into the store
 *   claimed    stored; the start has not been sent, or provably was not carried out
 *   inherited  claimed by an earlier leader: it may be on the machine
 *   sent       the start went out: it may be on the machine
 *   fetching, waiting, running, saving   as the heartbeats say
 *   ended      exited, still in the worker's heartbeats
 *   gone       provably not on the machine and never will be
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

/** One try of one task on one machine; times in seconds of the steady clock. */
export interface Attempt {
  job: string;
  index: number;
  number: number;
  machine: string;
  state: AttemptState;
  /**
   * Revision of this term's commit that stored the claim; null: not of this term, or not stored yet. A start is sent
   * directly only with a token below it: then a higher token that refuses the start is there without a further commit.
   */
  claimRevision: number | null;
  /** Session of the worker for which the start went out; null: not known. */
  agentEpoch: number | null;
  /** The start went out in the answer to the heartbeat with this number. */
  sentInHeartbeat: number | null;
  /** A direct message with the start is under way. */
  sendingDirectly: boolean;
  /**
   * Token of a direct message with the start that was never answered: it may arrive at any time in its
   * session, unless the worker has seen a higher token. Null: there is none.
   */
  unansweredToken: number | null;
  cause: ExitCause | null;
  saved: boolean;
  /** Wanted gone: since when and with what grace. */
  stopRequest: { at: number; graceS: number; sentAt: number | null } | null;
  /** Its end has been dealt with and stored: the worker may forget it. */
  settled: boolean;
  createdAt: number;
  startedAt: number | null;
  endedAt: number | null;
  rejectedStarts: number;
  /** Seconds of fetching that were predicted for it alone; 0: none, or it shares a fetch. */
  predictedFetchS: number;
  /** When its start went out. */
  startSentAt: number | null;
}

/** Which try of which task, and where. */
export type AttemptName = Pick<Attempt, 'job' | 'index' | 'number' | 'machine'>;

/** A new attempt in this state. */
export function makeAttempt(
  { job, index, number, machine }: AttemptName,
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
    unansweredToken: null,
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

/** The one function through which an attempt changes its state. False: not a change. */
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

/** Whether it holds capacity on its machine, in its zone and in its team's limit. */
export const occupiesCapacity = (attempt: Attempt): boolean =>
  attempt.state !== 'ended' && attempt.state !== 'gone';

/** Whether the worker may know of it, so that it has to be stopped by command. */
export const mayBeOnMachine = (attempt: Attempt): boolean =>
  occupiesCapacity(attempt) && attempt.state !== 'claiming' && attempt.state !== 'claimed';

/** Names an attempt. */
export const attemptKey = (job: string, index: number, number: number): string =>
  `${job}/${index}#${number}`;
