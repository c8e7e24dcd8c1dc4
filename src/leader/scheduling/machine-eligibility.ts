/** Which machines a job may use, apart from whether it fits there. */

import type { LiveJob } from '../../jobs/live-job.js';
import type { JobSpec } from '../../jobs/types.js';
import { freeShare, type FreeCapacity } from '../../scheduler/bin-packing.js';
import type { ActiveSubsystems } from '../../subsystems/active-subsystems.js';
import type { Machine } from '../../workers/machine.js';
import { ClaimLimit } from './claim-limit.js';
import { freeMachines, type FreeCapacityIndex } from '../capacity/free-capacity.js';
import type { GangReservations } from './gang-reservations.js';
import type { MachineFilter } from './cycle-context.js';
import type { Term } from '../term/term.js';

/** A machine that has sent no heartbeat for so many intervals gets nothing new. */
const MAX_HEARTBEAT_AGE_INTERVALS = 2.5;
const ANY_MACHINE: MachineFilter = () => true;

/** Whether anything new may go to a machine now. */
export function acceptsNewWork(term: Term, machine: Machine): boolean {
  const { now } = term;
  const { report_s } = term.context.settings.workers;
  return (
    machine.state === 'ready' &&
    machine.reclaimedAt === null &&
    !machine.condition.quarantined &&
    machine.drainingSince === null &&
    // Not by answers to direct commands: a worker that reaches no controller gives those too, while
    // its lease expires.
    now - machine.heartbeatAt < report_s * MAX_HEARTBEAT_AGE_INTERVALS &&
    now >= machine.condition.cordonedUntil
  );
}

/** What a `MachineEligibility` works with. */
export interface EligibilityOptions {
  term: Term;
  freeCapacities: FreeCapacityIndex;
  reservations: GangReservations;
  /** Whether work leaves as soon as it is told to, so that others need not wait for it. */
  stopsQuickly: (spec: JobSpec) => boolean;
  /** Whether no spot machine of a type is to be had anywhere at present. */
  isSpotShort: (type: string) => boolean;
  /** Free capacity that is kept on spot or ordinary machines, in machines. */
  warmTarget: (spot: boolean) => number;
  subsystems: ActiveSubsystems;
}

/** Keeps reserved machines, records that are full and the warm capacity from jobs, pass by pass. */
export class MachineEligibility {
  /** Free capacity beyond what is kept warm, on ordinary and on spot machines; in machines. */
  private readonly excessByKind = new Map<boolean, number>();
  /** Answers of `spotShort` within a scheduling cycle. */
  private readonly spotShortageByType = new Map<string, boolean>();

  private readonly claimLimit: ClaimLimit;

  constructor(private readonly options: EligibilityOptions) {
    this.claimLimit = new ClaimLimit(options.term);
  }

  /** A scheduling cycle begins with this free capacity. */
  beginCycle(capacities: FreeCapacity[]): void {
    this.claimLimit.beginCycle();
    for (const spot of [false, true]) {
      this.excessByKind.set(spot, freeMachines(capacities, spot) - this.options.warmTarget(spot));
    }
    this.spotShortageByType.clear();
  }

  /** Counts what was taken of a machine of which so much was free before. */
  noteAllocated(capacity: FreeCapacity, freeShareBefore: number): void {
    const excess = this.excessByKind.get(capacity.spot)!;
    this.excessByKind.set(capacity.spot, excess + freeShare(capacity) - freeShareBefore);
  }

  /** A claim was added to a machine. */
  noteClaimed(machine: Machine): void {
    this.claimLimit.noteClaimed(machine);
  }

  /** The machines a job may use, whatever is held for long work. */
  filterFor(job: LiveJob): MachineFilter {
    const { reservations, subsystems } = this.options;
    const leavesWarmReserve = this.warmReserveFilter(job);
    return (capacity) =>
      !reservations.isReservedFrom(job, capacity.id) &&
      this.claimLimit.allows(job, capacity) &&
      leavesWarmReserve(capacity) &&
      (!subsystems.hasAny || subsystems.mayUse(job.spec, capacity));
  }

  /**
   * Best-effort work goes to spot machines while they can be had. Of ordinary ones it gets what
   * others leave over on machines that stay anyway: a hole costs nothing, an empty machine that
   * could be given back does. The capacity that is kept warm is left alone on both kinds: gangs that
   * found it full of arrays waited until those had saved, which took longer than they may wait.
   */
  private warmReserveFilter(job: LiveJob): MachineFilter {
    if (job.spec.priority < 3 || !job.spec.spot) return ANY_MACHINE;
    const { gpus } = job.spec;
    // What leaves at once when others come may use even the capacity that is kept for them.
    const stopsQuickly = this.options.stopsQuickly(job.spec);
    return (capacity) => {
      const isBeyondReserve =
        stopsQuickly ||
        this.excessByKind.get(capacity.spot)! >= gpus / Math.max(1, capacity.total.gpus);
      if (capacity.spot) return isBeyondReserve || job.isGuaranteed;
      return (
        this.isSpotShort(capacity.type) ||
        (isBeyondReserve && this.options.freeCapacities.hasImportantWork(capacity.id))
      );
    };
  }

  private isSpotShort(type: string): boolean {
    let isShort = this.spotShortageByType.get(type);
    if (isShort === undefined) {
      isShort = this.options.isSpotShort(type);
      this.spotShortageByType.set(type, isShort);
    }
    return isShort;
  }
}
