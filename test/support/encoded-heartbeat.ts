/** Encodes heartbeats as workers do. */
import type { Heartbeat, TaskStatus } from '../../src/wire/workers.js';

const STATES: Record<TaskStatus['state'], string> = {
  fetching: 'pulling',
  waiting: 'gathering',
  running: 'running',
  saving: 'flushing',
  ended: 'ended',
};
const CAUSES: Record<NonNullable<TaskStatus['cause']>, string> = {
  done: 'done',
  stopped: 'halted',
  peers: 'mates_gone',
  alone: 'alone',
  error: 'error',
  full: 'full',
  busy: 'in_use',
  unknown: 'no_such',
};

/** The body of `POST /checkin`. */
export const encodeHeartbeat = (heartbeat: Heartbeat): Buffer =>
  Buffer.from(
    JSON.stringify({
      bench: heartbeat.machine,
      addr: heartbeat.addr,
      casting: heartbeat.type,
      yard: heartbeat.zone,
      loaner: heartbeat.spot,
      shift: heartbeat.agentEpoch,
      tally: heartbeat.sequence,
      hallmark: heartbeat.token,
      recall_s: heartbeat.reclaimNoticeS,
      pieces: heartbeat.tasks.map((task) => ({
        piece: `${task.job}/${task.index}`,
        pour: task.attempt,
        temper: STATES[task.state],
        ...(task.cause === null ? {} : { cause: CAUSES[task.cause], saved: task.saved }),
      })),
    }),
  );
