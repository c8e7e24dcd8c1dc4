/** Selects the commands that are due to a machine. */

import { MAX_COMMANDS_PER_MESSAGE, type Command } from '../wire/workers.js';
import { mayBeOnMachine, type Attempt } from './attempt.js';

/** What the message is like that carries the commands. */
export interface DueCommandsOptions {
  /** Its fencing token, which the worker takes before it carries out the commands. */
  token: number;
  mayStart: (attempt: Attempt) => boolean;
  /** Whether it includes commands that were sent before. */
  repeatSent: boolean;
}

/**
 * The commands due now, at most as many as one message takes: first forgets, so that a task may be started
 * again on the same machine, then stops, then starts.
 */
export function dueCommands(
  attempts: ReadonlyMap<string, Attempt>,
  { token, mayStart, repeatSent }: DueCommandsOptions,
): Command[] {
  const forget: Command[] = [];
  const stops: Command[] = [];
  const startCandidates: Attempt[] = [];
  const forgotten = new Set<string>();
  for (const attempt of attempts.values()) {
    if (mayBeForgotten(attempt, token)) {
      forget.push({ kind: 'forget', ...taskOf(attempt) });
      forgotten.add(taskName(attempt));
    } else if (isStopDue(attempt, repeatSent)) {
      stops.push({ kind: 'stop', ...taskOf(attempt), graceS: attempt.stopRequest!.graceS });
    }
    if (isStartDue(attempt, repeatSent)) startCandidates.push(attempt);
  }
  const starts: Command[] = [];
  for (const attempt of startCandidates) {
    if (!mayStart(attempt)) continue;
    if (hasOtherAttempt(attempts, attempt) && !forgotten.has(taskName(attempt))) continue;
    starts.push({ kind: 'start', ...taskOf(attempt) });
  }
  return [...forget, ...stops, ...starts].slice(0, MAX_COMMANDS_PER_MESSAGE);
}

const taskName = ({ job, index }: Attempt): string => `${job}/${index}`;

const taskOf = ({
  job,
  index,
  number,
}: Attempt): { job: string; index: number; attempt: number } => ({
  job,
  index,
  attempt: number,
});

/** Once the worker has forgotten the attempt, only a token above that of its start refuses a copy of this start. */
function mayBeForgotten(attempt: Attempt, token: number): boolean {
  if (!isForgetDue(attempt) || attempt.sendingDirectly) return false;
  return attempt.directStartToken === null || attempt.directStartToken < token;
}

/** Whether nothing is left to be done about an attempt but that its worker forgets it. */
export const isForgetDue = (attempt: Attempt): boolean =>
  attempt.state === 'ended' && attempt.settled;

function isStopDue(attempt: Attempt, repeatSent: boolean): boolean {
  if (attempt.stopRequest === null || !mayBeOnMachine(attempt)) return false;
  return repeatSent || attempt.stopRequest.sentAt === null;
}

/** A claim whose start was not sent, or was not answered and may be sent again. */
function isStartDue(attempt: Attempt, repeatSent: boolean): boolean {
  if (attempt.stopRequest !== null || attempt.sendingDirectly) return false;
  if (attempt.state === 'claimed') return true;
  return attempt.state === 'sent' && attempt.directStartToken !== null && repeatSent;
}

function hasOtherAttempt(attempts: ReadonlyMap<string, Attempt>, attempt: Attempt): boolean {
  for (const each of attempts.values()) {
    if (each !== attempt && each.index === attempt.index && each.job === attempt.job) return true;
  }
  return false;
}
