/**
 * A leader that is frozen across an outage of the key-value store.
 *
 * What happens: tasks run on two machines. The leader freezes, the store refuses everybody, and the others renew leases in
 * its place, which they may. The outage ends, and the leader goes on before its key has lapsed, since keys have their full
 * time again: it renews the key, stays in its term, and counts leases as expired that were renewed meanwhile.
 * Why: `Election.stepAsLeader`, and the simulated controller like it, renews a key also after the leader's own entitlement
 * has lapsed, and `othersRenewUntil` knows of others' renewals only by the acknowledgement of the term's begin. A trial in
 * which the simulated controller ends its term there instead passes.
 * Found by `LATE_STARTS_SEED=3 LATE_STARTS_RUNS=6000` of an earlier form of late-starts-random, on the commit ed714e4 too;
 * its events are played here. Not mended yet: KNOWN-RED.txt.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { TROUBLES, beginDay } from './support/troubled-days.js';

const TIMES = { reportS: 1, leaseS: 10, cancelS: 30 };
const STEP_S = 0.5;

test('a leader that was frozen across an outage counts no lease as expired that others renewed', async () => {
  const world = await beginDay({ times: TIMES, reportsNewToken: false, events: [] });
  const play = async (trouble: string, steps: number, number = 0): Promise<void> => {
    TROUBLES[trouble]!(world, number);
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
