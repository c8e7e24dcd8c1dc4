import assert from 'node:assert/strict';
import { test } from 'node:test';
import { MIN_CYCLE_GAP_S, CyclePacing } from '../src/leader/scheduling/cycle-pacing.js';

const LEASE_S = 10;

test('the next cycle comes the later, the longer one took, but not much later', () => {
  const cases: [string, number, number, number][] = [
    ['a quick one: events share a pass', 0.2, 0.001, MIN_CYCLE_GAP_S],
    ['a fifth of the time', 0.2, 0.1, 0.5],
    ['a twentieth of it on a late controller', 0.05, 0.1, 2],
    // It waited for eighteen seconds once, with capacity free and jobs waiting.
    ['a very long one', 0.05, 0.95, 0.95 + LEASE_S * 0.3],
  ];
  for (const [name, share, tookS, nextS] of cases) {
    const passes = new CyclePacing({ leaseS: LEASE_S, overload: { cycleShare: share } });
    passes.cycleEnded(200, 200 + tookS);
    assert.ok(Math.abs(passes.nextAt - 200 - nextS) < 1e-9, `${name}: ${passes.nextAt - 200}`);
  }
});
