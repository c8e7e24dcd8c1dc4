import { LEADER_WAIT_SHARE, HEARTBEAT_WAIT_SHARE } from '../heartbeat/heartbeat-handler.js';
import { ANSWER_WAIT_S } from '../wire/workers.js';

/** The request queue's class of each kind of user request. */
export const CLASS_OF = {
  submit: 'submission',
  poll: 'poll',
  cancel: 'cancellation',
} as const;

/**
 * Time for which a heartbeat may wait in the request queue: served later, its answer would arrive after the
 * time-out of the worker or controller that sent it. The limits below also leave time for forwarding a
 * heartbeat, and for returning the answer to a forwarded one.
 */
export const HEARTBEAT_QUEUE_TIMEOUT_S = ANSWER_WAIT_S * HEARTBEAT_WAIT_SHARE;
/** The same for a heartbeat that has to be forwarded. */
export const FORWARD_QUEUE_TIMEOUT_S = ANSWER_WAIT_S * (HEARTBEAT_WAIT_SHARE - LEADER_WAIT_SHARE);
/** The same for a heartbeat that another controller has forwarded here. */
export const FORWARDED_QUEUE_TIMEOUT_S = ANSWER_WAIT_S * LEADER_WAIT_SHARE * 0.75;
