/** Failures count against a machine or a job only for as long as they are evidence against it. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { JobSpec } from '../src/jobs/types.js';
import {
  failingWorld,
  MAX_WAIT_S,
  WORKER_TIMES,
  type FailingWorld,
  type WorkerTimes,
} from './support/failing-world.js';

const STANDING = 'wk-000001';
const MISTAKEN = 'wk-000002';
const WAITING = 'wk-000003';
/** A leader and machines on each of which one replica stands and three GPUs are free. */
async function worldWithReplicas(times: WorkerTimes, machines: string[]): Promise<FailingWorld> {
  const setup = await failingWorld(times, machines);
  const { world, fleet } = setup;
  world.submitJob({
    id: STANDING, kind: 'service', tasks: machines.length, gpus: 5, cores: 1, priority: 0,
  }); // prettier-ignore
  await world.run(times.report_s * 2);
  assert.equal(fleet.running(STANDING), machines.length);
  return setup;
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

// Guards against: the quarantine of a machine outlived the jobs whose failures it rested on.
test('two mistaken jobs that fail first on the same machine do not take it out of use for good', async () => {
  for (const times of WORKER_TIMES) {
    for (const isCancelled of [true, false]) {
      const setup = await worldWithReplicas(times, ['a']);
      const { world, fleet } = setup;
      for (const id of ['wk-100001', 'wk-100002']) {
        fleet.failsAfterS.set(id, 0);
        world.submitJob({ id, priority: 0 });
      }
      await world.run(times.lease_s);
      if (isCancelled) for (const id of ['wk-100001', 'wk-100002']) world.cancel(id);
      const message = `lease ${times.lease_s} s, cancelled: ${isCancelled}`;
      await assertServed(setup, { id: WAITING, gpus: 1, priority: 3 }, message);
    }
  }
});

/** Two jobs that fill the free GPUs of one machine. */
const KINDS = ['array', 'service', 'gang'] as const;
const FIRST = 'wk-100001';
const SECOND = 'wk-100002';

/** One machine with a standing replica, which fails all tasks of two jobs that it starts for two leases. */
async function worldAfterShortFault(
  times: WorkerTimes,
  kind: (typeof KINDS)[number],
): Promise<FailingWorld> {
  const setup = await worldWithReplicas(times, ['a']);
  const { world, fleet } = setup;
  fleet.worker('a').failsAfterS = 0.3;
  world.submitJob({ id: FIRST, kind, tasks: 2 });
  world.submitJob({ id: SECOND, kind });
  await world.run(times.lease_s * 2);
  assert.ok(fleet.worker('a').wastedStarts > 1);
  fleet.worker('a').failsAfterS = null;
  return setup;
}

// Guards against: a machine that failed tasks for a moment got nothing any more, although jobs waited for it.
test('a machine whose fault is over gets the tasks again that it has failed', async () => {
  for (const times of WORKER_TIMES) {
    for (const kind of KINDS) {
      const { world, fleet } = await worldAfterShortFault(times, kind);
      await world.run(MAX_WAIT_S);
      const message = `lease ${times.lease_s} s, ${kind}`;
      assert.deepEqual([fleet.running(FIRST), fleet.running(SECOND)], [2, 1], message);
      assert.deepEqual(fleet.violations, [], message);
    }
  }
});

// Guards against: as before, where the jobs that failed are cancelled, or another leader takes over.
test('a machine whose fault is over gets other tasks', async () => {
  for (const times of WORKER_TIMES) {
    for (const kind of KINDS) {
      for (const isLeaderReplaced of [false, true]) {
        const setup = await worldAfterShortFault(times, kind);
        if (isLeaderReplaced) setup.world.failOver();
        for (const id of [FIRST, SECOND]) setup.world.cancelNotedByLeader(id);
        const message = `lease ${times.lease_s} s, ${kind}, replaced: ${isLeaderReplaced}`;
        await assertServed(setup, { id: WAITING, kind, tasks: 3 }, message);
      }
    }
  }
});

// Guards against: failures of a job that runs well elsewhere kept a machine out of use when its fault was over.
test('a machine that failed tasks of a proven service gets its replicas again', async () => {
  for (const times of WORKER_TIMES) {
    for (const failsAfterLeases of [0.03, 6]) {
      const { world, fleet } = await worldWithReplicas(times, ['a', 'b']);
      fleet.worker('b').failsAfterS = times.lease_s * failsAfterLeases;
      world.submitJob({ id: WAITING, kind: 'service', tasks: 6, priority: 0 });
      await world.run(times.lease_s * 14);
      assert.equal(fleet.running(WAITING), 3);
      assert.ok(world.machine('b').condition.quarantined);
      fleet.worker('b').endFaults();
      await world.run(MAX_WAIT_S);
      const message = `lease ${times.lease_s} s, failed after ${failsAfterLeases} leases`;
      assert.equal(fleet.running(WAITING), 6, message);
    }
  }
});

/** Machines beside the faulty one, arrays that come, and the starts that were wasted before quarantines could end. */
const LASTING_FAULTS = [
  { name: 'others have room', sound: 7, tasks: 1, runS: 10, gapS: 5, wastedBefore: 0 },
  { name: 'others are full at times', sound: 3, tasks: 10, runS: 20, gapS: 40, wastedBefore: 6 },
  { name: 'jobs wait for it', sound: 0, tasks: 1, runS: 10, gapS: 5, wastedBefore: 3 },
];
const FAULT_S = 600;
/** Jobs that wait may need the machine within the time of the users' rule, and only a start shows whether it works. */
const PROBE_GAP_LEASES = 4;

// Guards against: what releases sound machines gives faulty ones more tasks to fail.
test('a machine that stays faulty gets no more tasks than before, and few while jobs wait for it', async () => {
  for (const { name, sound, tasks, runS, gapS, wastedBefore } of LASTING_FAULTS) {
    const times = WORKER_TIMES[0]!;
    const soundIds = [...'abcdefg'].slice(0, sound);
    const { world, fleet } = await worldWithReplicas(times, [...soundIds, 'faulty']);
    fleet.worker('faulty').failsAfterS = 0.3;
    for (let i = 0; i < FAULT_S / gapS; i++) {
      const id = `wk-${200_000 + i}`;
      fleet.runS.set(id, runS);
      world.submitJob({ id, tasks });
      await world.run(gapS);
    }
    const probes = sound === 0 ? FAULT_S / (times.lease_s * PROBE_GAP_LEASES) : 0;
    const { wastedStarts } = fleet.worker('faulty');
    assert.ok(wastedStarts <= wastedBefore + probes, `${name}: ${wastedStarts}`);
  }
});

// Guards against: a job that failed on three machines was kept from them for ever, and waited beside them.
test('a job that failed on three faulty machines runs there once their fault is over', async () => {
  for (const times of WORKER_TIMES) {
    for (const kind of KINDS) {
      for (const faultLeases of [0.5, 60]) {
        const { world, fleet } = await worldWithReplicas(times, ['a', 'b', 'c']);
        for (const id of fleet.workers.keys()) fleet.worker(id).failsAfterS = 0.3;
        world.submitJob({ id: WAITING, kind, tasks: 3, gpus: 2, priority: 0 });
        await world.run(times.lease_s * faultLeases);
        for (const id of fleet.workers.keys()) fleet.worker(id).failsAfterS = null;
        await world.run(MAX_WAIT_S);
        const message = `lease ${times.lease_s} s, ${kind}, faulty for ${faultLeases} leases`;
        assert.equal(fleet.running(WAITING), 3, message);
        assert.deepEqual(fleet.violations, [], message);
      }
    }
  }
});

// Guards against: no machine was added for a job that failed on three faulty machines, which others fill now.
test('a job that failed on three faulty machines is demand once its failures have lapsed', async () => {
  for (const times of WORKER_TIMES) {
    const { world, fleet } = await worldWithReplicas(times, ['a', 'b', 'c']);
    for (const id of fleet.workers.keys()) fleet.worker(id).failsAfterS = 0.3;
    world.submitJob({ id: WAITING, kind: 'service', tasks: 3, gpus: 2, priority: 0 });
    await world.run(times.lease_s / 2);
    for (const id of fleet.workers.keys()) fleet.worker(id).failsAfterS = null;
    world.submitJob({ id: FIRST, kind: 'service', tasks: 9, priority: 0 });
    await world.run(times.lease_s * 3);
    assert.equal(fleet.running(FIRST), 9);
    await world.run(times.lease_s * 10);
    const demand = world.parts.capacity.demand.map(({ spec }) => spec.id);
    assert.deepEqual(demand, [WAITING], `lease ${times.lease_s} s`);
  }
});

/** Leases for which a job goes on failing; how often its delay doubles; leases between two starts then. */
const MISTAKE_LEASES = 60;
const RETRY_DOUBLINGS = 7;
const RETRY_GAP_LEASES = 4;

// Guards against: failures of a job with a mistake count against machines each time that earlier ones have lapsed.
test('a job that fails everywhere for long quarantines no machine, and others run beside it', async () => {
  for (const times of WORKER_TIMES) {
    const machines = ['a', 'b', 'c', 'd', 'e'];
    const setup = await worldWithReplicas(times, machines);
    const { world, fleet } = setup;
    const tasks = 5;
    fleet.failsAfterS.set(MISTAKEN, 0);
    world.submitJob({ id: MISTAKEN, kind: 'service', tasks, priority: 0 });
    for (let i = 0; i < MISTAKE_LEASES; i++) {
      await world.run(times.lease_s);
      const quarantined = machines.filter((id) => world.machine(id).condition.quarantined);
      assert.deepEqual(quarantined, [], `lease ${times.lease_s} s, after ${i + 1} leases`);
    }
    let starts = 0;
    for (let i = 0; i < tasks; i++) starts += fleet.starts.get(`${MISTAKEN}/${i}`) ?? 0;
    const maxStarts = tasks + RETRY_DOUBLINGS + MISTAKE_LEASES / RETRY_GAP_LEASES;
    assert.ok(starts <= maxStarts, `lease ${times.lease_s} s: ${starts} starts`);
    await assertServed(setup, { id: WAITING, tasks: 5, gpus: 2 }, `lease ${times.lease_s} s`);
  }
});

/** Failures so far apart that none is recent when the next one comes. */
const SEPARATE_FAILURES = 8;
const SEPARATION_LEASES = 20;
/** A task is placed again once a short delay is over, and runs a few heartbeats later. */
const SOON_HEARTBEATS = 8;

// Guards against: each failure of a machine without finite tasks doubled the time for which the next one kept it idle.
test('a machine whose agent restarted long ago is used as soon after a restart as at first', async () => {
  for (const times of WORKER_TIMES) {
    const setup = await worldWithReplicas(times, ['a']);
    const { world, fleet } = setup;
    for (let i = 0; i < SEPARATE_FAILURES; i++) {
      await world.run(times.lease_s * SEPARATION_LEASES);
      fleet.worker('a').tasks.clear();
      fleet.worker('a').agentEpoch++;
    }
    await world.run(times.report_s * SOON_HEARTBEATS);
    assert.equal(fleet.running(STANDING), 1, `lease ${times.lease_s} s`);
  }
});

// Guards against: a replica's failures doubled the delay of its next start, however long it had run in between.
test('a replica that ran for long between its failures is restarted as soon as after the first', async () => {
  for (const times of WORKER_TIMES) {
    const { world, fleet } = await worldWithReplicas(times, ['a', 'b', 'c', 'd']);
    world.submitJob({ id: WAITING, kind: 'service', priority: 0 });
    for (let i = 0; i < SEPARATE_FAILURES; i++) {
      await world.run(times.lease_s * SEPARATION_LEASES);
      const message = `lease ${times.lease_s} s, failure ${i + 1}`;
      assert.equal(fleet.running(WAITING), 1, message);
      for (const worker of fleet.workers.values())
        for (const task of worker.running(WAITING)) worker.end(task, 'error');
      await world.run(times.report_s * SOON_HEARTBEATS);
      assert.equal(fleet.running(WAITING), 1, message);
    }
  }
});

// Guards against: tasks that a faulty machine had started before its fault excused its failures when they were done.
test('a machine that completes older tasks gets nothing more once it has failed two new ones', async () => {
  for (const times of WORKER_TIMES) {
    const setup = await worldWithReplicas(times, ['a', 'b', 'c']);
    const { world, fleet } = setup;
    const submit = (number: number, runLeases: number): void => {
      fleet.runS.set(`wk-${number}`, times.lease_s * runLeases);
      world.submitJob({ id: `wk-${number}` });
    };
    for (let i = 0; i < 6; i++) submit(300_000 + i, 0.3 + i / 1.5);
    await world.run(times.report_s * 3);
    const faulty = fleet.worker('a');
    faulty.failsAfterS = 0.3;
    const wastedStarts: number[] = [];
    for (let i = 0; i < 25; i++) {
      submit(400_000 + i, 1);
      await world.run(times.lease_s / 5);
      if (faulty.wastedStarts >= 2) wastedStarts.push(faulty.wastedStarts);
    }
    assert.ok(wastedStarts.length > 5, `lease ${times.lease_s} s`);
    assert.equal(wastedStarts.at(-1), wastedStarts[0], `lease ${times.lease_s} s`);
  }
});

// Guards against: one mistaken service went from machine to machine and took a whole fleet out of use.
test('a service that fails everywhere leaves a fleet of ten machines in use while it goes on', async () => {
  for (const times of WORKER_TIMES) {
    const setup = await worldWithReplicas(times, [...'abcdefghij']);
    const { world, fleet } = setup;
    fleet.failsAfterS.set(MISTAKEN, times.lease_s * 1.2);
    world.submitJob({ id: MISTAKEN, kind: 'service', tasks: 5, priority: 0 });
    await world.run(times.lease_s * 10);
    const message = `lease ${times.lease_s} s`;
    await assertServed(setup, { id: WAITING, tasks: 10, gpus: 2, priority: 3 }, message);
  }
});

// Guards against: failures of a job with a mistake and those of a faulty machine are taken for each other.
test('a faulty machine is told from a job with a mistake while both fail tasks', async () => {
  for (const times of WORKER_TIMES) {
    for (const failsAfterLeases of [0, 1.2]) {
      const { world, fleet } = await worldWithReplicas(times, ['a', 'b', 'c', 'faulty']);
      fleet.worker('faulty').failsAfterS = 0.3;
      fleet.failsAfterS.set(MISTAKEN, times.lease_s * failsAfterLeases);
      world.submitJob({ id: MISTAKEN, kind: 'service', tasks: 4, priority: 0 });
      for (let i = 0; i < 30; i++) {
        const id = `wk-${500_000 + i}`;
        fleet.runS.set(id, times.lease_s);
        world.submitJob({ id, tasks: 8 });
        await world.run(times.lease_s);
      }
      const quarantined = [...fleet.workers.keys()].filter(
        (id) => world.machine(id).condition.quarantined,
      );
      const message = `lease ${times.lease_s} s, fails after ${failsAfterLeases} leases`;
      assert.deepEqual(quarantined, ['faulty'], message);
    }
  }
});
