/** Lending with a leader and simulated workers: grants, recalls and returns, and decisions where nothing is lent. */
import { settings } from './helpers.js';
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { isOpen } from '../src/lending/loan.js';
import { RequestRejectedError } from '../src/store/client.js';
import { BORROWER, LENDER, LendingWorld, MACHINE_GPUS, OTHER } from './support/lending-world.js';

const { lease_s: LEASE_S, report_s: REPORT_S } = settings().workers;

interface Scenario {
  name: string;
  options?: ConstructorParameters<typeof LendingWorld>[0];
  play(world: LendingWorld): Promise<void>;
}

/** Adds one machine, and lets a batch job of one task fill it for two seconds. */
async function fillOneMachine(world: LendingWorld, over = {}, workS = 8): Promise<void> {
  world.fleet.add('m1');
  await world.run(1);
  world.batchJob(workS, { id: LENDER, deadlineS: 80, ...over });
  await world.run(2);
}

/** Adds two machines, and lets a gang fill them for two seconds. */
async function startGangOnTwoMachines(world: LendingWorld): Promise<void> {
  world.fleet.add('m1');
  world.fleet.add('m2');
  await world.run(1);
  world.batchJob(30, { id: LENDER, kind: 'gang', tasks: 2, gpus: 8, deadlineS: 400 });
  await world.run(2);
}

const borrowerRuns = (world: LendingWorld) => () => world.taskStates(BORROWER).includes('running');

const SCENARIOS: Scenario[] = [
  {
    name: 'the loan is stored before the lender is stopped',
    async play(world) {
      await fillOneMachine(world);
      world.service({ id: BORROWER });
      await world.runUntil('the lender saves', () => world.taskStates(LENDER).includes('saving'));
      assert.equal(world.states(), 'requested');
    },
  },
  {
    name: 'if a loan cannot be stored, the service gets its place without a loan',
    async play(world) {
      await fillOneMachine(world);
      const put = world.store.compareAndSwap.bind(world.store);
      world.store.compareAndSwap = (guards, ops) => {
        const isLoan = ops.some((op) => 'put' in op && op.put.includes('/lending/'));
        return isLoan ? Promise.reject(new RequestRejectedError(400)) : put(guards, ops);
      };
      world.service({ id: BORROWER });
      await world.runUntil('the borrower runs', borrowerRuns(world), REPORT_S * 20);
      assert.deepEqual(world.loans(), []);
      assert.ok(Number(world.leader.statistics().loans_without_promise) > 0);
      await world.run(LEASE_S);
      assert.equal(world.leader.statistics().loans_open_gpus, 0, 'not retried forever');
    },
  },
  {
    name: 'a lender is not preempted for a borrower that has found a place meanwhile',
    async play(world) {
      await fillOneMachine(world, { deadlineS: 200 }, 40);
      world.service({ id: BORROWER });
      world.runCycle();
      world.fleet.add('m2');
      await world.outage(LEASE_S);
      await world.runUntil('the borrower runs', borrowerRuns(world));
      await world.run(LEASE_S * 2);
      assert.deepEqual([world.hosts(LENDER), world.hosts(BORROWER)], [['m1'], ['m2']]);
      assert.equal(world.fleet.starts.get(`${LENDER}/0`), 1, 'it was not interrupted');
      assert.ok(world.loans().every((loan) => !isOpen(loan)));
    },
  },
  {
    name: 'a job without slack is preempted without a loan',
    async play(world) {
      await fillOneMachine(world, { deadlineS: 12 });
      world.service({ id: BORROWER });
      await world.runUntil('the borrower runs', borrowerRuns(world));
      assert.deepEqual(world.loans(), []);
      assert.equal(world.leader.statistics().loans_without_promise, 1);
    },
  },
  {
    name: 'of two lenders the one with more slack is stopped',
    async play(world) {
      world.fleet.add('m1');
      await world.run(1);
      world.batchJob(30, { id: 'wk-000011', gpus: 4, cores: 4, deadlineS: 90 });
      world.batchJob(30, { id: 'wk-000012', gpus: 4, cores: 4, deadlineS: 900 });
      world.batchJob(30, { id: 'wk-000013', gpus: 4, cores: 4, deadlineS: 60 });
      await world.run(2);
      world.service({ id: BORROWER, gpus: 4, cores: 4 });
      await world.runUntil('the borrower runs', borrowerRuns(world));
      assert.deepEqual(world.loans().map(({ lender }) => lender), ['wk-000012']); // prettier-ignore
    },
  },
  {
    name: 'higher-priority work is not preempted for the slack of lower-priority work',
    async play(world) {
      world.fleet.add('m1');
      await world.run(1);
      world.batchJob(30, { id: 'wk-000011', gpus: 4, cores: 4, deadlineS: 60, priority: 3 });
      world.batchJob(30, { id: 'wk-000012', gpus: 4, cores: 4, deadlineS: 900, priority: 2 });
      await world.run(2);
      world.service({ id: BORROWER, gpus: 4, cores: 4 });
      await world.runUntil('the borrower runs', borrowerRuns(world));
      assert.ok(world.taskStates('wk-000012').includes('running'));
    },
  },
  {
    name: 'all tasks of a gang are lent together',
    async play(world) {
      await startGangOnTwoMachines(world);
      world.service({ id: BORROWER });
      await world.runUntil('the borrower runs', borrowerRuns(world));
      const [loan] = world.loans();
      assert.deepEqual(loan!.tasks.map(({ index, machine }) => [index, machine]), [[0, 'm1'], [1, 'm2']]); // prettier-ignore
      assert.equal(loan!.gpus, MACHINE_GPUS, 'only GPUs of the machine that is lent');
      assert.equal(world.fleet.running(LENDER), 0);
      world.cancel(BORROWER);
      await world.runUntil('it runs again', () => world.states() === 'resumed');
      assert.equal(world.fleet.running(LENDER), 2);
    },
  },
  {
    name: 'two services take both machines of a gang in one cycle: its loan names one borrower and the machine of that one',
    async play(world) {
      await startGangOnTwoMachines(world);
      world.service({ id: BORROWER });
      world.service({ id: 'wk-000013' });
      await world.runUntil(
        'both services run',
        () => world.hosts(BORROWER).length + world.hosts('wk-000013').length === 2,
      );
      const [loan, ...others] = world.loans();
      assert.deepEqual(others, []);
      assert.equal(loan!.borrower === BORROWER, loan!.machine === 'm1', 'as in the first grant');
      await world.run(LEASE_S * 2);
      assert.equal(world.states(), 'lent');
    },
  },
  {
    name: 'a job without checkpoints lends only before it starts',
    async play(world) {
      await fillOneMachine(world, { checkpointS: 0, deadlineS: 400 });
      world.service({ id: BORROWER });
      await world.runUntil('the borrower runs', borrowerRuns(world));
      assert.deepEqual(world.loans(), []);
    },
  },
  {
    name: 'only services borrow',
    async play(world) {
      await fillOneMachine(world);
      world.batchJob(2, { id: BORROWER, priority: 0, deadlineS: 100 });
      await world.runUntil('it runs', borrowerRuns(world));
      assert.deepEqual(world.loans(), []);
      await world.runUntil('all is done', () => world.batch.work.get(LENDER)!.doneAt !== null);
    },
  },
  {
    name: 'a team within its guarantee does not lend, and loans of a team that gets within it are recalled at once',
    async play(world) {
      world.fleet.add('m1');
      world.settings.teams.set('b', { name: 'b', cores: 0, coresMax: 0, gpus: 8, gpusMax: 100 });
      await world.run(1);
      world.batchJob(6, { id: 'wk-000011', gpus: 4, cores: 4, deadlineS: 400 });
      world.batchJob(40, { id: 'wk-000012', gpus: 4, cores: 4, tasks: 2, deadlineS: 900 });
      await world.run(2);
      world.service({ id: BORROWER, gpus: 4, cores: 4 });
      await world.runUntil('the borrower runs', borrowerRuns(world));
      assert.deepEqual(world.loans().map(({ lender }) => lender), ['wk-000012']); // prettier-ignore
      assert.ok(world.taskStates('wk-000011').includes('running'));
      await world.runUntil(
        'the first job is done',
        () => world.batch.work.get('wk-000011')!.doneAt !== null,
      );
      // The team's first job has ended: its remaining tasks fit into the guarantee.
      await world.runUntil(
        'the lender is back',
        () => world.taskStates('wk-000012').filter((state) => state === 'running').length > 0,
      );
      await world.runUntil('the loan has ended', () => !world.loans().some(isOpen), LEASE_S * 20);
    },
  },
  {
    name: 'no more loans are open than the limit allows',
    options: { maxOpen: 1 },
    async play(world) {
      world.fleet.add('m1');
      await world.run(1);
      for (const id of ['wk-000011', 'wk-000012']) {
        world.batchJob(30, { id, gpus: 4, cores: 4, deadlineS: 900 });
      }
      await world.run(2);
      world.service({ id: BORROWER, tasks: 2, gpus: 4, cores: 4 });
      await world.runUntil('both replicas run', () => world.fleet.running(BORROWER) === 2);
      assert.equal(world.loans().length, 1);
    },
  },
  {
    name: 'a GPU is in only one open loan, even if other work took it before the borrower',
    async play(world) {
      await fillOneMachine(world, { deadlineS: 400 });
      world.service({ id: BORROWER });
      await world.runUntil('the lender saves', () => world.taskStates(LENDER).includes('saving'));
      const limited = { name: 't', cores: 0, coresMax: 0, gpus: 0 };
      world.settings.teams.set('t', { ...limited, gpusMax: 4 });
      world.batchJob(30, { id: 'wk-000012', priority: 2, deadlineS: 900 });
      await world.runUntil('another job took it', () => world.fleet.running('wk-000012') === 1);
      world.settings.teams.set('s', { ...limited, name: 's', gpusMax: 100 });
      world.service({ id: 'wk-000013', team: 's' });
      await world.runUntil('the other service runs', () => world.fleet.running('wk-000013') === 1);
      assert.deepEqual(world.loans().map(({ lender, state }) => [lender, state]), [[LENDER, 'lent']]); // prettier-ignore
    },
  },
  {
    name: 'all loans are due at the same time during the peak load of the service',
    options: { recallsAtOnce: 2 },
    async play(world) {
      const lenders = Array.from({ length: 4 }, (_, i) => `wk-00002${i}`);
      for (let i = 0; i < 4; i++) world.fleet.add(`m${i}`);
      await world.run(1);
      for (const id of lenders) world.batchJob(10, { id, zone: 'z1', deadlineS: 100 });
      await world.run(2);
      world.service({ id: BORROWER, tasks: 4, image: 'tutor' });
      await world.runUntil('all replicas run', () => world.fleet.running(BORROWER) === 4);
      await world.runUntil('all loans are lent', () => world.states() === 'lent lent lent lent');
      for (let i = 0; i < 4; i++) world.fleet.add(`n${i}`, 'z2');
      let most = 0;
      await world.runUntil('all run again', () => {
        most = Math.max(most, world.loans().filter(({ state }) => state === 'recalled').length);
        assert.ok(world.fleet.running(BORROWER) >= 3, 'no more than one replica is away at a time');
        return world.loans().every(({ state }) => state === 'resumed');
      }, 100); // prettier-ignore
      assert.ok(most <= 2, `${most} recalls at once`);
      await world.runToEnd();
    },
  },
  {
    name: 'capacity that a migrated replica leaves goes to the lender before other work of the same priority',
    async play(world) {
      await world.runToPoint('lent');
      // Other jobs depend on it, so it ranks before the lender.
      world.batchJob(2, { id: 'wk-000012', zone: 'z1', estimateS: 1 });
      for (const id of ['wk-000021', 'wk-000022', 'wk-000023']) {
        world.batchJob(2, { id, estimateS: 0.5, dependencies: ['wk-000012'] });
      }
      await world.run(1);
      world.cancel(OTHER);
      await world.runUntil(
        'one of them runs',
        () => world.fleet.running(LENDER) + world.fleet.running('wk-000012') > 0,
        80,
      );
      assert.equal(world.fleet.running(LENDER), 1);
    },
  },
  {
    name: 'a machine that is added in time ends the loan',
    async play(world) {
      await fillOneMachine(world);
      world.service({ id: BORROWER });
      await world.runUntil('the borrower runs', borrowerRuns(world));
      world.fleet.add('m2');
      await world.runUntil('the lender is back', () => world.states() === 'resumed', LEASE_S * 2);
      assert.deepEqual(world.hosts(LENDER), ['m2']);
      assert.ok(borrowerRuns(world)(), 'the borrower stays');
    },
  },
  {
    name: 'the only replica of a service is not migrated: the loan is waived, with a reason',
    async play(world) {
      await fillOneMachine(world, { zone: 'z1' });
      world.service({ id: BORROWER });
      await world.runUntil('the borrower runs', borrowerRuns(world));
      world.fleet.add('m2', 'z2');
      await world.runUntil('the loan is waived', () => world.states() === 'waived', 120);
      assert.match(world.loans()[0]!.reason, /no free place/);
      assert.ok(borrowerRuns(world)());
    },
  },
  {
    name: 'ended loans are removed after a while',
    options: { keepEndedS: 10 },
    async play(world) {
      await fillOneMachine(world);
      world.service({ id: BORROWER });
      await world.runUntil('the borrower runs', borrowerRuns(world));
      world.cancel(BORROWER);
      await world.runUntil('the loan has ended', () => world.states() === 'resumed');
      await world.run(8);
      assert.equal(world.states(), 'resumed');
      await world.run(4);
      assert.equal(world.states(), '');
    },
  },
];

for (const { name, options, play } of SCENARIOS) {
  test(name, async () => {
    const world = new LendingWorld(options);
    await play(world);
    world.checkRules();
  });
}

/** Runs some work without a service that borrows, and returns all that was stored and started. */
async function decisions(lending: boolean): Promise<unknown> {
  const world = new LendingWorld({ lending });
  for (const id of ['m1', 'm2']) world.fleet.add(id);
  await world.run(1);
  world.batchJob(6, { id: 'wk-000011', tasks: 3, gpus: 4, cores: 4, deadlineS: 60 });
  world.batchJob(6, { id: 'wk-000012', kind: 'gang', tasks: 2, gpus: 4, cores: 4, priority: 2 });
  await world.run(2);
  // Preempts, but not for a service: no loan is involved.
  world.batchJob(3, { id: 'wk-000013', gpus: 8, priority: 0 });
  await world.run(4);
  world.service({ id: BORROWER, gpus: 1, cores: 1, memGb: 1 });
  world.failOver();
  await world.run(20);
  return world.decisions();
}

test('without the table `lending`, and with it if nothing is borrowed, the decisions are the same', async () => {
  assert.deepEqual(await decisions(true), await decisions(false));
});
