import type { Election } from '../leadership/election.js';
import type { ReplyAnswer } from '../peers/messages.js';
import type { PeerNet } from '../peers/net.js';
import type { ZoneLeaseKeeper, ZoneLeaseWatch } from '../leadership/zone-lease.js';
import type { Clock } from '../clock.js';
import type { Settings } from '../config/settings.js';
import type { Reply } from '../http/server.js';
import type { Log } from '../log.js';
import type { KeyValueStoreClient } from '../store/client.js';
import { outcome } from '../store/stored-job.js';
import type { Replica } from '../store/replica.js';
import { BadMessage } from '../wire/users.js';
import {
  ANSWER_WAIT_S,
  encodeElsewhere,
  encodeOrders,
  MAX_COMMANDS,
  type Command,
  type Report,
} from '../wire/workers.js';
import type { Leader } from '../leader/leader.js';
import { ReceivedReport } from './received-report.js';
import { Redirects } from './redirects.js';
import { RelayWait } from './relay-wait.js';
import { ReportCounts } from './report-counts.js';

/**
 * Of the time that a worker waits for an answer, what it may be left waiting here, and what one of the
 * others may take. These were report intervals once. With reports every 2.5 s the answers came after
 * workers had given up: those of a zone just cut off went to look elsewhere, which took a lease.
 */
export const KEEP_SHARE = 0.875;
export const ASK_SHARE = 0.25;
const HOP_SHARE = 0.3;

interface Parts {
  settings: Settings;
  election: Election;
  state: KeyValueStoreClient;
  replica: Replica;
  peers: PeerNet;
  /** Only where this controller is its zone's keeper. */
  zoneKeeper: ZoneLeaseKeeper | null;
  zoneLeases: ZoneLeaseWatch;
  /** Whether another controller, as far as it has told lately, does not keep up. */
  isLate: (node: string) => boolean;
  leader: () => Leader | null;
  /** Cancelled, as far as this controller has been told by any way. */
  knownCancelled: (job: string) => boolean;
  clock: Clock;
  log: Log;
}

/** Workers' reports as they come to any controller: answered, passed on, or sent elsewhere. */
export class Reports {
  private readonly redirects: Redirects;
  readonly counts = new ReportCounts();
  readonly relayWait: RelayWait;

  constructor(private readonly parts: Parts) {
    this.relayWait = new RelayWait(parts.clock, parts.settings.workers.report_s);
    this.redirects = new Redirects(parts);
  }

  /** `arrivedAt`: it may have waited here before its turn came. */
  checkin(body: Buffer, arrivedAt = this.parts.clock.now()): Reply | Promise<Reply> {
    return this.refuseMalformed(() => this.route(body, arrivedAt));
  }

  private route(body: Buffer, arrivedAt: number): Reply | Promise<Reply> {
    const { settings, election, replica, zoneKeeper } = this.parts;
    const leader = this.parts.leader();
    if (leader !== null && election.entitled) return this.lead(leader, body);
    const report = new ReceivedReport(body);
    const target = this.redirects.targetOf(report.routing);
    if (target !== null) return this.redirect(report.parse(), target);
    if (zoneKeeper?.mayKeep() === true && report.routing.zone === settings.zone) {
      return this.keep(report.parse(), replica.lastToken);
    }
    const deadline = arrivedAt + ANSWER_WAIT_S * KEEP_SHARE;
    const alone = zoneKeeper?.state === 'alone';
    const leads = replica.leader;
    const served = this.parts.state.health === 'served';
    if (!alone && leads === null && served) {
      report.parse();
      return { status: 503, retryAfter: 1 };
    }
    return this.relay(report, alone ? null : (leads?.node ?? settings.node), deadline);
  }

  /** A report straight from a worker to the leader. */
  private lead(leader: Leader, body: Buffer): Reply {
    const report = leader.read(body);
    const target = this.redirects.targetOf(report);
    if (target !== null) return this.redirect(report, target);
    return this.counts.leaderReply(leader.checkin(report, body), 'worker');
  }

  /** Answers a malformed report with 400, whatever part of the work finds it to be so. */
  private refuseMalformed<S, A>(work: () => S | Promise<A>): S | Reply | Promise<A | Reply> {
    const refuse = (e: unknown): Reply => {
      if (!(e instanceof BadMessage)) throw e;
      // Garbage goes no further than here.
      this.parts.log.info({ err: e.message }, 'report dropped');
      return { status: 400, body: '{}' };
    };
    try {
      const answer = work();
      return answer instanceof Promise ? answer.catch(refuse) : answer;
    } catch (e) {
      return refuse(e);
    }
  }

  private redirect(report: Report, target: string): Reply {
    this.redirects.note(report.machine);
    return { status: 421, body: encodeElsewhere(target) };
  }

  /**
   * Passes a report on to the leader, straight or by way of another controller. The worker stays
   * where it is: a leader that it cannot reach, or one that ends, costs it no connection of its own.
   */
  private async relay(
    report: ReceivedReport,
    leader: string | null,
    deadline: number,
  ): Promise<Reply> {
    const { settings, peers, replica, election, zoneKeeper, clock } = this.parts;
    const others = peers.names.filter((n) => n !== leader);
    // One that the state service does not serve may not know who leads by now, but others may: cut off
    // from the store alone it once kept its zone's workers waiting, in vain, until their leases ran out.
    const stale = this.parts.state.health !== 'served';
    const nobody = leader === null || leader === settings.node;
    const ways = nobody ? (leader !== null && stale ? others : []) : [leader, ...others];
    let reached = nobody;
    let answered = false;
    for (const to of ways) {
      const hop = to !== leader;
      const patience = Math.min(
        ANSWER_WAIT_S * (hop ? HOP_SHARE : ASK_SHARE),
        deadline - clock.now(),
      );
      if (patience <= 0) break;
      const askedAt = clock.now();
      const a = await peers.ask(to, { q: 'report', body: report.body, hop }, patience);
      if (!hop) this.relayWait.note(clock.now() - askedAt);
      if (a?.status === 200 && a.body !== undefined) {
        this.counts.passedOn++;
        return { status: 200, body: a.body };
      }
      if (a?.status === 400) return { status: 400, body: '{}' };
      answered ||= a !== null;
      // It was reached and does not lead: nothing is gained by other ways.
      if (a?.status === 503 && !hop) {
        reached = true;
        if (!stale) break;
      }
    }
    this.counts.passedOnFailed++;
    // No leader has judged it.
    const parsed = report.parse();
    const token = replica.leader?.revision;
    if (token !== undefined && (await election.outage.mayKeep())) return this.keep(parsed, token);
    // Cut off together with this zone: what runs here goes on.
    const mine = parsed.zone === settings.zone;
    if (mine && !answered && zoneKeeper !== null && (await zoneKeeper.settle(deadline))) {
      return this.keep(parsed, replica.lastToken);
    }
    if (reached) return { status: 503, retryAfter: 1 };
    return { status: 421, body: encodeElsewhere(leader) };
  }

  /** Renews a worker's lease in a leader's place. The only commands: cancelled tasks stop. */
  private keep(report: Report, leaderToken: number): Reply {
    const { replica, knownCancelled } = this.parts;
    const record = replica.machines.get(report.machine)?.record;
    const token = (record?.term === leaderToken ? record.token : undefined) ?? leaderToken;
    // It knows of a leader that this controller does not: what it got from here it would drop, and
    // stay here while its lease runs out.
    if (report.token > token) return { status: 503, retryAfter: 1 };
    const stops: Command[] = [];
    for (const t of report.tasks) {
      const facts = replica.jobs.get(t.job);
      const cancelled = facts !== undefined && outcome(facts) === 'cancelled';
      if (t.state === 'ended' || !(cancelled || knownCancelled(t.job))) continue;
      stops.push({ op: 'stop', job: t.job, index: t.index, attempt: t.attempt, graceS: 0 });
    }
    this.counts.kept++;
    return { status: 200, body: encodeOrders(token, stops.slice(0, MAX_COMMANDS)) };
  }

  /** Passed on by another controller. */
  passedOn(body: Buffer, hop: boolean): Promise<ReplyAnswer | null> | ReplyAnswer {
    return this.refuseMalformed(() => this.leadOrHop(body, hop));
  }

  private leadOrHop(body: Buffer, hop: boolean): Promise<ReplyAnswer | null> | ReplyAnswer {
    const { settings, peers, replica } = this.parts;
    const leader = this.parts.leader();
    if (leader !== null) {
      return this.counts.leaderReply(leader.checkin(leader.read(body), body), 'peer');
    }
    const leads = replica.leader?.node;
    if (!hop || leads === undefined || leads === settings.node) return { status: 503 };
    return peers.ask(leads, { q: 'report', body, hop: false }, ANSWER_WAIT_S * ASK_SHARE);
  }
}
