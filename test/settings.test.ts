import assert from 'node:assert/strict';
import { test } from 'node:test';
import { parseSettings, SettingsError } from '../src/config/settings.js';
import { settingsText } from './helpers.js';

test('a platform file is read, unknown fields are ignored', () => {
  const s = parseSettings(settingsText());
  assert.equal(s.node, 'n-0');
  assert.equal(s.workers.lease_s, 2);
  assert.equal(s.teams.get('t')?.gpusMax, 12);
});

const broken: [string, (t: string) => string, RegExp][] = [
  ['not TOML', (t) => t + '\n[[[', /not valid TOML/],
  ['no state address', (t) => t.replace(/^state = .*$/m, ''), /endpoints\.state/],
  [
    'an address without a port',
    (t) => t.replace(/^cloud = .*$/m, 'cloud = "x"'),
    /endpoints\.cloud/,
  ],
  ['a port too large', (t) => t.replace(/^cloud = .*$/m, 'cloud = "x:70000"'), /65535/],
  ['a negative lease', (t) => t.replace(/lease_s = .*/, 'lease_s = -1.0'), /lease_s/],
  ['a word for a number', (t) => t.replace(/write_rps = .*/, 'write_rps = "x"'), /write_rps/],
  ['an infinite rate', (t) => t.replace(/write_rps = .*/, 'write_rps = inf'), /write_rps/],
  ['no zones', (t) => t.replace(/zones = .*/, 'zones = []'), /zones/],
];

test('what is wrong is named', () => {
  for (const [name, change, says] of broken) {
    assert.throws(
      () => parseSettings(change(settingsText())),
      (e) => e instanceof SettingsError && says.test(e.message) && !e.message.includes('\n'),
      name,
    );
  }
});
