/**
 * A leader with lending over workers whose finite tasks make progress, and a checker over the workers' own
 * histories. Time moves by hand.
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

/** Two controllers after another share this store; `lending: false`: a version before, or switched off. */
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
/** A service whose machine is free for the borrower's replica later. */
export const OTHER = 'wk-000003';
const LENT_MACHINE = 'm1';
/** Until there is a machine for the borrower's replica. */
const FREE_CAPACITY_DELAY_S = 20;

interface LeaderInternals {
  runCycle(): void;
  writer: { writeBatch(): Promise<boolean> };
}

/** A leader with lending over workers whose tasks make progress. */
export class LendingWorld extends LeaderWorld {
  readonly batch: BatchFleet;
  private readonly subsystems: Subsystem[];
  /** Loans as they were in the store at any time, by key. */
  readonly loansSeen = new Map<string, Loan>();
  private gpusUsedBefore = new Map<string, number>();
  /** What the checker found wrong. */
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

  /** Leaders from now on are of a version before lending, or have it on again. */
  switchLending(on: boolean): void {
    this.subsystems.splice(0, this.subsystems.length, ...(on ? [makeLending({})] : []));
  }

  /** A finite job; `workS`: what a task takes in truth. */
  batchJob(workS: number, over: Partial<JobSpec> = {}): void {
    this.submitWork(workS, {
      ...{ team: 'b', class: 'batch', priority: 3, gpus: 8, cores: 8, estimateS: workS },
      ...{ checkpointS: 1, saveS: 0.4, image: 'batch', ...over },
    });
  }

  /** A service is accepted. */
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

  /** The user is told once the leader knows of it. */
  override cancel(id: string): void {
    super.cancel(id);
    this.store.feed(this.replica);
    this.batch.work.get(id)!.cancelled = true;
  }

  /** Only the next leader knows of it, and the user is told then. */
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

  /** Nothing can be stored for so long, by anybody. */
  async outage(seconds: number, meanwhile: () => void = () => undefined): Promise<void> {
    this.canWrite = false;
    this.store.mode = 'refuse';
    await this.run(seconds / 2);
    meanwhile();
    await this.run(seconds / 2);
    this.store.mode = 'serve';
    this.canWrite = true;
  }

  /** Where the lender gave up its GPUs. */
  get lentMachine(): Worker {
    return this.fleet.workers.get(LENT_MACHINE)!;
  }

  /** One heartbeat interval, with a look between each two of its steps. True: stopped by `is`. */
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

  /** Time passes, with the checker looking on. */
  override async run(seconds: number): Promise<void> {
    for (let left = seconds; left > 1e-9; left -= REPORT_S) await this.step();
  }

  /** Time passes until something is so; fails after `mostS` seconds. */
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

  /** What has to hold at any moment, by the workers and the store alone. */
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
      // What runs when a limit is lowered may go on; nothing more may start.
      const grown = gpus > (this.gpusUsedBefore.get(team) ?? 0);
      if (gpus > maxGpus && grown) this.recordViolation(`${team} uses ${gpus} of ${maxGpus}`);
    }
    this.gpusUsedBefore = teams;
  }

  private recordViolation(what: string): void {
    if (!this.ruleViolations.includes(what)) this.ruleViolations.push(what);
  }

  /**
   * A leader that was replaced goes on where it was, for so many seconds: as one that was frozen between its
   * last look at its lease and what it does next.
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
   * A loan that has come to this point. The lender has a machine of its own, which serving borrows; later
   * another service leaves a machine that the borrower's replica may use, and the lender may not.
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

  /** All troubles are over: what was lent is closed, and the lender was done in time. */
  async runToEnd({ lateBy = 0, seconds = 80 } = {}): Promise<void> {
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
      // Only the lender's own zone will do for it: with the machine its capacity is gone.
      if (this.batch.removedAt.size > 0 && doneAt === null) continue;
      assert.ok(doneAt !== null, `${spec.id} is done: ${JSON.stringify(this.loans())}`);
      const late = doneAt - submittedAt - spec.deadlineS;
      assert.ok(late <= lateBy, `${spec.id} is late by ${late} s`);
    }
  }

  /** Fails if the checker or the workers saw a rule broken. */
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
