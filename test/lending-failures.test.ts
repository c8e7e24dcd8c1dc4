/**
 * Injects each fault between any two steps of a loan: changes of leader, store failures, machine failures and ends of
 * jobs. Asserts by the state of the workers and the store alone, whatever the program reports, that no rule is
 * violated, no GPU is lent or used twice, every loan is closed, and the lender is done in time.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import * as records from '../src/store/records.js';
import {
  BORROWER,
  LENDER,
  LendingWorld,
  OTHER,
  POINTS,
  type Point,
} from './support/lending-world.js';

interface Fault {
  name: string;
  inject(world: LendingWorld): Promise<void> | void;
  /** Seconds by which the lender may be late, because no controller could act for so long. */
  allowedLatenessS?: number;
  /** The points at which it is injected; missing: all of them. */
  points?: readonly Point[];
  /** Has to match the states of the loans in the end, at every point. */
  expectedStates?: RegExp;
}

const OUTAGE_S = 8;
const SAVING: readonly Point[] = ['stored, not told', 'told, not saved'];

/** Adds a machine in the lender's zone in place of the lost one. */
async function replaceMachine(world: LendingWorld): Promise<void> {
  await world.run(2);
  world.fleet.add('m4');
}

const LEADERS: Fault[] = [
  { name: 'the leader ends', inject: (world) => world.failOver() },
  {
    name: 'the leader ends twice in quick succession',
    async inject(world) {
      world.failOver();
      await world.step();
      world.failOver();
    },
  },
  {
    name: 'the leader ends ten times',
    async inject(world) {
      for (let i = 0; i < 10; i++) {
        world.failOver();
        await world.run(0.6);
      }
    },
  },
  {
    name: 'the leader is frozen, and resumes after its successor began',
    async inject(world) {
      const old = world.leader;
      world.failOver();
      await world.run(1);
      await world.resumeFrozenLeader(old, 1);
    },
  },
  {
    name: 'the leader is frozen, and resumes before its successor has received a heartbeat',
    async inject(world) {
      const old = world.leader;
      world.failOver();
      await world.resumeFrozenLeader(old, 0.4);
    },
  },
  {
    name: 'the store refuses writes of the leader only, and the leader is replaced',
    async inject(world) {
      await world.outage(1);
      world.failOver();
    },
  },
  {
    name: 'the leader loses its peers and its entitlement, and is replaced',
    async inject(world) {
      const { context } = world.term;
      context.isEntitled = () => false;
      await world.run(1);
      world.failOver();
    },
  },
  {
    name: 'a version that is older than lending leads for a while',
    async inject(world) {
      world.switchLending(false);
      world.failOver();
      await world.run(4);
      world.switchLending(true);
      world.failOver();
    },
    allowedLatenessS: 4,
  },
];

const STORE: Fault[] = [
  {
    name: 'a commit is carried out, and its answer is lost',
    async inject(world) {
      world.store.mode = 'lose answers';
      await world.run(0.4);
      world.store.mode = 'serve';
    },
  },
  {
    name: 'a commit is carried out, its answer is lost, and the leader ends',
    async inject(world) {
      world.store.mode = 'lose answers';
      await world.run(0.4);
      world.store.mode = 'serve';
      world.failOver();
    },
  },
  {
    name: 'a commit is carried out late, after the next leader began',
    async inject(world) {
      world.store.mode = 'hold back';
      await world.run(0.4);
      world.store.mode = 'serve';
      world.failOver();
      await world.run(1);
      world.store.deliverHeldBack();
    },
  },
  {
    name: 'a commit is carried out late, after newer ones of the same leader',
    async inject(world) {
      world.store.mode = 'hold back';
      await world.run(0.4);
      world.store.mode = 'serve';
      await world.run(1);
      world.store.deliverHeldBack();
    },
  },
  {
    name: 'an outage of the key-value store',
    inject: (world) => world.outage(OUTAGE_S),
    allowedLatenessS: OUTAGE_S,
  },
  {
    name: 'an outage of the key-value store in which the leader ends',
    inject: (world) => world.outage(OUTAGE_S, () => world.failOver()),
    allowedLatenessS: OUTAGE_S,
  },
];

const MACHINES: Fault[] = [
  {
    name: 'heartbeats of the machine are lost for less than a lease',
    async inject(world) {
      world.lentMachine.heartbeatsLost = true;
      await world.run(1.2);
      world.lentMachine.heartbeatsLost = false;
    },
    allowedLatenessS: 2,
  },
  {
    name: 'heartbeats of the machine are lost for longer than a lease',
    async inject(world) {
      world.lentMachine.heartbeatsLost = true;
      await world.run(5);
      world.lentMachine.heartbeatsLost = false;
    },
    allowedLatenessS: 8,
  },
  {
    name: 'messages to the machine are lost for longer than a lease, and the leader ends',
    async inject(world) {
      world.lentMachine.inboundLost = true;
      await world.run(1);
      world.failOver();
      await world.run(4);
      world.lentMachine.inboundLost = false;
    },
    allowedLatenessS: 8,
  },
  {
    name: 'the machine fails',
    async inject(world) {
      world.batch.kill('m1');
      await replaceMachine(world);
    },
    allowedLatenessS: 8,
  },
  {
    name: 'the machine fails as the leader ends',
    async inject(world) {
      world.batch.kill('m1');
      world.failOver();
      await replaceMachine(world);
    },
    allowedLatenessS: 8,
  },
  {
    name: 'the cloud reclaims the machine, with a notice',
    async inject(world) {
      world.lentMachine.reclaimNoticeS = 2;
      await world.run(2);
      world.batch.kill('m1');
      await replaceMachine(world);
    },
    allowedLatenessS: 8,
  },
  {
    name: 'heartbeats arrive twice and late, also at the next leader',
    async inject(world) {
      const copies = [...world.fleet.workers.values()].map((worker) => worker.heartbeat());
      await world.step();
      for (const copy of copies) world.leader.answerHeartbeat(copy);
      await world.run(1);
      world.failOver();
      for (const copy of copies) world.leader.answerHeartbeat(copy);
    },
  },
  {
    name: 'saving never ends',
    points: SAVING,
    inject: (world) => void (world.batch.saving = 'never ends'),
  },
  {
    name: 'saving never ends, and the leader ends',
    points: SAVING,
    async inject(world) {
      world.batch.saving = 'never ends';
      await world.run(0.4);
      world.failOver();
    },
  },
  { name: 'saving fails', points: SAVING, inject: (world) => void (world.batch.saving = 'fails') },
];

const JOBS: Fault[] = [
  {
    name: 'the lender is cancelled',
    inject: (world) => world.cancel(LENDER),
    expectedStates: /cancelled/,
  },
  {
    name: 'the lender is cancelled as the leader ends',
    inject: (world) => world.cancelAndFailOver(LENDER),
    expectedStates: /cancelled/,
  },
  {
    name: 'the lender is cancelled in an outage in which the leader ends',
    inject: (world) => world.outage(OUTAGE_S, () => (world.cancel(LENDER), world.failOver())),
    expectedStates: /cancelled/,
  },
  {
    name: 'the borrower is cancelled',
    inject: (world) => world.cancel(BORROWER),
    expectedStates: /resumed|cancelled/,
  },
  {
    name: 'the borrower is cancelled as the leader ends',
    inject: (world) => world.cancelAndFailOver(BORROWER),
    expectedStates: /resumed|cancelled/,
  },
  {
    name: 'both are cancelled',
    inject(world) {
      world.cancel(BORROWER);
      world.cancel(LENDER);
    },
    expectedStates: /cancelled/,
  },
  {
    name: "new settings raise the guarantee of the lender's team",
    async inject(world) {
      world.settings.teams.set('b', { name: 'b', cores: 0, coresMax: 0, gpus: 8, gpusMax: 100 });
      world.failOver();
      await world.run(3);
    },
  },
  {
    name: "new settings lower the limit of the lender's team, and raise it again",
    async inject(world) {
      world.settings.teams.set('b', { name: 'b', cores: 0, coresMax: 0, gpus: 0, gpusMax: 4 });
      world.failOver();
      await world.run(5);
      world.settings.teams.set('b', { name: 'b', cores: 0, coresMax: 0, gpus: 0, gpusMax: 100 });
    },
    allowedLatenessS: 8,
  },
];

async function runFault(fault: Fault, point: Point): Promise<void> {
  const world = new LendingWorld();
  await world.runToPoint(point);
  await fault.inject(world);
  await world.runToEnd({ allowedLatenessS: fault.allowedLatenessS ?? 1 });
  const states = [...world.loansSeen.values()].map(({ state }) => state).join(' ');
  if (fault.expectedStates !== undefined) assert.match(states, fault.expectedStates);
  const { cancelled } = world.batch.work.get(BORROWER)!;
  assert.equal(world.fleet.running(BORROWER), cancelled ? 0 : 2, 'the service runs');
  assert.ok(world.batch.work.get(OTHER)!.cancelled);
  const prefix = records.subsystemPrefix('lending');
  assert.ok(world.store.keys().some((key) => key.startsWith(prefix)));
}

for (const [name, faults] of Object.entries({ LEADERS, STORE, MACHINES, JOBS })) {
  for (const fault of faults) {
    test(`${name.toLowerCase()}: ${fault.name}, between any two steps of a loan`, async () => {
      const failures: string[] = [];
      for (const point of fault.points ?? POINTS) {
        await runFault(fault, point).catch((e: unknown) => failures.push(`${point}: ${String(e)}`));
      }
      assert.deepEqual(failures, []);
    });
  }
}
