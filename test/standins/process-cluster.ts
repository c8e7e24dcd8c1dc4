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
import { StateService } from './state.js';
import { Users } from './users.js';

/** How many processes there are, and with which settings. */
export interface ProcessClusterOptions {
  controllers: number;
  leaseS: number;
  cancelS: number;
  /** Limits of the state service that its settings announce, TOML. */
  nextLimits?: string;
  /** Where settings and logs go; names begin with the label. */
  directory: string;
  label: string;
}

/** Controllers as real processes on loopback, with all that surrounds them. */
export class ProcessCluster {
  readonly state = new StateService();
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

  /** The controllers' numbers. */
  get indexes(): number[] {
    return [...Array(this.options.controllers).keys()];
  }

  /** Starts the stand-ins and finds ports for the controllers. */
  async listen(): Promise<void> {
    await this.state.listen();
    await this.cloud.listen();
    while (this.ports.length < this.options.controllers) {
      this.ports.push({ bind: await freePort(), peer: await freePort() });
    }
    this.cloud.around.controllers = this.ports.map((port) => port.bind);
  }

  /** `build`: the folder of the version; `features`: a features file, TOML; empty: none. */
  start(index: number, build = resolve('.'), features = ''): void {
    const { leaseS, cancelS, nextLimits, directory, label } = this.options;
    const zones = this.ports.map(() => 'z1');
    const { port: cloud } = this.cloud;
    const { port: state } = this.state;
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

  /** Without a signal that it could handle. */
  async end(index: number): Promise<void> {
    const child = this.processes.get(index);
    if (child === undefined || child.exitCode !== null || child.signalCode !== null) return;
    const gone = new Promise((done) => child.once('exit', done));
    child.kill('SIGKILL');
    await gone;
  }

  /** It does nothing at all until it is thawed. */
  freeze(index: number): void {
    this.processes.get(index)!.kill('SIGSTOP');
  }

  /** A frozen process goes on. */
  thaw(index: number): void {
    this.processes.get(index)!.kill('SIGCONT');
  }

  /** Waits until a controller answers that it is ready. */
  async serves(index: number): Promise<void> {
    const url = `http://127.0.0.1:${this.ports[index]!.bind}/ready`;
    const isReady = (): Promise<boolean> =>
      fetch(url).then(
        (response) => response.ok,
        () => false,
      );
    await until(`controller ${index} is ready`, isReady);
  }

  /** What a controller answers to a GET; null: nothing, or no JSON. */
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

  /** The controller that leads, as it says itself; -1: none does. */
  async leader(): Promise<number> {
    for (const index of this.indexes) {
      const figures = await this.ask(index, '/metrics');
      if (figures?.role === 'leading' || figures?.role === 'continuing') return index;
    }
    return -1;
  }

  /** Waits for a leader other than the one given. Returns its number. */
  async newLeader(other = -1): Promise<number> {
    let leader = -1;
    await until('a leader', async () => {
      leader = await this.leader();
      return leader >= 0 && leader !== other;
    });
    return leader;
  }

  /** Ends all processes and stand-ins. */
  async close(): Promise<void> {
    for (const index of this.processes.keys()) await this.end(index);
    this.cloud.close();
    this.state.close();
    this.rules.close();
  }
}
