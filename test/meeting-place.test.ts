/** Meetings of troubles around one machine and one leader: commands, claims, quota and zones. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { World } from './meeting-helpers.js';

const JOB = 'wk-000001';

test('smoke', async () => {
  const w = new World();
  w.fleet.add('a');
  w.fleet.add('b');
  w.job({ tasks: 3 });
  await w.run(3);
  assert.equal(w.fleet.running(JOB), 3);
  w.takeOver();
  await w.run(3);
  assert.equal(w.fleet.running(JOB), 3);
  assert.equal(w.fleet.starts.get(`${JOB}/0`), 1);
  assert.deepEqual(w.fleet.broken, []);
});
