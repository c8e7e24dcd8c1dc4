import assert from 'node:assert/strict';
import { spawn } from 'node:child_process';
import { mkdtempSync, writeFileSync } from 'node:fs';
import { createServer } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { test } from 'node:test';
import { heapLimits } from '../src/service/thread.js';
import { freePort, settingsText, until } from './helpers.js';

const MAIN = new URL('../src/main.js', import.meta.url).pathname;

test('the heap leaves room for the rest of the process, whatever its memory', () => {
  // What a controller holds beside its heap, in MB: the program and its libraries.
  const rest = 55;
  for (const mb of [114, 146, 290, 410, 2000]) {
    const { maxOldGenerationSizeMb: old, maxYoungGenerationSizeMb: young } = heapLimits(mb);
    assert.ok(old! + young! + rest <= mb, `${mb} MB: ${old} and ${young}`);
    assert.ok(old! > mb / 3, `${mb} MB: ${old}`);
  }
});

test('what keeps a controller from starting is told in one line; a running one has its heap', async () => {
  const dir = mkdtempSync(join(tmpdir(), 'shelf-'));
  const ports = [{ bind: await freePort(), peer: await freePort() }];
  const config = join(dir, 'settings.toml');
  writeFileSync(config, settingsText(0, ports));
  const script = join(dir, 'bad.lua');
  writeFileSync(script, 'eta = "x"');
  const run = (args: string[]) => {
    const p = spawn(process.execPath, [MAIN, ...args], { stdio: ['ignore', 'ignore', 'pipe'] });
    let err = '';
    p.stderr.on('data', (d: Buffer) => (err += d.toString()));
    const end = new Promise<number | null>((r) => p.on('close', r));
    return { p, end, err: () => err };
  };
  const says = async (args: string[], what: RegExp): Promise<void> => {
    const { end, err } = run(args);
    assert.equal(await end, 2, args.join(' '));
    assert.match(err(), what);
    const told = err()
      .trim()
      .split('\n')
      .filter((line) => !line.startsWith('{'));
    assert.equal(told.length, 1, err());
  };
  await says(['--config', join(dir, 'none.toml')], /cannot be read/);
  await says(['--config', config, '--operator-script', script], /script:1: eta/);
  await says(['--config', config, '--operator-script', script, '--check'], /script:1: eta/);
  const taken = createServer().listen(ports[0]!.bind, '127.0.0.1').unref();
  await until('taken', () => taken.listening);
  await says(['--config', config], /cannot listen/);
  await new Promise((r) => taken.close(r));

  const { p, end } = run(['--config', config]);
  let limit = 0;
  await until('figures', async () => {
    const r = await fetch(`http://127.0.0.1:${ports[0]!.bind}/metrics`).catch(() => null);
    limit = ((await r?.json()) as { heap_limit_mb?: number } | undefined)?.heap_limit_mb ?? 0;
    return limit > 0;
  });
  // The settings grant 200 MB; a heap of its own size would be as large as the machine's memory allows.
  const { maxOldGenerationSizeMb: old, maxYoungGenerationSizeMb: young } = heapLimits(200);
  assert.ok(limit >= old! && limit <= (old! + young!) * 1.1, `${limit} MB`);
  p.kill();
  await end;
});
