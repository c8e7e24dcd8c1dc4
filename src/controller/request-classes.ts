import { LEADER_WAIT_SHARE, RENEWAL_WAIT_SHARE } from '../heartbeat/heartbeat-handler.js';
import { ANSWER_WAIT_S } from '../wire/workers.js';

/** The class of each kind of users' requests in the request queue. */
export const CLASS_OF = {
  submit: 'submission',
  poll: 'poll',
  cancel: 'cancellation',
} as const;

/**
 * How long a heartbeat may wait here for its turn: served later, its answer would come after whoever asked
 * has given up. To pass a heartbeat on takes a while too, and so does the way back of the answer to one
 * that was forwarded.
 */
export const HEARTBEAT_PATIENCE_S = ANSWER_WAIT_S * RENEWAL_WAIT_SHARE;
/** Seconds for which a heartbeat that has to be forwarded may wait for its turn. */
export const FORWARD_PATIENCE_S = ANSWER_WAIT_S * (RENEWAL_WAIT_SHARE - LEADER_WAIT_SHARE);
/** Seconds for which a heartbeat that another controller forwarded may wait for its turn. */
export const FORWARDED_PATIENCE_S = ANSWER_WAIT_S * LEADER_WAIT_SHARE * 0.75;
