/**
 * Every trouble between every two steps of a loan: leaders that change, a store that fails, machines that
 * fail, jobs that end. By the workers' own histories and the store alone, whatever the program counts: no
 * rule is broken, no GPU is lent or used twice, every loan is closed, and the lender is done in time.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import * as records from '../src/store/records.js';
import { BORROWER, LENDER, LendingWorld, OTHER, POINTS, type Point } from './lending-helpers.js';

interface Trouble {
  name: string;
  strike(w: LendingWorld): Promise<void> | void;
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
async function replaceMachine(w: LendingWorld): Promise<void> {
  await w.run(2);
  w.fleet.add('m4');
}

const LEADERS: Trouble[] = [
  { name: 'the leader ends', strike: (w) => w.takeOver() },
  {
    name: 'the leader ends twice within a moment',
    async strike(w) {
      w.takeOver();
      await w.step();
      w.takeOver();
    },
  },
  {
    name: 'the leader ends ten times',
    async strike(w) {
      for (let i = 0; i < 10; i++) {
        w.takeOver();
        await w.run(0.6);
      }
    },
  },
  {
    name: 'the leader is frozen, and wakes after its successor began',
    async strike(w) {
      const old = w.leader;
      w.takeOver();
      await w.run(1);
      await w.wake(old, 1);
    },
  },
  {
    name: 'the leader is frozen, and wakes before its successor has heard of a machine',
    async strike(w) {
      const old = w.leader;
      w.takeOver();
      await w.wake(old, 0.4);
    },
  },
  {
    name: 'the leader alone is refused by the store, and replaced',
    async strike(w) {
      await w.outage(1);
      w.takeOver();
    },
  },
  {
    name: 'the leader is cut from its peers and is not entitled any more, and replaced',
    async strike(w) {
      const { deps } = w.term;
      deps.entitled = () => false;
      await w.run(1);
      w.takeOver();
    },
  },
  {
    name: 'a version before lending takes over, and gives way again',
    async strike(w) {
      w.switchLending(false);
      w.takeOver();
      await w.run(4);
      w.switchLending(true);
      w.takeOver();
    },
    lateBy: 4,
  },
];

const STORE: Trouble[] = [
  {
    name: 'a commit is carried out, and its answer is lost',
    async strike(w) {
      w.store.mode = 'lose answers';
      await w.run(0.4);
      w.store.mode = 'serve';
    },
  },
  {
    name: 'a commit is carried out, its answer is lost, and the leader ends',
    async strike(w) {
      w.store.mode = 'lose answers';
      await w.run(0.4);
      w.store.mode = 'serve';
      w.takeOver();
    },
  },
  {
    name: 'a commit is carried out late, after the next leader began',
    async strike(w) {
      w.store.mode = 'hold back';
      await w.run(0.4);
      w.store.mode = 'serve';
      w.takeOver();
      await w.run(1);
      w.store.deliver();
    },
  },
  {
    name: 'a commit is carried out late, after newer ones of the same leader',
    async strike(w) {
      w.store.mode = 'hold back';
      await w.run(0.4);
      w.store.mode = 'serve';
      await w.run(1);
      w.store.deliver();
    },
  },
  {
    name: 'an outage of the state service',
    strike: (w) => w.outage(OUTAGE_S),
    lateBy: OUTAGE_S,
  },
  {
    name: 'an outage of the state service in which the leader ends',
    strike: (w) => w.outage(OUTAGE_S, () => w.takeOver()),
    lateBy: OUTAGE_S,
  },
];

const MACHINES: Trouble[] = [
  {
    name: 'the machine is mute for less than a lease',
    async strike(w) {
      w.lentOn.mute = true;
      await w.run(1.2);
      w.lentOn.mute = false;
    },
    lateBy: 2,
  },
  {
    name: 'the machine is mute for longer than a lease',
    async strike(w) {
      w.lentOn.mute = true;
      await w.run(5);
      w.lentOn.mute = false;
    },
    lateBy: 8,
  },
  {
    name: 'the machine is deaf for longer than a lease, and the leader ends',
    async strike(w) {
      w.lentOn.deaf = true;
      await w.run(1);
      w.takeOver();
      await w.run(4);
      w.lentOn.deaf = false;
    },
    lateBy: 8,
  },
  {
    name: 'the machine dies',
    async strike(w) {
      w.batch.kill('m1');
      await replaceMachine(w);
    },
    lateBy: 8,
  },
  {
    name: 'the machine dies as the leader ends',
    async strike(w) {
      w.batch.kill('m1');
      w.takeOver();
      await replaceMachine(w);
    },
    lateBy: 8,
  },
  {
    name: 'the cloud takes the machine, with a notice',
    async strike(w) {
      w.lentOn.noticeS = 2;
      await w.run(2);
      w.batch.kill('m1');
      await replaceMachine(w);
    },
    lateBy: 8,
  },
  {
    name: 'its reports come twice and late, also to the next leader',
    async strike(w) {
      const copies = [...w.fleet.workers.values()].map((worker) => worker.report());
      await w.step();
      for (const copy of copies) w.leader.answerHeartbeat(copy);
      await w.run(1);
      w.takeOver();
      for (const copy of copies) w.leader.answerHeartbeat(copy);
    },
  },
  {
    name: 'saving never ends',
    at: SAVING,
    strike: (w) => void (w.batch.saving = 'never ends'),
  },
  {
    name: 'saving never ends, and the leader ends',
    at: SAVING,
    async strike(w) {
      w.batch.saving = 'never ends';
      await w.run(0.4);
      w.takeOver();
    },
  },
  { name: 'saving fails', at: SAVING, strike: (w) => void (w.batch.saving = 'fails') },
];

const JOBS: Trouble[] = [
  { name: 'the lender is cancelled', strike: (w) => w.cancel(LENDER), ends: /cancelled/ },
  {
    name: 'the lender is cancelled in the moment in which the leader ends',
    strike: (w) => w.cancelAndTakeOver(LENDER),
    ends: /cancelled/,
  },
  {
    name: 'the lender is cancelled in an outage in which the leader ends',
    strike: (w) => w.outage(OUTAGE_S, () => (w.cancel(LENDER), w.takeOver())),
    ends: /cancelled/,
  },
  {
    name: 'the borrower is cancelled',
    strike: (w) => w.cancel(BORROWER),
    ends: /resumed|cancelled/,
  },
  {
    name: 'the borrower is cancelled in the moment in which the leader ends',
    strike: (w) => w.cancelAndTakeOver(BORROWER),
    ends: /resumed|cancelled/,
  },
  {
    name: 'both are cancelled',
    strike(w) {
      w.cancel(BORROWER);
      w.cancel(LENDER);
    },
    ends: /cancelled/,
  },
  {
    name: 'a guarantee of the lender is raised by new settings',
    async strike(w) {
      w.settings.teams.set('b', { name: 'b', cores: 0, coresMax: 0, gpus: 8, gpusMax: 100 });
      w.takeOver();
      await w.run(3);
    },
  },
  {
    name: "the limit of the lender's team is lowered by new settings, and raised again",
    async strike(w) {
      w.settings.teams.set('b', { name: 'b', cores: 0, coresMax: 0, gpus: 0, gpusMax: 4 });
      w.takeOver();
      await w.run(5);
      w.settings.teams.set('b', { name: 'b', cores: 0, coresMax: 0, gpus: 0, gpusMax: 100 });
    },
    lateBy: 8,
  },
];

async function play(trouble: Trouble, point: Point): Promise<void> {
  const w = new LendingWorld();
  await w.playTo(point);
  await trouble.strike(w);
  await w.settle({ lateBy: trouble.lateBy ?? 1 });
  const states = [...w.seen.values()].map(({ state }) => state).join(' ');
  if (trouble.ends !== undefined) assert.match(states, trouble.ends);
  const { cancelled } = w.batch.work.get(BORROWER)!;
  assert.equal(w.fleet.running(BORROWER), cancelled ? 0 : 2, 'serving runs');
  assert.ok(w.batch.work.get(OTHER)!.cancelled);
  const prefix = records.subsystemPrefix('lending');
  assert.ok(w.store.keys().some((key) => key.startsWith(prefix)));
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
