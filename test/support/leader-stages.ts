/** Stages of a task at which a fault occurs, and worlds in which tests start. */
import type { TaskStatus } from '../../src/wire/workers.js';
import { LeaderWorld } from './leader-world.js';
import type { Worker } from './simulated-fleet.js';

/** The job that most cases concern. */
export const JOB = 'wk-000001';
/** Another job. */
export const OTHER = 'wk-000002';

/** The status of a task on a worker. The task must exist. */
export const task = (worker: Worker, job = JOB, index = 0): TaskStatus =>
  worker.running(job).find((task) => task.index === index)!;

/** A world with these machines, all known and ready. */
export async function worldWith(ids: string[], gpusMax = 100): Promise<LeaderWorld> {
  const world = new LeaderWorld(gpusMax);
  for (const id of ids) world.fleet.add(id, id.startsWith('z2') ? 'z2' : 'z1');
  await world.run(1);
  return world;
}

/** Stages of a task at which a fault occurs; the function brings the task to the stage. */
export const STAGES: [string, (world: LeaderWorld) => Promise<void>][] = [
  ['waiting', async () => undefined],
  ['placed, its claim not stored', async (world) => world.runCycle()],
  [
    'placed, and its machine sends a heartbeat before the claim is stored',
    async (world) => {
      world.runCycle();
      world.exchangeHeartbeat(world.fleet.workers.get('a')!);
    },
  ],
  [
    'its claim is in flight',
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
