/**
 * Runs the bundled program briefly, so that V8 compiles the functions that a start needs, and stores the code
 * cache. The program starts a controller on loopback whose endpoints do not answer.
 */
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { createRequire } from 'node:module';
import { tmpdir } from 'node:os';
import { dirname, join, resolve } from 'node:path';
import process from 'node:process';
import { setTimeout } from 'node:timers/promises';
import v8 from 'node:v8';
import { Script } from 'node:vm';

/** Run time of the program. */
const RUN_MS = 500;
/** An address at which nothing listens. */
const UNUSED_ADDRESS = '127.0.0.1:1';

const program = resolve('target/program.cjs');
const dir = mkdtempSync(join(tmpdir(), 'pewtershelf-build-'));
const config = join(dir, 'settings.toml');
const settings = readFileSync('deploy/example.toml', 'utf8')
  .replace(/^(bind|peer_bind) = .*$/gm, '$1 = "127.0.0.1:0"')
  .replace(/^(cloud|state) = .*$/gm, `$1 = "${UNUSED_ADDRESS}"`);
writeFileSync(config, settings);

// V8 accepts a cache only under the flags with which it was created, which are those before the program sets its own.
v8.setFlagsFromString = () => undefined;
process.env.LOG_LEVEL = 'silent';
process.argv = [process.execPath, program, '--config', config];
const script = new Script(readFileSync(program, 'latin1'), { filename: program });
script.runInThisContext()(createRequire(program), program, dirname(program));
await setTimeout(RUN_MS);
writeFileSync('target/program.cache', script.createCachedData());
rmSync(dir, { recursive: true });
process.exit(0);
