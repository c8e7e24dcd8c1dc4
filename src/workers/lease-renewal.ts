/**
 * The one way to renew a worker's lease.
 *
 * A worker that gets a 200 keeps its tasks for another lease. So each such answer stops every task there that
 * whoever gives it knows to be cancelled: then the stop arrives, or the lease is not renewed. This holds whether
 * or not the machine has shown its token, for late and repeated heartbeats, and for answers in a leader's place.
 * docs/design.md, "Cancellations and outages".
 */

import type { Reply } from '../http/server.js';
import { encodeHeartbeatReply, type Command, type TaskStatus } from '../wire/workers.js';
import { attemptKey, mayBeOnMachine, type Attempt } from './attempt.js';

/** What a renewal rests on. */
export interface LeaseRenewal {
  /** Fencing token of the answer. */
  token: number;
  /** Tasks that the heartbeat shows. */
  tasks: readonly Readonly<TaskStatus>[];
  /** Attempts that may be on the machine as well, shown or not: a start may still arrive there. */
  attempts?: Iterable<Attempt>;
  isCancelled: (job: string) => boolean;
  /** What else the machine is told, in order. */
  due?: readonly Command[];
}

/** A 200 with the stops that have to go with it, and with what else is due. */
export function renewLease({ token, due = [], ...renewal }: LeaseRenewal): Reply {
  const stops = cancelledStops(renewal);
  const commands = stops.size === 0 ? due : [...withoutStopsOf(due, stops), ...due];
  return { status: 200, body: encodeHeartbeatReply(token, commands) };
}

/** Stops of all cancelled tasks that are or may be there, by attempt. */
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

/** Those that are not due anyway: of what is due, no more is sent than one message takes. */
function withoutStopsOf(due: readonly Command[], stops: Map<string, Command>): Command[] {
  for (const { kind, job, index, attempt } of due) {
    if (kind === 'stop') stops.delete(attemptKey(job, index, attempt));
  }
  return [...stops.values()];
}
