/** Progress of large job arrays after the size limit of stored values was reduced. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { BitSet } from '../src/jobs/bit-set.js';
import { outcome } from '../src/store/stored-job.js';
import * as records from '../src/store/records.js';
import { LeaderWorld } from './support/leader-world.js';

const JOB = 'wk-000001';
const TASKS = 20_000;
const REDUCED_VALUE_KB = 2;

/** The store has a job array whose first tasks were stored as done by an old version. */
function worldWith(doneBefore: number): LeaderWorld {
  const world = new LeaderWorld();
  world.settings.state.value_kb = REDUCED_VALUE_KB;
  world.submitJob({ id: JOB, tasks: TASKS, cores: 0, gpus: 0, memGb: 0 });
  const bits = new BitSet(TASKS);
  for (let i = 0; i < doneBefore; i++) bits.add(i);
  const chunk = records.encodeProgress({ bits: bits.encode(), attainedS: 1 });
  world.store.put(records.progressKey(JOB, 0), chunk);
  world.failOver();
  return world;
}

function finishTasks(world: LeaderWorld, from: number, to: number): void {
  const job = world.term.jobs.get(JOB)!;
  for (let i = from; i < to; i++) job.markDone(i, world.now);
  world.fleet.now += 2;
}

async function writeAllProgress(world: LeaderWorld): Promise<void> {
  for (let i = 0; i < 10; i++) {
    world.fleet.now += 2;
    await world.writeAll();
  }
}

test('a job array begun by an old version is finished in parts within the limit, across a change of leader', async () => {
  const world = worldWith(9000);
  assert.equal(world.term.jobs.get(JOB)!.done.count, 9000);
  finishTasks(world, 8000, 15_000);
  await writeAllProgress(world);
  assert.equal(world.replica.jobs.get(JOB)!.doneTasks, 15_000);
  world.failOver();
  assert.equal(world.term.jobs.get(JOB)!.done.count, 15_000, 'the next leader has all of it');
  assert.equal(outcome(world.replica.jobs.get(JOB)!), 'open');
  finishTasks(world, 15_000, TASKS);
  await writeAllProgress(world);
  assert.equal(outcome(world.replica.jobs.get(JOB)!), 'done');
  const listed = world.store.listedReplica().jobs.get(JOB)!;
  assert.deepEqual(
    [outcome(listed), listed.doneRevision],
    ['done', world.replica.jobs.get(JOB)!.doneRevision],
  );
  const before = records.progressKey(JOB, 0);
  for (const key of world.store.keys()) {
    const bytes = JSON.stringify(world.store.value(key)).length;
    if (key !== before) assert.ok(bytes <= REDUCED_VALUE_KB * 1024, `${key}: ${bytes} bytes`);
  }
});

test('while an old controller is present, progress is written in the form that it reads', async () => {
  const world = worldWith(100);
  let everyoneNew = false;
  world.term.context.allReadDenseRecords = () => everyoneNew;
  world.term.jobs.clear();
  world.term.addJob(world.replica.jobs.get(JOB)!);
  finishTasks(world, 100, 7000);
  await writeAllProgress(world);
  const parts = (): string[] =>
    world.store.keys().filter((k) => k.startsWith(records.PROGRESS_PARTS));
  assert.deepEqual(parts(), []);
  // The last old controller is replaced within the term; progress that is not stored yet is written in parts.
  finishTasks(world, 7000, TASKS);
  everyoneNew = true;
  world.leader.tick();
  await writeAllProgress(world);
  assert.ok(parts().length > 1);
  assert.equal(outcome(world.replica.jobs.get(JOB)!), 'done');
});
