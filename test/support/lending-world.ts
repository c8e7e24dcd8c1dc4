/**
 * A leader with lending over simulated workers whose finite tasks make progress, and checks on the state of the
 * workers. Time is advanced by the test.
 */
import assert from 'node:assert/strict';
import type { JobSpec } from '../../src/jobs/types.js';
import { LENDING, Lending } from '../../src/lending/lending.js';
import { toLendingConfig } from '../../src/lending/declaration.js';
import { holdsGpus, isOpen, LOAN_PREFIX, decodeLoan, type Loan } from '../../src/lending/loan.js';
import type { Leader } from '../../src/leader/leader.js';
import type { Subsystem } from '../../src/subsystems/subsystem.js';
import * as records from '../../src/store/records.js';
import { settings } from '../helpers.js';
import { LeaderWorld } from './leader-world.js';
import { BatchFleet } from './batch-fleet.js';
import type { Worker } from './simulated-fleet.js';

/** GPUs of each machine. */
export const MACHINE_GPUS = 8;
const { lease_s: LEASE_S, report_s: REPORT_S } = settings().workers;

/** Options of a world; `lending: false`: the leader's version is older than lending, or lending is off. */
export interface LendingWorldOptions {
  gpusMax?: number;
  recallsAtOnce?: number;
  lending?: boolean;
  maxOpen?: number;
  keepEndedS?: number;
}

/** A point between two steps of a loan. */
export const POINTS = [
  'stored, not told',
  'told, not saved',
  'saved, not lent',
  'lent',
  'recalled, not moved',
  'moved, not settled',
  'returned, not resumed',
] as const;

/** A point between two steps of a loan. */
export type Point = (typeof POINTS)[number];

/** The batch job that lends. */
export const LENDER = 'wk-000001';
/** The service that borrows. */
export const BORROWER = 'wk-000002';
/** A service that is cancelled later, which frees a machine for the borrower's replica. */
export const OTHER = 'wk-000003';
const LENT_MACHINE = 'm1';
/** Seconds until a machine is freed for the borrower's replica. */
const FREE_CAPACITY_DELAY_S = 20;

interface LeaderInternals {
  runCycle(): void;
  writer: { writeBatch(): Promise<boolean> };
}

/** A leader with lending over workers whose tasks make progress; successive leaders share one store. */
export class LendingWorld extends LeaderWorld {
  readonly batch: BatchFleet;
  private readonly subsystems: Subsystem[];
  /** The latest stored form of all loans that were ever in the store, by lender and attempt. */
  readonly loansSeen = new Map<string, Loan>();
  private gpusUsedBefore = new Map<string, number>();
  /** Violated rules that the checks found. */
  readonly ruleViolations: string[] = [];

  constructor(options: LendingWorldOptions = {}) {
    const { gpusMax = 100, lending = true } = options;
    const list = lending ? [makeLending(options)] : [];
    const fleet = new BatchFleet(LEASE_S);
    super(gpusMax, { subsystems: list, fleet });
    this.batch = fleet;
    this.subsystems = list;
    const team = { name: 'b', cores: 0, coresMax: 0, gpus: 0, gpusMax };
    this.settings.teams.set('b', team);
  }

  /** Switches lending on or off for later leaders; off also stands for a version that is older than lending. */
  switchLending(on: boolean): void {
    this.subsystems.splice(0, this.subsystems.length, ...(on ? [makeLending({})] : []));
  }

  /** Submits a finite job; `workS`: the actual duration of a task. */
  batchJob(workS: number, over: Partial<JobSpec> = {}): void {
    this.submitWork(workS, {
      ...{ team: 'b', class: 'batch', priority: 3, gpus: 8, cores: 8, estimateS: workS },
      ...{ checkpointS: 1, saveS: 0.4, image: 'batch', ...over },
    });
  }

  /** Submits a service. */
  service(over: Partial<JobSpec> = {}): void {
    this.submitWork(Infinity, {
      ...{ kind: 'service', class: 'tutor', priority: 0, gpus: 8, cores: 8, image: 'tutor' },
      ...over,
    });
  }

  private submitWork(workS: number, over: Partial<JobSpec>): void {
    this.submitJob(over);
    const spec = this.replica.jobs.get(over.id!)!.spec;
    const submittedAt = this.now;
    this.batch.work.set(spec.id, { spec, workS, submittedAt, doneAt: null, cancelled: false });
  }

  /** Cancels a job; the user gets the answer once the leader knows of the cancellation. */
  override cancel(id: string): void {
    super.cancel(id);
    this.store.replayInto(this.replica);
    this.batch.work.get(id)!.cancelled = true;
  }

  /** Cancels a job so that only the next leader knows of it; the user gets the answer then. */
  cancelAndFailOver(id: string): void {
    this.store.cancel(id);
    this.failOver();
    this.fleet.cancelled.add(id);
    this.batch.work.get(id)!.cancelled = true;
  }

  /** The loans in the store. */
  loans(): Loan[] {
    const prefix = records.subsystemPrefix(LENDING) + LOAN_PREFIX;
    const keys = this.store.keys().filter((key) => key.startsWith(prefix));
    return keys.map((key) => decodeLoan(this.store.value(key))!);
  }

  /** States of all loans in the store, in order. */
  states(): string {
    return this.loans().map(({ state }) => state).sort().join(' '); // prettier-ignore
  }

  /** States of a job's tasks on all workers. */
  taskStates(job: string): string[] {
    return [...this.fleet.workers.values()].flatMap((worker) =>
      [...worker.tasks.values()].filter((task) => task.job === job).map((task) => task.state),
    );
  }

  /** Machines with tasks of a job on them. */
  hosts(job: string): string[] {
    const on = [...this.fleet.workers.values()].filter((worker) => worker.running(job).length > 0);
    return on.map((worker) => worker.id);
  }

  /** An outage of the store, in which no controller can write; `meanwhile` is called halfway through. */
  async outage(seconds: number, meanwhile: () => void = () => undefined): Promise<void> {
    this.canWrite = false;
    this.store.mode = 'refuse';
    await this.run(seconds / 2);
    meanwhile();
    await this.run(seconds / 2);
    this.store.mode = 'serve';
    this.canWrite = true;
  }

  /** The worker on which the lender gives up its GPUs. */
  get lentMachine(): Worker {
    return this.fleet.workers.get(LENT_MACHINE)!;
  }

  /** Runs one heartbeat interval, with checks after each of its steps. Returns true as soon as the condition holds. */
  async step(condition: () => boolean = () => false): Promise<boolean> {
    this.fleet.now += REPORT_S;
    for (const worker of this.fleet.workers.values()) worker.tick();
    if (this.checkAndTest(condition)) return true;
    for (const worker of [...this.fleet.workers.values()]) {
      this.exchangeHeartbeat(worker);
      if (this.checkAndTest(condition)) return true;
    }
    this.runCycle();
    if (this.checkAndTest(condition)) return true;
    await this.writeAll();
    if (this.checkAndTest(condition)) return true;
    this.leader.tick();
    return this.checkAndTest(condition);
  }

  /** Advances the time, with checks after each step. */
  override async run(seconds: number): Promise<void> {
    for (let left = seconds; left > 1e-9; left -= REPORT_S) await this.step();
  }

  /** Advances the time until the condition holds; fails after `maxS` seconds. */
  async runUntil(what: string, condition: () => boolean, maxS = 60): Promise<void> {
    const end = this.now + maxS;
    while (!(await this.step(condition))) {
      assert.ok(this.now < end, `${what}: ${this.states()}; ${JSON.stringify(this.loans())}`);
    }
  }

  private checkAndTest(condition: () => boolean): boolean {
    this.check();
    return condition();
  }

  /** Checks the invariants by the state of the workers and the store alone. */
  private check(): void {
    for (const loan of this.loans())
      this.loansSeen.set(`${loan.lender}/${loan.tasks[0]!.attempt}`, loan);
    const lent = new Map<string, number>();
    for (const loan of this.loans().filter(holdsGpus)) {
      lent.set(loan.machine, (lent.get(loan.machine) ?? 0) + loan.gpus);
    }
    for (const [machine, gpus] of lent) {
      if (gpus > MACHINE_GPUS) this.recordViolation(`${machine}: ${gpus} GPUs are lent`);
    }
    const teams = new Map<string, number>();
    for (const worker of this.fleet.workers.values()) {
      let used = 0;
      for (const task of worker.tasks.values()) {
        const spec = this.batch.work.get(task.job)?.spec;
        if (task.state === 'ended' || spec === undefined) continue;
        used += spec.gpus;
        teams.set(spec.team, (teams.get(spec.team) ?? 0) + spec.gpus);
      }
      if (used > MACHINE_GPUS) this.recordViolation(`${worker.id}: ${used} GPUs are used`);
    }
    for (const [team, gpus] of teams) {
      const maxGpus = this.settings.teams.get(team)!.gpusMax;
      // Tasks that run when a limit is lowered may continue; no others may start.
      const grown = gpus > (this.gpusUsedBefore.get(team) ?? 0);
      if (gpus > maxGpus && grown) this.recordViolation(`${team} uses ${gpus} of ${maxGpus}`);
    }
    this.gpusUsedBefore = teams;
  }

  private recordViolation(what: string): void {
    if (!this.ruleViolations.includes(what)) this.ruleViolations.push(what);
  }

  /**
   * Lets a replaced leader continue for some seconds, like one that was frozen between the last check of its lease and
   * the action that the check allowed.
   */
  async resumeFrozenLeader(old: Leader, seconds: number): Promise<void> {
    const internals = old as unknown as LeaderInternals;
    const { context } = old.term;
    context.isEntitled = () => true;
    context.canWrite = () => true;
    for (let left = seconds; left > 0; left -= REPORT_S) {
      internals.runCycle();
      for (let i = 0; i < 5; i++) await internals.writer.writeBatch();
      old.tick();
      for (const machine of old.term.machines.values()) this.deliverCommands(old, machine.id);
    }
  }

  private deliverCommands(old: Leader, id: string): void {
    const machine = old.term.machines.get(id)!;
    const commands = machine.dueCommands((attempt) => old.term.mayStart(attempt), true);
    this.fleet.workers.get(id)?.takeDirect(machine.token, machine.agentEpoch, commands);
  }

  /**
   * Runs until a loan reaches this point. A service borrows the lender's machine; later another service leaves a
   * machine that the borrower's replica may use, and the lender may not.
   */
  async runToPoint(point: Point): Promise<void> {
    this.fleet.add(LENT_MACHINE);
    this.fleet.add('m2', 'z2');
    this.fleet.add('m3', 'z2');
    await this.run(1);
    this.service({ id: OTHER, zone: 'z2' });
    this.batchJob(8, { id: LENDER, zone: 'z1', deadlineS: 60 });
    await this.run(2);
    this.service({ id: BORROWER, tasks: 2 });
    await this.runUntil(point, () => this.isAt(point, 'before the recall'));
    if (POINTS.indexOf(point) < POINTS.indexOf('recalled, not moved')) return;
    this.cancel(OTHER);
    await this.runUntil(point, () => this.isAt(point, 'to the end'), 80);
  }

  private isAt(point: Point, part: 'before the recall' | 'to the end'): boolean {
    const [loan] = this.loans();
    if (loan === undefined) return false;
    const lender = this.taskStates(LENDER);
    const isBorrowerThere = this.hosts(BORROWER).includes(LENT_MACHINE);
    switch (point) {
      case 'stored, not told':
        return loan.state === 'requested' && lender.includes('running');
      case 'told, not saved':
        return lender.includes('saving');
      case 'saved, not lent':
        return (loan.state === 'requested' || loan.state === 'saving') && lender.includes('ended');
      case 'recalled, not moved':
        if (part === 'to the end') return loan.state === 'recalled' && isBorrowerThere;
        break;
      case 'moved, not settled':
        if (part === 'to the end') return loan.state === 'recalled' && !isBorrowerThere;
        break;
      case 'returned, not resumed':
        if (part === 'to the end') return loan.state === 'returned';
        break;
      default:
    }
    return loan.state === 'lent' && isBorrowerThere;
  }

  /** Runs without further faults, and asserts that every loan is closed and that finite jobs were done in time. */
  async runToEnd({ allowedLatenessS = 0, seconds = 80 } = {}): Promise<void> {
    const other = this.batch.work.get(OTHER);
    if (other?.cancelled === false) {
      await this.run(FREE_CAPACITY_DELAY_S);
      this.cancel(OTHER);
    }
    await this.run(seconds);
    this.checkRules();
    const open = this.loans().filter(isOpen);
    assert.deepEqual(open, [], 'every loan is closed');
    for (const { spec, workS, submittedAt, doneAt, cancelled } of this.batch.work.values()) {
      if (workS === Infinity || cancelled || spec.deadlineS === null) continue;
      // The lender may run in its own zone only: with the machine its capacity is gone.
      if (this.batch.removedAt.size > 0 && doneAt === null) continue;
      assert.ok(doneAt !== null, `${spec.id} is done: ${JSON.stringify(this.loans())}`);
      const late = doneAt - submittedAt - spec.deadlineS;
      assert.ok(late <= allowedLatenessS, `${spec.id} is late by ${late} s`);
    }
  }

  /** Fails if the checks or the workers found a violated rule. */
  checkRules(): void {
    assert.deepEqual(this.fleet.violations, []);
    assert.deepEqual(this.ruleViolations, []);
  }
}

function makeLending(options: LendingWorldOptions): Lending {
  const { recallsAtOnce = 4, maxOpen = 500, keepEndedS = 3600 } = options;
  const limits = { max_open: maxOpen, recalls_at_once: recallsAtOnce };
  return new Lending(toLendingConfig({ ...limits, least_margin: 1, keep_ended_s: keepEndedS }));
}
