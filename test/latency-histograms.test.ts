import assert from 'node:assert/strict';
import { test } from 'node:test';
import { LatencyHistograms } from '../src/latency-histograms.js';

test('latency statistics are in microseconds for every kind of work', () => {
  const latencies = new LatencyHistograms(() => 0);
  for (let i = 1; i <= 100; i++) latencies.record('report', i / 1e4);
  for (const seconds of [-1, 0, 1e-9, 1e6]) latencies.record('lag', seconds);
  const figures = latencies.statistics();
  assert.equal(figures.report_count, 100);
  assert.ok(Math.abs(figures.report_us_p50! - 5000) <= 60);
  assert.ok(Math.abs(figures.report_us_p99! - 9900) <= 110);
  assert.ok(Math.abs(figures.report_us_max! - 10_000) <= 110);
  assert.equal(figures.lag_count, 4);
  assert.equal(figures.lag_us_p50, 1);
  assert.equal(figures.pass_count, undefined);
});
