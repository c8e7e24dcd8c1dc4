/** Late reports, mute machines and sessions: until when a worker may keep its tasks, as counted here. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Machine } from '../src/workers/machine.js';
import type { Heartbeat } from '../src/wire/workers.js';
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
    const report = (s: Seen): Heartbeat => ({
      ...worker.report(),
      token: w.token,
      agentEpoch: s.session,
      sequence: s.seq,
    });
    for (const s of heard) {
      if (s.direct === true) w.machine('a').applyHeartbeat(report(s), false, w.now);
      else w.leader.answerHeartbeat(report(s));
    }
    const before = w.machine('a').leaseExpiresAt;
    w.fleet.now += 1;
    w.leader.answerHeartbeat(report(then));
    assert.equal(w.machine('a').leaseExpiresAt > before, moves, name);
  }
});

test('a session first shown by the answer to a direct command has its whole lease', () => {
  const lease = 10;
  const m = new Machine('m', 5, lease, 0);
  const report: Heartbeat = {
    machine: 'm', addr: 'a:1', type: 'g8', zone: 'z1', spot: false, agentEpoch: 1, sequence: 1, token: 5,
    reclaimNoticeS: null, tasks: [],
  }; // prettier-ignore
  m.applyHeartbeat(report, true, 0);
  m.leaseRenewed(0);
  const at = lease + 0.1;
  m.applyHeartbeat({ ...report, agentEpoch: 2, sequence: 1 }, false, at);
  assert.ok(m.leaseExpiresAt >= at + lease, 'the worker began it no later than now');
});

test('a machine that reaches no controller gets nothing new, though direct commands reach it', async () => {
  const w = new World();
  const a = w.fleet.add('a');
  await w.run(1);
  a.mute = true;
  for (let i = 0; i < 8; i++) {
    w.fleet.now += w.settings.workers.report_s;
    w.machine('a').applyHeartbeat(a.report(), false, w.now);
  }
  w.job({ id: JOB });
  w.pass();
  assert.deepEqual(w.machine('a').activeAttempts(), []);
});

test('a late copy of a report makes no machine that was returned come back', async () => {
  const w = new World();
  const a = w.fleet.add('a');
  await w.run(1);
  const copy = a.report();
  w.checkin(a);
  w.fleet.workers.delete('a');
  w.parts.capacity.returned(['a']);
  w.leader.answerHeartbeat(copy);
  w.leader.answerHeartbeat(copy);
  w.job({ id: JOB });
  w.pass();
  await w.flush();
  assert.equal(w.term.jobs.get(JOB)!.holdingCount, 0);
});
