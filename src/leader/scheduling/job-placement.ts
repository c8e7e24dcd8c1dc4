/** Placing the tasks of one job within a scheduling cycle. */

import type { LiveJob } from '../../jobs/live-job.js';
import type { StartLatencyObjectives } from '../../scheduler/service-level-objectives.js';
import {
  bestFit,
  freeShare,
  placeGang,
  allocate,
  type FreeCapacity,
  type PlacementWeights,
  type PlacementConstraints,
} from '../../scheduler/bin-packing.js';
import { makeAttempt } from '../../workers/attempt.js';
import type { Machine } from '../../workers/machine.js';
import { COMMAND_LATENCY_S, type Preemptor } from './preemptor.js';
import { longWorkFilter, type LongWorkFilter } from './long-work-share.js';
import type { MachineEligibility } from './machine-eligibility.js';
import { taskCountsByZone, type PlacementOutcome, type CycleContext } from './cycle-context.js';
import type { Term } from '../term/term.js';

/** A job that has failed on so many machines and never succeeded is doubted, not the machines. */
const SUSPECT_JOB_MACHINE_COUNT = 3;

/** Where tasks of a job are looked for; `where.zones` grows with each that is placed. */
interface PlacementSearch {
  job: LiveJob;
  constraints: PlacementConstraints & { mayUse: LongWorkFilter['mayUse'] };
  weights: PlacementWeights;
  preemptor: Preemptor;
  /** Within so many seconds a task should run; null: whenever it does. */
  remainingS: number | null;
}

/** A machine; none, since the task fits nowhere; or capacity that is being made for it. */
type FoundCapacity = FreeCapacity | 'no-fit' | 'being made';

/** Places jobs' tasks: what it finds for them becomes claims on machines. */
export class JobPlacement {
  constructor(
    private readonly term: Term,
    private readonly eligibility: MachineEligibility,
    private readonly startObjectives: StartLatencyObjectives,
  ) {}

  /** Places what fits of a job, at most `most` tasks; a gang as a whole, whatever its size. */
  place(job: LiveJob, cycle: CycleContext, maxTasks: number): PlacementOutcome {
    return job.isGang ? this.placeGang(job, cycle) : this.placeTasks(job, cycle, maxTasks);
  }

  private placeGang(job: LiveJob, cycle: CycleContext): PlacementOutcome {
    const { spec } = job;
    const { capacities, usages, weights } = cycle;
    if (job.activeAttemptCount > 0) return { placed: 0, unplaced: 0 };
    if (job.pendingTasks(cycle.now, spec.tasks).length < spec.tasks)
      return { placed: 0, unplaced: 0 };
    if (!usages.allows(spec, spec.tasks)) return { placed: 0, unplaced: 0 };
    const { mayUse } = longWorkFilter(job, cycle, this.eligibility.filterFor(job));
    const chosen = placeGang(
      spec,
      capacities,
      { zones: taskCountsByZone(this.term, job), mayUse },
      weights,
    );
    if (chosen === null) return { placed: 0, unplaced: spec.tasks };
    const attemptNumber = job.nextGangNumber(this.term.context.token);
    chosen.forEach((capacity, i) => this.claim(job, i, attemptNumber, capacity));
    usages.add(spec, spec.tasks);
    return { placed: spec.tasks, unplaced: 0 };
  }

  private placeTasks(job: LiveJob, cycle: CycleContext, maxTasks: number): PlacementOutcome {
    const suspect = this.isSuspect(job);
    const indexes = this.startableTasks(job, cycle, maxTasks, suspect);
    if (indexes.length === 0) return { placed: 0, unplaced: 0 };
    if (cycle.unplaced.covers(job)) return { placed: 0, unplaced: indexes.length };
    const { mayUse, noteAllocated } = longWorkFilter(job, cycle, this.eligibility.filterFor(job));
    const search = this.search(job, cycle, mayUse, suspect);
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
    return { placed, unplaced: suspect ? 0 : indexes.length - placed - awaitingCapacity };
  }

  /** Tasks that may start now. Of a job that is doubted one at a time is tried. */
  private startableTasks(
    job: LiveJob,
    cycle: CycleContext,
    maxTasks: number,
    suspect: boolean,
  ): number[] {
    const allowed = Math.min(cycle.usages.remainingTasks(job.spec), maxTasks);
    const limit = suspect ? Math.min(allowed, 1 - job.activeAttemptCount) : allowed;
    return job.pendingTasks(cycle.now, Math.max(0, limit));
  }

  private search(
    job: LiveJob,
    cycle: CycleContext,
    mayUse: LongWorkFilter['mayUse'],
    suspect: boolean,
  ): PlacementSearch {
    const { spec } = job;
    const { weights, preemptor } = cycle;
    return {
      job,
      constraints: {
        zones: taskCountsByZone(this.term, job),
        avoid: suspect ? job.failedOn : undefined,
        mayUse,
      },
      // A hole on an ordinary machine costs nothing: for best-effort work it is as good as spot.
      weights: spec.priority < 3 ? weights : { ...weights, ordinaryCostS: 0 },
      preemptor,
      remainingS: spec.priority === 3 || suspect ? null : this.remainingS(job, cycle.now),
    };
  }

  /** Seconds within which a task should be told to start; null: its class has no objective left. */
  private remainingS(job: LiveJob, now: number): number | null {
    const ageS = now - job.readySince;
    const targetS = this.startObjectives.nextTargetS(job.spec.class, ageS);
    return targetS === null ? null : targetS - ageS - COMMAND_LATENCY_S;
  }

  private find(search: PlacementSearch, capacities: FreeCapacity[]): FoundCapacity {
    const { job, constraints: where, weights, preemptor } = search;
    const cheapest = bestFit(job.spec, capacities, where, weights);
    if (cheapest === null) return 'no-fit';
    if (!this.isLate(search, cheapest)) return cheapest;
    // Too late there, because the image has to be fetched. Better where it is, whatever others
    // may want of that place, or where lower-priority work can make capacity in time.
    const mayUse = (capacity: FreeCapacity): boolean =>
      where.mayUse(capacity) && !this.isLate(search, capacity);
    const inTime = bestFit(job.spec, capacities, { ...where, mayUse }, weights);
    if (inTime !== null) return inTime;
    return preemptor.makeCapacity(job, 1, where.zones, where.mayUse, true) === 0
      ? 'being made'
      : cheapest;
  }

  private isLate(
    { job: { spec }, remainingS: leftS }: PlacementSearch,
    capacity: FreeCapacity,
  ): boolean {
    if (leftS === null) return false;
    return (
      capacity.imageDelayS(spec.image, spec.imageGb) * this.term.fetchTimes.safetyFactor > leftS
    );
  }

  private placeTask(
    { job, constraints: where }: PlacementSearch,
    index: number,
    capacity: FreeCapacity,
  ): void {
    const freeShareBefore = freeShare(capacity);
    allocate(job.spec, capacity);
    this.eligibility.noteAllocated(capacity, freeShareBefore);
    where.zones.set(capacity.zone, (where.zones.get(capacity.zone) ?? 0) + 1);
    this.claimTask(job, index, capacity);
  }

  /** Whether the job, rather than the machines, is doubted: its tasks fail wherever they start. */
  private isSuspect(job: LiveJob): boolean {
    if (job.hasSucceeded || job.failedOn.size < SUSPECT_JOB_MACHINE_COUNT) return false;
    const { lease_s } = this.term.context.settings.workers;
    for (const attempt of job.activeAttempts()) {
      if (attempt.startedAt !== null) job.recordRunTime(this.term.now - attempt.startedAt, lease_s);
    }
    return !job.hasSucceeded;
  }

  /** A claim under the task's next number. */
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
    this.eligibility.noteClaimed(machine);
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
