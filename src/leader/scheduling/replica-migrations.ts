import type { JobSpec } from '../../jobs/types.js';
import {
  bestFit,
  isZoneAllowed,
  type FreeCapacity,
  type PlacementWeights,
} from '../../scheduler/bin-packing.js';
import type { TeamUsages } from '../../scheduler/quota.js';
import { allocate, hasRoomFor } from '../../scheduler/room.js';
import { chooseMachineToDrain, type DrainCandidate } from '../../scheduler/drain-selection.js';
import { parseTaskName } from '../../wire/workers.js';
import type { LiveJob } from '../../jobs/live-job.js';
import type { Attempt } from '../../workers/attempt.js';
import type { Machine } from '../../workers/machine.js';
import type { Term } from '../term/term.js';
import type { MachineFilter } from './cycle-context.js';

/** Share of a class's replicas that may move within `MIGRATION_WINDOW_LEASES` leases. */
const MIGRATION_SHARE = 0.12;
const MIGRATION_WINDOW_LEASES = 3;
/** A single migration is allowed even where the share is less than one replica. */
const MIN_MIGRATIONS = 1;
/** A machine is drained only if each replica has run for this many leases. */
const MIN_RUN_LEASES = 4;
/** Heartbeat intervals for which capacity on the target is reserved for a replica that moves. */
const RESERVATION_HEARTBEATS = 2;
/** The same for a single migration: the replica must not be placed on its old machine again. */
const SINGLE_RESERVATION_HEARTBEATS = 6;

/** Where a replica may be moved to. */
export interface MigrationSearch {
  capacities: FreeCapacity[];
  /** Which machines a job may use. */
  filterFor: (job: LiveJob) => MachineFilter;
  /** Whether machines are allowed on which its image may have to be fetched. */
  mayFetch: boolean;
  weights: PlacementWeights;
}

/** Which machine may be drained, and where its replicas may be moved to. */
export interface DrainSearch {
  usable: (machine: Machine) => boolean;
  /** Which machines a job may use. */
  filterFor: (job: LiveJob) => MachineFilter;
  weights: PlacementWeights;
}

/** Moves replicas, singly or to drain a machine, and reserves capacity on their targets. */
export class ReplicaMigrations {
  private readonly reservations = new Map<string, { to: string; until: number }>();
  private readonly recentMigrations: { at: number; class: string }[] = [];

  constructor(
    private readonly term: Term,
    private readonly taskCountsByZone: (job: LiveJob) => Map<string, number>,
  ) {}

  /** Places replicas that move on their reserved machines, before any other work is placed. */
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
        !hasRoomFor(job.spec, capacity) ||
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
    // These replicas cannot be placed yet: their capacity stays reserved.
    for (const [key, reservation] of this.reservations) {
      const spec = this.term.jobs.get(parseTaskName(key).job)?.spec;
      const capacity = byId.get(reservation.to);
      if (spec !== undefined && capacity !== undefined) allocate(spec, capacity);
    }
    return placed;
  }

  private drainCandidates(
    capacities: FreeCapacity[],
    { usable, filterFor }: DrainSearch,
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
        replicas: jobs.map((job) => ({
          spec: job!.spec,
          zones: this.taskCountsByZone(job!),
          mayUse: filterFor(job!),
        })),
      });
    }
    return candidates;
  }

  /**
   * Drains one machine whose replicas fit elsewhere. So few replicas of a class move within
   * `MIGRATION_WINDOW_LEASES` leases that the availability of the class is not noticeably lower.
   */
  drainMachine(capacities: FreeCapacity[], search: DrainSearch): Machine | null {
    const now = this.term.now;
    const mayMove = this.migrationBudget();
    const chosen = chooseMachineToDrain(
      this.drainCandidates(capacities, search, now),
      capacities,
      mayMove,
      search.weights,
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
   * Moves one replica to a machine with free capacity; false: there is none now, no other replica runs,
   * or too many of its class have moved. It is stopped before it starts there, since a task must not be
   * on two machines.
   */
  migrateReplica(
    attempt: Attempt,
    { capacities, filterFor, mayFetch, weights }: MigrationSearch,
  ): boolean {
    const job = this.term.jobs.get(attempt.job);
    if (job === undefined || job.spec.kind !== 'service' || attempt.stopRequest !== null)
      return false;
    const { spec } = job;
    const others = [...job.activeAttempts()].filter(
      (each) => each !== attempt && each.stopRequest === null,
    );
    // Another replica has to serve requests meanwhile.
    if (!others.some((attempt) => attempt.state === 'running')) return false;
    if (!this.migrationBudget(MIN_MIGRATIONS)([{ spec }])) return false;
    const zones = this.taskCountsByZone(job);
    const zone = this.term.machines.get(attempt.machine)?.zone;
    if (zone !== undefined) zones.set(zone, (zones.get(zone) ?? 1) - 1);
    const targets = capacities.filter(
      (capacity) => capacity.id !== attempt.machine && (mayFetch || capacity.hasImage(spec.image)),
    );
    const target = bestFit(spec, targets, { zones, mayUse: filterFor(job) }, weights);
    if (target === null) return false;
    this.startMigration(attempt, target.id, SINGLE_RESERVATION_HEARTBEATS);
    return true;
  }

  /** Reserves the target: if other work took it, the replica would have to fetch its image elsewhere. */
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
    this.term.stopAttempt(attempt, 0, 'migrated');
  }

  private replicasByClass(): Map<string, number> {
    const replicas = new Map<string, number>();
    for (const job of this.term.jobs.values()) {
      const count = replicas.get(job.spec.class) ?? 0;
      if (job.spec.kind === 'service') replicas.set(job.spec.class, count + job.activeAttemptCount);
    }
    return replicas;
  }

  /** Minimum time between two single migrations of a class, in seconds. */
  minGapS(jobClass: string): number {
    const windowS = this.term.context.settings.workers.lease_s * MIGRATION_WINDOW_LEASES;
    const share = (this.replicasByClass().get(jobClass) ?? 0) * MIGRATION_SHARE;
    return windowS / Math.max(MIN_MIGRATIONS, Math.floor(share));
  }

  /** Whether these replicas may move too: within the window, `minMoves` or `MIGRATION_SHARE` of each class may. */
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
