/**
 * Runs the bundled program for a moment, so that V8 compiles what a start needs, and stores that code.
 * The controller it starts is alone on loopback: nobody answers at its endpoints.
 */
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { createRequire } from 'node:module';
import { tmpdir } from 'node:os';
import { dirname, join, resolve } from 'node:path';
import process from 'node:process';
import { setTimeout } from 'node:timers/promises';
import v8 from 'node:v8';
import { Script } from 'node:vm';

/** How long the program runs, in milliseconds. */
const RUN_MS = 500;
/** An address at which nothing listens. */
const NOBODY = '127.0.0.1:1';

const program = resolve('target/program.cjs');
const dir = mkdtempSync(join(tmpdir(), 'pewtershelf-build-'));
const config = join(dir, 'settings.toml');
const settings = readFileSync('deploy/example.toml', 'utf8')
  .replace(/^(bind|peer_bind) = .*$/gm, '$1 = "127.0.0.1:0"')
  .replace(/^(cloud|state) = .*$/gm, `$1 = "${NOBODY}"`);
writeFileSync(config, settings);

// V8 takes a cache only under the flags under which it was made: those before the program sets its own.
v8.setFlagsFromString = () => undefined;
process.env.LOG_LEVEL = 'silent';
process.argv = [process.execPath, program, '--config', config];
const script = new Script(readFileSync(program, 'latin1'), { filename: program });
script.runInThisContext()(createRequire(program), program, dirname(program));
await setTimeout(RUN_MS);
writeFileSync('target/program.cache', script.createCachedData());
rmSync(dir, { recursive: true });
process.exit(0);
