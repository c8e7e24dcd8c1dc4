import assert from 'node:assert/strict';
import { test } from 'node:test';
import { settings } from './helpers.js';
import { SchedulerWorld } from './support/scheduler-world.js';

test('capacity that is being freed for a gang is held for it until all of it is there', () => {
  const world = new SchedulerWorld();
  for (const id of ['a', 'b']) world.heartbeat(id, []);
  const array = { id: 'wk-000001', tasks: 40, priority: 3 as const, checkpointS: 30, saveS: 3 };
  world.submitJob(array);
  world.runCycle();
  for (const id of ['a', 'b']) world.confirmClaims(id, false);
  assert.deepEqual(
    [world.activeTasksOn('a', array.id), world.activeTasksOn('b', array.id)],
    [8, 8],
  );
  world.submitJob({ id: 'wk-000002', kind: 'gang', tasks: 2, gpus: 8, cores: 8, priority: 1 });
  world.runCycle();
  assert.deepEqual(
    [world.activeTasksOn('a', array.id), world.activeTasksOn('b', array.id)],
    [0, 0],
    'told to stop',
  );
  // One machine is empty before the other: lower-priority work once took it at once, and so on for minutes.
  world.confirmClaims('a', true);
  world.confirmClaims('b', false);
  world.runCycle();
  assert.deepEqual(
    [world.activeTasksOn('a', array.id), world.activeTasksOn('a', 'wk-000002')],
    [0, 0],
  );
  world.confirmClaims('b', true);
  world.runCycle();
  assert.deepEqual(
    [world.activeTasksOn('a', 'wk-000002'), world.activeTasksOn('b', 'wk-000002')],
    [1, 1],
  );
});

test('claims of a cycle stay within what teams and machines allow, and what is placed stays put', () => {
  const world = new SchedulerWorld(10);
  for (const id of ['a', 'b']) world.heartbeat(id, []);
  world.submitJob({ id: 'wk-000001', tasks: 30, priority: 2 });
  world.runCycle();
  const held = (): number =>
    world.activeTasksOn('a', 'wk-000001') + world.activeTasksOn('b', 'wk-000001');
  assert.equal(held(), 10);
  for (const id of ['a', 'b']) world.confirmClaims(id, false);
  world.runCycle();
  assert.equal(held(), 10);
  // What runs beyond the limit of one scheduling cycle or team waits; a machine's capacity is reckoned once it changes.
  world.heartbeat('a', []);
  world.runCycle();
  assert.equal(held(), 10);
});

test('a critical task goes where its image is, and lower-priority work is preempted there in time', () => {
  const world = new SchedulerWorld(100, 10);
  world.heartbeat('a', []);
  // The image comes to "a" with a first replica; then lower-priority work fills that machine.
  const service = { kind: 'service' as const, priority: 0 as const, image: 'big', imageGb: 30 };
  world.submitJob({ ...service, id: 'wk-000001', gpus: 4, cores: 4 });
  world.runCycle();
  world.confirmClaims('a', false);
  world.submitJob({
    id: 'wk-000002',
    tasks: 4,
    priority: 3,
    checkpointS: 30,
    saveS: 3,
    class: 'd',
  });
  world.runCycle();
  world.confirmClaims('a', false);
  assert.equal(world.activeTasksOn('a', 'wk-000002'), 4);
  world.heartbeat('b', []);
  world.submitJob({ ...service, id: 'wk-000003', gpus: 2, cores: 2 });
  world.runCycle();
  // There is capacity on "b", but fetching the image takes 30 s.
  assert.equal(world.activeTasksOn('b', 'wk-000003'), 0);
  assert.equal(world.activeTasksOn('a', 'wk-000002'), 2);
  world.confirmClaims('a', true);
  world.runCycle();
  assert.equal(world.activeTasksOn('a', 'wk-000003'), 1);
});

test('the share for long work holds against its own and lower priorities, not against higher ones', () => {
  // Gangs once waited for half a minute beside capacity that was held for long best-effort arrays.
  const cases: [string, 1 | 3, number][] = [
    ['long work of least priority waits', 3, 1],
    ['long work of the same priority waits', 1, 0],
  ];
  for (const [name, priority, placed] of cases) {
    const world = new SchedulerWorld();
    world.heartbeat('a', []);
    for (let i = 1; i <= 3; i++) world.submitJob({ id: `wk-00001${i}`, gpus: 9, estimateS: 10 });
    world.submitJob({ id: 'wk-000001', tasks: 40, priority, estimateS: 1000 });
    world.submitJob({ id: 'wk-000002', kind: 'gang', gpus: 8, cores: 8, priority: 1 });
    world.runCycle();
    assert.equal(world.activeTasksOn('a', 'wk-000002'), placed, name);
  }
});

test('boots for what is on silent machines begin before its lease has run out', () => {
  // A fifth of a fleet was cut off: its replicas were away for a lease and then for a whole boot.
  const lease = settings().workers.lease_s;
  const ids = ['a', 'b', 'c', 'd'];
  const cases: [string, number, string[], boolean, 0 | 3, number][] = [
    ['not heard for a moment', 0.3, ['a'], false, 0, 0],
    ['one of four', 0.5, ['a'], false, 0, 1],
    ['two of four', 0.5, ['a', 'b'], false, 0, 2],
    ['most: it is this controller that hears nothing', 0.5, ['a', 'b', 'c'], false, 0, 0],
    ['its zone may be kept', 0.5, ['a'], true, 0, 0],
    ['nothing but best effort', 0.5, ['a'], false, 3, 0],
  ];
  for (const [name, leases, silent, kept, priority, more] of cases) {
    const world = new SchedulerWorld();
    for (const id of ids) world.heartbeat(id, []);
    world.submitJob({ kind: 'service', tasks: 32, priority });
    world.runCycle();
    for (const id of ids) world.confirmClaims(id, false);
    const before = world.machinesToAdd();
    world.now += lease * leases;
    for (const id of ids) if (!silent.includes(id)) world.confirmClaims(id, false);
    if (kept) world.keptUntil = world.now + 1;
    assert.equal(world.machinesToAdd() - before, more, name);
  }
});
