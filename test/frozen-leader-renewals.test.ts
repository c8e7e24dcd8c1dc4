/**
 * Leases that other controllers renewed while their leader was frozen for less than the life of its entitlement.
 *
 * Guards against tasks on two machines: the outage ends and the leader goes on, still entitled and never refused, and knows
 * of none of the renewals that were given in its place.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { beginDay } from './support/troubled-days.js';

const TIMES = { reportS: 2.5, leaseS: 10, cancelS: 35 };
/** Life of the leader's key, see `Election`. */
const LEADER_TTL_S = 3;

/** What happens after the day has begun, in seconds. */
interface ShortFreeze {
  /** The leader freezes, and the outage begins, so long after a heartbeat. */
  beginS: number;
  freezeS: number;
  outageS: number;
  /** It is silent from the end of the outage on. */
  silentMachine: string;
}

async function play({ beginS, freezeS, outageS, silentMachine }: ShortFreeze): Promise<string[]> {
  const world = await beginDay({ times: TIMES, reportsNewToken: false, events: [] });
  await world.runUntil(world.now + beginS);
  const beginAt = world.now;
  world.leader!.frozenUntil = beginAt + freezeS;
  world.storeOutage = true;
  await world.runUntil(beginAt + outageS);
  world.storeOutage = false;
  for (const worker of world.fleet.workers.values()) worker.mute = worker.id === silentMachine;
  await world.runUntil(beginAt + 2 * TIMES.leaseS);
  return world.fleet.violations;
}

// A leader that was frozen for less than the time of its entitlement counted leases as expired that others had renewed.
test('a leader that was frozen while entitled counts no lease as expired that others renewed', async () => {
  for (const silentMachine of ['host-000000', 'host-000001']) {
    for (let beginS = 0; beginS < TIMES.reportS; beginS += TIMES.reportS / 5) {
      for (const outageShare of [0.6, 0.8, 0.9]) {
        const freezeS = 0.95 * LEADER_TTL_S;
        const outageS = outageShare * LEADER_TTL_S;
        const day = { beginS, freezeS, outageS, silentMachine };
        assert.deepEqual(await play(day), [], JSON.stringify(day));
      }
    }
  }
});

// A leader that was served all the time counted leases as expired that two refused controllers, cut off from it, renewed.
test('a leader that is cut off from controllers that are refused counts no lease of theirs as expired', async () => {
  for (let beginS = 0; beginS < TIMES.reportS; beginS += TIMES.reportS / 5) {
    const world = await beginDay({ times: TIMES, reportsNewToken: false, events: [] });
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
