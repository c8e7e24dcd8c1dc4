/**
 * Runs random faults, reproducible by seed, against one leader and its workers. Guards against combinations of
 * faults that violate an invariant or leave jobs unfinished after the faults have ended.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { JobKind } from '../src/jobs/types.js';
import { outcome } from '../src/store/stored-job.js';
import type { Heartbeat, TaskStatus } from '../src/wire/workers.js';
import type { Machine } from '../src/workers/machine.js';
import { LeaderWorld } from './support/leader-world.js';
import { randomFrom } from './support/seeded-random.js';
import type { Worker } from './support/simulated-fleet.js';

const SIMULATIONS = 60;
const STEP_S = 0.2;
/** Time with faults; after it, all jobs must be in order within `RECOVERY_S`. */
const FAULTS_S = 40;
const RECOVERY_S = 60;
const LATEST_JOB_S = 35;
const GPUS_MAX = 20;
const CANCEL_S = 6;

interface Job {
  kind: JobKind;
  tasks: number;
  /** When each run of a task ends, by worker, index and attempt. */
  ends: Map<string, number>;
}

class Simulation {
  readonly world = new LeaderWorld(GPUS_MAX);
  readonly jobs = new Map<string, Job>();
  readonly cancelledAt = new Map<string, number>();
  readonly violations = new Set<string>();
  private delayed: { at: number; arrive(): void }[] = [];

  constructor(private readonly random: () => number) {
    for (const id of ['a', 'b']) this.world.fleet.add(id, 'z1');
    for (const id of ['c', 'd']) this.world.fleet.add(id, 'z2');
    const started = this.world.fleet.noteStart.bind(this.world.fleet);
    this.world.fleet.noteStart = (on, command) => {
      started(on, command);
      const at = this.cancelledAt.get(command.job) ?? Infinity;
      if (this.world.now - at > CANCEL_S)
        this.violations.add(`start after cancellation: ${command.job}`);
    };
  }

  private chance(probability: number): boolean {
    return this.random() < probability;
  }

  private pick<T>(from: readonly T[]): T {
    return from[Math.floor(this.random() * from.length)]!;
  }

  private delay(inS: number, arrive: () => void): void {
    this.delayed.push({ at: this.world.now + inS, arrive });
  }

  /** Submits and cancels jobs and injects faults. */
  private injectEvents(): void {
    const { world } = this;
    if (this.chance(0.1) && world.now < LATEST_JOB_S) {
      const id = `wk-${1000 + this.jobs.size}`;
      const kind = this.pick(['array', 'array', 'gang', 'service'] as const);
      const tasks = 1 + Math.floor(this.random() * 4);
      this.jobs.set(id, { kind, tasks, ends: new Map() });
      world.submitJob({ id, kind, tasks });
    }
    if (this.chance(0.05) && this.jobs.size > 0) this.cancel(this.pick([...this.jobs.keys()]));
    if (this.chance(0.02)) world.failOver();
    const worker = this.pick([...world.fleet.workers.values()]);
    if (this.chance(0.02)) worker.inboundLost = !worker.inboundLost;
    if (this.chance(0.02)) worker.heartbeatsLost = !worker.heartbeatsLost;
    const live = [...world.term.jobs.values()].filter((job) => job.activeAttemptCount > 0);
    if (this.chance(0.01) && live.length > 0) {
      const job = this.pick(live);
      world.term.stopGracefully(job, this.pick([...job.activeAttempts()]), 'preempted');
    }
  }

  private cancel(id: string): void {
    const { world } = this;
    if (outcome(world.store.replayInto(world.replica).jobs.get(id)!) !== 'open') return;
    world.store.cancel(id);
    this.cancelledAt.set(id, world.now);
  }

  /** Ends tasks of job arrays and gangs when their run time is over. */
  private endDueTasks(worker: Worker, hasFaults: boolean): void {
    const { world } = this;
    for (const task of worker.tasks.values()) {
      const job = this.jobs.get(task.job)!;
      if (task.state === 'ended' || job.kind === 'service') continue;
      const run = `${worker.id} ${task.index} ${task.attempt}`;
      const at = job.ends.get(run) ?? world.now + 1 + this.random() * 4;
      job.ends.set(run, at);
      if (at > world.now) continue;
      if (job.kind === 'array') worker.end(task, hasFaults && this.chance(0.1) ? 'error' : 'done');
      else this.endGang(job, task);
    }
  }

  private endGang(job: Job, { job: id, attempt }: TaskStatus): void {
    const workers = [...this.world.fleet.workers.values()];
    const peers = workers.flatMap((worker) =>
      worker.running(id).filter((task) => task.attempt === attempt),
    );
    const isComplete = peers.length === job.tasks;
    for (const worker of workers)
      for (const task of peers) worker.end(task, isComplete ? 'done' : 'peers');
  }

  private exchangeHeartbeats(hasFaults: boolean): void {
    const { world } = this;
    for (const worker of world.fleet.workers.values()) {
      worker.tick();
      this.endDueTasks(worker, hasFaults);
      if (hasFaults && this.chance(0.03)) {
        const copy: Heartbeat = worker.heartbeat();
        this.delay(this.random() * 6, () => void world.leader.answerHeartbeat(copy));
      }
      world.exchangeHeartbeat(worker);
    }
  }

  /** Sends direct commands, which are answered, executed without an answer, delayed or lost. */
  private sendDirectCommands(machine: Machine, hasFaults: boolean): void {
    const { world } = this;
    const worker = world.fleet.workers.get(machine.id)!;
    const commands = machine.dueCommands((attempt) => world.term.mayStart(attempt), false);
    if (commands.every((command) => command.kind === 'forget')) return;
    const { agentEpoch, token } = machine;
    machine.markSent(commands, 'direct', world.now);
    const delivery = worker.inboundLost ? 'lost' : hasFaults ? this.random() : 'answered';
    if (delivery === 'lost' || Number(delivery) > 0.85) {
      machine.applyDirectOutcome(commands, 'unknown', world.now);
    } else if (Number(delivery) > 0.7) {
      this.delay(this.random() * 8, () => void worker.takeDirect(token, agentEpoch, commands));
      machine.applyDirectOutcome(commands, 'unknown', world.now);
    } else {
      const heartbeat = worker.takeDirect(token, agentEpoch, commands);
      const result = Number(delivery) > 0.6 ? 'unknown' : heartbeat === null ? 'refused' : 'done';
      machine.applyDirectOutcome(commands, result, world.now);
      if (result === 'unknown') return;
      world.term.reconcile(
        machine,
        machine.applyHeartbeat(heartbeat ?? worker.heartbeat(), 'direct-answer', world.now),
      );
    }
  }

  private async runLeader(hasFaults: boolean): Promise<void> {
    const { world } = this;
    world.runCycle();
    if (hasFaults && this.chance(0.1)) world.store.mode = this.pick(['lose answers', 'hold back']);
    await world.parts.writer.writeBatch();
    world.store.mode = 'serve';
    if (this.chance(0.2)) world.store.deliverHeldBack();
    for (const id of [...world.term.machinesToCommand]) {
      world.term.machinesToCommand.delete(id);
      const machine = world.term.machines.get(id);
      if (machine?.state === 'ready') this.sendDirectCommands(machine, hasFaults);
    }
    world.leader.tick();
  }

  /** One step of `STEP_S`, with the faults of that step. */
  async step(hasFaults: boolean): Promise<void> {
    const { world } = this;
    world.fleet.now += STEP_S;
    if (hasFaults) this.injectEvents();
    const due = this.delayed.filter((late) => late.at <= world.now);
    this.delayed = this.delayed.filter((late) => late.at > world.now);
    for (const late of due) late.arrive();
    this.exchangeHeartbeats(hasFaults);
    await this.runLeader(hasFaults);
    let used = 0;
    for (const id of this.jobs.keys()) used += world.fleet.running(id);
    if (used > GPUS_MAX) this.violations.add(`quota: ${used}`);
    for (const [id, at] of this.cancelledAt) {
      if (world.now - at > CANCEL_S && world.fleet.running(id) > 0)
        this.violations.add(`cancelled, runs: ${id}`);
    }
    for (const rule of world.fleet.violations)
      if (rule.startsWith('ran_twice')) this.violations.add(rule);
  }

  /** Ends the loss of messages between workers and leader. */
  clearFaults(): void {
    for (const worker of this.world.fleet.workers.values())
      worker.inboundLost = worker.heartbeatsLost = false;
  }

  /** Jobs that are not in their expected state at the end. */
  unfinished(): string[] {
    const { world } = this;
    world.store.replayInto(world.replica);
    const open = [...this.jobs].filter(([id]) => outcome(world.replica.jobs.get(id)!) === 'open');
    const wanted = open.reduce((n, [, job]) => n + job.tasks, 0);
    const problems: string[] = [];
    for (const id of this.jobs.keys()) {
      const state = outcome(world.replica.jobs.get(id)!);
      if (state === 'cancelled' && !this.cancelledAt.has(id))
        problems.push(`never cancelled: ${id}`);
    }
    for (const [id, job] of open) {
      if (job.kind !== 'service' && wanted <= GPUS_MAX) problems.push(`not done: ${id}`);
      const missing = job.tasks - world.fleet.running(id);
      if (wanted <= GPUS_MAX && missing > 0) problems.push(`waits: ${id}, ${missing} tasks`);
    }
    return problems;
  }
}

test('random faults violate no invariant, and all jobs run or complete after them', async () => {
  for (let seed = 1; seed <= SIMULATIONS; seed++) {
    const simulation = new Simulation(randomFrom(seed));
    while (simulation.world.now < FAULTS_S) await simulation.step(true);
    simulation.clearFaults();
    while (simulation.world.now < FAULTS_S + RECOVERY_S) await simulation.step(false);
    assert.deepEqual([...simulation.violations, ...simulation.unfinished()], [], `seed ${seed}`);
  }
});
