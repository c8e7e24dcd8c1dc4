/** Machines that a subsystem retains, in the parts of the leader that would use them otherwise. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { silentLog } from '../src/log.js';
import { ActiveSubsystems, NO_SUBSYSTEMS } from '../src/subsystems/active-subsystems.js';
import type { SubsystemTerm } from '../src/subsystems/subsystem.js';
import type { GangReservations } from '../src/leader/scheduling/gang-reservations.js';
import { settings } from './helpers.js';
import { SchedulerWorld } from './support/scheduler-world.js';

const LEASE_S = settings().workers.lease_s;

/** A subsystem that retains the machine `m1`, for jobs of the class `own` only. */
function reservingM1(): ActiveSubsystems {
  const term: SubsystemTerm = {
    tick: () => undefined,
    scaleOutRequests: () => [],
    retainsMachine: (machine) => machine === 'm1',
    reservedMachines: () => 1,
    mayUse: (spec, capacity) => capacity.id !== 'm1' || spec.class === 'own',
    preferenceS: () => 0,
    dueWrites: () => [],
    statistics: () => ({}),
    stop: () => undefined,
  };
  const active = new ActiveSubsystems(silentLog());
  active.begin([{ name: 'keeping', beginTerm: () => term, view: () => null }], () => null!);
  return active;
}

const sendHeartbeats = (world: SchedulerWorld, ...ids: string[]): void => {
  for (const id of ids) world.heartbeat(id, []);
};

test('a machine that a subsystem retains is not reserved for a gang that has waited for long', () => {
  for (const [subsystems, reserved] of [
    [reservingM1(), false],
    [NO_SUBSYSTEMS, true],
  ] as const) {
    const world = new SchedulerWorld(100, 0, subsystems);
    sendHeartbeats(world, 'm1');
    // Half of it is taken by a task that will end.
    if (!subsystems.hasAny) {
      world.submitJob({ id: 'wk-1', gpus: 4, cores: 4 });
      world.runCycle();
      world.confirmClaims('m1', false);
    }
    world.submitJob({ id: 'wk-2', kind: 'gang', tasks: 1, gpus: 8, cores: 8, oneZone: true });
    world.submitJob({ id: 'wk-3', gpus: 1 });
    world.now += LEASE_S * 10;
    world.heartbeat('m1', subsystems.hasAny ? [] : [
      { job: 'wk-1', index: 0, attempt: world.term.machines.get('m1')!.activeAttempts()[0]!.number, state: 'running', cause: null, saved: false },
    ]); // prettier-ignore
    world.runCycle();
    const { reservations } = world.scheduler as unknown as { reservations: GangReservations };
    const other = world.term.jobs.get('wk-3')!;
    assert.equal(reservations.isReservedFrom(other, 'm1'), reserved);
    assert.equal(world.activeTasksOn('m1', 'wk-2'), 0);
  }
});

test('a machine is added for a job that may not use the machine that a subsystem retains', () => {
  for (const [subsystems, count] of [
    [reservingM1(), 1],
    [NO_SUBSYSTEMS, 0],
  ] as const) {
    const world = new SchedulerWorld(100, 0, subsystems);
    sendHeartbeats(world, 'm1');
    world.submitJob({ id: 'wk-1', gpus: 8, cores: 8, zone: 'z1' });
    const { demand, capacities } = world.scheduler.runCycle();
    world.capacity.demand = demand;
    world.capacity.capacities = capacities;
    const wanted = world.capacity.machinesToAdd().filter(({ zone }) => zone === 'z1');
    assert.equal(wanted.length, count);
  }
});

test('a machine that a subsystem retains is not drained, and no replicas are migrated to it', () => {
  const ids = Array.from({ length: 9 }, (_, i) => `m${i + 2}`);
  for (const [subsystems, isEmptied] of [
    [reservingM1(), false],
    [NO_SUBSYSTEMS, true],
  ] as const) {
    const world = new SchedulerWorld(100, 0, subsystems);
    // The only machine with capacity for a replica that is migrated.
    sendHeartbeats(world, 'm1');
    world.submitJob({ id: 'wk-1', class: 'own', kind: 'service', gpus: 4, cores: 4, priority: 0 });
    world.runCycle();
    world.confirmClaims('m1', false);
    // No heartbeat for a lease, so that the others are placed elsewhere.
    world.now += LEASE_S;
    for (const id of ids) {
      sendHeartbeats(world, id);
      world.submitJob({
        id: `wk-${id.slice(1)}`,
        kind: 'service',
        gpus: id === 'm2' ? 3 : 7,
        cores: 3,
        priority: 0,
      });
      world.runCycle();
      world.confirmClaims(id, false);
    }
    world.now += LEASE_S * 10;
    for (const id of ['m1', ...ids]) world.confirmClaims(id, false);
    const { capacities } = world.scheduler.runCycle();
    assert.equal(world.scheduler.drainMachine(capacities) !== null, isEmptied);
  }
});
