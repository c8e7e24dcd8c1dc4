/** How far tasks have come when troubles begin, and worlds to begin with. */
import type { TaskStatus } from '../../src/wire/workers.js';
import { LeaderWorld } from './leader-world.js';
import type { Worker } from './simulated-fleet.js';

/** The job that most cases are about. */
export const JOB = 'wk-000001';
/** Another job. */
export const OTHER = 'wk-000002';

/** The task of a worker, which must be there. */
export const task = (worker: Worker, job = JOB, index = 0): TaskStatus =>
  worker.running(job).find((task) => task.index === index)!;

/** Machines that are known and ready. */
export async function worldWith(ids: string[], gpusMax = 100): Promise<LeaderWorld> {
  const world = new LeaderWorld(gpusMax);
  for (const id of ids) world.fleet.add(id, id.startsWith('z2') ? 'z2' : 'z1');
  await world.run(1);
  return world;
}

/** How far a task has come when the troubles begin. */
export const STAGES: [string, (world: LeaderWorld) => Promise<void>][] = [
  ['waiting', async () => undefined],
  ['placed, its claim not stored', async (world) => world.runCycle()],
  [
    'placed, and its machine asks before the claim is stored',
    async (world) => {
      world.runCycle();
      world.exchangeHeartbeat(world.fleet.workers.get('a')!);
    },
  ],
  [
    'its claim is under way',
    async (world) => {
      world.runCycle();
      await world.writeOnceInMode('hold back');
    },
  ],
  [
    'claimed, not sent',
    async (world) => {
      world.runCycle();
      await world.writeAll();
    },
  ],
  [
    'sent, not seen',
    async (world) => {
      world.runCycle();
      await world.writeAll();
      world.sendDirect('a').arrive();
    },
  ],
  ['runs', (world) => world.run(1)],
  [
    'ended, not stored',
    async (world) => {
      await world.run(1);
      const worker = world.fleet.workers.get('a')!;
      worker.end(task(worker), 'done');
      world.exchangeHeartbeat(worker);
    },
  ],
];
