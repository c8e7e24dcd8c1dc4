#!/usr/bin/env node
import { loadSettings, SettingsError } from './config/settings.js';

export const VERSION = '0.1.0';

interface Args {
  config?: string;
  operatorScript?: string;
  check?: boolean;
  status?: string;
  profile?: string;
}

/** The usual call is understood without loading the library for the others. */
async function readArgs(argv: string[]): Promise<Args> {
  if (argv.length === 2 && argv[0] === '--config' && !argv[1]!.startsWith('-')) {
    return { config: argv[1] };
  }
  const { Command } = await import('commander');
  const program = new Command('pewtershelf')
    .description('A scheduler for fleets that serve language models')
    .version(VERSION)
    .option('--config <file>', "the platform's settings (TOML)")
    .option('--operator-script <file>', "operators' own settings (Lua)")
    .option('--check', 'check the settings and exit')
    .option('--status <addr>', 'print the figures of a running controller and exit')
    .option(
      '--profile <seconds>',
      'print where processor time went, after so long (standard error)',
    )
    .allowExcessArguments(false);
  program.parse(argv, { from: 'user' });
  const args = program.opts<Args>();
  if (args.config === undefined && args.status === undefined) {
    program.error("error: required option '--config <file>' not specified");
  }
  return args;
}

function give(message: string): never {
  process.stderr.write(`pewtershelf: ${message}\n`);
  process.exit(2);
}

async function main(): Promise<void> {
  const args = await readArgs(process.argv.slice(2));
  if (args.status !== undefined) {
    const { showStatus } = await import('./controller/status.js');
    const failed = await showStatus(args.status);
    if (failed !== null) give(`status of ${args.status}: ${failed}`);
    return;
  }
  let settings;
  try {
    settings = loadSettings(args.config!);
  } catch (e) {
    if (e instanceof SettingsError) give(`settings ${args.config}: ${e.message}`);
    throw e;
  }
  const { operatorScript } = args;
  if (args.check === true) {
    const { readPolicy } = await import('./operator/load.js');
    const { wrong } = await readPolicy(operatorScript);
    if (wrong !== null) give(wrong);
    process.stdout.write('settings are valid\n');
    return;
  }
  if (args.profile !== undefined) {
    const times = /^(\d+)\+(\d+)$/.exec(args.profile);
    if (times === null) give(`profile ${args.profile}: must be WAIT+SECONDS`);
    const { profileFor } = await import('./controller/profile.js');
    void profileFor(Number(times[1]), Number(times[2]), (text) => process.stderr.write(text));
  }
  const { runController } = await import('./controller/run.js');
  await runController(settings, operatorScript, give);
}

void main();
