import type { Reply } from '../http/server.js';

/** What became of workers' heartbeats on this controller, counted since its start. */
export class HeartbeatCounts {
  /** Answered with 200 as leader: straight from workers. */
  answered = 0;
  /** Answered with 200 as leader: forwarded by another controller. */
  answeredForPeers = 0;
  /** Answered in a leader's place. */
  renewedForLeader = 0;
  /** Forwarded to another controller that answered them. */
  forwarded = 0;
  /** No other controller answered them; those that were answered in a leader's place then among them. */
  forwardingFailed = 0;

  /** Counts the leader's answer to a heartbeat, if it is one, and returns it. */
  countReply(reply: Reply, from: 'worker' | 'peer'): Reply {
    if (reply.status !== 200) return reply;
    if (from === 'worker') this.answered++;
    else this.answeredForPeers++;
    return reply;
  }
}
