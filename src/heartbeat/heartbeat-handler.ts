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
import { BadRequestError } from '../wire/users.js';
import { ANSWER_WAIT_S, encodeRedirect, type Heartbeat } from '../wire/workers.js';
import type { Leader } from '../leader/leader.js';
import { renewLease } from '../workers/lease-renewal.js';
import { ReceivedHeartbeat } from './received-heartbeat.js';
import { Redirects } from './redirects.js';
import { ForwardingDelay } from './forwarding-delay.js';
import { HeartbeatCounts } from './heartbeat-counts.js';
import { substituteToken } from './substitute-token.js';

/**
 * Share of the time that a worker waits for an answer within which this controller must have answered. The shares
 * are not multiples of the heartbeat interval: with those and heartbeats every 2.5 s, answers came after workers
 * had timed out, and the workers of a zone that had just been cut off searched for another controller, which took
 * a lease.
 */
export const HEARTBEAT_WAIT_SHARE = 0.875;
/** Time limit of a request to the leader, as a share of the time that a worker waits for an answer. */
export const LEADER_WAIT_SHARE = 0.25;
/** The same for a request to another controller, which forwards it to the leader. */
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
  /** Whether another controller is too late to lead, by fresh health data. */
  isLate: (node: string) => boolean;
  leader: () => Leader | null;
  /** Whether this controller knows from any source that the job is cancelled. */
  isKnownCancelled: (job: string) => boolean;
  /** Whether this controller was notified of a stored cancellation that its replica does not show yet. */
  hasUnreadCancellations: () => boolean;
  clock: Clock;
  log: Log;
}

/** The outcome of asking other controllers. */
interface ForwardingOutcome {
  /** Null: no answer can be passed to the worker. */
  reply: Reply | null;
  /** The presumed leader was reached and does not lead, or there is none to ask. */
  leaderReached: boolean;
  /** Any other controller answered. */
  anyAnswer: boolean;
}

/**
 * Handles workers' heartbeats: answers them as leader, forwards them to the leader, or renews leases in its
 * place.
 */
export class HeartbeatHandler {
  private readonly redirects: Redirects;
  readonly counts = new HeartbeatCounts();
  readonly forwardingDelay: ForwardingDelay;

  constructor(private readonly options: HeartbeatHandlerOptions) {
    this.forwardingDelay = new ForwardingDelay(options.clock, options.settings.workers.report_s);
    this.redirects = new Redirects(options);
  }

  /** `arrivedAt`: when the heartbeat arrived; it may have waited in the request queue since. */
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
    const deadline = arrivedAt + ANSWER_WAIT_S * HEARTBEAT_WAIT_SHARE;
    const isZoneIsolated = zoneLeaseHolder?.state === 'alone';
    const knownLeader = replica.leader;
    const isStoreAvailable = this.options.store.health === 'served';
    if (!isZoneIsolated && knownLeader === null && isStoreAvailable) {
      heartbeat.parse();
      return { status: 503, retryAfter: 1 };
    }
    return this.forward(
      heartbeat,
      isZoneIsolated ? null : (knownLeader?.node ?? settings.node),
      deadline,
    );
  }

  /** Answers a heartbeat that the leader received directly from a worker. */
  private answerAsLeader(leader: Leader, body: Buffer): Reply {
    const heartbeat = leader.decodeHeartbeat(body);
    const target = this.redirects.redirectTarget(heartbeat);
    if (target !== null) return this.redirect(heartbeat, target);
    return this.counts.countReply(leader.answerHeartbeat(heartbeat, body), 'worker');
  }

  /** Answers a malformed heartbeat with 400, whichever step of the work detects it. */
  private rejectMalformed<S, A>(work: () => S | Promise<A>): S | Reply | Promise<A | Reply> {
    const toBadRequest = (error: unknown): Reply => {
      if (!(error instanceof BadRequestError)) throw error;
      // Malformed input is an error of the sender and is not passed on to the caller.
      this.options.log.info({ reason: error.message }, 'heartbeat rejected: malformed');
      return { status: 400, body: '{}' };
    };
    try {
      const answer = work();
      return answer instanceof Promise ? answer.catch(toBadRequest) : answer;
    } catch (error) {
      return toBadRequest(error);
    }
  }

  private redirect(heartbeat: Heartbeat, target: string): Reply {
    this.redirects.recordRedirect(heartbeat.machine);
    return { status: 421, body: encodeRedirect(target) };
  }

  /**
   * Forwards a heartbeat to the leader, directly or through another controller. The worker stays connected to
   * this controller: a leader that it cannot reach, or that terminates, costs it no reconnection.
   */
  private async forward(
    heartbeat: ReceivedHeartbeat,
    leader: string | null,
    deadline: number,
  ): Promise<Reply> {
    const { reply, leaderReached, anyAnswer } = await this.askControllers(
      heartbeat,
      leader,
      deadline,
    );
    if (reply !== null) return reply;
    this.counts.forwardingFailed++;
    const renewal = await this.renewWithoutLeader(heartbeat.parse(), anyAnswer, deadline);
    if (renewal !== null) return renewal;
    if (leaderReached) return { status: 503, retryAfter: 1 };
    return { status: 421, body: encodeRedirect(leader) };
  }

  /** Asks the leader and then the other controllers, while there is time and another answer may help. */
  private async askControllers(
    heartbeat: ReceivedHeartbeat,
    leader: string | null,
    deadline: number,
  ): Promise<ForwardingOutcome> {
    const { settings, peers, clock } = this.options;
    const others = peers.peerNames.filter((node) => node !== leader);
    // Without access to the store this controller may not know the current leader, but others may. A former
    // leader that was cut off from the store alone once kept its zone's workers waiting until their leases
    // expired.
    const isOutdated = this.options.store.health !== 'served';
    const noLeader = leader === null || leader === settings.node;
    const targets = noLeader ? (leader !== null && isOutdated ? others : []) : [leader, ...others];
    const outcome: ForwardingOutcome = {
      reply: null,
      leaderReached: noLeader,
      anyAnswer: false,
    };
    for (const target of targets) {
      const hop = target !== leader;
      const waitShare = hop ? RELAY_WAIT_SHARE : LEADER_WAIT_SHARE;
      const timeoutS = Math.min(ANSWER_WAIT_S * waitShare, deadline - clock.now());
      if (timeoutS <= 0) break;
      const askedAt = clock.now();
      const answer = await peers.ask(target, { q: 'report', body: heartbeat.body, hop }, timeoutS);
      if (!hop) this.forwardingDelay.addSample(clock.now() - askedAt);
      outcome.reply = this.replyOf(answer);
      if (outcome.reply !== null) break;
      outcome.anyAnswer ||= answer !== null;
      // The presumed leader was reached and does not lead. Others know a different leader only if this
      // controller's knowledge is outdated.
      if (answer?.status === 503 && !hop) {
        outcome.leaderReached = true;
        if (!isOutdated) break;
      }
    }
    return outcome;
  }

  /** The reply to the worker for another controller's answer; null: the answer cannot be passed on. */
  private replyOf(answer: ReplyAnswer | null): Reply | null {
    if (answer?.status === 200 && answer.body !== undefined) {
      this.counts.forwarded++;
      return { status: 200, body: answer.body };
    }
    return answer?.status === 400 ? { status: 400, body: '{}' } : null;
  }

  /**
   * Renews the lease when no leader has answered: in an outage of the store, or as zone lease holder where the
   * whole zone is cut off, so that its running tasks continue. Null: neither is allowed. `peerAnswered`:
   * another controller has answered, so the zone is not cut off.
   */
  private async renewWithoutLeader(
    heartbeat: Heartbeat,
    peerAnswered: boolean,
    deadline: number,
  ): Promise<Reply | null> {
    const { settings, replica, election, zoneLeaseHolder } = this.options;
    const token = replica.leader?.revision;
    if (token !== undefined && (await election.outageQuorum.mayRenewLeases())) {
      return this.renewForLeader(heartbeat, token);
    }
    if (heartbeat.zone !== settings.zone || peerAnswered || zoneLeaseHolder === null) return null;
    if (!(await zoneLeaseHolder.waitUntilMayRenew(deadline))) return null;
    return this.renewForLeader(heartbeat, replica.lastToken);
  }

  /**
   * Renews a worker's lease in place of the leader. The only commands in the answer are stops of cancelled
   * tasks.
   */
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

  /**
   * Handles a heartbeat that another controller forwarded. `hop`: it may be forwarded once more, to the leader.
   */
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
    const leaderNode = replica.leader?.node;
    if (!hop || leaderNode === undefined || leaderNode === settings.node) return { status: 503 };
    return peers.ask(
      leaderNode,
      { q: 'report', body, hop: false },
      ANSWER_WAIT_S * LEADER_WAIT_SHARE,
    );
  }
}
