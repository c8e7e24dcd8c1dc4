import type { JobSpec } from '../../jobs/types.js';
import { fits } from '../../jobs/types.js';
import {
  bestFit,
  allocate,
  isZoneAllowed,
  type FreeCapacity,
  type PlacementWeights,
} from '../../scheduler/bin-packing.js';
import type { TeamUsages } from '../../scheduler/quota.js';
import { chooseMachineToDrain, type DrainCandidate } from '../../scheduler/drain-selection.js';
import { parseTaskName } from '../../wire/workers.js';
import type { LiveJob } from '../../jobs/live-job.js';
import type { Attempt } from '../../workers/attempt.js';
import type { Machine } from '../../workers/machine.js';
import type { Term } from '../term/term.js';

/** Of a class's replicas, the share that may move within `MOVE_LEASES` leases. */
const MIGRATION_SHARE = 0.12;
const MIGRATION_WINDOW_LEASES = 3;
/** One that is asked for by itself may move also where the share is less than a whole replica. */
const MIN_MIGRATIONS = 1;
/** Replicas that ran for so many leases are steady enough to be moved. */
const MIN_RUN_LEASES = 4;
/** For how many heartbeat intervals a place is kept for a replica on its way. */
const RESERVATION_HEARTBEATS = 2;
/** The same for one that is moved by itself: it must not come back to where it was asked to leave. */
const SINGLE_RESERVATION_HEARTBEATS = 6;

/** Where a replica may be moved to. */
export interface MigrationSearch {
  capacities: FreeCapacity[];
  mayUse: (spec: JobSpec, capacity: FreeCapacity) => boolean;
  /** Whether its image may have to be fetched there. */
  mayFetch: boolean;
  weights: PlacementWeights;
}

/** Draining machines: which replicas move, and the places that are kept for them. */
export class ReplicaMigrations {
  private readonly reservations = new Map<string, { to: string; until: number }>();
  private readonly recentMigrations: { at: number; class: string }[] = [];

  constructor(
    private readonly term: Term,
    private readonly taskCountsByZone: (job: LiveJob) => Map<string, number>,
  ) {}

  /** Moved replicas go to the places that were found for them, before anything else is placed. */
  placeReserved(
    capacities: FreeCapacity[],
    usages: TeamUsages,
    now: number,
    claim: (job: LiveJob, index: number, capacity: FreeCapacity) => void,
  ): number {
    if (this.reservations.size === 0) return 0;
    const byId = new Map(capacities.map((capacity) => [capacity.id, capacity]));
    let placed = 0;
    for (const [key, reservation] of [...this.reservations]) {
      const { job: id, index } = parseTaskName(key);
      const job = this.term.jobs.get(id);
      const capacity = byId.get(reservation.to);
      if (job === undefined || job.phase !== 'active' || now > reservation.until) {
        this.reservations.delete(key);
        continue;
      }
      if (capacity === undefined || !job.pendingTasks(now, job.spec.tasks).includes(index))
        continue;
      if (
        !fits(job.spec, capacity) ||
        !isZoneAllowed(job.spec, capacity.zone, this.taskCountsByZone(job))
      )
        continue;
      if (!usages.allows(job.spec, 1)) continue;
      this.reservations.delete(key);
      allocate(job.spec, capacity);
      claim(job, index, capacity);
      usages.add(job.spec, 1);
      placed++;
    }
    // Not there yet: the place is held for it.
    for (const [key, reservation] of this.reservations) {
      const spec = this.term.jobs.get(parseTaskName(key).job)?.spec;
      const capacity = byId.get(reservation.to);
      if (spec !== undefined && capacity !== undefined) allocate(spec, capacity);
    }
    return placed;
  }

  private drainCandidates(
    capacities: FreeCapacity[],
    usable: (machine: Machine) => boolean,
    now: number,
  ): DrainCandidate[] {
    const { lease_s, report_s } = this.term.context.settings.workers;
    const candidates: DrainCandidate[] = [];
    for (const capacity of capacities) {
      const machine = this.term.machines.get(capacity.id);
      if (machine === undefined || capacity.spot || !usable(machine)) continue;
      const attempts = machine.activeAttempts();
      const jobs = attempts.map((attempt) => this.term.jobs.get(attempt.job));
      const isMovable = attempts.every(
        (attempt, i) =>
          jobs[i]?.spec.kind === 'service' &&
          attempt.stopRequest === null &&
          attempt.startedAt !== null &&
          now - attempt.startedAt > lease_s * MIN_RUN_LEASES,
      );
      if (!isMovable || now - machine.lastSeenAt > report_s * 1.5) continue;
      candidates.push({
        capacity,
        replicas: jobs.map((job) => ({ spec: job!.spec, zones: this.taskCountsByZone(job!) })),
      });
    }
    return candidates;
  }

  /**
   * Empties one machine whose replicas fit elsewhere. Of a class, so few move within a lease's span
   * that its time up does not show it.
   */
  drainMachine(
    capacities: FreeCapacity[],
    usable: (machine: Machine) => boolean,
    weights: PlacementWeights,
  ): Machine | null {
    const now = this.term.now;
    const mayMove = this.migrationBudget();
    const chosen = chooseMachineToDrain(
      this.drainCandidates(capacities, usable, now),
      capacities,
      mayMove,
      weights,
    );
    if (chosen === null) return null;
    const machine = this.term.machines.get(chosen.candidate.capacity.id)!;
    machine.drainingSince = now;
    machine.activeAttempts().forEach((attempt, i) => this.startMigration(attempt, chosen.to[i]!));
    this.term.context.log.info(
      { machine: machine.id, replicas: chosen.to.length },
      'drain started',
    );
    return machine;
  }
  /**
   * Moves one replica to a free place; false: there is none now, or too many of its class have moved. It is stopped before it starts there: a task must not be on two machines.
   */
  migrateReplica(
    attempt: Attempt,
    { capacities, mayUse, mayFetch, weights }: MigrationSearch,
  ): boolean {
    const job = this.term.jobs.get(attempt.job);
    if (job === undefined || job.spec.kind !== 'service' || attempt.stopRequest !== null)
      return false;
    const { spec } = job;
    const others = [...job.activeAttempts()].filter(
      (each) => each !== attempt && each.stopRequest === null,
    );
    // The others answer meanwhile.
    if (!others.some((attempt) => attempt.state === 'running')) return false;
    if (!this.migrationBudget(MIN_MIGRATIONS)([{ spec }])) return false;
    const zones = this.taskCountsByZone(job);
    const zone = this.term.machines.get(attempt.machine)?.zone;
    if (zone !== undefined) zones.set(zone, (zones.get(zone) ?? 1) - 1);
    const targets = capacities.filter(
      (capacity) => capacity.id !== attempt.machine && (mayFetch || capacity.hasImage(spec.image)),
    );
    const target = bestFit(
      spec,
      targets,
      { zones, mayUse: (capacity) => mayUse(spec, capacity) },
      weights,
    );
    if (target === null) return false;
    this.startMigration(attempt, target.id, SINGLE_RESERVATION_HEARTBEATS);
    return true;
  }

  /** Its place is kept for it: whoever else came first would cost it a fetch. */
  private startMigration(
    attempt: Attempt,
    to: string,
    reservationHeartbeats = RESERVATION_HEARTBEATS,
  ): void {
    const { now } = this.term;
    const job = this.term.jobs.get(attempt.job)!;
    this.recentMigrations.push({ at: now, class: job.spec.class });
    const until = now + this.term.context.settings.workers.report_s * reservationHeartbeats;
    this.reservations.set(`${attempt.job}/${attempt.index}`, { to, until });
    this.term.stopAttempt(attempt, 0);
  }

  private replicasByClass(): Map<string, number> {
    const replicas = new Map<string, number>();
    for (const job of this.term.jobs.values()) {
      const count = replicas.get(job.spec.class) ?? 0;
      if (job.spec.kind === 'service') replicas.set(job.spec.class, count + job.activeAttemptCount);
    }
    return replicas;
  }

  /** Seconds between two replicas of a class that are moved one by one, at least. */
  minGapS(jobClass: string): number {
    const windowS = this.term.context.settings.workers.lease_s * MIGRATION_WINDOW_LEASES;
    const share = (this.replicasByClass().get(jobClass) ?? 0) * MIGRATION_SHARE;
    return windowS / Math.max(MIN_MIGRATIONS, Math.floor(share));
  }

  /** Whether so many more replicas may move: of a class, a small share within some leases. */
  private migrationBudget(minMoves = 0): (replicasToMove: { spec: JobSpec }[]) => boolean {
    const { now } = this.term;
    const { lease_s } = this.term.context.settings.workers;
    while (
      this.recentMigrations.length > 0 &&
      now - this.recentMigrations[0]!.at > lease_s * MIGRATION_WINDOW_LEASES
    ) {
      this.recentMigrations.shift();
    }
    const replicas = this.replicasByClass();
    return (replicasToMove) => {
      const counts = new Map<string, number>();
      for (const replica of replicasToMove)
        counts.set(replica.spec.class, (counts.get(replica.spec.class) ?? 0) + 1);
      return [...counts].every(([jobClass, count]) => {
        const moved = this.recentMigrations.filter(
          (migration) => migration.class === jobClass,
        ).length;
        return moved + count <= Math.max(minMoves, (replicas.get(jobClass) ?? 0) * MIGRATION_SHARE);
      });
    };
  }
}
