// What the cases on waiting jobs share: a full fleet, and the rule of the 90 s as the page words it.
import { nowMs, wait } from './base.mjs';
import { INDUS } from './deployment.mjs';
import { BROKEN, HELD } from './run-case.mjs';
import { isOver } from './worker.mjs';

/** No job is left waiting for so long, by the page. */
const WAIT_S = 90;

/** The deployment's figures by its page, with so many machines at the most. */
export const indusWith = (machines) => ({
  seed: 61,
  capacity: machines,
  machineType: { ...INDUS.machineType, startup_s: 25 },
  teams: [
    { name: 'chemlab-team', gpus: 80, gpus_max: 144 },
    { name: 'physlab-team', gpus: 64, gpus_max: 200 },
    { name: 'biolab-team', gpus: 120, gpus_max: 200 },
    { name: 'results-desk', gpus: 80, gpus_max: 200 },
  ],
});

const tutor = { guild: 'ustad-tutor', form: 'daemon', rank: 'critical', reckon_s: 0 };
const shape = { cores: 16, gpus: 4, mem_gb: 100, mould: 'tutor-1', image_gb: 2 };

/** A service of the class `ustad-tutor`. */
export const tutorService = (d, over) => d.submission({ ...tutor, ...shape, ...over });

/** What the tasks on a machine take. */
export const used = (d, worker, key) =>
  worker.tasks
    .filter((task) => !isOver(task))
    .reduce((sum, task) => sum + d.jobs.get(task.piece.split('/')[0]).submission[key], 0);

/** Runs replicas of four GPUs, so that two fill a machine. `gpus`: what each takes. */
export async function runReplicas(d, replicas, gpus = 4) {
  const crews = ['physlab-team', 'biolab-team', 'results-desk'];
  const services = [];
  for (let left = replicas; left > 0; left -= 2) {
    const crew = crews[services.length % crews.length];
    services.push(tutorService(d, { crew, gpus, pieces: Math.min(2, left) }));
  }
  await Promise.all(services.map((service, i) => d.submitOnce(i % 3, service, 0)));
  const running = () =>
    services.flatMap(({ ref }) => d.tasksOf(ref)).filter(({ task }) => task.temper === 'running')
      .length;
  await d.waitUntil('the replicas run', () => running() === replicas, 25);
}

/** Machines that work, report, and have room for a task of the job. */
function withRoom(d, submission) {
  return [...d.workers.values()].filter((worker) => {
    if (worker.gone || worker.sick || worker.port === 0) return false;
    return ['cores', 'gpus', 'mem_gb'].every(
      (key) => used(d, worker, key) + submission[key] <= d.machineType[key],
    );
  });
}

function teamGpus(d, crew) {
  let gpus = 0;
  for (const worker of d.workers.values())
    for (const task of worker.tasks) {
      const { submission } = d.jobs.get(task.piece.split('/')[0]);
      if (!isOver(task) && submission.crew === crew) gpus += submission.gpus;
    }
  return gpus;
}

/** Watches a job of one task from now on, the end of the troubles. Held: it runs, or has ended. */
export async function judgeWaiting(d, job) {
  let waitingSince = nowMs();
  let roomSince = new Map();
  let polledAt = 0;
  for (;;) {
    const now = nowMs();
    const isUnderLimit = teamGpus(d, job.crew) + job.gpus <= d.teams.get(job.crew).gpus_max;
    const room = withRoom(d, job);
    const place = d.tasksOf(job.ref).find(({ task }) => !isOver(task));
    if (place !== undefined || !isUnderLimit) waitingSince = now;
    roomSince = new Map(room.map((worker) => [worker.id, roomSince.get(worker.id) ?? now]));
    if (place?.task.temper === 'running' || d.results.has(`${job.ref}/0`))
      return { code: HELD, why: `${job.ref} has its place` };
    const since = Math.max(waitingSince, Math.min(now, ...roomSince.values()));
    if (now - since > WAIT_S * 1000) {
      const benches = room.map((worker) => worker.id).join(', ');
      return {
        code: BROKEN,
        why: `${job.ref} has waited for ${WAIT_S} s while ${benches} had room`,
      };
    }
    if (now - polledAt > 5000) {
      polledAt = now;
      await d.poll(2, job.ref);
      d.note('room', { benches: room.map((worker) => worker.id), isUnderLimit });
    }
    await wait(100);
  }
}
