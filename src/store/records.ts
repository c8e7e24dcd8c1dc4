import { NO_DEPENDENCIES, type JobSpec, type MachineType } from '../jobs/types.js';

/**
 * What the controllers keep in the key-value store. Keys:
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
/** Prefix of accepted jobs and cancellations. */
export const JOBS = 'ps/j/';
/** Prefix of accepted jobs that need other jobs. */
export const DEPENDENT_JOBS = 'ps/d/';
/** Prefix of what controllers' versions can do. */
export const VERSIONS = 'ps/v/';
/** Prefix of chunks of done tasks. */
export const PROGRESS = 'ps/p/';
/** Prefix of parts of done tasks, smaller than chunks. */
export const PROGRESS_PARTS = 'ps/q/';
/** Prefix of machines. */
export const MACHINES = 'ps/m/';
/** Prefix of controllers that are there. */
export const CONTROLLERS = 'ps/n/';
/** Prefix of acknowledgements of leaders. */
export const ACKNOWLEDGEMENTS = 'ps/a/';
/** The leader's key. */
export const LEADER = 'ps/l';
/** The machine types' key. */
export const MACHINE_TYPES = 'ps/t';
/** Prefix of subsystems' records. */
export const SUBSYSTEMS = 'ps/x/';

/** Key of a chunk of a job's done tasks. */
export const progressKey = (job: string, chunk: number): string => `${PROGRESS}${job}/${chunk}`;
/** Key of a part of a job's done tasks, by its first task. */
export const progressPartKey = (job: string, first: number): string =>
  `${PROGRESS_PARTS}${job}/${first}`;
/** Key of a controller's presence. */
export const controllerKey = (node: string): string => `${CONTROLLERS}${node}`;
/** Key of what a controller's version can do. */
export const versionKey = (node: string): string => `${VERSIONS}${node}`;
/** Key of a controller's acknowledgement. */
export const acknowledgementKey = (node: string): string => `${ACKNOWLEDGEMENTS}${node}`;
/** Where the records of a subsystem are. */
export const subsystemPrefix = (subsystem: string): string => `${SUBSYSTEMS}${subsystem}/`;
/** Key of a machine's record. */
export const machineKey = (id: string): string => `${MACHINES}${id}`;

export { decodeMachine, encodeMachine, type Claim, type MachineRecord } from './machine-record.js';

/** An accepted job and the time of day of its acceptance in ms. */
export interface AcceptedJob {
  spec: JobSpec;
  atMs: number;
}

/** Accepted jobs and ids of cancelled ones, stored together. */
export interface RequestBatchRecord {
  jobs: AcceptedJob[];
  cancelledIds: string[];
}

const KINDS = ['array', 'gang', 'service'] as const;

/** The stored form of a batch. */
export function encodeRequestBatch(batch: RequestBatchRecord): unknown {
  return { s: batch.jobs.map(encodeJob), c: batch.cancelledIds };
}

/** The stored form of a job: a list of its fields in a fixed order. */
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

/** The batch of a stored value. Throws on a malformed one. */
export function decodeRequestBatch(value: unknown): RequestBatchRecord {
  const stored = value as { s: unknown[][]; c: string[] };
  return { jobs: stored.s.map(decodeJob), cancelledIds: stored.c };
}

/** The job of its stored form. Throws on a malformed one. */
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

/** Done tasks of a job, or of a chunk or part of it. */
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

/** The stored form of done tasks. */
export const encodeProgress = (record: ProgressRecord): unknown => ({
  b: record.bits,
  a: Math.round(record.attainedS),
  ...(record.doneMs === undefined ? {} : { m: Math.round(record.doneMs) }),
  ...(record.tasks === undefined ? {} : { n: record.tasks }),
});

/** Done tasks of a stored value. Throws on a malformed one. */
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

/** What a controller's version can do, and its features file. */
export interface VersionRecord {
  features: string[];
  /** Missing: no features file, or a version that knows none. */
  file?: FeaturesFileRecord;
}

/** The stored form of a version. */
export const encodeVersion = ({ features, file }: VersionRecord): unknown => ({
  f: features,
  ...(file === undefined ? {} : { h: file.hash, s: file.subsystems }),
});
/** The version of a stored value. Throws on a malformed one. */
export function decodeVersion(value: unknown): VersionRecord {
  const stored = value as { f: string[]; h?: unknown; s?: unknown };
  const features = stored.f.map(String);
  if (typeof stored.h !== 'string' || !Array.isArray(stored.s)) return { features };
  return { features, file: { hash: stored.h, subsystems: stored.s.map(String) } };
}

/** Who leads: the controller, and the campaign by which it was elected. */
export interface LeaderRecord {
  node: string;
  incarnation: string;
}

/** The stored form of a leader. */
export const encodeLeader = (record: LeaderRecord): unknown => ({
  n: record.node,
  i: record.incarnation,
});
/** The leader of a stored value. Throws on a malformed one. */
export function decodeLeader(value: unknown): LeaderRecord {
  const stored = value as { n: string; i: string };
  return { node: stored.n, incarnation: stored.i };
}

/** A leader that a controller has acknowledged, and the seconds until its earlier promises end. */
export interface AcknowledgementRecord {
  token: number;
  remainsS: number;
}

/** The stored form of an acknowledgement. */
export const encodeAcknowledgement = (record: AcknowledgementRecord): unknown => ({
  t: record.token,
  r: record.remainsS,
});
/** The acknowledgement of a stored value. Throws on a malformed one. */
export function decodeAcknowledgement(value: unknown): AcknowledgementRecord {
  const stored = value as { t: number; r: number };
  return { token: stored.t, remainsS: stored.r };
}

/** The stored form of the machine types: as they are. */
export const encodeMachineTypes = (types: MachineType[]): unknown => types;
/** The machine types of a stored value. */
export const decodeMachineTypes = (value: unknown): MachineType[] => value as MachineType[];
