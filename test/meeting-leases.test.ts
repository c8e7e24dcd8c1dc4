/** Late reports, mute machines and sessions: until when a worker may keep its tasks, as counted here. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Machine } from '../src/workers/machine.js';
import type { Report } from '../src/wire/workers.js';
import { World } from './meeting-helpers.js';

const JOB = 'wk-000001';

test('only a check-in that its worker still waits for moves the end of its lease', async () => {
  // What the machine has heard last, the report that comes then, and whether its answer counts.
  interface Seen {
    session: number;
    seq: number;
    direct?: boolean;
  }
  const cases: [string, Seen[], Seen, boolean][] = [
    ['the next one', [{ session: 1, seq: 10 }], { session: 1, seq: 11 }, true],
    ['a copy of the last', [{ session: 1, seq: 10 }], { session: 1, seq: 10 }, false],
    ['a copy of an older one', [{ session: 1, seq: 10 }], { session: 1, seq: 7 }, false],
    ['of an earlier session', [{ session: 2, seq: 3 }], { session: 1, seq: 9 }, false],
    [
      'overtaken by the answer to a direct command',
      [{ session: 1, seq: 10 }, { session: 1, seq: 12, direct: true }],
      { session: 1, seq: 11 },
      true,
    ],
  ]; // prettier-ignore
  for (const [name, heard, then, moves] of cases) {
    const w = new World();
    const worker = w.fleet.add('a');
    const report = (s: Seen): Report => ({
      ...worker.report(),
      token: w.token,
      session: s.session,
      seq: s.seq,
    });
    for (const s of heard) {
      if (s.direct === true) w.machine('a').apply(report(s), false, w.now);
      else w.leader.checkin(report(s));
    }
    const before = w.machine('a').leaseEnd;
    w.fleet.now += 1;
    w.leader.checkin(report(then));
    assert.equal(w.machine('a').leaseEnd > before, moves, name);
  }
});

test('a session first shown by the answer to a direct command has its whole lease', () => {
  const lease = 10;
  const m = new Machine('m', 5, lease, 0);
  const report: Report = {
    machine: 'm', addr: 'a:1', type: 'g8', zone: 'z1', spot: false, session: 1, seq: 1, token: 5,
    noticeS: null, tasks: [],
  }; // prettier-ignore
  m.apply(report, true, 0);
  m.renewed(0);
  const at = lease + 0.1;
  m.apply({ ...report, session: 2, seq: 1 }, false, at);
  assert.ok(m.leaseEnd >= at + lease, 'the worker began it no later than now');
});

test('a machine that reaches no controller gets nothing new, though direct commands reach it', async () => {
  const w = new World();
  const a = w.fleet.add('a');
  await w.run(1);
  a.mute = true;
  for (let i = 0; i < 8; i++) {
    w.fleet.now += w.settings.workers.report_s;
    w.machine('a').apply(a.report(), false, w.now);
  }
  w.job({ id: JOB });
  w.pass();
  assert.deepEqual(w.machine('a').held(), []);
});

test('a late copy of a report makes no machine that was returned come back', async () => {
  const w = new World();
  const a = w.fleet.add('a');
  await w.run(1);
  const copy = a.report();
  w.checkin(a);
  w.fleet.workers.delete('a');
  w.parts.capacity.returned(['a']);
  w.leader.checkin(copy);
  w.leader.checkin(copy);
  w.job({ id: JOB });
  w.pass();
  await w.flush();
  assert.equal(w.term.jobs.get(JOB)!.holdingCount, 0);
});
