import assert from 'node:assert/strict';
import { test } from 'node:test';
import { settings } from './helpers.js';
import { Bench } from './pass-helpers.js';

test('room that is being made for a gang is held for it until all of it is there', () => {
  const bench = new Bench();
  for (const id of ['a', 'b']) bench.report(id, []);
  const array = { id: 'wk-000001', tasks: 40, priority: 3 as const, checkpointS: 30, saveS: 3 };
  bench.job(array);
  bench.pass();
  for (const id of ['a', 'b']) bench.settle(id, false);
  assert.deepEqual([bench.on('a', array.id), bench.on('b', array.id)], [8, 8]);
  bench.job({ id: 'wk-000002', kind: 'gang', tasks: 2, gpus: 8, cores: 8, priority: 1 });
  bench.pass();
  assert.deepEqual([bench.on('a', array.id), bench.on('b', array.id)], [0, 0], 'told to stop');
  // One machine is empty before the other: lower-priority work once took it at once, and so on for minutes.
  bench.settle('a', true);
  bench.settle('b', false);
  bench.pass();
  assert.deepEqual([bench.on('a', array.id), bench.on('a', 'wk-000002')], [0, 0]);
  bench.settle('b', true);
  bench.pass();
  assert.deepEqual([bench.on('a', 'wk-000002'), bench.on('b', 'wk-000002')], [1, 1]);
});

test('claims of a pass stay within what teams and machines allow, and what is placed stays put', () => {
  const bench = new Bench(10);
  for (const id of ['a', 'b']) bench.report(id, []);
  bench.job({ id: 'wk-000001', tasks: 30, priority: 2 });
  bench.pass();
  const held = (): number => bench.on('a', 'wk-000001') + bench.on('b', 'wk-000001');
  assert.equal(held(), 10);
  for (const id of ['a', 'b']) bench.settle(id, false);
  bench.pass();
  assert.equal(held(), 10);
  // What runs beyond the limit of one scheduling cycle or team waits; a machine's capacity is reckoned once it changes.
  bench.report('a', []);
  bench.pass();
  assert.equal(held(), 10);
});

test('a critical task goes where its image is, and lesser work makes room there in time', () => {
  const bench = new Bench(100, 10);
  bench.report('a', []);
  // The image comes to "a" with a first replica; then lower-priority work fills that machine.
  const service = { kind: 'service' as const, priority: 0 as const, image: 'big', imageGb: 30 };
  bench.job({ ...service, id: 'wk-000001', gpus: 4, cores: 4 });
  bench.pass();
  bench.settle('a', false);
  bench.job({ id: 'wk-000002', tasks: 4, priority: 3, checkpointS: 30, saveS: 3, class: 'd' });
  bench.pass();
  bench.settle('a', false);
  assert.equal(bench.on('a', 'wk-000002'), 4);
  bench.report('b', []);
  bench.job({ ...service, id: 'wk-000003', gpus: 2, cores: 2 });
  bench.pass();
  // There is capacity on "b", but fetching the image takes 30 s.
  assert.equal(bench.on('b', 'wk-000003'), 0);
  assert.equal(bench.on('a', 'wk-000002'), 2);
  bench.settle('a', true);
  bench.pass();
  assert.equal(bench.on('a', 'wk-000003'), 1);
});

test('the share for long work holds against its own and lesser priorities, not against higher ones', () => {
  // Gangs once waited for half a minute beside capacity that was held for long best-effort arrays.
  const cases: [string, 1 | 3, number][] = [
    ['long work of least priority waits', 3, 1],
    ['long work of the same priority waits', 1, 0],
  ];
  for (const [name, priority, placed] of cases) {
    const bench = new Bench();
    bench.report('a', []);
    for (let i = 1; i <= 3; i++) bench.job({ id: `wk-00001${i}`, gpus: 9, estimateS: 10 });
    bench.job({ id: 'wk-000001', tasks: 40, priority, estimateS: 1000 });
    bench.job({ id: 'wk-000002', kind: 'gang', gpus: 8, cores: 8, priority: 1 });
    bench.pass();
    assert.equal(bench.on('a', 'wk-000002'), placed, name);
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
    const bench = new Bench();
    for (const id of ids) bench.report(id, []);
    bench.job({ kind: 'service', tasks: 32, priority });
    bench.pass();
    for (const id of ids) bench.settle(id, false);
    const before = bench.rents();
    bench.now += lease * leases;
    for (const id of ids) if (!silent.includes(id)) bench.settle(id, false);
    if (kept) bench.keptUntil = bench.now + 1;
    assert.equal(bench.rents() - before, more, name);
  }
});
