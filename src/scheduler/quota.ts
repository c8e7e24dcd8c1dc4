import type { Team } from '../config/settings.js';
import { within, type JobSpec, type MachineType, fits, scatterCap } from '../jobs/types.js';

export interface Usage {
  cores: number;
  gpus: number;
}

/** What teams' tasks use, counted for as long as a task may be on a machine. */
export class Usages {
  private readonly used = new Map<string, Usage>();

  constructor(private readonly teams: Map<string, Team>) {}

  of(team: string): Usage {
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
      within(u.cores + spec.cores * tasks, t.coresMax) &&
      within(u.gpus + spec.gpus * tasks, t.gpusMax)
    );
  }

  /** How many tasks its team's limit allows in addition. */
  room(spec: JobSpec): number {
    const t = this.teams.get(spec.team);
    if (t === undefined) return 0;
    const u = this.of(spec.team);
    let n = Infinity;
    if (t.coresMax > 0 && spec.cores > 0) n = Math.min(n, (t.coresMax - u.cores) / spec.cores);
    if (t.gpusMax > 0 && spec.gpus > 0) n = Math.min(n, (t.gpusMax - u.gpus) / spec.gpus);
    return Math.max(0, Math.floor(n + 1e-6));
  }

  /** Whether the team uses no more than its guarantee. A team without one has none to be within. */
  withinGuarantee(team: string): boolean {
    const t = this.teams.get(team);
    if (t === undefined || (t.cores <= 0 && t.gpus <= 0)) return false;
    const u = this.of(team);
    return within(u.cores, t.cores) && within(u.gpus, t.gpus);
  }
}

/** Why a job can never run; null: it can. */
export function neverRuns(
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
    if (scatterCap(spec.tasks) * usable < spec.tasks) return 'no zones can hold all its tasks';
  }
  const n = spec.kind === 'array' ? 1 : spec.tasks;
  if (!within(spec.cores * n, team.coresMax) || !within(spec.gpus * n, team.gpusMax)) {
    return "over the team's limit";
  }
  return null;
}
