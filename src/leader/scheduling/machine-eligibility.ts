/** Decides which machines a job may use, apart from whether it fits there. */

import type { LiveJob } from '../../jobs/live-job.js';
import type { JobSpec } from '../../jobs/types.js';
import { isZoneAllowed, type FreeCapacity } from '../../scheduler/bin-packing.js';
import { freeShare, shareTaken } from '../../scheduler/room.js';
import type { ActiveSubsystems } from '../../subsystems/active-subsystems.js';
import type { Machine } from '../../workers/machine.js';
import { freeMachines, type FreeCapacityIndex } from '../capacity/free-capacity.js';
import type { GangReservations } from './gang-reservations.js';
import { taskCountsByZone, type MachineFilter } from './cycle-context.js';
import type { LimitOf } from './placement-limits.js';
import type { Term } from '../term/term.js';

/** A machine whose latest heartbeat is older than this many heartbeat intervals gets no new work. */
const MAX_HEARTBEAT_AGE_INTERVALS = 2.5;
const ANY_MACHINE: MachineFilter = () => true;

const withinLimits =
  (limitOf: LimitOf): MachineFilter =>
  (capacity) =>
    limitOf(capacity) === null;

/** Whether new work may be placed on a machine now. */
export const acceptsNewWork = (term: Term, machine: Machine): boolean =>
  !machine.condition.quarantined && isAvailable(term, machine);

/** Whether new work may be placed on a machine now, unless it is quarantined. */
export function isAvailable(term: Term, machine: Machine): boolean {
  const { report_s } = term.context.settings.workers;
  return (
    machine.state === 'ready' &&
    isOpenToWork(term, machine) &&
    // Answers to direct commands do not count: a worker that reaches no controller still sends them
    // while its lease expires.
    term.now - machine.lastHeartbeatAt < report_s * MAX_HEARTBEAT_AGE_INTERVALS
  );
}

/** Whether a machine is neither about to go nor kept out of use for its failures; it need not be ready. */
const isOpenToWork = (term: Term, machine: Machine): boolean =>
  machine.reclaimAt === null &&
  machine.drainingSince === null &&
  term.now >= machine.condition.cordon.until;

/**
 * Whether a machine is expected to accept new work in a moment: the term has known it, or heard of it for the first time,
 * no longer ago than `withinS`. A worker shows the token of the term only with its second heartbeat.
 */
export function isArriving(term: Term, machine: Machine, withinS: number): boolean {
  const { state, condition, knownAt, firstSeenAt } = machine;
  return (
    (state === 'unheard' || state === 'fencing' || state === 'ready') &&
    term.now - Math.max(knownAt, firstSeenAt ?? -Infinity) <= withinS &&
    !condition.quarantined &&
    isOpenToWork(term, machine)
  );
}

/** Dependencies of `MachineEligibility`. */
export interface EligibilityOptions {
  term: Term;
  freeCapacities: FreeCapacityIndex;
  reservations: GangReservations;
  /** Whether tasks stop so soon after a stop command that other work need not wait for them. */
  stopsQuickly: (spec: JobSpec) => boolean;
  /** Whether a zone has no spot machine of a type available at present. */
  isSpotShort: (type: string, zone: string) => boolean;
  /** Free capacity to keep warm on spot or ordinary machines, in machines. */
  warmTarget: (spot: boolean) => number;
  subsystems: ActiveSubsystems;
}

/** Excludes reserved machines and warm capacity, cycle by cycle. */
export class MachineEligibility {
  /** Free capacity beyond the warm target, in machines; true: on spot, false: on ordinary machines. */
  private readonly excessByKind = new Map<boolean, number>();
  /** Types of which no zone has a spot machine, cached within a scheduling cycle. */
  private readonly spotShortageByType = new Map<string, boolean>();

  constructor(private readonly options: EligibilityOptions) {}

  /** Called when a scheduling cycle begins, with its free capacity. */
  beginCycle(capacities: FreeCapacity[]): void {
    for (const spot of [false, true]) {
      this.excessByKind.set(spot, freeMachines(capacities, spot) - this.options.warmTarget(spot));
    }
    this.spotShortageByType.clear();
  }

  /** Called after an allocation on a machine that had this free share before. */
  noteAllocated(capacity: FreeCapacity, freeShareBefore: number): void {
    const excess = this.excessByKind.get(capacity.spot)!;
    this.excessByKind.set(capacity.spot, excess + freeShare(capacity) - freeShareBefore);
  }

  /** The machines that a job may use, without regard to the share reserved for long work. */
  filterFor(job: LiveJob): MachineFilter {
    return withinLimits(this.limitsFor(job));
  }

  /**
   * The machines on whose free capacity scale-out may count for a job that has found no place. As `filterFor`, except that
   * the warm reserve on spot machines counts too, while the cloud has such machines: what is used of it is added again.
   */
  scaleOutFilterFor(job: LiveJob): MachineFilter {
    const leavesWarmReserve = this.warmReserveFilter(job);
    const isSpotShort = this.spotShortageFor(job);
    const isRefilled: MachineFilter = ({ spot, type }) => spot && !isSpotShort(type);
    return withinLimits(
      this.limits(job, (capacity) => leavesWarmReserve(capacity) || isRefilled(capacity)),
    );
  }

  /** The limit that keeps a job from a machine, of those that `filterFor` asks for. */
  limitsFor(job: LiveJob): LimitOf {
    return this.limits(job, this.warmReserveFilter(job));
  }

  private limits(job: LiveJob, leavesWarmReserve: MachineFilter): LimitOf {
    const { reservations, subsystems } = this.options;
    return (capacity) => {
      if (reservations.isReservedFrom(job, capacity.id)) return 'gang_reservation';
      if (!leavesWarmReserve(capacity)) return 'warm_reserve';
      const mayUse = !subsystems.hasAny || subsystems.mayUse(job.spec, capacity);
      return mayUse ? null : 'subsystem';
    };
  }

  /**
   * Best-effort work goes to spot machines while these are available. Meanwhile it gets, on ordinary machines,
   * only the gaps on those that other work needs anyway: a gap costs nothing, but an empty machine could
   * be returned. Warm capacity of both kinds stays free: gangs that found it full of array tasks waited
   * until those had saved, which took longer than a gang may wait.
   */
  private warmReserveFilter(job: LiveJob): MachineFilter {
    if (job.spec.priority < 3 || !job.spec.spot) return ANY_MACHINE;
    // Tasks that stop quickly may use warm capacity too, since other work need not wait for them.
    const stopsQuickly = this.options.stopsQuickly(job.spec);
    const isSpotShort = this.spotShortageFor(job);
    return (capacity) => {
      const isBeyondReserve =
        stopsQuickly ||
        this.excessByKind.get(capacity.spot)! >= shareTaken(job.spec, capacity.total);
      if (capacity.spot) return isBeyondReserve || job.isGuaranteed;
      return (
        isSpotShort(capacity.type) ||
        (isBeyondReserve && this.options.freeCapacities.hasImportantWork(capacity.id))
      );
    };
  }

  /** Whether the cloud has no spot machine of a type at present in any zone that the job may use now. */
  private spotShortageFor(job: LiveJob): (type: string) => boolean {
    const { spec } = job;
    const isBoundToZones = spec.zone !== null || spec.oneZone || spec.scatter;
    const shortages = isBoundToZones ? new Map<string, boolean>() : this.spotShortageByType;
    return (type) => {
      let isShort = shortages.get(type);
      if (isShort === undefined) {
        isShort = this.isSpotShort(type, job);
        shortages.set(type, isShort);
      }
      return isShort;
    };
  }

  private isSpotShort(typeName: string, job: LiveJob): boolean {
    const { term, isSpotShort } = this.options;
    const type = term.machineTypes.get(typeName);
    if (type === undefined || type.spotPrice <= 0) return true;
    const mayUse = this.zoneFilter(job);
    return type.zones.every((zone) => !mayUse(zone) || isSpotShort(typeName, zone));
  }

  private zoneFilter(job: LiveJob): (zone: string) => boolean {
    const { spec } = job;
    const tasksByZone = taskCountsByZone(this.options.term, job);
    return (zone) =>
      (spec.zone === null || spec.zone === zone) && isZoneAllowed(spec, zone, tasksByZone);
  }
}
