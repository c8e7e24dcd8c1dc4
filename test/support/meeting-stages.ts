/** How far tasks have come when troubles begin, and worlds to begin with. */
import type { TaskStatus } from '../../src/wire/workers.js';
import { World, type Worker } from '../meeting-helpers.js';

export const JOB = 'wk-000001';
export const OTHER = 'wk-000002';

export const task = (worker: Worker, job = JOB, index = 0): TaskStatus =>
  worker.running(job).find((task) => task.index === index)!;

/** Machines that are known and ready. */
export async function worldWith(ids: string[], gpusMax = 100): Promise<World> {
  const world = new World(gpusMax);
  for (const id of ids) world.fleet.add(id, id.startsWith('z2') ? 'z2' : 'z1');
  await world.run(1);
  return world;
}

/** How far a task has come when the troubles begin. */
export const STAGES: [string, (world: World) => Promise<void>][] = [
  ['waiting', async () => undefined],
  ['placed, its claim not stored', async (world) => world.pass()],
  [
    'placed, and its machine asks before the claim is stored',
    async (world) => {
      world.pass();
      world.checkin(world.fleet.workers.get('a')!);
    },
  ],
  [
    'its claim is under way',
    async (world) => {
      world.pass();
      await world.flushOnceAs('hold back');
    },
  ],
  [
    'claimed, not sent',
    async (world) => {
      world.pass();
      await world.flush();
    },
  ],
  [
    'sent, not seen',
    async (world) => {
      world.pass();
      await world.flush();
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
      world.checkin(worker);
    },
  ],
];
