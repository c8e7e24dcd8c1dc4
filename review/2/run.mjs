// One machine fails every task that it starts, for some seconds, while a replica stands on it. The jobs that failed
// there must get a place once it works again.
import path from 'node:path';
import { fileURLToPath } from 'node:url';
import { wait } from '../stand-ins/base.mjs';
import { runCase } from '../stand-ins/run-case.mjs';
import { indusWith, judgeWaiting, runReplicas, used } from '../stand-ins/waiting.mjs';

/** Ordinary machines by the site file: all of them are up. */
const MACHINES = 32;
const marker = { guild: 'report-marker', crew: 'chemlab-team', form: 'batch', rank: 'best_effort' };
const shape = { pieces: 1, cores: 8, gpus: 2, mem_gb: 50, mould: 'marker-1', image_gb: 2 };

async function play(d, isTroubled) {
  await d.start({ machines: MACHINES });
  // All machines are full but one, on which one replica stands.
  await runReplicas(d, MACHINES * 2 - 1);
  const free = [...d.workers.values()].filter((worker) => used(d, worker, 'gpus') < 8);
  if (free.length !== 1) throw new Error(`${free.length} machines with room`);
  const [machine] = free;
  machine.sick = isTroubled;
  d.note('a machine fails every task that it starts', { bench: machine.id, isTroubled });
  const jobs = [5, 5].map((reckon_s) => d.submission({ ...marker, ...shape, reckon_s }));
  for (const job of jobs) {
    const { status } = await d.submitOnce(1, job);
    if (status !== 201) throw new Error(`not accepted: ${status}`);
  }
  const hasFailed = ({ ref }) => d.errors.some(({ piece }) => piece === `${ref}/0`);
  if (isTroubled) {
    await d.waitUntil('both jobs have failed there', () => jobs.every(hasFailed), 20);
    // Until the failures have been reported.
    await wait(1000);
  }
  machine.sick = false;
  d.note('troubles over');
  return judgeWaiting(d, jobs[0]);
}

await runCase(path.dirname(fileURLToPath(import.meta.url)), indusWith(MACHINES), play);
