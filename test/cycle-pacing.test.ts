import assert from 'node:assert/strict';
import { test } from 'node:test';
import { MIN_CYCLE_GAP_S, CyclePacing } from '../src/leader/scheduling/cycle-pacing.js';

const LEASE_S = 10;

test('the pause after a cycle grows with its duration, up to a maximum', () => {
  const cases: [string, number, number, number][] = [
    ['a short cycle: events share the next one', 0.2, 0.001, MIN_CYCLE_GAP_S],
    ['cycles take a fifth of the time', 0.2, 0.1, 0.5],
    ['they take a twentieth on a late controller', 0.05, 0.1, 2],
    // Without the maximum this pause was eighteen seconds, with free capacity and waiting jobs.
    ['a very long cycle', 0.05, 0.95, 0.95 + LEASE_S * 0.3],
  ];
  for (const [name, share, tookS, nextS] of cases) {
    const pacing = new CyclePacing({ leaseS: LEASE_S, overload: { cycleShare: share } });
    pacing.cycleEnded(200, 200 + tookS);
    assert.ok(Math.abs(pacing.nextAt - 200 - nextS) < 1e-9, `${name}: ${pacing.nextAt - 200}`);
  }
});
