import type { Reply } from '../http/server.js';

/** Counts the workers' heartbeats that this controller received since its start, by outcome. */
export class HeartbeatCounts {
  /** Answered with 200 as leader, received directly from workers. */
  answered = 0;
  /** Answered with 200 as leader, forwarded by another controller. */
  answeredForPeers = 0;
  /** Leases renewed in place of the leader. */
  renewedForLeader = 0;
  /** Forwarded to another controller that answered them. */
  forwarded = 0;
  /** Answered by no other controller, including those whose leases were then renewed in place of the leader. */
  forwardingFailed = 0;

  /** Counts the reply if it is a leader's 200 to a heartbeat, and returns it. */
  countReply(reply: Reply, from: 'worker' | 'peer'): Reply {
    if (reply.status !== 200) return reply;
    if (from === 'worker') this.answered++;
    else this.answeredForPeers++;
    return reply;
  }
}
