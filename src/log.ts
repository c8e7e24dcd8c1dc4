import { destination, pino, type Logger } from 'pino';

/** A logger of structured lines. */
export type Log = Logger;

/** Creates a logger that writes to standard error synchronously, so that no line is lost when the process ends. */
export function makeLog(node: string, level = process.env.LOG_LEVEL ?? 'info'): Log {
  const known = ['error', 'info', 'debug', 'silent'];
  return pino(
    { level: known.includes(level) ? level : 'info', base: { node } },
    destination({ dest: 2, sync: true }),
  );
}

/** A logger that writes nothing. */
export const silentLog = (): Log => pino({ level: 'silent' });
