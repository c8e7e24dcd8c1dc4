/** Budgets, team limits, and capacity that is reserved against other work. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { BURST_AT_S, poolText } from './support/warm-pool-world.js';
import {
  machinesOf,
  assertNear,
  WHOLE_MACHINE,
  WHOLE_MACHINE_REPLICA,
  runCases,
} from './support/warm-pool-cases.js';

test('the budget is spent in the middle of a burst', async () => {
  const COST_PER_S = (2 * 10) / 3600;
  const budget = COST_PER_S * 8;
  const rows: [string, string, RegExp][] = [
    ['release', '', /budget_exhausted/],
    ['keep', 'warm warm', /budget_exhausted/],
    ['alarm', 'warm warm', /budget_exhausted/],
  ];
  await runCases(
    rows.map(([policy, warm, alarm]) => ({
      name: policy,
      pools: poolText({ ...WHOLE_MACHINE, budget, on_exhausted: policy }),
      async run(world) {
        await world.runUntil(BURST_AT_S + 12);
        const open = world.slots().filter(({ state }) => state === 'warm');
        assert.equal(open.map(({ state }) => state).join(' '), warm);
        assert.match(world.alarms(), alarm);
        const money = world.bill().reduce((sum, row) => sum + row.money, 0);
        if (policy === 'release') assertNear(money, budget, COST_PER_S * 1, 'money spent');
        // The death of a machine shows whether slots are added.
        if (warm === '') return;
        world.cloud.kill(world.cloud.machineIds[0]!);
        await world.run(5);
        const after = world.slots().filter(({ state }) => state === 'warm').length;
        assert.equal(after, policy === 'keep' ? 1 : 2);
      },
    })),
  );
});

test('no more slots are kept warm than the team could start', async () => {
  await runCases([
    {
      name: 'a team that uses most of its limit',
      gpusMax: 10,
      async run(world) {
        world.replicaJob('wk-1', 'other', { gpus: 4 });
        await world.runUntil(BURST_AT_S);
        assert.equal(world.slots().filter(({ state }) => state === 'warm').length, 1);
        assert.match(world.alarms(), /over_team_limit:tutor \(1 of 2 slots\)/);
      },
    },
    {
      name: 'it uses more while slots are warm: one is released, without oscillation',
      gpusMax: 10,
      async run(world) {
        await world.runUntil(BURST_AT_S);
        assert.equal(world.states(), 'warm warm');
        world.replicaJob('wk-1', 'other', { gpus: 4 });
        await world.run(3);
        assert.equal(world.states(), 'released warm');
        world.cancel('wk-1');
        await world.run(1);
        assert.equal(world.slots().length, 2, 'no slot is added again at once');
      },
    },
    {
      name: 'a replica that uses its slot counts once',
      gpusMax: 8,
      async run(world) {
        await world.runUntil(BURST_AT_S);
        world.replicaJob('wk-1');
        // The claim is not stored yet.
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
      async run(world) {
        await world.runUntil(BURST_AT_S);
        assert.match(world.alarms(), /unknown_type:tutor \(gone: none fits\)/);
        assert.equal(world.cloud.machines.size, 0);
      },
    },
  ]);
});

test('warm slots are reserved against other work', async () => {
  const arrayJob = (id: string, over = {}): object => ({
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
  await runCases([
    {
      name: 'other work gets a machine of its own',
      pools: poolText(WHOLE_MACHINE),
      async run(world) {
        await world.runUntil(BURST_AT_S - 1);
        const warm = world.cloud.machineIds;
        world.submitJob(arrayJob('wk-9', { priority: 1 }));
        await world.run(4);
        assert.equal(world.fleet.running('wk-9'), 1);
        assert.ok(!warm.includes(world.hosts('wk-9')[0]!));
        world.replicaJob('wk-1', 'tutor-1', { tasks: 2, ...WHOLE_MACHINE_REPLICA });
        await world.run(1);
        assert.deepEqual(world.hosts('wk-1').sort(), warm);
      },
    },
    {
      name: 'work may use the capacity that all slots of a machine leave',
      pools: poolText({ slots: 1 }),
      async run(world) {
        await world.runUntil(BURST_AT_S);
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
      name: 'each replica uses one slot, and none uses other capacity',
      pools: poolText({ slots: 3 }),
      async run(world) {
        await world.runUntil(BURST_AT_S);
        assert.equal(world.cloud.machineIds.length, 2);
        world.replicaJob('wk-1', 'tutor-1', { tasks: 3 });
        await world.run(2);
        assert.equal(world.states(), 'used used used');
      },
    },
    {
      name: 'a slot that was used in the same cycle attracts no other replica to its machine',
      pools: poolText({ cores: 5, gpus: 5 }),
      async run(world) {
        await world.runUntil(BURST_AT_S);
        world.replicaJob('wk-1', 'tutor-1', { tasks: 2, cores: 3, gpus: 3 });
        await world.run(2);
        assert.equal(world.states(), 'used used');
      },
    },
    {
      name: 'a replica that was there before the slot does not use it',
      pools: poolText({ slots: 1 }),
      async run(world) {
        world.replicaJob('wk-1');
        await world.runUntil(BURST_AT_S + 1);
        assert.equal(world.states(), 'warm');
        assert.deepEqual(world.hosts('wk-1'), machinesOf(world, 'tutor'), 'on the same machine');
        world.failOver();
        await world.run(2);
        assert.equal(world.states(), 'warm');
      },
    },
    {
      name: 'an idle machine with a slot stays longer than any other one',
      pools: poolText({ hold_s: 200 }),
      async run(world) {
        await world.runUntil(BURST_AT_S);
        // The fleet has one machine too many: this one is returned.
        world.fleet.add('host-900000');
        await world.runUntil(BURST_AT_S + 150);
        assert.equal(world.states(), 'warm warm');
        assert.equal(world.cloud.machines.size, 1);
        assert.deepEqual([...world.fleet.workers.keys()], world.cloud.machineIds);
      },
    },
    {
      name: 'work whose image would evict that of a slot is placed elsewhere',
      pools: poolText({ slots: 1 }),
      async run(world) {
        world.replicaJob('wk-1');
        await world.runUntil(BURST_AT_S);
        const [warm] = machinesOf(world, 'tutor');
        world.machine(warm!).recordImageUse('tutor-1', 1, 100, world.now);
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
      name: 'short best-effort work may borrow a slot of a pool that lends',
      pools: poolText({ ...WHOLE_MACHINE, lend: true }),
      async run(world) {
        await world.runUntil(BURST_AT_S - 1.2);
        world.submitJob(arrayJob('wk-9'));
        await world.run(0.6);
        assert.deepEqual(world.cloud.machineIds.includes(world.hosts('wk-9')[0]!), true);
        assert.equal(world.cloud.slotMachineIds.length, 2);
        assert.match(world.states(), /warm warm/);
      },
    },
    {
      name: 'long work may not borrow a slot, since it could not end in time',
      pools: poolText({ ...WHOLE_MACHINE, lend: true }),
      async run(world) {
        await world.runUntil(BURST_AT_S - 1.2);
        world.submitJob(arrayJob('wk-9', { estimateS: 30 }));
        await world.run(0.6);
        assert.deepEqual(world.hosts('wk-9'), []);
      },
    },
  ]);
});
