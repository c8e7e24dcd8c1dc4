/** Meetings of troubles with the end of a leader: what the next one starts, stops and waits for. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { TaskStatus } from '../src/wire/workers.js';
import * as records from '../src/store/records.js';
import { outcome } from '../src/store/stored-job.js';
import { World, type Worker } from './meeting-helpers.js';

const JOB = 'wk-000001';
const OTHER = 'wk-000002';

const task = (worker: Worker, job = JOB, index = 0): TaskStatus =>
  worker.running(job).find((t) => t.index === index)!;

/** Machines that are known and ready. */
async function world(ids: string[], gpusMax = 100): Promise<World> {
  const w = new World(gpusMax);
  for (const id of ids) w.fleet.add(id, id.startsWith('z2') ? 'z2' : 'z1');
  await w.run(1);
  return w;
}

/** How far a task has come when the troubles begin. */
const STAGES: [string, (w: World) => Promise<void>][] = [
  ['waiting', async () => undefined],
  ['placed, its claim not stored', async (w) => w.pass()],
  [
    'placed, and its machine asks before the claim is stored',
    async (w) => {
      w.pass();
      w.checkin(w.fleet.workers.get('a')!);
    },
  ],
  [
    'its claim is under way',
    async (w) => {
      w.pass();
      await w.flushOnceAs('hold back');
    },
  ],
  [
    'claimed, not sent',
    async (w) => {
      w.pass();
      await w.flush();
    },
  ],
  [
    'sent, not seen',
    async (w) => {
      w.pass();
      await w.flush();
      w.sendDirect('a').arrive();
    },
  ],
  ['runs', (w) => w.run(1)],
  [
    'ended, not stored',
    async (w) => {
      await w.run(1);
      const a = w.fleet.workers.get('a')!;
      a.end(task(a), 'done');
      w.checkin(a);
    },
  ],
];

test('a job whose leader ends runs once, however far it has come', async () => {
  for (const [name, until] of STAGES) {
    const w = await world(['a']);
    w.job({ id: JOB });
    await until(w);
    w.takeOver();
    w.store.deliver();
    await w.run(3);
    const a = w.fleet.workers.get('a')!;
    if (a.running(JOB).length > 0) a.end(task(a), 'done');
    await w.run(3);
    assert.equal(outcome(w.replica.jobs.get(JOB)!), 'done', name);
    assert.equal(w.fleet.starts.get(`${JOB}/0`), 1, name);
    assert.deepEqual(w.fleet.broken, [], name);
    assert.equal(w.term.jobs.size, 0, name);
  }
});

test('a job that is cancelled as its leader ends starts no more and is gone', async () => {
  // The old leader learns of the cancellation, or it does not, or the next has to stop everything.
  const ways = ['no change', 'by the old leader', 'by the next', 'by word of another'] as const;
  for (const seen of ways) {
    for (const [name, until] of STAGES) {
      const w = await world(['a']);
      w.job({ id: JOB });
      await until(w);
      const late = w.machine('a').activeAttempts().length > 0 ? w.sendDirect('a') : null;
      w.cancel(JOB);
      if (seen === 'by word of another') w.leader.onKnownCancelled(JOB);
      if (seen === 'by the old leader' || seen === 'no change') w.store.feed(w.replica);
      if (seen !== 'by the next') await w.parts.store.flush();
      if (seen !== 'no change') w.takeOver();
      else late?.unanswered();
      w.store.deliver();
      w.checkin(w.fleet.workers.get('a')!);
      // What the old leader had sent arrives after the new one's first answer.
      late?.arrive();
      await w.run(4);
      assert.equal(w.fleet.running(JOB), 0, `${name}, ${seen}`);
      // Without a change what was on its way already starts, and is stopped.
      if (seen !== 'no change') assert.deepEqual(w.fleet.broken, [], `${name}, ${seen}`);
      assert.deepEqual(w.machine('a').activeAttempts(), [], `${name}, ${seen}`);
      if (seen !== 'no change') assert.equal(w.term.jobs.size, 0, `${name}, ${seen}`);
      assert.equal(outcome(w.store.feed(w.replica).jobs.get(JOB)!), 'cancelled', name);
    }
  }
});

test('leaders change ten times in two minutes, also inside an outage: all that runs goes on', async () => {
  const w = await world(['a', 'b']);
  w.job({ id: JOB, kind: 'service', tasks: 4 });
  w.job({ id: OTHER, kind: 'gang', tasks: 2 });
  await w.run(2);
  const numbers = (): string[] =>
    [...w.fleet.workers.values()].flatMap((x) => [...x.tasks.keys()]).sort();
  const before = numbers();
  assert.equal(before.length, 6);
  for (let i = 0; i < 10; i++) {
    w.writing = i % 3 !== 1;
    w.takeOver();
    await w.run(12);
    w.writing = true;
    assert.deepEqual(numbers(), before, `change ${i}`);
  }
  assert.ok([...w.fleet.starts.values()].every((n) => n === 1));
  // What starts now has a number of its own.
  const tasks = (): TaskStatus[] =>
    [...w.fleet.workers.values()].flatMap((x) => [...x.tasks.values()]);
  for (let failures = 0; failures < 2; failures++) {
    const old = tasks().find((t) => t.job === JOB && t.index === 0)!;
    for (const x of w.fleet.workers.values()) x.end(old, 'error');
    await w.run(5);
    const again = tasks().find((t) => t.job === JOB && t.index === 0)!;
    assert.equal(again.state, 'running');
    assert.ok(again.attempt > old.attempt, 'with a number of its own');
  }
});

test('a leader that the store refuses alone stops what another has told it is cancelled', async () => {
  const w = await world(['a']);
  w.job({ id: JOB });
  w.job({ id: OTHER });
  await w.run(1);
  w.writing = false;
  w.cancel(JOB);
  w.leader.onKnownCancelled(JOB);
  for (let i = 0; i < 3; i++) w.checkin(w.fleet.workers.get('a')!);
  assert.deepEqual([w.fleet.running(JOB), w.fleet.running(OTHER)], [0, 1]);
  w.writing = true;
  await w.run(3);
  assert.deepEqual([w.term.jobs.has(JOB), w.fleet.running(OTHER)], [false, 1]);
});

test('what is on machines that the new leader does not hear stays theirs for a lease', async () => {
  type Trouble = (worker: Worker) => void;
  const cases: [string, Trouble, Trouble][] = [
    ['reports lost', (a) => (a.mute = true), () => undefined],
    ['reports lost, then heard', (a) => (a.mute = true), (a) => (a.mute = false)],
    ['answers lost, then heard', (a) => (a.deaf = true), (a) => (a.deaf = false)],
  ];
  for (const [name, begin, end] of cases) {
    const w = await world(['a']);
    const { lease_s } = w.settings.workers;
    w.job({ id: JOB });
    await w.run(1);
    const a = w.fleet.workers.get('a')!;
    w.fleet.add('b');
    begin(a);
    w.takeOver();
    await w.run(lease_s * 0.9);
    assert.equal(w.fleet.starts.get(`${JOB}/0`), 1, `${name}: not given up before its time`);
    await w.run(lease_s);
    end(a);
    await w.run(lease_s);
    assert.equal(w.fleet.running(JOB), 1, name);
    assert.equal(w.fleet.starts.get(`${JOB}/0`), 2, name);
    assert.deepEqual(w.fleet.broken, [], name);
  }
});

test('all controllers are away for longer than a lease: everything begins anew, once', async () => {
  const w = await world(['a', 'b']);
  w.job({ id: JOB, tasks: 4 });
  await w.run(1);
  w.token = 0;
  await w.run(w.settings.workers.lease_s * 2);
  assert.equal(w.fleet.running(JOB), 0);
  w.takeOver();
  await w.run(4);
  assert.equal(w.fleet.running(JOB), 4);
  assert.ok([...w.fleet.starts.values()].every((n) => n === 2));
  assert.deepEqual(w.fleet.broken, []);
});

test('a transaction that comes late, of this leader or one before, undoes nothing newer', async () => {
  for (const next of [false, true]) {
    const w = await world(['a']);
    w.job({ id: JOB });
    w.pass();
    await w.flushOnceAs('hold back');
    if (next) w.takeOver();
    await w.run(2);
    w.job({ id: OTHER });
    await w.run(2);
    const key = records.machineKey('a');
    const revision = w.store.revision(key);
    w.store.deliver();
    assert.equal(w.store.revision(key), revision);
    // Nor does one that reaches the store before the new leader's first.
    w.job({ id: 'wk-000003' });
    w.pass();
    await w.flushOnceAs('hold back');
    if (next) w.takeOver();
    w.store.deliver();
    if (next) assert.equal(w.store.revision(key), revision);
    await w.run(2);
    assert.equal(records.decodeMachine(w.store.value(key)).claims.length, 3);
    assert.ok([...w.fleet.starts.values()].every((n) => n === 1));
  }
});

test('a machine in a zone that may be kept is lost only on proof', async () => {
  const cases: [string, number, number, boolean][] = [
    ['no controller is there', -Infinity, Infinity, true],
    ['its zone keeper may be keeping it', 60, Infinity, false],
    ['its zone keeper is there, by an old read', -Infinity, 0, false],
    ['its zone keeper is there, by a fresh read', -Infinity, 60, true],
  ];
  for (const [name, keptUntil, provenAt, lost] of cases) {
    const w = await world(['a', 'b']);
    w.job({ id: JOB, gpus: 8, cores: 8 });
    await w.run(1);
    const [on] = [...w.fleet.workers.values()].filter((x) => x.running(JOB).length > 0);
    on!.mute = true;
    w.zone = { keptUntil, provenAt };
    // Kept by its zone keeper.
    if (!lost) on!.answeredAt = Infinity;
    await w.run(w.settings.workers.lease_s * 2);
    assert.equal(w.fleet.starts.get(`${JOB}/0`), lost ? 2 : 1, name);
    assert.deepEqual(w.fleet.broken, [], name);
  }
});

test('old reports that come as a new leader begins, or later, prove nothing', async () => {
  const w = await world(['a', 'b']);
  w.job({ id: JOB, kind: 'service', tasks: 2, gpus: 8, cores: 8 });
  const a = w.fleet.workers.get('a')!;
  const empty = a.report();
  await w.run(2);
  const old = a.report();
  // There is room elsewhere.
  const c = w.fleet.add('c');
  const check = (name: string): void => {
    assert.equal(w.fleet.running(JOB), 2, name);
    assert.ok(
      [...w.fleet.starts.values()].every((n) => n === 1),
      name,
    );
    assert.deepEqual(w.fleet.broken, [], name);
  };
  for (const when of ['at once', 'after it has heard the machine', 'after a change'] as const) {
    w.takeOver();
    if (when === 'at once') {
      for (let i = 0; i < 2; i++) w.checkin(c);
      w.leader.answerHeartbeat(empty);
      w.pass();
      await w.flush();
      w.checkin(c);
    }
    await w.run(1);
    if (when !== 'at once') for (const copy of [old, empty]) w.leader.answerHeartbeat(copy);
    if (when !== 'at once') w.leader.answerHeartbeat({ ...empty, token: w.token });
    if (when === 'after a change')
      w.leader.answerHeartbeat({ ...empty, agentEpoch: 0, sequence: 1e6 });
    w.pass();
    await w.run(2);
    check(when);
  }
  // A leader whose time is over answers nobody who knows of a later one.
  assert.equal(w.leader.answerHeartbeat({ ...old, token: w.token + 1 }).status, 503);
  // Of an earlier attempt of a task that runs there again.
  a.end(task(a, JOB, w.machine('a').activeAttempts()[0]!.index), 'error');
  await w.run(3);
  w.leader.answerHeartbeat({ ...old, token: w.token });
  await w.run(1);
  assert.equal(w.fleet.running(JOB), 2);
  assert.deepEqual(w.fleet.broken, []);
});

test('a team at its limit stays there while cancelled tasks may still run', async () => {
  for (const change of [false, true]) {
    const w = await world(['a', 'b'], 2);
    w.job({ id: JOB, kind: 'service', tasks: 2, cores: 8 });
    await w.run(1);
    const [a, b] = [w.fleet.workers.get('a')!, w.fleet.workers.get('b')!];
    assert.deepEqual([a.running(JOB).length, b.running(JOB).length], [1, 1]);
    b.mute = true;
    w.cancel(JOB);
    if (change) w.takeOver();
    w.job({ id: OTHER, tasks: 2 });
    w.fleet.add('c');
    for (let i = 0; i < 40; i++) {
      await w.run(0.2);
      assert.ok(w.fleet.running(JOB) + w.fleet.running(OTHER) <= 2, `change: ${change}`);
    }
    assert.equal(w.fleet.running(OTHER), 2, 'once the lease has run out');
    assert.deepEqual(w.fleet.broken, []);
  }
});

test('work bound to one zone stays in it while some of it may be there', async () => {
  for (const kind of ['array', 'gang'] as const) {
    const w = await world(['a', 'z2b']);
    const tasks = kind === 'gang' ? 2 : 3;
    w.job({ id: JOB, kind, tasks, gpus: 4, cores: 4, oneZone: true });
    await w.run(1);
    const home = [...w.fleet.workers.values()].find((x) => x.running(JOB).length === 2)!;
    assert.ok(home !== undefined, kind);
    const away = [...w.fleet.workers.values()].find((x) => x !== home)!;
    assert.equal(away.running(JOB).length, 0, `${kind}: the third waits for room`);
    home.mute = true;
    w.takeOver();
    await w.run(w.settings.workers.lease_s * 0.9);
    assert.equal(away.running(JOB).length, 0, kind);
    await w.run(w.settings.workers.lease_s);
    assert.equal(away.running(JOB).length, 2, kind);
    assert.deepEqual(w.fleet.broken, [], kind);
  }
});

test('tasks that end far apart, each just before a change of leader, count once and for ever', async () => {
  const w = await world(['a', 'b']);
  w.job({ id: JOB, tasks: 3 });
  await w.run(1);
  for (let index = 0; index < 3; index++) {
    const on = [...w.fleet.workers.values()].find((x) => task(x, JOB, index) !== undefined)!;
    on.end(task(on, JOB, index), 'done');
    // Heard by the leader, and stored or not when it ends.
    w.checkin(on);
    if (index === 1) await w.run(2);
    w.checkin(on);
    w.takeOver();
    await w.run(10);
    const storedJob = w.replica.jobs.get(JOB)!;
    assert.equal(storedJob.doneTasks, index + 1);
    assert.equal(outcome(storedJob), index === 2 ? 'done' : 'open');
  }
  assert.ok([...w.fleet.starts.values()].every((n) => n === 1));
  assert.deepEqual(w.fleet.broken, []);
  assert.ok(
    [...w.fleet.workers.values()].every((x) => x.tasks.size === 0),
    'forgotten',
  );
});

test('one-task jobs four a second, a quarter cancelled: each runs once, or never after its end', async () => {
  const w = await world(['a', 'b']);
  const jobs: string[] = [];
  for (let i = 0; i < 120; i++) {
    const id = `wk-${1000 + i}`;
    jobs.push(id);
    w.job({ id });
    if (i % 4 === 1) w.cancel(jobs[i - (i % 3)]!);
    w.store.feed(w.replica);
    if (i === 60) w.takeOver();
    await w.run(0.2);
    for (const x of w.fleet.workers.values()) {
      for (const t of x.tasks.values()) if (i % 2 === 0) x.end(t, 'done');
    }
  }
  await w.run(3);
  for (const x of w.fleet.workers.values()) for (const t of x.tasks.values()) x.end(t, 'done');
  await w.run(3);
  assert.deepEqual(w.fleet.broken, []);
  assert.equal(w.term.jobs.size, 0);
  for (const id of jobs) {
    const over = outcome(w.replica.jobs.get(id)!);
    assert.ok(over === 'done' || (over === 'cancelled' && w.fleet.cancelled.has(id)), id);
    assert.ok((w.fleet.starts.get(`${id}/0`) ?? 0) <= 1, id);
  }
});

test('a cancellation that meets the end of the last task: the older of the two in the store', async () => {
  const cases: [string, (w: World) => Promise<void>, string][] = [
    ['cancelled, then ended', async (w) => w.cancel(JOB), 'cancelled'],
    ['the end is stored first', async (w) => (await w.flush(), w.cancel(JOB)), 'done'],
    [
      'its answer is lost',
      async (w) => {
        await w.flushOnceAs('lose answers');
        w.cancel(JOB);
      },
      'done',
    ],
    [
      'it comes late',
      async (w) => {
        await w.flushOnceAs('hold back');
        w.cancel(JOB);
        w.store.deliver();
      },
      'cancelled',
    ],
    [
      'it comes late, just before',
      async (w) => {
        await w.flushOnceAs('hold back');
        w.store.deliver();
        w.cancel(JOB);
      },
      'done',
    ],
  ];
  for (const [name, meet, want] of cases) {
    for (const change of [false, true]) {
      const w = await world(['a']);
      w.job({ id: JOB });
      await w.run(1);
      const a = w.fleet.workers.get('a')!;
      a.end(task(a), 'done');
      w.checkin(a);
      await meet(w);
      // The leader's own record may be the one that is refused, never a second one that counts.
      const told = outcome(w.store.feed(w.replica).jobs.get(JOB)!);
      assert.equal(told, want, name);
      const at = w.store.revision(records.progressKey(JOB, 0));
      if (change && want !== 'done') w.takeOver();
      await w.run(4);
      assert.equal(outcome(w.store.feed(w.replica).jobs.get(JOB)!), want, name);
      assert.equal(w.term.jobs.size, 0, name);
      assert.equal(w.fleet.starts.get(`${JOB}/0`), 1, name);
      assert.equal(a.tasks.size, 0, name);
      const again = w.store.revision(records.progressKey(JOB, 0));
      assert.ok(want !== 'done' || again === at, `${name}: never written again`);
    }
  }
});

test('a direct start or stop that arrives late is carried out once, and starts nothing anew', async () => {
  const w = await world(['a']);
  w.job({ id: JOB });
  w.pass();
  await w.flush();
  const start = w.sendDirect('a');
  start.unanswered();
  await w.run(1);
  const a = w.fleet.workers.get('a')!;
  assert.equal(w.fleet.running(JOB), 1, 'sent again with an answer');
  start.arrive();
  assert.equal(w.fleet.starts.get(`${JOB}/0`), 1);
  a.end(task(a), 'done');
  await w.run(3);
  start.arrive();
  await w.run(1);
  assert.equal(w.fleet.starts.get(`${JOB}/0`), 1);
  w.job({ id: OTHER });
  await w.run(1);
  w.cancel(OTHER);
  w.store.feed(w.replica);
  const stop = w.sendDirect('a');
  stop.unanswered();
  await w.run(1);
  stop.arrive();
  await w.run(1);
  assert.equal(w.fleet.running(OTHER), 0);
  assert.deepEqual(w.fleet.broken, []);
});

test('nothing starts before the store names it', async () => {
  const w = await world(['a']);
  w.job({ id: JOB });
  w.pass();
  const a = w.fleet.workers.get('a')!;
  w.checkin(a);
  assert.equal(w.fleet.running(JOB), 0);
  await w.flush();
  w.checkin(a);
  assert.equal(w.fleet.running(JOB), 1);
});

test('a start that was not answered may come at any time until the session ends', async () => {
  for (const ends of [false, true]) {
    const w = await world(['a']);
    w.job({ id: JOB });
    w.pass();
    await w.flush();
    const start = w.sendDirect('a');
    start.unanswered();
    const a = w.fleet.workers.get('a')!;
    w.fleet.add('b');
    // The machine is to be taken: its task is wanted elsewhere.
    a.noticeS = 60;
    if (ends) a.session++;
    await w.run(2);
    if (ends) assert.equal(w.fleet.running(JOB), 1);
    start.arrive();
    await w.run(5);
    assert.equal(w.fleet.running(JOB), 1);
    assert.deepEqual(w.fleet.broken, []);
  }
});

test('a machine with a start under way is not returned; one that is being returned gets none', async () => {
  const w = await world(['a', 'b']);
  const idle = w.settings.workers.lease_s * 40;
  await w.run(idle);
  w.job({ id: JOB, gpus: 8, cores: 8 });
  w.pass();
  const placed = w.term.jobs.get(JOB)!.live.get(0)![0]!.machine;
  // It would go back at once if it were empty.
  w.machine(placed).quarantined = true;
  assert.ok(!w.parts.capacity.toReturn().includes(placed));
  assert.equal(w.machine(placed).state, 'ready');
  await w.run(1);
  const other = placed === 'a' ? 'b' : 'a';
  w.machine(other).changeState('returning');
  w.term.dirtyMachines.add(other);
  await w.flush();
  // The request stays unanswered; the leader changes; it is carried out late.
  w.job({ id: OTHER, gpus: 8, cores: 8 });
  await w.run(2);
  w.takeOver();
  await w.run(2);
  assert.equal(w.term.jobs.get(OTHER)!.holdingCount, 0);
  assert.equal(w.machine(other).state, 'returning');
  w.parts.capacity.returned([other]);
  assert.equal(w.term.machines.has(other), false);
});
