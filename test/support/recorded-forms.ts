/**
 * All external formats, as produced by the current code: messages, stored records, responses, settings
 * errors, `/metrics`, help texts, and the decisions of the scheduler. `npm run fixtures` writes them to
 * `test/fixtures/recorded-forms.json`, and `test/recorded-forms.test.ts` compares them with that file. A
 * difference means a change of a wire format, a stored format or a decision, never of an internal name.
 */
import { spawnSync } from 'node:child_process';
import { readFileSync } from 'node:fs';
import { RequestQueue } from '../../src/admission/request-queue.js';
import { Overload } from '../../src/admission/overload.js';
import { parseSettings, SettingsError, type Settings } from '../../src/config/settings.js';
import { Controller } from '../../src/controller/controller.js';
import { LatencyHistograms } from '../../src/latency-histograms.js';
import { FeaturesError, featuresRecord, parseFeatures } from '../../src/features/features-file.js';
import { encodeReply, type Reply } from '../../src/http/server.js';
import { termStatistics } from '../../src/leader/term/statistics.js';
import { loansTable } from '../../src/lending/command.js';
import { decodeLoan, encodeLoan, LOAN_STATES, type Loan } from '../../src/lending/loan.js';
import { loansView } from '../../src/lending/view.js';
import { silentLog } from '../../src/log.js';
import { DEFAULT_POLICY } from '../../src/operator/policy.js';
import { seedRandom } from '../../src/random.js';
import * as records from '../../src/store/records.js';
import { billTable, statusTable } from '../../src/warm-pools/command.js';
import {
  decodeSlot,
  encodeSlot,
  plannedSlot,
  SLOT_STATES,
  type Slot,
} from '../../src/warm-pools/slot.js';
import { poolsView } from '../../src/warm-pools/view.js';
import * as cloud from '../../src/wire/cloud.js';
import { settings, settingsText, spec } from '../helpers.js';
import { LeaderWorld } from './leader-world.js';
import { SchedulerWorld } from './scheduler-world.js';
import { poolText, warmPools } from './warm-pool-world.js';
import {
  jsonRoundTrip,
  resultOrError,
  storeMessages,
  workerMessages,
  userMessages,
  cloudMessages,
  peerMessages,
  type RecordedForms,
} from './recorded-messages.js';

export type { RecordedForms } from './recorded-messages.js';

/** The file that `npm run fixtures` writes. */
export const RECORDED_FORMS_FILE = 'test/fixtures/recorded-forms.json';

const MAIN = new URL('../../src/main.js', import.meta.url).pathname;

const fullSpec = spec({
  id: 'wk-000412',
  kind: 'gang',
  tasks: 16,
  types: ['g8'],
  zone: 'z1',
  oneZone: true,
  scatter: true,
  spot: true,
  checkpointS: 30,
  saveS: 4,
  deadlineS: 900,
  dependencies: ['wk-000398', 'wk-000399'],
});

function storedRecords(): RecordedForms {
  const machine: records.MachineRecord = {
    owner: 'n-0', term: 41, token: 43, addr: '10.1.0.232:9000', type: 'g8', zone: 'a', spot: true,
    returning: true, claims: Array.from({ length: 40 }, (_, index) => (
      { job: `wk-${index % 3}`, index, attempt: 41 }
    )),
    images: Array.from({ length: 8 }, (_, i): [string, number] => [`img-${i}`, 6.2]),
  }; // prettier-ignore
  const submissions = records.encodeRequestBatch({
    jobs: [fullSpec, spec({ kind: 'service' })].map((each) => ({ spec: each, acceptedAtMs: 1000 })),
    cancelledIds: ['wk-000398'],
  });
  const progress = [
    records.encodeProgress({ bits: null, attainedS: 12.4 }),
    records.encodeProgress({ bits: 'AQ==', attainedS: 3, doneMs: 1000.4, tasks: 7 }),
  ];
  const versions = [
    records.encodeVersion({ features: ['pipelines'] }),
    records.encodeVersion({ features: [], file: { hash: 'ab', subsystems: ['lending'] } }),
  ];
  const machines = [
    records.encodeMachine(machine),
    records.encodeMachine(machine, 512, 'dense'),
    records.encodeMachine(machine, 512, 'plain'),
  ];
  const leader = records.encodeLeader({ node: 'n-0', incarnation: 'n-0-x/1' });
  const acknowledgement = records.encodeAcknowledgement({ token: 41, remainsS: -0.5 });
  const types = records.encodeMachineTypes(cloud.parseTypes({
    castings: [{ name: 'g8', cores: 96, gpus: 8, mem_gb: 768, hourly: 12, yards: ['a'] }],
  })); // prettier-ignore
  return {
    keys: [
      records.ROOT, records.JOBS, records.DEPENDENT_JOBS, records.VERSIONS, records.PROGRESS,
      records.PROGRESS_PARTS, records.MACHINES, records.CONTROLLERS, records.ACKNOWLEDGEMENTS, records.LEADER,
      records.MACHINE_TYPES, records.SUBSYSTEMS, records.progressKey('wk-1', 2),
      records.progressPartKey('wk-1', 3), records.controllerKey('n-0'), records.versionKey('n-0'),
      records.acknowledgementKey('n-0'), records.subsystemPrefix('lending'), records.machineKey('host-1'),
    ],
    submissions,
    submissionsAgain: records.encodeRequestBatch(records.decodeRequestBatch(jsonRoundTrip(submissions))),
    progress,
    progressAgain: progress.map((value) => records.encodeProgress(records.decodeProgress(value))),
    versions,
    versionsAgain: versions.map((value) => records.encodeVersion(records.decodeVersion(value))),
    machines,
    machinesAgain: machines.map((value) => records.encodeMachine(records.decodeMachine(value))),
    leader: [leader, records.encodeLeader(records.decodeLeader(leader))],
    acknowledgement: [acknowledgement, records.encodeAcknowledgement(records.decodeAcknowledgement(acknowledgement))],
    types: [types, records.encodeMachineTypes(records.decodeMachineTypes(types))],
    garbage: [null, {}, { t: 1 }, { d: 'wk-1:x' }].map((value) => [
      resultOrError(() => records.encodeMachine(records.decodeMachine(value))),
      resultOrError(() => records.encodeRequestBatch(records.decodeRequestBatch(value))),
      resultOrError(() => records.encodeProgress(records.decodeProgress(value))),
    ]),
  }; // prettier-ignore
}

const LOAN: Loan = {
  lender: 'wk-1', tasks: [{ index: 2, attempt: 7, machine: 'm1' }], borrower: 'wk-2', machine: 'm1',
  gpus: 4, state: 'lent', dueMs: 5000, grantedMs: 1000, changedMs: 2000, used: true, reason: 'room',
}; // prettier-ignore

function subsystemRecords(): RecordedForms {
  const loans = LOAN_STATES.map((state, i): Loan => {
    return {
      ...LOAN,
      state,
      lender: `wk-${i}`,
      dueMs: i % 2 === 0 ? 5000 + i : null,
      changedMs: i,
    };
  });
  const loanRecords = new Map(
    loans.map((loan, i) => [`loan/${i}`, { value: encodeLoan(loan), revision: i }]),
  );
  const planned = plannedSlot({ pool: 'p', burstMs: 90_000, index: 1, team: 't', sendFromMs: 5 });
  const slots = SLOT_STATES.map((state, index): Slot => ({
    ...planned,
    index,
    state,
    request: { name: 'r-1', type: 'g8', zone: 'z1', count: 2, position: 1 },
    machine: 'm1',
    share: 0.5,
    pricePerHour: 10,
    held: { fromMs: 1000, toMs: index % 2 === 0 ? null : 9000, uncertainMs: 50, clockSetMs: 0 },
    warmAtMs: 4000,
    earlierTasks: ['wk-1/0#1'],
    task: 'wk-1/0#2',
    reason: 'why',
  }));
  const slotRecords = new Map(
    slots.map((slot, i) => [`slot/p/90000/${i}`, { value: encodeSlot(slot), revision: i }]),
  );
  const day = { n: [3, 2, 1], s: 10.5, m: 1.25, u: 0.5, b: 90_000, c: 4 };
  slotRecords.set('bill/p/1970-01-01/t', { value: day, revision: 9 });
  const config = parseFeatures(poolText(), settings(), 0).warmPools!;
  const pools = poolsView(slotRecords, config.pools, 1e9);
  const loanView = loansView(loanRecords);
  return {
    loans: loans.map(encodeLoan),
    loansAgain: loans.map((loan) => encodeLoan(decodeLoan(encodeLoan(loan))!)),
    loansView: loanView,
    loansTable: loansTable(loanView.loans),
    slots: [planned, ...slots].map(encodeSlot),
    slotsAgain: slots.map((slot) => encodeSlot(decodeSlot(encodeSlot(slot))!)),
    poolsView: pools,
    statusTable: statusTable(pools.pools),
    billTable: billTable(pools.bill),
    garbage: [decodeLoan({ l: 1 }), decodeSlot({ p: 1 })],
  }; // prettier-ignore
}

function replies(): string[] {
  const statuses = [200, 201, 400, 404, 405, 408, 413, 421, 422, 429, 500, 503, 599];
  const all: Reply[] = statuses.map((status) => ({ status }));
  all.push({ status: 200, body: '{"é":1}' }, { status: 503, retryAfter: 1, close: true });
  return all.map(encodeReply);
}

function configurationErrors(): RecordedForms {
  const replaced: [RegExp, string][] = [
    [/^state = .*$/m, ''], [/^cloud = .*$/m, 'cloud = "x"'], [/^cloud = .*$/m, 'cloud = "x:70000"'],
    [/lease_s = .*/, 'lease_s = -1.0'], [/write_rps = .*/, 'write_rps = "x"'],
    [/write_rps = .*/, 'write_rps = inf'], [/zones = .*/, 'zones = []'],
    [/host_name = .*/, 'host_name = "a b"'], [/count = .*/, 'count = 0.5'], [/\[endpoints\]/, '[[['],
  ]; // prettier-ignore
  const settingsError = (text: string): string => {
    try {
      parseSettings(text);
      return 'valid';
    } catch (error) {
      if (error instanceof SettingsError) return error.message;
      throw error;
    }
  };
  const files = [
    '[[[', '[warm_pool]', `${poolText()}colour = 1`, poolText({ slots: 0 }), poolText({ hold_s: 'x' }),
    poolText({ name: 'a/b' }), '[warm_pools]\nloader = "x"', '[warm_pools]\nloader = "model-server"',
    poolText({ team: 'x' }), `${poolText()}zones = ["x"]`, poolText({ slots: 4 }),
    poolText() + poolText(), poolText({ cores: 0, gpus: 0 }), poolText({ schedule: 'x y' }),
    poolText({ time_zone: 'Karachi' }), poolText({ schedule: '0 0 30 2 *' }),
    poolText({ schedule: '0 * * * *', hold_s: 7200 }), '[lending]\nrecalls_at_once = 0',
    '[lending]\nmax_open = 501', '[lending]\nleast_margin = 0.5', '[lending]\ncolour = 1',
    poolText({ on_exhausted: 'stop' }), poolText(), '[lending]', '',
  ]; // prettier-ignore
  return {
    settings: replaced.map(([from, to]) => settingsError(settingsText().replace(from, to))),
    features: files.map((text) => {
      try {
        return featuresRecord(parseFeatures(text, settings(), 0));
      } catch (error) {
        if (error instanceof FeaturesError) return error.message;
        throw error;
      }
    }),
  };
}

/** Metrics that depend on the running process and not on the code. */
const PROCESS_DEPENDENT = new Set(['memory_mb', 'heap_mb']);

function metrics(world: LeaderWorld): RecordedForms {
  const platform: Settings = parseSettings(readFileSync('deploy/example.toml', 'utf8'));
  const controller = new Controller(platform, DEFAULT_POLICY, silentLog(), {
    clock: { now: () => 1 },
  });
  const own = controller.metrics();
  for (const name of PROCESS_DEPENDENT) own[name] = 'measured';
  controller.stop();
  const latencies = new LatencyHistograms(() => 0);
  for (const kind of ['report', 'submission', 'pass', 'lag'] as const)
    latencies.record(kind, 0.001);
  const queue = new RequestQueue({
    clock: { now: () => 0 },
    leaseS: 2,
    capacity: 5,
    overload: new Overload(),
    onError: () => undefined,
  });
  return {
    controller: own,
    leader: termStatistics(world.term, world.parts.capacity),
    whole: Object.keys(world.leader.statistics()),
    costs: latencies.statistics(),
    requests: queue.statistics(),
  };
}

/** A short workload with a failover: everything that it stored and started. */
async function decisionsOfWorkload(world: LeaderWorld): Promise<RecordedForms> {
  for (const id of ['m1', 'm2', 'm3', 'm4']) world.fleet.add(id, id === 'm3' ? 'z2' : 'z1');
  await world.run(2);
  world.submitJob({
    id: 'wk-1',
    kind: 'service',
    priority: 0,
    tasks: 3,
    gpus: 4,
    image: 'tutor-1',
  });
  world.submitJob({
    id: 'wk-2',
    tasks: 19,
    gpus: 1,
    priority: 3,
    image: 'marker',
    checkpointS: 30,
    saveS: 3,
  });
  world.submitJob({ id: 'wk-4', tasks: 3, gpus: 1, priority: 2, dependencies: ['wk-5'] });
  await world.run(4);
  world.submitJob({ id: 'wk-3', kind: 'gang', tasks: 2, gpus: 4, priority: 1, oneZone: true });
  world.submitJob({ id: 'wk-5', tasks: 2, gpus: 2, priority: 1, deadlineS: 20 });
  await world.run(4);
  for (const worker of world.fleet.workers.values()) {
    for (const task of worker.running('wk-5')) worker.end(task, 'done');
  }
  world.fleet.workers.get('m4')!.heartbeatsLost = true;
  await world.run(3);
  world.cancel('wk-1');
  world.failOver();
  await world.run(6);
  const { fleet } = world;
  const { stored, starts, wanted } = world.decisions();
  return {
    stored,
    starts,
    tasks: [...fleet.workers.values()].map((worker) => [worker.id, [...worker.tasks.keys()]]),
    wanted: wanted.map((each) => Object.values(each)),
    broken: fleet.violations,
  };
}

/** The attempts on each machine, and which of them are being stopped, after each of a few scheduling cycles. */
function decisionsOfCycles(): unknown[] {
  const cycles: unknown[] = [];
  const world = new SchedulerWorld(100, 10);
  const ids = ['a', 'b', 'c'];
  const recordCycle = (): void => {
    world.runCycle();
    const machines = ids.map((id) =>
      [...(world.term.machines.get(id)?.attempts.values() ?? [])].map(
        ({ job, index, number, stopRequest }) =>
          `${job}/${index}#${number}${stopRequest === null ? '' : ' stops'}`,
      ),
    );
    cycles.push([machines, world.machinesToAdd()]);
  };
  for (const id of ids) world.heartbeat(id, []);
  world.submitJob({
    id: 'wk-1',
    tasks: 30,
    priority: 3,
    checkpointS: 30,
    saveS: 3,
    class: 'batch',
  });
  recordCycle();
  for (const id of ids) world.confirmClaims(id, false);
  world.submitJob({
    id: 'wk-2',
    kind: 'gang',
    tasks: 2,
    gpus: 8,
    cores: 8,
    priority: 1,
    class: 'train',
  });
  recordCycle();
  world.confirmClaims('a', true);
  recordCycle();
  world.confirmClaims('b', true);
  recordCycle();
  world.submitJob({
    id: 'wk-3',
    kind: 'service',
    tasks: 2,
    gpus: 2,
    priority: 0,
    image: 'big',
    imageGb: 30,
  });
  world.submitJob({ id: 'wk-6', tasks: 4, gpus: 1, estimateS: 1000, priority: 2, class: 'long' });
  recordCycle();
  for (const id of ids) world.confirmClaims(id, true);
  recordCycle();
  recordCycle();
  return cycles;
}

function help(): RecordedForms {
  const run = (...args: string[]): unknown => {
    const { status, stdout, stderr } = spawnSync(process.execPath, [MAIN, ...args]);
    return { status, stdout: String(stdout), stderr: String(stderr) };
  };
  return {
    program: run('--help'),
    version: run('--version'),
    nothing: run(),
    unknown: run('--odd'),
    loans: run('loans', '--help'),
    loansNothing: run('loans'),
    loansAddress: run('loans', '--at', 'x'),
    warmPools: run('warm-pools', '--help'),
    warmPoolsNothing: run('warm-pools', 'odd'),
    status: run('--status', 'x'),
    missing: run('--config', '/none.toml'),
    profile: run('--profile', 'x', '--config', 'deploy/example.toml'),
    check: run('--config', 'deploy/example.toml', '--check'),
    checkFeatures: run('--features', 'deploy/features.toml', '--config', 'deploy/example.toml', '--check'),
  }; // prettier-ignore
}

/** All external formats by name, as produced by the current code. */
export async function recordedForms(): Promise<RecordedForms> {
  seedRandom(7);
  const world = new LeaderWorld();
  const withPools = new LeaderWorld(100, { subsystems: [warmPools(poolText())] });
  const forms = {
    stateService: storeMessages(),
    workers: workerMessages(),
    users: userMessages(),
    cloud: cloudMessages(),
    controllers: peerMessages(),
    records: storedRecords(),
    subsystems: subsystemRecords(),
    replies: replies(),
    configuration: configurationErrors(),
    day: await decisionsOfWorkload(world),
    dayWithPools: await decisionsOfWorkload(withPools),
    passes: decisionsOfCycles(),
    metrics: metrics(world),
    metricsWithPools: withPools.leader.statistics(),
    help: help(),
  };
  return jsonRoundTrip(forms) as RecordedForms;
}
