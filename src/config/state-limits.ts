/** Limits of the key-value store, for all controllers together. */
export interface StateLimits {
  /** Requests a second. */
  rps: number;
  /** Puts and deletes a second. */
  write_rps: number;
  /** The largest value, in KiB. */
  value_kb: number;
  /** Puts and deletes in one transaction. */
  txn_ops: number;
}

/**
 * Returns the smaller one of each limit. The next limits come into force without notice: a controller that
 * always respects both is not refused then, neither for the size of a value nor for a burst of writes.
 */
export function stricterLimits(present: StateLimits, next: Partial<StateLimits>): StateLimits {
  return {
    rps: Math.min(present.rps, next.rps ?? Infinity),
    write_rps: Math.min(present.write_rps, next.write_rps ?? Infinity),
    value_kb: Math.min(present.value_kb, next.value_kb ?? Infinity),
    txn_ops: Math.min(present.txn_ops, next.txn_ops ?? Infinity),
  };
}
