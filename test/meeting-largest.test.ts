/** The largest jobs of a class begin too, whatever smaller work keeps coming. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { LeaderWorld } from './support/leader-world.js';

const GANG = 'wk-000001';
/** The largest have to begin within this time. */
const BEGIN_S = 240;
const RUN_S = 20;

/** Small tasks end after their time. */
function endSmall(world: LeaderWorld, began: Map<string, number>): void {
  for (const worker of world.fleet.workers.values()) {
    for (const task of worker.tasks.values()) {
      if (task.job === GANG || task.state !== 'running') continue;
      const key = `${worker.id} ${task.job}/${task.index}`;
      const at = began.get(key) ?? world.now;
      began.set(key, at);
      if (world.now - at >= RUN_S) worker.end(task, 'done');
    }
  }
}

test('a gang of whole machines begins beside a stream of small work that fills all of them', async () => {
  const world = new LeaderWorld(100);
  for (const id of ['a', 'b', 'c', 'd']) world.fleet.add(id);
  await world.run(1);
  const began = new Map<string, number>();
  for (let s = 0; s < BEGIN_S + 30 && world.fleet.running(GANG) < 2; s++) {
    // Tasks of 20 s for 60 GPUs at a time, where there are 32.
    if (s % 4 === 0) world.submitJob({ id: `wk-${1000 + s}`, tasks: 12, estimateS: RUN_S });
    if (s === 30)
      world.submitJob({ id: GANG, kind: 'gang', tasks: 2, gpus: 8, cores: 8, estimateS: 60 });
    await world.run(1);
    endSmall(world, began);
  }
  assert.equal(world.fleet.running(GANG), 2);
});
