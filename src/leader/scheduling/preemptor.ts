import type { LiveJob } from '../../jobs/live-job.js';
import { fits, type JobSpec } from '../../jobs/types.js';
import {
  isAllowedOn,
  release,
  allocate,
  isZoneAllowed,
  type FreeCapacity,
} from '../../scheduler/bin-packing.js';
import {
  preemptionMode,
  type PreemptionMode,
  type StartLatencyObjectives,
} from '../../scheduler/service-level-objectives.js';
import { cheapestPreemption, type OccupiedMachine } from '../../scheduler/preemption.js';
import type { TeamUsages } from '../../scheduler/quota.js';
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

/** Sets work of one priority apart from that of the next, whatever it loses. */
const PRIORITY_TIER_S = 1e6;
/** A start that is late for its class counts as so many seconds, whatever its wait. */
const LATE_PENALTY_S = 1e3;
/** What the greatest harm that subsystems see counts for: less than a late start. */
const MAX_HARM_S = LATE_PENALTY_S * 0.5;
/** What commands and starts take: they are sent straight, and shown by a heartbeat. */
export const COMMAND_LATENCY_S = MIN_HEARTBEAT_GAP_S * 0.6;

/** Making capacity within one scheduling cycle, by the protocol's rules on preemption. */
export class Preemptor {
  private candidates: PreemptionCandidate[] | null = null;

  constructor(
    private readonly term: Term,
    private readonly capacities: FreeCapacity[],
    private readonly usages: TeamUsages,
    private readonly startObjectives: StartLatencyObjectives,
    private readonly subsystems: ActiveSubsystems = NO_SUBSYSTEMS,
  ) {}

  /** What stopping a task costs. Lower-priority work first; within it what loses least. */
  private withCost(preemptingJob: LiveJob, victim: VictimTask, mode: PreemptionMode): VictimTask {
    const { job } = victim;
    const saves = job.spec.checkpointS > 0 && mode !== 'immediate';
    const lossS = (saves ? victim.saveS : victim.unsavedS) * (job.isGang ? job.spec.tasks : 1);
    const harmS =
      this.subsystems.preemptionHarm(preemptingJob, victim, mode !== 'immediate') * MAX_HARM_S;
    return { ...victim, lossS: lossS + harmS + (3 - job.spec.priority) * PRIORITY_TIER_S };
  }

  private mayPreempt(job: LiveJob, victim: LiveJob): boolean {
    if (victim === job) return false;
    if (victim.spec.kind === 'service' && victim.spec.priority <= job.spec.priority) return false;
    if (victim.spec.priority > job.spec.priority) return true;
    // To give a team its guarantee, work that another team runs beyond its own may be stopped. Not
    // that of a higher priority, though the protocol allows it: ranked before, it would come back to
    // the same place at once, and so on.
    return (
      victim.spec.priority === job.spec.priority &&
      job.isGuaranteed &&
      victim.spec.team !== job.spec.team &&
      !victim.isGuaranteed &&
      !this.usages.isWithinGuarantee(victim.spec.team)
    );
  }

  /**
   * Makes capacity where that is allowed, and allocates it, so that nothing that ranks lower takes it while
   * it is being freed. Returns the tasks for which none could be made. `inTime`: only where the tasks start
   * in time.
   */
  makeCapacity(
    job: LiveJob,
    tasks: number,
    zones: Map<string, number>,
    mayUse: (capacity: FreeCapacity) => boolean,
    onlyInTime = false,
  ): number {
    const options = this.placementOptions(job, mayUse, onlyInTime);
    const { places: chosenOptions, chosen: preemptions } = chooseOptions(
      job,
      options,
      tasks,
      zones,
    );
    this.logPlan(job, tasks, chosenOptions, preemptions, onlyInTime);
    // A gang gains nothing from capacity for some of its tasks.
    if (job.isGang && chosenOptions.length < tasks) return tasks;
    for (const choice of preemptions) this.preempt(job, choice);
    // A gang of several was once passed over for a minute and more: as soon as one of its places was
    // free, lower-priority work took it, while the others were still being made.
    for (const { candidate } of chosenOptions) allocate(job.spec, candidate.capacity);
    return tasks - chosenOptions.length;
  }

  /** Machines on which a task of the job could start, now or once something there has stopped. */
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
      if (option.victims.length === 0 && !fits(job.spec, option)) continue;
      options.push(option);
    }
    return options;
  }

  /** Seconds within which a task should be told to start; null: its class has no objective left. */
  private remainingS(job: LiveJob): number | null {
    const ageS = this.term.now - job.readySince;
    const targetS = this.startObjectives.nextTargetS(job.spec.class, ageS);
    return targetS === null ? null : targetS - ageS - COMMAND_LATENCY_S;
  }

  /** Null: a start there is too late, and only those in time are wanted. */
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
      candidate,
      victims: victims.map((victim) => this.withCost(job, victim, mode)),
      delayS: imageS + (mode === 'too-late' ? LATE_PENALTY_S : 0),
      mode,
    };
  }

  /** Most machines hold nothing that may be stopped: no need to look at each task there. */
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

  private preempt(job: LiveJob, { option: option, victims }: PreemptionChoice): void {
    const { candidate } = option;
    const saves = option.mode !== 'immediate';
    const carryOut = (): boolean => this.carryOut(job, victims, saves);
    this.subsystems.preempt({ machine: option.id, borrower: job, victims, saves, carryOut });
    for (const victim of victims) release(victim, candidate.stopping);
    const stoppedIds = new Set(victims.map((victim) => victim.id));
    candidate.victims = candidate.victims.filter((victim) => !stoppedIds.has(victim.id));
  }

  /** Stops what is still there, unless the job that wanted the capacity is over or has a place by now. */
  private carryOut(
    preemptingJob: LiveJob,
    victims: readonly VictimTask[],
    saves: boolean,
  ): boolean {
    if (preemptingJob.phase !== 'active' || preemptingJob.pendingTaskCount === 0) return false;
    for (const { job, attempt } of victims) {
      // Stopping one task of a gang stops all that it runs by now: not for a task that is gone.
      if (!occupiesCapacity(attempt) || attempt.stopRequest !== null) continue;
      if (saves) this.term.stopGracefully(job, attempt);
      else this.term.stopImmediately(job, attempt);
    }
    return true;
  }
}

/**
 * Places for tasks: what is being freed already comes first, then the cheapest preemption. `zones` counts
 * the job's tasks and grows with each place.
 */
function chooseOptions(
  { spec }: LiveJob,
  options: PlacementOption[],
  tasks: number,
  zones: Map<string, number>,
): { places: PlacementOption[]; chosen: PreemptionChoice[] } {
  const chosen: PreemptionChoice[] = [];
  const places: PlacementOption[] = [];
  while (places.length < tasks) {
    let option = soonestFit(spec, options, zones);
    if (option === null) {
      const choice = cheapestChoice(spec, options, zones);
      if (choice === null) break;
      chosen.push(choice);
      ({ option: option } = choice);
    }
    allocate(spec, option);
    zones.set(option.zone, (zones.get(option.zone) ?? 0) + 1);
    places.push(option);
  }
  return { places, chosen };
}

function soonestFit(
  spec: JobSpec,
  options: PlacementOption[],
  zones: Map<string, number>,
): PlacementOption | null {
  let soonest: PlacementOption | null = null;
  for (const option of options) {
    if (!fits(spec, option) || !isZoneAllowed(spec, option.zone, zones)) continue;
    if (soonest === null || option.delayS < soonest.delayS) soonest = option;
  }
  return soonest;
}

/** The victims leave their machine, as far as the places that are still open go. */
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
  return { option: option, victims };
}
