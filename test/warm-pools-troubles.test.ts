/** Warm pools under faults of the cloud, machines, clocks and features files, in simulated time. */
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
} from './support/warm-pool-cases.js';

test('faults of the cloud and of machines just before the burst', async () => {
  await runCases([
    {
      name: 'an outage of the cloud during the lead time',
      async run(world) {
        await world.runUntil(10);
        world.cloud.mode = 'trouble';
        await world.runUntil(BURST_AT_S + 2);
        assert.match(world.alarms(), /late:tutor \(0 of 2 warm\)/);
        world.cloud.mode = 'serve';
        await world.run(10);
        assert.equal(world.states(), 'warm warm');
        assert.equal(world.cloud.machines.size, 1);
        assertNear(
          billTotals(world).machineS,
          world.now - world.cloud.machines.get('host-000001')!.addedAt,
          1,
          'paid',
        );
      },
    },
    {
      name: 'no capacity for a while',
      async run(world) {
        world.cloud.mode = 'no capacity';
        await world.runUntil(BURST_AT_S);
        assert.match(world.alarms(), /no_capacity:tutor/);
        world.cloud.mode = 'serve';
        await world.run(10);
        assert.equal(world.states(), 'warm warm');
        assert.equal(world.cloud.machines.size, 1);
      },
    },
    {
      name: 'the machine dies',
      async run(world) {
        await world.runUntil(BURST_AT_S - 0.6);
        world.cloud.kill('host-000001');
        await world.run(10);
        assert.equal(world.states(), 'lost lost warm warm');
        assert.deepEqual(machinesOf(world, 'tutor'), ['host-000001', 'host-000002']);
        const lost = world.slots().filter(({ state }) => state === 'lost');
        for (const { held } of lost) {
          assertNear(
            held!.toMs! / 1000 - 1e6,
            BURST_AT_S - 0.6,
            0.5,
            'billed until its last heartbeat',
          );
          assert.ok(held!.uncertainMs > 0, 'and marked as uncertain');
        }
      },
    },
    {
      name: 'a machine that never boots',
      async run(world) {
        world.cloud.bootS = 1e9;
        await world.runUntil(BURST_AT_S + 12);
        assert.equal(world.states(), 'loading loading lost lost');
        world.cloud.bootS = 1;
        await world.run(3);
        assert.match(world.states(), /lost lost warm warm/);
      },
    },
    {
      name: 'a boot that takes several times as long as nominal',
      async run(world) {
        world.cloud.bootS = 9;
        await world.runUntil(BURST_AT_S + 8);
        assert.equal(world.states(), 'warm warm');
        assert.equal(world.cloud.machines.size, 1, 'no machine is added in its place');
      },
    },
    {
      name: 'a notice that the machine will be reclaimed',
      async run(world) {
        await world.runUntil(BURST_AT_S - 1);
        world.worker('host-000001').reclaimNoticeS = 30;
        await world.run(6);
        assert.equal(world.states(), 'lost lost warm warm');
      },
    },
    {
      name: 'its zone is partitioned: the machine may be alive there',
      async run(world) {
        await world.runUntil(BURST_AT_S - 1);
        world.zoneRenewal = { renewedUntil: Infinity, provenUntil: Infinity };
        const worker = world.worker('host-000001');
        worker.heartbeatsLost = true;
        await world.run(8);
        assert.equal(world.states(), 'warm warm');
        worker.heartbeatsLost = false;
        world.zoneRenewal = { renewedUntil: -Infinity, provenUntil: Infinity };
        await world.run(2);
        assert.equal(world.states(), 'warm warm');
        assert.equal(world.cloud.machines.size, 1);
      },
    },
    {
      name: 'machines fail one after the other: after a limit no more are added',
      async run(world) {
        for (let i = 0; i < 60; i++) {
          await world.runUntil(BURST_AT_S - 2 + i * 0.4);
          for (const id of world.fleet.workers.keys()) world.cloud.kill(id);
        }
        assert.ok(world.cloud.machines.size <= 4, `${world.cloud.machines.size} machines`);
      },
    },
  ]);
});

test('a jump of the clock neither begins, ends nor repeats a burst', async () => {
  await runCases([
    {
      name: 'ahead for a moment',
      async run(world) {
        await world.runUntil(5);
        world.wallClockJumpMs = (BURST_AT_S - 5) * 1000;
        await world.run(3);
        assert.equal(allStates(world), '');
        world.wallClockJumpMs = 0;
        await world.runUntil(BURST_AT_S);
        assert.equal(world.states(), 'warm warm');
      },
    },
    {
      name: 'back for a moment, while warm',
      async run(world) {
        await world.runUntil(BURST_AT_S + 1);
        world.wallClockJumpMs = -3600e3;
        await world.run(2);
        assert.equal(world.states(), 'warm warm');
        assert.match(world.alarms(), /clock_jump/);
        world.wallClockJumpMs = 0;
        await world.run(1);
        assert.equal(world.alarms(), '');
      },
    },
    {
      name: 'back for good, after the burst is billed: it is not repeated',
      async run(world) {
        await world.runUntil(BURST_AT_S + HOLD_S + 3);
        const before = billTotals(world);
        world.wallClockJumpMs = -(HOLD_S + 5) * 1000;
        await world.run(60);
        assert.equal(billTotals(world).slots, before.slots);
        assertNear(billTotals(world).machineS, before.machineS, 1e-6, 'the bill');
      },
    },
    {
      name: 'an hour ahead for good, while warm: that hour is not billed',
      async run(world) {
        await world.runUntil(BURST_AT_S + 1);
        world.wallClockJumpMs = 3_600_000;
        await world.run(20);
        assert.equal(
          allStates(world),
          '',
          'the burst is over by the time of day that is followed now',
        );
        const { addedAt } = [...world.cloud.machines.values()][0]!;
        assertNear(billTotals(world).machineS, BURST_AT_S + 13 - addedAt, 2, 'machine-seconds');
      },
    },
    {
      name: 'another leader whose clock is within the bound',
      async run(world) {
        await world.runUntil(18);
        world.wallClockJumpMs = 100;
        world.failOver();
        await world.runUntil(BURST_AT_S);
        assert.equal(world.states(), 'warm warm');
        assert.equal(world.cloud.machines.size, 1);
      },
    },
  ]);
});

test('the features file changes while slots are warm', async () => {
  const changes: [string, string | null, string, RegExp][] = [
    ['the pool is removed', poolText({ name: 'other', image: 'x', schedule: '0 0 1 1 *' }), '', /^$/],
    ['fewer slots', poolText({ slots: 1 }), 'released warm', /fewer/],
    ['the same', poolText(), 'warm warm', /null/],
  ]; // prettier-ignore
  await runCases(
    changes.map(([name, text, states, reason]) => ({
      name,
      async run(world) {
        await world.runUntil(BURST_AT_S + 1);
        world.declare(text);
        world.failOver();
        await world.run(3);
        assert.equal(world.states(), states);
        assert.match(String(world.slots().map((slot) => String(slot.reason))), reason);
      },
    })),
  );
});

test('a leader without pools takes over, and then one with pools', async () => {
  const world = new WarmPoolWorld(poolText(WHOLE_MACHINE));
  await world.runUntil(BURST_AT_S + 1);
  world.declare(null);
  world.failOver();
  // This leader treats the machines like any others.
  world.submitJob({ id: 'wk-9', tasks: 1, gpus: 8, cores: 8 });
  await world.run(3);
  assert.equal(world.fleet.running('wk-9'), 1);
  assert.equal(world.states(), 'warm warm', 'the records stay');
  world.declare(poolText(WHOLE_MACHINE));
  world.failOver();
  await world.run(5);
  assert.match(world.states(), /^lost /, 'the slot whose capacity was taken is replaced');
  assert.equal(world.fleet.running('wk-9'), 1, 'and the work continues');
  assert.deepEqual(world.fleet.violations, []);
});
