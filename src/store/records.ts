import { NO_DEPENDENCIES, type JobSpec, type MachineType } from '../jobs/types.js';

/**
 * Records that the controllers store in the key-value store. Keys:
 *
 *   ps/j/<incarnation>-<n>   a batch of accepted jobs and cancellations; immutable
 *   ps/d/<incarnation>-<n>   a batch of accepted jobs that depend on other jobs; immutable
 *   ps/v/<node>              features of the version that a controller runs or ran last
 *   ps/p/<job>/<chunk>       which tasks of a chunk are done; immutable once all are
 *   ps/q/<job>/<first task>  the same for part of a chunk, where a chunk exceeds the size limit of a value
 *   ps/m/<machine>           a machine, its owner and the attempts that may be on it
 *   ps/l                     the leader, attached to its lease; its revision is the fencing token
 *   ps/n/<node>              a live controller, attached to a lease of its own
 *   ps/a/<node>              the latest leader that a controller has acknowledged through the store
 *   ps/t                     the machine types, used while the cloud does not answer
 *   ps/x/<subsystem>/...     records of a subsystem, in a format of its own
 *
 * Versions before pipelines ignore ps/d/ and ps/v/, so they can never start a job that depends on others.
 * docs/upgrade.md describes how older versions treat each record.
 *
 * Events are ordered by revision: if a job is both done and cancelled, the one with the lower revision counts.
 */
export const ROOT = 'ps/';
/** Prefix of accepted jobs and cancellations. */
export const JOBS = 'ps/j/';
/** Prefix of accepted jobs that depend on other jobs. */
export const DEPENDENT_JOBS = 'ps/d/';
/** Prefix of the features of controllers' versions. */
export const VERSIONS = 'ps/v/';
/** Prefix of chunks of done tasks. */
export const PROGRESS = 'ps/p/';
/** Prefix of progress parts, which are smaller than chunks. */
export const PROGRESS_PARTS = 'ps/q/';
/** Prefix of machines. */
export const MACHINES = 'ps/m/';
/** Prefix of live controllers. */
export const CONTROLLERS = 'ps/n/';
/** Prefix of acknowledgements of leaders. */
export const ACKNOWLEDGEMENTS = 'ps/a/';
/** Key of the leader. */
export const LEADER = 'ps/l';
/** Key of the machine types. */
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
/** Key of the features of a controller's version. */
export const versionKey = (node: string): string => `${VERSIONS}${node}`;
/** Key of a controller's acknowledgement. */
export const acknowledgementKey = (node: string): string => `${ACKNOWLEDGEMENTS}${node}`;
/** Prefix of the records of one subsystem. */
export const subsystemPrefix = (subsystem: string): string => `${SUBSYSTEMS}${subsystem}/`;
/** Key of a machine's record. */
export const machineKey = (id: string): string => `${MACHINES}${id}`;

export { decodeMachine, encodeMachine, type Claim, type MachineRecord } from './machine-record.js';

/** An accepted job and the time of its acceptance, in ms since the epoch. */
export interface AcceptedJob {
  spec: JobSpec;
  acceptedAtMs: number;
}

/** Accepted jobs and ids of cancelled jobs, stored in one record. */
export interface RequestBatchRecord {
  jobs: AcceptedJob[];
  cancelledIds: string[];
}

const KINDS = ['array', 'gang', 'service'] as const;

/** Encodes a batch for the store. */
export function encodeRequestBatch(batch: RequestBatchRecord): unknown {
  return { s: batch.jobs.map(encodeJob), c: batch.cancelledIds };
}

/** Encodes a job for the store: an array of its fields in a fixed order. */
export function encodeJob({ spec, acceptedAtMs }: AcceptedJob): unknown[] {
  const flags = (spec.oneZone ? 1 : 0) | (spec.scatter ? 2 : 0) | (spec.spot ? 4 : 0);
  return [
    spec.id, spec.class, spec.team, KINDS.indexOf(spec.kind), spec.priority, spec.tasks, spec.cores, spec.gpus, spec.memGb,
    spec.image, spec.imageGb, spec.types, spec.zone, flags, spec.estimateS, spec.checkpointS, spec.saveS, spec.deadlineS,
    acceptedAtMs,
    // Appended only if there are any, so that other jobs are stored exactly as by versions without dependencies.
    ...(spec.dependencies.length === 0 ? [] : [spec.dependencies]),
  ]; // prettier-ignore
}

/** Decodes a stored batch. Throws on a malformed value. */
export function decodeRequestBatch(value: unknown): RequestBatchRecord {
  const stored = value as { s: unknown[][]; c: string[] };
  return { jobs: stored.s.map(decodeJob), cancelledIds: stored.c };
}

/** Decodes a stored job. Throws on a malformed value. */
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
    acceptedAtMs: stored[18] as number,
  };
}

/** Done tasks of a chunk of a job, or of a part of a chunk. */
export interface ProgressRecord {
  /** Bit set of the done tasks in base64; null if all are done. */
  bits: string | null;
  /** Total run time of the tasks in seconds, including failed attempts. */
  attainedS: number;
  /** Time in ms since the epoch at which the record with all tasks done was written. Older versions omit it. */
  doneMs?: number;
  /** Number of tasks in a part; omitted in chunks. */
  tasks?: number;
}

/** Encodes done tasks for the store. */
export const encodeProgress = (record: ProgressRecord): unknown => ({
  b: record.bits,
  a: Math.round(record.attainedS),
  ...(record.doneMs === undefined ? {} : { m: Math.round(record.doneMs) }),
  ...(record.tasks === undefined ? {} : { n: record.tasks }),
});

/** Decodes stored done tasks. Throws on a malformed value. */
export function decodeProgress(value: unknown): ProgressRecord {
  const stored = value as { b: string | null; a?: number; m?: number; n?: number };
  const doneMs = typeof stored.m === 'number' ? { doneMs: stored.m } : {};
  const tasks = typeof stored.n === 'number' ? { tasks: stored.n } : {};
  return { bits: stored.b, attainedS: stored.a ?? 0, ...doneMs, ...tasks };
}

/** The features file of a controller: its hash and the subsystems that it enables. */
export interface FeaturesFileRecord {
  hash: string;
  subsystems: string[];
}

/** The features of a controller's version, and its features file. */
export interface VersionRecord {
  features: string[];
  /** Missing if there is no features file or the version does not support one. */
  file?: FeaturesFileRecord;
}

/** Encodes a version for the store. */
export const encodeVersion = ({ features, file }: VersionRecord): unknown => ({
  f: features,
  ...(file === undefined ? {} : { h: file.hash, s: file.subsystems }),
});
/** Decodes a stored version. Throws on a malformed value. */
export function decodeVersion(value: unknown): VersionRecord {
  const stored = value as { f: string[]; h?: unknown; s?: unknown };
  const features = stored.f.map(String);
  if (typeof stored.h !== 'string' || !Array.isArray(stored.s)) return { features };
  return { features, file: { hash: stored.h, subsystems: stored.s.map(String) } };
}

/** The leading controller; `incarnation` identifies the campaign in which it was elected. */
export interface LeaderRecord {
  node: string;
  incarnation: string;
}

/** Encodes a leader for the store. */
export const encodeLeader = (record: LeaderRecord): unknown => ({
  n: record.node,
  i: record.incarnation,
});
/** Decodes a stored leader. Throws on a malformed value. */
export function decodeLeader(value: unknown): LeaderRecord {
  const stored = value as { n: string; i: string };
  return { node: stored.n, incarnation: stored.i };
}

/** A leader that a controller has acknowledged, and the seconds until its earlier promises end. */
export interface AcknowledgementRecord {
  token: number;
  remainsS: number;
}

/** Encodes an acknowledgement for the store. */
export const encodeAcknowledgement = (record: AcknowledgementRecord): unknown => ({
  t: record.token,
  r: record.remainsS,
});
/** Decodes a stored acknowledgement. Throws on a malformed value. */
export function decodeAcknowledgement(value: unknown): AcknowledgementRecord {
  const stored = value as { t: number; r: number };
  return { token: stored.t, remainsS: stored.r };
}

/** Encodes the machine types for the store: they are stored unchanged. */
export const encodeMachineTypes = (types: MachineType[]): unknown => types;
/** Decodes stored machine types. */
export const decodeMachineTypes = (value: unknown): MachineType[] => value as MachineType[];
