import assert from 'node:assert/strict';
import { readdirSync } from 'node:fs';
import { test } from 'node:test';
import { loadScript, runScript, ScriptError } from '../src/operator/script.js';

test('a script overrides factors, also with computed values', () => {
  const policy = runScript(
    'eta = 1 + 0.5\nomega = {1, 2, 3}\nlocal x = math.max(2, 3)\nepsilon = x',
  );
  assert.deepEqual(
    [policy.eta, policy.omega, policy.epsilonS, policy.rho],
    [1.5, [1, 2, 3], 3, 0.2],
  );
});

test('an invalid script is refused with the line of the error', () => {
  const cases: [string, string, RegExp][] = [
    ['syntax', 'eta = = 1', /script:1/],
    ['error', 'eta = 1\nerror("no")', /script:2/],
    ['unknown name', 'eta = 1\nbeta = 2', /script:2: beta: unknown/],
    ['out of range', 'rho = 1.5', /script:1: rho/],
    ['not a number', 'eta = "1"', /script:1: eta/],
    ['not finite', 'eta = 0/0', /eta/],
    ['omega too short', 'omega = {1}', /omega/],
    ['endless loop', 'while true do end', /too many steps/],
    ['files', 'io.open("x")', /script:1/],
    ['processes', 'os.execute("x")', /script:1/],
    ['loading code', 'load("x = 1")()', /script:1/],
    ['require', 'require("fs")', /script:1/],
  ];
  for (const [name, text, says] of cases) {
    assert.throws(
      () => runScript(text),
      (e) => e instanceof ScriptError && says.test(e.message),
      name,
    );
  }
});

test('the examples are valid', () => {
  const files = readdirSync('examples').filter((file) => file.endsWith('.lua'));
  assert.ok(files.length > 0);
  for (const file of files) loadScript(`examples/${file}`);
});
