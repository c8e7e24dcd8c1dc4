import type { Cause } from '../wire/workers.js';

/**
 * One try of one task on one machine.
 *
 *   claiming   the claim is on its way into the store
 *   claimed    stored; the start has not been sent, or provably was not carried out
 *   inherited  claimed by an earlier leader: it may be on the machine
 *   sent       the start went out: it may be on the machine
 *   fetching, waiting, running, saving   as the worker reported
 *   ended      exited, still in the worker's reports
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

const SEEN: AttemptState[] = ['fetching', 'waiting', 'running', 'saving', 'ended', 'gone'];
const ALLOWED: Record<AttemptState, AttemptState[]> = {
  claiming: ['claimed', 'gone'],
  claimed: ['sent', 'gone', ...SEEN],
  inherited: SEEN,
  sent: ['claimed', ...SEEN],
  fetching: SEEN,
  waiting: SEEN,
  running: SEEN,
  saving: SEEN,
  ended: ['gone'],
  gone: [],
};

export interface Attempt {
  job: string;
  index: number;
  number: number;
  machine: string;
  state: AttemptState;
  /** Session of the worker for which the start went out; null: not known. */
  session: number | null;
  /** The start went out in the answer to the check-in with this number. */
  viaCheckin: number | null;
  /** A direct message with the start is under way. */
  direct: boolean;
  /**
   * Token of a direct message with the start that was never answered: it may arrive at any time in its
   * session, unless the worker has seen a higher token. Null: there is none.
   */
  unanswered: number | null;
  cause: Cause | null;
  saved: boolean;
  /** Wanted gone: since when and with what grace. */
  stop: { at: number; graceS: number; sentAt: number | null } | null;
  /** Its end has been dealt with and stored: the worker may forget it. */
  settled: boolean;
  createdAt: number;
  startedAt: number | null;
  endedAt: number | null;
  resends: number;
  /** Seconds of fetching that were predicted for it alone; 0: none, or it shares a fetch. */
  fetchS: number;
  /** When its start went out. */
  sentAt: number | null;
}

export function makeAttempt(
  job: string,
  index: number,
  number: number,
  machine: string,
  state: AttemptState,
  now: number,
): Attempt {
  return {
    job,
    index,
    number,
    machine,
    state,
    session: null,
    viaCheckin: null,
    direct: false,
    unanswered: null,
    cause: null,
    saved: false,
    stop: null,
    settled: false,
    createdAt: now,
    startedAt: null,
    endedAt: null,
    resends: 0,
    fetchS: 0,
    sentAt: null,
  };
}

/** The one function through which an attempt changes its state. False: not a change. */
export function advance(a: Attempt, to: AttemptState, now: number): boolean {
  if (a.state === to) return false;
  if (!ALLOWED[a.state].includes(to)) throw new Error(`attempt: ${a.state} -> ${to}`);
  a.state = to;
  if (to === 'running' && a.startedAt === null) a.startedAt = now;
  if ((to === 'ended' || to === 'gone') && a.endedAt === null) a.endedAt = now;
  return true;
}

/** Whether it holds room on its machine, in its zone and in its team's limit. */
export const holds = (a: Attempt): boolean => a.state !== 'ended' && a.state !== 'gone';

/** Whether the worker may know of it, so that it has to be stopped by command. */
export const mayBeThere = (a: Attempt): boolean =>
  holds(a) && a.state !== 'claiming' && a.state !== 'claimed';

export const attemptKey = (job: string, index: number, number: number): string =>
  `${job}/${index}#${number}`;
