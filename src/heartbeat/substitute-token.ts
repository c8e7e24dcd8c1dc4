/** The token of an answer that renews a lease in a leader's place. */

import type { Replica } from '../store/replica.js';
import type { Heartbeat } from '../wire/workers.js';

/** What the token of a substitute's answer rests on. */
export interface SubstituteTokenOptions {
  heartbeat: Heartbeat;
  /** The token of the leader in whose place the lease is renewed. */
  leaderToken: number;
  replica: Pick<Replica, 'machines' | 'applied'>;
  isCancelled: (job: string) => boolean;
  /**
   * Whether a claim may be missing in the replica whose task is cancelled: cancellations were heard of that it does not
   * show, or it shows some of this term, which the leader had perhaps not read when it stored its last claims.
   */
  mayLackClaims: boolean;
}

/**
 * The token with which to renew a lease in a leader's place; null: the worker knows of a leader that this controller
 * does not. What it got from here it would drop, and stay here while its lease expires.
 *
 * Each number from the leader's token up to the revision that was read is of this leader: a later one's is above that.
 * So the token that the worker shows is given again, and a higher one where the start of a cancelled task may be on its
 * way to it. Such a start carries a token below the revision of its claim (see `mayStartDirectly`), hence also below
 * that of the record, which the claim is read from, or of what was read at all.
 */
export function substituteToken(options: SubstituteTokenOptions): number | null {
  const { heartbeat, leaderToken, replica, mayLackClaims } = options;
  const stored = replica.machines.get(heartbeat.machine);
  const recorded = stored?.record.term === leaderToken ? stored.record.token : undefined;
  const token = Math.max(heartbeat.token, recorded ?? leaderToken);
  if (token > Math.max(recorded ?? leaderToken, replica.applied)) return null;
  if (mayLackClaims) return Math.max(token, replica.applied);
  return awaitsCancelledStart(options) ? Math.max(token, stored!.revision) : token;
}

/** Whether the machine's record claims a cancelled attempt that its worker does not know: it does nothing twice. */
function awaitsCancelledStart({
  heartbeat,
  leaderToken,
  replica,
  isCancelled,
}: SubstituteTokenOptions): boolean {
  const record = replica.machines.get(heartbeat.machine)?.record;
  // What an earlier leader has sent is refused by this one's token.
  if (record?.term !== leaderToken) return false;
  return record.claims.some(
    ({ job, index, attempt }) =>
      isCancelled(job) &&
      !heartbeat.tasks.some(
        (task) => task.job === job && task.index === index && task.attempt === attempt,
      ),
  );
}
