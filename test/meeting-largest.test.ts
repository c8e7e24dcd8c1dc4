/** The largest jobs of a class start too, despite a steady stream of smaller work. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { LeaderWorld } from './support/leader-world.js';

const GANG = 'wk-000001';
/** The largest jobs have to start within this time, in seconds. */
const MAX_START_S = 240;
const TASK_RUN_S = 20;

/** Ends small tasks after their run time. */
function endSmallTasks(world: LeaderWorld, startTimes: Map<string, number>): void {
  for (const worker of world.fleet.workers.values()) {
    for (const task of worker.tasks.values()) {
      if (task.job === GANG || task.state !== 'running') continue;
      const key = `${worker.id} ${task.job}/${task.index}`;
      const at = startTimes.get(key) ?? world.now;
      startTimes.set(key, at);
      if (world.now - at >= TASK_RUN_S) worker.end(task, 'done');
    }
  }
}

test('a gang of whole machines starts during a stream of small work that fills all of them', async () => {
  const world = new LeaderWorld(100);
  for (const id of ['a', 'b', 'c', 'd']) world.fleet.add(id);
  await world.run(1);
  const startTimes = new Map<string, number>();
  for (let s = 0; s < MAX_START_S + 30 && world.fleet.running(GANG) < 2; s++) {
    // Tasks of 20 s for 60 GPUs at a time, where there are 32.
    if (s % 4 === 0) world.submitJob({ id: `wk-${1000 + s}`, tasks: 12, estimateS: TASK_RUN_S });
    if (s === 30)
      world.submitJob({ id: GANG, kind: 'gang', tasks: 2, gpus: 8, cores: 8, estimateS: 60 });
    await world.run(1);
    endSmallTasks(world, startTimes);
  }
  assert.equal(world.fleet.running(GANG), 2);
});
