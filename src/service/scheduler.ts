import type { Demand } from '../cloud/plan.js';
import type { LiveJob } from '../jobs/live.js';
import { fits, within, type JobSpec, type MachineType, type Size } from '../jobs/types.js';
import {
  allowed,
  bestRoom,
  freeShare,
  placeGang,
  reserved,
  take,
  zoneAllowed,
  type HotImage,
  type Room,
  type Weights,
} from '../sched/place.js';
import { cheapestEviction, type Occupied, type Victim } from '../sched/preempt.js';
import { Usages } from '../sched/quota.js';
import { chooseVacated, type Candidate } from '../sched/vacate.js';
import { LongMarks, compareJobs, remaining, scores, type Ready } from '../sched/rank.js';
import { holds, makeAttempt } from '../workers/attempt.js';
import type { Machine } from '../workers/machine.js';
import { splitTask } from '../wire/workers.js';
import type { Term } from './term.js';

/** The most tasks placed in one pass, so that a pass stays short. */
const PASS = 300;

export interface PassResult {
  placed: number;
  demand: Demand[];
  rooms: Room[];
}

/** One pass of placing over a term: rank, place, make room, and say what is missing. */
export class Scheduler {
  private readonly marks = new LongMarks();

  constructor(
    private readonly term: Term,
    /** Whether no spot machine of a type is to be had anywhere at present. */
    private readonly spotShort: (type: string) => boolean,
    /** Room on ordinary machines that is kept free, in machines. */
    private readonly warm: () => number,
  ) {}

  /** Work that may run on spot machines waits about a boot for one before it takes a dear one. */
  weights(): Weights {
    return { ordinaryS: 20, spreadS: 2, hot: this.hot };
  }

  private hot: HotImage[] = [];

  /** Images of recent jobs, best effort aside, with the tasks expected within a boot. */
  private measureHot(): void {
    const { replica, wallMs } = this.term.deps;
    const bootS = Math.max(1, ...[...this.term.types.values()].map((t) => t.bootS));
    const windowS = bootS * 12;
    const from = wallMs() - windowS * 1000;
    const by = new Map<string, HotImage>();
    for (const j of replica.jobs.values()) {
      if (j.atMs < from || j.spec.priority === 3) continue;
      const { image, imageGb, cores } = j.spec;
      const key = `${image} ${j.spec.gpus} ${cores}`;
      const h = by.get(key) ?? { image, gb: imageGb, spec: j.spec, expected: 0 };
      h.expected += bootS / windowS;
      by.set(key, h);
    }
    this.hot = [...by.values()].sort((a, b) => b.expected * b.gb - a.expected * a.gb).slice(0, 32);
  }

  /** A hole on an ordinary machine costs nothing: for best-effort work it is as good as spot. */
  private weightsFor(job: LiveJob): Weights {
    return job.spec.priority < 3 ? this.weights() : { ...this.weights(), ordinaryS: 0 };
  }

  usable(m: Machine): boolean {
    const now = this.term.now;
    const { report_s } = this.term.deps.settings.workers;
    return (
      m.state === 'ready' &&
      m.takenAt === null &&
      !m.faulty &&
      m.vacatedAt === null &&
      now - m.heardAt < report_s * 2.5 &&
      now >= m.shunnedUntil
    );
  }

  room(m: Machine, type: MachineType): Room | null {
    const free: Size = { cores: type.cores, gpus: type.gpus, memGb: type.memGb };
    const fetching = new Map<string, number>();
    const there = new Set<string>(m.images.keys());
    const running = new Set<string>();
    for (const a of m.attempts.values()) {
      if (!holds(a)) continue;
      const spec = this.specOf(a.job);
      if (spec === null) return null;
      free.cores -= spec.cores;
      free.gpus -= spec.gpus;
      free.memGb -= spec.memGb;
      if (a.state === 'running' && a.stop === null) running.add(spec.image);
      if (a.startedAt !== null) there.add(spec.image);
      else if (!there.has(spec.image)) fetching.set(spec.image, spec.imageGb);
    }
    const rate = Math.max(type.fetchGbPerS, 1e-9);
    return {
      id: m.id,
      type: m.type,
      zone: m.zone,
      spot: m.spot,
      ...free,
      whole: type,
      penaltyS: m.shuns,
      fetchS: (gb) => gb / rate,
      runsImage: (image) => running.has(image),
      imageWaitS: (image, gb) => {
        if (there.has(image)) return 0;
        if (fetching.has(image)) return (gb / rate) * 0.5 * fetching.size;
        return (gb / rate) * (1 + fetching.size);
      },
    };
  }

  private specOf(job: string): JobSpec | null {
    return this.term.jobs.get(job)?.spec ?? this.term.deps.replica.jobs.get(job)?.spec ?? null;
  }

  /** What teams' tasks use, wherever they may be. */
  private usages(): Usages {
    const u = new Usages(this.term.deps.settings.teams);
    for (const m of this.term.machines.values()) {
      for (const a of m.attempts.values()) {
        const spec = holds(a) ? this.specOf(a.job) : null;
        if (spec !== null) u.add(spec, 1);
      }
    }
    return u;
  }

  /** Ranks open jobs that have tasks to start. */
  private ranked(now: number): LiveJob[] {
    const { policy } = this.term.deps;
    const open = [...this.term.jobs.values()].filter((j) => j.phase === 'open');
    const asReady = (j: LiveJob): Ready => ({
      unfinishedS: j.unfinishedPredictedS,
      finishedS: j.finishedPredictedS,
      attainedS: j.attainedS,
      predictedS: j.spec.estimateS,
      pipelineMeanS: j.spec.estimateS,
      successors: [],
    });
    const finite = open.filter((j) => j.spec.kind !== 'service');
    this.marks.update(
      finite.map((j) => remaining(asReady(j), policy)),
      policy,
      now,
    );
    for (const j of finite) j.long = this.marks.isLong(remaining(asReady(j), policy), j.long);
    this.markGuaranteed(open);
    const waiting = open.filter((j) => j.pendingCount > 0);
    const s = scores(
      waiting.map(asReady),
      waiting.map((j) => j.long),
      policy,
    );
    waiting.forEach((j, i) => (j.score = s[i]!));
    return waiting.sort((a, b) =>
      compareJobs(
        {
          priority: a.spec.priority,
          guaranteed: a.guaranteed,
          score: a.score,
          acceptedAt: a.acceptedAt,
        },
        {
          priority: b.spec.priority,
          guaranteed: b.guaranteed,
          score: b.score,
          acceptedAt: b.acceptedAt,
        },
      ),
    );
  }

  /** A job is guaranteed when it fits with its team's earlier unfinished jobs into the guarantee. */
  private markGuaranteed(open: LiveJob[]): void {
    const sums = new Map<string, { cores: number; gpus: number }>();
    for (const j of [...open].sort((a, b) => a.acceptedAt - b.acceptedAt)) {
      const team = this.term.deps.settings.teams.get(j.spec.team);
      j.guaranteed = false;
      if (team === undefined || (team.cores <= 0 && team.gpus <= 0)) continue;
      const sum = sums.get(team.name) ?? { cores: 0, gpus: 0 };
      sum.cores += j.spec.cores * j.spec.tasks;
      sum.gpus += j.spec.gpus * j.spec.tasks;
      sums.set(team.name, sum);
      j.guaranteed = within(sum.cores, team.cores) && within(sum.gpus, team.gpus);
    }
  }

  private zonesOf(job: LiveJob): Map<string, number> {
    const zones = new Map<string, number>();
    for (const a of job.holding()) {
      const zone = this.term.machines.get(a.machine)?.zone;
      if (zone !== undefined) zones.set(zone, (zones.get(zone) ?? 0) + 1);
    }
    return zones;
  }

  pass(): PassResult {
    const { term } = this;
    const now = term.now;
    const rooms: Room[] = [];
    for (const m of term.machines.values()) {
      const type = term.types.get(m.type);
      if (type === undefined || !this.usable(m)) continue;
      const room = this.room(m, type);
      if (room !== null) rooms.push(room);
    }
    const usages = this.usages();
    this.measureExcess(rooms);
    this.measureHot();
    const jobs = this.ranked(now);
    const reserve = this.reserve(jobs, rooms);
    const demand: Demand[] = [];
    const wanting: { job: LiveJob; tasks: number }[] = [];
    let placed = this.placeBooked(rooms, usages, now);
    for (const job of jobs) {
      if (placed >= PASS) break;
      const before = placed;
      const spec = job.spec;
      const zones = this.zonesOf(job);
      if (job.gang) {
        if (job.holdingCount > 0) continue;
        if (job.pending(now, spec.tasks).length < spec.tasks) continue;
        if (!usages.allows(spec, spec.tasks)) continue;
        const open = this.lent(job, rooms, reserve);
        const got = placeGang(spec, open, { zones }, this.weights());
        if (got === null) {
          wanting.push({ job, tasks: spec.tasks });
          continue;
        }
        const number = job.nextGangNumber(term.deps.token);
        got.forEach((room, i) => this.claim(job, i, number, room));
        usages.add(spec, spec.tasks);
        placed += spec.tasks;
        continue;
      }
      const suspect = !job.succeeded && job.failedOn.size >= 3;
      const most = Math.min(
        usages.room(spec),
        PASS - placed,
        suspect ? 1 - job.holdingCount : PASS,
      );
      const indexes = job.pending(now, Math.max(0, most));
      let short = 0;
      for (const index of indexes) {
        const room = bestRoom(
          spec,
          this.lent(job, rooms, reserve),
          { zones, avoid: suspect ? job.failedOn : undefined },
          this.weightsFor(job),
        );
        if (room === null) {
          short = indexes.length - (placed - before);
          break;
        }
        if (!room.spot) this.excess -= freeShare(room);
        take(spec, room);
        if (!room.spot) this.excess += freeShare(room);
        zones.set(room.zone, (zones.get(room.zone) ?? 0) + 1);
        this.claim(job, index, job.nextNumber(index, term.deps.token), room);
        usages.add(spec, 1);
        placed++;
      }
      if (short > 0 && !suspect) wanting.push({ job, tasks: short });
    }
    // What finds no room may take it from lesser work; the rest is for the fleet to grow.
    const occupied = this.occupied(rooms);
    for (const { job, tasks } of wanting) {
      const left = this.evict(job, tasks, occupied, rooms, usages);
      if (left > 0) demand.push({ spec: job.spec, tasks: left, zones: this.zonesOf(job) });
    }
    return { placed, demand, rooms };
  }

  private readonly bookings = new Map<string, { to: string; until: number }>();

  /** Moved replicas go to the places that were found for them, before anything else is placed. */
  private placeBooked(rooms: Room[], usages: Usages, now: number): number {
    let placed = 0;
    for (const [key, b] of [...this.bookings]) {
      const { job: id, index } = splitTask(key);
      const job = this.term.jobs.get(id);
      const room = rooms.find((r) => r.id === b.to);
      if (job === undefined || job.phase !== 'open' || now > b.until) {
        this.bookings.delete(key);
        continue;
      }
      const zones = this.zonesOf(job);
      if (room === undefined || !job.pending(now, PASS).includes(index)) continue;
      if (!fits(job.spec, room) || !zoneAllowed(job.spec, room.zone, zones)) continue;
      if (!usages.allows(job.spec, 1)) continue;
      this.bookings.delete(key);
      take(job.spec, room);
      this.claim(job, index, job.nextNumber(index, this.term.deps.token), room);
      usages.add(job.spec, 1);
      placed++;
    }
    // Not there yet: the place is held for it.
    for (const [key, b] of this.bookings) {
      const spec = this.specOf(splitTask(key).job);
      const room = rooms.find((r) => r.id === b.to);
      if (spec !== null && room !== undefined) take(spec, room);
    }
    return placed;
  }

  private readonly moves: { at: number; class: string }[] = [];

  /**
   * Empties one machine whose replicas fit elsewhere. Of a class, so few move within a lease's span
   * that its time up does not show it.
   */
  vacate(rooms: Room[]): Machine | null {
    const now = this.term.now;
    const { lease_s, report_s } = this.term.deps.settings.workers;
    while (this.moves.length > 0 && now - this.moves[0]!.at > lease_s * 3) this.moves.shift();
    const replicas = new Map<string, number>();
    for (const j of this.term.jobs.values()) {
      const n = replicas.get(j.spec.class) ?? 0;
      if (j.spec.kind === 'service') replicas.set(j.spec.class, n + j.holdingCount);
    }
    const candidates: Candidate[] = [];
    for (const room of rooms) {
      const m = this.term.machines.get(room.id);
      if (m === undefined || room.spot || !this.usable(m)) continue;
      const held = m.held();
      const jobs = held.map((a) => this.term.jobs.get(a.job));
      const steady = held.every(
        (a, i) =>
          jobs[i]?.spec.kind === 'service' &&
          a.stop === null &&
          a.startedAt !== null &&
          now - a.startedAt > lease_s * 4,
      );
      if (!steady || now - m.heardAt > report_s * 1.5) continue;
      candidates.push({
        room,
        replicas: jobs.map((j) => ({ spec: j!.spec, zones: this.zonesOf(j!) })),
      });
    }
    const mayMove = (list: { spec: JobSpec }[]): boolean => {
      const counts = new Map<string, number>();
      for (const r of list) counts.set(r.spec.class, (counts.get(r.spec.class) ?? 0) + 1);
      return [...counts].every(([c, n]) => {
        const recent = this.moves.filter((x) => x.class === c).length;
        return recent + n <= (replicas.get(c) ?? 0) * 0.06;
      });
    };
    const chosen = chooseVacated(candidates, rooms, mayMove, this.weights());
    if (chosen === null) return null;
    const m = this.term.machines.get(chosen.candidate.room.id)!;
    m.vacatedAt = now;
    m.held().forEach((a, i) => {
      const job = this.term.jobs.get(a.job)!;
      this.moves.push({ at: now, class: job.spec.class });
      // Its place is kept for it: whoever else came first would cost it a fetch.
      this.bookings.set(`${a.job}/${a.index}`, { to: chosen.to[i]!, until: now + report_s * 2 });
      this.term.stop(a, 0);
    });
    this.term.deps.log.info({ machine: m.id, replicas: chosen.to.length }, 'emptied');
    return m;
  }

  /** GPUs (or cores) of each type that short work must leave to long work that waits. */
  private reserve(jobs: LiveJob[], rooms: Room[]): Map<string, number> {
    const out = new Map<string, number>();
    const capacity = new Map<string, number>();
    const unit = (s: Size): number => (s.gpus > 0 ? s.gpus : s.cores);
    for (const r of rooms) capacity.set(r.type, (capacity.get(r.type) ?? 0) + unit(r.whole));
    for (const [type, whole] of capacity) {
      let wanted = 0;
      for (const j of jobs) {
        if (!j.long || (j.spec.types !== null && !j.spec.types.includes(type))) continue;
        wanted += unit(j.spec) * Math.min(j.pendingCount, PASS);
      }
      out.set(type, reserved(whole, this.term.deps.policy.rho, wanted));
    }
    return out;
  }

  /** The rooms a job may use: short work leaves the share that is held for long work. */
  private lent(job: LiveJob, rooms: Room[], reserve: Map<string, number>): Room[] {
    rooms = this.warmKept(job, rooms);
    if (job.long || job.spec.kind === 'service' || job.guaranteed) return rooms;
    const full = new Set<string>();
    for (const [type, share] of reserve) {
      if (share <= 0) continue;
      let free = 0;
      for (const r of rooms) if (r.type === type) free += r.whole.gpus > 0 ? r.gpus : r.cores;
      const need = job.spec.gpus > 0 ? job.spec.gpus : job.spec.cores;
      if (free - need < share) full.add(type);
    }
    return full.size === 0 ? rooms : rooms.filter((r) => !full.has(r.type));
  }

  /** Free room on ordinary machines beyond what is kept warm, and the machines in use for others. */
  private excess = 0;
  private readonly inUse = new Set<string>();

  private measureExcess(rooms: Room[]): void {
    this.excess = -this.warm();
    this.inUse.clear();
    for (const r of rooms) {
      if (r.spot) continue;
      this.excess += freeShare(r);
      for (const a of this.term.machines.get(r.id)!.attempts.values()) {
        if (holds(a) && (this.term.jobs.get(a.job)?.spec.priority ?? 3) < 3) this.inUse.add(r.id);
      }
    }
  }

  /**
   * Best-effort work goes to spot machines while they can be had. Of ordinary ones it gets what
   * others leave over on machines that stay anyway: a hole costs nothing, an empty machine that
   * could be given back does.
   */
  private warmKept(job: LiveJob, rooms: Room[]): Room[] {
    if (job.spec.priority < 3 || !job.spec.spot) return rooms;
    return rooms.filter(
      (r) =>
        r.spot ||
        this.spotShort(r.type) ||
        (this.inUse.has(r.id) && this.excess >= job.spec.gpus / Math.max(1, r.whole.gpus)),
    );
  }

  private claim(job: LiveJob, index: number, number: number, room: Room): void {
    const m = this.term.machines.get(room.id)!;
    this.term.deps.log.debug(
      {
        job: job.spec.id,
        index,
        class: job.spec.class,
        machine: m.id,
        imageWaitS: room.imageWaitS(job.spec.image, job.spec.imageGb),
        ageS: this.term.now - job.submittedAt,
      },
      'placed',
    );
    const a = makeAttempt(job.spec.id, index, number, m.id, 'claiming', this.term.now);
    m.claim(a);
    job.claimed(a);
    this.term.dirtyMachines.add(m.id);
  }

  /** Machines with what may be stopped on them. What is being stopped already counts as free. */
  private occupied(rooms: Room[]): Occupied[] {
    const now = this.term.now;
    const out: Occupied[] = [];
    for (const room of rooms) {
      const m = this.term.machines.get(room.id)!;
      const o: Occupied = { ...room, victims: [] };
      for (const a of m.attempts.values()) {
        if (!holds(a)) continue;
        const job = this.term.jobs.get(a.job);
        if (job === undefined) continue;
        const { cores, gpus, memGb } = job.spec;
        if (a.stop !== null) {
          o.cores += cores;
          o.gpus += gpus;
          o.memGb += memGb;
          continue;
        }
        if (a.state === 'claiming' || a.state === 'claimed' || a.state === 'sent') continue;
        const ran = a.startedAt === null ? 0 : now - a.startedAt;
        const lossS = job.spec.checkpointS > 0 ? job.spec.saveS : ran;
        o.victims.push({
          id: `${a.job}/${a.index}#${a.number}`,
          group: job.gang ? a.job : `${a.job}/${a.index}`,
          // Lesser work first; within it what loses least.
          lossS: lossS * (job.gang ? job.spec.tasks : 1) + (3 - job.spec.priority) * 1e6,
          cores,
          gpus,
          memGb,
        });
      }
      out.push(o);
    }
    return out;
  }

  private mayEvict(job: LiveJob, victimJob: LiveJob, usages: Usages): boolean {
    if (victimJob.spec.kind === 'service' && victimJob.spec.priority <= job.spec.priority)
      return false;
    if (victimJob.spec.priority > job.spec.priority) return true;
    // To give a team its guarantee, work that another team runs beyond its own may be stopped. Not
    // that of a higher priority, though the protocol allows it: ranked before, it would come back to
    // the same place at once, and so on.
    return (
      victimJob.spec.priority === job.spec.priority &&
      job.guaranteed &&
      victimJob.spec.team !== job.spec.team &&
      !victimJob.guaranteed &&
      !usages.withinGuarantee(victimJob.spec.team)
    );
  }

  /** Makes room where that is allowed. Returns the tasks for which none could be made. */
  private evict(
    job: LiveJob,
    tasks: number,
    occupied: Occupied[],
    rooms: Room[],
    usages: Usages,
  ): number {
    const spec = job.spec;
    const zones = this.zonesOf(job);
    const chosen: { o: Occupied; victims: Victim[] }[] = [];
    const places = new Set(this.warmKept(job, rooms).map((r) => r.id));
    const mine = occupied.filter((o) => places.has(o.id));
    const open = mine.map((o) => ({
      ...o,
      victims: o.victims.filter((v) => {
        const victim = this.term.jobs.get(v.id.slice(0, v.id.indexOf('/')));
        return victim !== undefined && victim !== job && this.mayEvict(job, victim, usages);
      }),
    }));
    let left = tasks;
    while (left > 0) {
      // Room that is being made already comes first.
      let o = open.find(
        (x) => fits(spec, x) && allowed(spec, x) && zoneAllowed(spec, x.zone, zones),
      );
      if (o === undefined) {
        const e = cheapestEviction(spec, open, zones);
        if (e === null) break;
        o = open.find((x) => x.id === e.machine)!;
        chosen.push({ o, victims: e.victims });
        for (const v of e.victims) {
          o.cores += v.cores;
          o.gpus += v.gpus;
          o.memGb += v.memGb;
          o.victims.splice(o.victims.indexOf(v), 1);
        }
      }
      o.cores -= spec.cores;
      o.gpus -= spec.gpus;
      o.memGb -= spec.memGb;
      zones.set(o.zone, (zones.get(o.zone) ?? 0) + 1);
      left--;
    }
    // A gang gains nothing from room for some of its tasks.
    if (job.gang && left > 0) return tasks;
    for (const { victims } of chosen) {
      for (const v of victims) {
        const victim = this.term.jobs.get(v.id.slice(0, v.id.indexOf('/')))!;
        for (const a of [...victim.holding()]) {
          if (`${a.job}/${a.index}#${a.number}` === v.id) this.term.stopTask(victim, a);
        }
      }
    }
    for (const o of open) {
      const original = occupied.find((x) => x.id === o.id)!;
      original.cores = o.cores;
      original.gpus = o.gpus;
      original.memGb = o.memGb;
      const gone = new Set(chosen.filter((c) => c.o === o).flatMap((c) => c.victims));
      original.victims = original.victims.filter((v) => !gone.has(v));
    }
    return left;
  }
}
