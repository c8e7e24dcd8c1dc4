/** Further tokens of a term: which controllers give them, which accept them as their own, and which starts they refuse. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { substituteToken, type SubstituteTokenOptions } from '../src/heartbeat/substitute-token.js';
import type { MachineRecord } from '../src/store/machine-record.js';
import type { Heartbeat, TaskStatus } from '../src/wire/workers.js';
import { fake } from './support/fake.js';
import { LeaderWorld } from './support/leader-world.js';

const JOB = 'wk-000001';
const LEADER_TOKEN = 20;
const RECORD_REVISION = 25;
const READ_REVISION = 30;

const TASK: TaskStatus = {
  ...{ job: JOB, index: 0, attempt: 21 },
  ...{ state: 'running', cause: null, saved: false },
};

interface Situation {
  shownToken: number;
  tasks?: TaskStatus[];
  record?: Partial<MachineRecord>;
  cancelled?: boolean;
  mayLackClaims?: boolean;
}

function tokenFor({
  shownToken: shown,
  tasks = [],
  record,
  cancelled,
  mayLackClaims,
}: Situation): number | null {
  const claims = [{ job: JOB, index: 0, attempt: 21 }];
  const stored = {
    record: fake<MachineRecord>({ term: LEADER_TOKEN, claims, ...record }),
    revision: RECORD_REVISION,
  };
  const options: SubstituteTokenOptions = {
    heartbeat: fake<Heartbeat>({ machine: 'a', token: shown, tasks }),
    leaderToken: LEADER_TOKEN,
    replica: {
      machines: new Map(record === undefined ? [] : [['a', stored]]),
      applied: READ_REVISION,
    },
    isCancelled: () => cancelled === true,
    mayLackClaims: mayLackClaims === true,
  };
  return substituteToken(options);
}

test("a substitute's renewal carries a token of the leader's term that refuses starts of cancelled tasks", () => {
  const cases: [string, Situation, number | null][] = [
    ['nothing is known of the machine', { shownToken: LEADER_TOKEN }, LEADER_TOKEN],
    ['it has not seen the leader', { shownToken: 7 }, LEADER_TOKEN],
    ['its record names a token', { shownToken: LEADER_TOKEN, record: { token: 23 } }, 23],
    ['it shows one that no record names', { shownToken: 24, record: {} }, 24],
    ['the highest that is certain to be the leader\'s', { shownToken: READ_REVISION, record: {} }, READ_REVISION],
    ['it may be a later leader\'s', { shownToken: READ_REVISION + 1, record: {} }, null],
    ['a later leader\'s, with a claim for a cancelled task', { shownToken: READ_REVISION + 1, record: {}, cancelled: true }, null],
    ['a later leader\'s, and claims may be unread', { shownToken: READ_REVISION + 1, mayLackClaims: true }, null],
    ['the start of a cancelled task may be in flight', { shownToken: LEADER_TOKEN, record: {}, cancelled: true }, RECORD_REVISION],
    ['the same, after the answer', { shownToken: RECORD_REVISION, record: {}, cancelled: true }, RECORD_REVISION],
    ['the same, the worker knows the task', { shownToken: LEADER_TOKEN, record: {}, tasks: [TASK], cancelled: true }, LEADER_TOKEN],
    ['it knows another attempt', { shownToken: LEADER_TOKEN, record: {}, tasks: [{ ...TASK, attempt: 3 }], cancelled: true }, RECORD_REVISION],
    ['it knows another task', { shownToken: LEADER_TOKEN, record: {}, tasks: [{ ...TASK, index: 3 }], cancelled: true }, RECORD_REVISION],
    ['a start of an earlier leader', { shownToken: 7, record: { term: 7 }, cancelled: true }, LEADER_TOKEN],
    ['a token of an earlier leader', { shownToken: 7, record: { term: 7, token: 9 } }, LEADER_TOKEN],
    ['claims may be unread', { shownToken: LEADER_TOKEN, record: {}, mayLackClaims: true }, READ_REVISION],
    ['claims may be unread, no record', { shownToken: LEADER_TOKEN, mayLackClaims: true }, READ_REVISION],
  ]; // prettier-ignore
  for (const [name, situation, token] of cases) assert.equal(tokenFor(situation), token, name);
});

/** A leader and a machine that has shown its token. */
async function withMachine(): Promise<LeaderWorld> {
  const world = new LeaderWorld();
  world.fleet.add('a');
  await world.run(1);
  return world;
}

test("a leader continues with a token that a substitute has given, but rejects a later leader's token", async () => {
  const world = await withMachine();
  const worker = world.fleet.workers.get('a')!;
  // Another controller has written since. The leader has read that, but has committed nothing itself.
  world.store.put('ps/other', {});
  world.store.replayInto(world.replica);
  worker.token = world.store.currentRevision;
  assert.ok(worker.token > world.term.latestRevision);
  await world.run(1);
  assert.equal(worker.answeredAt, world.now, 'answered with a token that it accepts');
  world.submitJob({ id: JOB });
  await world.run(1);
  assert.equal(world.fleet.running(JOB), 1);
  // A revision that the leader has not read may be a later leader's token.
  worker.token = world.store.currentRevision + 1;
  const { status } = world.leader.answerHeartbeat(worker.heartbeat());
  assert.equal(status, 503);
});

test("once another leader has put the key, revisions that were read do not count as the old leader's term", async () => {
  const world = await withMachine();
  const worker = world.fleet.workers.get('a')!;
  const { leader, replica, token } = world;
  world.failOver();
  world.store.replayInto(replica);
  world.token = token;
  worker.token = world.store.currentRevision;
  assert.equal(leader.answerHeartbeat(worker.heartbeat()).status, 503);
});

test("a start goes directly only with a token below its claim's revision", async () => {
  const world = await withMachine();
  const machine = world.machine('a');
  const direct = (): string[] =>
    machine
      .dueCommands((attempt) => world.term.mayStartDirectly(attempt), false)
      .map(({ kind }) => kind);
  world.submitJob({ id: JOB });
  world.runCycle();
  assert.deepEqual(direct(), [], 'not before the claim is stored');
  await world.writeAll();
  assert.deepEqual(direct(), ['start']);
  const [attempt] = machine.activeAttempts();
  assert.ok(attempt!.claimRevision! > machine.token);
  // Without a revision above the token, no higher token is certain to exist when the start has to be refused.
  machine.token = attempt!.claimRevision!;
  assert.deepEqual(direct(), []);
  world.fleet.workers.get('a')!.token = machine.token;
  await world.run(0.4);
  assert.equal(world.fleet.running(JOB), 1, 'it went with the answer to a heartbeat');
});
