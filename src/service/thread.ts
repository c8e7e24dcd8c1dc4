import { Worker, type ResourceLimits } from 'node:worker_threads';
import type { Settings } from '../config/settings.js';

/** Of a process's memory, what its heap may take. The rest is for code, sockets and buffers. */
const OLD_SHARE = 0.4;
/** For what is new: the more, the seldomer it has to be looked through. */
const YOUNG_SHARE = 0.08;

/**
 * The heap by what the settings allow. One that is set by the command line is the same for a fleet of
 * sixty machines and one of eight hundred: the leader of the larger collected garbage without end and
 * then ended, and so did its successors.
 */
export const heapLimits = (memMb: number): ResourceLimits => ({
  maxOldGenerationSizeMb: Math.max(1, Math.floor(memMb * OLD_SHARE)),
  maxYoungGenerationSizeMb: Math.max(1, Math.floor(memMb * YOUNG_SHARE)),
});

/** What a controller's thread is given. */
export interface ControllerData {
  settings: Settings;
  operatorScript: string | undefined;
}

/**
 * Runs the controller in a thread of its own, the only kind whose heap can be sized once the settings
 * are known. The process ends with it.
 */
export function runController(data: ControllerData, giveUp: (message: string) => void): void {
  const thread = new Worker(new URL('../controller.js', import.meta.url), {
    workerData: data,
    resourceLimits: heapLimits(data.settings.limits.mem_mb),
  });
  thread.on('message', (message) => giveUp(String(message)));
  thread.on('error', (e) => giveUp(`controller ended: ${e.message}`));
  thread.on('exit', (code) => process.exit(code === 0 ? 1 : code));
}
