import type { LiveJob } from '../../jobs/live-job.js';
import type { JobSpec } from '../../jobs/types.js';
import { isAllowedOn, isZoneAllowed, type FreeCapacity } from '../../scheduler/bin-packing.js';
import {
  preemptionMode,
  type PreemptionMode,
  type StartLatencyObjectives,
} from '../../scheduler/service-level-objectives.js';
import { cheapestPreemption, type OccupiedMachine } from '../../scheduler/preemption.js';
import type { TeamUsages } from '../../scheduler/quota.js';
import { allocate, hasRoomFor, release } from '../../scheduler/room.js';
import { NO_SUBSYSTEMS, type ActiveSubsystems } from '../../subsystems/active-subsystems.js';
import { MIN_HEARTBEAT_GAP_S } from '../../wire/workers.js';
import { occupiesCapacity } from '../../workers/attempt.js';
import {
  preemptionCandidate,
  type PreemptionCandidate,
  type VictimTask,
} from './preemption-candidates.js';
import type { Term } from '../term/term.js';

interface PlacementOption extends OccupiedMachine {
  candidate: PreemptionCandidate;
  delayS: number;
  /** How its victims are stopped. */
  mode: PreemptionMode;
  victims: VictimTask[];
}

/** A machine on which tasks are stopped for the job. */
interface PreemptionChoice {
  option: PlacementOption;
  victims: VictimTask[];
}

/** Cost per priority level, so that lower-priority work is stopped first, whatever work it loses. */
const PRIORITY_TIER_S = 1e6;
/** Added cost of a start that misses the objective of its class, whatever its delay. */
const LATE_PENALTY_S = 1e3;
/** Cost of the greatest harm that a subsystem can report: less than that of a late start. */
const MAX_EXTRA_COST_S = LATE_PENALTY_S * 0.5;
/** Latency of a start: the command is sent directly, and a heartbeat confirms it. */
export const COMMAND_LATENCY_S = MIN_HEARTBEAT_GAP_S * 0.6;

/** Makes capacity within one scheduling cycle, by the protocol's preemption rules. */
export class Preemptor {
  private candidates: PreemptionCandidate[] | null = null;

  constructor(
    private readonly term: Term,
    private readonly capacities: FreeCapacity[],
    private readonly usages: TeamUsages,
    private readonly startObjectives: StartLatencyObjectives,
    private readonly subsystems: ActiveSubsystems = NO_SUBSYSTEMS,
  ) {}

  /** Sets the cost of stopping a task: lower-priority work first, then the task that loses least. */
  private withCost(preemptingJob: LiveJob, victim: VictimTask, mode: PreemptionMode): VictimTask {
    const { job } = victim;
    const saves = job.spec.checkpointS > 0 && mode !== 'immediate';
    const lossS = (saves ? victim.saveS : victim.unsavedS) * (job.isGang ? job.spec.tasks : 1);
    const extraCostS =
      this.subsystems.extraPreemptionCost(preemptingJob, victim, mode !== 'immediate') *
      MAX_EXTRA_COST_S;
    return { ...victim, lossS: lossS + extraCostS + (3 - job.spec.priority) * PRIORITY_TIER_S };
  }

  private mayPreempt(job: LiveJob, victim: LiveJob): boolean {
    if (victim === job) return false;
    if (victim.spec.kind === 'service' && victim.spec.priority <= job.spec.priority) return false;
    if (victim.spec.priority > job.spec.priority) return true;
    // To meet a team's guarantee, work that another team runs beyond its own guarantee may be stopped.
    // Work of a higher priority is excluded, although the protocol allows it: it ranks first, so it
    // would be placed on the same machine again at once, and be stopped again.
    return (
      victim.spec.priority === job.spec.priority &&
      job.isGuaranteed &&
      victim.spec.team !== job.spec.team &&
      !victim.isGuaranteed &&
      !this.usages.isWithinGuarantee(victim.spec.team)
    );
  }

  /**
   * Makes capacity by preemption and allocates it, so that lower-ranked work does not take it while it is
   * being freed. Returns the number of tasks for which none could be made. `onlyInTime`: only where the
   * tasks start in time.
   */
  makeCapacity(
    job: LiveJob,
    tasks: number,
    zones: Map<string, number>,
    mayUse: (capacity: FreeCapacity) => boolean,
    onlyInTime = false,
  ): number {
    const options = this.placementOptions(job, mayUse, onlyInTime);
    const { chosenOptions, preemptions } = chooseOptions(job, options, tasks, zones);
    this.logPlan(job, tasks, chosenOptions, preemptions, onlyInTime);
    // Capacity for only some of its tasks is of no use to a gang.
    if (job.isGang && chosenOptions.length < tasks) return tasks;
    for (const choice of preemptions) this.preempt(job, choice);
    // Without this allocation a gang of several tasks waited for over a minute: lower-priority work took
    // each machine as soon as it was free, while the others were still being freed.
    for (const { candidate } of chosenOptions) allocate(job.spec, candidate.capacity);
    return tasks - chosenOptions.length;
  }

  /** Machines on which a task of the job could start, now or after tasks there have stopped. */
  private placementOptions(
    job: LiveJob,
    mayUse: (capacity: FreeCapacity) => boolean,
    onlyInTime: boolean,
  ): PlacementOption[] {
    this.candidates ??= this.capacities.map((capacity) =>
      preemptionCandidate(this.term, capacity, this.subsystems),
    );
    const remainingS = this.remainingS(job);
    const options: PlacementOption[] = [];
    for (const candidate of this.candidates) {
      const { capacity } = candidate;
      if (!isAllowedOn(job.spec, capacity) || !mayUse(capacity)) continue;
      const option = this.placementOption(job, candidate, remainingS, onlyInTime);
      if (option === null) continue;
      if (option.victims.length === 0 && !hasRoomFor(job.spec, option)) continue;
      options.push(option);
    }
    return options;
  }

  /** Seconds until the start command should be sent; null: the class has no objective still to meet. */
  private remainingS(job: LiveJob): number | null {
    const ageS = this.term.now - job.readySince;
    const targetS = this.startObjectives.nextTargetS(job.spec.class, ageS);
    return targetS === null ? null : targetS - ageS - COMMAND_LATENCY_S;
  }

  /** Null: a start there is too late, and `onlyInTime` is set. */
  private placementOption(
    job: LiveJob,
    candidate: PreemptionCandidate,
    remainingS: number | null,
    onlyInTime: boolean,
  ): PlacementOption | null {
    const { spec } = job;
    const { capacity, stopping } = candidate;
    const { id, type, zone, spot } = capacity;
    const victims = this.victimsOf(job, candidate);
    const imageS =
      capacity.imageDelayS(spec.image, spec.imageGb) * this.term.fetchTimes.safetyFactor;
    const saveS = victims.reduce((most, victim) => Math.max(most, victim.saveS), 0);
    const mode = preemptionMode(remainingS, saveS, imageS + candidate.stoppedInS);
    if (onlyInTime && mode === 'too-late') return null;
    return {
      id,
      type,
      zone,
      spot,
      cores: capacity.cores + stopping.cores,
      gpus: capacity.gpus + stopping.gpus,
      memGb: capacity.memGb + stopping.memGb,
      taskSlots: capacity.taskSlots + stopping.taskSlots,
      candidate,
      victims: victims.map((victim) => this.withCost(job, victim, mode)),
      delayS: imageS + (mode === 'too-late' ? LATE_PENALTY_S : 0),
      mode,
    };
  }

  /** Tasks that the job may preempt. On most machines their lowest priority already rules them all out. */
  private victimsOf(job: LiveJob, { lowestPriority, victims }: PreemptionCandidate): VictimTask[] {
    const highest = job.spec.priority - (job.isGuaranteed ? 1 : 0);
    if (lowestPriority <= highest) return [];
    return victims.filter((victim) => this.mayPreempt(job, victim.job));
  }

  private logPlan(
    job: LiveJob,
    tasks: number,
    chosenOptions: PlacementOption[],
    preemptions: PreemptionChoice[],
    onlyInTime: boolean,
  ): void {
    const { log } = this.term.context;
    if (!log.isLevelEnabled('debug')) return;
    const { id, class: jobClass } = job.spec;
    const ageS = this.term.now - job.readySince;
    const stopped = preemptions.flatMap(({ victims }) => victims.map((victim) => victim.id));
    const modes = [...new Set(chosenOptions.map(({ mode }) => mode))];
    log.debug(
      {
        job: id,
        class: jobClass,
        tasks,
        places: chosenOptions.length,
        stopped,
        modes,
        inTime: onlyInTime,
        ageS,
      },
      'preemption planned',
    );
  }

  private preempt(job: LiveJob, { option, victims }: PreemptionChoice): void {
    const { candidate } = option;
    const allowsSaving = option.mode !== 'immediate';
    const carryOut = (): boolean => this.carryOut(job, victims, allowsSaving);
    this.subsystems.preempt({
      machine: option.id,
      preemptingJob: job,
      victims,
      allowsSaving,
      carryOut,
    });
    for (const victim of victims) release(victim, candidate.stopping);
    const stoppedIds = new Set(victims.map((victim) => victim.id));
    candidate.victims = candidate.victims.filter((victim) => !stoppedIds.has(victim.id));
  }

  /** Stops the victims that are still there, unless the job has ended or has no pending tasks any more. */
  private carryOut(
    preemptingJob: LiveJob,
    victims: readonly VictimTask[],
    allowsSaving: boolean,
  ): boolean {
    if (preemptingJob.phase !== 'active' || preemptingJob.pendingTaskCount === 0) return false;
    for (const { job, attempt } of victims) {
      // Stopping one task of a gang stops all its current attempts, so attempts that ended are skipped.
      if (!occupiesCapacity(attempt) || attempt.stopRequest !== null) continue;
      if (allowsSaving) this.term.stopGracefully(job, attempt, 'preempted');
      else this.term.stopImmediately(job, attempt, 'preempted');
    }
    return true;
  }
}

/**
 * Chooses machines for tasks: capacity that is free or being freed already comes first, then the cheapest
 * preemption. `zones` counts the job's tasks and grows with each machine chosen.
 */
function chooseOptions(
  { spec }: LiveJob,
  options: PlacementOption[],
  tasks: number,
  zones: Map<string, number>,
): { chosenOptions: PlacementOption[]; preemptions: PreemptionChoice[] } {
  const preemptions: PreemptionChoice[] = [];
  const chosenOptions: PlacementOption[] = [];
  while (chosenOptions.length < tasks) {
    let option = soonestFit(spec, options, zones);
    if (option === null) {
      const choice = cheapestChoice(spec, options, zones);
      if (choice === null) break;
      preemptions.push(choice);
      ({ option } = choice);
    }
    allocate(spec, option);
    zones.set(option.zone, (zones.get(option.zone) ?? 0) + 1);
    chosenOptions.push(option);
  }
  return { chosenOptions, preemptions };
}

function soonestFit(
  spec: JobSpec,
  options: PlacementOption[],
  zones: Map<string, number>,
): PlacementOption | null {
  let soonest: PlacementOption | null = null;
  for (const option of options) {
    if (!hasRoomFor(spec, option) || !isZoneAllowed(spec, option.zone, zones)) continue;
    if (soonest === null || option.delayS < soonest.delayS) soonest = option;
  }
  return soonest;
}

/** Chooses the cheapest preemption for one task, and counts what its victims use as free in that option. */
function cheapestChoice(
  spec: JobSpec,
  options: PlacementOption[],
  zones: Map<string, number>,
): PreemptionChoice | null {
  const plan = cheapestPreemption(spec, options, zones);
  if (plan === null) return null;
  const option = options.find(({ id }) => id === plan.machine)!;
  const victims = plan.victims as VictimTask[];
  for (const victim of victims) {
    release(victim, option);
    option.victims.splice(option.victims.indexOf(victim), 1);
  }
  return { option, victims };
}
