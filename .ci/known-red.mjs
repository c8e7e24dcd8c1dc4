// Usage: known-red.mjs LIST TAP EXIT_STATUS
// Fails unless exactly the listed tests failed. The list may be empty or missing.
import { existsSync, readFileSync } from 'node:fs';
import process from 'node:process';
import { judge, parseKnownFailures, parseTap } from '../target/check/test/tools/known-red.js';

const [list, tap, exitStatus] = process.argv.slice(2);

function verdict() {
  try {
    const known = parseKnownFailures(existsSync(list) ? readFileSync(list, 'utf8') : '');
    return judge(known, parseTap(readFileSync(tap, 'utf8')), Number(exitStatus));
  } catch (error) {
    return { errors: [error.message], passedOver: [] };
  }
}

const { errors, passedOver } = verdict();
for (const { test, command, seen, issue } of passedOver) {
  const line = [test, command, seen, issue].join(' | ');
  process.stdout.write(`known failure passed over: ${line}\n`);
}
for (const error of errors) process.stderr.write(`known failures: ${error}\n`);
process.exitCode = errors.length > 0 ? 1 : 0;
