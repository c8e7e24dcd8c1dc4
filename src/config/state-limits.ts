/** What the key-value store takes, for all controllers together. */
export interface StateLimits {
  /** Requests a second. */
  rps: number;
  /** Puts and deletes a second. */
  write_rps: number;
  /** The largest value, in KiB. */
  value_kb: number;
  /** Puts and deletes of one transaction. */
  txn_ops: number;
}

/**
 * The smaller one of each limit. The next limits come without notice: what keeps to both from the
 * beginning is never refused for its size when they do, and no burst of writes is.
 */
export function withNext(present: StateLimits, next: Partial<StateLimits>): StateLimits {
  return {
    rps: Math.min(present.rps, next.rps ?? Infinity),
    write_rps: Math.min(present.write_rps, next.write_rps ?? Infinity),
    value_kb: Math.min(present.value_kb, next.value_kb ?? Infinity),
    txn_ops: Math.min(present.txn_ops, next.txn_ops ?? Infinity),
  };
}
