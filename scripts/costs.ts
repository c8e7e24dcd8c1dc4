import { Command } from 'commander';
import { wait } from '../test/helpers.js';
import { Fleet, memoryMb, paced, processorSeconds } from './fleet-load.js';
import { positive } from './options.js';
import { summary } from './summary.js';

/**
 * What controllers, as built, cost under a fleet's load on loopback, for one build or for two by turns:
 *
 *     npm run costs -- --machines 170
 *     npm run costs -- --machines 170 --pairs 10 --baseline DIR
 *
 * A measurement starts three controllers, settles, and then loads them in phases:
 *
 * 1. `forwarded`: all machines report to one follower, once a second each; the other follower idles.
 * 2. `direct`: the same heartbeats go to the leader.
 * 3. `slow`: the leader gets a quarter of them.
 * 4. `users`: as 3, and jobs of three short tasks are submitted to one follower.
 *
 * What it can and what it cannot separate:
 *
 * - A follower's cost of passing on is its processor time less that of the idle follower in the same phase:
 *   renewals, reading the store, timers and garbage of these are out of it; garbage collected later is not in it.
 * - The leader's cost of a direct heartbeat is the slope between phases 2 and 3. Passes that heartbeats ask for are in it.
 *   `leader, all that it does` is its time divided by its heartbeats: passes, renewals, store and timers too.
 * - The leader's cost of a heartbeat that was forwarded is its time in phase 1 less what it spends in phase 3
 *   without reports. It takes for granted that phases 1 and 3 differ in reports alone.
 * - A submission is what the accepting follower spends beyond the idle one, and the leader beyond phase 3. Placing,
 *   starting and storing its tasks are in it, as far as they fall into the phase; how long the user waits is not.
 * - A scheduling cycle is a median of elapsed time, as `/metrics` has it, since the start: on a busy machine others' time is in it.
 * - Linux accounts processor time in steps of 0.01 s. With few machines a phase holds some tens of these, so
 *   single figures are coarse and a slope may even be below zero; take medians of many pairs.
 * - The stand-ins and the machines run in this process, with the controllers' processors shared by all.
 */

const ZONES = ['z1', 'z1', 'z1'];
/** Nobody keeps this zone, so that no machine is sent to its zone's controller. */
const MACHINE_ZONE = 'z2';
const SETTLE_S = 3;
const FORWARDED_S = 3;
const DIRECT_S = 3;
const SLOW_S = 2;
const USERS_S = 2;
/** Heartbeats in the slow phase, of those in the others. */
const SLOW_SHARE = 0.25;
const SUBMISSIONS_PER_S = 20;
/** A measurement in which leadership changed, or heartbeats went unanswered, is repeated so often. */
const ATTEMPTS = 3;
/** Heartbeats that may go without an answer by the end of a phase: those under way, at least some. */
const UNANSWERED_SHARE = 0.02;
const MIN_IN_FLIGHT = 5;

/** The costs of one build, of one measurement. */
interface Costs {
  /** Processor seconds for a thousand reports. */
  direct: number;
  leaderAll: number;
  forwarding: number;
  forwardedAnswer: number;
  /** Processor milliseconds. */
  submission: number;
  /** Milliseconds of elapsed time, median. */
  cycle: number;
  /** Processor seconds until it is ready, mean of three controllers. */
  start: number;
  /** Most resident memory, MB. */
  leaderMb: number;
  followerMb: number;
}

const TITLES: [keyof Costs, string][] = [
  ['direct', 'leader, 1000 reports answered directly, s'],
  ['leaderAll', 'leader, all that it does, for 1000 of these, s'],
  ['forwarding', 'follower, 1000 reports passed on, s'],
  ['forwardedAnswer', 'leader, 1000 reports passed on to it, s'],
  ['submission', 'a submission, ms'],
  ['cycle', 'a pass, elapsed, median, ms'],
  ['start', 'a start, s'],
  ['leaderMb', 'leader, peak memory, MB'],
  ['followerMb', 'follower, peak memory, MB'],
];

/** What a phase cost and did, for a second of it. */
interface Phase {
  /** Processor seconds a second, by the controllers' index. */
  cpu: number[];
  /** Answered reports a second. */
  reports: number;
  submissions: number;
}

class UnusableMeasurementError extends Error {}

/** One measurement of one build. */
class Measurement {
  private constructor(
    private readonly fleet: Fleet,
    private readonly leader: number,
  ) {}

  /** Throws `Unusable` when leadership changed or heartbeats went unanswered. */
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
      throw new UnusableMeasurementError('another controller leads');
    const beyondIdle = (phase: Phase): number => phase.cpu[follower]! - phase.cpu[idle]!;
    const slope = (direct.cpu[leader]! - slow.cpu[leader]!) / (direct.reports - slow.reports);
    const leaderBase = slow.cpu[leader]! - slope * slow.reports;
    const forUsers = beyondIdle(users) + users.cpu[leader]! - slow.cpu[leader]!;
    const peakMb = (index: number): number =>
      memoryMb(fleet.controllers[index]!.process.pid!, 'VmHWM');
    return {
      direct: slope * 1000,
      leaderAll: (direct.cpu[leader]! / direct.reports) * 1000,
      forwarding: (beyondIdle(forwarded) / forwarded.reports) * 1000,
      forwardedAnswer: ((forwarded.cpu[leader]! - leaderBase) / forwarded.reports) * 1000,
      submission: (forUsers / users.submissions) * 1000,
      cycle: Number((await fleet.metrics(leader)).pass_us_p50) / 1000,
      start: fleet.controllers.reduce((sum, c) => sum + c.startS, 0) / ZONES.length,
      leaderMb: peakMb(leader),
      followerMb: peakMb(follower),
    };
  }

  private processorSeconds(): number[] {
    return this.fleet.controllers.map((c) => processorSeconds(c.process.pid!));
  }

  /** All machines report to one controller; `submitTo`: jobs are submitted there. */
  private async phase(
    seconds: number,
    reportTo: number,
    reportsPerS: number,
    submitTo?: number,
  ): Promise<Phase> {
    const { fleet } = this;
    for (const machine of fleet.machines) machine.controllerIndex = reportTo;
    let sent = 0;
    let answered = 0;
    const refused: number[] = [];
    let submissions = 0;
    const before = this.processorSeconds();
    const began = performance.now();
    const stops = [
      fleet.startHeartbeats(
        reportsPerS,
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
    const elapsed = (performance.now() - began) / 1000;
    const cpu = this.processorSeconds().map((after, i) => (after - before[i]!) / elapsed);
    if (sent - answered > Math.max(MIN_IN_FLIGHT, sent * UNANSWERED_SHARE)) {
      const statuses = [...new Set(refused)].join(', ');
      throw new UnusableMeasurementError(
        `${sent - answered} of ${sent} reports unanswered, ${statuses}`,
      );
    }
    return { cpu, reports: answered / elapsed, submissions: submissions / elapsed };
  }
}

/** The index of the controller that leads. */
async function leaderOf(fleet: Fleet): Promise<number> {
  const figures = await Promise.all(fleet.controllers.map((_, i) => fleet.metrics(i)));
  const leaders = figures.flatMap((f, i) => (f.role === 'leading' ? [i] : []));
  if (leaders.length !== 1)
    throw new UnusableMeasurementError(`${leaders.length} controllers lead`);
  return leaders[0]!;
}

async function measure(checkout: string, machines: number): Promise<Costs> {
  for (let attempt = 1; ; attempt++) {
    try {
      return await Measurement.run(checkout, machines);
    } catch (error) {
      if (!(error instanceof UnusableMeasurementError) || attempt === ATTEMPTS) throw error;
      process.stdout.write(`discarded, repeated: ${error.message}\n`);
    }
  }
}

/** Significant digits of what is printed. */
const DIGITS = 3;
const TITLE_WIDTH = 48;
const FIGURE_WIDTH = 10;

function row(title: string, figures: (number | string)[]): string {
  const texts = figures.map((f) => (typeof f === 'string' ? f : f.toPrecision(DIGITS)));
  return `${title.padEnd(TITLE_WIDTH)}${texts.map((t) => t.padStart(FIGURE_WIDTH)).join('')}\n`;
}

/** Each measurement by itself, in the order of the table's titles. */
function printMeasurement(name: string, costs: Costs): void {
  const figures = TITLES.map(([key]) => costs[key].toPrecision(DIGITS));
  process.stdout.write(`${name}: ${figures.join('  ')}\n`);
}

/** Of one build: least, median and greatest of its measurements. */
function printSummary(runs: Costs[]): void {
  process.stdout.write(row('', ['least', 'median', 'greatest']));
  for (const [key, title] of TITLES) {
    const { least, median, greatest } = summary(runs.map((c) => c[key]));
    process.stdout.write(row(title, [least, median, greatest]));
  }
}

/** Of two builds: their medians, and the ratios within pairs. */
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
  // Whichever goes first may find the machine in another state: each does so in every other pair.
  const order = [measureThisBuild, measureBaseline];
  if (pair % 2 === 1) order.reverse();
  for (const one of order) await one();
}
process.stdout.write('\n');
if (baseline === undefined) printSummary(runs);
else printComparison(runs, baselines);
