import { readFileSync } from 'node:fs';
import { Session, type Profiler } from 'node:inspector';
import { fileURLToPath } from 'node:url';
import { sleep } from '../clock.js';

/**
 * Where processor time goes: a table by module and by function, from samples of V8's profiler. Loaded
 * only when it is asked for; sampling itself costs some percent.
 */

/** Microseconds between two samples. */
const INTERVAL_US = 500;
/** Functions that are listed, the costliest first. */
const FUNCTIONS = 40;
/** What the profiler calls time in which nothing was done. */
const IDLE = '(idle)';
/** Frames of the profiler that stand for no script. */
const PSEUDO: Record<string, string> = {
  '(garbage collector)': 'garbage collection',
  '(program)': 'native code and system calls',
  '(root)': 'native code and system calls',
};
/** The bundler writes each module's path in a comment before it. */
const MODULE_COMMENT = /^\s*\/\/ ((?:src|node_modules)\/\S+)$/;

/** Names the module of a place in a script: the bundle holds many. */
class Modules {
  /** Of each bundle: where its modules begin. */
  private readonly bundles = new Map<string, { line: number; module: string }[]>();

  /** The module that a line of a script is of. */
  of(url: string, line: number): string {
    if (url === '') return 'built-in functions';
    if (url.startsWith('node:')) return url;
    if (url.endsWith('program.cjs')) return this.inBundle(url, line);
    const path = /(?:node_modules|target)\/.*$/.exec(url)?.[0] ?? url;
    return packageOf(path.replace(/^target\/(check\/)?/, '').replace(/\.js$/, '.ts'));
  }

  private inBundle(url: string, line: number): string {
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

/** A library counts as a whole. */
const packageOf = (path: string): string =>
  /^node_modules\/(?:@[^/]+\/)?[^/]+/.exec(path)?.[0] ?? path;

type Costs = Map<string, number>;

const add = (costs: Costs, name: string, us: number): void => {
  costs.set(name, (costs.get(name) ?? 0) + us);
};

function table(title: string, costs: Costs, busyUs: number, rows = Infinity): string[] {
  const sorted = [...costs].sort((a, b) => b[1] - a[1]).slice(0, rows);
  const lines = sorted.map(([name, us]) => {
    const share = ((us / busyUs) * 100).toFixed(1);
    return `${(us / 1000).toFixed(0).padStart(8)} ms ${share.padStart(5)}%  ${name}`;
  });
  return ['', title, ...lines];
}

/** The tables, as lines of text. */
function summarize(profile: Profiler.Profile): string[] {
  const modules = new Modules();
  const nodes = new Map(profile.nodes.map((node) => [node.id, node.callFrame]));
  const byModule: Costs = new Map();
  const byFunction: Costs = new Map();
  let idleUs = 0;
  let busyUs = 0;
  (profile.samples ?? []).forEach((id, i) => {
    const us = profile.timeDeltas?.[i] ?? 0;
    const { functionName, url, lineNumber } = nodes.get(id)!;
    if (functionName === IDLE) {
      idleUs += us;
      return;
    }
    busyUs += us;
    const module = PSEUDO[functionName] ?? modules.of(url, lineNumber);
    add(byModule, module, us);
    add(byFunction, `${functionName || '(anonymous)'}  ${module}:${lineNumber + 1}`, us);
  });
  const busy = (busyUs / 1e6).toFixed(2);
  const whole = ((busyUs + idleUs) / 1e6).toFixed(1);
  return [
    `busy for ${busy} s of ${whole} s`,
    ...table('by module', byModule, busyUs),
    ...table('by function', byFunction, busyUs, FUNCTIONS),
  ];
}

/** Waits, samples this process for a time, and tells the tables. */
export async function profileFor(
  waitS: number,
  seconds: number,
  tell: (text: string) => void,
): Promise<void> {
  await sleep(waitS);
  const session = new Session();
  session.connect();
  session.post('Profiler.enable');
  session.post('Profiler.setSamplingInterval', { interval: INTERVAL_US });
  session.post('Profiler.start');
  await sleep(seconds);
  session.post('Profiler.stop', (error, { profile }) => {
    tell(error === null ? `${summarize(profile).join('\n')}\n` : `no profile: ${error.message}\n`);
    session.disconnect();
  });
}
