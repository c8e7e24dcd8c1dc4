// Runs one case: starts the deployment, plays it, writes the record, ends all processes, exits with the verdict.
import path from 'node:path';
import process from 'node:process';
import { clearTimeout, setTimeout } from 'node:timers';
import { Deployment } from './deployment.mjs';
import { nowMs } from './base.mjs';

/** The rule held, it was broken, the case could not run. */
export const HELD = 0;
export const BROKEN = 1;
export const COULD_NOT_RUN = 2;

/** A script may run for 120 s; the rest is for ending its processes. */
const LIMIT_MS = 117_000;

/** `play(deployment, isTroubled)` resolves with { code, why }. */
export async function runCase(folder, options, play) {
  const isTroubled = process.env.TROUBLE !== '0';
  const deployment = new Deployment(options);
  let ended = false;
  const finish = async (code, why) => {
    if (ended) return;
    ended = true;
    clearTimeout(limit);
    const at = ((nowMs() - deployment.startedAt) / 1000).toFixed(1);
    deployment.note('verdict', { code, why });
    deployment.writeRecord(path.join(folder, 'record.txt'));
    process.stdout.write(`${code} after ${at} s: ${why}\n`);
    await deployment.close({ keepLogs: process.env.KEEP_LOGS === '1' });
    if (process.env.KEEP_LOGS === '1') process.stdout.write(`${deployment.folder}\n`);
    process.exit(code);
  };
  const limit = setTimeout(
    () => void finish(COULD_NOT_RUN, 'no verdict within the time'),
    LIMIT_MS,
  );
  for (const signal of ['SIGTERM', 'SIGINT'])
    process.on(signal, () => void finish(COULD_NOT_RUN, signal));
  try {
    deployment.note('settings', { trouble: isTroubled });
    const { code, why } = await play(deployment, isTroubled);
    const crash = deployment.checker.violations.find((text) => text.startsWith('crash'));
    if (crash !== undefined) await finish(COULD_NOT_RUN, crash);
    else await finish(code, why);
  } catch (error) {
    await finish(COULD_NOT_RUN, String(error.stack ?? error));
  }
}
