/**
 * A leader that is frozen during an outage of the key-value store.
 *
 * Guards against tasks on two machines. The leader freezes, the store refuses all controllers, and the others rightly
 * renew leases as substitutes. The outage ends, and the leader resumes before its key has expired, since keys run
 * their full time again after an outage. Its entitlement has lapsed, so it must end its term. If it renewed the key and
 * continued, it would count leases as expired that the others have renewed.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { FAULTS, startScenario } from './support/fault-scenarios.js';

const TIMES = { reportS: 1, leaseS: 10, cancelS: 30 };
const STEP_S = 0.5;

test('a leader that was frozen during an outage counts no lease as expired that others renewed', async () => {
  const world = await startScenario({ times: TIMES, reportsNewToken: false, events: [] });
  const play = async (fault: string, steps: number, number = 0): Promise<void> => {
    FAULTS[fault]!(world, number);
    for (let i = 0; i < steps; i++) await world.runUntil(world.now + STEP_S);
  };
  await play('leader freeze', 1, 5);
  await play('lost messages to a worker', 3, 1);
  await play('outage', 7);
  await play('worker links restored', 4);
  await play('end of the outage', 0);
  await play('leader crash', 0, 1);
  await play('restart of crashed controllers', 0);
  await play('leader crash', 60, 1);
  assert.deepEqual(world.fleet.violations, []);
});
