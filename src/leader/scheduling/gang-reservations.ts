/** Reserves machines for a gang that has waited for a long time. */

import type { LiveJob } from '../../jobs/live-job.js';
import type { FreeCapacity } from '../../scheduler/bin-packing.js';
import type { TeamUsages } from '../../scheduler/quota.js';
import type { Room } from '../../scheduler/room.js';
import { chooseReservation, type ReservableMachine } from '../../scheduler/reservation.js';
import type { Term } from '../term/term.js';

/** A gang gets machines reserved after it has waited for this many leases. */
const RESERVE_AFTER_LEASES = 3;

interface Reservation {
  job: LiveJob;
  machines: Set<string>;
}

/**
 * Holds at most one reservation at a time. It ends when its gang has started or may not start any more, or
 * when one of its machines is no longer usable.
 */
export class GangReservations {
  private reservation: Reservation | null = null;

  constructor(
    private readonly term: Term,
    /** Room on a machine once all work but its services has ended; null: not known. */
    private readonly roomWithoutFiniteWork: (machine: string) => Room | null,
  ) {}

  /** Drops a reservation that is no longer needed, and makes one for a gang that has waited for long. */
  update(jobs: LiveJob[], capacities: FreeCapacity[], usages: TeamUsages): void {
    const starved = jobs.filter((job) => this.isStarved(job, usages));
    if (this.isStillWanted(starved, capacities)) return;
    this.reservation = null;
    if (starved.length === 0) return;
    const machines = this.reservable(capacities);
    for (const job of starved) {
      const chosen = chooseReservation(job.spec, machines);
      if (chosen === null) continue;
      this.reservation = { job, machines: chosen };
      this.term.context.log.info(
        { job: job.spec.id, machines: chosen.size },
        'gang reservation made',
      );
      return;
    }
  }

  /** Whether a machine is reserved for another job, a gang of the same or a higher priority. */
  isReservedFrom(job: LiveJob, machine: string): boolean {
    const { reservation } = this;
    if (reservation === null || reservation.job === job) return false;
    return reservation.machines.has(machine) && job.spec.priority >= reservation.job.spec.priority;
  }

  private isStillWanted(starved: LiveJob[], capacities: FreeCapacity[]): boolean {
    const { reservation } = this;
    if (reservation === null) return false;
    const reserved = capacities.filter((capacity) => reservation.machines.has(capacity.id));
    return reserved.length === reservation.machines.size && starved.includes(reservation.job);
  }

  private reservable(capacities: FreeCapacity[]): ReservableMachine[] {
    return capacities.flatMap((capacity): ReservableMachine[] => {
      const withoutFiniteWork = this.roomWithoutFiniteWork(capacity.id);
      return withoutFiniteWork === null ? [] : [{ capacity, withoutFiniteWork }];
    });
  }

  private isStarved(job: LiveJob, usages: TeamUsages): boolean {
    const { now, context } = this.term;
    if (
      !job.isGang ||
      now - job.readySince < context.settings.workers.lease_s * RESERVE_AFTER_LEASES
    ) {
      return false;
    }
    const { spec } = job;
    if (job.activeAttemptCount > 0 || job.pendingTasks(now, spec.tasks).length < spec.tasks)
      return false;
    return usages.allows(spec, spec.tasks);
  }
}
