// Three machines fail every task that they start, for some seconds. A tutor replica that failed on each of them
// must get a place once they work again.
import path from 'node:path';
import { fileURLToPath } from 'node:url';
import { runCase } from '../stand-ins/run-case.mjs';
import { indusWith, judgeWaiting, runReplicas, tutorService, used } from '../stand-ins/waiting.mjs';

const MACHINES = 64;
const SICK = 3;

async function play(d, isTroubled) {
  await d.start({ machines: MACHINES });
  // Replicas fill all machines but three.
  await runReplicas(d, (MACHINES - SICK) * 2);
  const idle = [...d.workers.values()].filter((worker) => used(d, worker, 'gpus') === 0);
  if (idle.length !== SICK) throw new Error(`${idle.length} idle machines`);
  for (const worker of idle) worker.sick = isTroubled;
  d.note('machines fail every task that they start', {
    benches: idle.map((worker) => worker.id),
    isTroubled,
  });
  const job = tutorService(d, { crew: 'chemlab-team', pieces: 1 });
  const { status } = await d.submitOnce(1, job, 0);
  if (status !== 201) throw new Error(`not accepted: ${status}`);
  const failedOn = () =>
    new Set(d.checker.starts.filter((s) => s.piece === `${job.ref}/0`).map((s) => s.bench)).size;
  if (isTroubled)
    await d.waitUntil('the replica has failed on each', () => failedOn() === SICK, 20);
  // The last failure is reported while the machines work again.
  await d.waitUntil('the last task has ended', () =>
    d.tasksOf(job.ref).every(({ task }) => !isTroubled || task.temper === 'ended'),
  );
  for (const worker of idle) worker.sick = false;
  d.note('troubles over', { failedOn: failedOn() });
  return judgeWaiting(d, job);
}

await runCase(path.dirname(fileURLToPath(import.meta.url)), indusWith(MACHINES), play);
