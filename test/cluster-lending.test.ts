/** Lending with real processes on loopback: the leader is killed, or frozen and resumed, during a load spike. */
import assert from 'node:assert/strict';
import { execFile } from 'node:child_process';
import { mkdtempSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { test } from 'node:test';
import { promisify } from 'node:util';
import { freePort } from './helpers.js';
import { PATIENT, Scenario, SPIKE, type LeaderFault } from './lending-scenario.js';

const MAIN = new URL('../src/main.js', import.meta.url).pathname;

async function runProgram(...args: string[]): Promise<{ status: number; out: string }> {
  try {
    const { stdout } = await promisify(execFile)(process.execPath, [MAIN, ...args]);
    return { status: 0, out: stdout };
  } catch (error) {
    const { code, stderr } = error as { code: number; stderr: string };
    return { status: code, out: stderr };
  }
}

/** Checks the output of the command `loans` while the controllers run. */
async function checkLoansCommand(scenario: Scenario): Promise<void> {
  const { cluster } = scenario;
  const at = `127.0.0.1:${cluster.ports[await cluster.waitForLeader()]!.bind}`;
  const shown = await runProgram('loans', '--at', at);
  assert.match(shown.out, /^loan +tasks +borrower +machine +gpus +state +due +changed +reason\n/);
  assert.match(shown.out, new RegExp(`\n${PATIENT}/0/\\d+ +1 +${SPIKE} +host-000001 +2 +resumed`));
  const none = await runProgram('loans', '--at', at, '--job', 'wk-000009', '--json');
  assert.deepEqual(JSON.parse(none.out), []);
  const wrong: [string[], RegExp][] = [
    [['--at', 'x'], /^pewtershelf: loans: x: must be HOST:PORT\n$/],
    [['--at', `127.0.0.1:${await freePort()}`], /^pewtershelf: loans: .*ECONNREFUSED.*\n$/],
    [[], /required option '--at <addr>'/],
  ];
  for (const [args, says] of wrong) {
    const { status, out } = await runProgram('loans', ...args);
    assert.ok(status > 0);
    assert.match(out, says);
  }
}

for (const fault of ['killed', 'frozen'] satisfies LeaderFault[]) {
  test(`real processes: the leader is ${fault} while GPUs are lent; both deadlines are met`, async () => {
    const scenario = new Scenario({
      ...{ lending: true, leaderFault: fault, tightFirst: true, label: fault },
      directory: mkdtempSync(join(tmpdir(), 'shelf-')),
    });
    const outcome = await scenario.play(() => checkLoansCommand(scenario));
    assert.deepEqual(outcome.violations, []);
    for (const { ref, doneS, dueS } of outcome.batch) {
      assert.ok(doneS !== null && doneS <= dueS, `${ref} took ${doneS} s of ${dueS} s`);
    }
    const lenders = outcome.loans.map(({ lender, state }) => `${lender} ${state}`);
    assert.deepEqual(lenders, [`${PATIENT} resumed`], 'the job with slack lent, and runs again');
    assert.deepEqual(outcome.batch.map(({ starts }) => starts), [1, 2]); // prettier-ignore
  });
}
