import type { Settings } from '../config/settings.js';
import { makeLog } from '../log.js';
import { readPolicy } from '../operator/load.js';
import { limitHeapGrowth } from './heap.js';
import { steadyClock } from '../clock.js';
import type { Features } from '../features/features-file.js';
import { Controller, type ControllerOptions } from './controller.js';

/** Between two looks at the heap's growth, in milliseconds. */
const HEAP_REVIEW_MS = 500;

/**
 * Runs a controller until the process is killed. What keeps it from starting goes to `giveUp`, in one
 * line.
 */
export async function runController(
  settings: Settings,
  operatorScript: string | undefined,
  features: Features | null,
  giveUp: (message: string) => never,
): Promise<void> {
  const { policy, wrong } = await readPolicy(operatorScript);
  if (wrong !== null) giveUp(wrong);
  const log = makeLog(settings.node);
  // Whatever goes wrong in one request or one round must not end the controller.
  process.on('uncaughtException', (error) => log.error({ err: error }, 'uncaught exception'));
  process.on('unhandledRejection', (reason) => log.error({ err: reason }, 'unhandled rejection'));
  try {
    await new Controller(settings, policy, log, await controllerOptions(features)).start();
  } catch (error) {
    giveUp(`cannot listen: ${(error as Error).message}`);
  }
  const reviewHeap = limitHeapGrowth(settings.limits.mem_mb);
  const timer = setInterval(() => {
    if (reviewHeap()) clearInterval(timer);
  }, HEAP_REVIEW_MS);
}

/** Subsystems and their libraries are loaded only where a features file asks for them. */
async function controllerOptions(features: Features | null): Promise<ControllerOptions> {
  if (features === null) return {};
  const { controllerFeatures } = await import('./features.js');
  return { features: controllerFeatures(features, steadyClock) };
}
