import { readFileSync } from 'node:fs';
import { Command } from 'commander';
import { parseLoadLine, timeline, type LoadEntry } from './load-lines.js';

/**
 * Prints a table of the load of controllers from the `load` lines (level `debug`) of their logs in a file.
 * Each second has a row, and each controller a group of columns:
 *
 *     npm run timeline -- [--from S] [--until S] [--node NAME...] FILE
 */

interface Options {
  from: number;
  until: number;
  node?: string[];
}

const program = new Command('timeline')
  .argument('<file>', "controllers' logs, each line with its time and controller before it")
  .option('--from <s>', 'the first second', Number, -Infinity)
  .option('--until <s>', 'the second to stop before', Number, Infinity)
  .option('--node <name...>', 'only these controllers')
  .parse();
const { from, until, node } = program.opts<Options>();
const wanted = (e: LoadEntry): boolean =>
  e.timeS >= from && e.timeS < until && (node === undefined || node.includes(e.node));
const entries = readFileSync(program.args[0]!, 'utf8')
  .split('\n')
  .map(parseLoadLine)
  .filter((e) => e !== null)
  .filter(wanted);
if (entries.length === 0) program.error('no load lines in that file: is its level `debug`?');
process.stdout.write(`${timeline(entries).join('\n')}\n`);
