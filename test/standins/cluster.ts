import assert from 'node:assert/strict';
import { parseSettings, type Settings } from '../../src/config/settings.js';
import { silentLog } from '../../src/log.js';
import { DEFAULT_POLICY } from '../../src/operator/policy.js';
import { Controller, type ControllerOptions } from '../../src/controller/controller.js';
import { controllerFeatures } from '../../src/controller/features.js';
import { parseFeatures } from '../../src/features/features-file.js';
import { steadyClock } from '../../src/clock.js';
import {
  freePort,
  GANG_PEER_S,
  settingsText,
  TEAMS_GPUS_MAX,
  until,
  type Ports,
} from '../helpers.js';
import { Cloud, MACHINE_GPUS } from './cloud.js';
import { CuttableProxy } from './cuttable-proxy.js';
import { RuleChecker } from './rules.js';
import { StoreAccess, StoreServer } from './state.js';
import { Users } from './users.js';
import { occupies, type Task, type Worker } from './worker.js';

/** Number, zones and settings of the controllers. */
export interface ClusterOptions {
  leaseS: number;
  cancelS: number;
  /** The zone of each controller; there is one controller for each entry. */
  zones: string[];
  /** Announced future limits of the key-value store in the settings, TOML. */
  nextLimits: string;
  /** Text of the features file of each controller; empty: none. */
  features: string;
  /** Time of day of each controller's machine, in ms. */
  wallMs: () => number;
}

const DEFAULTS = {
  ...{ leaseS: 2, zones: ['z1', 'z1', 'z1'], nextLimits: '', features: '' },
  wallMs: (): number => Date.now(),
};
/** Default of `cancelS`, in leases. */
const CANCEL_LEASES = 3;

/** Controllers in this process, with stand-ins of the outside systems. Each connection to the store and between controllers can be cut. */
export class Cluster {
  readonly store = new StoreServer();
  readonly storeAccess: StoreAccess[] = [];
  readonly rules: RuleChecker;
  readonly cloud: Cloud;
  readonly users: Users;
  readonly ports: Ports[] = [];
  readonly controllers: (Controller | null)[] = [];
  /** The proxy between each controller and the key-value store. */
  readonly storeProxies: CuttableProxy[] = [];
  /** The proxies from one controller to another. */
  private readonly links: { from: number; to: number; proxy: CuttableProxy }[] = [];

  private constructor(private readonly options: ClusterOptions) {
    const { leaseS, cancelS } = options;
    const teams = new Map([['t', TEAMS_GPUS_MAX]]);
    this.rules = new RuleChecker({ cancelS, teams, machineGpus: MACHINE_GPUS });
    this.cloud = new Cloud(this.rules, { leaseS, gangPeerS: GANG_PEER_S });
    this.users = new Users(this.ports, this.rules);
  }

  /** Starts the stand-ins and all controllers. */
  static async start(options: Partial<ClusterOptions> = {}): Promise<Cluster> {
    const { leaseS } = { ...DEFAULTS, ...options };
    const cluster = new Cluster({ cancelS: leaseS * CANCEL_LEASES, ...DEFAULTS, ...options });
    try {
      await cluster.listen();
      for (const index of cluster.indexes) await cluster.startController(index);
    } catch (error) {
      // Servers and timers that have been started would keep the process alive.
      cluster.close();
      throw error;
    }
    return cluster;
  }

  private async listen(): Promise<void> {
    await this.store.listen();
    await this.cloud.listen();
    for (const index of this.indexes) {
      this.ports.push({ bind: await freePort(), peer: await freePort() });
      const access = new StoreAccess(this.store);
      await access.listen();
      const proxy = new CuttableProxy(access.port);
      await proxy.listen();
      this.storeAccess[index] = access;
      this.storeProxies[index] = proxy;
    }
    for (const from of this.indexes)
      for (const to of this.indexes) {
        if (from === to) continue;
        const proxy = new CuttableProxy(this.ports[to]!.peer);
        await proxy.listen();
        this.links.push({ from, to, proxy });
      }
    this.cloud.fleetContext.controllers = this.ports.map((port) => port.bind);
  }

  /** Indexes of the controllers. */
  get indexes(): number[] {
    return [...this.options.zones.keys()];
  }

  // Controllers

  /** Starts a new controller on the ports of this index. */
  async startController(index: number): Promise<void> {
    const { leaseS, cancelS, zones, nextLimits } = this.options;
    // Controllers reach each other through the proxies.
    const reachablePorts = this.ports.map((own, to) => {
      const link = this.links.find((l) => l.from === index && l.to === to);
      return { ...own, peer: link?.proxy.port ?? own.peer };
    });
    const storeProxyPort = this.storeProxies[index]!.port;
    const text = settingsText(
      index, reachablePorts, this.cloud.port, storeProxyPort, leaseS, zones, cancelS, nextLimits,
    ); // prettier-ignore
    const settings = parseSettings(text);
    const controller = new Controller(
      settings,
      DEFAULT_POLICY,
      silentLog(),
      this.controllerOptions(settings),
    );
    await controller.start();
    this.controllers[index] = controller;
  }

  private controllerOptions(settings: Settings): ControllerOptions {
    const { features, wallMs } = this.options;
    if (features === '') return { wallMs };
    const parsed = parseFeatures(features, settings, Date.now());
    return { wallMs, features: controllerFeatures(parsed, steadyClock) };
  }

  /** Stops a controller at once. */
  stopController(index: number): void {
    this.controllers[index]?.stop();
    this.controllers[index] = null;
  }

  /** Whether a controller regards itself as the leader. */
  leads(index: number): boolean {
    return (this.controllers[index]?.leader ?? null) !== null;
  }

  /** Index of the only leader; -1 when there is none or more than one. */
  leader(): number {
    const leading = this.indexes.filter((index) => this.leads(index));
    return leading.length === 1 ? leading[0]! : -1;
  }

  /** Waits for a leader other than the given one. Returns its index. */
  async waitForLeader(other = -1): Promise<number> {
    await until('a leader', () => this.leader() >= 0 && this.leader() !== other);
    return this.leader();
  }

  /** Waits until every worker has received the token of the only leader. */
  async waitForLeaderAnswers(): Promise<void> {
    await until('all workers have the token of the leader', () => {
      const token = this.controllers[this.leader()]?.election.token;
      return this.workers.every((worker) => worker.token === token);
    });
  }

  /** Cuts or restores all links of these controllers with any other. */
  cutLinks(cut: boolean, ...indexes: number[]): void {
    for (const { from, to, proxy } of this.links) {
      if (indexes.includes(from) || indexes.includes(to)) proxy.setCut(cut);
    }
  }

  /** Stops the leader. Returns its index. */
  async stopLeader(): Promise<number> {
    const old = await this.waitForLeader();
    this.stopController(old);
    return old;
  }

  /** Sends a copy of a heartbeat to every running controller. */
  async deliver(heartbeat: string): Promise<void> {
    await Promise.all(
      this.ports.map(({ bind }) =>
        fetch(`http://127.0.0.1:${bind}/checkin`, { method: 'POST', body: heartbeat })
          .then((response) => response.arrayBuffer())
          .catch(() => undefined),
      ),
    );
  }

  // Machines

  /** Workers of all machines. */
  get workers(): Worker[] {
    return [...this.rules.workers.values()];
  }

  /** Workers that run tasks of a job. */
  hosts(ref: string): Worker[] {
    return this.workers.filter((worker) => this.tasks(ref, [worker]).length > 0);
  }

  /** Tasks of a job that occupy machines. */
  tasks(ref: string, workers = this.workers): Task[] {
    return workers.flatMap((worker) =>
      worker.tasks.filter((task) => task.piece.startsWith(`${ref}/`) && occupies(task)),
    );
  }

  /** Waits until exactly this number of tasks of a job run. */
  async waitForRunning(ref: string, count: number): Promise<void> {
    await until(
      `${count} tasks of ${ref} run`,
      () => this.tasks(ref).filter((task) => task.temper === 'running').length === count,
    );
  }

  /** Waits until no task of a job occupies a machine. */
  async waitForGone(ref: string): Promise<void> {
    await until(`no task of ${ref} occupies a machine`, () => this.tasks(ref).length === 0);
  }

  // Shutdown

  /** Fails if any rule of the protocol was violated. */
  assertRules(): void {
    assert.deepEqual(this.rules.violations, []);
  }

  /** Stops everything; fails if any rule of the protocol was violated. */
  close(): void {
    // Requests that still wait would keep the process alive.
    for (const access of this.storeAccess) access.refuses = access.holdsWatches = false;
    this.store.down = false;
    for (const index of this.indexes) this.stopController(index);
    for (const { proxy } of this.links) proxy.close();
    for (const standIn of [
      ...this.storeProxies,
      ...this.storeAccess,
      this.cloud,
      this.store,
      this.rules,
    ]) {
      standIn.close();
    }
    this.assertRules();
  }
}

/** A row of a table of test scenarios. */
export interface ScenarioRow {
  name: string;
}

/** Rows that run in parallel; with more, a busy machine would be too late for their leases. */
const PARALLEL_ROWS = 3;

/** Runs every row with its own cluster; fails with the names of the rows that failed. */
export async function runScenarios<R extends ScenarioRow>(
  rows: R[],
  options: Partial<ClusterOptions>,
  play: (cluster: Cluster, row: R) => Promise<void>,
): Promise<void> {
  const failures: string[] = [];
  for (let i = 0; i < rows.length; i += PARALLEL_ROWS) {
    const batch = rows.slice(i, i + PARALLEL_ROWS).map((row) =>
      runScenario(options, row, play).catch((error) => {
        failures.push(`${row.name}: ${String(error)}`);
      }),
    );
    await Promise.all(batch);
  }
  assert.deepEqual(failures, []);
}

async function runScenario<R extends ScenarioRow>(
  options: Partial<ClusterOptions>,
  row: R,
  play: (cluster: Cluster, row: R) => Promise<void>,
): Promise<void> {
  const cluster = await Cluster.start(options);
  let failure: unknown = null;
  try {
    await play(cluster, row);
  } catch (error) {
    failure = error;
  }
  // A violation of a rule takes precedence: it explains more than the failures that follow from it.
  cluster.close();
  if (failure !== null) throw failure as Error;
}
