/** The roles that a controller has in an election, and the changes between them. */

/**
 * Who leads. The leader's key hangs on a lease; its revision is the fencing token, so tokens only rise.
 *
 *   follower -> candidate -> leader <-> leader-in-outage -> follower
 *
 * `leader`: entitled by the lease. `leader-in-outage`: the key-value store refuses this controller, and a
 * majority of controllers (this one among them) has just been refused too, which only an outage does;
 * leases stand still in one. Whatever the role, `Election.isEntitled` is what counts for every answer and
 * command.
 */
export type ElectionRole = 'follower' | 'candidate' | 'leader' | 'leader-in-outage';

const TRANSITIONS: Record<ElectionRole, readonly ElectionRole[]> = {
  follower: ['candidate'],
  candidate: ['leader', 'follower'],
  leader: ['leader-in-outage', 'follower'],
  'leader-in-outage': ['leader', 'follower'],
};

/** Whether a controller in one role may take the other one next. */
export const mayBecome = (from: ElectionRole, to: ElectionRole): boolean =>
  TRANSITIONS[from].includes(to);

/** What `/metrics` and the load lines of the log call each role: operators' scripts know these words. */
export const ROLE_IN_METRICS: Record<ElectionRole, string> = {
  follower: 'following',
  candidate: 'standing',
  leader: 'leading',
  'leader-in-outage': 'continuing',
};
