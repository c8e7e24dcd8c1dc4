/**
 * Starts of cancelled tasks that arrive late.
 *
 * What happens: a start goes straight to a machine and is held back on its way. Its job is cancelled, and the store
 * refuses everybody. Long after the time at which the task must be gone the start arrives, and the machine carries it
 * out, since token and agent epoch still match.
 * Why: the one thing that made such a start harmless was a higher token, and a leader gave one only after a commit had
 * named it. In an outage there is no commit, while every answer to a heartbeat renews the lease, which keeps the epoch,
 * and repeats the token that the start needs. Controllers that renew in a leader's place did the same.
 * Evidence: in the first case the start carries token 2, and in the 37.5 s from the cancellation to the arrival fifteen
 * renewals repeat token 2 in agent epoch 1. The record that claims the task stands at revision 6 all along: a token of
 * the same term that the machine would have taken. No fence was stored; a leader that may not write did not try.
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

/** n-2 leads. A task runs, and the start of another job's task is held back on its way to the same machine. */
async function holdBackStart(): Promise<HeldBackStart> {
  const world = new ControlPlaneWorld(INCIDENT_TIMES);
  for (const controller of world.controllers) controller.stands = controller.node === 'n-2';
  await world.runUntil(1);
  const worker = world.fleet.add(MACHINE);
  await world.exchangeHeartbeat(worker, 'n-0');
  world.submitJob({ id: JOB, kind: 'service' });
  const held: HeldBackStart = { world, worker, node: 'n-0' };
  await heartbeats(held, 10);
  world.holdsDirectCommands = true;
  world.submitJob({ id: OTHER_JOB });
  await world.runUntil(world.now + 0.5);
  assert.equal(world.fleet.starts.get(`${OTHER_JOB}/0`), undefined, 'still on its way');
  return held;
}

/** Time passes, with a heartbeat every interval. */
async function heartbeats({ world, worker, node }: HeldBackStart, seconds: number): Promise<void> {
  const until = world.now + seconds;
  while (world.now < until) {
    await world.runUntil(world.now + world.times.reportS);
    await world.exchangeHeartbeat(worker, node);
  }
}

/** The job whose start is on its way is cancelled, and its user is told. */
async function cancel({ world }: HeldBackStart): Promise<void> {
  world.cancel(OTHER_JOB);
  await world.runUntil(world.now + 0.25);
  assert.ok(world.toldAt.has(OTHER_JOB));
}

/** How it goes on from the cancellation to the arrival; the machine's lease is renewed all the time. */
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
    held.world.controller('n-1').stands = true;
  },
};

test('a start that is held back is refused once its time is over, whoever renews the lease', async () => {
  for (const [name, applyScenario] of Object.entries(SCENARIOS)) {
    const held = await holdBackStart();
    const { world, worker } = held;
    await applyScenario(held);
    const before = worker.agentEpoch;
    await heartbeats(held, world.times.cancelS + world.times.reportS);
    assert.ok(worker.agentEpoch > before || worker.answeredAt === world.now, `${name}: renewed`);
    assert.deepEqual(world.lateStarts(), [], name);
    world.deliverHeldBack();
    assert.equal(world.fleet.starts.get(`${OTHER_JOB}/0`), undefined, `${name}: must not start`);
    assert.deepEqual(world.fleet.violations, [], name);
  }
});

test('a start that is called back is told: the machine fenced anew is counted, in an outage too', async () => {
  const held = await holdBackStart();
  const { world } = held;
  await cancel(held);
  world.storeOutage = true;
  await heartbeats(held, world.times.leaseS);
  const { leader } = world.controller('n-2').term!;
  assert.equal(leader.statistics().machines_fenced_anew, 1, 'once, however often it is looked at');
  // Seen to be refused by then: it counts for no quota, and is not taken for on its way.
  assert.equal(leader.statistics().cancelled_attempts, 0);
});

test('the token that refuses a start costs the other work of its machine nothing', async () => {
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
    assert.equal(worker.agentEpoch, 1, `${name}: its lease is renewed all the time`);
    assert.equal(worker.running(JOB).length, 1, name);
  }
});

test('a raised token outlives the outage: the leader goes on with it, and starts with it', async () => {
  for (const leaderEnds of [false, true]) {
    const held = await holdBackStart();
    const { world, worker } = held;
    await cancel(held);
    world.storeOutage = true;
    await heartbeats(held, world.times.leaseS);
    if (leaderEnds) {
      world.controller('n-2').kill();
      await heartbeats(held, world.times.leaseS);
      world.controller('n-1').stands = true;
    }
    world.storeOutage = false;
    world.holdsDirectCommands = false;
    await heartbeats(held, world.times.leaseS);
    assert.equal(worker.running(JOB).length, 1);
    world.submitJob({ id: 'wk-000003' });
    await heartbeats(held, world.times.reportS * 4);
    assert.equal(worker.running('wk-000003').length, 1, 'new work starts there');
    const record = records.decodeMachine(world.store.value(records.machineKey(MACHINE)));
    assert.ok(!record.claims.some(({ job }) => job === OTHER_JOB), 'its claim is withdrawn');
    world.deliverHeldBack();
    assert.equal(world.fleet.starts.get(`${OTHER_JOB}/0`), undefined);
  }
});

interface LateClaim extends HeldBackStart {
  /** The job whose task is claimed; its user has been told that it is cancelled. */
  late: string;
  leader: SimulatedController;
}

/** An outage begins as the leader has stored a claim that nobody else has read, of a job whose cancellation it has not read. */
async function claimBeforeOutage(): Promise<LateClaim> {
  const held = await holdBackStart();
  const { world } = held;
  world.deliverHeldBack();
  await heartbeats(held, world.times.leaseS);
  const late = 'wk-000004';
  const leader = world.controller('n-2');
  // The leader reads the job, and not that it is cancelled.
  world.submitJob({ id: late });
  (leader as unknown as { read(): void }).read();
  Object.assign(leader, { readsLost: true, peersReachable: false });
  world.cancel(late);
  // The others take their turns before it, read the cancellation, and do not read the claim any more.
  await world.runUntil(world.now + world.times.reportS / 10);
  assert.ok(world.toldAt.has(late));
  world.storeOutage = true;
  const claims = records.decodeMachine(world.store.value(records.machineKey(MACHINE))).claims;
  assert.ok(
    claims.some(({ job }) => job === late),
    'its claim is stored',
  );
  return { ...held, late, leader };
}

// Nobody else knew of the claim, so whoever renewed the lease in the outage gave no token that refuses its start.
test('a start whose claim was stored just before an outage is refused, although its leader ended', async () => {
  const held = await claimBeforeOutage();
  const { world, worker, leader } = held;
  world.holdsDirectCommands = true;
  await leader.step();
  leader.kill();
  await heartbeats(held, world.times.cancelS + world.times.reportS);
  assert.equal(worker.answeredAt, world.now, 'its lease is renewed');
  assert.deepEqual(world.lateStarts(), []);
});

// Whoever confirmed the leader in the outage did not name a cancelled job that had no task by what it had read itself.
test('a leader that claims a cancelled task just before an outage hears that it is cancelled', async () => {
  const { world, worker, late, leader } = await claimBeforeOutage();
  world.holdsDirectCommands = false;
  leader.peersReachable = true;
  await heartbeats({ world, worker, node: 'n-0' }, world.times.cancelS + world.times.reportS);
  assert.equal(worker.answeredAt, world.now, 'its lease is renewed');
  assert.deepEqual(worker.running(late), []);
  assert.deepEqual(world.overdueTasks(), []);
});
