import { random } from '../random.js';
import { randomBytes } from 'node:crypto';
import { CloudClient } from '../cloud/client.js';
import { Election } from '../cluster/election.js';
import { PeerNet, type Answer, type Question } from '../cluster/peers.js';
import { Warden, WardenWatch, wardens } from '../cluster/warden.js';
import { sleep, steadyClock, type Clock } from '../clock.js';
import type { Settings } from '../config/settings.js';
import type { Message } from '../http/parser.js';
import { HttpServer, type Reply } from '../http/server.js';
import type { MachineType } from '../jobs/types.js';
import type { Log } from '../log.js';
import type { Policy } from '../operator/policy.js';
import { StateClient } from '../state/client.js';
import { Follower } from '../state/follow.js';
import { Intake } from '../state/intake.js';
import { outcome, Replica } from '../state/replica.js';
import { BadMessage, route } from '../wire/users.js';
import {
  encodeElsewhere,
  encodeOrders,
  MAX_COMMANDS,
  parseReport,
  type Command,
} from '../wire/workers.js';
import { Leader } from './leader.js';
import { Users } from './users.js';

/** A worker waits for an answer for about four reports: so long it may be left waiting here. */
const KEEP_REPORTS = 3.5;
/** Cancellations remembered for what is kept in other controllers' place, at most. */
const TOLD_MOST = 1000;

export interface NodeOptions {
  clock?: Clock;
  wallMs?: () => number;
}

/** One controller: everything of it that does input and output, put together. */
export class Node {
  readonly state: StateClient;
  readonly replica: Replica;
  readonly follower: Follower;
  readonly election: Election;
  readonly peers: PeerNet;
  readonly users: Users;
  /** Only where this controller is its zone's warden. */
  private readonly warden: Warden | null;
  private readonly wards: WardenWatch;
  readonly server: HttpServer;
  leader: Leader | null = null;
  private readonly cloud: CloudClient;
  private readonly clock: Clock;
  private readonly wallMs: () => number;
  private readonly incarnation: string;
  private stopped = false;
  private beat: NodeJS.Timeout | undefined;

  constructor(
    readonly settings: Settings,
    private readonly policy: Policy,
    private readonly log: Log,
    options: NodeOptions = {},
  ) {
    this.clock = options.clock ?? steadyClock;
    this.wallMs = options.wallMs ?? Date.now;
    // Never the same twice: names of requests and of stored batches begin with it.
    this.incarnation = `${settings.node}-${randomBytes(6).toString('hex')}`;
    this.state = new StateClient(settings, this.clock);
    this.replica = new Replica(this.state.valueBytes);
    this.replica.listener = {
      onJob: (j) => this.leader?.onJob(j),
      onCancelled: (j) => this.leader?.onCancelled(j),
      onLeader: () => this.election.nudge(),
      onPresence: (node) => this.wards.changed(node),
    };
    this.follower = new Follower(
      this.state,
      this.replica,
      this.clock,
      log,
      () => (this.leader === null ? 0.15 : 0.01),
      Math.min(0.1, (3 * settings.nodes) / settings.state.rps),
    );
    this.cloud = new CloudClient(settings, this.clock);
    this.election = new Election(
      settings.node,
      this.incarnation,
      settings.nodes,
      settings.workers.lease_s,
      this.state,
      this.follower,
      this.replica,
      () => this.peers,
      this.clock,
      log,
      {
        onElected: (token) => this.elected(token),
        onDeposed: () => this.deposed(),
        onToldCancelled: (ids) => this.toldCancelled(ids),
      },
    );
    this.peers = new PeerNet(settings.node, settings.peers, (from, q) => this.answer(from, q), log);
    const byZone = wardens([settings, ...settings.peers]);
    this.wards = new WardenWatch(
      byZone,
      settings.workers.lease_s,
      this.replica,
      this.follower,
      this.state,
      this.clock,
    );
    this.warden =
      byZone.get(settings.zone) !== settings.node
        ? null
        : new Warden(
            settings.node,
            this.incarnation,
            settings.workers.lease_s,
            this.state,
            this.follower,
            this.replica,
            () => this.peers,
            this.clock,
            log,
          );
    const intake = new Intake(
      this.incarnation,
      this.state,
      this.follower,
      this.replica,
      this.state.writes,
      this.clock,
      log,
    );
    this.users = new Users(
      settings,
      this.follower,
      this.replica,
      intake,
      () => this.types(),
      (job) => this.mayCancel(job, [...byZone]),
      this.wallMs,
      log,
    );
    this.server = new HttpServer(
      (m) => this.handle(m),
      { sockets: Math.floor(settings.limits.sockets * 0.6), readS: 5, idleS: 120 },
      () => this.clock.now(),
      (e) => log.error({ err: String(e), stack: (e as Error).stack }, 'request failed'),
    );
  }

  async start(): Promise<void> {
    await this.server.listen(this.settings.bind);
    await this.peers.listen(this.settings.peerBind);
    void this.follower.run();
    void this.election.run();
    void this.warden?.run();
    void this.fetchTypes();
    this.beat = setInterval(() => this.leader?.beat(), this.settings.workers.report_s * 500);
    this.log.info({ bind: this.settings.bind }, 'started');
  }

  stop(): void {
    this.stopped = true;
    clearInterval(this.beat);
    this.election.stop();
    this.warden?.stop();
    this.follower.stop();
    this.leader?.stop();
    this.leader = null;
    this.server.close();
    this.peers.close();
    this.state.close();
    this.cloud.close();
  }

  // Machine types: from the store as a rule, from the cloud when nobody has stored them yet.

  private fetched: MachineType[] | null = null;

  types(): MachineType[] | null {
    if (this.leader !== null && this.leader.term.types.size > 0) {
      return [...this.leader.term.types.values()];
    }
    return this.replica.types ?? this.fetched;
  }

  private async fetchTypes(): Promise<void> {
    while (!this.stopped && this.types() === null) {
      if (this.follower.ready) {
        try {
          this.fetched = await this.cloud.types();
          this.leader?.onTypes(this.fetched);
          return;
        } catch (e) {
          this.log.debug({ err: String(e) }, 'machine types not had');
          await sleep(1 + random());
        }
      } else await sleep(0.05);
    }
  }

  // Leadership

  private elected(token: number): void {
    this.leader?.stop();
    this.leader = new Leader(
      {
        settings: this.settings,
        clock: this.clock,
        wallMs: this.wallMs,
        log: this.log,
        replica: this.replica,
        policy: this.policy,
        token,
        incarnation: this.incarnation,
        entitled: () => this.election.entitled && this.election.token === token,
        keptUntil: () => this.state.refusedAt + this.election.caretakeS,
        zone: (zone) => this.wards.zone(zone),
        prove: () => void this.follower.sync().then((ok) => ok && this.leader?.term.stir()),
        writing: () => this.election.writing && this.election.token === token,
      },
      this.state,
      this.cloud,
      () => this.election.nudge(),
    );
    this.leader.start();
    if (this.fetched !== null && this.leader.term.types.size === 0)
      this.leader.onTypes(this.fetched);
  }

  private deposed(): void {
    this.leader?.stop();
    this.leader = null;
  }

  // Requests

  private handle(m: Message): Reply | Promise<Reply> {
    const to = route(m.method, m.target);
    switch (to.to) {
      case 'checkin':
        return this.checkin(m);
      case 'submit':
        return this.users.submit(m.body);
      case 'poll':
        return this.users.poll(to.id);
      case 'cancel':
        return this.users.cancel(to.id);
      case 'ready':
        return this.users.ready() ? { status: 200, body: '{}' } : { status: 503, retryAfter: 1 };
      case 'metrics':
        return { status: 200, body: JSON.stringify(this.figures()) };
      case 'wrong-method':
        return { status: 405, body: '{}' };
      case 'nowhere':
        return { status: 404, body: '{}' };
    }
  }

  private checkin(m: Message): Reply | Promise<Reply> {
    const text = m.body.toString('utf8');
    let raw: unknown;
    try {
      raw = JSON.parse(text);
      if (this.leader !== null && this.election.entitled) return this.leader.checkin(raw);
      // Garbage goes no further than here.
      parseReport(raw);
    } catch (e) {
      if (e instanceof SyntaxError || e instanceof BadMessage) {
        this.log.info({ err: e.message }, 'report dropped');
        return { status: 400, body: '{}' };
      }
      throw e;
    }
    const deadline = this.clock.now() + this.settings.workers.report_s * KEEP_REPORTS;
    const alone = this.warden?.state === 'alone';
    if (this.warden?.mayKeep() === true && parseReport(raw).zone === this.settings.zone) {
      return this.keep(raw, this.replica.lastToken);
    }
    const leader = this.replica.leader;
    if (!alone && leader === null) return { status: 503, retryAfter: 1 };
    return this.relay(text, raw, alone ? null : leader!.node, deadline);
  }

  /**
   * Passes a report on to the leader, straight or by way of another controller. The worker stays
   * where it is: a leader that it cannot reach, or one that ends, costs it no connection of its own.
   */
  private async relay(
    body: string,
    raw: unknown,
    leader: string | null,
    deadline: number,
  ): Promise<Reply> {
    const { report_s } = this.settings.workers;
    const others = this.peers.names.filter((n) => n !== leader);
    const ways = leader === null || leader === this.settings.node ? [] : [leader, ...others];
    let reached = ways.length === 0;
    for (const to of ways) {
      const hop = to !== leader;
      const a = await this.peers.ask(to, { q: 'report', body, hop }, report_s * (hop ? 1.2 : 1));
      if (a?.status === 200 && typeof a.body === 'string') return { status: 200, body: a.body };
      // It was reached and does not lead: nothing is gained by other ways.
      if (a?.status === 503 && !hop) {
        reached = true;
        break;
      }
    }
    const token = this.replica.leader?.revision;
    if (token !== undefined && (await this.election.mayKeep())) return this.keep(raw, token);
    // Cut off together with this zone: what runs here goes on.
    const mine = parseReport(raw).zone === this.settings.zone;
    if (mine && this.warden !== null && (await this.warden.settle(deadline))) {
      return this.keep(raw, this.replica.lastToken);
    }
    if (reached) return { status: 503, retryAfter: 1 };
    return { status: 421, body: encodeElsewhere(leader) };
  }

  /** Renews a worker's lease in a leader's place. The only commands: cancelled tasks stop. */
  private keep(raw: unknown, token: number): Reply {
    const report = parseReport(raw);
    // It knows of a leader that this controller does not: what it got from here it would drop, and
    // stay here while its lease runs out.
    if (report.token > token) return { status: 503, retryAfter: 1 };
    const stops: Command[] = [];
    for (const t of report.tasks) {
      const facts = this.replica.jobs.get(t.job);
      const cancelled = facts !== undefined && outcome(facts) === 'cancelled';
      const told = this.cancelledElsewhere.has(t.job) || this.cancelling.has(t.job);
      if (t.state === 'ended' || !(cancelled || told)) continue;
      stops.push({ op: 'stop', job: t.job, index: t.index, attempt: t.attempt, graceS: 0 });
    }
    return { status: 200, body: encodeOrders(token, stops.slice(0, MAX_COMMANDS)) };
  }

  private readonly cancelledElsewhere = new Set<string>();
  /** Cancellations that are about to be stored. */
  private readonly cancelling = new Set<string>();

  private noteCancelling(job: string): void {
    this.cancelling.add(job);
    while (this.cancelling.size > TOLD_MOST) {
      this.cancelling.delete(this.cancelling.values().next().value!);
    }
  }

  /**
   * A zone that is cut off does not hear of a cancellation, and its warden would keep the job's
   * tasks alive for longer than is allowed after it has been told. So either the wardens know of it
   * before it is stored, or what they may keep ends in time. Returns the seconds after which to ask
   * again; 0: it may be stored.
   */
  private async mayCancel(job: string, byZone: [string, string][]): Promise<number> {
    if (byZone.length === 0) return 0;
    this.noteCancelling(job);
    const { workers } = this.settings;
    const others = byZone.filter(([, node]) => node !== this.settings.node);
    const told = await Promise.all(
      others.map(async ([zone, node]) => {
        const a = await this.peers.ask(node, { q: 'cancelling', job }, workers.report_s);
        return { zone, ok: a?.told === true };
      }),
    );
    const unsure = new Set(told.filter((t) => !t.ok).map((t) => t.zone));
    if (unsure.size === 0) return 0;
    let wait = 0;
    for (const { record } of this.replica.machines.values()) {
      if (!unsure.has(record.zone) || !record.claims.some((c) => c.job === job)) continue;
      const z = this.wards.zone(record.zone);
      const present = z.provenAt < Infinity;
      // Kept to the bound, then a lease, all of it before the time allowed has passed.
      const gone = z.keptUntil + workers.lease_s * 1.1 + workers.report_s;
      const left = gone - (this.clock.now() + workers.cancel_s);
      wait = Math.max(wait, present ? workers.report_s : left);
    }
    return wait <= 0 ? 0 : Math.max(1, Math.ceil(Math.min(wait, workers.lease_s / 2)));
  }

  private toldCancelled(ids: string[]): void {
    for (const id of ids) {
      this.cancelledElsewhere.add(id);
      this.leader?.onToldCancelled(id);
    }
    while (this.cancelledElsewhere.size > TOLD_MOST) {
      this.cancelledElsewhere.delete(this.cancelledElsewhere.values().next().value!);
    }
  }

  private answer(_from: string, q: Question): Promise<Answer> | Answer {
    switch (q.q) {
      case 'report': {
        if (typeof q.body !== 'string') return { status: 503 };
        if (this.leader !== null) return { ...this.leader.checkin(JSON.parse(q.body)) };
        const leader = this.replica.leader?.node;
        if (q.hop !== true || leader === undefined || leader === this.settings.node) {
          return { status: 503 };
        }
        return this.peers
          .ask(leader, { q: 'report', body: q.body, hop: false }, this.settings.workers.report_s)
          .then((a) => a ?? { status: 504 });
      }
      case 'there':
        return { there: true };
      case 'cancelling':
        if (typeof q.job !== 'string' || q.job.length > 200) return {};
        this.noteCancelling(q.job);
        return { told: true };
      case 'refused':
        return this.election.answerRefused(Number(q.token), Number(q.forMs));
      default:
        return {};
    }
  }

  figures(): Record<string, unknown> {
    return {
      node: this.settings.node,
      role: this.election.role,
      token: this.election.token,
      leader: this.replica.leader?.node ?? null,
      revision: this.replica.applied,
      jobs: this.replica.jobs.size,
      connections: this.server.connections,
      garbage: this.replica.garbage,
      memory_mb: Math.round(process.memoryUsage.rss() / 1e6),
      ...this.leader?.figures(),
    };
  }
}
