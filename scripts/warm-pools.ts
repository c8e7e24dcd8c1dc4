/**
 * Runs a scheduled burst alternately with and without a warm pool. Three controllers run as real processes on
 * loopback against the stand-ins of the tests, and each machine has a model server. Prints the times until
 * replicas answer, and compares the bill with the logs of the stand-ins.
 *
 *     npm run warm-pools -- --pairs 10
 */
import { Command } from 'commander';
import { freePort, wait } from '../test/helpers.js';
import { burstFeatures } from '../test/pool-features.js';
import { ProcessCluster } from '../test/standins/process-cluster.js';
import type { Worker } from '../test/standins/worker.js';
import { quantile } from '../src/subsystems/samples.js';
import type { BillRow } from '../src/warm-pools/view.js';
import { positive } from './options.js';

const LEASE_S = 3;
const BOOT_MS = 2000;
const MODEL_LOAD_MS = 1500;
const REPLICAS = 3;
const SLOT_SHARE = 0.5;
/** Seconds from the start of the controllers to the burst. */
const BURST_AFTER_S = 14;
const EARLY_BURST_S = 2;
const MODEL = 'tutor';
const REF = 'wk-000001';
const SAMPLE_MS = 5;

const CONDITIONS = ['nothing wrong', 'leader killed', 'outage', 'early burst'] as const;
type Condition = (typeof CONDITIONS)[number];

interface Outcome {
  /** Milliseconds from the submission until each replica answers. */
  answersMs: number[];
  /** Machine-seconds according to the bill and to the stand-ins; null: without a pool, or not comparable. */
  bill: { billedS: number; expectedS: number; uncertainS: number } | null;
  violations: string[];
}

const features = (burstMs: number, port: number): string =>
  burstFeatures({ image: MODEL, port, slots: REPLICAS, burstMs, holdS: 60, aheadS: 7 });

const answeringReplicas = (workers: Worker[]): number =>
  workers.reduce((sum, worker) => {
    const model = worker.modelServer?.models.get(MODEL);
    return sum + (model?.state === 'ready' ? model.users : 0);
  }, 0);

class Run {
  private readonly cluster: ProcessCluster;
  private burstMs = 0;

  constructor(
    private readonly condition: Condition,
    private readonly pooled: boolean,
    private readonly number: number,
  ) {
    this.cluster = new ProcessCluster({
      controllers: 3,
      leaseS: LEASE_S,
      cancelS: LEASE_S * 3,
      directory: 'target/warm-pools',
      label: String(number),
    });
  }

  async execute(): Promise<Outcome> {
    const { cluster } = this;
    try {
      await this.start();
      await this.injectFault();
      const submitMs = this.burstMs - (this.condition === 'early burst' ? EARLY_BURST_S * 1000 : 0);
      await wait(submitMs - Date.now());
      const answersMs = await this.burst();
      const bill = this.pooled ? await this.compareBill() : null;
      return { answersMs, bill, violations: [...cluster.rules.violations] };
    } finally {
      await cluster.close();
    }
  }

  private async start(): Promise<void> {
    const { cluster, number } = this;
    await cluster.listen();
    const port = await freePort();
    const hostOf = (id: string): string => `127.2.${number % 250}.${Number(id.split('-')[1])}`;
    cluster.cloud.fleetContext.modelServers = { port, loadMs: () => MODEL_LOAD_MS, hostOf };
    cluster.cloud.bootMs = BOOT_MS;
    cluster.cloud.nominalBootS = BOOT_MS / 1000;
    this.burstMs = Math.ceil(Date.now() / 1000 + BURST_AFTER_S) * 1000;
    const file = this.pooled ? features(this.burstMs, port) : '';
    for (const index of cluster.indexes) cluster.start(index, undefined, file);
    for (const index of cluster.indexes) await cluster.waitForReady(index);
  }

  /** Injects the fault 4.5 s before the burst, when machines of a pool boot or load. */
  private async injectFault(): Promise<void> {
    const { cluster, condition } = this;
    await wait(this.burstMs - 4500 - Date.now());
    if (condition === 'leader killed') await cluster.kill(await cluster.waitForLeader());
    if (condition !== 'outage') return;
    cluster.store.down = true;
    await wait(this.burstMs - 200 - Date.now());
    cluster.store.down = false;
  }

  private async burst(): Promise<number[]> {
    const { cluster } = this;
    const workers = (): Worker[] => [...cluster.rules.workers.values()];
    const began = Date.now();
    const shape = { form: 'daemon', rank: 'critical', pieces: REPLICAS, mould: MODEL };
    const at = await cluster.waitForLeader();
    const submitted = cluster.users.submit(at, REF, { ...shape, cores: 4, gpus: 4, mem_gb: 8 });
    const answersMs: number[] = [];
    while (answersMs.length < REPLICAS && Date.now() - began < 30_000) {
      while (answersMs.length < answeringReplicas(workers())) answersMs.push(Date.now() - began);
      await wait(SAMPLE_MS);
    }
    await submitted;
    return answersMs;
  }

  /** Compares the bill with the stand-ins. Null: a replica was not placed on a machine of the pool, or the bill did not settle. */
  private async compareBill(): Promise<Outcome['bill']> {
    const { cluster } = this;
    const pooled = cluster.cloud.rentals.filter(({ hire }) => hire.includes('warm-pools'));
    const rentedAt = new Map(pooled.flatMap(({ ids, at }) => ids.map((id) => [id, at] as const)));
    const starts = cluster.rules.startLog.filter(({ piece }) => piece.startsWith(`${REF}/`));
    if (starts.some(({ machine }) => !rentedAt.has(machine))) return null;
    let expectedS = 0;
    for (const { machine, at } of starts) {
      expectedS += ((at - rentedAt.get(machine)!) / 1000) * SLOT_SHARE;
    }
    const row = await this.settledRow();
    if (row === null) return null;
    return { billedS: row.machineS, expectedS, uncertainS: row.uncertainS };
  }

  /** The bill once every slot is used; null: not within two leases. */
  private async settledRow(): Promise<BillRow | null> {
    const until = Date.now() + LEASE_S * 2000;
    while (Date.now() < until) {
      const index = await this.cluster.waitForLeader();
      const view = await this.cluster.ask(index, '/subsystems/warm-pools');
      const row = (view?.bill as BillRow[] | undefined)?.[0];
      if (row?.used === REPLICAS) return row;
      await wait(LEASE_S * 50);
    }
    return null;
  }
}

const seconds = (ms: number): string => (ms / 1000).toFixed(2);

function report(condition: Condition, outcomes: { pooled: Outcome[]; without: Outcome[] }): void {
  for (const [name, list] of Object.entries(outcomes)) {
    const all = list.flatMap(({ answersMs }) => answersMs);
    const [median, p95, p99] = [0.5, 0.95, 0.99].map((share) => seconds(quantile(all, share)));
    const missing = list.length * REPLICAS - all.length;
    const bills = list.flatMap(({ bill }) => (bill === null ? [] : [bill]));
    const billErrorsS = bills.map(({ billedS, expectedS: reckonedS }) =>
      Math.abs(billedS - reckonedS),
    );
    const uncertaintiesS = bills.map(({ uncertainS }) => uncertainS);
    const broken = list.flatMap(({ violations }) => violations);
    process.stdout.write(
      `${condition.padEnd(14)} ${name.padEnd(8)} runs ${list.length}, first answers: median ${median} s, ` +
        `95th ${p95} s, 99th ${p99} s, none ${missing}; bill off by at most ${Math.max(0, ...billErrorsS).toFixed(2)} ` +
        `machine s in ${bills.length} runs (stated uncertainty: ${Math.max(0, ...uncertaintiesS).toFixed(2)}), rule violations ${broken.length}\n`,
    );
  }
}

const program = new Command('warm-pools')
  .option('--pairs <n>', 'runs with and without a pool, alternating', positive, 10)
  .option('--at-once <n>', 'pairs that run in parallel', positive, 1)
  .option('--condition <name>', 'run only this condition')
  .parse();
const options = program.opts<{ pairs: number; atOnce: number; condition?: string }>();
let runs = 0;
for (const condition of CONDITIONS) {
  if (options.condition !== undefined && options.condition !== condition) continue;
  const outcomes = { pooled: [] as Outcome[], without: [] as Outcome[] };
  for (let pair = 0; pair < options.pairs; pair += options.atOnce) {
    const batch = Array.from(
      { length: Math.min(options.atOnce, options.pairs - pair) },
      async () => {
        outcomes.pooled.push(await new Run(condition, true, runs++).execute());
        outcomes.without.push(await new Run(condition, false, runs++).execute());
      },
    );
    await Promise.all(batch);
  }
  report(condition, outcomes);
}
process.exit(0);
