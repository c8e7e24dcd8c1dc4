/** Burst schedules, the time of day of a controller, and lead times. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { TimeOfDay } from '../src/time-of-day.js';
import { BurstSchedule, ScheduleError } from '../src/warm-pools/burst-schedule.js';
import { quantile } from '../src/subsystems/samples.js';
import { LeadTimes } from '../src/warm-pools/lead-times.js';
import { g8 } from './helpers.js';

test('schedules: time zones, skipped hours and repeated hours', () => {
  const rows: [string, string, string, string, string[]][] = [
    ['an hour ahead of UTC by five', '0 8 * * *', 'Asia/Karachi', '2026-12-02T00:00Z', ['2026-12-02T03:00Z', '2026-12-03T03:00Z']],
    ['no Sundays', '0 8 * * 1-6', 'Asia/Karachi', '2026-12-05T04:00Z', ['2026-12-07T03:00Z', '2026-12-08T03:00Z']],
    ['the hour is skipped: right after it', '30 2 * * *', 'Europe/Berlin', '2026-03-28T12:00Z', ['2026-03-29T01:30Z', '2026-03-30T00:30Z']],
    ['the hour comes twice: once', '30 2 * * *', 'Europe/Berlin', '2026-10-24T12:00Z', ['2026-10-25T00:30Z', '2026-10-26T01:30Z']],
    ['before and after the change', '0 8 * * *', 'Europe/Berlin', '2026-10-24T12:00Z', ['2026-10-25T07:00Z', '2026-10-26T07:00Z']],
  ]; // prettier-ignore
  for (const [name, expression, zone, from, want] of rows) {
    const schedule = new BurstSchedule(expression, zone);
    const fromMs = Date.parse(from);
    const [first, second] = want.map((text) => Date.parse(text)) as [number, number];
    assert.equal(schedule.nextAfter(fromMs), first, name);
    assert.deepEqual(schedule.between(fromMs, second), [first, second], name);
    assert.equal(schedule.nextAfter(first), second, `${name}: after the first`);
    assert.equal(schedule.nextAfter(fromMs), first, `${name}: an earlier time again`);
    assert.deepEqual(schedule.between(fromMs, first - 1), [], name);
  }
  const once = new BurstSchedule('2026-12-02T08:00:00', 'Asia/Karachi');
  assert.deepEqual(once.between(Date.parse('2026-12-01'), Infinity), [
    Date.parse('2026-12-02T03:00Z'),
  ]);
  assert.equal(once.nextAfter(Date.parse('2026-12-03')), null);
  assert.throws(() => once.check(Date.parse('2026-12-03'), 1), ScheduleError);
});

test('the time of day follows drift and lasting jumps, but not momentary jumps', () => {
  let now = 0;
  let jumpMs = 0;
  const rate = 1.0004;
  const make = (): TimeOfDay => {
    now = jumpMs = 0;
    return new TimeOfDay({
      ...{ clock: { now: () => now }, wallMs: () => 1e12 + now * 1000 * rate + jumpMs },
      ...{ skewMs: 100, leaseS: 10 },
    });
  };
  const offMs = (clock: TimeOfDay): number => Math.abs(clock.nowMs() - (1e12 + now * 1000 * rate));
  const run = (clock: TimeOfDay, seconds: number): void => {
    for (let i = 0; i < seconds; i++) {
      now++;
      clock.nowMs();
    }
  };
  const steady = make();
  run(steady, 100_000);
  assert.ok(offMs(steady) < 250, 'a drifting clock is followed for days');
  const moment = make();
  run(moment, 10);
  jumpMs = 3_600_000;
  run(moment, 30);
  assert.ok(offMs(moment) < 250 && moment.hasPendingJump, 'a momentary jump is not followed');
  jumpMs = 0;
  run(moment, 1);
  assert.ok(!moment.hasPendingJump && moment.jumps === 0);
  for (const by of [3_600_000, -3_600_000]) {
    const lasting = make();
    run(lasting, 10);
    jumpMs = by;
    run(lasting, 70);
    assert.ok(Math.abs(offMs(lasting) - 3_600_000) < 250, 'a lasting jump is followed');
    assert.equal(lasting.jumps, 1);
  }
});

test('lead times come from samples; with few samples, the expected time is the lower bound', () => {
  const rows: [string, number[], number][] = [
    ['none: slow boots and fetches are expected', [], 1.6 + 2 * 1.35],
    ['few and fast', [0.2, 0.2], 1.6 + 2 * 1.35],
    ['few and slow', [9, 2], 9 + 2 * 1.35],
    ['many: what covers most of them', [...Array<number>(19).fill(0.4), 7], 0.4 + 2 * 1.35],
    ['old ones are forgotten', [...Array<number>(40).fill(9), ...Array<number>(24).fill(0.5)], 0.5 + 2 * 1.35],
  ]; // prettier-ignore
  for (const [name, boots, leadS] of rows) {
    const times = new LeadTimes();
    for (const boot of boots) times.recordBootTime('g8', 'z1', boot);
    assert.ok(Math.abs(times.leadTimeS(g8, 'z1', 'i', 2) - leadS) < 1e-9, name);
    assert.equal(times.leadTimeS(g8, 'z2', 'i', 2), 1.6 + 2 * 1.35, `${name}: another zone`);
    // A new leader reads them from the store.
    const next = new LeadTimes();
    next.reconcile(
      new Map(times.dueWrites().map(({ key, value }) => [key, { value, revision: 1 }])),
    );
    assert.equal(next.leadTimeS(g8, 'z1', 'i', 2), times.leadTimeS(g8, 'z1', 'i', 2), name);
    assert.deepEqual(next.dueWrites(), [], name);
  }
  const loads = new LeadTimes();
  for (let i = 0; i < 40; i++) loads.recordLoadTime('g8', 'z1', `image-${i}`, 5);
  const { l } = loads.dueWrites()[0]!.value as { l: unknown[] };
  assert.equal(l.length, 32, 'the record stays small');
  assert.equal(quantile([], 0.9), 0);
});
