/**
 * A load spike of a service that borrows GPUs from batch jobs with deadlines, run with real processes on loopback
 * against the stand-ins. Used by the test of failing controllers and by the measurement.
 */
import type { LoanRow } from '../src/lending/view.js';
import { until, wait } from './helpers.js';
import { ProcessCluster } from './standins/process-cluster.js';
import type { Task } from './standins/worker.js';

const LEASE_S = 2;
/** A service that runs all the time and uses up the team's guarantee. */
const BASE = 'wk-000001';
/** A batch job with little time before its deadline. */
export const TIGHT = 'wk-000002';
/** A batch job with much time before its deadline. */
export const PATIENT = 'wk-000003';
/** The service that has a spike of load. */
export const SPIKE = 'wk-000004';

const SAVE_S = 0.3;
const RUN_S = 12;
const TIGHT_DUE_S = 18;
const PATIENT_DUE_S = 60;
const SPIKE_S = 8;
/** Time from the start of the batch jobs to the spike. */
const SPIKE_AFTER_S = 3;
const SAMPLE_MS = 20;

/** What happens to the leader during the spike. */
export type LeaderFault = 'none' | 'killed' | 'frozen';

/** How a scenario is run. */
export interface ScenarioOptions {
  lending: boolean;
  leaderFault: LeaderFault;
  /** Which batch job is submitted first. */
  tightFirst: boolean;
  directory: string;
  label: string;
}

/** The outcome of a batch job. */
export interface BatchOutcome {
  ref: string;
  /** Seconds from the submission to its end; null: it did not end. */
  doneS: number | null;
  dueS: number;
  starts: number;
}

/** The outcome of a scenario. */
export interface ScenarioOutcome {
  batch: BatchOutcome[];
  /** Seconds from the spike's submission until its replica runs. */
  firstAnswerS: number;
  /** Seconds from the end of the spike until all batch work that had been stopped runs or is done. */
  returnS: number;
  /** Seconds of batch work that were done more than once. */
  repeatedS: number;
  /** Changes of the key-value store from the spike on. */
  writes: number;
  loans: LoanRow[];
  violations: string[];
}

/** Two batch jobs and a spike of a service, with real processes. */
export class Scenario {
  readonly cluster: ProcessCluster;
  private readonly submittedAt = new Map<string, number>();
  private readonly doneAt = new Map<string, number>();
  private readonly ranS = new Map<string, number>();
  private timer: NodeJS.Timeout | undefined;

  constructor(private readonly options: ScenarioOptions) {
    this.cluster = new ProcessCluster({
      ...{ controllers: 3, leaseS: LEASE_S, cancelS: LEASE_S * 3 },
      ...{ directory: options.directory, label: options.label },
    });
  }

  /** Runs the scenario; `beforeClose` is called before the controllers end. */
  async play(beforeClose: () => Promise<void> = () => Promise.resolve()): Promise<ScenarioOutcome> {
    const { cluster } = this;
    try {
      await this.start();
      await this.submitBatch();
      await wait(SPIKE_AFTER_S * 1000);
      const before = cluster.store.revision;
      const firstAnswerS = await this.spike();
      const frozenLeader = await this.injectFault();
      await wait(SPIKE_S * 1000);
      const returnS = await this.endSpike();
      if (frozenLeader !== null) cluster.thaw(frozenLeader);
      await until('all batch work is done', () => this.doneAt.size === 2, 60);
      await wait(LEASE_S * 500);
      const loans = await this.loans();
      const writes = cluster.store.revision - before;
      await beforeClose();
      return { ...this.outcome(), firstAnswerS, returnS, writes, loans };
    } finally {
      clearInterval(this.timer);
      await cluster.close();
    }
  }

  private async start(): Promise<void> {
    const { cluster, options } = this;
    await cluster.listen();
    cluster.cloud.maxMachines = 1;
    const features = options.lending ? '[lending]\n' : '';
    for (const index of cluster.indexes) cluster.start(index, undefined, features);
    for (const index of cluster.indexes) await cluster.waitForReady(index);
    this.timer = setInterval(() => this.sample(), SAMPLE_MS);
    const shape = { form: 'daemon', rank: 'critical', gpus: 4, cores: 1 };
    await cluster.users.submit(await cluster.waitForLeader(), BASE, shape);
    await until('the base service runs', () => this.runs(BASE));
  }

  private async submitBatch(): Promise<void> {
    const { tightFirst } = this.options;
    const order = tightFirst ? [TIGHT, PATIENT] : [PATIENT, TIGHT];
    for (const ref of order) {
      const due_s = ref === TIGHT ? TIGHT_DUE_S : PATIENT_DUE_S;
      const shape = { rank: 'best_effort', gpus: 2, cores: 1, reckon_s: RUN_S, due_s };
      const saving = { stamp_s: 1, stamping_s: SAVE_S };
      this.submittedAt.set(ref, Date.now());
      await this.cluster.users.submit(0, ref, { ...shape, ...saving }, RUN_S);
    }
    await until('batch work runs', () => this.runs(TIGHT) && this.runs(PATIENT));
  }

  private async spike(): Promise<number> {
    const began = Date.now();
    const shape = { form: 'daemon', rank: 'critical', gpus: 2, cores: 1 };
    await this.cluster.users.submit(await this.cluster.waitForLeader(), SPIKE, shape);
    await until('the replica of the spike runs', () => this.runs(SPIKE));
    return (Date.now() - began) / 1000;
  }

  /** Returns the index of the controller that was frozen; null: none is. */
  private async injectFault(): Promise<number | null> {
    const { cluster, options } = this;
    if (options.leaderFault === 'none') return null;
    const leader = await cluster.waitForLeader();
    if (options.leaderFault === 'killed') {
      await cluster.kill(leader);
      return null;
    }
    cluster.freeze(leader);
    await cluster.waitForLeader(leader);
    return leader;
  }

  private async endSpike(): Promise<number> {
    const { cluster } = this;
    await cluster.users.cancel(await cluster.waitForLeader(), SPIKE);
    const began = Date.now();
    const isBack = (ref: string): boolean => this.doneAt.has(ref) || this.runs(ref);
    await until('batch work runs again', () => isBack(TIGHT) && isBack(PATIENT), 60);
    return (Date.now() - began) / 1000;
  }

  private tasks(ref: string): Task[] {
    return [...this.cluster.rules.workers.values()].flatMap((worker) =>
      worker.tasks.filter((task) => task.piece.startsWith(`${ref}/`)),
    );
  }

  private runs(ref: string): boolean {
    return this.tasks(ref).some((task) => task.temper === 'running');
  }

  private sample(): void {
    for (const ref of [TIGHT, PATIENT]) {
      if (this.runs(ref)) this.ranS.set(ref, (this.ranS.get(ref) ?? 0) + SAMPLE_MS / 1000);
      const done = this.cluster.rules.jobs.get(ref)?.completed.size === 1;
      if (done && !this.doneAt.has(ref)) this.doneAt.set(ref, Date.now());
    }
  }

  /** The loans as shown by the first controller that answers. */
  async loans(): Promise<LoanRow[]> {
    for (const index of this.cluster.indexes) {
      const view = await this.cluster.ask(index, '/subsystems/lending');
      if (view !== null) return (view.loans as LoanRow[] | undefined) ?? [];
    }
    return [];
  }

  private outcome(): Pick<ScenarioOutcome, 'batch' | 'repeatedS' | 'violations'> {
    const { rules } = this.cluster;
    const batch = [TIGHT, PATIENT].map((ref) => {
      const doneAt = this.doneAt.get(ref);
      const doneS = doneAt === undefined ? null : (doneAt - this.submittedAt.get(ref)!) / 1000;
      const dueS = ref === TIGHT ? TIGHT_DUE_S : PATIENT_DUE_S;
      return { ref, doneS, dueS, starts: rules.starts.get(`${ref}/0`) ?? 0 };
    });
    const ranS = [...this.ranS.values()].reduce((sum, s) => sum + s, 0);
    return { batch, repeatedS: Math.max(0, ranS - RUN_S * 2), violations: [...rules.violations] };
  }
}
