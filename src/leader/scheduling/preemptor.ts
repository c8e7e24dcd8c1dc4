import type { LiveJob } from '../../jobs/live-job.js';
import { fits } from '../../jobs/types.js';
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

interface OpenCandidate extends OccupiedMachine {
  candidate: PreemptionCandidate;
  delayS: number;
  /** How its victims are stopped. */
  mode: PreemptionMode;
  victims: VictimTask[];
}

/** Sets work of one priority apart from that of the next, whatever it loses. */
const PRIORITY_TIER = 1e6;
/** A start that is late for its class counts as so many seconds, whatever its wait. */
const LATE_PENALTY_S = 1e3;
/** What the greatest harm that subsystems see counts for: less than a late start. */
const MAX_HARM_S = LATE_PENALTY_S * 0.5;
/** What commands and starts take: they are sent straight, and shown by a report of the change. */
export const COMMAND_LATENCY_S = MIN_HEARTBEAT_GAP_S * 0.6;

/** Making room within one pass, by the protocol's rules on preemption. */
export class Preemptor {
  private candidates: PreemptionCandidate[] | null = null;

  constructor(
    private readonly term: Term,
    private readonly capacities: FreeCapacity[],
    private readonly usages: TeamUsages,
    private readonly startObjectives: StartLatencyObjectives,
    private readonly subsystems: ActiveSubsystems = NO_SUBSYSTEMS,
  ) {}

  /** What stopping a task costs. Lesser work first; within it what loses least. */
  private withCost(borrower: LiveJob, victim: VictimTask, how: PreemptionMode): VictimTask {
    const { job } = victim;
    const saves = job.spec.checkpointS > 0 && how !== 'immediate';
    const lossS = (saves ? victim.saveS : victim.unsavedS) * (job.isGang ? job.spec.tasks : 1);
    const harmS =
      this.subsystems.preemptionHarm(borrower, victim, how !== 'immediate') * MAX_HARM_S;
    return { ...victim, lossS: lossS + harmS + (3 - job.spec.priority) * PRIORITY_TIER };
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
   * Makes room where that is allowed, and takes it out of the rooms, so that nothing that ranks lower
   * takes it while it is being made. Returns the tasks for which none could be made.
   */
  makeCapacity(
    job: LiveJob,
    tasks: number,
    zones: Map<string, number>,
    mayUse: (capacity: FreeCapacity) => boolean,
    /** Only where the tasks start in time. */
    inTime = false,
  ): number {
    this.candidates ??= this.capacities.map((capacity) =>
      preemptionCandidate(this.term, capacity, this.subsystems),
    );
    const spec = job.spec;
    const from = spec.priority - (job.isGuaranteed ? 1 : 0);
    const ageS = this.term.now - job.readySince;
    const within = this.startObjectives.nextTargetS(spec.class, ageS);
    const leftS = within === null ? null : within - ageS - COMMAND_LATENCY_S;
    const open: OpenCandidate[] = [];
    for (const candidate of this.candidates) {
      const { capacity, stopping } = candidate;
      if (!isAllowedOn(spec, capacity) || !mayUse(capacity)) continue;
      const { id, type, zone, spot } = capacity;
      // Most machines hold nothing that may be stopped: no need to look at each task there.
      const may =
        candidate.lowestPriority > from
          ? candidate.victims.filter((victim) => this.mayPreempt(job, victim.job))
          : [];
      const imageS =
        capacity.imageDelayS(spec.image, spec.imageGb) * this.term.fetchTimes.safetyFactor;
      const saveS = may.reduce((most, victim) => Math.max(most, victim.saveS), 0);
      const mode = preemptionMode(leftS, saveS, imageS + candidate.stoppingS);
      if (inTime && mode === 'too-late') continue;
      const victims = may.map((victim) => this.withCost(job, victim, mode));
      const delayS = imageS + (mode === 'too-late' ? LATE_PENALTY_S : 0);
      const cores = capacity.cores + stopping.cores;
      const gpus = capacity.gpus + stopping.gpus;
      const memGb = capacity.memGb + stopping.memGb;
      if (victims.length === 0 && !fits(spec, { cores, gpus, memGb })) continue;
      open.push({ id, type, zone, spot, cores, gpus, memGb, candidate, victims, delayS, mode });
    }
    const chosen: { candidate: OpenCandidate; victims: VictimTask[] }[] = [];
    const got: OpenCandidate[] = [];
    while (got.length < tasks) {
      // Room that is being made already comes first.
      let candidate: OpenCandidate | undefined;
      for (const chosenCandidate of open) {
        if (!fits(spec, chosenCandidate) || !isZoneAllowed(spec, chosenCandidate.zone, zones))
          continue;
        if (candidate === undefined || chosenCandidate.delayS < candidate.delayS)
          candidate = chosenCandidate;
      }
      if (candidate === undefined) {
        const plan = cheapestPreemption(spec, open, zones);
        if (plan === null) break;
        candidate = open.find((candidate) => candidate.id === plan.machine)!;
        const victims = plan.victims as VictimTask[];
        chosen.push({ candidate, victims });
        for (const victim of victims) {
          release(victim, candidate);
          candidate.victims.splice(candidate.victims.indexOf(victim), 1);
        }
      }
      allocate(spec, candidate);
      zones.set(candidate.zone, (zones.get(candidate.zone) ?? 0) + 1);
      got.push(candidate);
    }
    const { log } = this.term.context;
    if (log.isLevelEnabled('debug')) {
      const stopped = chosen.flatMap((choice) => choice.victims.map((victim) => victim.id));
      const how = [...new Set(got.map((candidate) => candidate.mode))];
      const { id, class: cls } = spec;
      log.debug(
        { job: id, class: cls, tasks, got: got.length, stopped, how, inTime, ageS },
        'preemption planned',
      );
    }
    // A gang gains nothing from room for some of its tasks.
    if (job.isGang && got.length < tasks) return tasks;
    for (const { candidate, victims } of chosen) {
      const saves = candidate.mode !== 'immediate';
      const carryOut = (): boolean => this.carryOut(job, victims, saves);
      this.subsystems.preempt({ machine: candidate.id, borrower: job, victims, saves, carryOut });
      for (const victim of victims) release(victim, candidate.candidate.stopping);
      const gone = new Set(victims.map((victim) => victim.id));
      candidate.candidate.victims = candidate.candidate.victims.filter(
        (victim) => !gone.has(victim.id),
      );
    }
    // A gang of several was once passed over for a minute and more: as soon as one of its places was
    // free, lesser work took it, while the others were still being made.
    for (const candidate of got) allocate(spec, candidate.candidate.capacity);
    return tasks - got.length;
  }

  /** Stops what is still there, unless the job that wanted the room is over or has a place by now. */
  private carryOut(borrower: LiveJob, victims: readonly VictimTask[], saves: boolean): boolean {
    if (borrower.phase !== 'active' || borrower.pendingTaskCount === 0) return false;
    for (const { job, attempt } of victims) {
      // Stopping one task of a gang stops all that it runs by now: not for a task that is gone.
      if (!occupiesCapacity(attempt) || attempt.stopRequest !== null) continue;
      if (saves) this.term.stopGracefully(job, attempt);
      else this.term.stopImmediately(job, attempt);
    }
    return true;
  }
}
