import { spawn, type ChildProcess } from 'node:child_process';
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { Agent, request } from 'node:http';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import * as records from '../src/state/records.js';
import { freePort, g8, settingsText, spec, until, wait, type Ports } from '../test/helpers.js';
import { Cloud, MACHINE_GPUS } from '../test/standins/cloud.js';
import { RuleChecker } from '../test/standins/rules.js';
import { StateService } from '../test/standins/state.js';

/**
 * Runs three controllers, as built, against stand-ins with a fleet's load, and prints where the
 * processor time of each went and what memory it holds:
 *
 *     npm run profile -- [MACHINES [SECONDS [WAIT]]]
 *
 * The fleet: each machine reports once a second and runs two services; jobs are submitted and asked for
 * all the while; the store holds as many jobs as a long day leaves behind.
 */

const MACHINES = Number(process.argv[2] ?? 170);
const SECONDS = Number(process.argv[3] ?? 30);
const LEASE_S = 10;
/** Seconds before samples are taken; 0: the start and the reading of the store are in them. */
const SETTLE_S = Number(process.argv[4] ?? 10);
const SUBMITTED_PER_S = 2;
const POLLS_PER_S = 10;
/** Jobs in the store for each machine; those that are over come first. */
const JOBS_PER_MACHINE = 12;
const SERVICES_PER_MACHINE = 2;
const ZONES = ['z1', 'z2', 'z1'];

const jobId = (i: number): string => `wk-${String(i).padStart(6, '0')}`;
const hostId = (i: number): string => `host-${String(i).padStart(6, '0')}`;
const over = MACHINES * (JOBS_PER_MACHINE - SERVICES_PER_MACHINE);

const agent = new Agent({ keepAlive: true });

/** The answer's status and body; status 0: none. */
function call(port: number, method: string, path: string, body = ''): Promise<[number, string]> {
  return new Promise((resolve) => {
    const headers = { 'content-length': Buffer.byteLength(body) };
    const r = request({ host: '127.0.0.1', port, method, path, headers, agent }, (res) => {
      let text = '';
      res.on('data', (d: Buffer) => (text += d.toString()));
      res.on('end', () => resolve([res.statusCode ?? 0, text]));
    });
    r.on('error', () => resolve([0, '']));
    r.end(body);
  });
}

interface Piece {
  piece: string;
  pour: number;
  temper: string;
  cause?: string;
}

/** A machine that reports, and runs what it is told to. */
class Machine {
  private readonly pieces: Piece[];
  private tally = 0;
  private hallmark = 1;

  constructor(
    private readonly index: number,
    private at: number,
    private readonly ports: number[],
  ) {
    this.pieces = claimsOf(index).map((c) => ({
      piece: `${c.job}/0`,
      pour: 1,
      temper: 'running',
    }));
  }

  async report(): Promise<void> {
    const body = JSON.stringify({
      bench: hostId(this.index), addr: '127.0.0.1:1', casting: 'g8', yard: 'z1', loaner: false,
      shift: 1, tally: ++this.tally, hallmark: this.hallmark, recall_s: null, pieces: this.pieces,
    }); // prettier-ignore
    const [status, text] = await call(this.ports[this.at]!, 'POST', '/checkin', body);
    const answer = (text === '' ? {} : JSON.parse(text)) as {
      hallmark?: number;
      orders?: { verb: string; piece: string; pour: number }[];
      foreman?: string;
    };
    if (status === 421 && answer.foreman !== undefined) {
      this.at = Number(answer.foreman.split('-')[1]);
    }
    if (status !== 200) return;
    this.hallmark = answer.hallmark!;
    for (const order of answer.orders!) this.obey(order.verb, order.piece, order.pour);
  }

  private obey(verb: string, piece: string, pour: number): void {
    const at = this.pieces.findIndex((p) => p.piece === piece && p.pour === pour);
    if (verb === 'start' && at < 0) {
      const started: Piece = { piece, pour, temper: 'running' };
      this.pieces.push(started);
      const runs = 5000 + Math.random() * 20000;
      setTimeout(() => Object.assign(started, { temper: 'ended', cause: 'done' }), runs);
    }
    if (verb === 'kill' && at >= 0) {
      Object.assign(this.pieces[at]!, { temper: 'ended', cause: 'halted' });
    }
    if (verb === 'reap' && at >= 0) this.pieces.splice(at, 1);
  }
}

const claimsOf = (machine: number): records.Claim[] =>
  Array.from({ length: SERVICES_PER_MACHINE }, (_, k) => ({
    job: jobId(over + machine * SERVICES_PER_MACHINE + k),
    index: 0,
    attempt: 1,
  }));

/** A store as a long day leaves it: jobs that are over, services, machines with their claims. */
function fillStore(state: StateService): void {
  const put = (key: string, data: unknown): void => {
    const value = JSON.parse(JSON.stringify(data)) as unknown;
    state.keys.set(key, { value, mark: ++state.ledger, loan: undefined });
  };
  put(records.TYPES, records.encodeTypes([g8]));
  for (let i = 0; i < MACHINES * JOBS_PER_MACHINE; i++) {
    const isOver = i < over;
    const kind = isOver ? 'array' : 'service';
    const jobs = [{ spec: spec({ id: jobId(i), kind, cores: 0.1 }), atMs: Date.now() - 300_000 }];
    const cancels = isOver ? [jobId(i)] : [];
    put(`${records.JOBS}x-${i}`, records.encodeSubmissions({ jobs, cancels }));
  }
  const images = Array.from({ length: 12 }, (_, k): [string, number] => [`image-${k}`, 34.3]);
  for (let i = 0; i < MACHINES; i++) {
    const value = records.encodeMachine({
      owner: 'n-1', term: 1, addr: '127.0.0.1:1', type: 'g8', zone: 'z1', spot: false,
      returning: false, claims: claimsOf(i), images,
    }); // prettier-ignore
    put(records.machineKey(hostId(i)), value);
  }
}

const submission = (id: string): string =>
  JSON.stringify({
    ref: id, guild: 'c', crew: 't', form: 'batch', rank: 'standard', pieces: 3, cores: 0.1, gpus: 0.1,
    mem_gb: 1, mould: 'image-1', image_gb: 34.3, castings: null, yard: null, one_zone: false,
    scatter: false, loaner: false, reckon_s: 15, stamp_s: 0, stamping_s: 0, due_s: null,
  }); // prettier-ignore

interface Controller {
  process: ChildProcess;
  port: number;
  name: string;
  output: string;
}

/** Processor seconds, resident and private memory in MB of a process, as Linux accounts them. */
function usage(pid: number): string {
  const [user, system] = readFileSync(`/proc/${pid}/stat`, 'utf8').split(' ').slice(13, 15);
  const status = readFileSync(`/proc/${pid}/status`, 'utf8');
  const mb = (name: string): string =>
    (Number(new RegExp(`${name}:\\s+(\\d+)`).exec(status)![1]) / 1024).toFixed(1);
  const cpu = ((Number(user) + Number(system)) / 100).toFixed(2);
  return `${cpu} s of processor time since the start; memory ${mb('VmRSS')} MB, at most ${mb('VmHWM')}, private ${mb('RssAnon')}`;
}

async function startControllers(fleet: number, state: number): Promise<Controller[]> {
  const dir = mkdtempSync(join(tmpdir(), 'pewtershelf-profile-'));
  const ports: Ports[] = [];
  while (ports.length < ZONES.length) {
    ports.push({ bind: await freePort(), peer: await freePort() });
  }
  const controllers = ZONES.map((_, i) => {
    const config = join(dir, `${i}.toml`);
    writeFileSync(config, settingsText(i, ports, fleet, state, LEASE_S, ZONES));
    const args = ['target/launch.cjs', '--profile', `${SETTLE_S}+${SECONDS}`, '--config', config];
    const child = spawn(process.execPath, args, {
      env: { LOG_LEVEL: 'error' },
      stdio: ['ignore', 'ignore', 'pipe'],
    });
    const controller = { process: child, port: ports[i]!.bind, name: `n-${i}`, output: '' };
    child.stderr.on('data', (d: Buffer) => (controller.output += d.toString()));
    return controller;
  });
  await until('all controllers answer', async () => {
    const answers = await Promise.all(controllers.map((c) => call(c.port, 'GET', '/ready')));
    return answers.every(([status]) => status === 200);
  });
  rmSync(dir, { recursive: true });
  return controllers;
}

/** Spreads calls evenly over time. Returns what ends them. */
function every(ms: number, work: () => unknown): () => void {
  const timer = setInterval(() => void work(), ms);
  return () => clearInterval(timer);
}

const state = new StateService();
const rules = new RuleChecker({ cancelS: LEASE_S, teams: new Map(), machineGpus: MACHINE_GPUS });
const cloud = new Cloud(rules, { leaseS: LEASE_S, gangPeerS: 1 });
state.page = 1000;
fillStore(state);
await state.listen();
await cloud.listen();
const controllers = await startControllers(cloud.port, state.port);
const ports = controllers.map((c) => c.port);
const machines = Array.from({ length: MACHINES }, (_, i) => new Machine(i, i % 3, ports));
let turn = 0;
let submitted = 0;
const stops = [
  every(1000 / MACHINES, () => machines[turn++ % MACHINES]!.report()),
  every(1000 / SUBMITTED_PER_S, () => {
    const id = jobId(500_000 + submitted++);
    return call(ports[submitted % 3]!, 'POST', '/submissions', submission(id));
  }),
  every(1000 / POLLS_PER_S, () => {
    const id = jobId(500_000 + Math.floor(Math.random() * submitted));
    return call(ports[turn % 3]!, 'GET', `/submissions/${id}`);
  }),
];
await until('profiles', () => controllers.every((c) => c.output !== ''), SETTLE_S + SECONDS + 30);
await wait(200);
process.stdout.write(`${MACHINES} machines, ${submitted} jobs submitted\n`);
for (const c of controllers) {
  const figures = JSON.parse((await call(c.port, 'GET', '/metrics'))[1]) as { role: string };
  process.stdout.write(`\n== ${c.name}, ${figures.role}: ${usage(c.process.pid!)}\n${c.output}`);
}
for (const stop of stops) stop();
for (const c of controllers) c.process.kill();
agent.destroy();
cloud.close();
rules.close();
state.close();
