/** Places the tasks of one job within a scheduling cycle. */

import type { LiveJob } from '../../jobs/live-job.js';
import type { StartLatencyObjectives } from '../../scheduler/service-level-objectives.js';
import {
  bestFit,
  placeGang,
  type FreeCapacity,
  type PlacementWeights,
  type PlacementConstraints,
} from '../../scheduler/bin-packing.js';
import { allocate, freeShare } from '../../scheduler/room.js';
import { makeAttempt } from '../../workers/attempt.js';
import type { Machine } from '../../workers/machine.js';
import { COMMAND_LATENCY_S, type Preemptor } from './preemptor.js';
import { longWorkFilter, type LongWorkFilter } from './long-work-share.js';
import type { MachineEligibility } from './machine-eligibility.js';
import {
  taskCountsByZone,
  type CycleContext,
  type MachineFilter,
  type PlacementOutcome,
} from './cycle-context.js';
import type { Term } from '../term/term.js';

/** A search for capacity for tasks of a job; `constraints.zones` grows with each task placed. */
interface PlacementSearch {
  job: LiveJob;
  constraints: PlacementConstraints & { mayUse: LongWorkFilter['mayUse'] };
  weights: PlacementWeights;
  preemptor: Preemptor;
  /** Seconds within which a task should start; null: no limit. */
  remainingS: number | null;
}

/** A machine; `no-fit`: the task fits nowhere; `being made`: preemption is making capacity for it. */
type FoundCapacity = FreeCapacity | 'no-fit' | 'being made';

/** Places tasks of jobs: each task that is placed becomes a claim on a machine. */
export class JobPlacement {
  constructor(
    private readonly term: Term,
    private readonly eligibility: MachineEligibility,
    private readonly startObjectives: StartLatencyObjectives,
  ) {}

  /** Places tasks of a job that fit, at most `maxTasks`; a gang as a whole, whatever its size. */
  place(job: LiveJob, cycle: CycleContext, maxTasks: number): PlacementOutcome {
    return job.isGang ? this.placeGang(job, cycle) : this.placeTasks(job, cycle, maxTasks);
  }

  private placeGang(job: LiveJob, cycle: CycleContext): PlacementOutcome {
    const { spec } = job;
    if (!this.mayPlaceGang(job, cycle)) return { placed: 0, unplaced: 0 };
    const { mayUse } = longWorkFilter(job, cycle, this.eligibility.filterFor(job));
    const chosen = this.placeGangOn(job, cycle, cycle.capacities, mayUse);
    return chosen === null
      ? { placed: 0, unplaced: spec.tasks }
      : { placed: spec.tasks, unplaced: 0 };
  }

  /** Whether none of a gang's tasks is on a machine, all may start now, and its team's limit allows them. */
  private mayPlaceGang(job: LiveJob, { now, usages }: CycleContext): boolean {
    const { tasks } = job.spec;
    return (
      job.activeAttemptCount === 0 &&
      job.pendingTasks(now, tasks).length === tasks &&
      usages.allows(job.spec, tasks)
    );
  }

  /** Places all tasks of a gang on these machines; null: they do not fit. */
  private placeGangOn(
    job: LiveJob,
    { usages, weights }: CycleContext,
    capacities: FreeCapacity[],
    mayUse: MachineFilter,
  ): FreeCapacity[] | null {
    const { spec } = job;
    const zones = taskCountsByZone(this.term, job);
    const chosen = placeGang(spec, capacities, { zones, mayUse }, weights);
    if (chosen === null) return null;
    const attemptNumber = job.nextGangNumber(this.term.context.token);
    chosen.forEach((capacity, i) => this.claim(job, i, attemptNumber, capacity));
    usages.add(spec, spec.tasks);
    return chosen;
  }

  /**
   * Places one task of a job, or a whole gang, which found no capacity, on quarantined machines as a probe. Returns
   * the machines that it uses. A gang may use `cycle.capacities` too.
   */
  placeProbe(job: LiveJob, cycle: CycleContext, quarantined: FreeCapacity[]): FreeCapacity[] {
    const mayUse = this.eligibility.filterFor(job);
    if (job.isGang) {
      if (!this.mayPlaceGang(job, cycle)) return [];
      return this.placeGangOn(job, cycle, [...cycle.capacities, ...quarantined], mayUse) ?? [];
    }
    const [index] = job.pendingTasks(cycle.now, 1);
    if (index === undefined || !cycle.usages.allows(job.spec, 1)) return [];
    const zones = taskCountsByZone(this.term, job);
    const capacity = bestFit(job.spec, quarantined, { zones, mayUse }, cycle.weights);
    if (capacity === null) return [];
    allocate(job.spec, capacity);
    this.claimTask(job, index, capacity);
    cycle.usages.add(job.spec, 1);
    return [capacity];
  }

  private placeTasks(job: LiveJob, cycle: CycleContext, maxTasks: number): PlacementOutcome {
    const isSuspect = this.term.jobHealth.isSuspect(job);
    const indexes = this.startableTasks(job, cycle, maxTasks, isSuspect);
    if (indexes.length === 0) return { placed: 0, unplaced: 0 };
    if (cycle.unplaced.covers(job)) return { placed: 0, unplaced: indexes.length };
    const { mayUse, noteAllocated } = longWorkFilter(job, cycle, this.eligibility.filterFor(job));
    const search = this.search(job, cycle, mayUse, isSuspect);
    let awaitingCapacity = 0;
    let placed = 0;
    for (const index of indexes) {
      const found = this.find(search, cycle.capacities);
      if (found === 'no-fit') break;
      if (found === 'being made') {
        awaitingCapacity++;
        continue;
      }
      this.placeTask(search, index, found);
      noteAllocated(found);
      cycle.usages.add(job.spec, 1);
      placed++;
    }
    return { placed, unplaced: isSuspect ? 0 : indexes.length - placed - awaitingCapacity };
  }

  /** Tasks that may start now. A suspect job runs one task at a time. */
  private startableTasks(
    job: LiveJob,
    cycle: CycleContext,
    maxTasks: number,
    isSuspect: boolean,
  ): number[] {
    const allowed = Math.min(cycle.usages.remainingTasks(job.spec), maxTasks);
    const limit = isSuspect
      ? Math.min(allowed, this.term.jobHealth.startableTasks(job))
      : Math.max(0, allowed);
    return job.pendingTasks(cycle.now, limit);
  }

  private search(
    job: LiveJob,
    cycle: CycleContext,
    mayUse: LongWorkFilter['mayUse'],
    isSuspect: boolean,
  ): PlacementSearch {
    const { spec } = job;
    const { weights, preemptor } = cycle;
    return {
      job,
      constraints: {
        zones: taskCountsByZone(this.term, job),
        avoid: isSuspect ? this.term.jobHealth.machinesToAvoid(job) : undefined,
        mayUse,
      },
      // A gap on an ordinary machine costs nothing, so best-effort work uses it as readily as spot.
      weights: spec.priority < 3 ? weights : { ...weights, ordinaryCostS: 0 },
      preemptor,
      remainingS: spec.priority === 3 || isSuspect ? null : this.remainingS(job, cycle.now),
    };
  }

  /** Seconds until the start command should be sent; null: the class has no objective still to meet. */
  private remainingS(job: LiveJob, now: number): number | null {
    const ageS = now - job.readySince;
    const targetS = this.startObjectives.nextTargetS(job.spec.class, ageS);
    return targetS === null ? null : targetS - ageS - COMMAND_LATENCY_S;
  }

  private find(search: PlacementSearch, capacities: FreeCapacity[]): FoundCapacity {
    const { job, constraints, weights, preemptor } = search;
    const cheapest = bestFit(job.spec, capacities, constraints, weights);
    if (cheapest === null) return 'no-fit';
    if (!this.isLate(search, cheapest)) return cheapest;
    // The start would be late there, because the image has to be fetched. Any machine where it is in
    // time is better, whatever its cost, or one where preemption makes capacity in time.
    const mayUse = (capacity: FreeCapacity): boolean =>
      constraints.mayUse(capacity) && !this.isLate(search, capacity);
    const inTime = bestFit(job.spec, capacities, { ...constraints, mayUse }, weights);
    if (inTime !== null) return inTime;
    return preemptor.makeCapacity(job, 1, constraints.zones, constraints.mayUse, true) === 0
      ? 'being made'
      : cheapest;
  }

  private isLate({ job: { spec }, remainingS }: PlacementSearch, capacity: FreeCapacity): boolean {
    if (remainingS === null) return false;
    return (
      capacity.imageDelayS(spec.image, spec.imageGb) * this.term.fetchTimes.safetyFactor >
      remainingS
    );
  }

  private placeTask(
    { job, constraints }: PlacementSearch,
    index: number,
    capacity: FreeCapacity,
  ): void {
    const freeShareBefore = freeShare(capacity);
    allocate(job.spec, capacity);
    this.eligibility.noteAllocated(capacity, freeShareBefore);
    constraints.zones.set(capacity.zone, (constraints.zones.get(capacity.zone) ?? 0) + 1);
    this.claimTask(job, index, capacity);
  }

  /** Claims a machine for a task, under the task's next attempt number. */
  claimTask(job: LiveJob, index: number, capacity: FreeCapacity): void {
    this.claim(job, index, job.nextNumber(index, this.term.context.token), capacity);
  }

  private claim(job: LiveJob, index: number, attemptNumber: number, capacity: FreeCapacity): void {
    const { term } = this;
    const { spec } = job;
    const machine = term.machines.get(capacity.id)!;
    this.logPlaced(job, index, machine, capacity);
    const attempt = makeAttempt(
      { job: spec.id, index, number: attemptNumber, machine: machine.id },
      'claiming',
      term.now,
    );
    const fetchS = capacity.imageDelayS(spec.image, spec.imageGb);
    if (fetchS === capacity.fetchS(spec.imageGb)) attempt.predictedFetchS = fetchS;
    machine.addClaim(attempt);
    job.taskClaimed(attempt);
    term.machinesToWrite.add(machine.id);
  }

  private logPlaced(job: LiveJob, index: number, machine: Machine, capacity: FreeCapacity): void {
    const { log } = this.term.context;
    if (!log.isLevelEnabled('debug')) return;
    log.debug(
      {
        job: job.spec.id,
        index,
        class: job.spec.class,
        machine: machine.id,
        imageWaitS: capacity.imageDelayS(job.spec.image, job.spec.imageGb),
        ageS: this.term.now - job.readySince,
      },
      'task placed',
    );
  }
}
