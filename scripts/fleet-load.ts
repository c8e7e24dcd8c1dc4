import { spawn, type ChildProcess } from 'node:child_process';
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { Agent, request } from 'node:http';
import { tmpdir } from 'node:os';
import { join, resolve } from 'node:path';
import * as records from '../src/store/records.js';
import { freePort, g8, settingsText, spec, until, wait, type Ports } from '../test/helpers.js';
import { Cloud, MACHINE_GPUS } from '../test/standins/cloud.js';
import { RuleChecker } from '../test/standins/rules.js';
import { StoreServer } from '../test/standins/state.js';

/**
 * Runs controllers of a build as separate processes on loopback against stand-ins of the outside systems, with a
 * simulated fleet of machines and users that load them. The store holds as many jobs as after a long day.
 */

const LEASE_S = 10;
/**
 * If this were shorter than a lease, a leader would be entitled for no longer than the TTL of its own lease after
 * its last read of the store. On a store without changes it would then lose its leadership repeatedly.
 */
const CANCEL_S = 3 * LEASE_S;
/** Jobs in the store for each machine; the ended ones have the lowest ids. */
const JOBS_PER_MACHINE = 12;
const SERVICES_PER_MACHINE = 2;
/** Number of the first submitted job, above those in the store. */
const FIRST_SUBMITTED = 500_000;
/** Linux accounts processor time in hundredths of a second. */
const TICKS_PER_S = 100;
/** Interval at which calls that are due are made, and at which the exit of a process is checked. */
const POLL_INTERVAL_MS = 5;

export interface FleetOptions {
  machines: number;
  /** The checkout whose program in `target/` is run. */
  checkout: string;
  /** Zones of the controllers, one for each. */
  zones: string[];
  machineZone: string;
  /** Additional command-line options of the controllers. */
  options?: string[];
}

export interface HttpAnswer {
  /** 0: no answer. */
  status: number;
  body: string;
}

export interface Controller {
  process: ChildProcess;
  port: number;
  name: string;
  /** Its output on standard error. */
  output: string;
  /** Processor seconds from its start until it was first ready. */
  startS: number;
}

interface Task {
  piece: string;
  pour: number;
  temper: string;
  cause?: string;
}

const jobId = (i: number): string => `wk-${String(i).padStart(6, '0')}`;
const hostId = (i: number): string => `host-${String(i).padStart(6, '0')}`;

/** Processor seconds of all threads of a process, in steps of 0.01. */
export function processorSeconds(pid: number): number {
  const [user, system] = readFileSync(`/proc/${pid}/stat`, 'utf8').split(' ').slice(13, 15);
  return (Number(user) + Number(system)) / TICKS_PER_S;
}

/** Memory of a process in MB: resident, peak resident or private. */
export function memoryMb(pid: number, name: 'VmRSS' | 'VmHWM' | 'RssAnon'): number {
  const status = readFileSync(`/proc/${pid}/status`, 'utf8');
  return Number(new RegExp(`${name}:\\s+(\\d+)`).exec(status)![1]) / 1024;
}

/** Makes calls at an even rate, independent of the resolution of timers. Returns a function that stops them. */
export function paced(perSecond: number, work: () => unknown): () => void {
  const startedAt = performance.now();
  let done = 0;
  const timer = setInterval(() => {
    const due = ((performance.now() - startedAt) / 1000) * perSecond;
    for (; done < due; done++) void work();
  }, POLL_INTERVAL_MS);
  return () => clearInterval(timer);
}

/** A simulated machine that sends heartbeats and executes commands. */
class Machine {
  private readonly tasks: Task[];
  private sequence = 0;
  private token = 1;

  constructor(
    private readonly index: number,
    private readonly zone: string,
    /** Index of the controller that receives its heartbeats. */
    public controllerIndex: number,
    private readonly post: (controller: number, path: string, body: string) => Promise<HttpAnswer>,
    claims: records.Claim[],
  ) {
    this.tasks = claims.map((claim) => ({
      piece: `${claim.job}/0`,
      pour: 1,
      temper: 'running',
    }));
  }

  /** Sends a heartbeat and executes the commands in the answer. Returns the status; 0: no answer. */
  async sendHeartbeat(): Promise<number> {
    const body = JSON.stringify({
      bench: hostId(this.index), addr: '127.0.0.1:1', casting: 'g8', yard: this.zone, loaner: false,
      shift: 1, tally: ++this.sequence, hallmark: this.token, recall_s: null, pieces: this.tasks,
    }); // prettier-ignore
    const { status, body: text } = await this.post(this.controllerIndex, '/checkin', body);
    const answer = (text === '' ? {} : JSON.parse(text)) as {
      hallmark?: number;
      orders?: { verb: string; piece: string; pour: number }[];
      foreman?: string;
    };
    if (status === 421 && answer.foreman !== undefined) {
      this.controllerIndex = Number(answer.foreman.split('-')[1]);
    }
    if (status !== 200) return status;
    this.token = answer.hallmark!;
    for (const order of answer.orders!) this.execute(order.verb, order.piece, order.pour);
    return status;
  }

  private execute(verb: string, piece: string, pour: number): void {
    const at = this.tasks.findIndex((p) => p.piece === piece && p.pour === pour);
    if (verb === 'start' && at < 0) {
      const started: Task = { piece, pour, temper: 'running' };
      this.tasks.push(started);
      const runMs = 5000 + Math.random() * 20000;
      setTimeout(() => Object.assign(started, { temper: 'ended', cause: 'done' }), runMs);
    }
    if (verb === 'kill' && at >= 0) {
      Object.assign(this.tasks[at]!, { temper: 'ended', cause: 'halted' });
    }
    if (verb === 'reap' && at >= 0) this.tasks.splice(at, 1);
  }
}

const submission = (id: string): string =>
  JSON.stringify({
    ref: id, guild: 'c', crew: 't', form: 'batch', rank: 'standard', pieces: 3, cores: 0.1, gpus: 0.1,
    mem_gb: 1, mould: 'image-1', image_gb: 34.3, castings: null, yard: null, one_zone: false,
    scatter: false, loaner: false, reckon_s: 15, stamp_s: 0, stamping_s: 0, due_s: null,
  }); // prettier-ignore

/** The controllers, stand-ins and machines of one run. */
export class Fleet {
  readonly controllers: Controller[] = [];
  readonly machines: Machine[];
  /** Number of jobs submitted so far, also those that were not accepted. */
  submitted = 0;
  private readonly agent = new Agent({ keepAlive: true });
  private readonly state = new StoreServer();
  private readonly rules = new RuleChecker({
    cancelS: CANCEL_S,
    teams: new Map(),
    machineGpus: MACHINE_GPUS,
  });
  private readonly cloud = new Cloud(this.rules, { leaseS: LEASE_S, gangPeerS: 1 });

  constructor(private readonly options: FleetOptions) {
    const post = (controller: number, path: string, body: string): Promise<HttpAnswer> =>
      this.call(controller, 'POST', path, body);
    this.machines = Array.from(
      { length: options.machines },
      (_, i) =>
        new Machine(i, options.machineZone, i % options.zones.length, post, this.claimsOf(i)),
    );
  }

  /** Starts everything; resolves once all controllers are ready. */
  async start(): Promise<void> {
    this.state.pageSize = 1000;
    this.fillStore();
    await this.state.listen();
    await this.cloud.listen();
    const dir = mkdtempSync(join(tmpdir(), 'pewtershelf-fleet-'));
    try {
      await this.startControllers(dir);
    } finally {
      rmSync(dir, { recursive: true });
    }
  }

  private get endedJobCount(): number {
    return this.options.machines * (JOBS_PER_MACHINE - SERVICES_PER_MACHINE);
  }

  private claimsOf(machine: number): records.Claim[] {
    return Array.from({ length: SERVICES_PER_MACHINE }, (_, k) => ({
      job: jobId(this.endedJobCount + machine * SERVICES_PER_MACHINE + k),
      index: 0,
      attempt: 1,
    }));
  }

  /** Fills the store with the data of a long day: ended jobs, services, and machines with their claims. */
  private fillStore(): void {
    const { state, options } = this;
    const put = (key: string, data: unknown): void => {
      const value = JSON.parse(JSON.stringify(data)) as unknown;
      state.keys.set(key, { value, revision: ++state.revision, leaseId: undefined });
    };
    put(records.MACHINE_TYPES, records.encodeMachineTypes([g8]));
    for (let i = 0; i < options.machines * JOBS_PER_MACHINE; i++) {
      const isOver = i < this.endedJobCount;
      const kind = isOver ? 'array' : 'service';
      const jobs = [
        { spec: spec({ id: jobId(i), kind, cores: 0.1 }), acceptedAtMs: Date.now() - 300_000 },
      ];
      const cancelledIds = isOver ? [jobId(i)] : [];
      put(`${records.JOBS}x-${i}`, records.encodeRequestBatch({ jobs, cancelledIds }));
    }
    const images = Array.from({ length: 12 }, (_, k): [string, number] => [`image-${k}`, 34.3]);
    for (let i = 0; i < options.machines; i++) {
      const value = records.encodeMachine({
        owner: 'n-1', term: 1, addr: '127.0.0.1:1', type: 'g8', zone: options.machineZone, spot: false,
        returning: false, claims: this.claimsOf(i), images,
      }); // prettier-ignore
      put(records.machineKey(hostId(i)), value);
    }
  }

  private async startControllers(dir: string): Promise<void> {
    const { zones } = this.options;
    const ports: Ports[] = [];
    while (ports.length < zones.length) {
      ports.push({ bind: await freePort(), peer: await freePort() });
    }
    zones.forEach((_, i) => {
      const config = join(dir, `${i}.toml`);
      const { cloud, state } = this;
      writeFileSync(
        config,
        settingsText(i, ports, cloud.port, state.port, LEASE_S, zones, CANCEL_S),
      );
      this.controllers.push(this.spawnController(`n-${i}`, ports[i]!.bind, config));
    });
    await Promise.all(this.controllers.map((_, i) => this.waitUntilReady(i)));
  }

  private spawnController(name: string, port: number, config: string): Controller {
    const program = resolve(this.options.checkout, 'target/launch.cjs');
    const args = [program, ...(this.options.options ?? []), '--config', config];
    const child = spawn(process.execPath, args, {
      env: { LOG_LEVEL: 'error' },
      stdio: ['ignore', 'ignore', 'pipe'],
    });
    const controller = { process: child, port, name, output: '', startS: 0 };
    child.stderr.on('data', (data: Buffer) => (controller.output += data.toString()));
    return controller;
  }

  private async waitUntilReady(index: number): Promise<void> {
    const controller = this.controllers[index]!;
    await until(`${controller.name} is ready`, async () => {
      if (controller.process.exitCode !== null)
        throw new Error(`exited during the start: ${controller.output}`);
      return (await this.call(index, 'GET', '/ready')).status === 200;
    });
    controller.startS = processorSeconds(controller.process.pid!);
  }

  /** Sends a request to the controller with this index. */
  call(controller: number, method: string, path: string, body = ''): Promise<HttpAnswer> {
    const { port } = this.controllers[controller]!;
    const { agent } = this;
    return new Promise((done) => {
      const headers = { 'content-length': Buffer.byteLength(body) };
      const outgoing = request({ host: '127.0.0.1', port, method, path, headers, agent }, (res) => {
        let text = '';
        res.on('data', (data: Buffer) => (text += data.toString()));
        res.on('end', () => done({ status: res.statusCode ?? 0, body: text }));
      });
      outgoing.on('error', () => done({ status: 0, body: '' }));
      outgoing.end(body);
    });
  }

  /** Sends heartbeats of the machines in turn, `perSecond` in total. Returns a function that stops them. */
  startHeartbeats(
    perSecond: number,
    onSent: () => unknown = () => undefined,
    onAnswer: (status: number) => unknown = () => undefined,
  ): () => void {
    let turn = 0;
    return paced(perSecond, async () => {
      onSent();
      onAnswer(await this.machines[turn++ % this.machines.length]!.sendHeartbeat());
    });
  }

  /** Submits a job. Returns whether it was accepted. */
  async submit(controller: number): Promise<boolean> {
    const id = jobId(FIRST_SUBMITTED + this.submitted++);
    const { status } = await this.call(controller, 'POST', '/submissions', submission(id));
    return status >= 200 && status < 300;
  }

  /** Polls the state of a random submitted job. */
  poll(controller: number): Promise<HttpAnswer> {
    const id = jobId(FIRST_SUBMITTED + Math.floor(Math.random() * this.submitted));
    return this.call(controller, 'GET', `/submissions/${id}`);
  }

  /** The answer of a controller to `GET /metrics`. */
  async metrics(controller: number): Promise<Record<string, number | string | null>> {
    const { body } = await this.call(controller, 'GET', '/metrics');
    return JSON.parse(body) as Record<string, number | string | null>;
  }

  /** Stops the controllers and closes the stand-ins. */
  async close(): Promise<void> {
    for (const c of this.controllers) c.process.kill();
    await Promise.all(this.controllers.map((c) => waitForExit(c.process)));
    this.agent.destroy();
    this.cloud.close();
    this.rules.close();
    this.state.close();
  }
}

async function waitForExit(child: ChildProcess): Promise<void> {
  while (child.exitCode === null && child.signalCode === null) await wait(POLL_INTERVAL_MS);
}
