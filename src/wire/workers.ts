import { MAX_NAME_LENGTH } from './heartbeat-scan.js';
import { BadRequestError } from './users.js';

/** Workers' heartbeats and the commands to workers. Only this module knows their field names. */

/**
 * How long a worker waits for the answer to a heartbeat, in seconds. The protocol fixes this and the minimum gap
 * below, independently of the heartbeat interval of a deployment.
 */
export const ANSWER_WAIT_S = 4;
/** Minimum time between two heartbeats when something changes, in seconds (protocol). */
export const MIN_HEARTBEAT_GAP_S = 0.5;

/** The state of a task on its machine. */
export type TaskState = 'fetching' | 'waiting' | 'running' | 'saving' | 'ended';
/** Why a task ended. */
export type ExitCause =
  'done' | 'stopped' | 'peers' | 'alone' | 'error' | 'full' | 'busy' | 'unknown';

/** The status of a task in a heartbeat. */
export interface TaskStatus {
  job: string;
  index: number;
  attempt: number;
  state: TaskState;
  cause: ExitCause | null;
  saved: boolean;
}

/** A worker's heartbeat; `reclaimNoticeS`: seconds until the cloud reclaims the machine, if it has given notice. */
export interface Heartbeat {
  machine: string;
  addr: string;
  type: string;
  zone: string;
  spot: boolean;
  agentEpoch: number;
  sequence: number;
  token: number;
  reclaimNoticeS: number | null;
  tasks: readonly Readonly<TaskStatus>[];
}

/** A command to a worker. */
export type Command =
  | { kind: 'start'; job: string; index: number; attempt: number }
  | { kind: 'stop'; job: string; index: number; attempt: number; graceS: number }
  | { kind: 'forget'; job: string; index: number; attempt: number };

const TASK_STATES: Record<string, TaskState> = {
  pulling: 'fetching',
  gathering: 'waiting',
  running: 'running',
  flushing: 'saving',
  ended: 'ended',
};
const EXIT_CAUSES: Record<string, ExitCause> = {
  done: 'done',
  halted: 'stopped',
  mates_gone: 'peers',
  alone: 'alone',
  error: 'error',
  full: 'full',
  in_use: 'busy',
  no_such: 'unknown',
};

const requireCount = (value: unknown, name: string): number => {
  if (typeof value !== 'number' || !Number.isSafeInteger(value) || value < 0)
    throw new BadRequestError(name);
  return value;
};
const requireName = (value: unknown, name: string): string => {
  if (typeof value !== 'string' || value.length === 0 || value.length > MAX_NAME_LENGTH)
    throw new BadRequestError(name);
  return value;
};

/** Parses `job/index`. Throws BadRequestError. */
export function parseTaskName(piece: string): { job: string; index: number } {
  const slash = piece.indexOf('/');
  const index = Number(piece.slice(slash + 1));
  if (slash <= 0 || !Number.isSafeInteger(index) || index < 0) throw new BadRequestError('piece');
  return { job: piece.slice(0, slash), index };
}

/** Validates a heartbeat, without valibot for speed: every machine sends one every second. Throws BadRequestError. */
export function parseHeartbeat(raw: unknown): Heartbeat {
  if (raw === null || typeof raw !== 'object') throw new BadRequestError('not an object');
  const heartbeat = raw as Record<string, unknown>;
  const tasks: TaskStatus[] = [];
  if (!Array.isArray(heartbeat.pieces)) throw new BadRequestError('pieces');
  for (const rawPiece of heartbeat.pieces as unknown[]) {
    if (rawPiece === null || typeof rawPiece !== 'object') throw new BadRequestError('pieces');
    const piece = rawPiece as Record<string, unknown>;
    const state = TASK_STATES[String(piece.temper)];
    if (state === undefined) throw new BadRequestError('temper');
    tasks.push({
      ...parseTaskName(requireName(piece.piece, 'piece')),
      attempt: requireCount(piece.pour, 'pour'),
      state,
      cause: state === 'ended' ? (EXIT_CAUSES[String(piece.cause)] ?? 'error') : null,
      saved: piece.saved === true,
    });
  }
  const notice = heartbeat.recall_s;
  if (notice !== undefined && notice !== null && (typeof notice !== 'number' || !(notice >= 0))) {
    throw new BadRequestError('recall_s');
  }
  return {
    machine: requireName(heartbeat.bench, 'bench'),
    addr: requireName(heartbeat.addr, 'addr'),
    type: requireName(heartbeat.casting, 'casting'),
    zone: requireName(heartbeat.yard, 'yard'),
    spot: heartbeat.loaner === true,
    agentEpoch: requireCount(heartbeat.shift, 'shift'),
    sequence: requireCount(heartbeat.tally, 'tally'),
    token: requireCount(heartbeat.hallmark, 'hallmark'),
    reclaimNoticeS: notice ?? null,
    tasks,
  };
}

/** Parses the body of a heartbeat. Throws BadRequestError if it is not JSON or not a heartbeat. */
export function decodeHeartbeat(body: Buffer): Heartbeat {
  let raw: unknown;
  try {
    raw = JSON.parse(body.toString('utf8'));
  } catch (error) {
    if (error instanceof SyntaxError) throw new BadRequestError(error.message);
    throw error;
  }
  return parseHeartbeat(raw);
}

const COMMAND_VERBS = { start: 'start', stop: 'kill', forget: 'reap' } as const;

function encodeCommand(command: Command): Record<string, unknown> {
  const encoded: Record<string, unknown> = {
    verb: COMMAND_VERBS[command.kind],
    piece: `${command.job}/${command.index}`,
    pour: command.attempt,
  };
  if (command.kind === 'stop') encoded.cooling_s = command.graceS;
  return encoded;
}

/** The last reply without commands: most replies have none, and most machines have the same token. */
let cachedEmptyReply = { token: 0, text: '{"hallmark":0,"orders":[]}' };

/**
 * The reply to a heartbeat: the token, and the commands in the order of their execution. If there are more than
 * `MAX_COMMANDS_PER_MESSAGE`, each is written on its own line, since no line may exceed 64 KiB (protocol).
 */
export function encodeHeartbeatReply(token: number, commands: readonly Command[]): string {
  if (commands.length > MAX_COMMANDS_PER_MESSAGE) {
    const lines = commands.map((command) => JSON.stringify(encodeCommand(command)));
    return `{"hallmark":${token},"orders":[\n${lines.join(',\n')}\n]}`;
  }
  if (commands.length > 0) {
    return JSON.stringify({ hallmark: token, orders: commands.map(encodeCommand) });
  }
  if (cachedEmptyReply.token !== token) {
    cachedEmptyReply = { token, text: `{"hallmark":${token},"orders":[]}` };
  }
  return cachedEmptyReply.text;
}

/** Body of `POST /do`. */
export const encodeDirectCommands = (
  token: number,
  agentEpoch: number,
  commands: Command[],
): string =>
  JSON.stringify({ hallmark: token, shift: agentEpoch, orders: commands.map(encodeCommand) });

/** Body of a 421 response: the controller to which the worker should switch, if known. */
export const encodeRedirect = (node: string | null): string =>
  node === null ? '{}' : JSON.stringify({ foreman: node });

/** Maximum size of a request (protocol), and the size of one task in a heartbeat. */
const REQUEST_BYTES = 64 * 1024;
const REPORTED_TASK_BYTES = 128;
/** Maximum number of tasks in a heartbeat, including ended ones. */
export const MAX_REPORTED_TASKS = Math.floor(REQUEST_BYTES / REPORTED_TASK_BYTES);

/** Maximum number of commands on one line of a message: far below the limit of 64 KiB for a line. */
export const MAX_COMMANDS_PER_MESSAGE = 400;
