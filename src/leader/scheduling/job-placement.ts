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
import { sharedWithLongWork, type SharedUse } from './long-work-share.js';
import type { MachineEligibility } from './machine-eligibility.js';
import { zonesOf, type PlacementOutcome, type CycleContext } from './cycle-context.js';
import type { Term } from '../term/term.js';

/** A job that has failed on so many machines and never succeeded is doubted, not the machines. */
const SUSPECT_MACHINES = 3;

/** Where tasks of a job are looked for; `where.zones` grows with each that is placed. */
interface PlacementSearch {
  job: LiveJob;
  where: PlacementConstraints & { mayUse: SharedUse['mayUse'] };
  weights: PlacementWeights;
  preemptor: Preemptor;
  /** Within so many seconds a task should run; null: whenever it does. */
  leftS: number | null;
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
  place(job: LiveJob, cycle: CycleContext, most: number): PlacementOutcome {
    return job.isGang ? this.placeGang(job, cycle) : this.placeTasks(job, cycle, most);
  }

  private placeGang(job: LiveJob, cycle: CycleContext): PlacementOutcome {
    const { spec } = job;
    const { capacities, usages, weights } = cycle;
    if (job.activeAttemptCount > 0) return { placed: 0, short: 0 };
    if (job.pendingTasks(cycle.now, spec.tasks).length < spec.tasks) return { placed: 0, short: 0 };
    if (!usages.allows(spec, spec.tasks)) return { placed: 0, short: 0 };
    const { mayUse } = sharedWithLongWork(job, cycle, this.eligibility.filterFor(job));
    const chosen = placeGang(spec, capacities, { zones: zonesOf(this.term, job), mayUse }, weights);
    if (chosen === null) return { placed: 0, short: spec.tasks };
    const number = job.nextGangNumber(this.term.context.token);
    chosen.forEach((capacity, i) => this.claim(job, i, number, capacity));
    usages.add(spec, spec.tasks);
    return { placed: spec.tasks, short: 0 };
  }

  private placeTasks(job: LiveJob, cycle: CycleContext, most: number): PlacementOutcome {
    const suspect = this.isSuspect(job);
    const indexes = this.startable(job, cycle, most, suspect);
    if (indexes.length === 0) return { placed: 0, short: 0 };
    if (cycle.unplaced.covers(job)) return { placed: 0, short: indexes.length };
    const { mayUse, noteAllocated } = sharedWithLongWork(
      job,
      cycle,
      this.eligibility.filterFor(job),
    );
    const search = this.search(job, cycle, mayUse, suspect);
    let made = 0;
    let placed = 0;
    for (const index of indexes) {
      const room = this.find(search, cycle.capacities);
      if (room === 'no-fit') break;
      if (room === 'being made') {
        made++;
        continue;
      }
      this.placeTask(search, index, room);
      noteAllocated(room);
      cycle.usages.add(job.spec, 1);
      placed++;
    }
    return { placed, short: suspect ? 0 : indexes.length - placed - made };
  }

  /** Tasks that may start now. Of a job that is doubted one at a time is tried. */
  private startable(job: LiveJob, cycle: CycleContext, most: number, suspect: boolean): number[] {
    const allowed = Math.min(cycle.usages.remainingTasks(job.spec), most);
    const tried = suspect ? Math.min(allowed, 1 - job.activeAttemptCount) : allowed;
    return job.pendingTasks(cycle.now, Math.max(0, tried));
  }

  private search(
    job: LiveJob,
    cycle: CycleContext,
    mayUse: SharedUse['mayUse'],
    suspect: boolean,
  ): PlacementSearch {
    const { spec } = job;
    const { weights, preemptor } = cycle;
    return {
      job,
      where: { zones: zonesOf(this.term, job), avoid: suspect ? job.failedOn : undefined, mayUse },
      // A hole on an ordinary machine costs nothing: for best-effort work it is as good as spot.
      weights: spec.priority < 3 ? weights : { ...weights, ordinaryS: 0 },
      preemptor,
      leftS: spec.priority === 3 || suspect ? null : this.leftS(job, cycle.now),
    };
  }

  /** Seconds within which a task should be told to start; null: its class has no objective left. */
  private leftS(job: LiveJob, now: number): number | null {
    const ageS = now - job.readySince;
    const within = this.startObjectives.nextTargetS(job.spec.class, ageS);
    return within === null ? null : within - ageS - COMMAND_LATENCY_S;
  }

  private find(search: PlacementSearch, capacities: FreeCapacity[]): FoundCapacity {
    const { job, where, weights, preemptor } = search;
    const room = bestFit(job.spec, capacities, where, weights);
    if (room === null) return 'no-fit';
    if (!this.isLate(search, room)) return room;
    // Too late there, because the image has to be fetched. Better where it is, whatever others
    // may want of that place, or where lower-priority work can make capacity in time.
    const mayUse = (capacity: FreeCapacity): boolean =>
      where.mayUse(capacity) && !this.isLate(search, capacity);
    const inTime = bestFit(job.spec, capacities, { ...where, mayUse }, weights);
    if (inTime !== null) return inTime;
    return preemptor.makeCapacity(job, 1, where.zones, where.mayUse, true) === 0
      ? 'being made'
      : room;
  }

  private isLate({ job: { spec }, leftS }: PlacementSearch, capacity: FreeCapacity): boolean {
    if (leftS === null) return false;
    return (
      capacity.imageDelayS(spec.image, spec.imageGb) * this.term.fetchTimes.safetyFactor > leftS
    );
  }

  private placeTask({ job, where }: PlacementSearch, index: number, capacity: FreeCapacity): void {
    const before = freeShare(capacity);
    allocate(job.spec, capacity);
    this.eligibility.noteAllocated(capacity, before);
    where.zones.set(capacity.zone, (where.zones.get(capacity.zone) ?? 0) + 1);
    this.claimTask(job, index, capacity);
  }

  /** Whether the job, rather than the machines, is doubted: its tasks fail wherever they start. */
  private isSuspect(job: LiveJob): boolean {
    if (job.hasSucceeded || job.failedOn.size < SUSPECT_MACHINES) return false;
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

  private claim(job: LiveJob, index: number, number: number, capacity: FreeCapacity): void {
    const { term } = this;
    const { spec } = job;
    const machine = term.machines.get(capacity.id)!;
    this.logPlaced(job, index, machine, capacity);
    const attempt = makeAttempt(
      { job: spec.id, index, number, machine: machine.id },
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
