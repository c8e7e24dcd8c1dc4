import assert from 'node:assert/strict';
import { test } from 'node:test';
import { judge, parseKnownFailures, parseTap, type TestResult } from './tools/known-red.js';

const LINE = 'a # test | node --test a.test.js, no seed | what was seen | 14';

test('the list of known failures is short and well-formed', () => {
  const cases: [string, string, number | RegExp][] = [
    ['empty', '', 0],
    ['blank lines', '\n\n', 0],
    ['one line', `${LINE}\n`, 1],
    ['three lines', `a | r | b | 1\nc | r | d | 2\ne | r | f | 3\n`, 3],
    ['four lines', `a | r | b | 1\nc | r | d | 2\ne | r | f | 3\ng | r | h | 4\n`, /4 lines/],
    ['no issue', 'a | r | b', /not "test name/],
    ['an earlier format', 'a | a cause | 1', /not "test name/],
    ['no command', 'a | | b | 1', /not "test name/],
    ['nothing seen', 'a | r | | 1', /not "test name/],
    ['a field too many', 'a | r | b | 1 | 2', /not "test name/],
    ['listed twice', `${LINE}\n${LINE}`, /twice/],
  ];
  for (const [name, text, want] of cases) {
    if (typeof want === 'number') assert.equal(parseKnownFailures(text).length, want, name);
    else assert.throws(() => parseKnownFailures(text), want, name);
  }
});

test('exactly the listed tests fail, or the run is an error', () => {
  const other: TestResult = { name: 'other', passed: true };
  const failing: TestResult = { name: 'a # test', passed: false };
  const cases: [string, string, TestResult[], number, number, number][] = [
    ['all pass', '', [other], 0, 0, 0],
    ['a failure that is not listed', '', [other, failing], 1, 1, 0],
    ['a listed failure', LINE, [other, failing], 1, 0, 1],
    ['a listed failure and another one', LINE, [{ ...other, passed: false }, failing], 1, 1, 1],
    ['listed, but passes', LINE, [other, { ...failing, passed: true }], 0, 1, 0],
    ['listed, but no such test', LINE, [other], 0, 1, 0],
    ['the run failed without a result', '', [other], 1, 1, 0],
  ];
  for (const [name, list, results, exitStatus, errors, passedOver] of cases) {
    const verdict = judge(parseKnownFailures(list), results, exitStatus);
    assert.deepEqual(
      [verdict.errors.length, verdict.passedOver.length],
      [errors, passedOver],
      name,
    );
  }
});

test('results are read from a complete TAP stream only', () => {
  const tap = `TAP version 13
# Subtest: a \\# test
not ok 1 - a \\# test
  ---
  error: 'ok 5 - not a result'
      ok 6 - a subtest
  ...
ok 2 - b # SKIP
1..2
# fail 1
`;
  assert.deepEqual(parseTap(tap), [
    { name: 'a # test', passed: false },
    { name: 'b', passed: true },
  ]);
  assert.throws(() => parseTap(tap.replace('1..2', '1..3')), /not whole/);
  assert.throws(() => parseTap('error TS2304: no such name\n'), /not whole/);
});
