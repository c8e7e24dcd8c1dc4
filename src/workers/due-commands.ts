/** Selects the commands that are due to a machine. */

import { MAX_COMMANDS_PER_MESSAGE, type Command } from '../wire/workers.js';
import { mayBeOnMachine, type Attempt } from './attempt.js';

/**
 * The commands due now, at most as many as one message takes: first forgets, so that a task may be started
 * again on the same machine, then stops, then starts. `repeatSent`: includes commands that were sent before.
 */
export function dueCommands(
  attempts: ReadonlyMap<string, Attempt>,
  mayStart: (attempt: Attempt) => boolean,
  repeatSent: boolean,
): Command[] {
  const forget: Command[] = [];
  const stops: Command[] = [];
  const startCandidates: Attempt[] = [];
  const forgotten = new Set<string>();
  for (const attempt of attempts.values()) {
    if (mayBeForgotten(attempt)) {
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

/** If the worker forgot the attempt, a start that may still arrive would start it again. */
function mayBeForgotten(attempt: Attempt): boolean {
  if (attempt.state !== 'ended' || !attempt.settled) return false;
  return attempt.unansweredToken === null && !attempt.sendingDirectly;
}

function isStopDue(attempt: Attempt, repeatSent: boolean): boolean {
  if (attempt.stopRequest === null || !mayBeOnMachine(attempt)) return false;
  return repeatSent || attempt.stopRequest.sentAt === null;
}

/** A claim whose start was not sent, or was not answered and may be sent again. */
function isStartDue(attempt: Attempt, repeatSent: boolean): boolean {
  if (attempt.stopRequest !== null || attempt.sendingDirectly) return false;
  if (attempt.state === 'claimed') return true;
  return attempt.state === 'sent' && attempt.unansweredToken !== null && repeatSent;
}

function hasOtherAttempt(attempts: ReadonlyMap<string, Attempt>, attempt: Attempt): boolean {
  for (const each of attempts.values()) {
    if (each !== attempt && each.index === attempt.index && each.job === attempt.job) return true;
  }
  return false;
}
