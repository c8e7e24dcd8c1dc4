import assert from 'node:assert/strict';
import { test } from 'node:test';
import { parseSettings, SettingsError } from '../src/config/settings.js';
import { settingsText } from './helpers.js';

test('a settings file is parsed and unknown fields are ignored', () => {
  const settings = parseSettings(settingsText());
  assert.equal(settings.node, 'n-0');
  assert.equal(settings.workers.lease_s, 2);
  assert.equal(settings.teams.get('t')?.gpusMax, 12);
});

test('the smaller of present and next limits applies; progress is divided by the present value size', () => {
  const present = { rps: 1000, write_rps: 200, value_kb: 8, txn_ops: 8 };
  const cases: [string, string, object][] = [
    ['none', '', {}],
    ['all', 'rps = 9.0\nwrite_rps = 5.0\nvalue_kb = 2.0\ntxn_ops = 4', { rps: 9, write_rps: 5, value_kb: 2, txn_ops: 4 }],
    ['some', 'value_kb = 2.0', { value_kb: 2 }],
    ['larger limits', 'value_kb = 16.0\ntxn_ops = 20', {}],
  ]; // prettier-ignore
  for (const [name, next, smaller] of cases) {
    const settings = parseSettings(settingsText(0, undefined, 3, 4, 2, undefined, 6, next));
    assert.deepEqual(settings.state, { ...present, ...smaller }, name);
    assert.equal(settings.progressValueKb, 8, name);
  }
});

const withNextLimits = (text: string, next: string): string =>
  text.replace('[settings.cloud]', `[settings.state.next]\n${next}\n[settings.cloud]`);

const invalidSettings: [string, (text: string) => string, RegExp][] = [
  ['not TOML', (text) => text + '\n[[[', /not valid TOML/],
  ['no state address', (text) => text.replace(/^state = .*$/m, ''), /endpoints\.state/],
  [
    'an address without a port',
    (text) => text.replace(/^cloud = .*$/m, 'cloud = "x"'),
    /endpoints\.cloud/,
  ],
  ['a port too large', (text) => text.replace(/^cloud = .*$/m, 'cloud = "x:70000"'), /65535/],
  ['a negative lease', (text) => text.replace(/lease_s = .*/, 'lease_s = -1.0'), /lease_s/],
  ['a word for a number', (text) => text.replace(/write_rps = .*/, 'write_rps = "x"'), /write_rps/],
  ['an infinite rate', (text) => text.replace(/write_rps = .*/, 'write_rps = inf'), /write_rps/],
  [
    'a next limit of zero',
    (text) => withNextLimits(text, 'value_kb = 0.0'),
    /state\.next\.value_kb/,
  ],
  [
    'a next limit as a string',
    (text) => withNextLimits(text, 'txn_ops = "x"'),
    /state\.next\.txn_ops/,
  ],
  ['no zones', (text) => text.replace(/zones = .*/, 'zones = []'), /zones/],
];

test('the error names the invalid field', () => {
  for (const [name, change, says] of invalidSettings) {
    assert.throws(
      () => parseSettings(change(settingsText())),
      (e) => e instanceof SettingsError && says.test(e.message) && !e.message.includes('\n'),
      name,
    );
  }
});
