/** The roles of a controller in an election, and the transitions between them. */

/**
 * The leader holds a key of the key-value store that is attached to a lease. The revision of the key is the
 * fencing token, so tokens only increase.
 *
 *   follower -> candidate -> leader <-> leader-in-outage -> follower
 *
 * `leader`: entitled by the lease. `leader-in-outage`: the key-value store refuses a majority of controllers
 * (this one included), which happens only in an outage; leases do not expire in one. Whatever the role,
 * every answer and command depends on `Election.isEntitled`.
 */
export type ElectionRole = 'follower' | 'candidate' | 'leader' | 'leader-in-outage';

const TRANSITIONS: Record<ElectionRole, readonly ElectionRole[]> = {
  follower: ['candidate'],
  candidate: ['leader', 'follower'],
  leader: ['leader-in-outage', 'follower'],
  'leader-in-outage': ['leader', 'follower'],
};

/** Whether a controller may change from the one role to the other. */
export const mayBecome = (from: ElectionRole, to: ElectionRole): boolean =>
  TRANSITIONS[from].includes(to);

/** Names of the roles in `/metrics` and in the load lines of the log; operators' scripts match them. */
export const ROLE_IN_METRICS: Record<ElectionRole, string> = {
  follower: 'following',
  candidate: 'standing',
  leader: 'leading',
  'leader-in-outage': 'continuing',
};
