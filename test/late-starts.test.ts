/**
 * Guards against starts of cancelled tasks that are carried out late.
 *
 * A direct start is delayed in the network. Its job is cancelled, then the store refuses all requests. The start arrives
 * long after the task must be gone, and the worker carries it out, since token and agent epoch still match. Only a higher
 * token makes the worker refuse it. A leader that sends a higher token only after a commit sends none in an outage,
 * while each answer to a heartbeat, also of a substitute, renews the lease, which preserves the epoch, and repeats the
 * old token. In the first scenario the start carried token 2, and the fifteen renewals in the 37.5 s from the cancellation
 * to the arrival repeated token 2 in agent epoch 1. No fence was stored, since a leader that may not write did not try.
 * None was needed: the record that claims the task had revision 6 throughout, a token of the same term that the worker
 * would have accepted without a commit.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import * as records from '../src/store/records.js';
import { ControlPlaneWorld, INCIDENT_TIMES } from './support/control-plane-world.js';
import type { SimulatedController } from './support/simulated-controller.js';
import type { Worker } from './support/simulated-fleet.js';

const JOB = 'wk-000001';
const OTHER_JOB = 'wk-000002';
const MACHINE = 'host-000001';

interface HeldBackStart {
  world: ControlPlaneWorld;
  worker: Worker;
  /** Where the machine sends its heartbeats. */
  node: string;
}

/** n-2 leads. A task runs, and the direct start of another job's task to the same machine is held back. */
async function holdBackStart(): Promise<HeldBackStart> {
  const world = new ControlPlaneWorld(INCIDENT_TIMES);
  for (const controller of world.controllers) controller.isCandidate = controller.node === 'n-2';
  await world.runUntil(1);
  const worker = world.fleet.add(MACHINE);
  await world.exchangeHeartbeat(worker, 'n-0');
  world.submitJob({ id: JOB, kind: 'service' });
  const held: HeldBackStart = { world, worker, node: 'n-0' };
  await heartbeats(held, 10);
  world.delaysDirectCommands = true;
  world.submitJob({ id: OTHER_JOB });
  await world.runUntil(world.now + 0.5);
  assert.equal(world.fleet.starts.get(`${OTHER_JOB}/0`), undefined, 'not delivered yet');
  return held;
}

/** Advances the time, with a heartbeat in every interval. */
async function heartbeats({ world, worker, node }: HeldBackStart, seconds: number): Promise<void> {
  const until = world.now + seconds;
  while (world.now < until) {
    await world.runUntil(world.now + world.times.reportS);
    await world.exchangeHeartbeat(worker, node);
  }
}

/** Cancels the job whose start is held back, and waits until the cancellation is confirmed to its user. */
async function cancel({ world }: HeldBackStart): Promise<void> {
  world.cancel(OTHER_JOB);
  await world.runUntil(world.now + 0.25);
  assert.ok(world.confirmedAt.has(OTHER_JOB));
}

/** What happens until the start arrives, the cancellation included; the machine's lease is renewed throughout. */
const SCENARIOS: Record<string, (held: HeldBackStart) => Promise<void>> = {
  'the leader goes on in an outage': async (held) => {
    await cancel(held);
    held.world.storeOutage = true;
  },
  'the outage comes first, and the leader hears of the cancellation from others': async (held) => {
    held.world.controller('n-2').ownStoreHealth = 'refused';
    await cancel(held);
    held.world.storeOutage = true;
  },
  'the leader ends in the outage, and others renew leases in its place': async (held) => {
    await cancel(held);
    held.world.storeOutage = true;
    held.world.controller('n-2').kill();
  },
  'the same, by one that has heard of the cancellation and not read it': async (held) => {
    held.world.controller('n-0').ownStoreHealth = 'refused';
    await cancel(held);
    held.world.storeOutage = true;
    held.world.controller('n-2').kill();
  },
  'others renew in turn, and one of them knows less': async (held) => {
    held.world.controller('n-1').ownStoreHealth = 'refused';
    await cancel(held);
    held.world.storeOutage = true;
    held.world.controller('n-2').kill();
    await heartbeats(held, held.world.times.leaseS / 2);
    held.node = 'n-1';
  },
  'the only controller of a zone that is cut off renews': async (held) => {
    await cancel(held);
    const alone = { aloneInZone: true, peersReachable: false, ownStoreHealth: 'silent' };
    Object.assign(held.world.controller('n-0'), alone);
  },
  'the machine is being returned, and the cloud does not answer': async (held) => {
    const machine = held.world.controller('n-2').term!.leader.term.machines.get(MACHINE)!;
    assert.ok(machine.changeState('returning'));
    await cancel(held);
    held.world.storeOutage = true;
  },
  'commits are carried out late': async (held) => {
    await cancel(held);
    held.world.store.mode = 'hold back';
  },
  'commits are carried out, and their answers are lost': async (held) => {
    await cancel(held);
    held.world.store.mode = 'lose answers';
  },
  'a successor renews': async (held) => {
    await cancel(held);
    held.world.controller('n-2').kill();
    held.world.controller('n-1').isCandidate = true;
  },
};

test('a delayed start of a cancelled task is refused after cancel_s, whichever controller renews the lease', async () => {
  for (const [name, applyScenario] of Object.entries(SCENARIOS)) {
    const held = await holdBackStart();
    const { world, worker } = held;
    await applyScenario(held);
    const before = worker.agentEpoch;
    await heartbeats(held, world.times.cancelS + world.times.reportS);
    assert.ok(worker.agentEpoch > before || worker.answeredAt === world.now, `${name}: renewed`);
    assert.deepEqual(world.lateStarts(), [], name);
    world.deliverDelayedCommands();
    assert.equal(world.fleet.starts.get(`${OTHER_JOB}/0`), undefined, `${name}: must not start`);
    assert.deepEqual(world.fleet.violations, [], name);
  }
});

test('a machine that gets a higher token because of an unanswered start is counted, also in an outage', async () => {
  const held = await holdBackStart();
  const { world } = held;
  await cancel(held);
  world.storeOutage = true;
  await heartbeats(held, world.times.leaseS);
  const { leader } = world.controller('n-2').term!;
  assert.equal(
    leader.statistics().machines_fenced_anew,
    1,
    'counted once, however often it is checked',
  );
  // The worker provably refuses the start by now, so the attempt occupies no quota and no longer counts as in flight.
  assert.equal(leader.statistics().cancelled_attempts, 0);
});

test('a higher token that makes a machine refuse a start does not affect its other tasks', async () => {
  for (const name of [
    'the leader goes on in an outage',
    'the leader ends in the outage, and others renew leases in its place',
    'others renew in turn, and one of them knows less',
    'the only controller of a zone that is cut off renews',
  ]) {
    const held = await holdBackStart();
    const { world, worker } = held;
    await SCENARIOS[name]!(held);
    await heartbeats(held, world.times.cancelS);
    assert.equal(worker.agentEpoch, 1, `${name}: its lease is renewed throughout`);
    assert.equal(worker.running(JOB).length, 1, name);
  }
});

test('after the outage a leader continues with the raised token and starts tasks with it', async () => {
  for (const leaderEnds of [false, true]) {
    const held = await holdBackStart();
    const { world, worker } = held;
    await cancel(held);
    world.storeOutage = true;
    await heartbeats(held, world.times.leaseS);
    if (leaderEnds) {
      world.controller('n-2').kill();
      await heartbeats(held, world.times.leaseS);
      world.controller('n-1').isCandidate = true;
    }
    world.storeOutage = false;
    world.delaysDirectCommands = false;
    await heartbeats(held, world.times.leaseS);
    assert.equal(worker.running(JOB).length, 1);
    world.submitJob({ id: 'wk-000003' });
    await heartbeats(held, world.times.reportS * 4);
    assert.equal(worker.running('wk-000003').length, 1, 'new work starts there');
    const record = records.decodeMachine(world.store.value(records.machineKey(MACHINE)));
    assert.ok(!record.claims.some(({ job }) => job === OTHER_JOB), 'its claim is withdrawn');
    world.deliverDelayedCommands();
    assert.equal(world.fleet.starts.get(`${OTHER_JOB}/0`), undefined);
  }
});

interface LateClaim extends HeldBackStart {
  /** The job whose task is claimed; its cancellation is confirmed to its user. */
  late: string;
  leader: SimulatedController;
}

/**
 * An outage begins just after the leader has stored a claim that no other controller has read, of a job whose
 * cancellation the leader has not read.
 */
async function claimBeforeOutage(): Promise<LateClaim> {
  const held = await holdBackStart();
  const { world } = held;
  world.deliverDelayedCommands();
  await heartbeats(held, world.times.leaseS);
  const late = 'wk-000004';
  const leader = world.controller('n-2');
  // The leader reads the job but not its cancellation.
  world.submitJob({ id: late });
  (leader as unknown as { syncReplica(): void }).syncReplica();
  Object.assign(leader, { readsLost: true, peersReachable: false });
  world.cancel(late);
  // The others run before the leader: they read the cancellation, but no longer the claim.
  await world.runUntil(world.now + world.times.reportS / 10);
  assert.ok(world.confirmedAt.has(late));
  world.storeOutage = true;
  const claims = records.decodeMachine(world.store.value(records.machineKey(MACHINE))).claims;
  assert.ok(
    claims.some(({ job }) => job === late),
    'its claim is stored',
  );
  return { ...held, late, leader };
}

// Guards against substitutes that do not know of the claim, and so renew the lease with a token that allows its start.
test('a start whose claim was stored just before an outage is refused after its leader has ended', async () => {
  const held = await claimBeforeOutage();
  const { world, worker, leader } = held;
  world.delaysDirectCommands = true;
  await leader.step();
  leader.kill();
  await heartbeats(held, world.times.cancelS + world.times.reportS);
  assert.equal(worker.answeredAt, world.now, 'its lease is renewed');
  assert.deepEqual(world.lateStarts(), []);
});

// A controller that confirms the outage to the leader must also name cancelled jobs that have no task in its own replica.
test('a leader that claims a cancelled task just before an outage is informed of the cancellation', async () => {
  const { world, worker, late, leader } = await claimBeforeOutage();
  world.delaysDirectCommands = false;
  leader.peersReachable = true;
  await heartbeats({ world, worker, node: 'n-0' }, world.times.cancelS + world.times.reportS);
  assert.equal(worker.answeredAt, world.now, 'its lease is renewed');
  assert.deepEqual(worker.running(late), []);
  assert.deepEqual(world.overdueTasks(), []);
});
