/** Until when a worker may keep its tasks, as the leader computes it: late heartbeats, mute machines and agent epochs. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Machine } from '../src/workers/machine.js';
import type { Heartbeat } from '../src/wire/workers.js';
import { LeaderWorld } from './support/leader-world.js';

const JOB = 'wk-000001';

test('only a heartbeat whose answer the worker still waits for extends its lease', async () => {
  // The heartbeats received so far, the next one, and whether its answer extends the lease.
  interface Seen {
    agentEpoch: number;
    sequence: number;
    direct?: boolean;
  }
  const cases: [string, Seen[], Seen, boolean][] = [
    ['the next heartbeat', [{ agentEpoch: 1, sequence: 10 }], { agentEpoch: 1, sequence: 11 }, true],
    ['a copy of the last', [{ agentEpoch: 1, sequence: 10 }], { agentEpoch: 1, sequence: 10 }, false],
    ['a copy of an older one', [{ agentEpoch: 1, sequence: 10 }], { agentEpoch: 1, sequence: 7 }, false],
    ['one of an earlier agent epoch', [{ agentEpoch: 2, sequence: 3 }], { agentEpoch: 1, sequence: 9 }, false],
    [
      'overtaken by the answer to a direct command',
      [{ agentEpoch: 1, sequence: 10 }, { agentEpoch: 1, sequence: 12, direct: true }],
      { agentEpoch: 1, sequence: 11 },
      true,
    ],
  ]; // prettier-ignore
  for (const [name, received, next, isExtended] of cases) {
    const world = new LeaderWorld();
    const worker = world.fleet.add('a');
    const heartbeatOf = (seen: Seen): Heartbeat => ({
      ...worker.heartbeat(),
      token: world.token,
      agentEpoch: seen.agentEpoch,
      sequence: seen.sequence,
    });
    for (const seen of received) {
      if (seen.direct === true)
        world.machine('a').applyHeartbeat(heartbeatOf(seen), 'direct-answer', world.now);
      else world.leader.answerHeartbeat(heartbeatOf(seen));
    }
    const before = world.machine('a').leaseExpiresAt;
    world.fleet.now += 1;
    world.leader.answerHeartbeat(heartbeatOf(next));
    assert.equal(world.machine('a').leaseExpiresAt > before, isExtended, name);
  }
});

test('an agent epoch first shown by the answer to a direct command has a full lease', () => {
  const lease = 10;
  const machine = new Machine('m', 5, lease, 0);
  const heartbeat: Heartbeat = {
    machine: 'm', addr: 'a:1', type: 'g8', zone: 'z1', spot: false, agentEpoch: 1, sequence: 1, token: 5,
    reclaimNoticeS: null, tasks: [],
  }; // prettier-ignore
  machine.applyHeartbeat(heartbeat, 'heartbeat', 0);
  machine.leaseRenewed(0);
  const at = lease + 0.1;
  machine.applyHeartbeat({ ...heartbeat, agentEpoch: 2, sequence: 1 }, 'direct-answer', at);
  assert.ok(machine.leaseExpiresAt >= at + lease, 'the worker began the epoch no later than now');
});

test('a machine that reaches no controller gets no new work, although direct commands reach it', async () => {
  const world = new LeaderWorld();
  const worker = world.fleet.add('a');
  await world.run(1);
  worker.heartbeatsLost = true;
  for (let i = 0; i < 8; i++) {
    world.fleet.now += world.settings.workers.report_s;
    world.machine('a').applyHeartbeat(worker.heartbeat(), 'direct-answer', world.now);
  }
  world.submitJob({ id: JOB });
  world.runCycle();
  assert.deepEqual(world.machine('a').activeAttempts(), []);
});

test('a late copy of a heartbeat does not restore a returned machine', async () => {
  const world = new LeaderWorld();
  const worker = world.fleet.add('a');
  await world.run(1);
  const copy = worker.heartbeat();
  world.exchangeHeartbeat(worker);
  world.fleet.workers.delete('a');
  world.parts.capacity.machinesReturned(['a']);
  world.leader.answerHeartbeat(copy);
  world.leader.answerHeartbeat(copy);
  world.submitJob({ id: JOB });
  world.runCycle();
  await world.writeAll();
  assert.equal(world.term.jobs.get(JOB)!.activeAttemptCount, 0);
});
