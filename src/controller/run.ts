import type { Settings } from '../config/settings.js';
import { makeLog } from '../log.js';
import { readPolicy } from '../operator/load.js';
import { limitHeapGrowth } from './heap.js';
import { steadyClock } from '../clock.js';
import type { Features } from '../features/features-file.js';
import { Controller, type ControllerOptions } from './controller.js';

/** Interval at which the heap's growth is checked. */
const HEAP_REVIEW_INTERVAL_MS = 500;

/**
 * Runs a controller until the process is killed. If it cannot start, the reason goes to `exitWithError`, in
 * one line.
 */
export async function runController(
  settings: Settings,
  operatorScript: string | undefined,
  features: Features | null,
  exitWithError: (message: string) => never,
): Promise<void> {
  const { policy, problem } = await readPolicy(operatorScript);
  if (problem !== null) exitWithError(problem);
  const log = makeLog(settings.node);
  // An error in a single request or background task must not end the controller.
  process.on('uncaughtException', (error) => log.error({ err: error }, 'uncaught exception'));
  process.on('unhandledRejection', (reason) => log.error({ err: reason }, 'unhandled rejection'));
  try {
    await new Controller(settings, policy, log, await controllerOptions(features)).start();
  } catch (error) {
    exitWithError(`cannot listen: ${(error as Error).message}`);
  }
  const limitNewSpace = limitHeapGrowth(settings.limits.mem_mb);
  const timer = setInterval(() => {
    if (limitNewSpace()) clearInterval(timer);
  }, HEAP_REVIEW_INTERVAL_MS);
}

/** Loads the subsystems and their libraries only if there is a features file. */
async function controllerOptions(features: Features | null): Promise<ControllerOptions> {
  if (features === null) return {};
  const { controllerFeatures } = await import('./features.js');
  return { features: controllerFeatures(features, steadyClock) };
}
