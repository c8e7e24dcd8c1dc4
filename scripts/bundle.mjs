/**
 * Bundles the program into target/program.cjs and has V8 compile it ahead into target/program.cache.
 * target/launch.cjs starts it from there.
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
  // Wanted by hardly any run, and loaded from node_modules then; `require` does that in a script.
  external: ['commander', 'croner', 'fengari'],
  supported: { 'dynamic-import': false },
  // src/launch.cts calls the whole file as a function.
  banner: { js: '(function (require, __filename, __dirname) {' },
  footer: { js: '})' },
  logLevel: 'warning',
});
execFileSync(process.execPath, ['scripts/code-cache.mjs'], { stdio: 'inherit' });
