/** The fencing token of an answer that renews a lease in place of the leader. */

import type { Replica } from '../store/replica.js';
import type { Heartbeat } from '../wire/workers.js';

/** Inputs of `substituteToken`. */
export interface SubstituteTokenOptions {
  heartbeat: Heartbeat;
  /** The token of the leader in whose place the lease is renewed. */
  leaderToken: number;
  replica: Pick<Replica, 'machines' | 'applied'>;
  isCancelled: (job: string) => boolean;
  /**
   * Whether the replica may lack the claim of a cancelled task: this controller was notified of cancellations
   * that the replica does not show, or the replica shows cancellations of this term that the leader may not
   * have read when it stored its last claims.
   */
  mayLackClaims: boolean;
}

/**
 * The token with which to renew a lease in place of the leader. Null: the worker knows a leader that this
 * controller does not know. It would discard an answer from here and stay connected to this controller while
 * its lease expires.
 *
 * Every number from the leader's token up to the revision that was read belongs to this leader's term, because
 * a later leader's token is above that revision. So the answer repeats the token that the worker shows, or
 * gives a higher one if the start of a cancelled task may be on its way to the worker. Such a start carries a
 * token below the revision of its claim (see `mayStartDirectly`), and therefore below the revision of the
 * record from which the claim is read, or below the last revision that was read at all.
 */
export function substituteToken(options: SubstituteTokenOptions): number | null {
  const { heartbeat, leaderToken, replica, mayLackClaims } = options;
  const stored = replica.machines.get(heartbeat.machine);
  const recorded = stored?.record.term === leaderToken ? stored.record.token : undefined;
  const token = Math.max(heartbeat.token, recorded ?? leaderToken);
  if (token > Math.max(recorded ?? leaderToken, replica.applied)) return null;
  if (mayLackClaims) return Math.max(token, replica.applied);
  return mayReceiveCancelledStart(options) ? Math.max(token, stored!.revision) : token;
}

/**
 * Whether the machine's record claims a cancelled attempt that the heartbeat does not show. Attempts that it
 * shows do not matter: a worker never starts an attempt twice.
 */
function mayReceiveCancelledStart({
  heartbeat,
  leaderToken,
  replica,
  isCancelled,
}: SubstituteTokenOptions): boolean {
  const record = replica.machines.get(heartbeat.machine)?.record;
  // Starts that an earlier leader sent are refused because of this leader's higher token.
  if (record?.term !== leaderToken) return false;
  return record.claims.some(
    ({ job, index, attempt }) =>
      isCancelled(job) &&
      !heartbeat.tasks.some(
        (task) => task.job === job && task.index === index && task.attempt === attempt,
      ),
  );
}
