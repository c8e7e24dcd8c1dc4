/** Warm pools through bursts and troubles, in injected time: leader, store, cloud and workers. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { BURST_AT, HOLD_S, PoolWorld, poolText } from './pool-helpers.js';

/** All pools' slots, sorted. */
const all = (w: PoolWorld): string =>
  w
    .slots()
    .map(({ state }) => state)
    .sort()
    .join(' ');

const machinesOf = (w: PoolWorld, pool: string): string[] =>
  [
    ...new Set(
      w.slots().flatMap((s) => (s.pool === pool && s.machine !== null ? [s.machine] : [])),
    ),
  ].sort();

const totals = (
  w: PoolWorld,
): { machineS: number; uncertainS: number; slots: number; open: number } =>
  w.bill().reduce(
    (sum, row) => ({
      machineS: sum.machineS + row.machineS,
      uncertainS: sum.uncertainS + row.uncertainS,
      slots: sum.slots + row.slots,
      open: sum.open + row.open,
    }),
    { machineS: 0, uncertainS: 0, slots: 0, open: 0 },
  );

const near = (actual: number, expected: number, by: number, what: string): void =>
  assert.ok(Math.abs(actual - expected) <= by, `${what}: ${actual}, expected ${expected} ± ${by}`);

/** A pool whose every slot takes a whole machine. */
const WHOLE = { cores: 8, gpus: 8, mem_gb: 32 };
const WHOLE_REPLICA = { cores: 8, gpus: 8, memGb: 32 };

interface Case {
  name: string;
  pools?: string;
  gpusMax?: number;
  play(w: PoolWorld): Promise<void>;
}

async function playAll(cases: Case[]): Promise<void> {
  const failures: string[] = [];
  for (const { name, pools, gpusMax, play } of cases) {
    const w = new PoolWorld(pools, gpusMax);
    try {
      await play(w);
      assert.deepEqual(w.fleet.broken, []);
    } catch (error) {
      failures.push(`${name}: ${String(error)}`);
    }
  }
  assert.deepEqual(failures, []);
}

test('a burst comes as declared, early, late, twice as large, or not at all', async () => {
  await playAll([
    {
      name: 'as declared',
      async play(w) {
        await w.runUntil(BURST_AT - 0.4);
        assert.equal(w.states(), 'warm warm');
        const warm = w.cloud.rented;
        assert.equal(warm.length, 1, 'both fit on one machine');
        w.replicaJob('wk-1', 'tutor-1', { tasks: 2 });
        await w.run(0.8);
        assert.deepEqual(w.hosts('wk-1'), warm);
        await w.run(0.6);
        assert.equal(w.states(), 'used used');
        await w.runUntil(BURST_AT + HOLD_S + 2);
        assert.equal(all(w), '', 'all is in the bill');
        assert.deepEqual([w.bill()[0]!.slots, w.bill()[0]!.used], [2, 2]);
      },
    },
    {
      name: 'early, while the machine boots',
      async play(w) {
        w.cloud.bootS = 2;
        await w.runUntil(BURST_AT - 3);
        assert.equal(w.states(), 'loading loading');
        w.replicaJob('wk-1');
        await w.run(5);
        assert.deepEqual(w.hosts('wk-1'), machinesOf(w, 'tutor'));
        assert.deepEqual(w.cloud.rentedForPools, machinesOf(w, 'tutor'));
        assert.equal(w.states(), 'used warm');
      },
    },
    {
      name: 'late',
      async play(w) {
        await w.runUntil(BURST_AT + HOLD_S * 0.8);
        assert.equal(w.states(), 'warm warm');
        w.replicaJob('wk-1');
        await w.run(1);
        assert.equal(w.fleet.running('wk-1'), 1);
      },
    },
    {
      name: 'twice as large, with refills',
      pools: poolText({ refills: 2 }),
      async play(w) {
        await w.runUntil(BURST_AT);
        w.replicaJob('wk-1', 'tutor-1', { tasks: 2 });
        await w.run(6);
        assert.equal(w.states(), 'used used warm warm', 'made up for while it goes on');
        w.replicaJob('wk-2', 'tutor-1', { tasks: 2 });
        await w.run(6);
        assert.equal(w.states(), 'used used used used', 'and not more often than declared');
        assert.equal(w.fleet.running('wk-2'), 2);
      },
    },
    {
      name: 'not at all: given back once, and paid for until it was given up',
      pools: poolText(WHOLE),
      async play(w) {
        await w.runUntil(BURST_AT + HOLD_S + 60);
        assert.equal(all(w), '');
        assert.deepEqual(w.cloud.rented, []);
        assert.equal(w.cloud.machines.size, 2, 'nothing was rented twice');
        const reckoned = [...w.cloud.machines.values()].map(
          ({ rentedAt }) => BURST_AT + HOLD_S - rentedAt,
        );
        near(totals(w).machineS, reckoned[0]! + reckoned[1]!, 1, 'machine-seconds');
      },
    },
    {
      name: 'its replicas are cancelled: what was used stays used, and is billed once',
      pools: poolText({ refills: 1 }),
      async play(w) {
        await w.runUntil(BURST_AT);
        w.replicaJob('wk-1');
        await w.run(2);
        w.cancel('wk-1');
        await w.run(2);
        assert.equal(w.fleet.running('wk-1'), 0);
        assert.equal(w.states(), 'used warm warm');
      },
    },
  ]);
});

test('two pools want the last machine: precedence, then the earlier burst, then the name', async () => {
  const pool = (name: string, over: Record<string, string | number> = {}): string =>
    poolText({ ...WHOLE, name, image: name, slots: 1, ...over });
  const earlier = { schedule: '58 46 13 * * *' };
  const rows: [string, string, string, string][] = [
    ['precedence', pool('b', { precedence: 1 }), pool('a'), 'b'],
    ['precedence before the earlier burst', pool('b', { precedence: 1 }), pool('a', earlier), 'b'],
    ['the earlier burst', pool('b', earlier), pool('a'), 'b'],
    ['the name', pool('b'), pool('a'), 'a'],
  ];
  await playAll(
    rows.map(([name, one, other, winner]) => ({
      name,
      pools: one + other,
      async play(w) {
        w.cloud.left = 1;
        const loser = winner === 'a' ? 'b' : 'a';
        await w.runUntil(BURST_AT);
        const held = (): string[] => w.slots().flatMap((s) => (s.state === 'warm' ? [s.pool] : []));
        assert.deepEqual(held(), [winner]);
        assert.match(
          w.alarms(),
          new RegExp(`no_capacity:${loser} .*${winner} gives its own up at`),
        );
        const before = w.slots().length;
        await w.run(HOLD_S * 0.5);
        assert.deepEqual(held(), [winner], 'no going to and fro');
        assert.ok(w.slots().length <= before, 'nor slots that come and go');
        await w.run(HOLD_S * 0.5);
        assert.ok(!held().includes(winner), 'given up when its burst is over');
      },
    })),
  );
});

test('a leader ends at any moment of the preparation: nothing is rented twice, nothing forgotten', async () => {
  const cases: Case[] = [];
  for (let at = 12; at < 21; at += 0.4) {
    for (const mode of ['serve', 'lose answers'] as const) {
      cases.push({
        name: `at ${at.toFixed(1)}, answers: ${mode}`,
        async play(w) {
          w.cloud.mode = mode;
          await w.runUntil(at);
          w.takeOver();
          w.cloud.mode = 'serve';
          await w.runUntil(Math.max(BURST_AT, at + 5));
          assert.equal(w.cloud.machines.size, 1);
          assert.equal(w.states(), 'warm warm');
          assert.deepEqual(machinesOf(w, 'tutor'), w.cloud.rented);
          await w.runUntil(BURST_AT + HOLD_S + 3);
          const { rentedAt } = [...w.cloud.machines.values()][0]!;
          const { machineS, uncertainS } = totals(w);
          near(machineS, BURST_AT + HOLD_S - rentedAt, 1 + uncertainS, 'machine-seconds');
        },
      });
    }
  }
  await playAll(cases);
});

test('a leader that froze between its check and its call rents nothing more', async () => {
  const w = new PoolWorld();
  const late: (() => void)[] = [];
  const rent = w.cloud.rent.bind(w.cloud);
  w.cloud.rent = (request) => {
    // The first call goes out only once another controller leads; its sender never hears of it.
    if (w.cloud.calls++ > 0) return rent(request);
    late.push(() => void rent(request));
    return Promise.resolve({ how: 'unknown' });
  };
  await w.runUntil(17);
  assert.equal(late.length, 1);
  const old = w.leader;
  w.takeOver();
  await w.runUntil(BURST_AT);
  for (const call of late) call();
  old.tick();
  await w.run(3);
  assert.equal(w.cloud.machines.size, 1, 'the same request, the same machine');
  assert.equal(w.states(), 'warm warm');
});

test('commits of a leader that was replaced change no slot', async () => {
  const w = new PoolWorld();
  await w.runUntil(16.2);
  w.store.mode = 'hold back';
  await w.run(1);
  w.store.mode = 'serve';
  w.takeOver();
  const before = w.slots();
  w.store.deliver();
  assert.deepEqual(w.slots(), before);
  await w.runUntil(BURST_AT);
  assert.equal(w.states(), 'warm warm');
  assert.equal(w.cloud.machines.size, 1);
});

test('an outage of the state service lies over the whole lead time', async () => {
  const outage = async (w: PoolWorld, from: number, to: number): Promise<void> => {
    await w.runUntil(from);
    w.writing = false;
    w.store.mode = 'refuse';
    await w.runUntil(to);
  };
  const over = (w: PoolWorld): void => {
    w.writing = true;
    w.store.mode = 'serve';
  };
  await playAll([
    {
      name: 'requests that were named before go out in it, once',
      async play(w) {
        await outage(w, 14, BURST_AT + 1);
        assert.equal(w.cloud.rented.length, 1, 'rented in the outage');
        assert.ok(w.cloud.machines.get(w.cloud.rented[0]!)!.rentedAt < BURST_AT - 2);
        over(w);
        await w.run(1.5);
        assert.equal(w.states(), 'warm warm');
        assert.equal(w.cloud.machines.size, 1);
      },
    },
    {
      name: 'the leader ends in it: its successor asks for the same machines',
      async play(w) {
        await outage(w, 14, BURST_AT + 1);
        over(w);
        w.takeOver();
        await w.run(4);
        assert.equal(w.cloud.machines.size, 1);
        assert.equal(w.states(), 'warm warm');
        assert.ok(totals(w).uncertainS > 0, 'when it was rented is not known to the successor');
      },
    },
    {
      name: 'the pool is removed after it: what was rented is not forgotten, and paid for',
      async play(w) {
        await outage(w, 14, BURST_AT + 1);
        over(w);
        w.declare(poolText({ name: 'other', image: 'x', schedule: '0 0 1 1 *' }));
        w.takeOver();
        await w.run(5);
        assert.equal(w.cloud.machines.size, 1);
        assert.ok(totals(w).machineS > 0 && totals(w).open === 0);
      },
    },
    {
      name: 'nothing was named: nothing is rented on no evidence, and it is late',
      async play(w) {
        await outage(w, 8, BURST_AT + 1);
        assert.equal(w.cloud.calls, 0);
        over(w);
        await w.run(1);
        assert.match(w.alarms(), /late:tutor/);
        await w.run(4);
        assert.equal(w.states(), 'warm warm');
        assert.equal(w.alarms(), '');
      },
    },
  ]);
});

test('troubles of the cloud and of machines just before the burst', async () => {
  await playAll([
    {
      name: 'an outage of the cloud over the lead time',
      async play(w) {
        await w.runUntil(10);
        w.cloud.mode = 'trouble';
        await w.runUntil(BURST_AT + 2);
        assert.match(w.alarms(), /late:tutor \(0 of 2 warm\)/);
        w.cloud.mode = 'serve';
        await w.run(10);
        assert.equal(w.states(), 'warm warm');
        assert.equal(w.cloud.machines.size, 1);
        near(totals(w).machineS, w.now - w.cloud.machines.get('host-000001')!.rentedAt, 1, 'paid');
      },
    },
    {
      name: 'no capacity for a while',
      async play(w) {
        w.cloud.mode = 'no capacity';
        await w.runUntil(BURST_AT);
        assert.match(w.alarms(), /no_capacity:tutor/);
        w.cloud.mode = 'serve';
        await w.run(10);
        assert.equal(w.states(), 'warm warm');
        assert.equal(w.cloud.machines.size, 1);
      },
    },
    {
      name: 'the machine dies',
      async play(w) {
        await w.runUntil(BURST_AT - 0.6);
        w.cloud.kill('host-000001');
        await w.run(10);
        assert.equal(w.states(), 'lost lost warm warm');
        assert.deepEqual(machinesOf(w, 'tutor'), ['host-000001', 'host-000002']);
        const lost = w.slots().filter(({ state }) => state === 'lost');
        for (const { held } of lost) {
          near(held!.toMs! / 1000 - 1e6, BURST_AT - 0.6, 0.5, 'paid until it was heard last');
          assert.ok(held!.uncertainMs > 0, 'and marked');
        }
      },
    },
    {
      name: 'a machine that never comes',
      async play(w) {
        w.cloud.bootS = 1e9;
        await w.runUntil(BURST_AT + 12);
        assert.equal(w.states(), 'loading loading lost lost');
        w.cloud.bootS = 1;
        await w.run(3);
        assert.match(w.states(), /lost lost warm warm/);
      },
    },
    {
      name: 'a boot that takes several times as long as nominal',
      async play(w) {
        w.cloud.bootS = 9;
        await w.runUntil(BURST_AT + 8);
        assert.equal(w.states(), 'warm warm');
        assert.equal(w.cloud.machines.size, 1, 'nothing is rented in its place');
      },
    },
    {
      name: 'a notice that the machine is taken away',
      async play(w) {
        await w.runUntil(BURST_AT - 1);
        w.worker('host-000001').noticeS = 30;
        await w.run(6);
        assert.equal(w.states(), 'lost lost warm warm');
      },
    },
    {
      name: 'its zone is cut off: it may be alive there',
      async play(w) {
        await w.runUntil(BURST_AT - 1);
        w.zone = { keptUntil: Infinity, provenAt: Infinity };
        const worker = w.worker('host-000001');
        worker.mute = true;
        await w.run(8);
        assert.equal(w.states(), 'warm warm');
        worker.mute = false;
        w.zone = { keptUntil: -Infinity, provenAt: Infinity };
        await w.run(2);
        assert.equal(w.states(), 'warm warm');
        assert.equal(w.cloud.machines.size, 1);
      },
    },
    {
      name: 'machines that die one after the other: at some point no more are rented',
      async play(w) {
        for (let i = 0; i < 60; i++) {
          await w.runUntil(BURST_AT - 2 + i * 0.4);
          for (const id of w.fleet.workers.keys()) w.cloud.kill(id);
        }
        assert.ok(w.cloud.machines.size <= 4, `${w.cloud.machines.size} machines`);
      },
    },
  ]);
});

test('clocks that jump neither begin a burst nor end one, nor repeat it', async () => {
  await playAll([
    {
      name: 'an hour ahead for a moment',
      async play(w) {
        await w.runUntil(5);
        w.wallJumpMs = (BURST_AT - 5) * 1000;
        await w.run(3);
        assert.equal(all(w), '');
        w.wallJumpMs = 0;
        await w.runUntil(BURST_AT);
        assert.equal(w.states(), 'warm warm');
      },
    },
    {
      name: 'back for a moment, while warm',
      async play(w) {
        await w.runUntil(BURST_AT + 1);
        w.wallJumpMs = -3600e3;
        await w.run(2);
        assert.equal(w.states(), 'warm warm');
        assert.match(w.alarms(), /clock_jump/);
        w.wallJumpMs = 0;
        await w.run(1);
        assert.equal(w.alarms(), '');
      },
    },
    {
      name: 'back for good, after the burst is billed: it is not played again',
      async play(w) {
        await w.runUntil(BURST_AT + HOLD_S + 3);
        const before = totals(w);
        w.wallJumpMs = -(HOLD_S + 5) * 1000;
        await w.run(60);
        assert.equal(totals(w).slots, before.slots);
        near(totals(w).machineS, before.machineS, 1e-6, 'the bill');
      },
    },
    {
      name: 'an hour ahead for good, while warm: that hour is not billed',
      async play(w) {
        await w.runUntil(BURST_AT + 1);
        w.wallJumpMs = 3_600_000;
        await w.run(20);
        assert.equal(all(w), '', 'the burst is over by the clock that counts now');
        const { rentedAt } = [...w.cloud.machines.values()][0]!;
        near(totals(w).machineS, BURST_AT + 13 - rentedAt, 2, 'machine-seconds');
      },
    },
    {
      name: 'another leader whose clock is within the bound',
      async play(w) {
        await w.runUntil(18);
        w.wallJumpMs = 100;
        w.takeOver();
        await w.runUntil(BURST_AT);
        assert.equal(w.states(), 'warm warm');
        assert.equal(w.cloud.machines.size, 1);
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
      async play(w) {
        await w.runUntil(BURST_AT + 1);
        w.declare(text);
        w.takeOver();
        await w.run(3);
        assert.equal(w.states(), states);
        assert.match(String(w.slots().map((s) => String(s.reason))), reason);
      },
    })),
  );
});

test('a leader without pools takes over, and one with pools after it', async () => {
  const w = new PoolWorld(poolText(WHOLE));
  await w.runUntil(BURST_AT + 1);
  w.declare(null);
  w.takeOver();
  // The machines are as any others to it.
  w.job({ id: 'wk-9', tasks: 1, gpus: 8, cores: 8 });
  await w.run(3);
  assert.equal(w.fleet.running('wk-9'), 1);
  assert.equal(w.states(), 'warm warm', 'the records stay');
  w.declare(poolText(WHOLE));
  w.takeOver();
  await w.run(5);
  assert.match(w.states(), /^lost /, 'the place that was taken is looked for anew');
  assert.equal(w.fleet.running('wk-9'), 1, 'and the work goes on');
  assert.deepEqual(w.fleet.broken, []);
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
      async play(w) {
        await w.runUntil(BURST_AT + 12);
        const open = w.slots().filter(({ state }) => state === 'warm');
        assert.equal(open.map(({ state }) => state).join(' '), warm);
        assert.match(w.alarms(), alarm);
        const money = w.bill().reduce((sum, row) => sum + row.money, 0);
        if (policy === 'release') near(money, budget, PER_S * 1, 'what was spent');
        // A dead machine shows whether any is added.
        if (warm === '') return;
        w.cloud.kill(w.cloud.rented[0]!);
        await w.run(5);
        const after = w.slots().filter(({ state }) => state === 'warm').length;
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
      async play(w) {
        w.replicaJob('wk-1', 'other', { gpus: 4 });
        await w.runUntil(BURST_AT);
        assert.equal(w.slots().filter(({ state }) => state === 'warm').length, 1);
        assert.match(w.alarms(), /over_team_limit:tutor \(1 of 2 slots\)/);
      },
    },
    {
      name: 'it uses more while they are warm: given up once, not to and fro',
      gpusMax: 10,
      async play(w) {
        await w.runUntil(BURST_AT);
        assert.equal(w.states(), 'warm warm');
        w.replicaJob('wk-1', 'other', { gpus: 4 });
        await w.run(3);
        assert.equal(w.states(), 'released warm');
        w.cancel('wk-1');
        await w.run(1);
        assert.equal(w.slots().length, 2, 'not taken up again at once');
      },
    },
    {
      name: 'a replica that takes its slot counts once',
      gpusMax: 8,
      async play(w) {
        await w.runUntil(BURST_AT);
        w.replicaJob('wk-1');
        // Claimed, and not stored yet.
        w.pass();
        w.leader.tick();
        assert.equal(w.leader.figures().warm_slots_released, 0);
        await w.run(3);
        assert.equal(w.states(), 'used warm');
      },
    },
    {
      name: 'a machine type that the cloud does not have',
      pools: poolText({ types: 'x' }).replace('types = "x"', 'types = ["gone"]'),
      async play(w) {
        await w.runUntil(BURST_AT);
        assert.match(w.alarms(), /unknown_type:tutor \(gone: none fits\)/);
        assert.equal(w.cloud.machines.size, 0);
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
      async play(w) {
        await w.runUntil(BURST_AT - 1);
        const warm = w.cloud.rented;
        w.job(array('wk-9', { priority: 1 }));
        await w.run(4);
        assert.equal(w.fleet.running('wk-9'), 1);
        assert.ok(!warm.includes(w.hosts('wk-9')[0]!));
        w.replicaJob('wk-1', 'tutor-1', { tasks: 2, ...WHOLE_REPLICA });
        await w.run(1);
        assert.deepEqual(w.hosts('wk-1').sort(), warm);
      },
    },
    {
      name: 'beside a slot there is room for what fits beside all of them',
      pools: poolText({ slots: 1 }),
      async play(w) {
        await w.runUntil(BURST_AT);
        w.job({ id: 'wk-8', tasks: 1, gpus: 4, cores: 4, priority: 1 });
        await w.run(2);
        assert.deepEqual(w.hosts('wk-8'), ['host-000001']);
        w.job({ id: 'wk-9', tasks: 1, gpus: 1, cores: 1, priority: 1 });
        await w.run(4);
        assert.notDeepEqual(w.hosts('wk-9'), ['host-000001']);
        assert.equal(w.states(), 'warm');
      },
    },
    {
      name: 'replicas go to places of slots, each to one, and not beside them',
      pools: poolText({ slots: 3 }),
      async play(w) {
        await w.runUntil(BURST_AT);
        assert.equal(w.cloud.rented.length, 2);
        w.replicaJob('wk-1', 'tutor-1', { tasks: 3 });
        await w.run(2);
        assert.equal(w.states(), 'used used used');
      },
    },
    {
      name: 'a place that was taken in the same pass draws no other replica beside it',
      pools: poolText({ cores: 5, gpus: 5 }),
      async play(w) {
        await w.runUntil(BURST_AT);
        w.replicaJob('wk-1', 'tutor-1', { tasks: 2, cores: 3, gpus: 3 });
        await w.run(2);
        assert.equal(w.states(), 'used used');
      },
    },
    {
      name: 'a replica that was there before the slot does not use it',
      pools: poolText({ slots: 1 }),
      async play(w) {
        w.replicaJob('wk-1');
        await w.runUntil(BURST_AT + 1);
        assert.equal(w.states(), 'warm');
        assert.deepEqual(w.hosts('wk-1'), machinesOf(w, 'tutor'), 'beside it');
        w.takeOver();
        await w.run(2);
        assert.equal(w.states(), 'warm');
      },
    },
    {
      name: 'an idle machine with a slot stays longer than any other would',
      pools: poolText({ hold_s: 200 }),
      async play(w) {
        await w.runUntil(BURST_AT);
        // One too many: that is the one that goes.
        w.fleet.add('host-900000');
        await w.runUntil(BURST_AT + 150);
        assert.equal(w.states(), 'warm warm');
        assert.equal(w.cloud.machines.size, 1);
        assert.deepEqual([...w.fleet.workers.keys()], w.cloud.rented);
      },
    },
    {
      name: 'work whose image would push out that of a slot goes elsewhere',
      pools: poolText({ slots: 1 }),
      async play(w) {
        w.replicaJob('wk-1');
        await w.runUntil(BURST_AT);
        const [warm] = machinesOf(w, 'tutor');
        w.machine(warm!).noteImage('tutor-1', 1, 100, w.now);
        w.cancel('wk-1');
        await w.run(1);
        w.job({ id: 'wk-9', tasks: 1, gpus: 2, cores: 2, priority: 1, image: 'x', imageGb: 99.5 });
        await w.run(4);
        assert.equal(w.fleet.running('wk-9'), 1);
        assert.notDeepEqual(w.hosts('wk-9'), [warm]);
        w.job({ id: 'wk-8', tasks: 1, gpus: 2, cores: 2, priority: 1, image: 'y', imageGb: 1 });
        await w.run(2);
        assert.equal(w.fleet.running('wk-8'), 1);
      },
    },
    {
      name: 'short best-effort work may borrow it where operators say so',
      pools: poolText({ ...WHOLE, lend: true }),
      async play(w) {
        await w.runUntil(BURST_AT - 1.2);
        w.job(array('wk-9'));
        await w.run(0.6);
        assert.deepEqual(w.cloud.rented.includes(w.hosts('wk-9')[0]!), true);
        assert.equal(w.cloud.rentedForPools.length, 2);
        assert.match(w.states(), /warm warm/);
      },
    },
    {
      name: 'long work may not, since it could not be off it in time',
      pools: poolText({ ...WHOLE, lend: true }),
      async play(w) {
        await w.runUntil(BURST_AT - 1.2);
        w.job(array('wk-9', { estimateS: 30 }));
        await w.run(0.6);
        assert.deepEqual(w.hosts('wk-9'), []);
      },
    },
  ]);
});
