/** Combinations of faults with a change of leader: what the next leader starts, stops and waits for. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { TaskStatus } from '../src/wire/workers.js';
import * as records from '../src/store/records.js';
import { outcome } from '../src/store/stored-job.js';
import type { Worker } from './support/simulated-fleet.js';
import { JOB, OTHER, task, worldWith, STAGES } from './support/leader-stages.js';

test('a job runs once when its leader ends at any stage of the job', async () => {
  for (const [name, until] of STAGES) {
    const world = await worldWith(['a']);
    world.submitJob({ id: JOB });
    await until(world);
    world.failOver();
    world.store.deliverHeldBack();
    await world.run(3);
    const worker = world.fleet.workers.get('a')!;
    if (worker.running(JOB).length > 0) worker.end(task(worker), 'done');
    await world.run(3);
    assert.equal(outcome(world.replica.jobs.get(JOB)!), 'done', name);
    assert.equal(world.fleet.starts.get(`${JOB}/0`), 1, name);
    assert.deepEqual(world.fleet.violations, [], name);
    assert.equal(world.term.jobs.size, 0, name);
  }
});

test('a job that is cancelled while its leader ends does not start again and is removed', async () => {
  // How a leader learns of the cancellation: the old one reads it or gets a report, or only the next one reads it.
  const ways = ['no change', 'by the old leader', 'by the next', 'by word of another'] as const;
  for (const seen of ways) {
    for (const [name, until] of STAGES) {
      const world = await worldWith(['a']);
      world.submitJob({ id: JOB });
      await until(world);
      const late = world.machine('a').activeAttempts().length > 0 ? world.sendDirect('a') : null;
      world.cancel(JOB);
      if (seen === 'by word of another') world.leader.onCancellationStored(JOB);
      if (seen === 'by the old leader' || seen === 'no change')
        world.store.replayInto(world.replica);
      if (seen !== 'by the next') await world.parts.writer.writeBatch();
      if (seen !== 'no change') world.failOver();
      else late?.unanswered();
      world.store.deliverHeldBack();
      world.exchangeHeartbeat(world.fleet.workers.get('a')!);
      // The old leader's direct message arrives after the new leader's first answer.
      late?.arrive();
      await world.run(4);
      assert.equal(world.fleet.running(JOB), 0, `${name}, ${seen}`);
      // Without a change of leader a start that was in flight is carried out, and its task is stopped.
      if (seen !== 'no change') assert.deepEqual(world.fleet.violations, [], `${name}, ${seen}`);
      assert.deepEqual(world.machine('a').activeAttempts(), [], `${name}, ${seen}`);
      if (seen !== 'no change') assert.equal(world.term.jobs.size, 0, `${name}, ${seen}`);
      assert.equal(
        outcome(world.store.replayInto(world.replica).jobs.get(JOB)!),
        'cancelled',
        name,
      );
    }
  }
});

test('ten changes of leader in two minutes, some in an outage: all running tasks continue', async () => {
  const world = await worldWith(['a', 'b']);
  world.submitJob({ id: JOB, kind: 'service', tasks: 4 });
  world.submitJob({ id: OTHER, kind: 'gang', tasks: 2 });
  await world.run(2);
  const numbers = (): string[] =>
    [...world.fleet.workers.values()].flatMap((worker) => [...worker.tasks.keys()]).sort();
  const before = numbers();
  assert.equal(before.length, 6);
  for (let i = 0; i < 10; i++) {
    world.canWrite = i % 3 !== 1;
    world.failOver();
    await world.run(12);
    world.canWrite = true;
    assert.deepEqual(numbers(), before, `change ${i}`);
  }
  assert.ok([...world.fleet.starts.values()].every((n) => n === 1));
  // Tasks that start now get a new attempt number.
  const tasks = (): TaskStatus[] =>
    [...world.fleet.workers.values()].flatMap((worker) => [...worker.tasks.values()]);
  for (let failures = 0; failures < 2; failures++) {
    const old = tasks().find((task) => task.job === JOB && task.index === 0)!;
    for (const worker of world.fleet.workers.values()) worker.end(old, 'error');
    await world.run(5);
    const again = tasks().find((task) => task.job === JOB && task.index === 0)!;
    assert.equal(again.state, 'running');
    assert.ok(again.attempt > old.attempt, 'with a new attempt number');
  }
});

test('a leader that alone is refused by the store stops a job whose cancellation another controller reports', async () => {
  const world = await worldWith(['a']);
  world.submitJob({ id: JOB });
  world.submitJob({ id: OTHER });
  await world.run(1);
  world.canWrite = false;
  world.cancel(JOB);
  world.leader.onCancellationStored(JOB);
  for (let i = 0; i < 3; i++) world.exchangeHeartbeat(world.fleet.workers.get('a')!);
  assert.deepEqual([world.fleet.running(JOB), world.fleet.running(OTHER)], [0, 1]);
  world.canWrite = true;
  await world.run(3);
  assert.deepEqual([world.term.jobs.has(JOB), world.fleet.running(OTHER)], [false, 1]);
});

test('tasks on machines without contact to the new leader are not started elsewhere for a lease', async () => {
  type WorkerFault = (worker: Worker) => void;
  const cases: [string, WorkerFault, WorkerFault][] = [
    ['heartbeats lost', (worker) => (worker.heartbeatsLost = true), () => undefined],
    [
      'heartbeats lost, then delivered',
      (worker) => (worker.heartbeatsLost = true),
      (worker) => (worker.heartbeatsLost = false),
    ],
    [
      'answers lost, then delivered',
      (worker) => (worker.inboundLost = true),
      (worker) => (worker.inboundLost = false),
    ],
  ];
  for (const [name, begin, end] of cases) {
    const world = await worldWith(['a']);
    const { lease_s } = world.settings.workers;
    world.submitJob({ id: JOB });
    await world.run(1);
    const worker = world.fleet.workers.get('a')!;
    world.fleet.add('b');
    begin(worker);
    world.failOver();
    await world.run(lease_s * 0.9);
    assert.equal(
      world.fleet.starts.get(`${JOB}/0`),
      1,
      `${name}: not started elsewhere before the lease expires`,
    );
    await world.run(lease_s);
    end(worker);
    await world.run(lease_s);
    assert.equal(world.fleet.running(JOB), 1, name);
    assert.equal(world.fleet.starts.get(`${JOB}/0`), 2, name);
    assert.deepEqual(world.fleet.violations, [], name);
  }
});

test('no controller runs for longer than a lease: every task starts again exactly once', async () => {
  const world = await worldWith(['a', 'b']);
  world.submitJob({ id: JOB, tasks: 4 });
  await world.run(1);
  world.token = 0;
  await world.run(world.settings.workers.lease_s * 2);
  assert.equal(world.fleet.running(JOB), 0);
  world.failOver();
  await world.run(4);
  assert.equal(world.fleet.running(JOB), 4);
  assert.ok([...world.fleet.starts.values()].every((n) => n === 2));
  assert.deepEqual(world.fleet.violations, []);
});

test('a transaction that is carried out late, of this or an earlier leader, overwrites nothing newer', async () => {
  for (const next of [false, true]) {
    const world = await worldWith(['a']);
    world.submitJob({ id: JOB });
    world.runCycle();
    await world.writeOnceInMode('hold back');
    if (next) world.failOver();
    await world.run(2);
    world.submitJob({ id: OTHER });
    await world.run(2);
    const key = records.machineKey('a');
    const revision = world.store.revision(key);
    world.store.deliverHeldBack();
    assert.equal(world.store.revision(key), revision);
    // The same holds for one that reaches the store before the new leader's first transaction.
    world.submitJob({ id: 'wk-000003' });
    world.runCycle();
    await world.writeOnceInMode('hold back');
    if (next) world.failOver();
    world.store.deliverHeldBack();
    if (next) assert.equal(world.store.revision(key), revision);
    await world.run(2);
    assert.equal(records.decodeMachine(world.store.value(key)).claims.length, 3);
    assert.ok([...world.fleet.starts.values()].every((n) => n === 1));
  }
});

test('a machine whose zone lease holder may renew its lease is lost only on proof', async () => {
  const cases: [string, number, number, boolean][] = [
    ['no controller is there', -Infinity, Infinity, true],
    ['its zone lease holder may renew its lease', 60, Infinity, false],
    ['its zone lease holder does not renew, by an old proof', -Infinity, 0, false],
    ['its zone lease holder does not renew, by a fresh proof', -Infinity, 60, true],
  ];
  for (const [name, renewedUntil, provenUntil, lost] of cases) {
    const world = await worldWith(['a', 'b']);
    world.submitJob({ id: JOB, gpus: 8, cores: 8 });
    await world.run(1);
    const [on] = [...world.fleet.workers.values()].filter(
      (worker) => worker.running(JOB).length > 0,
    );
    on!.heartbeatsLost = true;
    world.zoneRenewal = { renewedUntil, provenUntil };
    // The zone lease holder renews its lease.
    if (!lost) on!.answeredAt = Infinity;
    await world.run(world.settings.workers.lease_s * 2);
    assert.equal(world.fleet.starts.get(`${JOB}/0`), lost ? 2 : 1, name);
    assert.deepEqual(world.fleet.violations, [], name);
  }
});

test('old heartbeats that arrive when a new leader starts, or later, prove nothing', async () => {
  const world = await worldWith(['a', 'b']);
  world.submitJob({ id: JOB, kind: 'service', tasks: 2, gpus: 8, cores: 8 });
  const worker = world.fleet.workers.get('a')!;
  const empty = worker.heartbeat();
  await world.run(2);
  const old = worker.heartbeat();
  // There is capacity elsewhere.
  const third = world.fleet.add('c');
  const check = (name: string): void => {
    assert.equal(world.fleet.running(JOB), 2, name);
    assert.ok(
      [...world.fleet.starts.values()].every((n) => n === 1),
      name,
    );
    assert.deepEqual(world.fleet.violations, [], name);
  };
  for (const when of ['at once', 'after a heartbeat of the machine', 'after a change'] as const) {
    world.failOver();
    if (when === 'at once') {
      for (let i = 0; i < 2; i++) world.exchangeHeartbeat(third);
      world.leader.answerHeartbeat(empty);
      world.runCycle();
      await world.writeAll();
      world.exchangeHeartbeat(third);
    }
    await world.run(1);
    if (when !== 'at once') for (const copy of [old, empty]) world.leader.answerHeartbeat(copy);
    if (when !== 'at once') world.leader.answerHeartbeat({ ...empty, token: world.token });
    if (when === 'after a change')
      world.leader.answerHeartbeat({ ...empty, agentEpoch: 0, sequence: 1e6 });
    world.runCycle();
    await world.run(2);
    check(when);
  }
  // A leader does not answer a worker that knows of a later one.
  assert.equal(world.leader.answerHeartbeat({ ...old, token: world.token + 1 }).status, 503);
  // An old heartbeat that shows an earlier attempt of a task that runs there again.
  worker.end(task(worker, JOB, world.machine('a').activeAttempts()[0]!.index), 'error');
  await world.run(3);
  world.leader.answerHeartbeat({ ...old, token: world.token });
  await world.run(1);
  assert.equal(world.fleet.running(JOB), 2);
  assert.deepEqual(world.fleet.violations, []);
});

test('a team does not exceed its limit while its cancelled tasks may still run', async () => {
  for (const change of [false, true]) {
    const world = await worldWith(['a', 'b'], 2);
    world.submitJob({ id: JOB, kind: 'service', tasks: 2, cores: 8 });
    await world.run(1);
    const [worker, other] = [world.fleet.workers.get('a')!, world.fleet.workers.get('b')!];
    assert.deepEqual([worker.running(JOB).length, other.running(JOB).length], [1, 1]);
    other.heartbeatsLost = true;
    world.cancel(JOB);
    if (change) world.failOver();
    world.submitJob({ id: OTHER, tasks: 2 });
    world.fleet.add('c');
    for (let i = 0; i < 40; i++) {
      await world.run(0.2);
      assert.ok(world.fleet.running(JOB) + world.fleet.running(OTHER) <= 2, `change: ${change}`);
    }
    assert.equal(world.fleet.running(OTHER), 2, 'once the lease has expired');
    assert.deepEqual(world.fleet.violations, []);
  }
});

test('a one-zone job stays in its zone while any of its tasks may be there', async () => {
  for (const kind of ['array', 'gang'] as const) {
    const world = await worldWith(['a', 'z2b']);
    const tasks = kind === 'gang' ? 2 : 3;
    world.submitJob({ id: JOB, kind, tasks, gpus: 4, cores: 4, oneZone: true });
    await world.run(1);
    const home = [...world.fleet.workers.values()].find(
      (worker) => worker.running(JOB).length === 2,
    )!;
    assert.ok(home !== undefined, kind);
    const away = [...world.fleet.workers.values()].find((worker) => worker !== home)!;
    assert.equal(away.running(JOB).length, 0, `${kind}: the third waits for capacity`);
    home.heartbeatsLost = true;
    world.failOver();
    await world.run(world.settings.workers.lease_s * 0.9);
    assert.equal(away.running(JOB).length, 0, kind);
    await world.run(world.settings.workers.lease_s);
    assert.equal(away.running(JOB).length, 2, kind);
    assert.deepEqual(world.fleet.violations, [], kind);
  }
});

test('tasks that end far apart, each just before a change of leader, count permanently and only once', async () => {
  const world = await worldWith(['a', 'b']);
  world.submitJob({ id: JOB, tasks: 3 });
  await world.run(1);
  for (let index = 0; index < 3; index++) {
    const on = [...world.fleet.workers.values()].find(
      (worker) => task(worker, JOB, index) !== undefined,
    )!;
    on.end(task(on, JOB, index), 'done');
    // The leader knows the end of the task, and has stored it or not when it ends itself.
    world.exchangeHeartbeat(on);
    if (index === 1) await world.run(2);
    world.exchangeHeartbeat(on);
    world.failOver();
    await world.run(10);
    const storedJob = world.replica.jobs.get(JOB)!;
    assert.equal(storedJob.doneTasks, index + 1);
    assert.equal(outcome(storedJob), index === 2 ? 'done' : 'open');
  }
  assert.ok([...world.fleet.starts.values()].every((n) => n === 1));
  assert.deepEqual(world.fleet.violations, []);
  assert.ok(
    [...world.fleet.workers.values()].every((worker) => worker.tasks.size === 0),
    'forgotten',
  );
});
