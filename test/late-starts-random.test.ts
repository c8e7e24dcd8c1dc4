/**
 * Starts that are held back on their way, beside outages, late commits, leaders that end or freeze, cut links and
 * cancellations, in any order and in injected time: once a cancelled task must be gone, each start of it that may still
 * arrive is refused by its worker. Looked at after every step, whether or not the start arrives then. A fixed seed;
 * more with LATE_STARTS_RUNS and LATE_STARTS_SEED:
 * `LATE_STARTS_RUNS=5000 LATE_STARTS_SEED=7 node --test target/check/test/late-starts-random.test.js`.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import type { ControlPlaneWorld } from './support/control-plane-world.js';
import {
  TIMES,
  TROUBLES,
  beginDay,
  type Trouble,
  type TroubledDay,
} from './support/troubled-days.js';

const RUNS = Number(process.env.LATE_STARTS_RUNS ?? 600);
const SEED = Number(process.env.LATE_STARTS_SEED ?? 51);
/** At most so many tenths of a heartbeat interval pass between two looks. */
const LOOK_TENTHS = 5;
/** How long it may be until the next event, in tenths: a start is repeated, and fenced off, within an interval. */
const GAPS = [0, 1, 2, 3, 5, 10, 20];

/** A job arrives; the store must serve for that. */
function acceptJob(world: ControlPlaneWorld): void {
  if (world.storeOutage) return;
  const id = `wk-${String(world.accepted.length).padStart(6, '0')}`;
  world.submitJob({ id, kind: 'array', tasks: 2, gpus: 1, cores: 1 });
}

/** Troubles that bring about starts on their way, beside those of renewals. */
const START_TROUBLES: Record<string, Trouble> = {
  'a job arrives': acceptJob,
  'a job arrives, and its starts are held back': (world) => {
    world.holdsDirectCommands = true;
    acceptJob(world);
  },
  'the newest job is cancelled': (world) => world.cancel(world.accepted.at(-1)!),
  'commits are late': (world) => void (world.store.mode = 'hold back'),
  'answers to commits are lost': (world) => void (world.store.mode = 'lose answers'),
  'commits arrive': (world) => {
    world.store.mode = 'serve';
    world.store.deliverHeldBack();
  },
};

const ALL: Record<string, Trouble> = { ...TROUBLES, ...START_TROUBLES };

/** What must hold at any moment. */
function check(world: ControlPlaneWorld): void {
  assert.deepEqual(world.lateStarts(), []);
  assert.deepEqual(world.overdueTasks(), []);
  assert.deepEqual(world.fleet.violations, []);
}

interface Event {
  what: string;
  number: number;
  /** Until the next event, in tenths of a heartbeat interval. */
  gap: number;
}

interface Day extends Omit<TroubledDay, 'events'> {
  events: readonly Event[];
}

/** Time passes, with looks in between. */
async function watch(world: ControlPlaneWorld, tenths: number): Promise<void> {
  for (let left = tenths; left > 0; left -= LOOK_TENTHS) {
    await world.runUntil(world.now + (Math.min(left, LOOK_TENTHS) * world.times.reportS) / 10);
    check(world);
  }
}

async function play({ events, ...day }: Day): Promise<void> {
  const world = await beginDay({ ...day, events: [] });
  for (const { what, number, gap } of events) {
    ALL[what]!(world, number);
    await watch(world, gap);
  }
  // As it is then, until every cancellation that was told has had its time.
  const until = Math.max(...world.toldAt.values(), world.now) + day.times.cancelS;
  while (world.now <= until) await watch(world, LOOK_TENTHS);
  world.deliverHeldBack();
  check(world);
}

const anyEvent = event(...Object.keys(ALL));

/** One of these, and some time after it. */
function event(...names: string[]): fc.Arbitrary<Event> {
  return fc.record({
    what: fc.constantFrom(...names),
    number: fc.nat(5),
    gap: fc.constantFrom(...GAPS),
  });
}

/** Most starts are answered long before anything happens to them: each day has one that is not. */
const events = fc
  .tuple(
    fc.array(anyEvent, { maxLength: 6 }),
    event('a job arrives, and its starts are held back'),
    fc.array(anyEvent, { maxLength: 2 }),
    event('the newest job is cancelled'),
    fc.array(anyEvent, { maxLength: 2 }),
    event('outage', 'commits are late', 'answers to commits are lost', 'the leader ends'),
    fc.array(anyEvent, { maxLength: 6 }),
  )
  .map((parts) => parts.flat());

const day = fc.record({ times: fc.constantFrom(...TIMES), reportsNewToken: fc.boolean(), events });

test('troubles in any order beside starts on their way: none is carried out once its time is over', async () => {
  await fc.assert(fc.asyncProperty(day, play), {
    seed: SEED,
    numRuns: RUNS,
    interruptAfterTimeLimit: Math.max(200, RUNS / 4) * 1000,
    markInterruptAsFailure: true,
  });
});
