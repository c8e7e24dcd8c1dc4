import { CloudClient } from '../cloud/client.js';
import { Fleet, type FleetHost } from '../cloud/fleet.js';
import { planRent, type Demand, type Wanted } from '../cloud/plan.js';
import { HttpClient, NoResponse } from '../http/client.js';
import type { Reply } from '../http/server.js';
import { warmTarget, type Arrival } from '../cloud/warm.js';
import { fits, type MachineType } from '../jobs/types.js';
import { freeShare, type Room } from '../sched/place.js';
import type { StateClient } from '../state/client.js';
import type { JobFacts } from '../state/replica.js';
import type { ListedMachine } from '../wire/cloud.js';
import { encodeDirect, encodeOrders, parseReport, type Report } from '../wire/workers.js';
import { holds } from '../workers/attempt.js';
import type { Machine } from '../workers/machine.js';
import { endpoint } from '../config/settings.js';
import { Scheduler } from './scheduler.js';
import { TermStore } from './store.js';
import { Term, type TermDeps } from './term.js';

/** Acts for one term: answers reports, places, stores, commands and keeps the fleet. */
export class Leader {
  readonly term: Term;
  private readonly scheduler: Scheduler;
  private readonly store: TermStore;
  private readonly fleet: Fleet;
  private readonly direct = new Map<string, { client: HttpClient; addr: string; busy: boolean }>();
  private demand: Demand[] = [];
  private spareRooms: Room[] = [];
  private timer: NodeJS.Timeout | null = null;
  private lastPass = -Infinity;
  private stopped = false;
  private readonly failedListed = new Set<string>();
  private readonly neverCame = new Set<string>();
  private lastListed = new Set<string>();

  constructor(
    private readonly deps: TermDeps,
    state: StateClient,
    cloud: CloudClient,
    onLost: () => void,
  ) {
    this.term = new Term(deps);
    this.term.onStir = () => this.schedule();
    this.scheduler = new Scheduler(
      this.term,
      (type) => this.spotShort(type),
      () => this.spareTarget(false),
    );
    this.store = new TermStore(this.term, deps.settings.node, state, deps.clock, deps.log, onLost);
    this.store.typesDirty = deps.replica.types === null && this.term.types.size > 0;
    const host: FleetHost = {
      entitled: () => deps.entitled(),
      wanted: () => this.wanted(),
      toReturn: () => this.toReturn(),
      returned: (ids) => this.returned(ids),
      known: (id) => this.term.machines.has(id),
      listed: (all) => this.listed(all),
      onTypes: (types) => this.onTypes(types),
    };
    this.fleet = new Fleet(
      `${deps.incarnation}-${deps.token}`,
      cloud,
      host,
      deps.settings.cloud.list_lag_s,
      (type) => this.term.types.get(type)?.bootS ?? 60,
      deps.clock,
      deps.log,
    );
  }

  start(): void {
    void this.store.run();
    void this.fleet.run();
    this.schedule();
  }

  stop(): void {
    this.stopped = true;
    this.store.stop();
    this.fleet.stop();
    if (this.timer !== null) clearTimeout(this.timer);
    for (const d of this.direct.values()) d.client.close();
    this.direct.clear();
  }

  onTypes(types: MachineType[]): void {
    const before = JSON.stringify(
      [...this.term.types.values()].map((t) => ({ ...t, spotPrice: 0 })),
    );
    this.term.setTypes(types);
    // Prices move all the time; only what validation and placing rest on is worth a write.
    if (JSON.stringify(types.map((t) => ({ ...t, spotPrice: 0 }))) !== before) {
      this.store.typesDirty = true;
      this.store.nudge();
    }
    this.term.stir();
  }

  onJob(facts: JobFacts): void {
    this.term.addJob(facts);
  }

  onCancelled(facts: JobFacts): void {
    this.term.cancelled(facts);
  }

  /** Stored, as another controller knows, but kept from this one by an outage. */
  onToldCancelled(id: string): void {
    this.term.toldCancelled(id);
  }

  // Reports

  /** A worker's check-in, straight from it or passed on by another controller. */
  checkin(raw: unknown): Reply {
    const report = parseReport(raw);
    const { term, deps } = this;
    if (!deps.entitled()) return { status: 503, retryAfter: 1 };
    // Of a later leader: it would drop an answer from here, and its lease would run out meanwhile.
    if (report.token > deps.token) return { status: 503, retryAfter: 1 };
    const now = term.now;
    const m = this.machineOf(report);
    const changes = m.apply(report, true, now);
    if (!changes.stale) term.digest(m, changes);
    const fresh =
      !changes.stale &&
      (m.state === 'ready' || m.state === 'returning') &&
      report.token === term.deps.token;
    const commands = fresh ? m.commands(now, (a) => term.mayStart(a), true) : [];
    m.mark(commands, 'checkin', now);
    if (fresh) term.urgent.delete(m.id);
    m.renewed(now);
    return { status: 200, body: encodeOrders(term.deps.token, commands) };
  }

  private machineOf(report: Report): Machine {
    const known = this.term.machines.has(report.machine);
    const m = this.term.machine(report.machine);
    if (!known) {
      this.deps.log.info(
        { machine: m.id, type: report.type, zone: report.zone },
        'machine reports',
      );
      this.fleet.heard(m.id);
      this.term.stir();
    }
    return m;
  }

  // Passes

  private schedule(): void {
    if (this.stopped || this.timer !== null) return;
    // Events come in clusters: one pass serves them all, and passes keep their share of time.
    const gap = this.deps.settings.workers.report_s / 20;
    const wait = Math.max(gap / 4, this.lastPass + gap - this.deps.clock.now());
    this.timer = setTimeout(() => {
      this.timer = null;
      try {
        this.pass();
      } catch (e) {
        this.deps.log.error({ err: String(e), stack: (e as Error).stack }, 'pass failed');
      }
    }, wait * 1000);
  }

  /** Called about once a report interval, for what comes with time alone. */
  beat(): void {
    if (this.stopped) return;
    this.consolidate();
    this.term.stir();
  }

  private consolidatedAt = -Infinity;

  /** When there is a machine's worth of room too much, a machine is emptied to be given back. */
  private consolidate(): void {
    const { term, deps } = this;
    const now = term.now;
    const patience = deps.settings.workers.lease_s;
    for (const m of term.machines.values()) {
      const over =
        m.vacatedAt !== null && (now - m.vacatedAt > patience * 3 || this.demand.length > 0);
      if (over && m.state === 'ready') m.vacatedAt = null;
    }
    // Right after a change of leader the picture is not whole.
    if (!deps.writing() || now - term.startedAt < patience * 2) return;
    if (now - this.consolidatedAt < patience / 2 || this.demand.length > 0) return;
    this.consolidatedAt = now;
    const surplus = this.freeRoom(this.spareRooms, false) - this.spareTarget(false);
    const empty = [...term.machines.values()].some(
      (m) => !m.spot && m.state === 'ready' && m.attempts.size === 0,
    );
    if (surplus < 1.5 || (empty && surplus < 2.5)) return;
    this.scheduler.vacate(this.spareRooms);
  }

  private pass(): void {
    if (this.stopped) return;
    this.lastPass = this.deps.clock.now();
    const { term } = this;
    if (!this.deps.entitled()) return;
    term.expire();
    this.sweep();
    if (this.deps.writing()) {
      const r = this.scheduler.pass();
      this.demand = r.demand;
      this.spareRooms = r.rooms;
    }
    for (const m of term.machines.values()) {
      if (m.held().length > 0) m.idleSince = term.now;
    }
    if (term.dirtyMachines.size > 0 || this.anyDirty()) this.store.nudge();
    this.push();
    if (this.demand.length > 0) this.fleet.nudge();
  }

  private anyDirty(): boolean {
    for (const j of this.term.jobs.values()) if (j.dirtyChunks.size > 0) return true;
    return false;
  }

  /** Forgets jobs and machines that are over. */
  private sweep(): void {
    const { term } = this;
    const referred = new Set<string>();
    for (const m of term.machines.values())
      for (const a of m.attempts.values()) referred.add(a.job);
    for (const job of [...term.jobs.values()]) {
      if (job.phase === 'closing' && !referred.has(job.spec.id)) {
        job.become('closed');
        term.jobs.delete(job.spec.id);
      }
    }
    const patience = this.deps.settings.workers.lease_s * 6;
    for (const m of [...term.machines.values()]) {
      if (m.state !== 'silent' || term.now - m.heardAt < patience) continue;
      // Not in the cloud's list either: nothing is left to give back.
      if (this.fleet.listedOnce && !this.lastListed.has(m.id)) this.forget(m);
    }
  }

  private forget(m: Machine): void {
    this.term.machines.delete(m.id);
    this.term.dirtyMachines.delete(m.id);
    if (m.revision > 0) this.term.removals.set(m.id, m.revision);
    this.direct.get(m.id)?.client.close();
    this.direct.delete(m.id);
  }

  // Direct commands

  private push(): void {
    const { term } = this;
    for (const id of [...term.urgent]) {
      const m = term.machines.get(id);
      if (m === undefined || m.state === 'silent' || m.state === 'unheard') {
        term.urgent.delete(id);
        continue;
      }
      if (m.state === 'fencing') continue;
      void this.tell(m);
    }
  }

  private async tell(m: Machine): Promise<void> {
    const { term, deps } = this;
    let d = this.direct.get(m.id);
    if (d === undefined || d.addr !== m.addr) {
      d?.client.close();
      d = { client: new HttpClient(endpoint(m.addr), 1, 4), addr: m.addr, busy: false };
      this.direct.set(m.id, d);
    }
    if (d.busy) return;
    const commands = m.commands(term.now, (a) => term.mayStart(a), false);
    term.urgent.delete(m.id);
    if (commands.every((c) => c.op === 'forget')) return;
    const session = m.session;
    m.mark(commands, 'direct', term.now);
    d.busy = true;
    const timeout = deps.settings.workers.report_s * 1.5;
    try {
      const body = encodeDirect(deps.token, session, commands);
      const r = await d.client.request('POST', '/do', body, timeout);
      if (this.stopped) return;
      const how = r.status === 200 ? 'done' : 'refused';
      m.directDone(commands, how, session, term.now);
      if (r.status === 200 || r.status === 409) {
        const report = parseReport(JSON.parse(r.body.toString('utf8')));
        if (report.machine === m.id) term.digest(m, m.apply(report, false, term.now));
      }
    } catch (e) {
      if (this.stopped) return;
      const never = e instanceof NoResponse && !e.sent;
      m.directDone(commands, never ? 'refused' : 'unknown', session, term.now);
      deps.log.debug({ machine: m.id, err: String(e) }, 'direct commands not answered');
    } finally {
      d.busy = false;
    }
    if (term.urgent.has(m.id)) this.schedule();
  }

  // Fleet

  private spotShort(type: string): boolean {
    const t = this.term.types.get(type);
    return t === undefined || t.zones.every((z) => this.fleet.short(type, z, true));
  }

  private comingRooms(): Room[] {
    const now = this.term.now;
    const rooms: Room[] = [];
    for (const c of this.fleet.coming.values()) {
      const type = this.term.types.get(c.type);
      // One that takes much longer than others may never come: not counted on.
      if (type === undefined || now - c.since > type.bootS * 2.5) continue;
      rooms.push({
        id: c.id,
        type: c.type,
        zone: c.zone,
        spot: c.spot,
        cores: type.cores,
        gpus: type.gpus,
        memGb: type.memGb,
        whole: type,
        penaltyS: 0,
        imageWaitS: (_image, gb) => gb / Math.max(type.fetchGbPerS, 1e-9),
        runsImage: () => false,
        fetchS: (gb) => gb / Math.max(type.fetchGbPerS, 1e-9),
      });
    }
    return rooms;
  }

  private wanted(): Wanted[] {
    const { term, deps } = this;
    if (!deps.writing() || !this.fleet.listedOnce || term.types.size === 0) return [];
    const perZone = new Map<string, number>();
    for (const m of term.machines.values()) perZone.set(m.zone, (perZone.get(m.zone) ?? 0) + 1);
    for (const c of this.fleet.coming.values()) perZone.set(c.zone, (perZone.get(c.zone) ?? 0) + 1);
    const rooms = [...this.comingRooms(), ...this.spareRooms];
    const input = {
      demand: this.demand,
      rooms,
      types: [...term.types.values()],
      zones: deps.settings.zones,
      short: (t: string, z: string, s: boolean) => this.fleet.short(t, z, s),
      perZone,
      weights: this.scheduler.weights(),
      most: 50,
    };
    deps.log.debug(
      {
        demand: this.demand.map((d) => [d.spec.class, d.tasks]),
        free: [false, true].map((k) => this.freeRoom(this.spareRooms, k)),
        target: [false, true].map((k) => this.spareTarget(k)),
        coming: this.fleet.coming.size,
        machines: [...term.machines.values()].filter((m) => m.held().length > 0).length,
      },
      'fleet',
    );
    const wanted = planRent(input);
    for (const spot of [false, true]) {
      const spare = this.spareWanted(rooms, perZone, spot);
      if (spare !== null) wanted.push(spare);
    }
    return wanted;
  }

  private unit(t: { gpus: number; cores: number }): number {
    return t.gpus > 0 ? t.gpus : t.cores;
  }

  /** Free room that is kept, in units of one machine, for work that is not best effort. */
  private spareTarget(spot: boolean): number {
    // With nothing to do there is nothing to be warm for.
    if (this.term.jobs.size === 0) return 0;
    const { replica, wallMs } = this.deps;
    const types = [...this.term.types.values()];
    const bootS = Math.max(1, ...types.map((t) => t.bootS));
    const arrivals: Arrival[] = [];
    for (const j of replica.jobs.values()) {
      if (j.spec.spot !== spot || j.spec.priority === 3) continue;
      const type = types.find((t) => fits(j.spec, t));
      if (type === undefined) continue;
      const size = this.unit(j.spec) / this.unit(type);
      arrivals.push({ atMs: j.atMs, size: size * Math.min(j.spec.tasks, 50) });
    }
    return warmTarget(arrivals, wallMs(), bootS * 8, bootS * 1.2, {
      mean: 1,
      deviations: 1,
      least: spot ? 0 : 1,
    });
  }

  private freeRoom(rooms: Room[], spot: boolean): number {
    let free = 0;
    for (const r of rooms) if (r.spot === spot) free += freeShare(r);
    return free;
  }

  /** Machines more when what is free after all demand is less than the warm reserve. */
  private spareWanted(rooms: Room[], perZone: Map<string, number>, spot: boolean): Wanted | null {
    const missing = this.spareTarget(spot) - this.freeRoom(rooms, spot);
    if (missing <= 0 || this.term.jobs.size === 0) return null;
    let best: Wanted | null = null;
    let bestCost = Infinity;
    for (const t of this.term.types.values()) {
      if (spot && t.spotPrice <= 0) continue;
      for (const zone of t.zones) {
        if (this.fleet.short(t.name, zone, spot)) continue;
        const price = spot ? t.spotPrice : t.price;
        const cost = (price / this.unit(t)) * (1 + 0.001 * (perZone.get(zone) ?? 0));
        if (cost < bestCost) {
          bestCost = cost;
          best = { type: t.name, zone, spot, count: Math.min(4, Math.ceil(missing)) };
        }
      }
    }
    return best;
  }

  private toReturn(): string[] {
    const { term, deps } = this;
    const now = term.now;
    const ids: string[] = [...this.failedListed, ...this.neverCame];
    const spare = [false, true].map(
      (spot) => this.freeRoom(this.spareRooms, spot) - this.spareTarget(spot),
    );
    // Machines with few images go first: what others have cached spares the next task its fetch.
    const cached = (m: Machine): number => [...m.images.values()].reduce((gb, i) => gb + i.gb, 0);
    const machines = [...term.machines.values()].sort((a, b) => cached(a) - cached(b));
    for (const m of machines) {
      if (m.state === 'returning') {
        if (m.returnStored || m.revision === 0) ids.push(m.id);
        continue;
      }
      if (m.state !== 'ready' && m.state !== 'silent') continue;
      if (m.attempts.size > 0) continue;
      const type = term.types.get(m.type);
      if (type === undefined) continue;
      const idle = now - m.idleSince;
      const silentLong =
        m.state === 'silent' && now - m.heardAt > deps.settings.workers.lease_s * 4;
      const age = Math.max(now - (m.firstHeardAt ?? now) + type.bootS, m.listedAgeS ?? 0);
      let back = silentLong || m.faulty;
      if (m.state === 'ready' && !back && age > 55) {
        const kind = m.spot ? 1 : 0;
        // What is held above the reserve goes back, with a margin against going back and forth.
        const surplus = spare[kind]!;
        if (m.vacatedAt !== null) back = idle > 1;
        else if (
          surplus >= (term.jobs.size === 0 ? 0.9 : 1.2) &&
          idle > type.bootS * (m.spot || surplus >= 2.5 ? 0.4 : 1)
        ) {
          back = true;
          spare[kind]! -= 1;
        }
      }
      if (back && deps.writing()) {
        deps.log.info({ machine: m.id, idle, faulty: m.faulty, state: m.state }, 'to be returned');
        m.become('returning');
        if (m.revision > 0) term.dirtyMachines.add(m.id);
        else ids.push(m.id);
      }
    }
    return [...new Set(ids)];
  }

  private returned(ids: string[]): void {
    const { term } = this;
    for (const id of ids) {
      this.failedListed.delete(id);
      this.neverCame.delete(id);
      const m = term.machines.get(id);
      if (m === undefined) continue;
      // The cloud's 200 is proof: the machine and all that was on it are gone.
      term.lose(m);
      m.become('returned');
      this.forget(m);
    }
  }

  private listed(all: ListedMachine[]): void {
    const { term, deps } = this;
    const now = term.now;
    this.lastListed = new Set(all.map((m) => m.id));
    for (const l of all) {
      const type = term.types.get(l.type);
      const known = term.machines.get(l.id);
      if (known !== undefined) known.listedAgeS = l.ageS;
      if (l.state === 'failed') {
        this.failedListed.add(l.id);
        continue;
      }
      if (type === undefined || term.machines.has(l.id)) continue;
      // Boots that never end, and machines that run but never report.
      const limit =
        type.bootS * (l.state === 'booting' ? 6 : 4) + deps.settings.workers.lease_s * 2;
      if (l.ageS > limit && now - term.startedAt > deps.settings.workers.lease_s * 3) {
        this.neverCame.add(l.id);
      }
    }
    for (const id of [...this.neverCame]) if (term.machines.has(id)) this.neverCame.delete(id);
    this.term.stir();
  }

  // Figures

  figures(): Record<string, number> {
    const by: Record<string, number> = {};
    for (const m of this.term.machines.values()) {
      by[`machines_${m.state}`] = (by[`machines_${m.state}`] ?? 0) + 1;
      for (const a of m.attempts.values()) {
        if (holds(a)) by[`attempts_${a.state}`] = (by[`attempts_${a.state}`] ?? 0) + 1;
      }
    }
    by.machines_coming = this.fleet.coming.size;
    by.jobs_open = this.term.jobs.size;
    by.demand_tasks = this.demand.reduce((n, d) => n + d.tasks, 0);
    return by;
  }
}
