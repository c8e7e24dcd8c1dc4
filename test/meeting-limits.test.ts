/** Requests and records at the limits of the protocol. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { JobSpec } from '../src/jobs/types.js';
import { unsatisfiableReason } from '../src/scheduler/quota.js';
import * as records from '../src/store/records.js';
import { g8, settings, spec } from './helpers.js';
import { LeaderWorld } from './support/leader-world.js';

const JOB = 'wk-000001';

test('a gang that no zones can hold under its constraints is never accepted', () => {
  const gang = { kind: 'gang' as const, tasks: 3 };
  const onlyZone = [{ ...g8, zones: ['z1'] }];
  const cases: [string, Partial<JobSpec>, typeof onlyZone, boolean][] = [
    ['scattered over two zones', { ...gang, scatter: true }, [g8], true],
    ['a single task', { kind: 'gang', tasks: 1, scatter: true, oneZone: true }, [g8], true],
    ['scattered, and in one zone', { ...gang, scatter: true, oneZone: true }, [g8], false],
    ['scattered, and bound to a zone', { ...gang, scatter: true, zone: 'z1' }, [g8], false],
    ['scattered, and its types are in one zone', { ...gang, scatter: true }, onlyZone, false],
    [
      'an array, whose tasks may run one after another',
      { tasks: 3, scatter: true, zone: 'z1' },
      [g8],
      true,
    ],
  ];
  for (const [name, over, types, runs] of cases) {
    assert.equal(unsatisfiableReason(spec(over), settings().teams, types) === null, runs, name);
  }
});

test('however small its tasks, a machine gets no more claims than its record can name', async () => {
  const world = new LeaderWorld();
  world.fleet.add('a');
  await world.run(1);
  world.submitJob({ id: JOB, tasks: 1000, cores: 0.001, gpus: 0, memGb: 0 });
  await world.run(1);
  const record = JSON.stringify(world.store.value(records.machineKey('a')));
  assert.ok(record.length <= world.store.valueBytes, `${record.length} bytes`);
});

test('a machine that sends its first heartbeat late is not returned', async () => {
  const world = new LeaderWorld();
  const ageS = 1000;
  await world.run(world.settings.workers.lease_s * 4);
  const listed = {
    id: 'a', addr: '', type: 'g8', zone: 'z1', spot: false, state: 'booting' as const, ageS,
  }; // prettier-ignore
  world.parts.capacity.applyList([listed]);
  assert.deepEqual(world.parts.capacity.machinesToRemove(), ['a']);
  // The cloud did not answer. Before the next request the machine sends heartbeats and has work.
  world.fleet.add('a');
  world.submitJob({ id: JOB });
  await world.run(2);
  assert.equal(world.fleet.running(JOB), 1);
  assert.deepEqual(world.parts.capacity.machinesToRemove(), []);
});
