import { NO_DEPENDENCIES, type JobSpec, type MachineType } from '../jobs/types.js';

/**
 * What the controllers keep in the state service. Keys:
 *
 *   ps/j/<incarnation>-<n>   accepted jobs and cancellations, a batch each; never changed again
 *   ps/d/<incarnation>-<n>   accepted jobs that need other jobs, likewise
 *   ps/v/<node>              what the version that a controller runs, or has run last, can do
 *   ps/p/<job>/<chunk>       which tasks are done; never changed again once all are
 *   ps/q/<job>/<first task> the same of fewer tasks, where a chunk is larger than a value may be
 *   ps/m/<machine>           a machine, its owner and the attempts that may be on it
 *   ps/l                     the leader, attached to its lease; its revision is the token
 *   ps/n/<node>              a controller that is there, attached to a lease of its own
 *   ps/a/<node>              the latest leader that a controller has acknowledged by way of the store
 *   ps/t                     the machine types, for times when the cloud does not answer
 *   ps/x/<subsystem>/...     what a subsystem keeps; its form is the subsystem's own
 *
 * Versions before pipelines ignore ps/d/ and ps/v/: a job that needs others can never be started by one
 * of them. docs/upgrade.md says of each record what older versions do with it.
 *
 * Order in time is the order of revisions: of "done" and "cancelled" the older one counts.
 */
export const ROOT = 'ps/';
export const JOBS = 'ps/j/';
export const DEPENDENT_JOBS = 'ps/d/';
export const VERSIONS = 'ps/v/';
export const PROGRESS = 'ps/p/';
export const PROGRESS_PARTS = 'ps/q/';
export const MACHINES = 'ps/m/';
export const CONTROLLERS = 'ps/n/';
export const ACKNOWLEDGEMENTS = 'ps/a/';
export const LEADER = 'ps/l';
export const MACHINE_TYPES = 'ps/t';
export const SUBSYSTEMS = 'ps/x/';

export const progressKey = (job: string, chunk: number): string => `${PROGRESS}${job}/${chunk}`;
export const progressPartKey = (job: string, first: number): string =>
  `${PROGRESS_PARTS}${job}/${first}`;
export const controllerKey = (node: string): string => `${CONTROLLERS}${node}`;
export const versionKey = (node: string): string => `${VERSIONS}${node}`;
export const acknowledgementKey = (node: string): string => `${ACKNOWLEDGEMENTS}${node}`;
/** Where the records of a subsystem are. */
export const subsystemPrefix = (subsystem: string): string => `${SUBSYSTEMS}${subsystem}/`;
export const machineKey = (id: string): string => `${MACHINES}${id}`;

export { decodeMachine, encodeMachine, type Claim, type MachineRecord } from './machine-record.js';

/** An accepted job and the time of day of its acceptance in ms. */
export interface AcceptedJob {
  spec: JobSpec;
  atMs: number;
}

export interface RequestBatchRecord {
  jobs: AcceptedJob[];
  cancelledIds: string[];
}

const KINDS = ['array', 'gang', 'service'] as const;

export function encodeRequestBatch(batch: RequestBatchRecord): unknown {
  return { s: batch.jobs.map(encodeJob), c: batch.cancelledIds };
}

export function encodeJob({ spec: spec, atMs }: AcceptedJob): unknown[] {
  const flags = (spec.oneZone ? 1 : 0) | (spec.scatter ? 2 : 0) | (spec.spot ? 4 : 0);
  return [
    spec.id, spec.class, spec.team, KINDS.indexOf(spec.kind), spec.priority, spec.tasks, spec.cores, spec.gpus, spec.memGb,
    spec.image, spec.imageGb, spec.types, spec.zone, flags, spec.estimateS, spec.checkpointS, spec.saveS, spec.deadlineS,
    atMs,
    // Appended only where there are any: all other jobs are stored as by versions that do not know it.
    ...(spec.dependencies.length === 0 ? [] : [spec.dependencies]),
  ]; // prettier-ignore
}

export function decodeRequestBatch(value: unknown): RequestBatchRecord {
  const stored = value as { s: unknown[][]; c: string[] };
  return { jobs: stored.s.map(decodeJob), cancelledIds: stored.c };
}

export function decodeJob(stored: unknown[]): AcceptedJob {
  const flags = stored[13] as number;
  return {
    spec: {
      id: stored[0] as string,
      class: stored[1] as string,
      team: stored[2] as string,
      kind: KINDS[stored[3] as number]!,
      priority: stored[4] as JobSpec['priority'],
      tasks: stored[5] as number,
      cores: stored[6] as number,
      gpus: stored[7] as number,
      memGb: stored[8] as number,
      image: stored[9] as string,
      imageGb: stored[10] as number,
      types: stored[11] as string[] | null,
      zone: stored[12] as string | null,
      oneZone: (flags & 1) !== 0,
      scatter: (flags & 2) !== 0,
      spot: (flags & 4) !== 0,
      estimateS: stored[14] as number,
      checkpointS: stored[15] as number,
      saveS: stored[16] as number,
      deadlineS: stored[17] as number | null,
      dependencies: (stored[19] as string[] | undefined) ?? NO_DEPENDENCIES,
    },
    atMs: stored[18] as number,
  };
}

export interface ProgressRecord {
  /** Bits of the done tasks in base64; null: all. */
  bits: string | null;
  /** Seconds of run time that the tasks have had, failed runs included. */
  attainedS: number;
  /** Time of day in ms at which it was written, once all are done. Older versions leave it out. */
  doneMs?: number;
  /** Tasks that a part is of; chunks leave it out. */
  tasks?: number;
}

export const encodeProgress = (record: ProgressRecord): unknown => ({
  b: record.bits,
  a: Math.round(record.attainedS),
  ...(record.doneMs === undefined ? {} : { m: Math.round(record.doneMs) }),
  ...(record.tasks === undefined ? {} : { n: record.tasks }),
});

export function decodeProgress(value: unknown): ProgressRecord {
  const stored = value as { b: string | null; a?: number; m?: number; n?: number };
  const doneMs = typeof stored.m === 'number' ? { doneMs: stored.m } : {};
  const tasks = typeof stored.n === 'number' ? { tasks: stored.n } : {};
  return { bits: stored.b, attainedS: stored.a ?? 0, ...doneMs, ...tasks };
}

/** The features file of a controller: which subsystems it switches on, and a hash of it. */
export interface FeaturesFileRecord {
  hash: string;
  subsystems: string[];
}

export interface VersionRecord {
  features: string[];
  /** Missing: no features file, or a version that knows none. */
  file?: FeaturesFileRecord;
}

export const encodeVersion = ({ features, file }: VersionRecord): unknown => ({
  f: features,
  ...(file === undefined ? {} : { h: file.hash, s: file.subsystems }),
});
export function decodeVersion(value: unknown): VersionRecord {
  const stored = value as { f: string[]; h?: unknown; s?: unknown };
  const features = stored.f.map(String);
  if (typeof stored.h !== 'string' || !Array.isArray(stored.s)) return { features };
  return { features, file: { hash: stored.h, subsystems: stored.s.map(String) } };
}

export interface LeaderRecord {
  node: string;
  incarnation: string;
}

export const encodeLeader = (record: LeaderRecord): unknown => ({
  n: record.node,
  i: record.incarnation,
});
export function decodeLeader(value: unknown): LeaderRecord {
  const stored = value as { n: string; i: string };
  return { node: stored.n, incarnation: stored.i };
}

export interface AcknowledgementRecord {
  token: number;
  remainsS: number;
}

export const encodeAcknowledgement = (record: AcknowledgementRecord): unknown => ({
  t: record.token,
  r: record.remainsS,
});
export function decodeAcknowledgement(value: unknown): AcknowledgementRecord {
  const stored = value as { t: number; r: number };
  return { token: stored.t, remainsS: stored.r };
}

export const encodeMachineTypes = (types: MachineType[]): unknown => types;
export const decodeMachineTypes = (value: unknown): MachineType[] => value as MachineType[];
