/**
 * Cancels many jobs at once in a large fleet during successive changes of leader. 200 machines by default; more with
 * RENEWALS_MACHINES: `RENEWALS_MACHINES=4000 node --test target/check/test/renewals-at-size.test.js`.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { ControlPlaneWorld, INCIDENT_TIMES } from './support/control-plane-world.js';
import { HeartbeatLoop } from './support/heartbeat-loop.js';

const MACHINES = Number(process.env.RENEWALS_MACHINES ?? 200);
const TASKS_PER_JOB = 8;
const GPUS_PER_TASK = 4;
/** Number of jobs that fills the fleet; a machine has eight GPUs. */
const JOBS = (MACHINES * 8) / GPUS_PER_TASK / TASKS_PER_JOB;
const TERMS = 5;
/** Length of a term, in leases: at most two heartbeats of each machine arrive in it. */
const TERM_LEASES = 0.6;

const idOf = (number: number): string => `wk-${String(number).padStart(6, '0')}`;

async function fullFleet(): Promise<ControlPlaneWorld> {
  const world = new ControlPlaneWorld(INCIDENT_TIMES);
  const { reportS } = world.times;
  for (let i = 0; i < MACHINES; i++) {
    const worker = world.fleet.add(`host-${String(i).padStart(6, '0')}`);
    world.heartbeatLoops.push(new HeartbeatLoop(world, worker, { reportsNewToken: false }, i % 3));
  }
  await world.runUntil(reportS);
  const shape = { kind: 'service', gpus: GPUS_PER_TASK, cores: 1, tasks: TASKS_PER_JOB } as const;
  for (let i = 0; i < JOBS; i++) world.submitJob({ id: idOf(i), ...shape });
  await world.runUntil(reportS * 8);
  return world;
}

test('half of the jobs on a full fleet are cancelled at once during successive changes of leader', async () => {
  const world = await fullFleet();
  const running = (): number =>
    [...world.fleet.workers.values()].reduce((sum, { tasks }) => sum + tasks.size, 0);
  assert.equal(running(), JOBS * TASKS_PER_JOB, 'the fleet is full');
  world.leader!.kill();
  await world.runUntil(world.now + world.times.reportS * 0.2);
  for (let i = 0; i < JOBS; i += 2) world.cancel(idOf(i));
  const cancelledAt = world.now;
  let lastGoneAt = cancelledAt;
  const isCancelledTaskRunning = (): boolean =>
    [...world.confirmedAt.keys()].some((id) => world.fleet.running(id) > 0);
  for (let term = 0; term < TERMS; term++) {
    const endsAt = world.now + world.times.leaseS * TERM_LEASES;
    while (world.now < endsAt) {
      await world.runUntil(world.now + world.times.reportS);
      if (isCancelledTaskRunning()) lastGoneAt = world.now;
      assert.deepEqual(world.overdueTasks(), []);
    }
    world.leader?.kill();
    for (const each of world.controllers) if (!each.alive) each.restart();
  }
  await world.runUntil(cancelledAt + world.times.cancelS + world.times.reportS * 2);
  assert.deepEqual(world.overdueTasks(), []);
  assert.deepEqual(
    world.omittedStops.filter(({ readByAll }) => readByAll),
    [],
  );
  assert.equal(world.confirmedAt.size, Math.ceil(JOBS / 2), 'all users were told');
  assert.deepEqual(world.fleet.violations, []);
  const afterS = lastGoneAt - cancelledAt;
  assert.ok(
    afterS < world.times.leaseS * 1.5,
    `a cancelled task was still running after ${afterS} s`,
  );
  process.stdout.write(
    `# ${MACHINES} machines: the last cancelled task was seen after ${afterS} s\n`,
  );
});
