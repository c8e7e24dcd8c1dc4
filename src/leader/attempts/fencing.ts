/** Fencing of machines by revisions of this term's own commits. */

import type { TermState } from '../term/term-state.js';

/**
 * Fences machines anew whose direct starts were never answered, once one of those keeps something
 * from being done. The record names the new token before a worker sees it: whoever renews leases in
 * this leader's place must be able to give it.
 */
export function fenceUnanswered(term: TermState): void {
  for (const machine of term.machines.values()) {
    if (machine.state !== 'ready' || !machine.isBlockedByUnansweredStart()) continue;
    if (term.latestRevision > machine.token) machine.nextToken = term.latestRevision;
    term.machinesToWrite.add(machine.id);
  }
}

/** A later leader's token, as far as can be told: none that this term has given. */
export const isLaterToken = (term: TermState, token: number): boolean =>
  token > term.latestRevision;
