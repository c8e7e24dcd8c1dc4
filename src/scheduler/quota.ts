import type { Team } from '../config/settings.js';
import {
  isWithinLimit,
  type JobSpec,
  type MachineType,
  fits,
  maxTasksPerZone,
} from '../jobs/types.js';

/** CPUs and GPUs in use. */
export interface ResourceUsage {
  cores: number;
  gpus: number;
}

/** Resources used by teams. A task counts for as long as it may be on a machine. */
export class TeamUsages {
  private readonly used = new Map<string, ResourceUsage>();

  constructor(private readonly teams: Map<string, Team>) {}

  /** Resources used by a team. */
  of(team: string): ResourceUsage {
    let usage = this.used.get(team);
    if (usage === undefined) {
      usage = { cores: 0, gpus: 0 };
      this.used.set(team, usage);
    }
    return usage;
  }

  /** Adds tasks of a job. */
  add(spec: JobSpec, tasks: number): void {
    const usage = this.of(spec.team);
    usage.cores += spec.cores * tasks;
    usage.gpus += spec.gpus * tasks;
  }

  /** Whether its team's limit allows this many more tasks of a job. */
  allows(spec: JobSpec, tasks: number): boolean {
    const team = this.teams.get(spec.team);
    if (team === undefined) return false;
    const usage = this.of(spec.team);
    return (
      isWithinLimit(usage.cores + spec.cores * tasks, team.coresMax) &&
      isWithinLimit(usage.gpus + spec.gpus * tasks, team.gpusMax)
    );
  }

  /** How many more tasks of a job its team's limit allows. */
  remainingTasks(spec: JobSpec): number {
    const team = this.teams.get(spec.team);
    if (team === undefined) return 0;
    const usage = this.of(spec.team);
    let tasks = Infinity;
    if (team.coresMax > 0 && spec.cores > 0)
      tasks = Math.min(tasks, (team.coresMax - usage.cores) / spec.cores);
    if (team.gpusMax > 0 && spec.gpus > 0)
      tasks = Math.min(tasks, (team.gpusMax - usage.gpus) / spec.gpus);
    return Math.max(0, Math.floor(tasks + 1e-6));
  }

  /** Whether the team uses no more than its guarantee; false for a team without one. */
  isWithinGuarantee(team: string): boolean {
    const guarantee = this.teams.get(team);
    if (guarantee === undefined || (guarantee.cores <= 0 && guarantee.gpus <= 0)) return false;
    const usage = this.of(team);
    return isWithinLimit(usage.cores, guarantee.cores) && isWithinLimit(usage.gpus, guarantee.gpus);
  }
}

/** The reason why a job can never run; null: it can. */
export function unsatisfiableReason(
  spec: JobSpec,
  teams: Map<string, Team>,
  types: MachineType[],
): string | null {
  const team = teams.get(spec.team);
  if (team === undefined) return 'unknown team';
  const allowedTypes = types.filter(
    (type) =>
      (spec.types === null || spec.types.includes(type.name)) &&
      (spec.zone === null || type.zones.includes(spec.zone)),
  );
  const fittingTypes = allowedTypes.filter((type) => fits(spec, type));
  if (fittingTypes.length === 0) return 'fits no allowed machine type';
  if (spec.kind === 'gang' && spec.scatter) {
    const zones = new Set(fittingTypes.flatMap((type) => type.zones));
    const usableZones = spec.zone !== null || spec.oneZone ? 1 : zones.size;
    if (maxTasksPerZone(spec.tasks) * usableZones < spec.tasks)
      return 'no zones can hold all its tasks';
  }
  const tasksAtOnce = spec.kind === 'array' ? 1 : spec.tasks;
  if (
    !isWithinLimit(spec.cores * tasksAtOnce, team.coresMax) ||
    !isWithinLimit(spec.gpus * tasksAtOnce, team.gpusMax)
  ) {
    return "over the team's limit";
  }
  return null;
}
