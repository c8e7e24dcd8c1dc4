import { readFileSync } from 'node:fs';
import { Session, type Profiler } from 'node:inspector';
import { fileURLToPath } from 'node:url';
import { sleep } from '../clock.js';

/**
 * Reports where processor time is spent, by module and by function, from samples of V8's profiler. Loaded
 * only on demand; sampling itself costs a few percent of processor time.
 */

const SAMPLING_INTERVAL_US = 500;
/** Number of functions that are listed, the most expensive first. */
const MAX_FUNCTIONS = 40;
/** The profiler's name for idle time. */
const IDLE_FRAME = '(idle)';
/** Profiler frames that do not belong to a script, with the names to print. */
const PSEUDO_FRAMES: Record<string, string> = {
  '(garbage collector)': 'garbage collection',
  '(program)': 'native code and system calls',
  '(root)': 'native code and system calls',
};
/** The bundler writes each module's path in a comment before it. */
const MODULE_COMMENT = /^\s*\/\/ ((?:src|node_modules)\/\S+)$/;

/** Finds the module of a script's line; a bundle contains many modules. */
class ModuleResolver {
  /** For each bundle, the lines at which its modules begin. */
  private readonly bundles = new Map<string, { line: number; module: string }[]>();

  /** Returns the module that contains a line of a script. */
  moduleAt(url: string, line: number): string {
    if (url === '') return 'built-in functions';
    if (url.startsWith('node:')) return url;
    if (url.endsWith('program.cjs')) return this.moduleInBundle(url, line);
    const path = /(?:node_modules|target)\/.*$/.exec(url)?.[0] ?? url;
    return packageOf(path.replace(/^target\/(check\/)?/, '').replace(/\.js$/, '.ts'));
  }

  private moduleInBundle(url: string, line: number): string {
    let starts = this.bundles.get(url);
    if (starts === undefined) {
      const file = url.startsWith('file:') ? fileURLToPath(url) : url;
      starts = readFileSync(file, 'utf8')
        .split('\n')
        .map((text, at) => ({ line: at, module: MODULE_COMMENT.exec(text)?.[1] ?? '' }))
        .filter(({ module }) => module !== '');
      this.bundles.set(url, starts);
    }
    const start = starts.findLast((start) => start.line <= line);
    return start === undefined ? 'bundle' : packageOf(start.module);
  }
}

/** Returns the package of a library's file, and the path itself of any other file. */
const packageOf = (path: string): string =>
  /^node_modules\/(?:@[^/]+\/)?[^/]+/.exec(path)?.[0] ?? path;

type CostsUs = Map<string, number>;

const add = (costs: CostsUs, name: string, us: number): void => {
  costs.set(name, (costs.get(name) ?? 0) + us);
};

function formatTable(title: string, costs: CostsUs, busyUs: number, maxRows = Infinity): string[] {
  const sorted = [...costs].sort((a, b) => b[1] - a[1]).slice(0, maxRows);
  const lines = sorted.map(([name, us]) => {
    const share = ((us / busyUs) * 100).toFixed(1);
    return `${(us / 1000).toFixed(0).padStart(8)} ms ${share.padStart(5)}%  ${name}`;
  });
  return ['', title, ...lines];
}

/** Returns the report as lines of text. */
function summarize(profile: Profiler.Profile): string[] {
  const modules = new ModuleResolver();
  const nodes = new Map(profile.nodes.map((node) => [node.id, node.callFrame]));
  const byModule: CostsUs = new Map();
  const byFunction: CostsUs = new Map();
  let idleUs = 0;
  let busyUs = 0;
  (profile.samples ?? []).forEach((id, i) => {
    const us = profile.timeDeltas?.[i] ?? 0;
    const { functionName, url, lineNumber } = nodes.get(id)!;
    if (functionName === IDLE_FRAME) {
      idleUs += us;
      return;
    }
    busyUs += us;
    const module = PSEUDO_FRAMES[functionName] ?? modules.moduleAt(url, lineNumber);
    add(byModule, module, us);
    add(byFunction, `${functionName || '(anonymous)'}  ${module}:${lineNumber + 1}`, us);
  });
  const busy = (busyUs / 1e6).toFixed(2);
  const total = ((busyUs + idleUs) / 1e6).toFixed(1);
  return [
    `busy for ${busy} s of ${total} s`,
    ...formatTable('by module', byModule, busyUs),
    ...formatTable('by function', byFunction, busyUs, MAX_FUNCTIONS),
  ];
}

/** Waits `waitS`, samples this process for `durationS` and writes the report. */
export async function profileFor(
  waitS: number,
  durationS: number,
  write: (text: string) => void,
): Promise<void> {
  await sleep(waitS);
  const session = new Session();
  session.connect();
  session.post('Profiler.enable');
  session.post('Profiler.setSamplingInterval', { interval: SAMPLING_INTERVAL_US });
  session.post('Profiler.start');
  await sleep(durationS);
  session.post('Profiler.stop', (error, { profile }) => {
    write(error === null ? `${summarize(profile).join('\n')}\n` : `no profile: ${error.message}\n`);
    session.disconnect();
  });
}
