/**
 * Decisions by the time of day while it jumps for a short time, except those of loans and warm pools.
 *
 * Guards against jobs that change their order, machines that are released, and deadlines that move by an hour because a
 * machine's clock was wrong for a second.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { DemandForecast } from '../src/cloud/demand-forecast.js';
import { JOBS, decodeRequestBatch } from '../src/store/records.js';
import { wait } from './helpers.js';
import { Cluster } from './standins/cluster.js';
import { LeaderWorld } from './support/leader-world.js';

const HOUR_MS = 3_600_000;
const JUMPS_MS = [HOUR_MS, -HOUR_MS];

// Guards against a job that inherits the priority of a job that depends on it hours too early, and overtakes others for a second.
test('a jump of the time of day for a second changes the urgency of no job', async () => {
  for (const byMs of JUMPS_MS) {
    for (const deadlineS of [1000, 60]) {
      const world = new LeaderWorld();
      world.fleet.add('a');
      await world.run(1);
      world.submitJob({ id: 'wk-1', priority: 2, estimateS: 50, gpus: 8, cores: 8 });
      const needs = { id: 'wk-2', priority: 0 as const, estimateS: 50, dependencies: ['wk-1'] };
      world.submitJob({ ...needs, deadlineS });
      await world.run(1);
      const priority = (): number => world.term.jobs.get('wk-1')!.spec.priority;
      const before = priority();
      assert.equal(before, deadlineS === 60 ? 0 : 2);
      world.wallClockJumpMs = byMs;
      await world.run(1);
      assert.equal(priority(), before, `${deadlineS} s, ${byMs} ms`);
    }
  }
});

// Guards against arrivals that are removed from the forecast for good, so that warm machines for them are released.
test('a jump of the time of day for a second removes nothing from the forecast', async () => {
  for (const byMs of JUMPS_MS) {
    const world = new LeaderWorld();
    world.fleet.add('a');
    for (let i = 0; i < 5; i++) {
      world.submitJob({ id: `wk-${i}`, kind: 'service', gpus: 1, cores: 1 });
      await world.run(1);
    }
    const { forecast } = world.leader as unknown as { forecast: DemandForecast };
    const expected = (): (number | string)[] => [
      ...forecast.hotImages().map(({ image }) => image),
      forecast.warmTarget(false),
    ];
    const before = expected();
    assert.ok(before.length > 1);
    world.wallClockJumpMs = byMs;
    await world.run(1);
    expected();
    world.wallClockJumpMs = 0;
    await world.run(1);
    assert.deepEqual(expected()[0], before[0], `${byMs} ms`);
    assert.ok(Number(expected()[1]) >= Number(before[1]) * 0.9, `${byMs} ms`);
  }
});

// Guards against a deadline that is moved by an hour for good, since it counts from the acceptance of the job.
test('a job that is accepted during a jump of the time of day gets the time without the jump', async () => {
  let jumpMs = 0;
  const cluster = await Cluster.start({ wallMs: () => Date.now() + jumpMs });
  try {
    await cluster.waitForLeader();
    for (const [index, byMs] of JUMPS_MS.entries()) {
      jumpMs = byMs;
      await wait(50);
      const ref = `wk-00000${index}`;
      await cluster.users.submit(index, ref, {});
      jumpMs = 0;
      const batches = [...cluster.store.keys].filter(([key]) => key.startsWith(JOBS));
      const accepted = batches
        .flatMap(([, { value }]) => decodeRequestBatch(value).jobs)
        .find(({ spec }) => spec.id === ref)!;
      assert.ok(Math.abs(accepted.acceptedAtMs - Date.now()) < HOUR_MS / 2, `${byMs} ms`);
    }
  } finally {
    cluster.close();
  }
});
