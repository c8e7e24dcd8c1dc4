// One service is submitted with a mistake: its replicas fail on every machine, twelve seconds after their start. Its user
// cancels it. The machines are sound, replicas stand on them, and they have room: a job that comes afterwards must get a
// place there.
import path from 'node:path';
import { fileURLToPath } from 'node:url';
import { wait } from '../stand-ins/base.mjs';
import { runCase } from '../stand-ins/run-case.mjs';
import { indusWith, judgeWaiting, runReplicas, used } from '../stand-ins/waiting.mjs';

/** Ordinary machines by the site file: all of them are up. */
const MACHINES = 32;
/** Of the sizes 1, 5 and 8 of the class `hint-bot`. Two machines have room for three each. */
const MISTAKEN_REPLICAS = 5;
const FAILS_AFTER_S = 12;
const bot = { guild: 'hint-bot', crew: 'results-desk', form: 'daemon', rank: 'critical' };
const botShape = { cores: 4, gpus: 1, mem_gb: 25, mould: 'bot-1', image_gb: 2, reckon_s: 0 };
const marker = { guild: 'report-marker', crew: 'chemlab-team', form: 'batch', rank: 'best_effort' };
const shape = { pieces: 1, cores: 8, gpus: 2, mem_gb: 50, mould: 'marker-1', image_gb: 2 };

async function accept(d, job, runS, failsAfterS = null) {
  const { status } = await d.submitOnce(1, job, runS, failsAfterS);
  if (status !== 201) throw new Error(`not accepted: ${status}`);
  return job;
}

async function play(d, isTroubled) {
  await d.start({ machines: MACHINES });
  // All machines are full but two, on each of which one replica stands.
  const whole = (MACHINES - 2) * 2;
  await runReplicas(d, whole);
  // So large that each needs a machine of its own.
  await runReplicas(d, 1, 5);
  await runReplicas(d, 1, 5);
  const free = [...d.workers.values()].filter((worker) => used(d, worker, 'gpus') < 8);
  d.note('machines with room', { benches: free.map((worker) => worker.id) });
  if (free.length !== 2) throw new Error(`${free.length} machines with room`);
  if (isTroubled) {
    const mistaken = d.submission({ ...bot, ...botShape, pieces: MISTAKEN_REPLICAS });
    await accept(d, mistaken, 0, FAILS_AFTER_S);
    d.note('a service was submitted with a mistake', { ref: mistaken.ref });
    await d.waitUntil('its replicas fail', () => d.errors.length >= MISTAKEN_REPLICAS, 25);
    await wait(1000);
    await d.cancel(mistaken.ref);
    await d.waitUntil('it is gone', () => d.tasksOf(mistaken.ref).length === 0);
  }
  d.note('troubles over');
  return judgeWaiting(d, await accept(d, d.submission({ ...marker, ...shape, reckon_s: 5 }), 5));
}

await runCase(path.dirname(fileURLToPath(import.meta.url)), indusWith(MACHINES), play);
