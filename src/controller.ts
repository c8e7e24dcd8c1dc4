import { isMainThread, parentPort, workerData } from 'node:worker_threads';
import { makeLog } from './log.js';
import { readPolicy } from './operator/policy.js';
import { Node } from './service/node.js';
import type { ControllerData } from './service/thread.js';

/** A controller in its thread. What keeps it from starting is told to the program. */
async function run({ settings, operatorScript }: ControllerData): Promise<void> {
  const { policy, wrong } = await readPolicy(operatorScript);
  if (wrong !== null) {
    parentPort?.postMessage(wrong);
    return;
  }
  const log = makeLog(settings.node);
  // Whatever goes wrong in one request or one round must not end the controller.
  process.on('uncaughtException', (e) => log.error({ err: String(e), stack: e.stack }, 'uncaught'));
  process.on('unhandledRejection', (e) => log.error({ err: String(e) }, 'unhandled rejection'));
  try {
    await new Node(settings, policy, log).start();
  } catch (e) {
    parentPort?.postMessage(`cannot listen: ${(e as Error).message}`);
  }
}

if (!isMainThread) await run(workerData as ControllerData);
