/** Passes of placing over a term. */

import type { Arrivals } from '../../cloud/demand-forecast.js';
import type { Demand } from '../../cloud/scale-out-plan.js';
import type { LiveJob } from '../../jobs/live-job.js';
import type { JobSpec } from '../../jobs/types.js';
import { leavesSoon, Waits } from '../../scheduler/service-level-objectives.js';
import type { FreeCapacity, Weights } from '../../scheduler/bin-packing.js';
import type { Usages } from '../../scheduler/quota.js';
import { specOf } from '../../store/stored-job.js';
import { NO_SUBSYSTEMS, type ActiveSubsystems } from '../../subsystems/active-subsystems.js';
import { MIN_HEARTBEAT_GAP_S } from '../../wire/workers.js';
import type { Attempt } from '../../workers/attempt.js';
import type { Machine } from '../../workers/machine.js';
import { Evictions } from './preemptor.js';
import { FreeCapacityIndex } from '../capacity/free-capacity.js';
import { GangReservations } from './gang-reservations.js';
import { JobPlacement } from './job-placement.js';
import { longWorkShares } from './long-work-share.js';
import { isUsable, MachineEligibility } from './machine-eligibility.js';
import { Moves } from './replica-migrations.js';
import { zonesOf, type PassContext } from './cycle-context.js';
import { Queue } from './job-queue.js';
import type { Term } from '../term/term.js';
import { UnplacedRequests } from './unplaced-requests.js';

/**
 * Tasks placed in one pass, at most, for each change a second that the store takes: a machine's
 * record takes many claims, and what is placed before it can be stored only waits.
 */
const CLAIMS_PER_WRITE = 12;
/** Work that may run on spot machines waits so many boots for one before it takes a dear one. */
const ORDINARY_BOOTS = 0.8;
/** What a wholly empty machine costs against a full one, in boots. */
const SPREAD_BOOTS = 0.08;
/** What telling a task to stop, and hearing that it has, take. */
const LEAVE_S = MIN_HEARTBEAT_GAP_S * 2;

export interface PassResult {
  /** Tasks that were placed. */
  placed: number;
  /** What found no place and cannot have one made for it. */
  demand: Demand[];
  /** What is free after the pass. */
  rooms: FreeCapacity[];
  /** What teams use after the pass. */
  usages: Usages;
}

/** One pass of placing over a term: rank, place, make room, and say what is missing. */
export class Scheduler {
  private readonly queue: Queue;
  private readonly index: FreeCapacityIndex;
  private readonly moves: Moves;
  private readonly waits: Waits;
  private readonly reservations: GangReservations;
  private readonly eligibility: MachineEligibility;
  private readonly placement: JobPlacement;

  constructor(
    private readonly term: Term,
    private readonly arrivals: Arrivals,
    /** Whether no spot machine of a type is to be had anywhere at present. */
    spotShort: (type: string) => boolean,
    /** Free capacity that is kept on spot or ordinary machines, in machines. */
    warm: (spot: boolean) => number,
    private readonly subsystems: ActiveSubsystems = NO_SUBSYSTEMS,
  ) {
    this.waits = new Waits(term.context.settings.objectives);
    this.queue = new Queue(term);
    const leaves = (spec: JobSpec): boolean => leavesSoon(spec, this.waits, LEAVE_S);
    this.index = new FreeCapacityIndex(term, (job) => this.specOf(job), leaves);
    this.moves = new Moves(term, (job) => zonesOf(term, job));
    this.reservations = new GangReservations(term, (machine) => this.index.eventual(machine));
    this.eligibility = new MachineEligibility({
      term,
      index: this.index,
      reservations: this.reservations,
      leavesSoon: leaves,
      spotShort,
      warm,
      subsystems,
    });
    this.placement = new JobPlacement(term, this.eligibility, this.waits);
  }

  weights(): Weights {
    const bootS = this.term.slowestBootS;
    const hot = this.arrivals.hot();
    const weights = { ordinaryS: bootS * ORDINARY_BOOTS, spreadS: bootS * SPREAD_BOOTS, hot };
    const { subsystems } = this;
    if (!subsystems.any) return weights;
    return { ...weights, preferenceS: (spec, room) => subsystems.preferenceS(spec, room) };
  }

  pass(): PassResult {
    const { term } = this;
    const { now } = term;
    const rooms = this.index.rooms((machine) => isUsable(term, machine));
    const usages = this.index.usages();
    this.eligibility.beginPass(rooms);
    const weights = this.weights();
    const jobs = this.queue.ranked(now);
    this.reservations.update(jobs, this.unkept(rooms), usages);
    const shares = longWorkShares(term, jobs, rooms, usages);
    const evictions = new Evictions(term, rooms, usages, this.waits, this.subsystems);
    const unplaced = new UnplacedRequests();
    const pass = { now, rooms, usages, weights, longWorkShares: shares, evictions, unplaced };
    let placed = this.moves.placeBooked(rooms, usages, now, (job, index, room) =>
      this.placement.claimTask(job, index, room),
    );
    const demand: Demand[] = [];
    placed = this.placeJobs(jobs, pass, placed, demand);
    return { placed, demand, rooms, usages };
  }

  /** What a subsystem keeps is not emptied for a gang, nor to be given back, nor filled with what moves. */
  private unkept(rooms: FreeCapacity[]): FreeCapacity[] {
    const { subsystems } = this;
    return subsystems.any ? rooms.filter((room) => !subsystems.keeps(room.id)) : rooms;
  }

  /** Places jobs in their order. Returns the tasks placed in this pass, with those placed before. */
  private placeJobs(
    jobs: LiveJob[],
    pass: PassContext,
    placedBefore: number,
    demand: Demand[],
  ): number {
    const most = Math.ceil(this.term.context.settings.state.write_rps * CLAIMS_PER_WRITE);
    let placed = placedBefore;
    for (const job of jobs) {
      if (placed >= most) break;
      const outcome = this.placement.place(job, pass, most - placed);
      placed += outcome.placed;
      if (outcome.short === 0) continue;
      const left = this.makeRoom(job, pass, outcome.short);
      if (left > 0) demand.push({ spec: job.spec, tasks: left, zones: zonesOf(this.term, job) });
    }
    return placed;
  }

  /**
   * What finds no capacity may take it from lesser work; the rest is for the fleet to grow. Returns the
   * tasks for which none can be made.
   */
  private makeRoom(job: LiveJob, pass: PassContext, tasks: number): number {
    if (pass.unplaced.covers(job)) return tasks;
    const may = this.eligibility.mayUse(job);
    const left = pass.evictions.make(job, tasks, zonesOf(this.term, job), may);
    if (left > 0) pass.unplaced.note(job);
    return left;
  }

  /** Empties a machine whose replicas fit elsewhere, to be given back. */
  vacate(rooms: FreeCapacity[]): Machine | null {
    return this.moves.vacate(
      this.unkept(rooms),
      (machine) => isUsable(this.term, machine),
      this.weights(),
    );
  }

  /** Moves one replica to a free place. */
  moveReplica(attempt: Attempt, rooms: FreeCapacity[], mayFetch: boolean): boolean {
    const { subsystems } = this;
    const may = (spec: JobSpec, room: FreeCapacity): boolean =>
      !subsystems.any || subsystems.mayUse(spec, room);
    return this.moves.moveReplica(attempt, { rooms, may, mayFetch, weights: this.weights() });
  }

  /** Seconds between two moves of replicas of a class, at least. */
  moveGapS(jobClass: string): number {
    return this.moves.gapS(jobClass);
  }

  private specOf(job: string): JobSpec | null {
    const live = this.term.jobs.get(job);
    if (live !== undefined) return live.spec;
    const storedJob = this.term.context.replica.jobs.get(job);
    return storedJob === undefined ? null : specOf(storedJob);
  }
}
