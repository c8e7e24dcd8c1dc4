import type { Arrivals } from '../cloud/arrivals.js';
import type { Demand } from '../cloud/plan.js';
import type { LiveJob } from '../jobs/live.js';
import type { JobSpec, Size } from '../jobs/types.js';
import {
  bestFit,
  freeShare,
  placeGang,
  reserved,
  take,
  type FreeCapacity,
  type Weights,
} from '../scheduler/place.js';
import { chooseReservation, type ReservableMachine } from '../scheduler/reservation.js';
import { leavesSoon, Waits } from '../scheduler/objectives.js';
import type { Usages } from '../scheduler/quota.js';
import { specOf } from '../state/replica.js';
import { CHANGE_GAP_S } from '../wire/workers.js';
import { makeAttempt } from '../workers/attempt.js';
import type { Machine } from '../workers/machine.js';
import { unit } from '../cloud/arrivals.js';
import { COMMAND_S, Evictions } from './evictions.js';
import { Moves } from './moves.js';
import { Queue } from './queue.js';
import { FreeCapacityIndex, freeMachines } from './free-capacity.js';
import type { Term } from './term.js';

/**
 * Tasks placed in one pass, at most, for each change a second that the store takes: a machine's
 * record takes many claims, and what is placed before it can be stored only waits.
 */
const CLAIMS_PER_WRITE = 12;
/** Of the largest value that the store takes, what a machine's claims may take; and one of them. */
const CLAIMS_SHARE = 0.5;
const CLAIM_BYTES = 64;
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

/** A gang that has waited for so many leases gets machines reserved. */
const RESERVE_LEASES = 3;

interface Reservation {
  job: LiveJob;
  machines: Set<string>;
}

export interface PassResult {
  placed: number;
  demand: Demand[];
  rooms: FreeCapacity[];
}

type May = (room: FreeCapacity) => boolean;
/** What work of a priority must leave of each machine type. */
type Reserves = (priority: number) => Map<string, number>;
const ANY: May = () => true;

/** One pass of placing over a term: rank, place, make room, and say what is missing. */
export class Scheduler {
  private readonly queue: Queue;
  private readonly book: FreeCapacityIndex;
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
    this.book = new FreeCapacityIndex(
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
      this.excess.set(spot, freeMachines(rooms, spot) - this.warm(spot));
    }
    this.shortTypes.clear();
    const weights = this.weights();
    const jobs = this.queue.ranked(now);
    this.updateReservation(jobs, rooms, usages);
    const reserves = this.reserves(jobs, rooms, usages);
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
      const may = this.mayUse(job);
      const left = evictions.make(job, missing.short, this.zonesOf(job), may);
      if (left > 0) demand.push({ spec: job.spec, tasks: left, zones: this.zonesOf(job) });
    }
    return { placed, demand, rooms };
  }

  /** Whether the job, rather than the machines, is doubted: its tasks fail wherever they start. */
  private suspect(job: LiveJob): boolean {
    if (job.succeeded || job.failedOn.size < SUSPECT_MACHINES) return false;
    const { lease_s } = this.term.deps.settings.workers;
    for (const a of job.holding()) {
      if (a.startedAt !== null) job.noteRun(this.term.now - a.startedAt, lease_s);
    }
    return !job.succeeded;
  }

  private placeGang(
    job: LiveJob,
    rooms: FreeCapacity[],
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
    rooms: FreeCapacity[],
    usages: Usages,
    reserves: Reserves,
    weights: Weights,
    now: number,
    left: number,
    evictions: Evictions,
  ): { placed: number; short: number } {
    const { spec } = job;
    const zones = this.zonesOf(job);
    const suspect = this.suspect(job);
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
      let room = bestFit(spec, rooms, { zones, avoid, may }, w);
      if (room === null) break;
      const late = (r: FreeCapacity): boolean =>
        leftS !== null && r.imageWaitS(spec.image, spec.imageGb) * this.term.fetches.sure > leftS;
      if (late(room)) {
        // Too late there, because the image has to be fetched. Better where it is, whatever others
        // may want of that place, or where lesser work can make room in time.
        const inTime = bestFit(spec, rooms, { zones, avoid, may: (r) => may(r) && !late(r) }, w);
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
  vacate(rooms: FreeCapacity[]): Machine | null {
    return this.moves.vacate(rooms, (m) => this.usable(m), this.weights());
  }

  /**
   * GPUs (or cores) of each type that short work must leave to long work that waits: for work of each
   * priority, that of its own and of higher ones. Gangs once waited for half a minute beside room that
   * was held for long arrays of the least priority, and evicted others in vain meanwhile.
   */
  private reserves(jobs: LiveJob[], rooms: FreeCapacity[], usages: Usages): Reserves {
    // Nothing is held for what may not start: its team is at its limit, or its tasks are to wait.
    const startable = new Map<LiveJob, number>();
    for (const j of jobs) {
      if (!j.long || j.pending(this.term.now, 1).length === 0) continue;
      startable.set(j, Math.min(j.pendingCount, usages.room(j.spec)));
    }
    const of = new Map<number, Map<string, number>>();
    return (priority) => {
      let r = of.get(priority);
      if (r === undefined) {
        r = this.reserve(
          [...startable].filter(([j]) => j.spec.priority <= priority),
          rooms,
        );
        of.set(priority, r);
      }
      return r;
    };
  }

  private reserve(long: [LiveJob, number][], rooms: FreeCapacity[]): Map<string, number> {
    const out = new Map<string, number>();
    if (long.length === 0) return out;
    const capacity = new Map<string, number>();
    for (const r of rooms) capacity.set(r.type, (capacity.get(r.type) ?? 0) + unit(r.whole));
    for (const [type, whole] of capacity) {
      let wanted = 0;
      for (const [j, tasks] of long) {
        if (j.spec.types !== null && !j.spec.types.includes(type)) continue;
        wanted += unit(j.spec) * Math.min(tasks, whole / Math.max(unit(j.spec), 1e-9));
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
    rooms: FreeCapacity[],
    reserves: Reserves,
  ): { may: May; taken: (room: FreeCapacity) => void } {
    const kept = this.mayUse(job);
    const exempt = job.long || job.spec.kind === 'service' || job.guaranteed;
    if (exempt) return { may: kept, taken: () => undefined };
    const reserve = reserves(job.spec.priority);
    if (reserve.size === 0) return { may: kept, taken: () => undefined };
    const ofWhole = (r: FreeCapacity, s: Size): number => (r.whole.gpus > 0 ? s.gpus : s.cores);
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

  /** For one gang at a time. It is kept until that gang has started, or cannot any more. */
  private reservation: Reservation | null = null;

  private updateReservation(jobs: LiveJob[], rooms: FreeCapacity[], usages: Usages): void {
    const starved = jobs.filter((job) => this.isStarved(job, usages));
    const { reservation } = this;
    if (reservation !== null) {
      const there = rooms.filter((room) => reservation.machines.has(room.id));
      const whole = there.length === reservation.machines.size;
      if (whole && starved.includes(reservation.job)) return;
    }
    this.reservation = null;
    if (starved.length === 0) return;
    const machines = rooms.flatMap((room): ReservableMachine[] => {
      const eventual = this.book.eventual(room.id);
      return eventual === null ? [] : [{ room, eventual }];
    });
    for (const job of starved) {
      const chosen = chooseReservation(job.spec, machines);
      if (chosen === null) continue;
      this.reservation = { job, machines: chosen };
      this.term.deps.log.info({ job: job.spec.id, machines: chosen.size }, 'machines reserved');
      return;
    }
  }

  private isStarved(job: LiveJob, usages: Usages): boolean {
    const { now, deps } = this.term;
    if (!job.gang || now - job.submittedAt < deps.settings.workers.lease_s * RESERVE_LEASES) {
      return false;
    }
    const { spec } = job;
    if (job.holdingCount > 0 || job.pending(now, spec.tasks).length < spec.tasks) return false;
    return usages.allows(spec, spec.tasks);
  }

  private isReservedFrom(job: LiveJob, machine: string): boolean {
    const { reservation } = this;
    if (reservation === null || reservation.job === job) return false;
    return reservation.machines.has(machine) && job.spec.priority >= reservation.job.spec.priority;
  }

  /** The rooms a job may use, whatever is held for long work. */
  private mayUse(job: LiveJob): May {
    const kept = this.warmKept(job);
    return (room) =>
      !this.isReservedFrom(job, room.id) && this.hasClaimsLeft(room.id) && kept(room);
  }

  /**
   * A machine's record names all claims on it and may not outgrow a value of the store. With tasks of a
   * thousandth of a core one did, and nothing could be stored any more.
   */
  private hasClaimsLeft(id: string): boolean {
    const bytes = this.term.deps.settings.state.value_kb * 1024 * CLAIMS_SHARE;
    return this.term.machines.get(id)!.attempts.size < Math.max(1, bytes / CLAIM_BYTES);
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

  private claim(job: LiveJob, index: number, number: number, room: FreeCapacity): void {
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
