/** Which machines a job may use, apart from whether it fits there. */

import type { LiveJob } from '../../jobs/live-job.js';
import type { JobSpec } from '../../jobs/types.js';
import { freeShare, type FreeCapacity } from '../../scheduler/bin-packing.js';
import type { ActiveSubsystems } from '../../subsystems/active-subsystems.js';
import type { Machine } from '../../workers/machine.js';
import { ClaimSpace } from './claim-limit.js';
import { freeMachines, type FreeCapacityIndex } from '../capacity/free-capacity.js';
import type { GangReservations } from './gang-reservations.js';
import type { MayUse } from './cycle-context.js';
import type { Term } from '../term/term.js';

/** A machine that has not reported for so many intervals gets nothing new. */
const HEARD_REPORTS = 2.5;
const ANY: MayUse = () => true;

/** Whether anything new may go to a machine now. */
export function isUsable(term: Term, machine: Machine): boolean {
  const { now } = term;
  const { report_s } = term.context.settings.workers;
  return (
    machine.state === 'ready' &&
    machine.reclaimedAt === null &&
    !machine.quarantined &&
    machine.drainingSince === null &&
    // Not by answers to direct commands: a worker that reaches no controller gives those too, while
    // its lease runs out.
    now - machine.heartbeatAt < report_s * HEARD_REPORTS &&
    now >= machine.cordonedUntil
  );
}

export interface EligibilityOptions {
  term: Term;
  index: FreeCapacityIndex;
  reservations: GangReservations;
  /** Whether work leaves as soon as it is told to, so that others need not wait for it. */
  leavesSoon: (spec: JobSpec) => boolean;
  /** Whether no spot machine of a type is to be had anywhere at present. */
  spotShort: (type: string) => boolean;
  /** Free capacity that is kept on spot or ordinary machines, in machines. */
  warm: (spot: boolean) => number;
  subsystems: ActiveSubsystems;
}

/** Keeps reserved machines, records that are full and the warm capacity from jobs, pass by pass. */
export class MachineEligibility {
  /** Free capacity beyond what is kept warm, on ordinary and on spot machines; in machines. */
  private readonly excess = new Map<boolean, number>();
  /** Answers of `spotShort` within a pass. */
  private readonly shortTypes = new Map<string, boolean>();

  private readonly claimSpace: ClaimSpace;

  constructor(private readonly options: EligibilityOptions) {
    this.claimSpace = new ClaimSpace(options.term);
  }

  beginPass(rooms: FreeCapacity[]): void {
    this.claimSpace.beginPass();
    for (const spot of [false, true]) {
      this.excess.set(spot, freeMachines(rooms, spot) - this.options.warm(spot));
    }
    this.shortTypes.clear();
  }

  /** Counts what was taken of a machine of which so much was free before. */
  noteTaken(room: FreeCapacity, freeShareBefore: number): void {
    const excess = this.excess.get(room.spot)!;
    this.excess.set(room.spot, excess + freeShare(room) - freeShareBefore);
  }

  /** A claim was added to a machine. */
  noteClaimed(machine: Machine): void {
    this.claimSpace.noteClaimed(machine);
  }

  /** The machines a job may use, whatever is held for long work. */
  mayUse(job: LiveJob): MayUse {
    const { reservations, subsystems } = this.options;
    const leavesWarm = this.leavesWarm(job);
    return (room) =>
      !reservations.isReservedFrom(job, room.id) &&
      this.claimSpace.has(job, room) &&
      leavesWarm(room) &&
      (!subsystems.any || subsystems.mayUse(job.spec, room));
  }

  /**
   * Best-effort work goes to spot machines while they can be had. Of ordinary ones it gets what
   * others leave over on machines that stay anyway: a hole costs nothing, an empty machine that
   * could be given back does. The room that is kept warm is left alone on both kinds: gangs that
   * found it full of arrays waited until those had saved, which took longer than they may wait.
   */
  private leavesWarm(job: LiveJob): MayUse {
    if (job.spec.priority < 3 || !job.spec.spot) return ANY;
    const { gpus } = job.spec;
    // What leaves at once when others come may use even the room that is kept for them.
    const soft = this.options.leavesSoon(job.spec);
    return (capacity) => {
      const beyond =
        soft || this.excess.get(capacity.spot)! >= gpus / Math.max(1, capacity.whole.gpus);
      if (capacity.spot) return beyond || job.guaranteed;
      return this.noSpot(capacity.type) || (beyond && this.options.index.inUse(capacity.id));
    };
  }

  private noSpot(type: string): boolean {
    let short = this.shortTypes.get(type);
    if (short === undefined) {
      short = this.options.spotShort(type);
      this.shortTypes.set(type, short);
    }
    return short;
  }
}
