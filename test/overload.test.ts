import assert from 'node:assert/strict';
import { test } from 'node:test';
import { steadyClock } from '../src/clock.js';
import { Overload, refusedAboveS, type RequestClass } from '../src/admission/overload.js';
import { RequestQueue } from '../src/admission/request-queue.js';
import { ANSWER_WAIT_S } from '../src/wire/workers.js';

const LEASE_S = 10;
/** Length of a slice of the queue: a hundredth of the lease. */
const SLICE_S = LEASE_S / 100;

/** A queue with a simulated clock and event loop; `runTurn` runs one turn of that loop. */
class QueueHarness {
  now = 0;
  readonly served: string[] = [];
  readonly overload = new Overload();
  readonly errors: unknown[] = [];
  private deferred: (() => void)[] = [];
  readonly queue: RequestQueue;

  constructor(capacity = 1000) {
    this.queue = new RequestQueue({
      clock: { now: () => this.now },
      leaseS: LEASE_S,
      capacity,
      overload: this.overload,
      defer: (callback) => this.deferred.push(callback),
      onError: (e) => this.errors.push(e),
    });
  }

  /** A request whose handling takes `costS`; the answer is its name, or `refused`. */
  request(kind: RequestClass, name: string, costS = 0, timeoutS?: number): unknown {
    const work = (): string => {
      this.served.push(name);
      this.now += costS;
      return name;
    };
    return this.queue.run(kind, work, 'refused', timeoutS);
  }

  /** Uses up the slice, so that the next requests wait. */
  exhaustSlice(): void {
    this.request('report', 'first', SLICE_S);
    this.served.length = 0;
  }

  /** Runs one turn of the event loop. */
  runTurn(): void {
    const callbacks = this.deferred;
    this.deferred = [];
    for (const callback of callbacks) callback();
  }

  /** Whether a turn is scheduled. */
  get hasDeferredTurn(): boolean {
    return this.deferred.length > 0;
  }

  /** Runs turns until no request waits. */
  runUntilIdle(): void {
    while (this.hasDeferredTurn) this.runTurn();
  }
}

test('a controller that keeps up handles each request on arrival, whatever its class', () => {
  const harness = new QueueHarness();
  for (let turn = 0; turn < 3; turn++) {
    for (const kind of ['submission', 'report', 'poll', 'cancellation'] as const) {
      assert.equal(
        harness.request(kind, kind, SLICE_S / 10),
        kind,
        'no promise: answered synchronously',
      );
    }
    harness.runTurn();
    assert.equal(harness.hasDeferredTurn, false, 'no turn is scheduled');
  }
  assert.equal(harness.queue.statistics().requests_waiting, 0);
});

test('waiting requests are served by class, within a class in the order of arrival', async () => {
  const cases: [string, [RequestClass, string][], string[]][] = [
    [
      'all classes, the lowest first',
      [['submission', 's'], ['poll', 'p'], ['cancellation', 'c'], ['report', 'r']],
      ['r', 'c', 'p', 's'],
    ],
    [
      "a machine's heartbeats",
      [['report', 'm1'], ['poll', 'p'], ['report', 'm2'], ['report', 'm3']],
      ['m1', 'm2', 'm3', 'p'],
    ],
  ]; // prettier-ignore
  for (const [name, requests, served] of cases) {
    const harness = new QueueHarness();
    harness.exhaustSlice();
    const answers = requests.map(([kind, request]) => harness.request(kind, request));
    assert.deepEqual(harness.served, [], `${name}: the slice was used up`);
    harness.runUntilIdle();
    assert.deepEqual(harness.served, served, name);
    assert.deepEqual(
      await Promise.all(answers),
      requests.map(([, request]) => request),
    );
  }
});

test('no request overtakes a waiting one of its class, also in a new turn', () => {
  const harness = new QueueHarness();
  harness.exhaustSlice();
  harness.request('report', 'm1', SLICE_S);
  harness.request('report', 'm2', SLICE_S);
  harness.runTurn();
  assert.deepEqual(harness.served, ['m1'], 'one slice per turn');
  harness.request('report', 'm3');
  assert.deepEqual(harness.served, ['m1']);
  harness.runUntilIdle();
  assert.deepEqual(harness.served, ['m1', 'm2', 'm3']);
});

test('a turn serves one slice at most, but at least one request', () => {
  for (const [costS, most] of [
    [SLICE_S / 10, 10],
    [SLICE_S * 0.7, 2],
    [SLICE_S * 50, 1],
  ] as const) {
    const harness = new QueueHarness();
    harness.exhaustSlice();
    for (let i = 0; i < 25; i++) harness.request('report', `${i}`, costS);
    let served = 0;
    while (served < 25) {
      harness.runTurn();
      const now = harness.served.length - served;
      // One request more than fits is allowed, because sums of fractions are not exact.
      assert.ok(now >= 1 && now <= most + 1, `${now} of ${costS} s`);
      served += now;
    }
  }
});

test('a heartbeat whose worker has timed out is refused without work; others are served', async () => {
  const cases: [string, number, string][] = [
    ['in time', ANSWER_WAIT_S * 0.8, 'r'],
    ['timed out', ANSWER_WAIT_S * 0.9, 'refused'],
  ];
  for (const [name, waitedS, answer] of cases) {
    const harness = new QueueHarness();
    harness.exhaustSlice();
    const answered = harness.request('report', 'r', 0, ANSWER_WAIT_S * 0.875);
    harness.now += waitedS;
    harness.runUntilIdle();
    assert.equal(await answered, answer, name);
    assert.deepEqual(harness.served, answer === 'r' ? ['r'] : [], name);
    assert.equal(harness.queue.statistics().reports_refused, answer === 'r' ? 0 : 1);
  }
});

test('with rising delay, less is scheduled, then submissions, polls and cancellations are refused on arrival', () => {
  const calm = new Overload().cycleShare;
  const cases: [number, boolean, RequestClass[]][] = [
    [0, false, []],
    [ANSWER_WAIT_S * 0.12, false, []],
    [ANSWER_WAIT_S * 0.2, true, []],
    [ANSWER_WAIT_S * 0.3, true, ['submission']],
    [ANSWER_WAIT_S * 0.6, true, ['submission', 'poll']],
    [ANSWER_WAIT_S * 0.8, true, ['submission', 'poll', 'cancellation']],
    [ANSWER_WAIT_S * 100, true, ['submission', 'poll', 'cancellation']],
  ];
  for (const [delayS, schedulesLess, refused] of cases) {
    for (const cause of ['loop', 'queue'] as const) {
      const harness = new QueueHarness();
      harness.exhaustSlice();
      if (cause === 'loop') {
        for (let i = 0; i < 2; i++) harness.overload.recordTimerLag(delayS, 0);
      } else {
        harness.request('report', 'oldest');
        harness.now += delayS;
      }
      assert.equal(harness.overload.cycleShare < calm, schedulesLess, `${cause} ${delayS}`);
      for (const kind of ['report', 'cancellation', 'poll', 'submission'] as const) {
        const isRefused = harness.request(kind, kind) === 'refused';
        assert.equal(isRefused, refused.includes(kind), `${cause} ${delayS} ${kind}`);
      }
    }
  }
});

test('one late timer is no overload, and neither is a lag that has ended', () => {
  const cases: [string, number[], boolean][] = [
    ['late once', [0, 3], false],
    ['late twice', [3, 3], true],
    ['late, then in time', [3, 3, 0], false],
  ];
  for (const [name, lags, refused] of cases) {
    const harness = new QueueHarness();
    for (const lag of lags) harness.overload.recordTimerLag(lag, 0);
    assert.equal(harness.request('submission', 's') === 'refused', refused, name);
  }
  const harness = new QueueHarness();
  harness.exhaustSlice();
  harness.request('report', 'r');
  harness.now += 3;
  assert.equal(harness.request('submission', 's'), 'refused');
  harness.runUntilIdle();
  assert.equal(harness.request('submission', 's'), 's');
});

test('an admitted request is served within its threshold, however many heartbeats arrive', () => {
  // By class alone, a submission would wait until its user times out under an endless stream of heartbeats.
  for (const kind of ['cancellation', 'poll', 'submission'] as const) {
    const harness = new QueueHarness();
    harness.exhaustSlice();
    const arrivedAt = harness.now;
    let waitedS: number | null = null;
    const note = (): void => {
      waitedS = harness.now - arrivedAt;
    };
    void harness.queue.run(kind, note, undefined);
    for (let i = 0; waitedS === null && i < 1000; i++) {
      harness.request('report', `${i}`, SLICE_S);
      harness.runTurn();
    }
    // One more heartbeat may be in progress; sums of fractions are not exact.
    assert.ok(waitedS !== null && waitedS < refusedAboveS(kind) + 1.5 * SLICE_S, kind);
  }
});

test('the queue is bounded, and an error of one request does not affect others', async () => {
  const harness = new QueueHarness(2);
  harness.exhaustSlice();
  const failing = harness.queue.run(
    'report',
    () => {
      throw new Error('broken');
    },
    'refused',
  );
  const second = harness.request('report', 'second');
  assert.equal(harness.request('report', 'third'), 'refused');
  harness.runUntilIdle();
  await assert.rejects(Promise.resolve(failing), /broken/);
  assert.equal(await second, 'second');
  assert.deepEqual(harness.errors, []);
  assert.equal(harness.request('report', 'fourth'), 'fourth');
});

test("timers still run under a flood of requests: the leader's lease is renewed in time", async () => {
  // In a single turn, 300 requests of 4 ms each would take 1.2 s; the lease of this leader lasts 0.6 s.
  const leaseS = 2;
  const leaderLeaseS = leaseS * 0.3;
  const costMs = 4;
  const queue = new RequestQueue({
    clock: steadyClock,
    leaseS,
    capacity: 1000,
    overload: new Overload(),
    onError: (e) => assert.fail(String(e)),
  });
  const work = (): number => {
    const end = performance.now() + costMs;
    while (performance.now() < end);
    return 200;
  };
  let last = performance.now();
  let longest = 0;
  const timer = setInterval(
    () => {
      const now = performance.now();
      longest = Math.max(longest, now - last);
      last = now;
    },
    (leaderLeaseS * 1000) / 5,
  );
  const answers = Array.from({ length: 300 }, () =>
    Promise.resolve(queue.run('report', work, 503)),
  );
  const statuses = await Promise.all(answers);
  clearInterval(timer);
  assert.ok(statuses.every((status) => status === 200));
  assert.ok(longest > 0 && longest < leaderLeaseS * 1000, `a renewal every ${longest} ms at worst`);
});
