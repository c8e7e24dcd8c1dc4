import assert from 'node:assert/strict';
import { test } from 'node:test';
import { xoroshiro128plus, unsafeUniformIntDistribution as draw } from 'pure-rand';
import { LiveJob } from '../src/jobs/live-job.js';
import type { JobSpec } from '../src/jobs/types.js';
import { UnplacedRequests } from '../src/leader/scheduling/unplaced-requests.js';
import { Replica } from '../src/store/replica.js';
import * as records from '../src/store/records.js';
import { SchedulerWorld } from './support/scheduler-world.js';
import { spec } from './helpers.js';

function job(over: Partial<JobSpec>, marks: Partial<LiveJob> = {}): LiveJob {
  const replica = new Replica(8192);
  const wanted = spec({ id: 'wk-1', kind: 'array', cores: 4, gpus: 1, memGb: 8, ...over });
  const value = records.encodeRequestBatch({
    jobs: [{ spec: wanted, acceptedAtMs: 0 }],
    cancelledIds: [],
  });
  replica.applyListed({ key: `${records.JOBS}x-1`, value, revision: 1 });
  return Object.assign(
    new LiveJob(replica.jobs.get('wk-1')!, { kind: 'chunks', tasksPerUnit: 100 }, 0, 0),
    marks,
  );
}

// Each case is a job that is checked after a request for 4 cores, 1 GPU and 8 GB found no capacity.
const CASES: [string, Partial<JobSpec>, Partial<LiveJob>, boolean][] = [
  ['the same again', {}, {}, true],
  ['larger in one resource', { cores: 5 }, {}, true],
  ['smaller in one resource, which may fit', { cores: 3, gpus: 2 }, {}, false],
  ['another priority may preempt other work', { priority: 0 }, {}, false],
  ['the share for long work does not apply to services', { kind: 'service' }, {}, false],
  ['it may use spot machines', { spot: true }, {}, false],
  ['its zone only', { zone: 'z1' }, {}, false],
  ['other machine types', { types: ['other'] }, {}, false],
  ['another team has its own limit and guarantee', { team: 'u' }, {}, false],
  ['work that stops quickly may use warm capacity', { checkpointS: 5, saveS: 0.1 }, {}, false],
  ['long work may use the share reserved for it', {}, { isLong: true }, false],
  ['guaranteed work may preempt more', {}, { isGuaranteed: true }, false],
  ['a gang is placed as a whole', { kind: 'gang' }, {}, false],
  ['one zone: which one depends on where its tasks are', { oneZone: true }, {}, false],
  ['spread over zones: the same', { scatter: true }, {}, false],
  ['it avoids machines', {}, { failures: new Map([['host-1', { at: 0, ranS: 0 }]]) }, false],
];

test('a request is skipped only if an earlier one that found no capacity could use all that it may use', () => {
  for (const [name, over, marks, covered] of CASES) {
    const unplaced = new UnplacedRequests();
    assert.equal(unplaced.covers(job(over, marks)), false, `nothing recorded: ${name}`);
    unplaced.note(job({}));
    assert.equal(unplaced.covers(job(over, marks)), covered, name);
  }
});

test('requests whose machines differ from those of similar requests are not recorded', () => {
  for (const over of [{ oneZone: true }, { scatter: true }, { kind: 'gang' }] as const) {
    const unplaced = new UnplacedRequests();
    unplaced.note(job(over));
    assert.equal(unplaced.covers(job(over)), false, JSON.stringify(over));
  }
  const unplaced = new UnplacedRequests();
  unplaced.note(job({}, { failures: new Map([['host-1', { at: 0, ranS: 0 }]]) }));
  assert.equal(unplaced.covers(job({})), false, 'only this job avoids the machine');
});

test('the smallest sizes that found no capacity decide', () => {
  const unplaced = new UnplacedRequests();
  for (const cores of [8, 6, 7, 2]) unplaced.note(job({ cores }));
  assert.equal(unplaced.covers(job({ cores: 2 })), true);
  assert.equal(unplaced.covers(job({ cores: 1.9 })), false);
});

const MACHINES = ['a', 'b', 'c'];

/** The claims, stops and demand of scheduling cycles over random jobs. */
function decisions(seed: number): unknown[] {
  const generator = xoroshiro128plus(seed);
  const pick = <T>(from: readonly T[]): T => from[draw(0, from.length - 1, generator)]!;
  const world = new SchedulerWorld();
  for (const id of MACHINES) world.heartbeat(id, []);
  const seen: unknown[] = [];
  for (let i = 1; i <= 40; i++) {
    const kind = pick(['array', 'array', 'array', 'service', 'gang'] as const);
    const tasks = draw(1, kind === 'gang' ? 2 : 12, generator);
    const saves = kind === 'service' ? 0 : pick([0, 15]);
    world.submitJob({
      id: `wk-${i}`, kind, tasks, priority: pick([0, 1, 2, 3, 3]), spot: pick([true, false]),
      gpus: pick([1, 2, 4]), cores: draw(2, 9, generator), checkpointS: saves, saveS: saves / 5,
      zone: pick([null, null, 'z1', 'z2']), scatter: pick([false, false, true]),
    }); // prettier-ignore
    world.now += 0.1;
    const { demand } = world.scheduler.runCycle();
    seen.push(demand.map((demand) => [demand.spec.id, demand.tasks]));
    for (const id of MACHINES) {
      const held = world.term.machines.get(id)!.activeAttempts();
      seen.push(
        held.map((attempt) => [
          attempt.job,
          attempt.index,
          attempt.number,
          attempt.stopRequest !== null,
        ]),
      );
      if (i % 3 === 0) world.confirmClaims(id, i % 2 === 0);
    }
  }
  return seen;
}

test('cycles make the same decisions with and without skipped searches', () => {
  const { covers } = UnplacedRequests.prototype;
  let skipped = 0;
  const countingCovers = function (this: UnplacedRequests, asked: LiveJob): boolean {
    const known = covers.call(this, asked);
    if (known) skipped++;
    return known;
  };
  try {
    for (let seed = 1; seed <= 60; seed++) {
      UnplacedRequests.prototype.covers = countingCovers;
      const withSkips = decisions(seed);
      UnplacedRequests.prototype.covers = () => false;
      assert.deepEqual(withSkips, decisions(seed), `seed ${seed}`);
    }
  } finally {
    UnplacedRequests.prototype.covers = covers;
  }
  assert.ok(skipped > 1000, `${skipped} searches skipped`);
});
