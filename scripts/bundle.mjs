/**
 * Bundles the program into target/program.cjs and creates its V8 code cache, target/program.cache.
 * target/launch.cjs starts the program from these files.
 */
import { execFileSync } from 'node:child_process';
import process from 'node:process';
import { build } from 'esbuild-wasm';

await build({
  entryPoints: ['src/main.ts'],
  outfile: 'target/program.cjs',
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'iife',
  // Few runs need these modules; they are loaded from node_modules by the script's `require` on first use.
  external: ['commander', 'croner', 'fengari'],
  supported: { 'dynamic-import': false },
  // src/launch.cts evaluates the file to a function and calls it.
  banner: { js: '(function (require, __filename, __dirname) {' },
  footer: { js: '})' },
  logLevel: 'warning',
});
execFileSync(process.execPath, ['scripts/code-cache.mjs'], { stdio: 'inherit' });
