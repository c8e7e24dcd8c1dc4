/** Scheduling cycles of a term. */

import type { DemandForecast } from '../../cloud/demand-forecast.js';
import type { Demand } from '../../cloud/scale-out-plan.js';
import type { LiveJob } from '../../jobs/live-job.js';
import type { JobSpec } from '../../jobs/types.js';
import { stopsQuickly, StartLatencyObjectives } from '../../scheduler/service-level-objectives.js';
import type { FreeCapacity, PlacementWeights } from '../../scheduler/bin-packing.js';
import type { TeamUsages } from '../../scheduler/quota.js';
import { specOf } from '../../store/stored-job.js';
import { NO_SUBSYSTEMS, type ActiveSubsystems } from '../../subsystems/active-subsystems.js';
import { MIN_HEARTBEAT_GAP_S } from '../../wire/workers.js';
import type { Attempt } from '../../workers/attempt.js';
import type { Machine } from '../../workers/machine.js';
import { Preemptor } from './preemptor.js';
import { FreeCapacityIndex } from '../capacity/free-capacity.js';
import { TaskSlots } from '../capacity/task-slots.js';
import { GangReservations } from './gang-reservations.js';
import { JobPlacement } from './job-placement.js';
import { longWorkFilter, longWorkShares } from './long-work-share.js';
import { acceptsNewWork, isArriving, MachineEligibility } from './machine-eligibility.js';
import { ProbePlacement } from './probe-placement.js';
import { ReplicaMigrations } from './replica-migrations.js';
import { taskCountsByZone, type CycleContext, type MachineFilter } from './cycle-context.js';
import { JobQueue } from './job-queue.js';
import type { Term } from '../term/term.js';
import { UnplacedRequests } from './unplaced-requests.js';
import type { LimitOf } from './placement-limits.js';
import { WaitingJobs, type UnplacedJob } from './waiting-jobs.js';

/**
 * Maximum number of tasks placed in one scheduling cycle, per write a second that the store accepts. A
 * machine's record holds many claims; a task placed before its claim can be stored would only wait.
 */
const MAX_CLAIMS_PER_WRITE = 12;
/** Boot times that work which may use spot machines would wait for one rather than use an ordinary machine. */
const ORDINARY_MACHINE_COST_BOOTS = 0.8;
/** Cost of an empty machine compared with a full one, in boot times. */
const EMPTY_MACHINE_COST_BOOTS = 0.08;
/** Time to send a stop command and to receive the confirmation that the task has stopped. */
const STOP_LATENCY_S = MIN_HEARTBEAT_GAP_S * 2;

/** Result of a scheduling cycle. */
export interface CycleResult {
  /** Tasks that were placed. */
  placed: number;
  /** Tasks that found no capacity and for which preemption cannot make any. */
  demand: Demand[];
  /** Free capacity after the scheduling cycle. */
  capacities: FreeCapacity[];
  /** Resources used by teams after the scheduling cycle. */
  usages: TeamUsages;
}

/** Runs scheduling cycles: ranks jobs, places tasks, preempts, and reports unmet demand. */
export class Scheduler {
  private readonly jobQueue: JobQueue;
  private readonly maxTasksPerCycle: number;
  private readonly taskSlots: TaskSlots;
  private readonly freeCapacities: FreeCapacityIndex;
  private readonly migrations: ReplicaMigrations;
  private readonly startObjectives: StartLatencyObjectives;
  private readonly reservations: GangReservations;
  private readonly eligibility: MachineEligibility;
  private readonly placement: JobPlacement;
  private readonly probePlacement: ProbePlacement;
  /** Why jobs wait. */
  readonly waitingJobs: WaitingJobs;

  constructor(
    private readonly term: Term,
    private readonly forecast: DemandForecast,
    /** Whether a zone has no spot machine of a type available at present. */
    isSpotShort: (type: string, zone: string) => boolean,
    /** Capacity to keep free for new work on spot or ordinary machines, as a number of machines. */
    warmTarget: (spot: boolean) => number,
    private readonly subsystems: ActiveSubsystems = NO_SUBSYSTEMS,
  ) {
    this.startObjectives = new StartLatencyObjectives(term.context.settings.objectives);
    this.jobQueue = new JobQueue(term);
    const isQuicklyStopped = (spec: JobSpec): boolean =>
      stopsQuickly(spec, this.startObjectives, STOP_LATENCY_S);
    this.maxTasksPerCycle = Math.ceil(term.context.settings.state.write_rps * MAX_CLAIMS_PER_WRITE);
    this.taskSlots = new TaskSlots(term, this.maxTasksPerCycle);
    this.freeCapacities = new FreeCapacityIndex({
      term,
      taskSlots: this.taskSlots,
      specOf: (job) => this.specOf(job),
      stopsQuickly: isQuicklyStopped,
    });
    this.migrations = new ReplicaMigrations(term, (job) => taskCountsByZone(term, job));
    this.reservations = new GangReservations(term, (machine) =>
      this.freeCapacities.roomWithoutFiniteWork(machine),
    );
    this.eligibility = new MachineEligibility({
      term,
      freeCapacities: this.freeCapacities,
      reservations: this.reservations,
      stopsQuickly: isQuicklyStopped,
      isSpotShort,
      warmTarget,
      subsystems,
    });
    this.placement = new JobPlacement(term, this.eligibility, this.startObjectives);
    this.probePlacement = new ProbePlacement(term, this.freeCapacities, this.placement);
    this.waitingJobs = new WaitingJobs(term, (job, cycle) => this.limitsFor(job, cycle));
  }

  /** Current costs of placements, in seconds. */
  weights(): PlacementWeights {
    const bootS = this.term.slowestBootS;
    const hotImages = this.forecast.hotImages();
    const weights = {
      ordinaryCostS: bootS * ORDINARY_MACHINE_COST_BOOTS,
      emptyCostS: bootS * EMPTY_MACHINE_COST_BOOTS,
      hotImages,
    };
    const { subsystems } = this;
    if (!subsystems.hasAny) return weights;
    return { ...weights, preferenceS: (spec, capacity) => subsystems.preferenceS(spec, capacity) };
  }

  /** Ranks all ready jobs and places them by bin packing and preemption. */
  runCycle(): CycleResult {
    const { term } = this;
    const { now } = term;
    this.taskSlots.beginCycle();
    const capacities = this.freeCapacities.capacities((machine) => acceptsNewWork(term, machine));
    const usages = this.freeCapacities.usages();
    this.eligibility.beginCycle(capacities);
    const weights = this.weights();
    const jobs = this.jobQueue.rankedJobs(now);
    this.reservations.update(jobs, this.withoutKeptMachines(capacities), usages);
    const shares = longWorkShares(term, jobs, capacities, usages);
    const preemptor = this.makePreemptor(capacities, usages);
    const unplaced = new UnplacedRequests();
    const cycle: CycleContext = {
      now,
      capacities,
      usages,
      weights,
      longWorkShares: shares,
      preemptor,
      unplaced,
    };
    let placed = this.migrations.placeReserved(capacities, usages, now, (job, index, capacity) =>
      this.placement.claimTask(job, index, capacity),
    );
    const demand: Demand[] = [];
    const unplacedJobs: UnplacedJob[] = [];
    placed = this.placeJobs(jobs, cycle, placed, (job, tasks) => {
      unplacedJobs.push({ job, tasks });
      demand.push({ spec: job.spec, tasks, zones: taskCountsByZone(term, job) });
    });
    placed += this.probePlacement.place(unplacedJobs, cycle);
    this.waitingJobs.cycleEnded(cycle, unplacedJobs);
    return { placed, demand, capacities, usages };
  }

  private makePreemptor(capacities: FreeCapacity[], usages: TeamUsages): Preemptor {
    return new Preemptor(this.term, capacities, usages, this.startObjectives, this.subsystems);
  }

  /**
   * Excludes machines kept by a subsystem: they are not reserved or drained for a gang, not drained to be returned,
   * and receive no replicas of a drained machine.
   */
  private withoutKeptMachines(capacities: FreeCapacity[]): FreeCapacity[] {
    const { subsystems } = this;
    return subsystems.hasAny
      ? capacities.filter((capacity) => !subsystems.retainsMachine(capacity.id))
      : capacities;
  }

  /** The limits that keep a job from machines after a cycle, apart from the machines' size and kind. */
  private limitsFor(job: LiveJob, cycle: CycleContext): LimitOf {
    const limitOf = this.eligibility.limitsFor(job);
    const { mayUse } = longWorkFilter(job, cycle, () => true);
    return (capacity) => limitOf(capacity) ?? (mayUse(capacity) ? null : 'long_work');
  }

  /** Places jobs in order. Returns the number of tasks placed in this cycle, `placedBefore` included. */
  private placeJobs(
    jobs: LiveJob[],
    cycle: CycleContext,
    placedBefore: number,
    onUnplaced: (job: LiveJob, tasks: number) => void,
  ): number {
    const maxTasks = this.maxTasksPerCycle;
    let placed = placedBefore;
    for (const job of jobs) {
      if (placed >= maxTasks) break;
      const outcome = this.placement.place(job, cycle, maxTasks - placed);
      placed += outcome.placed;
      if (outcome.unplaced === 0) continue;
      const unplaced = this.preemptFor(job, cycle, outcome.unplaced);
      if (unplaced > 0) onUnplaced(job, unplaced);
    }
    return placed;
  }

  /**
   * Makes capacity for unplaced tasks by preempting lower-priority work. Returns the number of tasks for
   * which none can be made; for these the fleet has to grow.
   */
  private preemptFor(job: LiveJob, cycle: CycleContext, tasks: number): number {
    if (cycle.unplaced.covers(job)) return tasks;
    const mayUse = this.eligibility.filterFor(job);
    const unplaced = cycle.preemptor.makeCapacity(
      job,
      tasks,
      taskCountsByZone(this.term, job),
      mayUse,
    );
    if (unplaced > 0) cycle.unplaced.note(job);
    return unplaced;
  }

  /** The machines on whose capacity scale-out may count for a job, see `MachineEligibility.scaleOutFilterFor`. */
  scaleOutFilterFor(id: string): MachineFilter {
    const job = this.term.jobs.get(id);
    return job === undefined ? () => true : this.eligibility.scaleOutFilterFor(job);
  }

  /** Free capacity of machines that are expected to accept new work in a moment, see `isArriving`. */
  arrivingCapacities(withinS: number): FreeCapacity[] {
    return this.freeCapacities.capacities((machine) => isArriving(this.term, machine, withinS));
  }

  /** Tasks that an empty machine takes, however small. */
  taskSlotsOfEmptyMachine(): number {
    return this.taskSlots.ofEmptyMachine();
  }

  /** Drains a machine whose replicas fit elsewhere, so that it can be returned. */
  drainMachine(capacities: FreeCapacity[]): Machine | null {
    return this.migrations.drainMachine(this.withoutKeptMachines(capacities), {
      usable: (machine) => acceptsNewWork(this.term, machine),
      filterFor: (job) => this.eligibility.filterFor(job),
      weights: this.weights(),
    });
  }

  /** Moves one replica to a machine with free capacity. */
  migrateReplica(attempt: Attempt, capacities: FreeCapacity[], mayFetch: boolean): boolean {
    return this.migrations.migrateReplica(attempt, {
      capacities,
      filterFor: (job) => this.eligibility.filterFor(job),
      mayFetch,
      weights: this.weights(),
    });
  }

  /** Minimum time between two migrations of single replicas of a class, in seconds. */
  migrationGapS(jobClass: string): number {
    return this.migrations.minGapS(jobClass);
  }

  private specOf(job: string): JobSpec | null {
    const live = this.term.jobs.get(job);
    if (live !== undefined) return live.spec;
    const storedJob = this.term.context.replica.jobs.get(job);
    return storedJob === undefined ? null : specOf(storedJob);
  }
}
