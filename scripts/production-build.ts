import { execFileSync } from 'node:child_process';
import { existsSync, mkdirSync, readFileSync, rmSync, symlinkSync, writeFileSync } from 'node:fs';
import { join, resolve } from 'node:path';
import { parse } from 'smol-toml';

/** Folder of the builds of earlier versions, relative to the project. */
const BUILDS_DIRECTORY = 'target/production';
/** Marker file in the folder of a build that is complete. */
const COMPLETE_MARKER = 'complete';

/** The commit of the version in production, as the deploy file states it. */
export function productionCommit(): string {
  const deploy = parse(readFileSync('deploy/service.toml', 'utf8'));
  if (typeof deploy.production !== 'string') throw new Error('deploy/service.toml: no production');
  return deploy.production;
}

/** Builds the version in production; see `buildVersion`. */
export function buildProduction(): string {
  return buildVersion(productionCommit());
}

/**
 * Builds an earlier version from the repository's history with the installed libraries, unless a complete
 * build exists. Returns its folder, which has the program in `target/`.
 */
export function buildVersion(commit: string): string {
  const dir = resolve(BUILDS_DIRECTORY, commit);
  if (existsSync(join(dir, COMPLETE_MARKER))) return dir;
  rmSync(dir, { recursive: true, force: true });
  mkdirSync(dir, { recursive: true });
  const sources = ['package.json', 'tsconfig.json', 'src', 'scripts', 'deploy'];
  const archive = execFileSync('git', ['archive', commit, ...sources], { maxBuffer: 2 ** 28 });
  execFileSync('tar', ['-x', '-C', dir], { input: archive });
  symlinkSync(resolve('node_modules'), join(dir, 'node_modules'));
  execFileSync('npm', ['run', '--silent', 'build'], { cwd: dir, stdio: 'inherit' });
  writeFileSync(join(dir, COMPLETE_MARKER), '');
  return dir;
}
