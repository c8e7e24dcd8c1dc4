import assert from 'node:assert/strict';
import { test } from 'node:test';
import { PASS_GAP_S, PassPacing } from '../src/leader/pass-pacing.js';

const LEASE_S = 10;

function pacing(late: boolean, passShare = 0.2): PassPacing {
  return new PassPacing({ leaseS: LEASE_S, overload: { late, passShare }, startedAt: 100 });
}

test('a late leader places less often, but at least once in 0.3 of a lease', () => {
  const cases: [string, boolean, number[], boolean[]][] = [
    ['in time: every pass places', false, [100, 100.05, 100.1], [true, true, true]],
    [
      'late from the beginning of its term',
      true,
      [100.5, 109.9, 110.1, 113],
      [false, false, true, false],
    ],
    ['late for long', true, [114, 115, 116.9, 117.1, 119], [true, false, false, true, false]],
  ];
  for (const [name, late, times, want] of cases) {
    const passes = pacing(late);
    assert.deepEqual(
      times.map((now) => passes.places(now)),
      want,
      name,
    );
  }
});

test('the next pass comes the later, the longer one took, but not much later', () => {
  const cases: [string, number, number, number][] = [
    ['a quick one: events share a pass', 0.2, 0.001, PASS_GAP_S],
    ['a fifth of the time', 0.2, 0.1, 0.5],
    ['a twentieth of it on a late controller', 0.05, 0.1, 2],
    // It waited for eighteen seconds once, with room free and jobs waiting.
    ['a very long one', 0.05, 0.95, 0.95 + LEASE_S * 0.3],
  ];
  for (const [name, share, tookS, nextS] of cases) {
    const passes = pacing(true, share);
    passes.ended(200, 200 + tookS);
    assert.ok(Math.abs(passes.nextAt - 200 - nextS) < 1e-9, `${name}: ${passes.nextAt - 200}`);
  }
});
