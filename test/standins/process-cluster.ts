import { spawn, type ChildProcess } from 'node:child_process';
import { createWriteStream, mkdirSync, writeFileSync } from 'node:fs';
import { join, resolve } from 'node:path';
import {
  freePort,
  GANG_PEER_S,
  settingsText,
  TEAMS_GPUS_MAX,
  until,
  type Ports,
} from '../helpers.js';
import { Cloud, MACHINE_GPUS } from './cloud.js';
import { RuleChecker } from './rules.js';
import { StoreServer } from './state.js';
import { Users } from './users.js';

/** Number and settings of the processes. */
export interface ProcessClusterOptions {
  controllers: number;
  leaseS: number;
  cancelS: number;
  /** Announced future limits of the key-value store in the settings, TOML. */
  nextLimits?: string;
  /** Directory of settings files and logs; their names begin with the label. */
  directory: string;
  label: string;
}

/** Controllers as real processes on loopback, with stand-ins of the outside systems. */
export class ProcessCluster {
  readonly store = new StoreServer();
  readonly rules: RuleChecker;
  readonly cloud: Cloud;
  readonly ports: Ports[] = [];
  readonly users: Users;
  private readonly processes = new Map<number, ChildProcess>();

  constructor(private readonly options: ProcessClusterOptions) {
    const { leaseS, cancelS } = options;
    const teams = new Map([['t', TEAMS_GPUS_MAX]]);
    this.rules = new RuleChecker({ cancelS, teams, machineGpus: MACHINE_GPUS });
    this.cloud = new Cloud(this.rules, { leaseS, gangPeerS: GANG_PEER_S });
    this.users = new Users(this.ports, this.rules);
  }

  /** Indexes of the controllers. */
  get indexes(): number[] {
    return [...Array(this.options.controllers).keys()];
  }

  /** Starts the stand-ins and reserves ports for the controllers. */
  async listen(): Promise<void> {
    await this.store.listen();
    await this.cloud.listen();
    while (this.ports.length < this.options.controllers) {
      this.ports.push({ bind: await freePort(), peer: await freePort() });
    }
    this.cloud.fleetContext.controllers = this.ports.map((port) => port.bind);
  }

  /** Starts a controller. `build`: the folder of the version; `features`: text of a features file, TOML; empty: none. */
  start(index: number, build = resolve('.'), features = ''): void {
    const { leaseS, cancelS, nextLimits, directory, label } = this.options;
    const zones = this.ports.map(() => 'z1');
    const { port: cloud } = this.cloud;
    const { port: state } = this.store;
    const text = settingsText(
      index, this.ports, cloud, state, leaseS, zones, cancelS, nextLimits,
    ); // prettier-ignore
    mkdirSync(directory, { recursive: true });
    const file = join(directory, `${label}-${index}`);
    writeFileSync(`${file}.toml`, text);
    writeFileSync(`${file}.features.toml`, features);
    const extra = features === '' ? [] : ['--features', resolve(`${file}.features.toml`)];
    const program = join(build, 'target/launch.cjs');
    const child = spawn(
      process.execPath,
      [program, ...extra, '--config', resolve(`${file}.toml`)],
      { stdio: ['ignore', 'inherit', 'pipe'] },
    );
    child.stderr.pipe(createWriteStream(`${file}.log`, { flags: 'a' }));
    this.processes.set(index, child);
  }

  /** Kills a controller with SIGKILL and waits for its exit. */
  async kill(index: number): Promise<void> {
    const child = this.processes.get(index);
    if (child === undefined || child.exitCode !== null || child.signalCode !== null) return;
    const gone = new Promise((done) => child.once('exit', done));
    child.kill('SIGKILL');
    await gone;
  }

  /** Freezes a controller with SIGSTOP. */
  freeze(index: number): void {
    this.processes.get(index)!.kill('SIGSTOP');
  }

  /** Resumes a frozen controller with SIGCONT. */
  thaw(index: number): void {
    this.processes.get(index)!.kill('SIGCONT');
  }

  /** Waits until a controller reports that it is ready. */
  async waitForReady(index: number): Promise<void> {
    const url = `http://127.0.0.1:${this.ports[index]!.bind}/ready`;
    const isReady = (): Promise<boolean> =>
      fetch(url).then(
        (response) => response.ok,
        () => false,
      );
    await until(`controller ${index} is ready`, isReady);
  }

  /** The JSON answer of a controller to a GET; null: no answer, or not JSON. */
  async ask(index: number, path: string): Promise<Record<string, unknown> | null> {
    try {
      const response = await fetch(`http://127.0.0.1:${this.ports[index]!.bind}${path}`, {
        signal: AbortSignal.timeout(1000),
      });
      return (await response.json()) as Record<string, unknown>;
    } catch {
      return null;
    }
  }

  /** Index of the first controller that reports to be the leader; -1: none does. */
  async leader(): Promise<number> {
    for (const index of this.indexes) {
      const figures = await this.ask(index, '/metrics');
      if (figures?.role === 'leading' || figures?.role === 'continuing') return index;
    }
    return -1;
  }

  /** Waits for a leader other than the given one. Returns its index. */
  async waitForLeader(other = -1): Promise<number> {
    let leader = -1;
    await until('a leader', async () => {
      leader = await this.leader();
      return leader >= 0 && leader !== other;
    });
    return leader;
  }

  /** Kills all processes and closes the stand-ins. */
  async close(): Promise<void> {
    for (const index of this.processes.keys()) await this.kill(index);
    this.cloud.close();
    this.store.close();
    this.rules.close();
  }
}
