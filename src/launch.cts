/**
 * Starts the program from the bundle that the build makes, with V8's code cache from build time. Loading
 * and compiling the modules one by one took most of the processor time of a start (docs/profile.md).
 */
import { readFileSync } from 'node:fs';
import { join } from 'node:path';
import { Script } from 'node:vm';

/** The bundle: one function expression, ASCII only (scripts/bundle.mjs). */
const PROGRAM = join(__dirname, 'program.cjs');
/** V8's code cache for it (scripts/code-cache.mjs). */
const CODE_CACHE = join(__dirname, 'program.cache');

type Program = (require: NodeJS.Require, filename: string, dirname: string) => void;

function readCodeCache(): Buffer | undefined {
  try {
    return readFileSync(CODE_CACHE);
  } catch {
    return undefined;
  }
}

const script = new Script(readFileSync(PROGRAM, 'latin1'), {
  filename: PROGRAM,
  cachedData: readCodeCache(),
});
if (script.cachedDataRejected !== false) {
  process.stderr.write('pewtershelf: no code cache for this Node and these flags: slower start\n');
}
(script.runInThisContext() as Program)(require, PROGRAM, __dirname);
