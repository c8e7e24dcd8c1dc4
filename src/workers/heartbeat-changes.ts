/** What a heartbeat showed about the attempts on its machine. */

import type { Attempt } from './attempt.js';

/** What a heartbeat, an expired lease or a returned machine changed. */
export interface HeartbeatChanges {
  /** Attempts that have exited or are provably no longer on the machine. */
  exited: Attempt[];
  /** Attempts whose state changed otherwise. */
  changed: Attempt[];
  /** Attempts that the heartbeat shows but this leader did not know. */
  unclaimed: Attempt[];
  /** Number of starts that the worker did not carry out. */
  rejectedStarts: number;
  /** The agent restarted: all attempts of its former epoch are gone. */
  agentRestarted: boolean;
  /** The heartbeat is a late copy or was overtaken by a newer message: it proves nothing. */
  stale: boolean;
}

/** An empty set of changes. */
export const noChanges = (): HeartbeatChanges => ({
  exited: [],
  changed: [],
  unclaimed: [],
  rejectedStarts: 0,
  agentRestarted: false,
  stale: false,
});
