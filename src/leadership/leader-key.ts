/** The leader's key: the controller that holds it in the key-value store is the leader. */

import { RequestRejectedError, type KeyValueStoreClient } from '../store/client.js';
import * as records from '../store/records.js';

/** Time limit for a write or read of the key, in seconds. */
const TIMEOUT_S = 1;

/** A claim to the leader's key. */
export interface LeaderKeyClaim {
  /** Name of the controller that claims the key. */
  node: string;
  /** Unique name of this claim among the claims of all processes. */
  incarnation: string;
  /** Lease that the key is attached to. */
  lease: number;
  /** Revision of the key as last seen; 0: there is none. */
  expectedRevision: number;
}

/**
 * Takes the leader's key by compare-and-swap. Returns its revision, which is the fencing token; null:
 * another controller was first, or the store refused. After a write without an answer the key is read back.
 */
export async function acquireLeaderKey(
  store: Pick<KeyValueStoreClient, 'compareAndSwap' | 'get'>,
  { node, incarnation, lease, expectedRevision }: LeaderKeyClaim,
): Promise<number | null> {
  const value = records.encodeLeader({ node, incarnation });
  try {
    const result = await store.compareAndSwap(
      [{ key: records.LEADER, revision: expectedRevision }],
      [{ put: records.LEADER, value, lease }],
      TIMEOUT_S,
    );
    return result.ok ? result.revision : null;
  } catch (error) {
    if (error instanceof RequestRejectedError) return null;
    const item = await store.get(records.LEADER, TIMEOUT_S);
    if (item === null) return null;
    return records.decodeLeader(item.value).incarnation === incarnation ? item.revision : null;
  }
}
