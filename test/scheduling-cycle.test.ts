import assert from 'node:assert/strict';
import { test } from 'node:test';
import { settings } from './helpers.js';
import { SchedulerWorld } from './support/scheduler-world.js';

test('capacity that is being freed for a gang stays reserved for it until all of it is free', () => {
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
    'all tasks of the array were asked to stop',
  );
  // One machine is free before the other. When lower-priority work took it at once, gangs waited for minutes.
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

test('claims of a cycle stay within the limits of teams and machines, and placed tasks are not moved', () => {
  const world = new SchedulerWorld(10);
  for (const id of ['a', 'b']) world.heartbeat(id, []);
  world.submitJob({ id: 'wk-000001', tasks: 30, priority: 2 });
  world.runCycle();
  const placedTasks = (): number =>
    world.activeTasksOn('a', 'wk-000001') + world.activeTasksOn('b', 'wk-000001');
  assert.equal(placedTasks(), 10);
  for (const id of ['a', 'b']) world.confirmClaims(id, false);
  world.runCycle();
  assert.equal(placedTasks(), 10);
  // Tasks beyond the limit of a cycle or team wait. A machine's capacity is computed anew after a change.
  world.heartbeat('a', []);
  world.runCycle();
  assert.equal(placedTasks(), 10);
});

test('a critical task is placed where its image is, and lower-priority work is preempted there in time', () => {
  const world = new SchedulerWorld(100, 10);
  world.heartbeat('a', []);
  // A first replica fetches the image on "a"; then lower-priority work fills that machine.
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

test('the share for long work binds work of the same and lower priorities, not of higher ones', () => {
  // Gangs waited for half a minute while capacity was reserved for long best-effort arrays.
  const cases: [string, 1 | 3, number][] = [
    ['long work of the lowest priority waits', 3, 1],
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

test('replacement machines boot before the leases of silent machines have expired', () => {
  // When a fifth of a fleet was cut off, its replicas were unavailable for a lease and then for a whole boot.
  const lease = settings().workers.lease_s;
  const ids = ['a', 'b', 'c', 'd'];
  const cases: [string, number, string[], boolean, 0 | 3, number][] = [
    ['silent for a moment', 0.3, ['a'], false, 0, 0],
    ['one of four', 0.5, ['a'], false, 0, 1],
    ['two of four', 0.5, ['a', 'b'], false, 0, 2],
    [
      'most of them: it is this controller that receives nothing',
      0.5,
      ['a', 'b', 'c'],
      false,
      0,
      0,
    ],
    ['the holder of its zone lease may renew its lease', 0.5, ['a'], true, 0, 0],
    ['only best-effort work', 0.5, ['a'], false, 3, 0],
  ];
  for (const [name, leases, silent, zoneKept, priority, added] of cases) {
    const world = new SchedulerWorld();
    for (const id of ids) world.heartbeat(id, []);
    world.submitJob({ kind: 'service', tasks: 32, priority });
    world.runCycle();
    for (const id of ids) world.confirmClaims(id, false);
    const before = world.machinesToAdd();
    world.now += lease * leases;
    for (const id of ids) if (!silent.includes(id)) world.confirmClaims(id, false);
    if (zoneKept) world.zoneRenewedUntil = world.now + 1;
    assert.equal(world.machinesToAdd() - before, added, name);
  }
});
