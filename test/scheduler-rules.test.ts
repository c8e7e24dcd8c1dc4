import assert from 'node:assert/strict';
import { FetchTimes } from '../src/scheduler/fetch-times.js';
import { test } from 'node:test';
import { planScaleOut, type Demand } from '../src/cloud/scale-out-plan.js';
import { warmTarget } from '../src/cloud/warm-capacity.js';
import type { JobSpec } from '../src/jobs/types.js';
import { DEFAULT_POLICY } from '../src/operator/policy.js';
import {
  isAllowedOn,
  bestFit,
  freeShare,
  placeGang,
  reservedForLongWork,
  isZoneAllowed,
  type FreeCapacity,
} from '../src/scheduler/bin-packing.js';
import {
  preemptionMode,
  StartLatencyObjectives,
} from '../src/scheduler/service-level-objectives.js';
import { cheapestPreemption } from '../src/scheduler/preemption.js';
import { chooseMachineToDrain } from '../src/scheduler/drain-selection.js';
import { TeamUsages } from '../src/scheduler/quota.js';
import {
  LongJobs,
  compareJobs,
  downstreamWeight,
  longThresholdS,
  remainingTimeS,
  scores,
  type RankInput,
} from '../src/scheduler/ranking.js';
import { g8, settings, spec } from './helpers.js';

const ready = (over = {}) => ({
  unfinishedS: 100,
  finishedS: 0,
  attainedS: 0,
  predictedS: 10,
  pipelineMeanS: 10,
  successors: [],
  ...over,
});
const policy = DEFAULT_POLICY;

test('remaining time follows what was attained', () => {
  const cases: [string, Partial<RankInput>, number][] = [
    ['nothing known: the prediction', {}, 100],
    ['as predicted', { finishedS: 50, attainedS: 50 }, 100],
    ['twice as slow as predicted', { finishedS: 49, attainedS: 99 }, 200],
    // A pipeline whose jobs fail instantly must not look nearly done: failed runs attain time and
    // bring no progress.
    ['failed runs only lengthen it', { attainedS: 9 }, 1000],
  ];
  for (const [name, over, want] of cases)
    assert.equal(remainingTimeS(ready(over), policy), want, name);
});

test('contribution sums over the jobs that wait', () => {
  const successors = [
    { workS: 3, depth: 1 },
    { workS: 4, depth: 2 },
  ];
  assert.equal(
    downstreamWeight(ready({ successors }), { ...policy, omega: [1, 10, 100] }),
    7 + 30 + 200,
  );
});

test('the sum ranks short work first and heavy work of long pipelines up', () => {
  const candidates = [
    ready({ unfinishedS: 10 }),
    ready({ unfinishedS: 100 }),
    ready({ unfinishedS: 1000 }),
  ];
  const [a, b, c] = scores(candidates, [false, false, false], policy);
  assert.ok(a! > b! && b! > c!);
  const boosted = scores(candidates, [false, false, true], policy);
  assert.ok(boosted[2]! > boosted[1]!);
});

test('long is above mean and spread, and does not swing with a burst of alike work', () => {
  assert.equal(longThresholdS([2, 4], 1), 4);
  const marks = new LongJobs();
  marks.update([10, 10, 10, 100], policy, 0);
  assert.ok(marks.isLong(100, false));
  const alike = [...Array<number>(50).fill(10), 100];
  marks.update(alike, policy, 0.1);
  assert.ok(!marks.isLong(40, false), 'the threshold follows slowly');
  assert.ok(marks.isLong(60, true), 'what is long stays so until well below');
});

test('order of jobs', () => {
  const entry = { priority: 1, guaranteed: false, score: 1, readyAt: 5 };
  const sorted = [
    { ...entry, n: 'old', readyAt: 1 },
    { ...entry, n: 'low', priority: 3, score: 9 },
    { ...entry, n: 'score', score: 2 },
    { ...entry, n: 'guaranteed', guaranteed: true },
    { ...entry, n: 'critical', priority: 0 },
    { ...entry, n: 'young' },
  ].sort(compareJobs);
  assert.deepEqual(
    sorted.map((orders) => orders.n),
    ['critical', 'guaranteed', 'score', 'old', 'young', 'low'],
  );
});

const room = (over: Partial<FreeCapacity> = {}): FreeCapacity => ({
  id: 'm',
  type: 'g8',
  zone: 'z1',
  spot: false,
  cores: 8,
  gpus: 8,
  memGb: 64,
  total: g8,
  penaltyS: 0,
  imageDelayS: () => 0,
  fetchS: (gb) => gb,
  hasImage: () => true,
  ...over,
});
const waiting = { ordinaryCostS: 20, emptyCostS: 2 };

test('where a task may go', () => {
  const cases: [string, Partial<JobSpec>, Partial<FreeCapacity>, boolean][] = [
    ['anywhere', {}, {}, true],
    ['wrong type', { types: ['h1'] }, {}, false],
    ['wrong zone', { zone: 'z2' }, {}, false],
    ['spot not allowed', {}, { spot: true }, false],
    ['spot allowed', { spot: true }, { spot: true }, true],
  ];
  for (const [name, jobSpec, capacity, want] of cases)
    assert.equal(isAllowedOn(spec(jobSpec), room(capacity)), want, name);
  const zones = new Map([['z1', 2]]);
  assert.ok(!isZoneAllowed(spec({ oneZone: true }), 'z2', zones));
  assert.ok(isZoneAllowed(spec({ oneZone: true }), 'z1', zones));
  assert.ok(!isZoneAllowed(spec({ scatter: true, tasks: 3 }), 'z1', zones));
  assert.ok(isZoneAllowed(spec({ scatter: true, tasks: 5 }), 'z1', zones));
});

test('the best fit has the image, and is the fuller one', () => {
  const cached = room({ id: 'cached' });
  const cold = room({ id: 'cold', imageDelayS: () => 9 });
  const full = room({ id: 'full', gpus: 1, cores: 1 });
  const where = { zones: new Map() };
  assert.equal(bestFit(spec(), [cold, cached], where, waiting)?.id, 'cached');
  assert.equal(bestFit(spec(), [cached, full], where, waiting)?.id, 'full');
  assert.equal(bestFit(spec({ gpus: 2 }), [full], where, waiting), null);
});

test('a place where another image is cached is left to those who want that image', () => {
  const big = spec({ image: 'big', gpus: 4, cores: 4 });
  const hot = [{ image: 'big', gb: 30, spec: big, expected: 0.5 }];
  const cached = room({ id: 'cached', gpus: 4 });
  const cold = room({ id: 'cold', imageDelayS: (i) => (i === 'big' ? 30 : 0) });
  const where = { zones: new Map() };
  assert.equal(bestFit(spec(), [cached, cold], where, waiting)?.id, 'cached', 'the fuller one');
  assert.equal(bestFit(spec(), [cached, cold], where, { ...waiting, hotImages: hot })?.id, 'cold');
  assert.equal(bestFit(big, [cold, cached], where, { ...waiting, hotImages: hot })?.id, 'cached');
});

test('a gang gets all its places or none, in one zone where it must', () => {
  const capacities = [room({ id: 'a', gpus: 2 }), room({ id: 'b', gpus: 1, zone: 'z2' })];
  const gang = spec({ kind: 'gang', tasks: 3 });
  const free = { zones: new Map() };
  assert.equal(placeGang({ ...gang, oneZone: true }, capacities, free, waiting), null);
  assert.deepEqual(
    capacities.map((capacity) => capacity.gpus),
    [2, 1],
    'nothing is taken in vain',
  );
  assert.equal(placeGang(gang, capacities, free, waiting)?.length, 3);
  assert.deepEqual(
    capacities.map((capacity) => capacity.gpus),
    [0, 0],
  );
});

test('the share for long work is capped at what it can use and lent when none waits', () => {
  assert.equal(reservedForLongWork(100, 0.2, 1000), 20);
  assert.equal(reservedForLongWork(100, 0.2, 5), 5);
  assert.equal(reservedForLongWork(100, 0.2, 0), 0);
});

test('eviction loses least and takes no more than needed', () => {
  const v = (id: string, gpus: number, lossS: number) => ({
    id,
    group: id,
    gpus,
    cores: gpus,
    memGb: 0,
    lossS,
  });
  const candidate = (id: string, victims: ReturnType<typeof v>[], spot = false) => ({
    id, type: 'g8', zone: 'z1', spot, cores: 0, gpus: 0, memGb: 64, victims,
  }); // prettier-ignore
  const need = spec({ gpus: 4, cores: 4 });
  const preemption = cheapestPreemption(
    need,
    [candidate('x', [v('a', 4, 50)]), candidate('y', [v('b', 1, 1), v('c', 4, 10)])],
    new Map(),
  );
  assert.equal(preemption?.machine, 'y');
  assert.deepEqual(
    preemption?.victims.map((victim) => victim.id),
    ['c'],
    'b is not needed beside c',
  );
  assert.equal(cheapestPreemption(need, [candidate('s', [v('a', 4, 0)], true)], new Map()), null);
  assert.equal(cheapestPreemption(need, [candidate('t', [v('a', 2, 0)])], new Map()), null);
});

test('team limits and guarantees', () => {
  const usages = new TeamUsages(settings().teams);
  assert.equal(usages.remainingTasks(spec({ gpus: 5 })), 2);
  usages.add(spec({ gpus: 5 }), 1);
  assert.ok(usages.allows(spec({ gpus: 7 }), 1));
  assert.ok(!usages.allows(spec({ gpus: 4 }), 2));
  assert.ok(!usages.isWithinGuarantee('t'));
  assert.ok(!usages.allows(spec({ team: 'x' }), 1));
  const decimals = new TeamUsages(settings().teams);
  for (let i = 0; i < 119; i++) decimals.add(spec({ gpus: 0.1 }), 1);
  assert.equal(decimals.remainingTasks(spec({ gpus: 0.1 })), 1, 'rounding does not decide');
});

test('what is added covers the demand and no more', () => {
  const plan = (
    demand: Partial<Demand>[],
    capacities: FreeCapacity[] = [],
    isShort = (_t: string, _z: string, _s: boolean) => false,
  ) =>
    planScaleOut({
      demand: demand.map((demand) => ({ spec: spec(), tasks: 1, zones: new Map(), ...demand })),
      capacities,
      types: [g8],
      zones: ['z1', 'z2'],
      isShort,
      machinesByZone: new Map(),
      weights: waiting,
      maxMachines: 50,
    });
  const total = (orders: ReturnType<typeof plan>) =>
    orders.reduce((n, wanted) => n + wanted.count, 0);
  assert.equal(total(plan([{ tasks: 17 }])), 3);
  assert.equal(total(plan([{ tasks: 9 }], [room({ id: 'coming' })])), 1);
  assert.equal(plan([{ spec: spec({ spot: true }) }])[0]?.spot, true);
  assert.equal(plan([{ spec: spec({ spot: true }) }], [], (_t, _z, s) => s)[0]?.spot, false);
  assert.equal(total(plan([{ tasks: 5 }], [], () => true)), 0);
  const zones = plan([{ spec: spec({ scatter: true, gpus: 8, tasks: 4 }), tasks: 4 }]).map(
    (wanted) => wanted.count,
  );
  assert.deepEqual(zones, [2, 2]);
});

test('a machine whose GPUs are taken has no free capacity, however many cores are left', () => {
  // Counted by its cores instead, it once kept the fleet from renting ahead at all.
  assert.equal(freeShare(room({ gpus: 0, cores: 6 })), 0);
  assert.equal(freeShare(room({ gpus: 4, cores: 8 })), 0.5);
});

test('capacity kept warm covers what arrives within a boot, and ignores the first burst', () => {
  const forecast = { mean: 1, deviations: 1, least: 1, reused: 0.5 };
  const burst = Array.from({ length: 50 }, () => ({ atMs: 0, size: 1 }));
  assert.equal(warmTarget(burst, [], 0, 20_000, 200, 25, forecast), 1, 'too early to tell');
  assert.equal(warmTarget(burst, [], 0, 100_000, 200, 25, forecast), 1);
  const steady = Array.from({ length: 20 }, (_, i) => ({ atMs: 30_000 + i * 5000, size: 0.5 }));
  const target = warmTarget([...burst, ...steady], [], 0, 125_000, 200, 25, forecast);
  const net = warmTarget([...burst, ...steady], steady, 0, 125_000, 200, 25, forecast);
  assert.ok(net < target && net > 1, String(net));
  assert.ok(target > 2.5 && target < 5, String(target));
});

test('what is preempted saves first, unless only stopping at once is in time', () => {
  const cases: [string, number | null, number, number, string][] = [
    ['nothing expected', null, 3, 8, 'checkpoint-first'],
    ['time enough', 4, 3, 0, 'checkpoint-first'],
    ['not with saving', 4, 3, 1.8, 'immediate'],
    ['late in any case: no work is lost for it', 2, 3, 2.5, 'too-late'],
  ];
  for (const [name, left, save, image, want] of cases)
    assert.equal(preemptionMode(left, save, image), want, name);
  const startObjectives = new StartLatencyObjectives([
    { kind: 'wait', class: 'c', within_s: 15 },
    { kind: 'wait', class: 'c', within_s: 4 },
    { kind: 'finished', class: 'd', within_s: 9 },
  ]);
  assert.deepEqual(
    [
      startObjectives.nextTargetS('c', 0),
      startObjectives.nextTargetS('c', 5),
      startObjectives.nextTargetS('c', 20),
      startObjectives.nextTargetS('d', 0),
    ],
    [4, 15, null, null],
  );
});

test('a machine is emptied when all its replicas find their image elsewhere', () => {
  const service = spec({ kind: 'service', gpus: 2, cores: 2 });
  const emptier = room({ id: 'emptier', gpus: 6, cores: 6 });
  const candidate = {
    capacity: emptier,
    replicas: [{ spec: service, zones: new Map([['z1', 1]]) }],
  };
  const cases: [string, Partial<FreeCapacity>, boolean, boolean][] = [
    ['a hole with the image', { gpus: 2, cores: 2 }, true, true],
    ['no room', { gpus: 1 }, true, false],
    ['no image for certain', { gpus: 2, cores: 2, hasImage: () => false }, true, false],
    ['an empty machine', {}, true, false],
    ['a spot machine', { gpus: 2, cores: 2, spot: true }, true, false],
    ['too many moved just now', { gpus: 2, cores: 2 }, false, false],
  ];
  for (const [name, over, may, want] of cases) {
    const capacities = [emptier, room({ id: 'other', ...over })];
    assert.equal(
      chooseMachineToDrain([candidate], capacities, () => may, waiting) !== null,
      want,
      name,
    );
    // Rooms of a class have their methods from its prototype; spreads once lost them, and with that
    // every tick of the leader ended early.
    const classy = capacities.map((capacity) =>
      Object.assign(Object.create(capacity) as FreeCapacity, { cores: capacity.cores }),
    );
    assert.equal(
      chooseMachineToDrain([candidate], classy, () => may, waiting) !== null,
      want,
      name,
    );
  }
});

test('how long fetches take is learned from those seen, the odd ones aside', () => {
  const cases: [string, [number, number][], number][] = [
    ['nothing seen', [], 1],
    ['too few', Array(7).fill([10, 20]), 1],
    ['slower by a fifth', Array(8).fill([10, 12]), 1.2],
    ['faster: promises do not rest on luck', Array(8).fill([10, 8]), 1],
    ['hangs and shared lines say nothing', Array(20).fill([10, 100]), 1],
    ['a quarter is slower than counted with', [...Array(9).fill([10, 11]), ...Array(3).fill([10, 14])], 1.4],
    ['a tenth is', [...Array(18).fill([10, 11]), ...Array(2).fill([10, 14])], 1.1],
    ['the last ones count', [...Array(64).fill([10, 14]), ...Array(64).fill([10, 11])], 1.1],
  ]; // prettier-ignore
  for (const [name, seen, sure] of cases) {
    const forecast = new FetchTimes();
    for (const [predicted, took] of seen) forecast.record(predicted, took);
    assert.equal(forecast.safetyFactor, sure, name);
  }
});
