// A small deployment on loopback: controllers as processes, started with the command of the deploy file, and stand-ins.
import { spawn } from 'node:child_process';
import fs from 'node:fs';
import os from 'node:os';
import path from 'node:path';
import process from 'node:process';
import { fileURLToPath } from 'node:url';
import { setTimeout } from 'node:timers';
import { Proxy, ask, freePort, nowMs, seededRandom, wait } from './base.mjs';
import { Checker } from './checker.mjs';
import { Cloud } from './cloud.mjs';
import { Store, StoreAccess } from './store.mjs';

const ROOT = path.resolve(path.dirname(fileURLToPath(import.meta.url)), '../..');

const runCommand = () => {
  const text = fs.readFileSync(path.join(ROOT, 'deploy/service.toml'), 'utf8');
  return /^run = "(.*)"$/m.exec(text)[1].split(' ');
};

/** The figures of the Indus deployment's page, with three controllers. */
export const INDUS = {
  zones: ['karachi-east', 'karachi-east', 'karachi-east'],
  state: { rps: 250, write_rps: 25, value_kb: 32, txn_ops: 20 },
  cloud: { rps: 2, list_lag_s: 5 },
  workers: { report_s: 1, lease_s: 10, gang_wait_s: 40, gang_peer_s: 5, cancel_s: 30 },
  limits: { cpu_share: 0.17, mem_mb: 114, sockets: 500 },
  teams: [
    { name: 'chemlab-team', gpus: 16, gpus_max: 24 },
    { name: 'results-desk', gpus: 16, gpus_max: 32 },
  ],
  machineType: {
    ...{ name: 'sindh-forty-eight', cores: 48, gpus: 8, mem_gb: 384, local_gb: 300 },
    ...{ pull_gb_per_s: 9, hourly: 21.94, spot_price: 5.52, startup_s: 6 },
  },
};

const number = (value) => (Number.isInteger(value) ? `${value}.0` : String(value));

export class Deployment {
  /** What the stand-ins share, see `Worker`. */
  jobs = new Map();
  workers = new Map();
  results = new Set();
  saved = new Map();
  /** Tasks that failed, and where. */
  errors = [];
  record = [];
  processes = [];
  links = [];
  refs = 0;
  constructor(options = {}) {
    const { seed = 1, capacity = 8, ...rest } = options;
    this.options = { ...INDUS, ...rest };
    this.random = seededRandom(seed);
    this.times = this.options.workers;
    this.teams = new Map(this.options.teams.map((team) => [team.name, team]));
    this.zoneNames = [...new Set(this.options.zones)];
    this.machineType = { ...this.options.machineType, yards: this.zoneNames };
    this.nodeNames = this.options.zones.map((_, i) => `shelfhand-${i}`);
    this.startedAt = nowMs();
    this.folder = fs.mkdtempSync(path.join(os.tmpdir(), 'pewtershelf-review-'));
    this.checker = new Checker(this);
    this.store = new Store(this.options.state, this.random);
    const perZone = new Map(this.zoneNames.map((zone) => [zone, capacity]));
    const { list_lag_s: lagS, rps } = this.options.cloud;
    this.cloud = new Cloud(this, { capacity: perZone, lagS, rps });
    this.access = this.options.zones.map(() => new StoreAccess(this.store));
  }

  note(what, detail = {}) {
    const at = ((nowMs() - this.startedAt) / 1000).toFixed(3);
    this.record.push(`${at} ${what} ${JSON.stringify(detail)}`);
  }

  async listen() {
    await this.cloud.listen();
    this.binds = [];
    this.peerPorts = [];
    for (const access of this.access) {
      await access.listen();
      this.binds.push(await freePort());
      this.peerPorts.push(await freePort());
    }
    this.storeProxies = [];
    for (const access of this.access) {
      const proxy = new Proxy(access.port);
      await proxy.listen();
      this.storeProxies.push(proxy);
    }
    for (const from of this.binds.keys())
      for (const to of this.binds.keys()) {
        if (from === to) continue;
        const proxy = new Proxy(this.peerPorts[to]);
        await proxy.listen();
        this.links.push({ from, to, proxy });
      }
  }

  settingsText(index) {
    const { zones, state, cloud, workers, limits, teams, next } = this.options;
    const table = (name, values) =>
      [
        `[${name}]`,
        ...Object.entries(values).map(
          ([k, v]) =>
            `${k} = ${Number.isInteger(v) && ['txn_ops', 'sockets'].includes(k) ? v : number(v)}`,
        ),
        '',
      ].join('\n');
    const seeds = this.links
      .filter((link) => link.from === index)
      .map(
        ({ to, proxy }) =>
          `[[seeds]]\nhost_name = "${this.nodeNames[to]}"\ndomain = "${zones[to]}"\naddr = "127.0.0.1:${proxy.port}"\n`,
      );
    return [
      `host_name = "${this.nodeNames[index]}"`,
      `domain = "${zones[index]}"`,
      `bind = "127.0.0.1:${this.binds[index]}"`,
      `peer_bind = "127.0.0.1:${this.peerPorts[index]}"\n`,
      ...seeds,
      `[endpoints]\ncloud = "127.0.0.1:${this.cloud.port}"\nstate = "127.0.0.1:${this.storeProxies[index].port}"\n`,
      `[settings]\ncount = ${zones.length}\nzones = [${this.zoneNames.map((z) => `"${z}"`).join(', ')}]\nskew_ms = 100.0\n`,
      ...teams.map(
        (t) =>
          `[[settings.teams]]\nname = "${t.name}"\ncpus = 0.0\ncpus_max = 0.0\ngpus = ${number(t.gpus)}\ngpus_max = ${number(t.gpus_max)}\n`,
      ),
      table('settings.workers', workers),
      table('settings.state', state),
      ...(next === undefined ? [] : [table('settings.state.next', next)]),
      table('settings.cloud', cloud),
      table('settings.limits', limits),
    ].join('\n');
  }

  // Controllers

  startController(index) {
    if (this.isRunning(index)) return;
    const file = path.join(this.folder, `${this.nodeNames[index]}.toml`);
    fs.writeFileSync(file, this.settingsText(index));
    const [program, ...args] = [...runCommand(), file];
    const child = spawn(program, args, {
      cwd: ROOT,
      stdio: ['ignore', 'ignore', 'pipe'],
      env: { ...process.env, LOG_LEVEL: process.env.LOG_LEVEL ?? 'info' },
    });
    child.stderr.pipe(
      fs.createWriteStream(path.join(this.folder, `${this.nodeNames[index]}.log`), { flags: 'a' }),
    );
    this.note('controller started', { node: index });
    this.processes[index] = child;
    child.on('exit', (code, signal) => {
      if (this.processes[index] !== child || child.expected) return;
      this.note('controller ended by itself', { node: index, code, signal });
      this.checker.add('crash', `${this.nodeNames[index]} ended by itself: ${code ?? signal}`);
    });
  }

  isRunning(index) {
    const child = this.processes[index];
    return child !== undefined && child.exitCode === null && child.signalCode === null;
  }

  async killController(index) {
    const child = this.processes[index];
    if (!this.isRunning(index)) return;
    child.expected = true;
    const gone = new Promise((resolve) => child.once('exit', resolve));
    child.kill('SIGKILL');
    await gone;
    this.note('controller killed', { node: index });
  }

  freeze(index) {
    if (this.isRunning(index)) this.processes[index].kill('SIGSTOP');
    this.note('controller stopped (SIGSTOP)', { node: index });
  }

  thaw(index) {
    if (this.isRunning(index)) this.processes[index].kill('SIGCONT');
    this.note('controller continued (SIGCONT)', { node: index });
  }

  async metrics(index) {
    const answer = await ask(this.binds[index], 'GET', '/metrics', undefined, 1000);
    return answer?.status === 200 ? answer.body : null;
  }

  /** Index of the leader by the controllers' own word; -1: none. */
  async leader() {
    for (const index of this.binds.keys()) {
      const figures = await this.metrics(index);
      if (figures?.role === 'leading' || figures?.role === 'continuing') return index;
    }
    return -1;
  }

  async waitForLeader(timeoutS = 20) {
    const end = nowMs() + timeoutS * 1000;
    for (;;) {
      const leader = await this.leader();
      if (leader >= 0) return leader;
      if (nowMs() > end) throw new Error('no leader');
      await wait(100);
    }
  }

  async waitUntil(what, condition, timeoutS = 30) {
    const end = nowMs() + timeoutS * 1000;
    while (!(await condition())) {
      if (nowMs() > end) throw new Error(`timed out: ${what}`);
      await wait(50);
    }
  }

  async start({ machines = 0, loaners = 0 } = {}) {
    await this.listen();
    for (const yard of this.zoneNames) {
      const place = { casting: this.machineType.name, yard };
      await this.cloud.addInitial(machines, { ...place, loaner: false });
      await this.cloud.addInitial(loaners, { ...place, loaner: true });
    }
    for (const index of this.binds.keys()) this.startController(index);
    for (const index of this.binds.keys())
      await this.waitUntil(`controller ${index} is ready`, async () => {
        const answer = await ask(this.binds[index], 'GET', '/ready', undefined, 1000);
        return answer?.status === 200;
      });
    await this.waitForLeader();
  }

  setLinks(mode, ...indexes) {
    for (const { from, to, proxy } of this.links)
      if (indexes.includes(from) || indexes.includes(to)) proxy.setMode(mode);
  }

  // Users

  submission(over = {}) {
    const ref = over.ref ?? `wk-${String(100_000 + this.refs++)}`;
    return {
      ...{ ref, guild: 'report-marker', crew: 'results-desk', form: 'batch', rank: 'standard' },
      ...{
        pieces: 1,
        cores: 4,
        gpus: 1,
        mem_gb: 25,
        mould: 'img-1',
        image_gb: 4.5,
        castings: null,
      },
      ...{ yard: null, one_zone: over.form === 'group', scatter: false, loaner: false },
      ...{ reckon_s: 5, stamp_s: 0, stamping_s: 0, due_s: null, ...over },
    };
  }

  async send(index, kind, ref, method, url, body) {
    const before = this.checker.before(ref);
    const answer = await ask(this.binds[index], method, url, body, kind === 'poll' ? 2000 : 5000);
    const status = answer?.status ?? 0;
    const state = String(answer?.body?.temper ?? '');
    this.note(kind, { node: index, ref, status, state });
    this.checker.answered(kind, ref, before, status, state);
    return { status, state, body: answer?.body };
  }

  /** `failsAfterS`: submitted with a mistake, its tasks fail on every machine after so long; null: it is sound. */
  submitOnce(index, submission, runS = submission.reckon_s, failsAfterS = null) {
    const { ref } = submission;
    if (!this.jobs.has(ref))
      this.jobs.set(ref, {
        ...{
          submission,
          runS,
          failsAfterS,
          accepted: false,
          final: null,
          cancelAsked: false,
          cancelledAt: null,
        },
      });
    return this.send(index, 'submit', ref, 'POST', '/submissions', submission);
  }

  poll(index, ref) {
    return this.send(index, 'poll', ref, 'GET', `/submissions/${ref}`);
  }

  cancelOnce(index, ref) {
    const job = this.jobs.get(ref);
    if (job !== undefined) job.cancelAsked = true;
    return this.send(index, 'cancel', ref, 'POST', `/submissions/${ref}/withdraw`, {});
  }

  /** Repeats a request for 60 s, as users do, at nodes in turn. */
  async repeat(once, isAnswered, forS = 60) {
    const end = nowMs() + forS * 1000;
    let index = Math.floor(this.random() * this.binds.length);
    for (;;) {
      const answer = await once(index);
      if (isAnswered(answer)) return answer;
      if (nowMs() > end) return null;
      await wait(1000);
      index = (index + 1) % this.binds.length;
    }
  }

  submit(submission, runS) {
    return this.repeat(
      (index) => this.submitOnce(index, submission, runS),
      ({ status }) => [200, 201, 400, 422].includes(status),
    );
  }

  cancel(ref) {
    return this.repeat(
      (index) => this.cancelOnce(index, ref),
      ({ status }) => status === 200 || status === 404,
    );
  }

  tasksOf(ref) {
    const found = [];
    for (const worker of this.workers.values())
      for (const task of worker.tasks)
        if (task.piece.startsWith(`${ref}/`)) found.push({ worker, task });
    return found;
  }

  writeRecord(file) {
    fs.writeFileSync(file, `${this.record.join('\n')}\n`);
  }

  async close({ keepLogs = false } = {}) {
    this.checker.close();
    for (const index of this.processes.keys()) {
      if (this.isRunning(index)) this.processes[index].kill('SIGCONT');
      await this.killController(index);
    }
    for (const { proxy } of this.links) proxy.close();
    for (const proxy of this.storeProxies ?? []) proxy.close();
    this.store.close();
    for (const access of this.access) access.close();
    this.cloud.close();
    if (!keepLogs) fs.rmSync(this.folder, { recursive: true, force: true });
    setTimeout(() => undefined, 0);
  }
}
