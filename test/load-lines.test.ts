import assert from 'node:assert/strict';
import test from 'node:test';
import { fake } from './support/fake.js';
import { parseLoadLine, timeline } from '../scripts/load-lines.js';
import { summary } from '../scripts/summary.js';
import { LoadLog, type LoadLine, type LoadSources } from '../src/controller/load-log.js';
import type { Log } from '../src/log.js';
import { HeartbeatCounts } from '../src/heartbeat/heartbeat-counts.js';

/** The load lines of a controller that answers `answered[i]` more heartbeats before line `i`. */
function linesOf(answered: number[]): LoadLine[] {
  const sources: LoadSources = {
    clock: { now: () => 0 },
    role: () => 'leading',
    overload: { delayS: 0.25, latenessS: 0 },
    requests: { size: 7, refused: { report: 0, cancellation: 0, poll: 0, submission: 0 } },
    heartbeats: new HeartbeatCounts(),
    machinesLost: () => 0,
    stateTraffic: () => ({ sent: 0, sentBytes: 0, received: 0, receivedBytes: 0 }),
    passes: { count: 0, seconds: 0 },
  };
  const lines: LoadLine[] = [];
  const log = new LoadLog(sources, fake<Log>({ debug: (line: LoadLine) => lines.push(line) }));
  for (const reports of answered) {
    sources.heartbeats.answered += reports;
    log.write();
  }
  log.stop();
  return lines;
}

test('a line has the counts since the previous line and the current gauges', () => {
  const lines = linesOf([5, 2, 0]);
  assert.deepEqual(
    lines.map((line) => [line.reports_answered, line.requests_waiting, line.delay_ms]),
    [
      [5, 7, 250],
      [2, 7, 250],
      [0, 7, 250],
    ],
  );
});

test('load lines are found after any prefix', () => {
  const json = '{"level":20,"time":1790000012500,"node":"n-0","role":"leading","msg":"load"}';
  const cases: [string, string, number, string][] = [
    ['time and name', `   12.5871 shelfhand-2 ${json}`, 12.5871, 'shelfhand-2'],
    ['with brackets', `[12.5] [shelfhand-2]: ${json}`, 12.5, 'shelfhand-2'],
    ['name first', `shelfhand-2 | 12.5 | ${json}`, 12.5, 'shelfhand-2'],
    ['time alone', `12.5 ${json}`, 12.5, 'n-0'],
    ['nothing', json, 1790000012.5, 'n-0'],
  ];
  for (const [name, text, timeS, node] of cases) {
    const entry = parseLoadLine(text);
    assert.deepEqual([entry?.timeS, entry?.node], [timeS, node], name);
  }
  const others = [
    '',
    'built in 7 s',
    '1 a {"msg":"costs","x":"load"}',
    '1 a {"msg":"load"',
    '1 a "load" {',
  ];
  for (const text of others) assert.equal(parseLoadLine(text), null, text);
});

test('the timeline has a row for each second; lines within a second are merged, and missing ones leave an empty cell', () => {
  const [first, second] = linesOf([5, 2]);
  const rows = timeline([
    { timeS: 3.1, node: 'b', line: first! },
    { timeS: 2.1, node: 'a', line: first! },
    { timeS: 2.9, node: 'a', line: second! },
  ]).map((row) => row.split('|').map((group) => group.trim().split(/ +/).slice(0, 2)));
  assert.deepEqual(rows.slice(2), [
    [['2'], ['lead', '7'], ['']],
    [['3'], [''], ['lead', '5']],
  ]);
});

test('a summary has the least, the median and the greatest figure', () => {
  assert.deepEqual(summary([10, 9, 100]), { least: 9, median: 10, greatest: 100 });
  assert.deepEqual(summary([4, 1, 2, 10]), { least: 1, median: 3, greatest: 10 });
});
