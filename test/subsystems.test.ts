/** What a subsystem keeps of machines, in the parts of the leader that would use them otherwise. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { silentLog } from '../src/log.js';
import { ActiveSubsystems, NO_SUBSYSTEMS } from '../src/subsystems/active-subsystems.js';
import type { SubsystemTerm } from '../src/subsystems/subsystem.js';
import type { GangReservations } from '../src/leader/scheduling/gang-reservations.js';
import { settings } from './helpers.js';
import { Bench } from './pass-helpers.js';

const LEASE_S = settings().workers.lease_s;

/** A subsystem that keeps the machine `m1` from everything. */
function keeping(): ActiveSubsystems {
  const term: SubsystemTerm = {
    tick: () => undefined,
    scaleOutRequests: () => [],
    keeps: (machine) => machine === 'm1',
    keptMachines: () => 1,
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

const report = (bench: Bench, ...ids: string[]): void => {
  for (const id of ids) bench.report(id, []);
};

test('a gang that waits for long has no machine reserved for it that is kept', () => {
  for (const [subsystems, reserved] of [
    [keeping(), false],
    [NO_SUBSYSTEMS, true],
  ] as const) {
    const bench = new Bench(100, 0, subsystems);
    report(bench, 'm1');
    // Half of it is taken by a task that will end.
    if (!subsystems.hasAny) {
      bench.job({ id: 'wk-1', gpus: 4, cores: 4 });
      bench.pass();
      bench.settle('m1', false);
    }
    bench.job({ id: 'wk-2', kind: 'gang', tasks: 1, gpus: 8, cores: 8, oneZone: true });
    bench.job({ id: 'wk-3', gpus: 1 });
    bench.now += LEASE_S * 10;
    bench.report('m1', subsystems.hasAny ? [] : [
      { job: 'wk-1', index: 0, attempt: bench.term.machines.get('m1')!.activeAttempts()[0]!.number, state: 'running', cause: null, saved: false },
    ]); // prettier-ignore
    bench.pass();
    const { reservations } = bench.scheduler as unknown as { reservations: GangReservations };
    const other = bench.term.jobs.get('wk-3')!;
    assert.equal(reservations.isReservedFrom(other, 'm1'), reserved);
    assert.equal(bench.on('m1', 'wk-2'), 0);
  }
});

test('work that may not use what is kept has a machine rented where it may be', () => {
  for (const [subsystems, count] of [
    [keeping(), 1],
    [NO_SUBSYSTEMS, 0],
  ] as const) {
    const bench = new Bench(100, 0, subsystems);
    report(bench, 'm1');
    bench.job({ id: 'wk-1', gpus: 8, cores: 8, zone: 'z1' });
    const { demand, capacities } = bench.scheduler.runCycle();
    bench.capacity.demand = demand;
    bench.capacity.capacities = capacities;
    const wanted = bench.capacity.machinesToAdd().filter(({ zone }) => zone === 'z1');
    assert.equal(wanted.length, count);
  }
});

test('a machine that is kept is not emptied, nor others onto it', () => {
  const ids = Array.from({ length: 9 }, (_, i) => `m${i + 2}`);
  for (const [subsystems, isEmptied] of [
    [keeping(), false],
    [NO_SUBSYSTEMS, true],
  ] as const) {
    const bench = new Bench(100, 0, subsystems);
    // With the only capacity for a replica that moves.
    report(bench, 'm1');
    bench.job({ id: 'wk-1', class: 'own', kind: 'service', gpus: 4, cores: 4, priority: 0 });
    bench.pass();
    bench.settle('m1', false);
    // Not heard for a moment: the others are placed elsewhere.
    bench.now += LEASE_S;
    for (const id of ids) {
      report(bench, id);
      bench.job({
        id: `wk-${id.slice(1)}`,
        kind: 'service',
        gpus: id === 'm2' ? 3 : 7,
        cores: 3,
        priority: 0,
      });
      bench.pass();
      bench.settle(id, false);
    }
    bench.now += LEASE_S * 10;
    for (const id of ['m1', ...ids]) bench.settle(id, false);
    const { capacities } = bench.scheduler.runCycle();
    assert.equal(bench.scheduler.drainMachine(capacities) !== null, isEmptied);
  }
});
