import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Histogram } from '../src/service/costs.js';

test('percentiles of a histogram are within a twelfth of the true ones', () => {
  const h = new Histogram();
  assert.equal(h.percentile(50), 0);
  for (let us = 0; us <= 100_000; us++) h.record(us);
  for (const percent of [1, 50, 99]) {
    const off = h.percentile(percent) / (percent * 1000);
    assert.ok(off > 11 / 12 && off < 13 / 12, `${percent}: ${off}`);
  }
  assert.deepEqual([h.count, h.max], [100_001, 100_000]);
  h.record(1e12);
  assert.equal(h.max, 1e12);
});
