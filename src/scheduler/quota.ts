import type { Team } from '../config/settings.js';
import {
  isWithinLimit,
  type JobSpec,
  type MachineType,
  fits,
  maxTasksPerZone,
} from '../jobs/types.js';

export interface ResourceUsage {
  cores: number;
  gpus: number;
}

/** What teams' tasks use, counted for as long as a task may be on a machine. */
export class TeamUsages {
  private readonly used = new Map<string, ResourceUsage>();

  constructor(private readonly teams: Map<string, Team>) {}

  of(team: string): ResourceUsage {
    let u = this.used.get(team);
    if (u === undefined) {
      u = { cores: 0, gpus: 0 };
      this.used.set(team, u);
    }
    return u;
  }

  add(spec: JobSpec, tasks: number): void {
    const u = this.of(spec.team);
    u.cores += spec.cores * tasks;
    u.gpus += spec.gpus * tasks;
  }

  allows(spec: JobSpec, tasks: number): boolean {
    const t = this.teams.get(spec.team);
    if (t === undefined) return false;
    const u = this.of(spec.team);
    return (
      isWithinLimit(u.cores + spec.cores * tasks, t.coresMax) &&
      isWithinLimit(u.gpus + spec.gpus * tasks, t.gpusMax)
    );
  }

  /** How many tasks its team's limit allows in addition. */
  remainingTasks(spec: JobSpec): number {
    const t = this.teams.get(spec.team);
    if (t === undefined) return 0;
    const u = this.of(spec.team);
    let n = Infinity;
    if (t.coresMax > 0 && spec.cores > 0) n = Math.min(n, (t.coresMax - u.cores) / spec.cores);
    if (t.gpusMax > 0 && spec.gpus > 0) n = Math.min(n, (t.gpusMax - u.gpus) / spec.gpus);
    return Math.max(0, Math.floor(n + 1e-6));
  }

  /** Whether the team uses no more than its guarantee. A team without one has none to be within. */
  isWithinGuarantee(team: string): boolean {
    const t = this.teams.get(team);
    if (t === undefined || (t.cores <= 0 && t.gpus <= 0)) return false;
    const u = this.of(team);
    return isWithinLimit(u.cores, t.cores) && isWithinLimit(u.gpus, t.gpus);
  }
}

/** Why a job can never run; null: it can. */
export function whyItNeverRuns(
  spec: JobSpec,
  teams: Map<string, Team>,
  types: MachineType[],
): string | null {
  const team = teams.get(spec.team);
  if (team === undefined) return 'unknown team';
  const allowed = types.filter(
    (type) =>
      (spec.types === null || spec.types.includes(type.name)) &&
      (spec.zone === null || type.zones.includes(spec.zone)),
  );
  const fitting = allowed.filter((type) => fits(spec, type));
  if (fitting.length === 0) return 'fits no allowed machine type';
  if (spec.kind === 'gang' && spec.scatter) {
    const zones = new Set(fitting.flatMap((type) => type.zones));
    const usable = spec.zone !== null || spec.oneZone ? 1 : zones.size;
    if (maxTasksPerZone(spec.tasks) * usable < spec.tasks) return 'no zones can hold all its tasks';
  }
  const n = spec.kind === 'array' ? 1 : spec.tasks;
  if (
    !isWithinLimit(spec.cores * n, team.coresMax) ||
    !isWithinLimit(spec.gpus * n, team.gpusMax)
  ) {
    return "over the team's limit";
  }
  return null;
}
