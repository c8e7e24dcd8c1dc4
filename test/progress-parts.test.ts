/** Progress of large arrays under limits that are smaller than those by which it was divided. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { BitSet } from '../src/jobs/bit-set.js';
import { outcome } from '../src/store/stored-job.js';
import * as records from '../src/store/records.js';
import { World } from './meeting-helpers.js';

const JOB = 'wk-000001';
const TASKS = 20_000;
const NEXT_KB = 2;

/** The store has an array whose first tasks an old version has stored as done. */
function world(doneBefore: number): World {
  const w = new World();
  w.settings.state.value_kb = NEXT_KB;
  w.job({ id: JOB, tasks: TASKS, cores: 0, gpus: 0, memGb: 0 });
  const bits = new BitSet(TASKS);
  for (let i = 0; i < doneBefore; i++) bits.add(i);
  const chunk = records.encodeProgress({ bits: bits.encode(), attainedS: 1 });
  w.store.put(records.progressKey(JOB, 0), chunk);
  w.takeOver();
  return w;
}

function finish(w: World, from: number, to: number): void {
  const job = w.term.jobs.get(JOB)!;
  for (let i = from; i < to; i++) job.markDone(i, w.now);
  w.fleet.now += 2;
}

async function flushAll(w: World): Promise<void> {
  for (let i = 0; i < 10; i++) {
    w.fleet.now += 2;
    await w.flush();
  }
}

test('an array that an old version began is finished in parts that fit, across a change of leader', async () => {
  const w = world(9000);
  assert.equal(w.term.jobs.get(JOB)!.done.count, 9000);
  finish(w, 8000, 15_000);
  await flushAll(w);
  assert.equal(w.replica.jobs.get(JOB)!.doneTasks, 15_000);
  w.takeOver();
  assert.equal(w.term.jobs.get(JOB)!.done.count, 15_000, 'the next leader has all of it');
  assert.equal(outcome(w.replica.jobs.get(JOB)!), 'open');
  finish(w, 15_000, TASKS);
  await flushAll(w);
  assert.equal(outcome(w.replica.jobs.get(JOB)!), 'done');
  const listed = w.store.listed().jobs.get(JOB)!;
  assert.deepEqual([outcome(listed), listed.doneAt], ['done', w.replica.jobs.get(JOB)!.doneAt]);
  const before = records.progressKey(JOB, 0);
  for (const key of w.store.keys()) {
    const bytes = JSON.stringify(w.store.value(key)).length;
    if (key !== before) assert.ok(bytes <= NEXT_KB * 1024, `${key}: ${bytes} bytes`);
  }
});

test('as long as an old controller is there, progress is written as that one reads it', async () => {
  const w = world(100);
  let everyoneNew = false;
  w.term.deps.denseRecords = () => everyoneNew;
  w.term.jobs.clear();
  w.term.addJob(w.replica.jobs.get(JOB)!);
  finish(w, 100, 7000);
  await flushAll(w);
  const parts = (): string[] => w.store.keys().filter((k) => k.startsWith(records.PROGRESS_PARTS));
  assert.deepEqual(parts(), []);
  // The last one is replaced within the term; what is not stored yet goes into parts.
  finish(w, 7000, TASKS);
  everyoneNew = true;
  w.leader.tick();
  await flushAll(w);
  assert.ok(parts().length > 1);
  assert.equal(outcome(w.replica.jobs.get(JOB)!), 'done');
});
