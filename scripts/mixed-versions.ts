import assert from 'node:assert/strict';
import { resolve } from 'node:path';
import { Command } from 'commander';
import { until, wait } from '../test/helpers.js';
import { ProcessCluster } from '../test/standins/process-cluster.js';
import { submission } from '../test/standins/users.js';
import { positive } from './options.js';
import { buildVersion, productionCommit } from './production-build.js';

/**
 * Upgrades a cluster of real processes from the version in production to the present one, on loopback and
 * against the stand-ins of the tests. Jobs of the old version keep running, both versions serve at the same time,
 * one process is killed and restarted with the old version, pipelines are submitted and one is cancelled while it
 * runs, and the limits of the key-value store are lowered. Fails if a rule of the protocol is violated or a job
 * has a wrong final state.
 *
 *     npm run mixed-versions -- --rounds 3
 *     npm run mixed-versions -- --old COMMIT --pipelines
 */

const CONTROLLERS = 3;
const LEASE_S = 3;
const CANCEL_S = LEASE_S * 3;
const NEXT_LIMITS = 'value_kb = 2.0\ntxn_ops = 4\nwrite_rps = 150.0';
const LOG_DIRECTORY = 'target/mixed-versions';
const LONG_TASK_S = 600;

/** The id of a job by its stage in a pipeline; `round` makes ids distinct. */
const jobIdOf = (round: number, pipeline: number, stage: number): string =>
  `wk-${String(round * 1000 + pipeline * 10 + stage).padStart(6, '0')}`;

class Rollout extends ProcessCluster {
  constructor(
    private readonly builds: { old: string; now: string },
    round: number,
  ) {
    super({
      controllers: CONTROLLERS,
      leaseS: LEASE_S,
      cancelS: CANCEL_S,
      nextLimits: NEXT_LIMITS,
      directory: LOG_DIRECTORY,
      label: String(round),
    });
  }

  startVersion(index: number, version: 'old' | 'now'): void {
    this.start(index, this.builds[version]);
  }

  async replaceWith(index: number, version: 'old' | 'now'): Promise<void> {
    await this.kill(index);
    await wait(LEASE_S * 200);
    this.startVersion(index, version);
    await this.waitForReady(index);
  }

  isRunning(ref: string, tasks: number): boolean {
    const running = [...this.rules.workers.values()].flatMap((worker) => worker.tasks);
    return (
      running.filter((t) => t.piece.startsWith(`${ref}/`) && t.temper === 'running').length >= tasks
    );
  }
}

async function runRound(builds: { old: string; now: string }, round: number): Promise<void> {
  const rollout = new Rollout(builds, round);
  const { users, store, rules } = rollout;
  const service = jobIdOf(round, 90, 0);
  const array = jobIdOf(round, 90, 1);
  const nodes = [...Array(CONTROLLERS).keys()];
  try {
    await rollout.listen();
    for (const index of nodes) rollout.startVersion(index, 'old');
    for (const index of nodes) await rollout.waitForReady(index);
    await users.submit(0, service, { form: 'daemon', pieces: 2 });
    await users.submit(1, array, { pieces: 4 }, LEASE_S * 4);
    await until(
      'the jobs of the old version run',
      () => rollout.isRunning(service, 2) && rollout.isRunning(array, 4),
    );

    await rollout.replaceWith(0, 'now');
    await rollout.replaceWith(1, 'old');
    const early = await users.submitOnce(0, submission(jobIdOf(round, 80, 1), { awaits: [array] }));
    assert.equal(
      early.status,
      pipelinesKnown ? 201 : 503,
      'a pipeline is submitted while both versions run',
    );
    for (const index of [1, 2]) {
      const mixed = jobIdOf(round, 91, index);
      await users.submit(index, mixed, {}, 0.3);
      await rollout.replaceWith(index, 'now');
      for (const at of nodes) await users.waitForState(at, mixed, 'done');
    }

    await submitPipeline(rollout, round, 1, LONG_TASK_S);
    await submitPipeline(rollout, round, 2, 0.3);
    await until('the first job runs', () => rollout.isRunning(jobIdOf(round, 1, 0), 2));
    store.limits = { valueBytes: 2048, operations: 4 };
    await Promise.all([
      users.cancel(1, jobIdOf(round, 1, 0)),
      rollout.replaceWith(round % CONTROLLERS, 'now'),
    ]);
    for (const at of nodes) {
      for (const stage of [0, 1, 2]) {
        await users.waitForState(at, jobIdOf(round, 1, stage), 'cancelled');
        await users.waitForState(at, jobIdOf(round, 2, stage), 'done');
      }
      await users.waitForState(at, array, 'done');
    }
    assert.ok(
      rollout.isRunning(service, 2),
      'the service that the old version started is still running',
    );
    assert.equal(rules.starts.get(`${service}/0`), 1, 'a task of the service was started once');
    assert.equal(store.tooLarge, 0, 'nothing was refused for its size');
  } finally {
    await rollout.close();
  }
  assert.deepEqual(rules.violations, []);
}

/** Submits three jobs, each of which depends on the one before; `firstS`: run time of the first one. */
async function submitPipeline(
  rollout: Rollout,
  round: number,
  pipeline: number,
  firstS: number,
): Promise<void> {
  for (const stage of [0, 1, 2]) {
    const awaits = stage === 0 ? null : [jobIdOf(round, pipeline, stage - 1)];
    const runS = stage === 0 ? firstS : 0.3;
    await rollout.users.submit(
      stage % CONTROLLERS,
      jobIdOf(round, pipeline, stage),
      { pieces: 2, awaits },
      runS,
    );
  }
}

const program = new Command('mixed-versions')
  .option('--rounds <n>', 'number of rounds', positive, 1)
  .option('--old <commit>', 'the version to upgrade from; default: the one in production')
  .option('--pipelines', 'the old version supports pipelines')
  .parse();
const options = program.opts<{ rounds: number; old?: string; pipelines?: true }>();
const builds = { old: buildVersion(options.old ?? productionCommit()), now: resolve('.') };
const rounds = options.rounds;
const pipelinesKnown = options.pipelines === true;
for (let round = 1; round <= rounds; round++) {
  const began = Date.now();
  await runRound(builds, round);
  process.stdout.write(
    `round ${round}: no rule violated, ${Math.round((Date.now() - began) / 1000)} s\n`,
  );
}
process.exit(0);
