/**
 * Tokens of one term beside its own. A leader's token is the revision at which its key was put, and so is a later
 * leader's: each number above the one and not above a revision of this term is below the other. Workers that are given
 * such a token refuse what was sent with a lower one, and it needs no commit.
 */

import type { TermState } from '../term/term-state.js';

/**
 * Fences machines anew whose direct starts were never answered, once one of those keeps something from being done: of
 * a cancelled task, for example, which must not start now. Not a matter of the key-value store, which may be down: the
 * lease that each answer renews is also what keeps such a start valid. The next token is there, since a start goes out
 * directly only with a token below the revision of its claim. Whoever renews leases in this leader's place goes by the
 * token that the worker shows.
 */
export function fenceUnanswered(term: TermState): void {
  for (const machine of term.machines.values()) {
    if (!machine.isBlockedByUnansweredStart()) continue;
    machine.raiseToken(machine.token + 1);
    term.machinesToWrite.add(machine.id);
    term.machinesFencedAnew++;
    const { id, token } = machine;
    term.context.log.debug({ machine: id, token }, 'machine fenced anew: a start is unanswered');
  }
}

/** A later leader's token, as far as can be told: none of this term. */
export const isLaterToken = (term: TermState, token: number): boolean =>
  token > latestOwnRevision(term);

/** The latest revision that is known to be of this term. */
function latestOwnRevision({ context, latestRevision }: TermState): number {
  const { replica, token } = context;
  // Others may have read more, and have given it in this leader's place.
  return replica.leader?.revision === token
    ? Math.max(latestRevision, replica.applied)
    : latestRevision;
}
