/** Warm pools with complete controllers against stand-ins on loopback; each machine has a model server. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { execFile } from 'node:child_process';
import { mkdtempSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { promisify } from 'node:util';
import { freePort, until, wait } from './helpers.js';
import { burstFeatures } from './pool-features.js';
import { Cluster } from './standins/cluster.js';
import { ProcessCluster } from './standins/process-cluster.js';
import type { Cloud } from './standins/cloud.js';
import type { Worker } from './standins/worker.js';

const MODEL = 'tutor';
const LEASE_S = 2;
const LOAD_MS = 700;
const HOLD_S = 20;
const SLOTS = 2;

const features = (burstMs: number, port: number): string =>
  burstFeatures({ image: MODEL, port, slots: SLOTS, burstMs, holdS: HOLD_S, aheadS: 4 });

const burstIn = (seconds: number): number => Math.ceil(Date.now() / 1000 + seconds) * 1000;

/** Number of blocks of loopback addresses in use: machines of clusters that run concurrently share no address. */
let addressBlocks = 0;

/** Gives every machine its own address, because all model servers have the same port. */
function configureModelServers(cloud: Cloud, port: number): void {
  const block = addressBlocks++;
  const hostOf = (id: string): string => `127.1.${block}.${Number(id.split('-')[1])}`;
  cloud.fleetContext.modelServers = { port, loadMs: () => LOAD_MS, hostOf };
}

const REPLICAS = {
  ...{
    form: 'daemon',
    rank: 'critical',
    pieces: SLOTS,
    mould: MODEL,
    cores: 4,
    gpus: 4,
    mem_gb: 8,
  },
};

const workersWithModel = (workers: Worker[]): Worker[] =>
  workers.filter((worker) => worker.modelServer!.models.get(MODEL)?.state === 'ready');

/** Number of replicas that answer now. */
const answeringReplicas = (workers: Worker[]): number =>
  workersWithModel(workers).reduce(
    (sum, worker) => sum + worker.modelServer!.models.get(MODEL)!.users,
    0,
  );

const MAIN = new URL('../src/main.js', import.meta.url).pathname;

/** Runs the program; returns its output and exit status. */
async function run(...args: string[]): Promise<{ status: number; out: string }> {
  try {
    const { stdout } = await promisify(execFile)(process.execPath, args);
    return { status: 0, out: stdout };
  } catch (error) {
    const { code, stderr } = error as { code: number; stderr: string };
    return { status: code, out: stderr };
  }
}

async function checkOperatorCommands(at: string): Promise<void> {
  for (const program of [MAIN, 'target/launch.cjs']) {
    const status = await run(program, 'warm-pools', 'status', '--at', at);
    assert.match(status.out, /^pool +team +slots +next burst .*\ntutor +t +2 +\S+( +\d+){7}\n$/);
    const bill = await run(program, 'warm-pools', 'bill', '--at', at);
    assert.match(bill.out, /^day +pool .*\n\d{4}-\d\d-\d\d +tutor +t +2 .*\n$/);
  }
  const json = await run(MAIN, 'warm-pools', 'bill', '--at', at, '--json');
  assert.equal((JSON.parse(json.out) as { pool: string }[])[0]!.pool, 'tutor');
  const wrong: [string[], RegExp][] = [
    [['status', '--at', 'x'], /^pewtershelf: warm-pools: x: must be HOST:PORT\n$/],
    [
      ['status', '--at', '127.0.0.1:1'],
      /^pewtershelf: warm-pools: 127\.0\.0\.1:1: .*ECONNREFUSED.*\n$/,
    ],
    [['status'], /required option '--at <addr>'/],
    [['list', '--at', at], /Allowed choices are status, bill/],
  ];
  for (const [args, pattern] of wrong) {
    const { status, out } = await run(MAIN, 'warm-pools', ...args);
    assert.ok(status > 0);
    assert.match(out, pattern);
  }
}

interface FaultCase {
  name: string;
  injectFault(cluster: Cluster): Promise<void>;
}

const FAULT_CASES: FaultCase[] = [
  { name: 'nothing', injectFault: () => Promise.resolve() },
  {
    name: 'the leader ends while the model loads',
    async injectFault(cluster) {
      await until('a machine', () => cluster.workers.length > 0);
      cluster.stopController(cluster.leader());
    },
  },
  {
    name: 'the leader ends before anything is added',
    injectFault: async (cluster) => void (await cluster.stopLeader()),
  },
  {
    name: 'the store refuses the leader alone, and later serves it again',
    async injectFault(cluster) {
      await until('a machine', () => cluster.workers.length > 0);
      const old = cluster.leader();
      cluster.storeAccess[old]!.refuses = true;
      await cluster.waitForLeader(old);
      cluster.storeAccess[old]!.refuses = false;
    },
  },
  {
    name: 'an outage of the key-value store while the model loads',
    async injectFault(cluster) {
      await until('a machine', () => cluster.workers.length > 0);
      cluster.store.down = true;
      await wait(1500);
      cluster.store.down = false;
    },
  },
  {
    name: 'answers of the key-value store are lost',
    injectFault(cluster) {
      cluster.store.injectFault('ps/x/', { how: 'answer_lost' }, 4);
      return Promise.resolve();
    },
  },
];

test('whatever happens during the lead time, one machine is added and replicas answer at once', async () => {
  const failures: string[] = [];
  const runCase = async (row: FaultCase): Promise<void> => {
    const port = await freePort();
    const burstMs = burstIn(11);
    const cluster = await Cluster.start({ leaseS: LEASE_S, features: features(burstMs, port) });
    try {
      configureModelServers(cluster.cloud, port);
      cluster.cloud.bootMs = 300;
      await cluster.waitForLeader();
      await row.injectFault(cluster);
      await until('warm', () => workersWithModel(cluster.workers).length === 1);
      await until('a leader', () => cluster.leader() >= 0);
      await until('the leader counts all slots as warm', () => {
        return (
          cluster.controllers[cluster.leader()]?.leader?.statistics().warm_slots_warm === SLOTS
        );
      });
      assert.ok(Date.now() < burstMs + 1000, 'in time');
      assert.equal(cluster.cloud.rentedCount, 1, 'added once');
      await wait(burstMs - Date.now());
      const at = cluster.leader() < 0 ? 0 : cluster.leader();
      await cluster.users.submit(at, 'wk-000001', REPLICAS);
      const began = Date.now();
      await until('both answer', () => answeringReplicas(cluster.workers) === SLOTS);
      assert.ok(Date.now() - began < LOAD_MS, `answered after ${Date.now() - began} ms`);
      const loads = cluster.workers.filter((worker) => worker.modelServer!.requestLog.length > 0);
      assert.equal(loads.length, 1);
    } finally {
      cluster.close();
    }
  };
  for (let i = 0; i < FAULT_CASES.length; i += 3) {
    const batch = FAULT_CASES.slice(i, i + 3).map((row) =>
      runCase(row).catch((e: unknown) => void failures.push(`${row.name}: ${String(e)}`)),
    );
    await Promise.all(batch);
  }
  assert.deepEqual(failures, []);
});

test('real processes: a leader is frozen while the model loads, and resumes after its successor began', async () => {
  const cluster = new ProcessCluster({
    ...{ controllers: 3, leaseS: LEASE_S, cancelS: LEASE_S * 3, label: 'frozen' },
    directory: mkdtempSync(join(tmpdir(), 'shelf-')),
  });
  try {
    await cluster.listen();
    const port = await freePort();
    configureModelServers(cluster.cloud, port);
    cluster.cloud.bootMs = 300;
    const burstMs = burstIn(14);
    const file = features(burstMs, port);
    for (const index of cluster.indexes) cluster.start(index, undefined, file);
    for (const index of cluster.indexes) await cluster.waitForReady(index);
    const workers = (): Worker[] => [...cluster.rules.workers.values()];
    await until('a machine', () => workers().length > 0);
    const frozen = await cluster.waitForLeader();
    cluster.freeze(frozen);
    const next = await cluster.waitForLeader(frozen);
    await until('warm', async () => {
      return (await cluster.ask(next, '/metrics'))?.warm_slots_warm === SLOTS;
    });
    cluster.thaw(frozen);
    await until('the frozen leader follows', async () => {
      return (await cluster.ask(frozen, '/metrics'))?.role === 'following';
    });
    await wait(LEASE_S * 500);
    assert.equal(cluster.cloud.rentedCount, 1, 'added once');
    const [machine] = workers();
    assert.equal(machine!.modelServer!.models.get(MODEL)!.state, 'ready', 'nothing was unloaded');
    await cluster.users.submit(next, 'wk-000001', REPLICAS);
    await until('both answer', () => answeringReplicas(workers()) === SLOTS);
    const views = await Promise.all(
      cluster.indexes.map((index) => cluster.ask(index, '/subsystems/warm-pools')),
    );
    for (const view of views) {
      const [pool] = view!.pools as { pool: string; slots: number }[];
      assert.deepEqual([pool!.pool, pool!.slots], ['tutor', SLOTS], 'every controller shows it');
    }
    await checkOperatorCommands(`127.0.0.1:${cluster.ports[next]!.bind}`);
    assert.deepEqual(cluster.rules.violations, []);
  } finally {
    await cluster.close();
  }
});
