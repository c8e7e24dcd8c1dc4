/** The tasks of an array run independently, those of a gang together, those of a service without an end. */
export type JobKind = 'array' | 'gang' | 'service';

/** 0 is the most important. */
export type Priority = 0 | 1 | 2 | 3;

/** What the user asked for. It never changes once the job is accepted. */
export interface JobSpec {
  id: string;
  class: string;
  team: string;
  kind: JobKind;
  priority: Priority;
  tasks: number;
  cores: number;
  gpus: number;
  memGb: number;
  image: string;
  imageGb: number;
  /** Allowed machine types; null: any. */
  types: string[] | null;
  /** The only allowed zone; null: any. */
  zone: string | null;
  oneZone: boolean;
  scatter: boolean;
  spot: boolean;
  estimateS: number;
  checkpointS: number;
  saveS: number;
  deadlineS: number | null;
  /** Ids of the jobs that must be done before any task of this one starts, without duplicates. */
  dependencies: readonly string[];
}

/** The dependencies of most jobs: none. One shared instance, since there are very many such jobs. */
export const NO_DEPENDENCIES: readonly string[] = Object.freeze([]);

/**
 * A machine type as the cloud offers it. It is stored in this form: its property names are part of the stored
 * format.
 */
export interface MachineType {
  name: string;
  cores: number;
  gpus: number;
  memGb: number;
  cacheGb: number;
  fetchGbPerS: number;
  price: number;
  spotPrice: number;
  bootS: number;
  zones: string[];
}

/** CPUs, GPUs and memory in GB. */
export interface Resources {
  cores: number;
  gpus: number;
  memGb: number;
}

/** Amounts are decimal fractions, and sums of them carry rounding errors, which must not decide. */
const ROUNDING_SLACK = 1e-6;

/** Whether a task fits into the free resources. */
export function fits(task: Resources, room: Resources): boolean {
  return (
    task.cores <= room.cores + ROUNDING_SLACK &&
    task.gpus <= room.gpus + ROUNDING_SLACK &&
    task.memGb <= room.memGb + ROUNDING_SLACK
  );
}

/** Whether a sum is within a limit; a limit of 0 means no limit. */
export const isWithinLimit = (used: number, limit: number): boolean =>
  limit <= 0 || used <= limit + ROUNDING_SLACK;

/** At most half of a scattered job's tasks, rounded up, may be in one zone. */
export const maxTasksPerZone = (tasks: number): number => Math.ceil(tasks / 2);
