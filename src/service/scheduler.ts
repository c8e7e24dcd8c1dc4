import type { Arrivals } from '../cloud/arrivals.js';
import type { Demand } from '../cloud/plan.js';
import type { LiveJob } from '../jobs/live.js';
import type { JobSpec, Size } from '../jobs/types.js';
import {
  bestRoom,
  freeShare,
  placeGang,
  reserved,
  take,
  type Room,
  type Weights,
} from '../sched/place.js';
import { leavesSoon, Waits } from '../sched/objectives.js';
import type { Usages } from '../sched/quota.js';
import { specOf } from '../state/replica.js';
import { CHANGE_GAP_S } from '../wire/workers.js';
import { makeAttempt } from '../workers/attempt.js';
import type { Machine } from '../workers/machine.js';
import { unit } from '../cloud/arrivals.js';
import { COMMAND_S, Evictions } from './evictions.js';
import { Moves } from './moves.js';
import { Queue } from './queue.js';
import { RoomBook, freeRoom } from './rooms.js';
import type { Term } from './term.js';

/**
 * Tasks placed in one pass, at most, for each change a second that the store takes: a machine's
 * record takes many claims, and what is placed before it can be stored only waits.
 */
const CLAIMS_PER_WRITE = 12;
/** Work that may run on spot machines waits so many boots for one before it takes a dear one. */
const ORDINARY_BOOTS = 0.8;
/** What a wholly empty machine costs against a full one, in boots. */
const SPREAD_BOOTS = 0.08;
/** A machine that has not reported for so many intervals gets nothing new. */
const HEARD_REPORTS = 2.5;
/** What telling a task to stop, and hearing that it has, take. */
const LEAVE_S = CHANGE_GAP_S * 2;
/** A job that has failed on so many machines and never succeeded is doubted, not the machines. */
export const SUSPECT_MACHINES = 3;

export interface PassResult {
  placed: number;
  demand: Demand[];
  rooms: Room[];
}

type May = (room: Room) => boolean;
/** What work of a priority must leave of each machine type. */
type Reserves = (priority: number) => Map<string, number>;
const ANY: May = () => true;

/** One pass of placing over a term: rank, place, make room, and say what is missing. */
export class Scheduler {
  private readonly queue: Queue;
  private readonly book: RoomBook;
  private readonly moves: Moves;
  private readonly waits: Waits;

  constructor(
    private readonly term: Term,
    private readonly arrivals: Arrivals,
    /** Whether no spot machine of a type is to be had anywhere at present. */
    private readonly spotShort: (type: string) => boolean,
    /** Room that is kept free on spot or ordinary machines, in machines. */
    private readonly warm: (spot: boolean) => number,
  ) {
    this.waits = new Waits(term.deps.settings.objectives);
    this.queue = new Queue(term);
    this.book = new RoomBook(
      term,
      (job) => this.specOf(job),
      (spec) => this.leaves(spec),
    );
    this.moves = new Moves(term, (job) => this.zonesOf(job));
  }

  private get bootS(): number {
    let boot = 0;
    for (const t of this.term.types.values()) boot = Math.max(boot, t.bootS);
    return boot;
  }

  weights(): Weights {
    const boot = this.bootS;
    const hot = this.arrivals.hot();
    return { ordinaryS: boot * ORDINARY_BOOTS, spreadS: boot * SPREAD_BOOTS, hot };
  }

  usable(m: Machine): boolean {
    const now = this.term.now;
    const { report_s } = this.term.deps.settings.workers;
    return (
      m.state === 'ready' &&
      m.takenAt === null &&
      !m.faulty &&
      m.vacatedAt === null &&
      // Not by answers to direct commands: a worker that reaches no controller gives those too, while
      // its lease runs out.
      now - m.checkinAt < report_s * HEARD_REPORTS &&
      now >= m.shunnedUntil
    );
  }

  private leaves(spec: JobSpec): boolean {
    return leavesSoon(spec, this.waits, LEAVE_S);
  }

  private specOf(job: string): JobSpec | null {
    const live = this.term.jobs.get(job);
    if (live !== undefined) return live.spec;
    const facts = this.term.deps.replica.jobs.get(job);
    return facts === undefined ? null : specOf(facts);
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
    const rooms = this.book.rooms((m) => this.usable(m));
    const usages = this.book.usages();
    for (const spot of [false, true]) {
      this.excess.set(spot, freeRoom(rooms, spot) - this.warm(spot));
    }
    this.shortTypes.clear();
    const weights = this.weights();
    const jobs = this.queue.ranked(now);
    const reserves = this.reserves(jobs, rooms);
    const demand: Demand[] = [];
    const evictions = new Evictions(term, rooms, usages, this.waits);
    const most = Math.ceil(term.deps.settings.state.write_rps * CLAIMS_PER_WRITE);
    let placed = this.moves.placeBooked(rooms, usages, now, (job, index, room) => {
      this.claim(job, index, job.nextNumber(index, term.deps.token), room);
    });
    for (const job of jobs) {
      if (placed >= most) break;
      const missing = job.gang
        ? this.placeGang(job, rooms, usages, reserves, weights, now)
        : this.placeTasks(job, rooms, usages, reserves, weights, now, most - placed, evictions);
      placed += missing.placed;
      if (missing.short === 0) continue;
      // What finds no room may take it from lesser work; the rest is for the fleet to grow.
      const may = this.warmKept(job);
      const left = evictions.make(job, missing.short, this.zonesOf(job), may);
      if (left > 0) demand.push({ spec: job.spec, tasks: left, zones: this.zonesOf(job) });
    }
    return { placed, demand, rooms };
  }

  private placeGang(
    job: LiveJob,
    rooms: Room[],
    usages: Usages,
    reserves: Reserves,
    weights: Weights,
    now: number,
  ): { placed: number; short: number } {
    const { spec } = job;
    const none = { placed: 0, short: 0 };
    if (job.holdingCount > 0) return none;
    if (job.pending(now, spec.tasks).length < spec.tasks) return none;
    if (!usages.allows(spec, spec.tasks)) return none;
    const { may } = this.lent(job, rooms, reserves);
    const zones = this.zonesOf(job);
    const got = placeGang(spec, rooms, { zones, may }, weights);
    if (got === null) return { placed: 0, short: spec.tasks };
    const number = job.nextGangNumber(this.term.deps.token);
    got.forEach((room, i) => this.claim(job, i, number, room));
    usages.add(spec, spec.tasks);
    return { placed: spec.tasks, short: 0 };
  }

  private placeTasks(
    job: LiveJob,
    rooms: Room[],
    usages: Usages,
    reserves: Reserves,
    weights: Weights,
    now: number,
    left: number,
    evictions: Evictions,
  ): { placed: number; short: number } {
    const { spec } = job;
    const zones = this.zonesOf(job);
    const suspect = !job.succeeded && job.failedOn.size >= SUSPECT_MACHINES;
    const most = Math.min(usages.room(spec), left, suspect ? 1 - job.holdingCount : left);
    const indexes = job.pending(now, Math.max(0, most));
    if (indexes.length === 0) return { placed: 0, short: 0 };
    const { may, taken } = this.lent(job, rooms, reserves);
    const avoid = suspect ? job.failedOn : undefined;
    // A hole on an ordinary machine costs nothing: for best-effort work it is as good as spot.
    const w = spec.priority < 3 ? weights : { ...weights, ordinaryS: 0 };
    const within = this.waits.next(spec.class, now - job.submittedAt);
    const leftS =
      within === null || spec.priority === 3 || suspect
        ? null
        : within - (now - job.submittedAt) - COMMAND_S;
    let made = 0;
    let placed = 0;
    for (const index of indexes) {
      let room = bestRoom(spec, rooms, { zones, avoid, may }, w);
      if (room === null) break;
      const late = (r: Room): boolean =>
        leftS !== null && r.imageWaitS(spec.image, spec.imageGb) * this.term.fetches.sure > leftS;
      if (late(room)) {
        // Too late there, because the image has to be fetched. Better where it is, whatever others
        // may want of that place, or where lesser work can make room in time.
        const inTime = bestRoom(spec, rooms, { zones, avoid, may: (r) => may(r) && !late(r) }, w);
        if (inTime === null && evictions.make(job, 1, zones, may, true) === 0) {
          made++;
          continue;
        }
        room = inTime ?? room;
      }
      const before = freeShare(room);
      take(spec, room);
      this.excess.set(room.spot, this.excess.get(room.spot)! + freeShare(room) - before);
      taken(room);
      zones.set(room.zone, (zones.get(room.zone) ?? 0) + 1);
      this.claim(job, index, job.nextNumber(index, this.term.deps.token), room);
      usages.add(spec, 1);
      placed++;
    }
    return { placed, short: suspect ? 0 : indexes.length - placed - made };
  }

  /** Empties a machine whose replicas fit elsewhere, to be given back. */
  vacate(rooms: Room[]): Machine | null {
    return this.moves.vacate(rooms, (m) => this.usable(m), this.weights());
  }

  /**
   * GPUs (or cores) of each type that short work must leave to long work that waits: for work of each
   * priority, that of its own and of higher ones. Gangs once waited for half a minute beside room that
   * was held for long arrays of the least priority, and evicted others in vain meanwhile.
   */
  private reserves(jobs: LiveJob[], rooms: Room[]): Reserves {
    const long = jobs.filter((j) => j.long);
    const of = new Map<number, Map<string, number>>();
    return (priority) => {
      let r = of.get(priority);
      if (r === undefined) {
        r = this.reserve(
          long.filter((j) => j.spec.priority <= priority),
          rooms,
        );
        of.set(priority, r);
      }
      return r;
    };
  }

  private reserve(long: LiveJob[], rooms: Room[]): Map<string, number> {
    const out = new Map<string, number>();
    if (long.length === 0) return out;
    const capacity = new Map<string, number>();
    for (const r of rooms) capacity.set(r.type, (capacity.get(r.type) ?? 0) + unit(r.whole));
    for (const [type, whole] of capacity) {
      let wanted = 0;
      for (const j of long) {
        if (j.spec.types !== null && !j.spec.types.includes(type)) continue;
        wanted += unit(j.spec) * Math.min(j.pendingCount, whole / Math.max(unit(j.spec), 1e-9));
      }
      const share = reserved(whole, this.term.deps.policy.rho, wanted);
      if (share > 0) out.set(type, share);
    }
    return out;
  }

  /**
   * The rooms a job may use now: short work leaves the share that is held for long work. `taken`
   * counts what it takes itself.
   */
  private lent(
    job: LiveJob,
    rooms: Room[],
    reserves: Reserves,
  ): { may: May; taken: (room: Room) => void } {
    const kept = this.warmKept(job);
    const exempt = job.long || job.spec.kind === 'service' || job.guaranteed;
    if (exempt) return { may: kept, taken: () => undefined };
    const reserve = reserves(job.spec.priority);
    if (reserve.size === 0) return { may: kept, taken: () => undefined };
    const ofWhole = (r: Room, s: Size): number => (r.whole.gpus > 0 ? s.gpus : s.cores);
    const free = new Map<string, number>();
    for (const r of rooms) {
      if (reserve.has(r.type) && kept(r)) free.set(r.type, (free.get(r.type) ?? 0) + ofWhole(r, r));
    }
    const need = unit(job.spec);
    return {
      may: (r) => {
        const share = reserve.get(r.type);
        return kept(r) && (share === undefined || (free.get(r.type) ?? 0) - need >= share);
      },
      taken: (r) => free.set(r.type, (free.get(r.type) ?? 0) - ofWhole(r, job.spec)),
    };
  }

  /** Free room beyond what is kept warm, on ordinary and on spot machines. */
  private readonly excess = new Map<boolean, number>();
  private readonly shortTypes = new Map<string, boolean>();

  private noSpot(type: string): boolean {
    let short = this.shortTypes.get(type);
    if (short === undefined) this.shortTypes.set(type, (short = this.spotShort(type)));
    return short;
  }

  /**
   * Best-effort work goes to spot machines while they can be had. Of ordinary ones it gets what
   * others leave over on machines that stay anyway: a hole costs nothing, an empty machine that
   * could be given back does. The room that is kept warm is left alone on both kinds: gangs that
   * found it full of arrays waited until those had saved, which took longer than they may wait.
   */
  private warmKept(job: LiveJob): May {
    if (job.spec.priority < 3 || !job.spec.spot) return ANY;
    const { gpus } = job.spec;
    // What leaves at once when others come may use even the room that is kept for them.
    const soft = this.leaves(job.spec);
    return (r) => {
      const beyond = soft || this.excess.get(r.spot)! >= gpus / Math.max(1, r.whole.gpus);
      if (r.spot) return beyond || job.guaranteed;
      return this.noSpot(r.type) || (beyond && this.book.inUse(r.id));
    };
  }

  private claim(job: LiveJob, index: number, number: number, room: Room): void {
    const m = this.term.machines.get(room.id)!;
    const { log } = this.term.deps;
    if (log.isLevelEnabled('debug')) {
      log.debug(
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
    }
    const a = makeAttempt(job.spec.id, index, number, m.id, 'claiming', this.term.now);
    const fetchS = room.imageWaitS(job.spec.image, job.spec.imageGb);
    if (fetchS === room.fetchS(job.spec.imageGb)) a.fetchS = fetchS;
    m.claim(a);
    job.claimed(a);
    this.term.dirtyMachines.add(m.id);
  }
}
