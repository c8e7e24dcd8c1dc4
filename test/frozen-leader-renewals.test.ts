/**
 * Leases that substitutes renew while the leader is frozen for less than the time of its entitlement.
 *
 * Guards against tasks on two machines: the outage ends, and the leader, which is still entitled and was never refused,
 * does not know of the substitutes' renewals.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { startScenario } from './support/fault-scenarios.js';

const TIMES = { reportS: 2.5, leaseS: 10, cancelS: 35 };
/** TTL of the leader's key, see `Election`. */
const LEADER_TTL_S = 3;

/** A freeze of the leader and an outage that begin together; in seconds. */
interface ShortFreeze {
  /** When they begin, relative to a heartbeat. */
  beginS: number;
  freezeS: number;
  outageS: number;
  /** Machine whose heartbeats are lost from the end of the outage on. */
  silentMachine: string;
}

async function play({ beginS, freezeS, outageS, silentMachine }: ShortFreeze): Promise<string[]> {
  const world = await startScenario({ times: TIMES, reportsNewToken: false, events: [] });
  await world.runUntil(world.now + beginS);
  const beginAt = world.now;
  world.leader!.frozenUntil = beginAt + freezeS;
  world.storeOutage = true;
  await world.runUntil(beginAt + outageS);
  world.storeOutage = false;
  for (const worker of world.fleet.workers.values())
    worker.heartbeatsLost = worker.id === silentMachine;
  await world.runUntil(beginAt + 2 * TIMES.leaseS);
  return world.fleet.violations;
}

test('a leader that was frozen while entitled counts no lease as expired that others renewed', async () => {
  for (const silentMachine of ['host-000000', 'host-000001']) {
    for (let beginS = 0; beginS < TIMES.reportS; beginS += TIMES.reportS / 5) {
      for (const outageShare of [0.6, 0.8, 0.9]) {
        const freezeS = 0.95 * LEADER_TTL_S;
        const outageS = outageShare * LEADER_TTL_S;
        const scenario = { beginS, freezeS, outageS, silentMachine };
        assert.deepEqual(await play(scenario), [], JSON.stringify(scenario));
      }
    }
  }
});

// Guards against a leader that is served all the time, and counts leases as expired that two refused controllers, cut off
// from it, have renewed.
test('a leader that is cut off from refused controllers counts no lease as expired that they renewed', async () => {
  for (let beginS = 0; beginS < TIMES.reportS; beginS += TIMES.reportS / 5) {
    const world = await startScenario({ times: TIMES, reportsNewToken: false, events: [] });
    await world.runUntil(world.now + beginS);
    const leader = world.leader!;
    leader.peersReachable = false;
    for (const each of world.controllers) if (each !== leader) each.ownStoreHealth = 'refused';
    await world.runUntil(world.now + 2 * TIMES.leaseS);
    leader.peersReachable = true;
    await world.runUntil(world.now + 2 * TIMES.leaseS);
    assert.deepEqual(world.fleet.violations, [], `${beginS} s`);
  }
});
