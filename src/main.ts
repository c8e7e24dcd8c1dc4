#!/usr/bin/env node
import { loadSettings, SettingsError, type Settings } from './config/settings.js';
import type { Features } from './features/features-file.js';

/** The program's version, as `--version` prints it. */
export const VERSION = '0.1.0';

interface Args {
  config?: string;
  features?: string;
  operatorScript?: string;
  check?: boolean;
  status?: string;
  profile?: string;
}

/** `--config FILE`, with or without `--features FILE` before it; null: any other call. */
function parseCommonArgs(argv: string[]): Args | null {
  const names = argv.filter((_, i) => i % 2 === 0).join(' ');
  const values = argv.filter((_, i) => i % 2 === 1);
  if (argv.length % 2 !== 0 || values.some((value) => value.startsWith('-'))) return null;
  if (names === '--config') return { config: values[0]! };
  if (names === '--features --config') return { features: values[0]!, config: values[1]! };
  return null;
}

/** Parses the most common arguments without loading the command-line library. */
async function readArgs(argv: string[]): Promise<Args> {
  const common = parseCommonArgs(argv);
  if (common !== null) return common;
  const { Command } = await import('commander');
  const program = new Command('pewtershelf')
    .description('A scheduler for fleets that serve language models')
    .version(VERSION)
    .option('--config <file>', "the platform's settings (TOML)")
    .option('--features <file>', 'which subsystems are switched on (TOML)')
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

function exitWithError(message: string): never {
  process.stderr.write(`pewtershelf: ${message}\n`);
  process.exit(2);
}

/** Null: no features file was given. */
async function readFeatures(
  file: string | undefined,
  settings: Settings,
): Promise<Features | null> {
  if (file === undefined) return null;
  const { FeaturesError, loadFeatures } = await import('./features/features-file.js');
  try {
    return loadFeatures(file, settings, Date.now());
  } catch (error) {
    if (error instanceof FeaturesError) exitWithError(`features ${file}: ${error.message}`);
    throw error;
  }
}

/** Prints a command's output, or its error in one line. */
async function printCommandOutput(command: string, run: () => Promise<string>): Promise<void> {
  const { CommandError } = await import('./subsystems/view-command.js');
  try {
    process.stdout.write(await run());
  } catch (error) {
    if (error instanceof CommandError) exitWithError(`${command}: ${error.message}`);
    throw error;
  }
}

/** `loans --at HOST:PORT [--job ID] [--json]` */
async function runLoans(argv: string[]): Promise<void> {
  const { Command } = await import('commander');
  const { loansCommand } = await import('./lending/command.js');
  const program = new Command('pewtershelf loans')
    .description('What a running controller says of loans')
    .requiredOption('--at <addr>', "a controller's address for users, HOST:PORT")
    .option('--job <id>', 'only loans in which this job lends or borrows')
    .option('--json', 'as JSON', false)
    .allowExcessArguments(false);
  program.parse(argv, { from: 'user' });
  await printCommandOutput('loans', () => loansCommand(program.opts()));
}

/** `warm-pools status|bill --at HOST:PORT [--json]` */
async function runWarmPools(argv: string[]): Promise<void> {
  const { Command, Argument } = await import('commander');
  const { warmPoolsCommand } = await import('./warm-pools/command.js');
  const program = new Command('pewtershelf warm-pools')
    .description('What a running controller says of warm pools')
    .addArgument(new Argument('<what>', 'what to print').choices(['status', 'bill']))
    .requiredOption('--at <addr>', "a controller's address for users, HOST:PORT")
    .option('--json', 'as JSON', false);
  program.parse(argv, { from: 'user' });
  const what = program.args[0] as 'status' | 'bill';
  await printCommandOutput('warm-pools', () => warmPoolsCommand(what, program.opts()));
}

async function main(): Promise<void> {
  const [, , command, ...rest] = process.argv;
  if (command === 'warm-pools') return runWarmPools(rest);
  if (command === 'loans') return runLoans(rest);
  const args = await readArgs(process.argv.slice(2));
  if (args.status !== undefined) {
    const { showStatus } = await import('./controller/status.js');
    const failed = await showStatus(args.status);
    if (failed !== null) exitWithError(`status of ${args.status}: ${failed}`);
    return;
  }
  let settings;
  try {
    settings = loadSettings(args.config!);
  } catch (error) {
    if (error instanceof SettingsError) exitWithError(`settings ${args.config}: ${error.message}`);
    throw error;
  }
  const { operatorScript } = args;
  const features = await readFeatures(args.features, settings);
  if (args.check === true) {
    const { readPolicy } = await import('./operator/load.js');
    const { problem } = await readPolicy(operatorScript);
    if (problem !== null) exitWithError(problem);
    const what = features === null ? 'settings are valid' : 'settings and features are valid';
    process.stdout.write(`${what}\n`);
    return;
  }
  if (args.profile !== undefined) {
    const match = /^(\d+)\+(\d+)$/.exec(args.profile);
    if (match === null) exitWithError(`profile ${args.profile}: must be WAIT+SECONDS`);
    const { profileFor } = await import('./controller/profile.js');
    void profileFor(Number(match[1]), Number(match[2]), (text) => process.stderr.write(text));
  }
  const { runController } = await import('./controller/run.js');
  await runController(settings, operatorScript, features, exitWithError);
}

void main();
