/** Which commands a machine is due. */

import { MAX_COMMANDS_PER_MESSAGE, type Command } from '../wire/workers.js';
import { mayBeOnMachine, type Attempt } from './attempt.js';

/**
 * The commands due now, at most as many as one message takes. Forgetting goes first, so that a task may
 * come back to its machine; then stops, then starts. `repeatStops`: also what was sent before.
 */
export function dueCommands(
  attempts: ReadonlyMap<string, Attempt>,
  mayStart: (attempt: Attempt) => boolean,
  repeatStops: boolean,
): Command[] {
  const forget: Command[] = [];
  const stops: Command[] = [];
  const startable: Attempt[] = [];
  const forgotten = new Set<string>();
  for (const attempt of attempts.values()) {
    if (mayBeForgotten(attempt)) {
      forget.push({ kind: 'forget', ...taskOf(attempt) });
      forgotten.add(taskName(attempt));
    } else if (isStopDue(attempt, repeatStops)) {
      stops.push({ kind: 'stop', ...taskOf(attempt), graceS: attempt.stopRequest!.graceS });
    }
    if (isStartDue(attempt, repeatStops)) startable.push(attempt);
  }
  const starts: Command[] = [];
  for (const attempt of startable) {
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

/** A start that may still arrive would begin anew what has been forgotten. */
function mayBeForgotten(attempt: Attempt): boolean {
  if (attempt.state !== 'ended' || !attempt.settled) return false;
  return attempt.unansweredToken === null && !attempt.sendingDirectly;
}

function isStopDue(attempt: Attempt, repeatStops: boolean): boolean {
  if (attempt.stopRequest === null || !mayBeOnMachine(attempt)) return false;
  return repeatStops || attempt.stopRequest.sentAt === null;
}

/** A claim whose start was not sent, or was never answered and may be sent again. */
function isStartDue(attempt: Attempt, repeatStops: boolean): boolean {
  if (attempt.stopRequest !== null || attempt.sendingDirectly) return false;
  if (attempt.state === 'claimed') return true;
  return attempt.state === 'sent' && attempt.unansweredToken !== null && repeatStops;
}

function hasOtherAttempt(attempts: ReadonlyMap<string, Attempt>, attempt: Attempt): boolean {
  for (const each of attempts.values()) {
    if (each !== attempt && each.index === attempt.index && each.job === attempt.job) return true;
  }
  return false;
}
