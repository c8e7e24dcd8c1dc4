import * as v from 'valibot';
import { NO_DEPENDENCIES, type JobKind, type JobSpec, type Priority } from '../jobs/types.js';

/** Messages of the users' API. Only this module knows their field names. */

/** How long users wait for the response to a submission or a cancellation, in seconds (protocol). */
export const SUBMIT_WAIT_S = 5;

/** A malformed message. The error message names the field and what was expected. */
export class BadRequestError extends Error {}

const KINDS: Record<string, JobKind> = { batch: 'array', group: 'gang', daemon: 'service' };
const PRIORITIES: Record<string, Priority> = { critical: 0, high: 1, standard: 2, best_effort: 3 };

const JOB_ID_PATTERN = /^wk-\d{1,18}$/;
/** Whether a string has the format of a job id. */
export const validId = (id: string): boolean => JOB_ID_PATTERN.test(id);

const nonNegative = v.pipe(v.number(), v.finite(), v.minValue(0));
const shortText = v.pipe(v.string(), v.minLength(1), v.maxLength(200));
const boolean = v.boolean();

const submissionSchema = v.object({
  ref: v.pipe(v.string(), v.regex(JOB_ID_PATTERN)),
  guild: shortText,
  crew: shortText,
  form: v.picklist(['batch', 'group', 'daemon']),
  rank: v.picklist(['critical', 'high', 'standard', 'best_effort']),
  pieces: v.pipe(v.number(), v.integer(), v.minValue(1), v.maxValue(100_000)),
  cores: nonNegative,
  gpus: nonNegative,
  mem_gb: nonNegative,
  mould: shortText,
  image_gb: nonNegative,
  castings: v.nullish(v.pipe(v.array(shortText), v.maxLength(100)), null),
  yard: v.nullish(shortText, null),
  one_zone: boolean,
  scatter: boolean,
  loaner: boolean,
  reckon_s: nonNegative,
  stamp_s: nonNegative,
  stamping_s: nonNegative,
  due_s: v.nullish(nonNegative, null),
  awaits: v.nullish(v.array(v.pipe(v.string(), v.regex(JOB_ID_PATTERN))), null),
});

/** Parses the body of a submission. Throws BadRequestError. */
export function parseSubmission(body: Buffer): JobSpec {
  const raw = parseObject(body);
  const result = v.safeParse(submissionSchema, raw);
  if (!result.success) {
    const issue = result.issues[0];
    throw new BadRequestError(`${v.getDotPath(issue) ?? 'body'}: ${issue.message}`);
  }
  const output = result.output;
  return {
    id: output.ref,
    class: output.guild,
    team: output.crew,
    kind: KINDS[output.form]!,
    priority: PRIORITIES[output.rank]!,
    tasks: output.pieces,
    cores: output.cores,
    gpus: output.gpus,
    memGb: output.mem_gb,
    image: output.mould,
    imageGb: output.image_gb,
    types: output.castings,
    zone: output.yard,
    oneZone: output.one_zone,
    scatter: output.scatter,
    spot: output.loaner,
    estimateS: output.reckon_s,
    checkpointS: output.stamp_s,
    saveS: output.stamping_s,
    deadlineS: output.due_s,
    dependencies:
      output.awaits === null || output.awaits.length === 0
        ? NO_DEPENDENCIES
        : [...new Set(output.awaits)],
  };
}

/** Whether a submission may have dependencies. False means that it certainly has none. */
export const mayHaveDependencies = (body: Buffer): boolean =>
  body.includes('"awaits"') || body.includes('\\u');

/** Parses a body that is a JSON object. Throws BadRequestError. */
export function parseObject(body: Buffer): Record<string, unknown> {
  let raw: unknown;
  try {
    raw = JSON.parse(body.toString('utf8'));
  } catch {
    throw new BadRequestError('not JSON');
  }
  if (raw === null || typeof raw !== 'object' || Array.isArray(raw)) {
    throw new BadRequestError('not an object');
  }
  return raw as Record<string, unknown>;
}

/** The state of a job as reported to users. */
export type UserFacingJobState = 'queued' | 'running' | 'done' | 'cancelled';

/** Body of the response to a submission or cancellation. */
export const encodeAccepted = (id: string, state: UserFacingJobState): string =>
  JSON.stringify({ ref: id, temper: state });

/** Body of the response to a poll; `done` and `running` are numbers of tasks. */
export const encodeStatus = (
  id: string,
  state: UserFacingJobState,
  done: number,
  running: number,
): string => JSON.stringify({ ref: id, temper: state, done, running });

/** Body of an error response. */
export const encodeError = (error: string): string => JSON.stringify({ error });

/** The endpoint of a request. */
export type UserRoute =
  | { to: 'submit' }
  | { to: 'poll'; id: string }
  | { to: 'cancel'; id: string }
  | { to: 'ready' }
  | { to: 'checkin' }
  | { to: 'metrics' }
  | { to: 'subsystem'; name: string }
  | { to: 'wrong-method' }
  | { to: 'nowhere' };

/** The route, if the request has the method that the route requires. */
const allow = (ok: boolean, route: UserRoute): UserRoute => (ok ? route : { to: 'wrong-method' });

/** Routes a request. Workers' heartbeats arrive at the same address as users' requests. */
export function route(method: string, target: string): UserRoute {
  const query = target.indexOf('?');
  const path = query < 0 ? target : target.slice(0, query);
  if (path === '/checkin') return allow(method === 'POST', { to: 'checkin' });
  if (path === '/ready') return allow(method === 'GET', { to: 'ready' });
  if (path === '/submissions') return allow(method === 'POST', { to: 'submit' });
  if (path === '/metrics') return allow(method === 'GET', { to: 'metrics' });
  const subsystem = /^\/subsystems\/([a-z-]+)$/.exec(path)?.[1];
  if (subsystem !== undefined) {
    return allow(method === 'GET', { to: 'subsystem', name: subsystem });
  }
  const match = /^\/submissions\/([^/]+)(\/withdraw)?$/.exec(path);
  if (match !== null) {
    const id = match[1]!;
    return match[2] === undefined
      ? allow(method === 'GET', { to: 'poll', id })
      : allow(method === 'POST', { to: 'cancel', id });
  }
  return { to: 'nowhere' };
}
