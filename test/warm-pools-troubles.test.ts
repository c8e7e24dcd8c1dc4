/** Warm pools in troubles of the cloud, machines, clocks and budgets, in injected time. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { BURST_AT, HOLD_S, WarmPoolWorld, poolText } from './support/warm-pool-world.js';
import {
  all,
  machinesOf,
  totals,
  near,
  WHOLE,
  WHOLE_REPLICA,
  playAll,
} from './support/warm-pool-cases.js';

test('troubles of the cloud and of machines just before the burst', async () => {
  await playAll([
    {
      name: 'an outage of the cloud over the lead time',
      async play(world) {
        await world.runUntil(10);
        world.cloud.mode = 'trouble';
        await world.runUntil(BURST_AT + 2);
        assert.match(world.alarms(), /late:tutor \(0 of 2 warm\)/);
        world.cloud.mode = 'serve';
        await world.run(10);
        assert.equal(world.states(), 'warm warm');
        assert.equal(world.cloud.machines.size, 1);
        near(
          totals(world).machineS,
          world.now - world.cloud.machines.get('host-000001')!.addedAt,
          1,
          'paid',
        );
      },
    },
    {
      name: 'no capacity for a while',
      async play(world) {
        world.cloud.mode = 'no capacity';
        await world.runUntil(BURST_AT);
        assert.match(world.alarms(), /no_capacity:tutor/);
        world.cloud.mode = 'serve';
        await world.run(10);
        assert.equal(world.states(), 'warm warm');
        assert.equal(world.cloud.machines.size, 1);
      },
    },
    {
      name: 'the machine dies',
      async play(world) {
        await world.runUntil(BURST_AT - 0.6);
        world.cloud.kill('host-000001');
        await world.run(10);
        assert.equal(world.states(), 'lost lost warm warm');
        assert.deepEqual(machinesOf(world, 'tutor'), ['host-000001', 'host-000002']);
        const lost = world.slots().filter(({ state }) => state === 'lost');
        for (const { held } of lost) {
          near(held!.toMs! / 1000 - 1e6, BURST_AT - 0.6, 0.5, 'paid until it was heard last');
          assert.ok(held!.uncertainMs > 0, 'and marked');
        }
      },
    },
    {
      name: 'a machine that never comes',
      async play(world) {
        world.cloud.bootS = 1e9;
        await world.runUntil(BURST_AT + 12);
        assert.equal(world.states(), 'loading loading lost lost');
        world.cloud.bootS = 1;
        await world.run(3);
        assert.match(world.states(), /lost lost warm warm/);
      },
    },
    {
      name: 'a boot that takes several times as long as nominal',
      async play(world) {
        world.cloud.bootS = 9;
        await world.runUntil(BURST_AT + 8);
        assert.equal(world.states(), 'warm warm');
        assert.equal(world.cloud.machines.size, 1, 'nothing is rented in its place');
      },
    },
    {
      name: 'a notice that the machine is taken away',
      async play(world) {
        await world.runUntil(BURST_AT - 1);
        world.worker('host-000001').reclaimNoticeS = 30;
        await world.run(6);
        assert.equal(world.states(), 'lost lost warm warm');
      },
    },
    {
      name: 'its zone is cut off: it may be alive there',
      async play(world) {
        await world.runUntil(BURST_AT - 1);
        world.zoneRenewal = { keptUntil: Infinity, provenAt: Infinity };
        const worker = world.worker('host-000001');
        worker.mute = true;
        await world.run(8);
        assert.equal(world.states(), 'warm warm');
        worker.mute = false;
        world.zoneRenewal = { keptUntil: -Infinity, provenAt: Infinity };
        await world.run(2);
        assert.equal(world.states(), 'warm warm');
        assert.equal(world.cloud.machines.size, 1);
      },
    },
    {
      name: 'machines that die one after the other: at some point no more are added',
      async play(world) {
        for (let i = 0; i < 60; i++) {
          await world.runUntil(BURST_AT - 2 + i * 0.4);
          for (const id of world.fleet.workers.keys()) world.cloud.kill(id);
        }
        assert.ok(world.cloud.machines.size <= 4, `${world.cloud.machines.size} machines`);
      },
    },
  ]);
});

test('clocks that jump neither begin a burst nor end one, nor repeat it', async () => {
  await playAll([
    {
      name: 'an hour ahead for a moment',
      async play(world) {
        await world.runUntil(5);
        world.wallJumpMs = (BURST_AT - 5) * 1000;
        await world.run(3);
        assert.equal(all(world), '');
        world.wallJumpMs = 0;
        await world.runUntil(BURST_AT);
        assert.equal(world.states(), 'warm warm');
      },
    },
    {
      name: 'back for a moment, while warm',
      async play(world) {
        await world.runUntil(BURST_AT + 1);
        world.wallJumpMs = -3600e3;
        await world.run(2);
        assert.equal(world.states(), 'warm warm');
        assert.match(world.alarms(), /clock_jump/);
        world.wallJumpMs = 0;
        await world.run(1);
        assert.equal(world.alarms(), '');
      },
    },
    {
      name: 'back for good, after the burst is billed: it is not played again',
      async play(world) {
        await world.runUntil(BURST_AT + HOLD_S + 3);
        const before = totals(world);
        world.wallJumpMs = -(HOLD_S + 5) * 1000;
        await world.run(60);
        assert.equal(totals(world).slots, before.slots);
        near(totals(world).machineS, before.machineS, 1e-6, 'the bill');
      },
    },
    {
      name: 'an hour ahead for good, while warm: that hour is not billed',
      async play(world) {
        await world.runUntil(BURST_AT + 1);
        world.wallJumpMs = 3_600_000;
        await world.run(20);
        assert.equal(all(world), '', 'the burst is over by the clock that counts now');
        const { addedAt } = [...world.cloud.machines.values()][0]!;
        near(totals(world).machineS, BURST_AT + 13 - addedAt, 2, 'machine-seconds');
      },
    },
    {
      name: 'another leader whose clock is within the bound',
      async play(world) {
        await world.runUntil(18);
        world.wallJumpMs = 100;
        world.failOver();
        await world.runUntil(BURST_AT);
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
  await playAll(
    changes.map(([name, text, states, reason]) => ({
      name,
      async play(world) {
        await world.runUntil(BURST_AT + 1);
        world.declare(text);
        world.failOver();
        await world.run(3);
        assert.equal(world.states(), states);
        assert.match(String(world.slots().map((slot) => String(slot.reason))), reason);
      },
    })),
  );
});

test('a leader without pools takes over, and one with pools after it', async () => {
  const world = new WarmPoolWorld(poolText(WHOLE));
  await world.runUntil(BURST_AT + 1);
  world.declare(null);
  world.failOver();
  // The machines are as any others to it.
  world.submitJob({ id: 'wk-9', tasks: 1, gpus: 8, cores: 8 });
  await world.run(3);
  assert.equal(world.fleet.running('wk-9'), 1);
  assert.equal(world.states(), 'warm warm', 'the records stay');
  world.declare(poolText(WHOLE));
  world.failOver();
  await world.run(5);
  assert.match(world.states(), /^lost /, 'the place that was taken is looked for anew');
  assert.equal(world.fleet.running('wk-9'), 1, 'and the work goes on');
  assert.deepEqual(world.fleet.violations, []);
});

test('the budget ends in the middle of a burst', async () => {
  const PER_S = (2 * 10) / 3600;
  const budget = PER_S * 8;
  const rows: [string, string, RegExp][] = [
    ['release', '', /budget_exhausted/],
    ['keep', 'warm warm', /budget_exhausted/],
    ['alarm', 'warm warm', /budget_exhausted/],
  ];
  await playAll(
    rows.map(([policy, warm, alarm]) => ({
      name: policy,
      pools: poolText({ ...WHOLE, budget, on_exhausted: policy }),
      async play(world) {
        await world.runUntil(BURST_AT + 12);
        const open = world.slots().filter(({ state }) => state === 'warm');
        assert.equal(open.map(({ state }) => state).join(' '), warm);
        assert.match(world.alarms(), alarm);
        const money = world.bill().reduce((sum, row) => sum + row.money, 0);
        if (policy === 'release') near(money, budget, PER_S * 1, 'what was spent');
        // A dead machine shows whether any is added.
        if (warm === '') return;
        world.cloud.kill(world.cloud.machineIds[0]!);
        await world.run(5);
        const after = world.slots().filter(({ state }) => state === 'warm').length;
        assert.equal(after, policy === 'keep' ? 1 : 2);
      },
    })),
  );
});

test('no more is kept warm than the payer could start', async () => {
  await playAll([
    {
      name: 'a team that uses most of its limit',
      gpusMax: 10,
      async play(world) {
        world.replicaJob('wk-1', 'other', { gpus: 4 });
        await world.runUntil(BURST_AT);
        assert.equal(world.slots().filter(({ state }) => state === 'warm').length, 1);
        assert.match(world.alarms(), /over_team_limit:tutor \(1 of 2 slots\)/);
      },
    },
    {
      name: 'it uses more while they are warm: given up once, not to and fro',
      gpusMax: 10,
      async play(world) {
        await world.runUntil(BURST_AT);
        assert.equal(world.states(), 'warm warm');
        world.replicaJob('wk-1', 'other', { gpus: 4 });
        await world.run(3);
        assert.equal(world.states(), 'released warm');
        world.cancel('wk-1');
        await world.run(1);
        assert.equal(world.slots().length, 2, 'not taken up again at once');
      },
    },
    {
      name: 'a replica that takes its slot counts once',
      gpusMax: 8,
      async play(world) {
        await world.runUntil(BURST_AT);
        world.replicaJob('wk-1');
        // Claimed, and not stored yet.
        world.runCycle();
        world.leader.tick();
        assert.equal(world.leader.statistics().warm_slots_released, 0);
        await world.run(3);
        assert.equal(world.states(), 'used warm');
      },
    },
    {
      name: 'a machine type that the cloud does not have',
      pools: poolText({ types: 'x' }).replace('types = "x"', 'types = ["gone"]'),
      async play(world) {
        await world.runUntil(BURST_AT);
        assert.match(world.alarms(), /unknown_type:tutor \(gone: none fits\)/);
        assert.equal(world.cloud.machines.size, 0);
      },
    },
  ]);
});

test('what is kept warm is kept from other work', async () => {
  const array = (id: string, over = {}): object => ({
    ...{
      id,
      tasks: 1,
      gpus: 8,
      cores: 8,
      priority: 3,
      checkpointS: 1,
      estimateS: 0.2,
      imageGb: 0.1,
      ...over,
    },
  });
  await playAll([
    {
      name: 'other work gets a machine of its own',
      pools: poolText(WHOLE),
      async play(world) {
        await world.runUntil(BURST_AT - 1);
        const warm = world.cloud.machineIds;
        world.submitJob(array('wk-9', { priority: 1 }));
        await world.run(4);
        assert.equal(world.fleet.running('wk-9'), 1);
        assert.ok(!warm.includes(world.hosts('wk-9')[0]!));
        world.replicaJob('wk-1', 'tutor-1', { tasks: 2, ...WHOLE_REPLICA });
        await world.run(1);
        assert.deepEqual(world.hosts('wk-1').sort(), warm);
      },
    },
    {
      name: 'beside a slot there is capacity for what fits beside all of them',
      pools: poolText({ slots: 1 }),
      async play(world) {
        await world.runUntil(BURST_AT);
        world.submitJob({ id: 'wk-8', tasks: 1, gpus: 4, cores: 4, priority: 1 });
        await world.run(2);
        assert.deepEqual(world.hosts('wk-8'), ['host-000001']);
        world.submitJob({ id: 'wk-9', tasks: 1, gpus: 1, cores: 1, priority: 1 });
        await world.run(4);
        assert.notDeepEqual(world.hosts('wk-9'), ['host-000001']);
        assert.equal(world.states(), 'warm');
      },
    },
    {
      name: 'replicas go to places of slots, each to one, and not beside them',
      pools: poolText({ slots: 3 }),
      async play(world) {
        await world.runUntil(BURST_AT);
        assert.equal(world.cloud.machineIds.length, 2);
        world.replicaJob('wk-1', 'tutor-1', { tasks: 3 });
        await world.run(2);
        assert.equal(world.states(), 'used used used');
      },
    },
    {
      name: 'a place that was taken in the same cycle draws no other replica beside it',
      pools: poolText({ cores: 5, gpus: 5 }),
      async play(world) {
        await world.runUntil(BURST_AT);
        world.replicaJob('wk-1', 'tutor-1', { tasks: 2, cores: 3, gpus: 3 });
        await world.run(2);
        assert.equal(world.states(), 'used used');
      },
    },
    {
      name: 'a replica that was there before the slot does not use it',
      pools: poolText({ slots: 1 }),
      async play(world) {
        world.replicaJob('wk-1');
        await world.runUntil(BURST_AT + 1);
        assert.equal(world.states(), 'warm');
        assert.deepEqual(world.hosts('wk-1'), machinesOf(world, 'tutor'), 'beside it');
        world.failOver();
        await world.run(2);
        assert.equal(world.states(), 'warm');
      },
    },
    {
      name: 'an idle machine with a slot stays longer than any other would',
      pools: poolText({ hold_s: 200 }),
      async play(world) {
        await world.runUntil(BURST_AT);
        // One too many: that is the one that goes.
        world.fleet.add('host-900000');
        await world.runUntil(BURST_AT + 150);
        assert.equal(world.states(), 'warm warm');
        assert.equal(world.cloud.machines.size, 1);
        assert.deepEqual([...world.fleet.workers.keys()], world.cloud.machineIds);
      },
    },
    {
      name: 'work whose image would push out that of a slot goes elsewhere',
      pools: poolText({ slots: 1 }),
      async play(world) {
        world.replicaJob('wk-1');
        await world.runUntil(BURST_AT);
        const [warm] = machinesOf(world, 'tutor');
        world.machine(warm!).noteImage('tutor-1', 1, 100, world.now);
        world.cancel('wk-1');
        await world.run(1);
        world.submitJob({
          id: 'wk-9',
          tasks: 1,
          gpus: 2,
          cores: 2,
          priority: 1,
          image: 'x',
          imageGb: 99.5,
        });
        await world.run(4);
        assert.equal(world.fleet.running('wk-9'), 1);
        assert.notDeepEqual(world.hosts('wk-9'), [warm]);
        world.submitJob({
          id: 'wk-8',
          tasks: 1,
          gpus: 2,
          cores: 2,
          priority: 1,
          image: 'y',
          imageGb: 1,
        });
        await world.run(2);
        assert.equal(world.fleet.running('wk-8'), 1);
      },
    },
    {
      name: 'short best-effort work may borrow it where operators say so',
      pools: poolText({ ...WHOLE, lend: true }),
      async play(world) {
        await world.runUntil(BURST_AT - 1.2);
        world.submitJob(array('wk-9'));
        await world.run(0.6);
        assert.deepEqual(world.cloud.machineIds.includes(world.hosts('wk-9')[0]!), true);
        assert.equal(world.cloud.machineIdsOfSlots.length, 2);
        assert.match(world.states(), /warm warm/);
      },
    },
    {
      name: 'long work may not, since it could not be off it in time',
      pools: poolText({ ...WHOLE, lend: true }),
      async play(world) {
        await world.runUntil(BURST_AT - 1.2);
        world.submitJob(array('wk-9', { estimateS: 30 }));
        await world.run(0.6);
        assert.deepEqual(world.hosts('wk-9'), []);
      },
    },
  ]);
});
