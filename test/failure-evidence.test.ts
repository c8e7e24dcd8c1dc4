/** Failures count against a machine or a job only for as long as they are evidence against it. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { JobSpec } from '../src/jobs/types.js';
import { FailingFleet } from './support/failing-fleet.js';
import { LeaderWorld } from './support/leader-world.js';

const STANDING = 'wk-000001';
const MISTAKEN = 'wk-000002';
const WAITING = 'wk-000003';
/** Longest time that a job may wait once the failures are over, in seconds: the users' rule. */
const MAX_WAIT_S = 90;
/** Times of the deployments: the shortest and the longest lease. */
const WORKER_TIMES = [
  { report_s: 1, lease_s: 10, cancel_s: 30 },
  { report_s: 2.5, lease_s: 15.25, cancel_s: 40.25 },
];

type WorkerTimes = (typeof WORKER_TIMES)[number];

interface FailingWorld {
  world: LeaderWorld;
  fleet: FailingFleet;
}

/** A leader and machines on each of which one replica stands and three GPUs are free. */
async function worldWithReplicas(times: WorkerTimes, machines: string[]): Promise<FailingWorld> {
  const fleet = new FailingFleet(times.lease_s);
  const world = new LeaderWorld(1000, { fleet, workers: times });
  for (const id of machines) fleet.add(id);
  await world.run(times.report_s);
  world.submitJob({
    id: STANDING, kind: 'service', tasks: machines.length, gpus: 5, cores: 1, priority: 0,
  }); // prettier-ignore
  await world.run(times.report_s * 2);
  assert.equal(fleet.running(STANDING), machines.length);
  return { world, fleet };
}

/** Submits a job and asserts that all of its tasks run, or are done, within the time of the users' rule. */
async function assertServed(
  { world, fleet }: FailingWorld,
  over: Partial<JobSpec> & { id: string },
  message: string,
): Promise<void> {
  world.submitJob(over);
  await world.run(MAX_WAIT_S);
  assert.equal(fleet.running(over.id), over.tasks ?? 1, message);
  assert.deepEqual(fleet.violations, [], message);
}

// Guards against: a run of a lease that ended in failure proved the job, and its failures the machines faulty.
test('a service that fails everywhere after a lease or more takes no sound machine out of use', async () => {
  for (const times of WORKER_TIMES) {
    for (const failsAfterLeases of [1.2, 4]) {
      const setup = await worldWithReplicas(times, ['a', 'b']);
      const { world, fleet } = setup;
      const failsAfterS = times.lease_s * failsAfterLeases;
      fleet.failsAfterS.set(MISTAKEN, failsAfterS);
      world.submitJob({ id: MISTAKEN, kind: 'service', tasks: 5, priority: 0 });
      await world.run(failsAfterS + times.report_s * 4);
      world.cancel(MISTAKEN);
      const message = `lease ${times.lease_s} s, fails after ${failsAfterS} s`;
      await assertServed(setup, { id: WAITING, gpus: 2, priority: 3 }, message);
    }
  }
});
