/**
 * Every trouble between every two steps of a loan: leaders that change, a store that fails, machines that
 * fail, jobs that end. By the workers' own histories and the store alone, whatever the program counts: no
 * rule is broken, no GPU is lent or used twice, every loan is closed, and the lender is done in time.
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

interface Trouble {
  name: string;
  strike(world: LendingWorld): Promise<void> | void;
  /** Seconds by which the lender may be late: for so long nobody could do anything. */
  lateBy?: number;
  /** The points at which it can strike; all of them where it is missing. */
  at?: readonly Point[];
  /** What must have become of the loan, whatever the point. */
  ends?: RegExp;
}

const OUTAGE_S = 8;
const SAVING: readonly Point[] = ['stored, not told', 'told, not saved'];

/** A machine in the lender's zone in place of the one that is gone. */
async function replaceMachine(world: LendingWorld): Promise<void> {
  await world.run(2);
  world.fleet.add('m4');
}

const LEADERS: Trouble[] = [
  { name: 'the leader ends', strike: (world) => world.failOver() },
  {
    name: 'the leader ends twice within a moment',
    async strike(world) {
      world.failOver();
      await world.step();
      world.failOver();
    },
  },
  {
    name: 'the leader ends ten times',
    async strike(world) {
      for (let i = 0; i < 10; i++) {
        world.failOver();
        await world.run(0.6);
      }
    },
  },
  {
    name: 'the leader is frozen, and wakes after its successor began',
    async strike(world) {
      const old = world.leader;
      world.failOver();
      await world.run(1);
      await world.wake(old, 1);
    },
  },
  {
    name: 'the leader is frozen, and wakes before its successor has heard of a machine',
    async strike(world) {
      const old = world.leader;
      world.failOver();
      await world.wake(old, 0.4);
    },
  },
  {
    name: 'the leader alone is refused by the store, and replaced',
    async strike(world) {
      await world.outage(1);
      world.failOver();
    },
  },
  {
    name: 'the leader is cut from its peers and is not entitled any more, and replaced',
    async strike(world) {
      const { context } = world.term;
      context.isEntitled = () => false;
      await world.run(1);
      world.failOver();
    },
  },
  {
    name: 'a version before lending takes over, and gives way again',
    async strike(world) {
      world.switchLending(false);
      world.failOver();
      await world.run(4);
      world.switchLending(true);
      world.failOver();
    },
    lateBy: 4,
  },
];

const STORE: Trouble[] = [
  {
    name: 'a commit is carried out, and its answer is lost',
    async strike(world) {
      world.store.mode = 'lose answers';
      await world.run(0.4);
      world.store.mode = 'serve';
    },
  },
  {
    name: 'a commit is carried out, its answer is lost, and the leader ends',
    async strike(world) {
      world.store.mode = 'lose answers';
      await world.run(0.4);
      world.store.mode = 'serve';
      world.failOver();
    },
  },
  {
    name: 'a commit is carried out late, after the next leader began',
    async strike(world) {
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
    async strike(world) {
      world.store.mode = 'hold back';
      await world.run(0.4);
      world.store.mode = 'serve';
      await world.run(1);
      world.store.deliverHeldBack();
    },
  },
  {
    name: 'an outage of the key-value store',
    strike: (world) => world.outage(OUTAGE_S),
    lateBy: OUTAGE_S,
  },
  {
    name: 'an outage of the key-value store in which the leader ends',
    strike: (world) => world.outage(OUTAGE_S, () => world.failOver()),
    lateBy: OUTAGE_S,
  },
];

const MACHINES: Trouble[] = [
  {
    name: 'the machine is mute for less than a lease',
    async strike(world) {
      world.lentOn.mute = true;
      await world.run(1.2);
      world.lentOn.mute = false;
    },
    lateBy: 2,
  },
  {
    name: 'the machine is mute for longer than a lease',
    async strike(world) {
      world.lentOn.mute = true;
      await world.run(5);
      world.lentOn.mute = false;
    },
    lateBy: 8,
  },
  {
    name: 'the machine is deaf for longer than a lease, and the leader ends',
    async strike(world) {
      world.lentOn.deaf = true;
      await world.run(1);
      world.failOver();
      await world.run(4);
      world.lentOn.deaf = false;
    },
    lateBy: 8,
  },
  {
    name: 'the machine dies',
    async strike(world) {
      world.batch.kill('m1');
      await replaceMachine(world);
    },
    lateBy: 8,
  },
  {
    name: 'the machine dies as the leader ends',
    async strike(world) {
      world.batch.kill('m1');
      world.failOver();
      await replaceMachine(world);
    },
    lateBy: 8,
  },
  {
    name: 'the cloud takes the machine, with a notice',
    async strike(world) {
      world.lentOn.reclaimNoticeS = 2;
      await world.run(2);
      world.batch.kill('m1');
      await replaceMachine(world);
    },
    lateBy: 8,
  },
  {
    name: 'its heartbeats come twice and late, also to the next leader',
    async strike(world) {
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
    at: SAVING,
    strike: (world) => void (world.batch.saving = 'never ends'),
  },
  {
    name: 'saving never ends, and the leader ends',
    at: SAVING,
    async strike(world) {
      world.batch.saving = 'never ends';
      await world.run(0.4);
      world.failOver();
    },
  },
  { name: 'saving fails', at: SAVING, strike: (world) => void (world.batch.saving = 'fails') },
];

const JOBS: Trouble[] = [
  { name: 'the lender is cancelled', strike: (world) => world.cancel(LENDER), ends: /cancelled/ },
  {
    name: 'the lender is cancelled in the moment in which the leader ends',
    strike: (world) => world.cancelAndFailOver(LENDER),
    ends: /cancelled/,
  },
  {
    name: 'the lender is cancelled in an outage in which the leader ends',
    strike: (world) => world.outage(OUTAGE_S, () => (world.cancel(LENDER), world.failOver())),
    ends: /cancelled/,
  },
  {
    name: 'the borrower is cancelled',
    strike: (world) => world.cancel(BORROWER),
    ends: /resumed|cancelled/,
  },
  {
    name: 'the borrower is cancelled in the moment in which the leader ends',
    strike: (world) => world.cancelAndFailOver(BORROWER),
    ends: /resumed|cancelled/,
  },
  {
    name: 'both are cancelled',
    strike(world) {
      world.cancel(BORROWER);
      world.cancel(LENDER);
    },
    ends: /cancelled/,
  },
  {
    name: 'a guarantee of the lender is raised by new settings',
    async strike(world) {
      world.settings.teams.set('b', { name: 'b', cores: 0, coresMax: 0, gpus: 8, gpusMax: 100 });
      world.failOver();
      await world.run(3);
    },
  },
  {
    name: "the limit of the lender's team is lowered by new settings, and raised again",
    async strike(world) {
      world.settings.teams.set('b', { name: 'b', cores: 0, coresMax: 0, gpus: 0, gpusMax: 4 });
      world.failOver();
      await world.run(5);
      world.settings.teams.set('b', { name: 'b', cores: 0, coresMax: 0, gpus: 0, gpusMax: 100 });
    },
    lateBy: 8,
  },
];

async function play(trouble: Trouble, point: Point): Promise<void> {
  const world = new LendingWorld();
  await world.playTo(point);
  await trouble.strike(world);
  await world.settle({ lateBy: trouble.lateBy ?? 1 });
  const states = [...world.seen.values()].map(({ state }) => state).join(' ');
  if (trouble.ends !== undefined) assert.match(states, trouble.ends);
  const { cancelled } = world.batch.work.get(BORROWER)!;
  assert.equal(world.fleet.running(BORROWER), cancelled ? 0 : 2, 'serving runs');
  assert.ok(world.batch.work.get(OTHER)!.cancelled);
  const prefix = records.subsystemPrefix('lending');
  assert.ok(world.store.keys().some((key) => key.startsWith(prefix)));
}

for (const [name, troubles] of Object.entries({ LEADERS, STORE, MACHINES, JOBS })) {
  for (const trouble of troubles) {
    test(`${name.toLowerCase()}: ${trouble.name}, between any two steps of a loan`, async () => {
      const failures: string[] = [];
      for (const point of trouble.at ?? POINTS) {
        await play(trouble, point).catch((e: unknown) => failures.push(`${point}: ${String(e)}`));
      }
      assert.deepEqual(failures, []);
    });
  }
}
