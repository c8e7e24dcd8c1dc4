import { test } from 'node:test';
import { LendingWorld, POINTS } from './lending-helpers.js';
for (const point of POINTS) {
  test(point, async () => {
    const w = new LendingWorld();
    await w.playTo(point);
    await w.settle();
    console.log(point, w.states(), w.batch.work.get('wk-000001')!.doneAt, w.store.commits);
  });
}
