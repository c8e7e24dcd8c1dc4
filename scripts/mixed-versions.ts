import assert from 'node:assert/strict';
import { spawn, type ChildProcess } from 'node:child_process';
import { createWriteStream, mkdirSync, writeFileSync } from 'node:fs';
import { join, resolve } from 'node:path';
import { Command } from 'commander';
import {
  freePort,
  GANG_PEER_S,
  settingsText,
  TEAMS_GPUS_MAX,
  until,
  wait,
  type Ports,
} from '../test/helpers.js';
import { Cloud, MACHINE_GPUS } from '../test/standins/cloud.js';
import { RuleChecker } from '../test/standins/rules.js';
import { StateService } from '../test/standins/state.js';
import { submission, Users } from '../test/standins/users.js';
import { positive } from './options.js';
import { buildProduction } from './production-build.js';

/**
 * Rolls a cluster of real processes from the version in production to the present one, on loopback and
 * against the stand-ins of the tests: work of the old version goes on, both serve side by side, one process
 * ends and comes back old, pipelines are submitted and one is cancelled in the middle, the limits of the
 * state service are lowered. Fails where a rule of the protocol is broken or a job has the wrong end.
 *
 *     npm run mixed-versions -- --rounds 3
 */

const CONTROLLERS = 3;
const LEASE_S = 3;
const CANCEL_S = LEASE_S * 3;
const NEXT_LIMITS = 'value_kb = 2.0\ntxn_ops = 4\nwrite_rps = 150.0';
const LOGS = 'target/mixed-versions';
const LONG_S = 600;

/** A pipeline's jobs by their place in it; `round` keeps ids apart. */
const refOf = (round: number, pipeline: number, stage: number): string =>
  `wk-${String(round * 1000 + pipeline * 10 + stage).padStart(6, '0')}`;

class Rollout {
  readonly state = new StateService();
  readonly rules = new RuleChecker({
    cancelS: CANCEL_S,
    teams: new Map([['t', TEAMS_GPUS_MAX]]),
    machineGpus: MACHINE_GPUS,
  });
  readonly cloud = new Cloud(this.rules, { leaseS: LEASE_S, gangPeerS: GANG_PEER_S });
  private readonly ports: Ports[] = [];
  readonly users = new Users(this.ports, this.rules);
  private readonly processes = new Map<number, ChildProcess>();

  constructor(
    private readonly builds: { old: string; now: string },
    private readonly round: number,
  ) {}

  async listen(): Promise<void> {
    await this.state.listen();
    await this.cloud.listen();
    for (let i = 0; i < CONTROLLERS; i++) {
      this.ports.push({ bind: await freePort(), peer: await freePort() });
    }
    this.cloud.around.controllers = this.ports.map((p) => p.bind);
  }

  start(index: number, version: 'old' | 'now'): void {
    const zones = this.ports.map(() => 'z1');
    const { port: cloud } = this.cloud;
    const { port: state } = this.state;
    const text = settingsText(
      index,
      this.ports,
      cloud,
      state,
      LEASE_S,
      zones,
      CANCEL_S,
      NEXT_LIMITS,
    );
    mkdirSync(LOGS, { recursive: true });
    const file = join(LOGS, `${this.round}-${index}.toml`);
    writeFileSync(file, text);
    const program = join(this.builds[version], 'target/launch.cjs');
    const child = spawn(process.execPath, [program, '--config', resolve(file)], {
      stdio: ['ignore', 'inherit', 'pipe'],
    });
    const log = createWriteStream(join(LOGS, `${this.round}-${index}.log`), { flags: 'a' });
    child.stderr.pipe(log);
    this.processes.set(index, child);
  }

  /** Without a signal that it could handle. */
  async end(index: number): Promise<void> {
    const child = this.processes.get(index);
    if (child === undefined || child.exitCode !== null) return;
    const gone = new Promise((done) => child.once('exit', done));
    child.kill('SIGKILL');
    await gone;
  }

  async serves(index: number): Promise<void> {
    const url = `http://127.0.0.1:${this.ports[index]!.bind}/ready`;
    const isReady = (): Promise<boolean> =>
      fetch(url).then(
        (r) => r.ok,
        () => false,
      );
    await until(`controller ${index} is ready`, isReady);
  }

  async replace(index: number, version: 'old' | 'now'): Promise<void> {
    await this.end(index);
    await wait(LEASE_S * 200);
    this.start(index, version);
    await this.serves(index);
  }

  runs(ref: string, tasks: number): boolean {
    const running = [...this.rules.workers.values()].flatMap((w) => w.tasks);
    return (
      running.filter((t) => t.piece.startsWith(`${ref}/`) && t.temper === 'running').length >= tasks
    );
  }

  async close(): Promise<void> {
    for (const index of this.processes.keys()) await this.end(index);
    this.cloud.close();
    this.state.close();
    this.rules.close();
  }
}

async function playRound(builds: { old: string; now: string }, round: number): Promise<void> {
  const rollout = new Rollout(builds, round);
  const { users, state, rules } = rollout;
  const service = refOf(round, 90, 0);
  const array = refOf(round, 90, 1);
  const nodes = [...Array(CONTROLLERS).keys()];
  try {
    await rollout.listen();
    for (const index of nodes) rollout.start(index, 'old');
    for (const index of nodes) await rollout.serves(index);
    await users.submit(0, service, { form: 'daemon', pieces: 2 });
    await users.submit(1, array, { pieces: 4 }, LEASE_S * 4);
    await until('the old work runs', () => rollout.runs(service, 2) && rollout.runs(array, 4));

    await rollout.replace(0, 'now');
    await rollout.replace(1, 'old');
    const early = await users.submitOnce(0, submission(refOf(round, 80, 1), { awaits: [array] }));
    assert.equal(early.status, 503, 'refused while an old version is present');
    for (const index of [1, 2]) {
      const mixed = refOf(round, 91, index);
      await users.submit(index, mixed, {}, 0.3);
      await rollout.replace(index, 'now');
      for (const at of nodes) await users.sees(at, mixed, 'done');
    }

    await submitPipeline(rollout, round, 1, LONG_S);
    await submitPipeline(rollout, round, 2, 0.3);
    await until('the first job runs', () => rollout.runs(refOf(round, 1, 0), 2));
    state.limits = { valueBytes: 2048, operations: 4 };
    await Promise.all([
      users.cancel(1, refOf(round, 1, 0)),
      rollout.replace(round % CONTROLLERS, 'now'),
    ]);
    for (const at of nodes) {
      for (const stage of [0, 1, 2]) {
        await users.sees(at, refOf(round, 1, stage), 'cancelled');
        await users.sees(at, refOf(round, 2, stage), 'done');
      }
      await users.sees(at, array, 'done');
    }
    assert.ok(rollout.runs(service, 2), 'the service that the old version started still runs');
    assert.equal(rules.starts.get(`${service}/0`), 1, 'and was started once');
    assert.equal(state.tooLarge, 0, 'nothing was refused for its size');
  } finally {
    await rollout.close();
  }
  assert.deepEqual(rules.violations, []);
}

/** Three jobs, one after another; `firstS`: how long the first one runs. */
async function submitPipeline(
  rollout: Rollout,
  round: number,
  pipeline: number,
  firstS: number,
): Promise<void> {
  for (const stage of [0, 1, 2]) {
    const awaits = stage === 0 ? null : [refOf(round, pipeline, stage - 1)];
    const runS = stage === 0 ? firstS : 0.3;
    await rollout.users.submit(
      stage % CONTROLLERS,
      refOf(round, pipeline, stage),
      { pieces: 2, awaits },
      runS,
    );
  }
}

const program = new Command('mixed-versions')
  .option('--rounds <n>', 'how often it is played', positive, 1)
  .parse();
const { rounds } = program.opts<{ rounds: number }>();
const builds = { old: buildProduction(), now: resolve('.') };
for (let round = 1; round <= rounds; round++) {
  const began = Date.now();
  await playRound(builds, round);
  process.stdout.write(
    `round ${round}: no rule broken, ${Math.round((Date.now() - began) / 1000)} s\n`,
  );
}
process.exit(0);
