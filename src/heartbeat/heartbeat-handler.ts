import type { Election } from '../leadership/election.js';
import type { ReplyAnswer } from '../peers/messages.js';
import type { PeerNetwork } from '../peers/peer-network.js';
import type { ZoneLeaseHolder, ZoneLeaseWatch } from '../leadership/zone-lease.js';
import type { Clock } from '../clock.js';
import type { Settings } from '../config/settings.js';
import type { Reply } from '../http/server.js';
import type { Log } from '../log.js';
import type { KeyValueStoreClient } from '../store/client.js';
import { isStoredCancelled } from '../store/stored-job.js';
import type { Replica } from '../store/replica.js';
import { BadMessage } from '../wire/users.js';
import { ANSWER_WAIT_S, encodeRedirect, type Heartbeat } from '../wire/workers.js';
import type { Leader } from '../leader/leader.js';
import { renewLease } from '../workers/lease-renewal.js';
import { ReceivedHeartbeat } from './received-heartbeat.js';
import { Redirects } from './redirects.js';
import { ForwardingDelay } from './forwarding-delay.js';
import { HeartbeatCounts } from './heartbeat-counts.js';
import { substituteToken } from './substitute-token.js';

/**
 * Of the time that a worker waits for an answer, what it may be left waiting here, and what one of the
 * others may take. These were heartbeat intervals once. With heartbeats every 2.5 s the answers came after
 * workers had given up: those of a zone just cut off went to look elsewhere, which took a lease.
 */
export const RENEWAL_WAIT_SHARE = 0.875;
/** Of the time that a worker waits for an answer, what the leader may take for it. */
export const LEADER_WAIT_SHARE = 0.25;
const RELAY_WAIT_SHARE = 0.3;

interface HeartbeatHandlerOptions {
  settings: Settings;
  election: Election;
  store: KeyValueStoreClient;
  replica: Replica;
  peers: PeerNetwork;
  /** Only where this controller is its zone's lease holder. */
  zoneLeaseHolder: ZoneLeaseHolder | null;
  zoneLeases: ZoneLeaseWatch;
  /** Whether another controller, as far as it has told lately, does not keep up. */
  isLate: (node: string) => boolean;
  leader: () => Leader | null;
  /** Cancelled, as far as this controller has been told by any way. */
  isKnownCancelled: (job: string) => boolean;
  /** Whether a stored cancellation was heard of that this controller has not read. */
  hasUnreadCancellations: () => boolean;
  clock: Clock;
  log: Log;
}

/** What became of asking other controllers. */
interface ForwardingOutcome {
  /** Null: nobody settled it. */
  reply: Reply | null;
  /** The leader was reached and does not lead, or there is none. */
  reached: boolean;
  /** Any other controller answered. */
  answered: boolean;
}

/** Workers' heartbeats: answered by the leader, forwarded to it, or renewed in its place. */
export class HeartbeatHandler {
  private readonly redirects: Redirects;
  readonly counts = new HeartbeatCounts();
  readonly forwardingDelay: ForwardingDelay;

  constructor(private readonly options: HeartbeatHandlerOptions) {
    this.forwardingDelay = new ForwardingDelay(options.clock, options.settings.workers.report_s);
    this.redirects = new Redirects(options);
  }

  /** `arrivedAt`: it may have waited here before its turn came. */
  handle(body: Buffer, arrivedAt = this.options.clock.now()): Reply | Promise<Reply> {
    return this.rejectMalformed(() => this.route(body, arrivedAt));
  }

  private route(body: Buffer, arrivedAt: number): Reply | Promise<Reply> {
    const { settings, election, replica, zoneLeaseHolder } = this.options;
    const leader = this.options.leader();
    if (leader !== null && election.isEntitled) return this.answerAsLeader(leader, body);
    const heartbeat = new ReceivedHeartbeat(body);
    const target = this.redirects.redirectTarget(heartbeat.routing);
    if (target !== null) return this.redirect(heartbeat.parse(), target);
    if (zoneLeaseHolder?.mayRenewLeases() === true && heartbeat.routing.zone === settings.zone) {
      return this.renewForLeader(heartbeat.parse(), replica.lastToken);
    }
    const deadline = arrivedAt + ANSWER_WAIT_S * RENEWAL_WAIT_SHARE;
    const alone = zoneLeaseHolder?.state === 'alone';
    const leads = replica.leader;
    const served = this.options.store.health === 'served';
    if (!alone && leads === null && served) {
      heartbeat.parse();
      return { status: 503, retryAfter: 1 };
    }
    return this.forward(heartbeat, alone ? null : (leads?.node ?? settings.node), deadline);
  }

  /** A heartbeat straight from a worker to the leader. */
  private answerAsLeader(leader: Leader, body: Buffer): Reply {
    const heartbeat = leader.decodeHeartbeat(body);
    const target = this.redirects.redirectTarget(heartbeat);
    if (target !== null) return this.redirect(heartbeat, target);
    return this.counts.countReply(leader.answerHeartbeat(heartbeat, body), 'worker');
  }

  /** Answers a malformed heartbeat with 400, whatever part of the work finds it to be so. */
  private rejectMalformed<S, A>(work: () => S | Promise<A>): S | Reply | Promise<A | Reply> {
    const refuse = (error: unknown): Reply => {
      if (!(error instanceof BadMessage)) throw error;
      // Garbage goes no further than here.
      this.options.log.info({ reason: error.message }, 'heartbeat rejected: malformed');
      return { status: 400, body: '{}' };
    };
    try {
      const answer = work();
      return answer instanceof Promise ? answer.catch(refuse) : answer;
    } catch (error) {
      return refuse(error);
    }
  }

  private redirect(heartbeat: Heartbeat, target: string): Reply {
    this.redirects.recordSent(heartbeat.machine);
    return { status: 421, body: encodeRedirect(target) };
  }

  /**
   * Forwards a heartbeat to the leader, straight or by way of another controller. The worker stays
   * where it is: a leader that it cannot reach, or one that ends, costs it no connection of its own.
   */
  private async forward(
    heartbeat: ReceivedHeartbeat,
    leader: string | null,
    deadline: number,
  ): Promise<Reply> {
    const { reply, reached, answered } = await this.askControllers(heartbeat, leader, deadline);
    if (reply !== null) return reply;
    this.counts.forwardingFailed++;
    const renewal = await this.renewWithoutLeader(heartbeat.parse(), answered, deadline);
    if (renewal !== null) return renewal;
    if (reached) return { status: 503, retryAfter: 1 };
    return { status: 421, body: encodeRedirect(leader) };
  }

  /** Asks the leader and then the others, as long as there is time and one may do better. */
  private async askControllers(
    heartbeat: ReceivedHeartbeat,
    leader: string | null,
    deadline: number,
  ): Promise<ForwardingOutcome> {
    const { settings, peers, clock } = this.options;
    const others = peers.names.filter((node) => node !== leader);
    // One that the store does not serve may not know who leads by now, but others may: cut off from the
    // store alone it once kept its zone's workers waiting, in vain, until their leases expired.
    const stale = this.options.store.health !== 'served';
    const nobody = leader === null || leader === settings.node;
    const ways = nobody ? (leader !== null && stale ? others : []) : [leader, ...others];
    const outcome: ForwardingOutcome = { reply: null, reached: nobody, answered: false };
    for (const to of ways) {
      const hop = to !== leader;
      const share = hop ? RELAY_WAIT_SHARE : LEADER_WAIT_SHARE;
      const patience = Math.min(ANSWER_WAIT_S * share, deadline - clock.now());
      if (patience <= 0) break;
      const askedAt = clock.now();
      const answer = await peers.ask(to, { q: 'report', body: heartbeat.body, hop }, patience);
      if (!hop) this.forwardingDelay.note(clock.now() - askedAt);
      outcome.reply = this.replyOf(answer);
      if (outcome.reply !== null) break;
      outcome.answered ||= answer !== null;
      // It was reached and does not lead: nothing is gained by other ways.
      if (answer?.status === 503 && !hop) {
        outcome.reached = true;
        if (!stale) break;
      }
    }
    return outcome;
  }

  /** What the worker is told of another controller's answer; null: it settles nothing. */
  private replyOf(answer: ReplyAnswer | null): Reply | null {
    if (answer?.status === 200 && answer.body !== undefined) {
      this.counts.forwarded++;
      return { status: 200, body: answer.body };
    }
    return answer?.status === 400 ? { status: 400, body: '{}' } : null;
  }

  /**
   * No leader has judged it: renewed in an outage, or by the holder of the zone's lease where the whole zone
   * is cut off, so that what runs there goes on. Null: neither is allowed. `answered`: another controller
   * has answered, so the zone is not cut off.
   */
  private async renewWithoutLeader(
    heartbeat: Heartbeat,
    answered: boolean,
    deadline: number,
  ): Promise<Reply | null> {
    const { settings, replica, election, zoneLeaseHolder } = this.options;
    const token = replica.leader?.revision;
    if (token !== undefined && (await election.outage.mayRenewLeases())) {
      return this.renewForLeader(heartbeat, token);
    }
    if (heartbeat.zone !== settings.zone || answered || zoneLeaseHolder === null) return null;
    if (!(await zoneLeaseHolder.waitUntilDecided(deadline))) return null;
    return this.renewForLeader(heartbeat, replica.lastToken);
  }

  /** Renews a worker's lease in a leader's place. The only commands: cancelled tasks stop. */
  private renewForLeader(heartbeat: Heartbeat, leaderToken: number): Reply {
    const { replica, isKnownCancelled, hasUnreadCancellations } = this.options;
    const isCancelled = (job: string): boolean =>
      isKnownCancelled(job) || isStoredCancelled(replica.jobs.get(job));
    const token = substituteToken({
      heartbeat,
      leaderToken,
      replica,
      isCancelled,
      mayLackClaims: hasUnreadCancellations() || replica.mayLackClaimsSince(leaderToken),
    });
    if (token === null) return { status: 503, retryAfter: 1 };
    this.counts.renewedForLeader++;
    return renewLease({ token, tasks: heartbeat.tasks, isCancelled });
  }

  /** Forwarded by another controller. */
  handleForwarded(body: Buffer, hop: boolean): Promise<ReplyAnswer | null> | ReplyAnswer {
    return this.rejectMalformed(() => this.answerOrForward(body, hop));
  }

  private answerOrForward(body: Buffer, hop: boolean): Promise<ReplyAnswer | null> | ReplyAnswer {
    const { settings, peers, replica } = this.options;
    const leader = this.options.leader();
    if (leader !== null) {
      return this.counts.countReply(
        leader.answerHeartbeat(leader.decodeHeartbeat(body), body),
        'peer',
      );
    }
    const leads = replica.leader?.node;
    if (!hop || leads === undefined || leads === settings.node) return { status: 503 };
    return peers.ask(leads, { q: 'report', body, hop: false }, ANSWER_WAIT_S * LEADER_WAIT_SHARE);
  }
}
