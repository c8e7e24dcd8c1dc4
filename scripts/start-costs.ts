import { Command } from 'commander';
import { ControlPlaneWorld } from '../test/support/control-plane-world.js';
import { encodeHeartbeat } from '../test/support/encoded-heartbeat.js';
import { HeartbeatLoop } from '../test/support/heartbeat-loop.js';
import type { Worker } from '../test/support/simulated-fleet.js';
import { positive } from './options.js';

/**
 * Measures in simulated time what starting tasks costs beside processor time: heartbeats, bytes and commits a task, direct
 * messages that were refused, answers that workers dropped, and how long starts and forgets take.
 *
 *     node target/check/scripts/start-costs.js --machines 830 --seconds 120
 *
 * One-task jobs arrive at an even rate; one in four is cancelled while it runs. Workers report changes of their tasks and
 * tokens as the protocol specifies.
 */

const JOBS_PER_S = 4;
/** One job in this many is cancelled. */
const CANCELLED_ONE_IN = 4;
const RUN_S = 12;
const CANCEL_AFTER_S = 5;
const STEP_S = 0.25;
const SETTLE_S = 10;

interface Counts {
  heartbeats: number;
  heartbeatBytes: number;
  answerBytes: number;
  answersDropped: number;
  directMessages: number;
  directRefused: number;
  commits: number;
  /** Seconds for which ended tasks were still reported, of all tasks together. */
  endedReportedS: number;
}

/** A world that counts what passes between controllers and workers. */
class CountingWorld extends ControlPlaneWorld {
  readonly counts: Counts = {
    heartbeats: 0, heartbeatBytes: 0, answerBytes: 0, answersDropped: 0,
    directMessages: 0, directRefused: 0, commits: 0, endedReportedS: 0,
  }; // prettier-ignore

  override async exchangeHeartbeat(
    worker: Worker,
    node: string,
    heartbeat = worker.heartbeat(),
  ): ReturnType<ControlPlaneWorld['exchangeHeartbeat']> {
    const { counts } = this;
    counts.heartbeats++;
    counts.heartbeatBytes += encodeHeartbeat(heartbeat).length;
    const before = worker.answeredAt;
    const reply = await super.exchangeHeartbeat(worker, node, heartbeat);
    counts.answerBytes += String(reply?.body ?? '').length;
    if (reply?.status === 200 && worker.answeredAt === before && this.now > before)
      counts.answersDropped++;
    return reply;
  }

  override takeDirect(
    ...args: Parameters<ControlPlaneWorld['takeDirect']>
  ): ReturnType<ControlPlaneWorld['takeDirect']> {
    this.counts.directMessages++;
    const answer = super.takeDirect(...args);
    if (answer === null) this.counts.directRefused++;
    return answer;
  }
}

/** Submits, ends and cancels the jobs of one run. */
class Load {
  private submitted = 0;
  private readonly submittedAt = new Map<string, number>();
  private readonly startedAt = new Map<string, number>();
  private readonly cancelled = new Set<string>();
  readonly delaysS: number[] = [];

  constructor(private readonly world: CountingWorld) {}

  /** Called once a step. `until`: no job arrives after it. */
  step(until: number): void {
    const { world } = this;
    for (; world.now <= until && this.submitted < (world.now - SETTLE_S) * JOBS_PER_S;) {
      const id = `wk-${String(this.submitted++).padStart(6, '0')}`;
      this.submittedAt.set(id, world.now);
      world.submitJob({ id, cores: 1 });
    }
    for (const worker of world.fleet.workers.values()) this.advanceTasks(worker);
  }

  private advanceTasks(worker: Worker): void {
    for (const task of worker.tasks.values()) {
      if (task.state === 'ended') {
        this.world.counts.endedReportedS += STEP_S;
        continue;
      }
      const startedAt = this.startedAt.get(task.job) ?? this.started(task.job);
      const ranS = this.world.now - startedAt;
      if (ranS >= RUN_S) worker.end(task, 'done');
      const isToCancel = Number(task.job.slice(3)) % CANCELLED_ONE_IN === 0;
      if (!isToCancel || ranS < CANCEL_AFTER_S || this.cancelled.has(task.job)) continue;
      this.cancelled.add(task.job);
      this.world.cancel(task.job);
    }
  }

  private started(job: string): number {
    const { now } = this.world;
    this.startedAt.set(job, now);
    this.delaysS.push(now - this.submittedAt.get(job)!);
    return now;
  }
}

async function measure(machines: number, seconds: number): Promise<void> {
  const world = new CountingWorld({ reportS: 2.5, leaseS: 15.25, cancelS: 40.25 });
  const options = { reportsNewToken: true, reportsTaskChanges: true };
  await world.runUntil(1);
  for (let i = 0; i < machines; i++) {
    const worker = world.fleet.add(`host-${String(i).padStart(6, '0')}`);
    world.heartbeatLoops.push(new HeartbeatLoop(world, worker, options, i % 3));
  }
  await world.runUntil(SETTLE_S);
  Object.assign(world.counts, Object.fromEntries(Object.keys(world.counts).map((key) => [key, 0])));
  const commitsBefore = world.store.commits;
  const load = new Load(world);
  const until = SETTLE_S + seconds;
  while (world.now < until + RUN_S * 2) {
    await world.runUntil(world.now + STEP_S);
    load.step(until);
  }
  world.counts.commits = world.store.commits - commitsBefore;
  print(world, load, { machines, measuredS: world.now - SETTLE_S });
}

function print(
  { counts, fleet, directNetwork }: CountingWorld,
  { delaysS }: Load,
  { machines, measuredS }: { machines: number; measuredS: number },
): void {
  const tasks = delaysS.length;
  delaysS.sort((a, b) => a - b);
  const perTask = (count: number): string => (count / tasks).toFixed(3);
  const periodic = (machines * measuredS) / 2.5;
  const rows: [string, string][] = [
    ['machines, tasks', `${machines}, ${tasks}`],
    ['heartbeats a task beyond periodic ones', perTask(counts.heartbeats - periodic)],
    ['heartbeats, bytes, answers, bytes', `${counts.heartbeats}, ${counts.heartbeatBytes}, ${counts.answerBytes}`],
    ['heartbeat and answer bytes a task', perTask(counts.heartbeatBytes + counts.answerBytes)],
    ['answers dropped by workers', String(counts.answersDropped)],
    ['direct messages a task, refused', `${perTask(counts.directMessages)}, ${counts.directRefused}`],
    ['commits a task', perTask(counts.commits)],
    ['ended tasks reported, seconds a task', perTask(counts.endedReportedS)],
    ['start delay p50, p99, max, s', [0.5, 0.99, 1].map((q) => delaysS[Math.ceil(q * tasks) - 1]!.toFixed(2)).join(', ')],
    ['rules broken', String(fleet.violations.length)],
    ['starts that a copy could repeat at the end', String(directNetwork.repeatableStarts().length)],
  ]; // prettier-ignore
  for (const [title, value] of rows) process.stdout.write(`${title.padEnd(44)}${value}\n`);
}

const program = new Command('start-costs')
  .option('--machines <n>', 'machines of the fleet', positive, 830)
  .option('--seconds <n>', 'simulated seconds in which jobs arrive', positive, 60)
  .parse();
const { machines, seconds } = program.opts<{ machines: number; seconds: number }>();
await measure(machines, seconds);
