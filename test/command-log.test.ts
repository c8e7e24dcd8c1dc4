/** The log lines and figures that tell which command was sent under which token, and why. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { ControlPlaneWorld } from './support/control-plane-world.js';
import { HeartbeatLoop } from './support/heartbeat-loop.js';

const JOB = 'wk-000001';
const URGENT_JOB = 'wk-000002';

test('each command is logged once, with its token, the revision that was read and the reason of a stop', async () => {
  const world = new ControlPlaneWorld();
  const worker = world.fleet.add('host-000001');
  world.heartbeatLoops.push(new HeartbeatLoop(world, worker, { reportsNewToken: true }));
  await world.runUntil(10);
  world.submitJob({ id: JOB, gpus: 8 });
  await world.runUntil(11);
  world.submitJob({ id: URGENT_JOB, kind: 'service', priority: 0, gpus: 8 });
  await world.runUntil(20);
  const { leader, token } = world.leader!.term!;
  const sent = world.logLines.filter(({ msg }) => msg === 'commands sent');
  const ofJob = (field: string): unknown[] =>
    sent.flatMap((line) => (line[field] as string[]).filter((text) => text.startsWith(JOB)));
  const record = world.store.revision('ps/m/host-000001');
  assert.match(String(ofJob('starts')[0]), new RegExp(`^${JOB}/0#${token}@\\d+$`));
  assert.deepEqual(ofJob('stops'), [`${JOB}/0#${token} 0s preempted`]);
  assert.deepEqual(ofJob('forgets'), [`${JOB}/0#${token}`]);
  for (const line of sent) {
    assert.ok((line.token as number) >= token && (line.token as number) <= record);
    assert.ok((line.revision as number) >= token);
    assert.equal(line.agentEpoch, 1);
  }
  const statistics = leader.statistics();
  assert.equal(Number(statistics.starts_direct) + Number(statistics.starts_with_heartbeat), 2);
  assert.ok(Number(statistics.commands_direct) >= 1);
  assert.equal(statistics.commands_direct_refused, 0);
});
