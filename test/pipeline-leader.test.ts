/** A leader and dependencies between jobs: which jobs wait, start, and with which priority. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { LeaderWorld } from './support/leader-world.js';

const FIRST = 'wk-000001';
const SECOND = 'wk-000002';
const THIRD = 'wk-000003';
const OTHER = 'wk-000009';
/** GPUs of one machine of the stand-in. */
const MACHINE_GPUS = 8;

function worldWith(machines: string[], gpusMax = 100): LeaderWorld {
  const world = new LeaderWorld(gpusMax);
  for (const id of machines) world.fleet.add(id);
  return world;
}

function finish(world: LeaderWorld, job: string): void {
  for (const worker of world.fleet.workers.values()) {
    for (const task of worker.running(job)) worker.end(task, 'done');
  }
}

test('a waiting job uses no limit, no guarantee and no machine, and is not started', async () => {
  const world = worldWith(['a'], MACHINE_GPUS);
  world.submitJob({ id: FIRST, tasks: 1 });
  world.submitJob({ id: SECOND, tasks: MACHINE_GPUS, gpus: 1, priority: 0, dependencies: [FIRST] });
  world.submitJob({ id: OTHER, tasks: MACHINE_GPUS - 1, priority: 3 });
  await world.run(3);
  assert.deepEqual(
    [world.fleet.running(FIRST), world.fleet.running(SECOND), world.fleet.running(OTHER)],
    [1, 0, 7],
  );
  assert.ok(!world.term.jobs.has(SECOND));
  assert.equal(world.parts.capacity.demand.length, 0, 'no machine is rented for it');
  // The same holds for a new leader, in whatever order it lists the jobs.
  world.failOver();
  await world.run(3);
  assert.deepEqual([world.term.jobs.has(SECOND), world.fleet.running(SECOND)], [false, 0]);
  finish(world, FIRST);
  await world.run(4);
  assert.ok(world.fleet.running(SECOND) > 0, 'it starts once it is ready');
});

test('a task starts only when its dependencies are done in the store, not when this leader believes so', async () => {
  const world = worldWith(['a']);
  world.submitJob({ id: FIRST });
  world.submitJob({ id: SECOND, dependencies: [FIRST] });
  await world.run(2);
  finish(world, FIRST);
  // The worker reports the end, but the record is not stored, and another controller cancels the job first.
  world.canWrite = false;
  await world.run(2);
  assert.equal(world.fleet.running(SECOND), 0, 'done, but not stored');
  world.canWrite = true;
  world.cancel(FIRST);
  await world.run(3);
  assert.equal(world.fleet.running(SECOND), 0, 'the older change counts');
  world.failOver();
  await world.run(3);
  assert.equal(world.fleet.starts.get(`${SECOND}/0`), undefined);
  assert.deepEqual(world.fleet.violations, []);
});

test('a task does not start if its leader has not yet read an older cancellation of its dependency', async () => {
  const world = worldWith(['a']);
  world.submitJob({ id: FIRST });
  world.submitJob({ id: SECOND, dependencies: [FIRST] });
  await world.run(2);
  // This leader has not read the cancellation yet, and its own commit of the end succeeds after it.
  world.store.cancel(FIRST);
  finish(world, FIRST);
  world.exchangeHeartbeat(world.fleet.workers.get('a')!);
  world.term.requestCycle();
  await world.parts.writer.writeBatch();
  world.parts.runCycle();
  await world.parts.writer.writeBatch();
  world.exchangeHeartbeat(world.fleet.workers.get('a')!);
  assert.equal(world.fleet.starts.get(`${SECOND}/0`), undefined);
  await world.run(3);
  assert.equal(world.fleet.starts.get(`${SECOND}/0`), undefined);
});

test('a cancellation stops the job and its dependents, and releases their capacity', async () => {
  const world = worldWith(['a'], MACHINE_GPUS);
  world.submitJob({ id: FIRST });
  world.submitJob({ id: SECOND, tasks: 4, dependencies: [FIRST] });
  world.submitJob({ id: THIRD, dependencies: [SECOND] });
  await world.run(2);
  finish(world, FIRST);
  await world.run(3);
  assert.equal(world.fleet.running(SECOND), 4);
  world.cancel(SECOND);
  await world.run(3);
  assert.deepEqual([world.fleet.running(SECOND), world.fleet.running(THIRD)], [0, 0]);
  world.submitJob({ id: OTHER, tasks: MACHINE_GPUS });
  await world.run(3);
  assert.equal(world.fleet.running(OTHER), MACHINE_GPUS);
  assert.deepEqual(world.fleet.violations, []);
});

test('a job has the highest priority of its dependents, as long as these are open', async () => {
  const world = worldWith(['a']);
  world.submitJob({ id: FIRST, tasks: 2, priority: 3 });
  await world.run(2);
  const priority = (): number => world.term.jobs.get(FIRST)!.spec.priority;
  assert.equal(priority(), 3);
  world.submitJob({ id: SECOND, priority: 2, dependencies: [FIRST] });
  await world.run(1);
  assert.equal(priority(), 2);
  // A late dependent, through another job.
  world.submitJob({ id: THIRD, priority: 0, dependencies: [SECOND] });
  await world.run(1);
  assert.equal(priority(), 0);
  world.failOver();
  await world.run(1);
  assert.equal(priority(), 0, 'under a new leader too');
  world.cancel(THIRD);
  await world.run(1);
  assert.equal(priority(), 2);
});

test('with a distant deadline a job keeps its own priority until the time left is short', async () => {
  const world = worldWith(['a']);
  world.submitJob({ id: FIRST, priority: 3, estimateS: 10 });
  world.submitJob({ id: SECOND, priority: 1, estimateS: 20, deadlineS: 60, dependencies: [FIRST] });
  await world.run(2);
  // It has to be done 40 s after its submission. It is urgent as soon as 1.5 times its 10 s and
  // a boot of 1 s do not fit into the time left.
  const priority = (): number => world.term.jobs.get(FIRST)!.spec.priority;
  assert.equal(priority(), 3);
  await world.run(20);
  assert.equal(priority(), 3);
  await world.run(4);
  assert.equal(priority(), 1);
});

test('a job with an important dependent may preempt, and is not preempted by lower-priority work', async () => {
  const world = worldWith(['a'], MACHINE_GPUS * 2);
  world.submitJob({ id: OTHER, tasks: MACHINE_GPUS, priority: 2 });
  await world.run(2);
  world.submitJob({ id: FIRST, tasks: MACHINE_GPUS, priority: 3 });
  await world.run(2);
  assert.deepEqual([world.fleet.running(OTHER), world.fleet.running(FIRST)], [MACHINE_GPUS, 0]);
  world.submitJob({ id: SECOND, priority: 1, dependencies: [FIRST] });
  await world.run(4);
  assert.deepEqual([world.fleet.running(OTHER), world.fleet.running(FIRST)], [0, MACHINE_GPUS]);
});

test('the age of a job counts from the moment when it is ready, unlike its deadline', async () => {
  const world = worldWith(['a']);
  world.submitJob({ id: FIRST });
  world.submitJob({ id: SECOND, dependencies: [FIRST] });
  await world.run(20);
  finish(world, FIRST);
  await world.run(1);
  const ageS = (): number => world.now - world.term.jobs.get(SECOND)!.readySince;
  assert.ok(ageS() <= 1.5, `${ageS()} s`);
  const before = ageS();
  world.failOver();
  await world.run(1);
  assert.ok(
    Math.abs(ageS() - before - 1) <= 0.5,
    `under a new leader ${ageS()} s after ${before} s`,
  );
});

test('the record of a machine full of small tasks fits into a value of the store, with a limit of 2 KiB', async () => {
  const world = worldWith(['a']);
  world.settings.state.value_kb = 2;
  world.failOver();
  await world.run(1);
  const small = { cores: 0.1, gpus: 0, memGb: 0 };
  for (let i = 0; i < 8; i++) world.submitJob({ id: `wk-${1000 + i}`, tasks: 10, ...small });
  await world.run(4);
  const running = [...Array(8).keys()].map((i) => world.fleet.running(`wk-${1000 + i}`));
  assert.deepEqual(running, Array(8).fill(10));
  const record = JSON.stringify(world.store.value('ps/m/a'));
  assert.ok(record.length <= 2048, `${record.length} bytes`);
  world.failOver();
  await world.run(4);
  assert.deepEqual([...world.fleet.starts.values()], Array(80).fill(1), 'no task is started twice');
  assert.deepEqual(world.fleet.violations, []);
});

test('machine types that do not fit into a value are not stored, and do not block other writes', async () => {
  const world = worldWith(['a']);
  world.settings.state.value_kb = 2;
  world.failOver();
  const before = world.store.revision('ps/t');
  const types = [...world.term.machineTypes.values()];
  const more = Array.from({ length: 30 }, (_, i) => ({ ...types[0]!, name: `type-${i}` }));
  world.leader.onMachineTypes([...types, ...more]);
  world.submitJob({ id: FIRST });
  await world.run(2);
  assert.equal(world.store.revision('ps/t'), before);
  assert.equal(world.fleet.running(FIRST), 1);
  world.leader.onMachineTypes([...types, more[0]!]);
  await world.run(1);
  assert.ok(world.store.revision('ps/t') > before, 'types that fit are stored');
});

test('with an old controller, a machine gets no more claims than the plain form of its record can name', async () => {
  const world = worldWith(['a']);
  world.settings.state.value_kb = 2;
  world.failOver();
  world.term.context.allReadDenseRecords = () => false;
  await world.run(1);
  const small = { cores: 0.05, gpus: 0, memGb: 0 };
  for (let i = 0; i < 8; i++) world.submitJob({ id: `wk-${1000 + i}`, tasks: 20, ...small });
  await world.run(6);
  const running = [...Array(8).keys()].reduce(
    (n, i) => n + world.fleet.running(`wk-${1000 + i}`),
    0,
  );
  assert.ok(running > 40 && running < 160, `${running} tasks run`);
  const record = JSON.stringify(world.store.value('ps/m/a'));
  assert.ok(record.length <= 2048 && record.includes('"t":'), `${record.length} bytes`);
});
