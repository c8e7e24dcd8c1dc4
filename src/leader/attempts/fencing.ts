/**
 * Further tokens of a term. A leader's token is the revision at which its key was put. So every number above it, up to
 * the latest revision of its term, is below the token of any later leader. Workers that have received such a token
 * refuse messages with a lower one, and giving it needs no commit.
 */

import type { Machine } from '../../workers/machine.js';
import type { TermState } from '../term/term-state.js';

/**
 * Gives a higher token with the answer to a heartbeat if the machine's worker has to refuse a direct start from now on:
 * one that may not have arrived yet and whose task has to end, or one of an attempt that the worker is to forget. This
 * does not involve the key-value store, which may be down, since each answer that renews the machine's lease also keeps
 * such a start valid. The next token is always one of this term, since a start is sent directly only with a token below
 * the revision of its claim. A controller that renews leases in this leader's place uses the token that the worker shows.
 */
export function fenceDirectStarts(term: TermState, machine: Machine): void {
  const unanswered = machine.unansweredStartToRefuse();
  const latest = unanswered ?? machine.startToRefuseBeforeForgetting();
  if (latest === null) return;
  machine.raiseToken(latest + 1);
  term.tokensRaised++;
  if (unanswered === null) return;
  term.machinesToWrite.add(machine.id);
  term.machinesFencedAnew++;
  const { id, token } = machine;
  term.context.log.info({ machine: id, token }, 'machine fenced again: direct start unanswered');
}

/** Whether a token is above all known revisions of this term, and so may be a later leader's. */
export const isLaterToken = (term: TermState, token: number): boolean =>
  token > latestOwnRevision(term);

/** The latest revision that is known to be of this term. */
function latestOwnRevision({ context, latestRevision }: TermState): number {
  const { replica, token } = context;
  // While this leader holds the key, every revision that was read is one of its term. A controller that renewed
  // leases in its place may have given one of these as a token.
  return replica.leader?.revision === token
    ? Math.max(latestRevision, replica.applied)
    : latestRevision;
}
