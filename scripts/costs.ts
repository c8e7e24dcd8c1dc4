import { Command } from 'commander';
import { wait } from '../test/helpers.js';
import { Fleet, memoryMb, paced, processorSeconds } from './fleet-load.js';
import { positive } from './options.js';
import { summary } from './summary.js';

/**
 * Measures the costs of controllers under the load of a fleet on loopback, for one build or alternately for two:
 *
 *     npm run costs -- --machines 170
 *     npm run costs -- --machines 170 --pairs 10 --baseline DIR
 *
 * A measurement starts three controllers, lets them settle, and then loads them in phases:
 *
 * 1. `forwarded`: all machines send heartbeats to one follower, once a second each; the other follower is idle.
 * 2. `direct`: the same heartbeats go to the leader.
 * 3. `slow`: a quarter of them goes to the leader.
 * 4. `users`: as 3, and jobs of three short tasks are submitted to one follower.
 *
 * What the figures include:
 *
 * - A follower's cost of forwarding is its processor time minus that of the idle follower in the same phase. This
 *   excludes renewals, reads of the store, timers and their garbage, and also garbage that is collected later.
 * - The leader's cost of a direct heartbeat is the slope between phases 2 and 3. It includes scheduling cycles that
 *   heartbeats request. `leader, all its work` is its processor time divided by its heartbeats, which also includes
 *   all other cycles, renewals, store and timers.
 * - The leader's cost of a forwarded heartbeat is its time in phase 1 minus its time in phase 3 without heartbeats.
 *   This assumes that phases 1 and 3 differ in heartbeats only.
 * - The cost of a submission is the time of the accepting follower beyond that of the idle one, plus the time of the
 *   leader beyond that in phase 3. It includes placing, starting and storing the tasks as far as this happens in
 *   the phase. It excludes the time for which the user waits.
 * - A scheduling cycle is the median of the elapsed time since the start, as `/metrics` reports it. On a busy machine
 *   it includes time of other processes.
 * - Linux accounts processor time in steps of 0.01 s. With few machines a phase has some tens of these, so single
 *   figures are coarse and a slope can be below zero; use medians of many pairs.
 * - The stand-ins and the machines run in this process, and all processes share the same processors.
 */

const ZONES = ['z1', 'z1', 'z1'];
/** No controller is in this zone, so machines are not redirected to the controller of their zone. */
const MACHINE_ZONE = 'z2';
const SETTLE_S = 3;
const FORWARDED_S = 3;
const DIRECT_S = 3;
const SLOW_S = 2;
const USERS_S = 2;
/** Share of the heartbeats that are sent in the slow phase. */
const SLOW_SHARE = 0.25;
const SUBMISSIONS_PER_S = 20;
/** Attempts per measurement; one in which the leader changed or heartbeats were not answered is repeated. */
const ATTEMPTS = 3;
/** Share of the heartbeats that may be unanswered, since in flight, at the end of a phase. */
const UNANSWERED_SHARE = 0.02;
/** Number of heartbeats that may be unanswered however few were sent. */
const MIN_IN_FLIGHT = 5;

/** The costs of one build in one measurement. */
interface Costs {
  /** Processor seconds for a thousand heartbeats. */
  direct: number;
  leaderAll: number;
  forwarding: number;
  forwardedAnswer: number;
  /** Processor milliseconds for a submission. */
  submission: number;
  /** Median of the elapsed time of a scheduling cycle, in milliseconds. */
  cycle: number;
  /** Processor seconds until a controller is ready, mean of the controllers. */
  start: number;
  /** Peak resident memory, in MB. */
  leaderMb: number;
  followerMb: number;
}

const TITLES: [keyof Costs, string][] = [
  ['direct', 'leader, 1000 heartbeats answered directly, s'],
  ['leaderAll', 'leader, all its work, for 1000 of these, s'],
  ['forwarding', 'follower, 1000 heartbeats forwarded, s'],
  ['forwardedAnswer', 'leader, 1000 forwarded heartbeats answered, s'],
  ['submission', 'a submission, ms'],
  ['cycle', 'a scheduling cycle, elapsed, median, ms'],
  ['start', 'a start, s'],
  ['leaderMb', 'leader, peak memory, MB'],
  ['followerMb', 'follower, peak memory, MB'],
];

/** Costs and work of a phase, per second. */
interface Phase {
  /** Processor seconds per second, by controller index. */
  cpu: number[];
  /** Answered heartbeats per second. */
  heartbeats: number;
  submissions: number;
}

class UnusableMeasurementError extends Error {}

/** A measurement of one build. */
class Measurement {
  private constructor(
    private readonly fleet: Fleet,
    private readonly leader: number,
  ) {}

  /** Throws `UnusableMeasurementError` when the leader changed or too many heartbeats were not answered. */
  static async run(checkout: string, machines: number): Promise<Costs> {
    const fleet = new Fleet({ machines, checkout, zones: ZONES, machineZone: MACHINE_ZONE });
    try {
      await fleet.start();
      const stop = fleet.startHeartbeats(machines);
      await wait(SETTLE_S * 1000);
      stop();
      return await new Measurement(fleet, await leaderOf(fleet)).costs();
    } finally {
      await fleet.close();
    }
  }

  private async costs(): Promise<Costs> {
    const { fleet, leader } = this;
    const follower = (leader + 1) % ZONES.length;
    const idle = (leader + 2) % ZONES.length;
    const full = fleet.machines.length;
    const forwarded = await this.phase(FORWARDED_S, follower, full);
    const direct = await this.phase(DIRECT_S, leader, full);
    const slow = await this.phase(SLOW_S, leader, full * SLOW_SHARE);
    const users = await this.phase(USERS_S, leader, full * SLOW_SHARE, follower);
    if ((await leaderOf(fleet)) !== leader)
      throw new UnusableMeasurementError('the leader changed during the measurement');
    const beyondIdle = (phase: Phase): number => phase.cpu[follower]! - phase.cpu[idle]!;
    const slope = (direct.cpu[leader]! - slow.cpu[leader]!) / (direct.heartbeats - slow.heartbeats);
    const leaderBase = slow.cpu[leader]! - slope * slow.heartbeats;
    const forUsers = beyondIdle(users) + users.cpu[leader]! - slow.cpu[leader]!;
    const peakMemoryMb = (index: number): number =>
      memoryMb(fleet.controllers[index]!.process.pid!, 'VmHWM');
    return {
      direct: slope * 1000,
      leaderAll: (direct.cpu[leader]! / direct.heartbeats) * 1000,
      forwarding: (beyondIdle(forwarded) / forwarded.heartbeats) * 1000,
      forwardedAnswer: ((forwarded.cpu[leader]! - leaderBase) / forwarded.heartbeats) * 1000,
      submission: (forUsers / users.submissions) * 1000,
      cycle: Number((await fleet.metrics(leader)).pass_us_p50) / 1000,
      start: fleet.controllers.reduce((sum, c) => sum + c.startS, 0) / ZONES.length,
      leaderMb: peakMemoryMb(leader),
      followerMb: peakMemoryMb(follower),
    };
  }

  private processorSeconds(): number[] {
    return this.fleet.controllers.map((c) => processorSeconds(c.process.pid!));
  }

  /** Runs a phase: all machines send heartbeats to one controller; `submitTo`: jobs are submitted there. */
  private async phase(
    seconds: number,
    heartbeatTo: number,
    heartbeatsPerS: number,
    submitTo?: number,
  ): Promise<Phase> {
    const { fleet } = this;
    for (const machine of fleet.machines) machine.controllerIndex = heartbeatTo;
    let sent = 0;
    let answered = 0;
    const refused: number[] = [];
    let submissions = 0;
    const before = this.processorSeconds();
    const startedAt = performance.now();
    const stops = [
      fleet.startHeartbeats(
        heartbeatsPerS,
        () => sent++,
        (status) => {
          if (status === 200) answered++;
          else refused.push(status);
        },
      ),
    ];
    if (submitTo !== undefined) {
      const submit = async (): Promise<void> => {
        if (await fleet.submit(submitTo)) submissions++;
      };
      stops.push(paced(SUBMISSIONS_PER_S, submit));
    }
    await wait(seconds * 1000);
    for (const stop of stops) stop();
    const elapsed = (performance.now() - startedAt) / 1000;
    const cpu = this.processorSeconds().map((after, i) => (after - before[i]!) / elapsed);
    if (sent - answered > Math.max(MIN_IN_FLIGHT, sent * UNANSWERED_SHARE)) {
      const statuses = [...new Set(refused)].join(', ');
      throw new UnusableMeasurementError(
        `${sent - answered} of ${sent} heartbeats unanswered, other statuses: ${statuses}`,
      );
    }
    return { cpu, heartbeats: answered / elapsed, submissions: submissions / elapsed };
  }
}

/** Index of the leader. */
async function leaderOf(fleet: Fleet): Promise<number> {
  const figures = await Promise.all(fleet.controllers.map((_, i) => fleet.metrics(i)));
  const leaders = figures.flatMap((f, i) => (f.role === 'leading' ? [i] : []));
  if (leaders.length !== 1)
    throw new UnusableMeasurementError(`${leaders.length} controllers lead, expected 1`);
  return leaders[0]!;
}

async function measure(checkout: string, machines: number): Promise<Costs> {
  for (let attempt = 1; ; attempt++) {
    try {
      return await Measurement.run(checkout, machines);
    } catch (error) {
      if (!(error instanceof UnusableMeasurementError) || attempt === ATTEMPTS) throw error;
      process.stdout.write(`measurement discarded and repeated: ${error.message}\n`);
    }
  }
}

/** Significant digits of printed figures. */
const DIGITS = 3;
const TITLE_WIDTH = 48;
const FIGURE_WIDTH = 10;

function row(title: string, figures: (number | string)[]): string {
  const texts = figures.map((f) => (typeof f === 'string' ? f : f.toPrecision(DIGITS)));
  return `${title.padEnd(TITLE_WIDTH)}${texts.map((t) => t.padStart(FIGURE_WIDTH)).join('')}\n`;
}

/** Prints one measurement, in the order of the table's titles. */
function printMeasurement(name: string, costs: Costs): void {
  const figures = TITLES.map(([key]) => costs[key].toPrecision(DIGITS));
  process.stdout.write(`${name}: ${figures.join('  ')}\n`);
}

/** Prints least, median and greatest of the measurements of one build. */
function printSummary(runs: Costs[]): void {
  process.stdout.write(row('', ['least', 'median', 'greatest']));
  for (const [key, title] of TITLES) {
    const { least, median, greatest } = summary(runs.map((c) => c[key]));
    process.stdout.write(row(title, [least, median, greatest]));
  }
}

/** Prints the medians of two builds, and the ratios within pairs. */
function printComparison(runs: Costs[], baselines: Costs[]): void {
  process.stdout.write(row('', ['baseline', 'this', 'ratio', 'least', 'greatest']));
  for (const [key, title] of TITLES) {
    const ours = runs.map((c) => c[key]);
    const theirs = baselines.map((c) => c[key]);
    const { median, least, greatest } = summary(ours.map((cost, i) => cost / theirs[i]!));
    const medians = [summary(theirs).median, summary(ours).median];
    process.stdout.write(row(title, [...medians, median, least, greatest]));
  }
}

const program = new Command('costs')
  .option('--machines <n>', 'machines of the fleet', positive, 170)
  .option('--pairs <n>', 'measurements of each build', positive, 1)
  .option('--baseline <dir>', 'another checkout, built, to compare with')
  .parse();
const { machines, pairs, baseline } = program.opts<{
  machines: number;
  pairs: number;
  baseline?: string;
}>();
const runs: Costs[] = [];
const baselines: Costs[] = [];
const measureThisBuild = async (): Promise<void> => {
  runs.push(await measure('.', machines));
  printMeasurement('this    ', runs.at(-1)!);
};
const measureBaseline = async (): Promise<void> => {
  if (baseline === undefined) return;
  baselines.push(await measure(baseline, machines));
  printMeasurement('baseline', baselines.at(-1)!);
};
process.stdout.write(`${machines} machines; ${TITLES.map(([, title]) => title).join('; ')}\n`);
for (let pair = 0; pair < pairs; pair++) {
  // The first of a pair may run under other conditions than the second, so the order alternates.
  const order = [measureThisBuild, measureBaseline];
  if (pair % 2 === 1) order.reverse();
  for (const one of order) await one();
}
process.stdout.write('\n');
if (baseline === undefined) printSummary(runs);
else printComparison(runs, baselines);
