import assert from 'node:assert/strict';
import { spawn, spawnSync } from 'node:child_process';
import { mkdtempSync, readFileSync, writeFileSync } from 'node:fs';
import { createServer } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { test } from 'node:test';
import { parse } from 'smol-toml';
import { freePort, settingsText, until } from './helpers.js';

const MAIN = new URL('../src/main.js', import.meta.url).pathname;

/** Replaces many small objects many times. Prints the largest heap size and the live size, in MB. */
const HEAP_CHURN_SCRIPT = `
  import { setFlagsFromString } from 'node:v8';
  import { runInNewContext } from 'node:vm';
  const { limitHeapGrowth } = await import(process.argv[1]);
  const review = limitHeapGrowth(Number(process.argv[3]));
  const size = Number(process.argv[2]);
  const held = new Array(size);
  let peak = 0;
  for (let i = 0; i < size * 20; i++) {
    held[i % size] = { id: 'wk-' + i, numbers: [i, i + 1, i + 2] };
    if (i % 10000 !== 0) continue;
    review();
    peak = Math.max(peak, process.memoryUsage().heapTotal);
  }
  setFlagsFromString('--expose-gc');
  runInNewContext('gc')();
  const live = process.memoryUsage().heapUsed;
  process.stdout.write(JSON.stringify([peak / 1e6, live / 1e6, held.length]));
`;
/** Memory limit of a small controller. */
const MEMORY_LIMIT_MB = 88;
/** New space, and allocations during a collection on a busy machine. */
const HEAP_SLACK_MB = 24;

test('the heap stays in proportion to its live size, whatever memory the machine has', () => {
  const heap = new URL('../src/controller/heap.js', import.meta.url).href;
  for (const objects of [60_000, 240_000]) {
    const args = [
      '--input-type=module',
      '-e',
      HEAP_CHURN_SCRIPT,
      heap,
      String(objects),
      String(MEMORY_LIMIT_MB),
    ];
    const output = String(spawnSync(process.execPath, args).stdout);
    const [peak, live] = JSON.parse(output) as [number, number];
    assert.ok(live > 8 && peak > live, `${peak} and ${live} MB`);
    assert.ok(peak < HEAP_SLACK_MB + live * 2.1, `${live} MB live, ${peak} MB at most`);
  }
});

test('the deployed program starts from the code cache of the build and prints its profile', async () => {
  const { run: line } = parse(readFileSync('deploy/service.toml', 'utf8')) as { run: string };
  const dir = mkdtempSync(join(tmpdir(), 'shelf-'));
  const ports = [{ bind: await freePort(), peer: await freePort() }];
  const config = join(dir, 'settings.toml');
  writeFileSync(config, settingsText(0, ports));
  const [, ...args] = line.replace(' --config', ' --profile 0+1 --config').split(' ');
  const p = spawn(process.execPath, [...args, config], {
    env: { LOG_LEVEL: 'error' },
    stdio: ['ignore', 'ignore', 'pipe'],
  });
  let err = '';
  p.stderr.on('data', (data: Buffer) => (err += data.toString()));
  const end = new Promise((r) => p.on('close', r));
  const answers = async (): Promise<boolean> => {
    const response = await fetch(`http://127.0.0.1:${ports[0]!.bind}/metrics`).catch(() => null);
    return response?.status === 200;
  };
  await until('answers', answers);
  // If V8 rejected the code cache, that would be reported first. Requests are sent all the time, because the
  // profile of an idle program has almost no samples of its own functions.
  await until('profile', async () => {
    for (let i = 0; i < 20 && err === ''; i++) await answers();
    return err !== '';
  });
  p.kill();
  await end;
  assert.match(err, /^busy for [\d.]+ s of [\d.]+ s\n\nby module\n/);
  assert.match(err, /% {2}src\/\w+\/\w+\.ts\n/);
});

test('the reason why a controller cannot start is printed in one line', async () => {
  const dir = mkdtempSync(join(tmpdir(), 'shelf-'));
  const ports = [{ bind: await freePort(), peer: await freePort() }];
  const config = join(dir, 'settings.toml');
  writeFileSync(config, settingsText(0, ports));
  const script = join(dir, 'bad.lua');
  writeFileSync(script, 'eta = "x"');
  const run = (args: string[]) => {
    const p = spawn(process.execPath, [MAIN, ...args], { stdio: ['ignore', 'ignore', 'pipe'] });
    let err = '';
    p.stderr.on('data', (data: Buffer) => (err += data.toString()));
    const end = new Promise<number | null>((r) => p.on('close', r));
    return { p, end, err: () => err };
  };
  const assertFailsWith = async (args: string[], what: RegExp): Promise<void> => {
    const { end, err } = run(args);
    assert.equal(await end, 2, args.join(' '));
    assert.match(err(), what);
    const messages = err()
      .trim()
      .split('\n')
      .filter((line) => !line.startsWith('{'));
    assert.equal(messages.length, 1, err());
  };
  await assertFailsWith(['--config', join(dir, 'none.toml')], /cannot be read/);
  await assertFailsWith(['--config', config, '--operator-script', script], /script:1: eta/);
  await assertFailsWith(
    ['--config', config, '--operator-script', script, '--check'],
    /script:1: eta/,
  );
  const taken = createServer().listen(ports[0]!.bind, '127.0.0.1').unref();
  await until('taken', () => taken.listening);
  await assertFailsWith(['--config', config], /cannot listen/);
  await new Promise((r) => taken.close(r));
});
