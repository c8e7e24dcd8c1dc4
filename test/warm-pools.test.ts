/** Warm pools through bursts and faults, in simulated time: leader, store, cloud and workers. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { BURST_AT_S, HOLD_S, WarmPoolWorld, poolText } from './support/warm-pool-world.js';
import {
  allStates,
  machinesOf,
  billTotals,
  assertNear,
  WHOLE_MACHINE,
  runCases,
  type Case,
} from './support/warm-pool-cases.js';

test('a burst occurs as declared, early, late, twice as large, or not at all', async () => {
  await runCases([
    {
      name: 'as declared',
      async run(world) {
        await world.runUntil(BURST_AT_S - 0.4);
        assert.equal(world.states(), 'warm warm');
        const warm = world.cloud.machineIds;
        assert.equal(warm.length, 1, 'both fit on one machine');
        world.replicaJob('wk-1', 'tutor-1', { tasks: 2 });
        await world.run(0.8);
        assert.deepEqual(world.hosts('wk-1'), warm);
        await world.run(0.6);
        assert.equal(world.states(), 'used used');
        await world.runUntil(BURST_AT_S + HOLD_S + 2);
        assert.equal(allStates(world), '', 'all slots are billed');
        assert.deepEqual([world.bill()[0]!.slots, world.bill()[0]!.used], [2, 2]);
      },
    },
    {
      name: 'early, while the machine boots',
      async run(world) {
        world.cloud.bootS = 2;
        await world.runUntil(BURST_AT_S - 3);
        assert.equal(world.states(), 'loading loading');
        world.replicaJob('wk-1');
        await world.run(5);
        assert.deepEqual(world.hosts('wk-1'), machinesOf(world, 'tutor'));
        assert.deepEqual(world.cloud.slotMachineIds, machinesOf(world, 'tutor'));
        assert.equal(world.states(), 'used warm');
      },
    },
    {
      name: 'late',
      async run(world) {
        await world.runUntil(BURST_AT_S + HOLD_S * 0.8);
        assert.equal(world.states(), 'warm warm');
        world.replicaJob('wk-1');
        await world.run(1);
        assert.equal(world.fleet.running('wk-1'), 1);
      },
    },
    {
      name: 'twice as large, with refills',
      pools: poolText({ refills: 2 }),
      async run(world) {
        await world.runUntil(BURST_AT_S);
        world.replicaJob('wk-1', 'tutor-1', { tasks: 2 });
        await world.run(6);
        assert.equal(
          world.states(),
          'used used warm warm',
          'replaced while the burst is in progress',
        );
        world.replicaJob('wk-2', 'tutor-1', { tasks: 2 });
        await world.run(6);
        assert.equal(world.states(), 'used used used used', 'and not more often than declared');
        assert.equal(world.fleet.running('wk-2'), 2);
      },
    },
    {
      name: 'not at all: machines are returned once, and billed until their slots are released',
      pools: poolText(WHOLE_MACHINE),
      async run(world) {
        await world.runUntil(BURST_AT_S + HOLD_S + 60);
        assert.equal(allStates(world), '');
        assert.deepEqual(world.cloud.machineIds, []);
        assert.equal(world.cloud.machines.size, 2, 'no machine was added twice');
        const expectedS = [...world.cloud.machines.values()].map(
          ({ addedAt }) => BURST_AT_S + HOLD_S - addedAt,
        );
        assertNear(billTotals(world).machineS, expectedS[0]! + expectedS[1]!, 1, 'machine-seconds');
      },
    },
    {
      name: 'its replicas are cancelled: used slots stay used and are billed once',
      pools: poolText({ refills: 1 }),
      async run(world) {
        await world.runUntil(BURST_AT_S);
        world.replicaJob('wk-1');
        await world.run(2);
        world.cancel('wk-1');
        await world.run(2);
        assert.equal(world.fleet.running('wk-1'), 0);
        assert.equal(world.states(), 'used warm warm');
      },
    },
  ]);
});

test('two pools need the last machine: precedence, then the earlier burst, then the name', async () => {
  const pool = (name: string, over: Record<string, string | number> = {}): string =>
    poolText({ ...WHOLE_MACHINE, name, image: name, slots: 1, ...over });
  const earlier = { schedule: '58 46 13 * * *' };
  const rows: [string, string, string, string][] = [
    ['precedence', pool('b', { precedence: 1 }), pool('a'), 'b'],
    ['precedence before the earlier burst', pool('b', { precedence: 1 }), pool('a', earlier), 'b'],
    ['the earlier burst', pool('b', earlier), pool('a'), 'b'],
    ['the name', pool('b'), pool('a'), 'a'],
  ];
  await runCases(
    rows.map(([name, one, other, winner]) => ({
      name,
      pools: one + other,
      async run(world) {
        world.cloud.remainingMachines = 1;
        const loser = winner === 'a' ? 'b' : 'a';
        await world.runUntil(BURST_AT_S);
        const held = (): string[] =>
          world.slots().flatMap((slot) => (slot.state === 'warm' ? [slot.pool] : []));
        assert.deepEqual(held(), [winner]);
        assert.match(
          world.alarms(),
          new RegExp(`no_capacity:${loser} .*${winner} gives its own up at`),
        );
        const before = world.slots().length;
        await world.run(HOLD_S * 0.5);
        assert.deepEqual(held(), [winner], 'no oscillation between pools');
        assert.ok(world.slots().length <= before, 'no slots are added and released again');
        await world.run(HOLD_S * 0.5);
        assert.ok(!held().includes(winner), 'released when its burst is over');
      },
    })),
  );
});

test('a leader ends at any time during the preparation: no machine is added twice or lost', async () => {
  const cases: Case[] = [];
  for (let at = 12; at < 21; at += 0.4) {
    for (const mode of ['serve', 'lose answers'] as const) {
      cases.push({
        name: `at ${at.toFixed(1)}, answers: ${mode}`,
        async run(world) {
          world.cloud.mode = mode;
          await world.runUntil(at);
          world.failOver();
          world.cloud.mode = 'serve';
          await world.runUntil(Math.max(BURST_AT_S, at + 5));
          assert.equal(world.cloud.machines.size, 1);
          assert.equal(world.states(), 'warm warm');
          assert.deepEqual(machinesOf(world, 'tutor'), world.cloud.machineIds);
          await world.runUntil(BURST_AT_S + HOLD_S + 3);
          const { addedAt } = [...world.cloud.machines.values()][0]!;
          const { machineS, uncertainS } = billTotals(world);
          assertNear(machineS, BURST_AT_S + HOLD_S - addedAt, 1 + uncertainS, 'machine-seconds');
        },
      });
    }
  }
  await runCases(cases);
});

test('a leader that froze between its check and its call adds no further machine', async () => {
  const world = new WarmPoolWorld();
  const delayedCalls: (() => void)[] = [];
  const scaleOut = world.cloud.scaleOut.bind(world.cloud);
  world.cloud.scaleOut = (request) => {
    // The first call goes out only when another controller leads; its sender gets no answer.
    if (world.cloud.calls++ > 0) return scaleOut(request);
    delayedCalls.push(() => void scaleOut(request));
    return Promise.resolve({ how: 'unknown' });
  };
  await world.runUntil(17);
  assert.equal(delayedCalls.length, 1);
  const old = world.leader;
  world.failOver();
  await world.runUntil(BURST_AT_S);
  for (const call of delayedCalls) call();
  old.tick();
  await world.run(3);
  assert.equal(world.cloud.machines.size, 1, 'the same request, the same machine');
  assert.equal(world.states(), 'warm warm');
});

test('commits of a leader that was replaced change no slot', async () => {
  const world = new WarmPoolWorld();
  await world.runUntil(16.2);
  world.store.mode = 'hold back';
  await world.run(1);
  world.store.mode = 'serve';
  world.failOver();
  const before = world.slots();
  world.store.deliverHeldBack();
  assert.deepEqual(world.slots(), before);
  await world.runUntil(BURST_AT_S);
  assert.equal(world.states(), 'warm warm');
  assert.equal(world.cloud.machines.size, 1);
});

test('an outage of the key-value store lasts for the whole lead time', async () => {
  const outage = async (world: WarmPoolWorld, from: number, to: number): Promise<void> => {
    await world.runUntil(from);
    world.canWrite = false;
    world.store.mode = 'refuse';
    await world.runUntil(to);
  };
  const endOutage = (world: WarmPoolWorld): void => {
    world.canWrite = true;
    world.store.mode = 'serve';
  };
  await runCases([
    {
      name: 'requests that were named before it are sent once during it',
      async run(world) {
        await outage(world, 14, BURST_AT_S + 1);
        assert.equal(world.cloud.machineIds.length, 1, 'added during the outage');
        assert.ok(world.cloud.machines.get(world.cloud.machineIds[0]!)!.addedAt < BURST_AT_S - 2);
        endOutage(world);
        await world.run(1.5);
        assert.equal(world.states(), 'warm warm');
        assert.equal(world.cloud.machines.size, 1);
      },
    },
    {
      name: 'the leader ends during it: its successor requests the same machines',
      async run(world) {
        await outage(world, 14, BURST_AT_S + 1);
        endOutage(world);
        world.failOver();
        await world.run(4);
        assert.equal(world.cloud.machines.size, 1);
        assert.equal(world.states(), 'warm warm');
        assert.ok(
          billTotals(world).uncertainS > 0,
          'the successor does not know when the machine was added',
        );
      },
    },
    {
      name: 'the pool is removed after it: the added machine is not lost, and is billed',
      async run(world) {
        await outage(world, 14, BURST_AT_S + 1);
        endOutage(world);
        world.declare(poolText({ name: 'other', image: 'x', schedule: '0 0 1 1 *' }));
        world.failOver();
        await world.run(5);
        assert.equal(world.cloud.machines.size, 1);
        assert.ok(billTotals(world).machineS > 0 && billTotals(world).open === 0);
      },
    },
    {
      name: 'no request was named: no machine is added during it, and the burst is late',
      async run(world) {
        await outage(world, 8, BURST_AT_S + 1);
        assert.equal(world.cloud.calls, 0);
        endOutage(world);
        await world.run(1);
        assert.match(world.alarms(), /late:tutor/);
        await world.run(4);
        assert.equal(world.states(), 'warm warm');
        assert.equal(world.alarms(), '');
      },
    },
  ]);
});
