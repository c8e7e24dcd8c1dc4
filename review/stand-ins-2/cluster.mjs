/** A small deployment: three controllers as processes, with the stand-ins of everything outside. */

import { spawn } from 'node:child_process';
import { createWriteStream, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { connect, createServer } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import process from 'node:process';
import { clearTimeout, setTimeout } from 'node:timers';
import { freePorts, oneConnection, now, Record, send, sleep, until } from './base.mjs';
import { Fleet } from './machines.mjs';
import { Store } from './store.mjs';

/** A TCP proxy. `mode`: 'pass'; 'reset': connections are reset; 'hold': packets wait and are delivered later in order. */
export class Gate {
  constructor(target) {
    this.target = target;
    this.mode = 'pass';
    this.pairs = new Set();
  }

  async listen() {
    this.server = createServer((from) => this.accept(from));
    await new Promise((resolve) => this.server.listen(0, '127.0.0.1', resolve));
    this.port = this.server.address().port;
  }

  accept(from) {
    from.on('error', () => undefined);
    if (this.mode === 'reset') {
      from.destroy();
      return;
    }
    const to = connect(this.target, '127.0.0.1');
    const pair = { from, to };
    this.pairs.add(pair);
    to.on('error', () => undefined);
    const end = () => {
      if (this.mode === 'hold') return;
      from.destroy();
      to.destroy();
      this.pairs.delete(pair);
    };
    from.on('close', end);
    to.on('close', end);
    if (this.mode === 'hold') {
      from.pause();
      to.pause();
    }
    from.on('data', (data) => to.write(data));
    to.on('data', (data) => from.write(data));
  }

  setMode(mode) {
    this.mode = mode;
    for (const { from, to } of this.pairs) {
      if (mode === 'hold') {
        from.pause();
        to.pause();
      } else if (mode === 'reset') {
        from.destroy();
        to.destroy();
      } else {
        from.resume();
        to.resume();
      }
    }
  }

  close() {
    this.setMode('reset');
    this.server.close();
  }
}

/** Settings like those of the operators in BRIEF: limits of Indus Labworks, unless given otherwise. */
const DEFAULTS = {
  zones: ['karachi-east'],
  nodeZones: ['karachi-east', 'karachi-east', 'karachi-east'],
  leaseS: 10,
  reportS: 1,
  cancelS: 30,
  gangWaitS: 40,
  gangPeerS: 5,
  state: { rps: 250, writeRps: 25, valueKb: 32, txnOps: 20 },
  cloud: { rps: 2, lagS: 5 },
  limits: { cpuShare: 0.17, memMb: 114, sockets: 500 },
  teams: [
    { name: 'chemlab-team', gpus: 80, most: 144 },
    { name: 'results-desk', gpus: 80, most: 200 },
  ],
  type: {
    name: 'sindh-forty-eight', cores: 48, gpus: 8, mem_gb: 384, local_gb: 600,
    pull_gb_per_s: 40, hourly: 21.94, spot_price: 5.52, startup_s: 25, yards: ['karachi-east'],
  },
  bootS: 2,
}; // prettier-ignore

export class Cluster {
  constructor(folder, options = {}) {
    this.options = { ...DEFAULTS, ...options };
    this.folder = folder;
    this.record = new Record(join(folder, 'record.txt'));
    this.names = this.options.nodeZones.map((_zone, i) => `shelfhand-${i}`);
    this.children = [];
    this.gates = { store: [], peer: new Map() };
    this.scratch = mkdtempSync(join(tmpdir(), 'review-'));
    const { state, cloud, type, leaseS, reportS, gangWaitS, bootS, most } = this.options;
    this.store = new Store({
      limits: state,
      nodes: this.names.length,
      record: this.record,
    });
    this.fleet = new Fleet({
      ...{
        record: this.record,
        type,
        lagS: cloud.lagS,
        rps: cloud.rps,
        leaseS,
        reportS,
        gangWaitS,
        bootS,
      },
      ...{ nodeNames: this.names, most },
    });
    process.on('exit', () => this.killAll());
    for (const signal of ['SIGINT', 'SIGTERM']) process.on(signal, () => process.exit(2));
  }

  async start() {
    await this.store.listen();
    await this.fleet.listen();
    const ports = await freePorts(this.names.length * 2);
    this.binds = ports.slice(0, this.names.length);
    this.peers = ports.slice(this.names.length);
    this.fleet.nodePorts = this.binds;
    for (const i of this.names.keys()) {
      const gate = new Gate(this.store.ports[i]);
      await gate.listen();
      this.gates.store.push(gate);
      for (const j of this.names.keys()) {
        if (i === j) continue;
        const link = new Gate(this.peers[j]);
        await link.listen();
        this.gates.peer.set(`${i}-${j}`, link);
      }
    }
    for (const i of this.names.keys()) this.startNode(i);
    const ready = async () => {
      for (const i of this.names.keys()) {
        const { status } = await this.ask(i, 'GET', '/ready', undefined, 1);
        if (status !== 200) return false;
      }
      return (await this.leader()) >= 0;
    };
    if (!(await until(ready, 30))) throw new Error('the controllers did not become ready');
    this.record.add('ready', { leader: await this.leader() });
  }

  settings(i) {
    const { options } = this;
    const seeds = this.names
      .map((name, j) =>
        j === i
          ? ''
          : `[[seeds]]\nhost_name = "${name}"\ndomain = "${options.nodeZones[j]}"\naddr = "127.0.0.1:${this.gates.peer.get(`${i}-${j}`).port}"\n`,
      )
      .join('');
    const teams = options.teams
      .map(
        ({ name, gpus, most }) =>
          `[[settings.teams]]\nname = "${name}"\ncpus = 0.0\ncpus_max = 0.0\ngpus = ${gpus}.0\ngpus_max = ${most}.0\n`,
      )
      .join('');
    const { state, cloud, limits } = options;
    return `host_name = "${this.names[i]}"
domain = "${options.nodeZones[i]}"
bind = "127.0.0.1:${this.binds[i]}"
peer_bind = "127.0.0.1:${this.peers[i]}"
${seeds}
[endpoints]
cloud = "127.0.0.1:${this.fleet.ports[i]}"
state = "127.0.0.1:${this.gates.store[i].port}"
[settings]
count = ${this.names.length}
zones = [${options.zones.map((zone) => `"${zone}"`).join(', ')}]
skew_ms = 100.0
${teams}
[settings.workers]
report_s = ${options.reportS}
lease_s = ${options.leaseS}
gang_wait_s = ${options.gangWaitS}
gang_peer_s = ${options.gangPeerS}
cancel_s = ${options.cancelS}
[settings.state]
rps = ${state.rps}
write_rps = ${state.writeRps}
value_kb = ${state.valueKb}
txn_ops = ${state.txnOps}
[settings.cloud]
rps = ${cloud.rps}
list_lag_s = ${cloud.lagS}
[settings.limits]
cpu_share = ${limits.cpuShare}
mem_mb = ${limits.memMb}
sockets = ${limits.sockets}
`;
  }

  /** Starts a controller with the command of the deploy file. */
  startNode(i) {
    const file = join(this.scratch, `${this.names[i]}.toml`);
    writeFileSync(file, this.settings(i));
    const run = /^run = "(.*)"$/m.exec(readFileSync('deploy/service.toml', 'utf8'))[1].split(' ');
    const program = run[0] === 'node' ? process.execPath : run[0];
    const child = spawn(program, [...run.slice(1), file], {
      stdio: ['ignore', 'ignore', 'pipe'],
      // In a session of its own: a stopped process of an orphaned group would get SIGHUP.
      detached: true,
      env: { ...process.env, LOG_LEVEL: process.env.LOG_LEVEL ?? 'info' },
    });
    child.stderr.pipe(
      createWriteStream(join(this.folder, `${this.names[i]}.log`), {
        flags: this.children[i] === undefined ? 'w' : 'a',
      }),
    );
    child.on('exit', (code, signal) => {
      if (!child.expected) this.record.add('controller ended', { node: i, code, signal });
    });
    this.children[i] = child;
  }

  signal(i, name) {
    this.record.add('signal', { node: i, name });
    this.children[i].expected = name === 'SIGKILL';
    this.children[i].kill(name);
  }

  ask(i, method, path, body, timeoutS = 5, agent = undefined) {
    return send({ port: this.binds[i], method, path, body, timeoutS, agent });
  }

  async metrics(i) {
    return (await this.ask(i, 'GET', '/metrics', undefined, 1)).body;
  }

  /** Index of the controller that leads; -1: none says so. */
  async leader(except = -1) {
    for (const i of this.names.keys()) {
      if (i === except) continue;
      const role = (await this.metrics(i))?.role;
      if (role === 'leading' || role === 'continuing') return i;
    }
    return -1;
  }

  /** A submission with the fields of the protocol. */
  job(ref, over = {}, runS = 60) {
    const submission = {
      ref, guild: 'report-marker', crew: 'results-desk', form: 'batch', rank: 'high', pieces: 1,
      cores: 8, gpus: 2, mem_gb: 50, mould: 'marker-3', image_gb: 4, castings: null, yard: null,
      one_zone: false, scatter: false, loaner: false, reckon_s: runS, stamp_s: 0, stamping_s: 0,
      due_s: null, ...over,
    }; // prettier-ignore
    this.fleet.jobs.set(ref, { submission, runS, completed: new Set() });
    return submission;
  }

  /** Submits once. */
  async submit(i, submission, timeoutS = 5, agent = undefined) {
    const answer = await this.ask(i, 'POST', '/submissions', submission, timeoutS, agent);
    this.record.add('submission', {
      ...{
        node: i,
        ref: submission.ref,
        status: answer.status,
        temper: answer.body?.temper,
      },
    });
    return answer;
  }

  /** Submits as users do: again after a second, for up to 60 s. */
  async submitUntilAccepted(i, submission, limitS = 60) {
    const end = now() + limitS;
    for (;;) {
      const { status } = await this.submit(i, submission);
      if (status === 200 || status === 201) return true;
      if (status === 400 || status === 422 || now() > end) return false;
      await sleep(1);
    }
  }

  async poll(i, ref, agent = undefined) {
    const answer = await this.ask(i, 'GET', `/submissions/${ref}`, undefined, 2, agent);
    this.record.add('poll', {
      node: i,
      ref,
      status: answer.status,
      ...answer.body,
    });
    return answer;
  }

  async withdraw(i, ref) {
    const answer = await this.ask(i, 'POST', `/submissions/${ref}/withdraw`, {}, 5);
    this.record.add('withdraw', {
      node: i,
      ref,
      status: answer.status,
      ...answer.body,
    });
    return answer;
  }

  /** A user's own connection. */
  connection() {
    return oneConnection();
  }

  killAll() {
    for (const child of this.children)
      if (child !== undefined && child.exitCode === null && child.signalCode === null) {
        child.expected = true;
        child.kill('SIGKILL');
      }
  }

  close() {
    this.killAll();
    this.fleet.close();
    this.store.close();
    for (const gate of this.gates.store) gate.close();
    for (const gate of this.gates.peer.values()) gate.close();
    rmSync(this.scratch, { recursive: true, force: true });
  }
}

/** Runs a case and exits: 0 if the rule held, 1 if it was broken, 2 if the case could not run. */
export async function runCase(folder, options, play) {
  const trouble = process.env.TROUBLE !== '0';
  const cluster = new Cluster(folder, options);
  // A fault of the script itself must not pass for a broken rule.
  process.on('uncaughtException', (error) => {
    cluster.record.add('could not run', { error: String(error?.stack ?? error) });
    process.exit(2);
  });
  const limit = setTimeout(() => {
    cluster.record.add('out of time');
    process.exit(2);
  }, 118_000);
  let code = 2;
  try {
    await cluster.start();
    const broken = await play(cluster, trouble);
    code = broken.length > 0 ? 1 : 0;
    cluster.record.add('result', { trouble, code, broken });
    process.stdout.write(`${code === 1 ? 'broken' : 'held'}: ${broken.join('; ')}\n`);
  } catch (error) {
    cluster.record.add('could not run', {
      error: String(error?.stack ?? error),
    });
    process.stdout.write(`could not run: ${String(error)}\n`);
  }
  clearTimeout(limit);
  cluster.close();
  process.exit(code);
}
