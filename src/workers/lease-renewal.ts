/**
 * The only module that renews workers' leases.
 *
 * A worker that gets a 200 keeps its tasks for another lease. So each such answer stops every task on the
 * machine that the answering controller knows to be cancelled: either the stop arrives, or the lease is not
 * renewed. This holds whether or not the machine has shown the token of the answer, for late and repeated
 * heartbeats, and for answers of substitutes. docs/design.md, "Cancellations and outages".
 */

import type { Reply } from '../http/server.js';
import { encodeHeartbeatReply, type Command, type TaskStatus } from '../wire/workers.js';
import { attemptKey, mayBeOnMachine, type Attempt } from './attempt.js';

/** Inputs of a lease renewal. */
export interface LeaseRenewal {
  /** Fencing token of the answer. */
  token: number;
  /** Tasks that the heartbeat reports. */
  tasks: readonly Readonly<TaskStatus>[];
  /** Attempts that may also be on the machine, reported or not: a start may still arrive there. */
  attempts?: Iterable<Attempt>;
  isCancelled: (job: string) => boolean;
  /** Other commands that are due to the machine, in order. */
  due?: readonly Command[];
}

/** A 200 with the stops of cancelled tasks and the other due commands. */
export function renewLease({ token, due = [], ...renewal }: LeaseRenewal): Reply {
  const stops = cancelledStops(renewal);
  const commands = stops.size === 0 ? due : [...removeDueStops(due, stops), ...due];
  return { status: 200, body: encodeHeartbeatReply(token, commands) };
}

/** Stops of all cancelled tasks that are or may be on the machine, by attempt. */
function cancelledStops({
  tasks,
  attempts = [],
  isCancelled,
}: Pick<LeaseRenewal, 'tasks' | 'attempts' | 'isCancelled'>): Map<string, Command> {
  const stops = new Map<string, Command>();
  const add = (job: string, index: number, attempt: number): void =>
    void stops.set(attemptKey(job, index, attempt), {
      ...{ kind: 'stop', job, index, attempt },
      graceS: 0,
    });
  for (const { job, index, attempt, state } of tasks) {
    if (state !== 'ended' && isCancelled(job)) add(job, index, attempt);
  }
  for (const attempt of attempts) {
    if (mayBeOnMachine(attempt) && isCancelled(attempt.job))
      add(attempt.job, attempt.index, attempt.number);
  }
  return stops;
}

/**
 * Removes the stops that are due anyway and returns the rest. There may be such a rest, since `due` contains no more
 * commands than one message can hold.
 */
function removeDueStops(due: readonly Command[], stops: Map<string, Command>): Command[] {
  for (const { kind, job, index, attempt } of due) {
    if (kind === 'stop') stops.delete(attemptKey(job, index, attempt));
  }
  return [...stops.values()];
}
