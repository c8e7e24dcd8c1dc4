/** Once troubles are over no job is left waiting while a machine that fits has room. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { World } from './meeting-helpers.js';
import * as records from '../src/store/records.js';

const JOB = 'wk-000001';
const OTHER = 'wk-000002';
/** Longer than a job may be left waiting. */
const PATIENCE_S = 90;

/** A job is placed on a known machine and stored; its start is still to be sent. */
async function place(w: World, over: Parameters<World['job']>[0]): Promise<void> {
  await w.run(1);
  w.job(over);
  w.pass();
  await w.flush();
}

test('a direct start that never arrived keeps its task from nothing once it was told to stop', async () => {
  // The machine was cut off for less than a lease; its connection was reset with the start on it.
  const cases: [string, Parameters<World['job']>[0]][] = [
    ['array', { id: JOB }],
    ['gang', { id: JOB, kind: 'gang', tasks: 2 }],
  ];
  for (const [name, over] of cases) {
    const w = new World();
    w.fleet.add('a');
    await place(w, over);
    w.sendDirect('a').unanswered();
    assert.equal(w.fleet.running(JOB), 0, name);
    const job = w.term.jobs.get(JOB)!;
    w.term.stopTask(job, [...job.holding()][0]!);
    w.fleet.add('b');
    await w.run(PATIENCE_S);
    assert.equal(w.fleet.running(JOB), job.spec.tasks, name);
    assert.deepEqual(w.fleet.broken, [], name);
  }
});

test('a direct start that never arrived takes nothing of its team once its job is cancelled', async () => {
  const w = new World(1);
  w.fleet.add('a');
  await place(w, { id: JOB });
  w.sendDirect('a').unanswered();
  w.cancel(JOB);
  w.job({ id: OTHER });
  await w.run(PATIENCE_S);
  assert.equal(w.fleet.running(OTHER), 1);
  assert.deepEqual(w.fleet.broken, []);
});

test('a task whose start was unanswered comes back, whatever the machine where it ended', async () => {
  const cases: [string, Parameters<World['job']>[0]][] = [
    ['array', { id: JOB }],
    ['gang', { id: JOB, kind: 'gang', tasks: 2 }],
  ];
  for (const [name, over] of cases) {
    const w = new World();
    const a = w.fleet.add('a');
    await place(w, over);
    const command = w.sendDirect('a');
    command.unanswered();
    command.arrive();
    assert.ok(a.running(JOB).length > 0, name);
    await w.run(1);
    const job = w.term.jobs.get(JOB)!;
    assert.equal(w.fleet.running(JOB), job.spec.tasks, name);
    // Preempted, say. There is room on another machine, but its image is here.
    w.fleet.add('b');
    w.term.stopTask(job, [...job.holding()][0]!);
    await w.run(PATIENCE_S);
    assert.equal(w.fleet.running(JOB), job.spec.tasks, name);
    assert.deepEqual(w.fleet.broken, [], name);
  }
});

test('a machine that is being returned when the leader ends is returned by the next', async () => {
  const w = new World();
  const a = w.fleet.add('a');
  w.job({ id: JOB });
  await w.run(2);
  a.end(a.running(JOB)[0]!, 'done');
  await w.run(PATIENCE_S);
  w.machine('a').changeState('returning');
  w.term.dirtyMachines.add('a');
  await w.flush();
  const record = w.store.value(records.machineKey('a'));
  assert.ok(records.decodeMachine(record).returning);
  w.takeOver();
  await w.run(2);
  assert.deepEqual(w.parts.capacity.toReturn(), ['a']);
});

test('a service that ran well is not doubted because replicas failed on a few faulty machines', async () => {
  const w = new World();
  const ids = ['a', 'b', 'c', 'd', 'e'];
  for (const id of ids) w.fleet.add(id);
  w.job({ id: JOB, kind: 'service', tasks: 5, gpus: 8, cores: 8 });
  await w.run(5);
  assert.equal(w.fleet.running(JOB), 5);
  await w.run(w.settings.workers.lease_s * 10);
  for (const id of ['a', 'b', 'c']) {
    const worker = w.fleet.workers.get(id)!;
    worker.end(worker.running(JOB)[0]!, 'error');
  }
  await w.run(PATIENCE_S);
  assert.equal(w.fleet.running(JOB), 5);
});

test('an array with a mistake puts no machine aside', async () => {
  // It fails on every machine, several tasks at once, until its user cancels it.
  for (const jobs of [1, 3]) {
    const w = new World();
    const a = w.fleet.add('a');
    w.job({ id: 'wk-000009', kind: 'service', tasks: 1 });
    await w.run(2);
    for (let i = 0; i < jobs; i++) {
      const id = `wk-10000${i}`;
      w.job({ id, tasks: jobs === 1 ? 4 : 1 });
      for (let s = 0; s < 5; s++) {
        await w.run(0.2);
        for (const t of a.running(id)) a.end(t, 'error');
      }
      w.cancel(id);
      await w.run(w.settings.workers.lease_s * 2);
    }
    assert.equal(w.machine('a').quarantined, false, `${jobs} jobs`);
    w.job({ id: JOB });
    await w.run(PATIENCE_S);
    assert.equal(w.fleet.running(JOB), 1, `${jobs} jobs`);
  }
});

test('room is not held for long work that may not start: its team is at its limit', async () => {
  const w = new World(1);
  w.settings.teams.set('u', { name: 'u', cores: 0, coresMax: 0, gpus: 0, gpusMax: 100 });
  w.fleet.add('a');
  await w.run(1);
  // Jobs that fit no machine make what is long stand out.
  for (let i = 1; i <= 3; i++) w.job({ id: `wk-00001${i}`, gpus: 9, estimateS: 10 });
  w.job({ id: JOB, tasks: 40, estimateS: 10_000 });
  await w.run(2);
  assert.equal(w.fleet.running(JOB), 1);
  w.job({ id: OTHER, tasks: 7, team: 'u', estimateS: 10 });
  await w.run(PATIENCE_S);
  assert.equal(w.fleet.running(OTHER), 7);
});
