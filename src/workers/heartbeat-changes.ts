/** What a heartbeat showed of the attempts on its machine. */

import type { Attempt } from './attempt.js';

/** What a heartbeat, an expired lease or a returned machine changed. */
export interface HeartbeatChanges {
  /** Attempts that are provably not on the machine any more, or exited. */
  exited: Attempt[];
  /** Attempts whose state changed otherwise. */
  changed: Attempt[];
  /** On the machine by its heartbeat, but unknown here. */
  unclaimed: Attempt[];
  /** Starts that the worker did not take. */
  rejectedStarts: number;
  /** The agent began anew: everything of its former epoch is gone. */
  agentRestarted: boolean;
  /** A late copy, or overtaken by a newer message: it proves nothing. */
  stale: boolean;
}

/** Nothing changed yet. */
export const noChanges = (): HeartbeatChanges => ({
  exited: [],
  changed: [],
  unclaimed: [],
  rejectedStarts: 0,
  agentRestarted: false,
  stale: false,
});
