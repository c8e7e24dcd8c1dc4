import assert from 'node:assert/strict';
import { after, before, test } from 'node:test';
import { QuorumAcknowledgement } from '../src/leadership/quorum-acknowledgement.js';
import { ACKNOWLEDGEMENTS } from '../src/store/records.js';
import { until, wait } from './helpers.js';
import { Cluster } from './standins/cluster.js';

test('a leader counts leases as expired only once a majority has acknowledged it', () => {
  // Number of controllers, the others' remaining promises at 100 s, and until when they may renew leases.
  const cases: [string, number, number[], number][] = [
    ['alone', 1, [], -Infinity],
    ['no answer yet', 3, [], 100],
    ['one of three', 3, [-50], 50],
    ['one of three with a current promise', 3, [1.5], 101.5],
    ['and another without one', 3, [1.5, -50], 50],
    ['one of five is not enough', 5, [-50], 100],
    ['two of five', 5, [-50, -20], 80],
    ['the two earliest ends of three', 5, [2, -50, -20], 80],
    ['four controllers need two others', 4, [-50], 100],
  ];
  for (const [name, controllerCount, remains, renewUntil] of cases) {
    const acknowledgement = new QuorumAcknowledgement(7, controllerCount, { now: () => 100 });
    remains.forEach((remainsS, i) => acknowledgement.record(`n-${i}`, { remainsS }));
    assert.equal(acknowledgement.othersRenewUntil, renewUntil, name);
    assert.equal(acknowledgement.state, renewUntil === 100 ? 'pending' : 'reached', name);
  }
});

const LEASE_S = 4;
let cluster: Cluster;

before(async () => {
  cluster = await Cluster.start({ leaseS: LEASE_S });
});

after(() => cluster.close());

test('two controllers that are each refused alone cause no task to run twice while a third one is served', async () => {
  const ref = 'wk-000001';
  await cluster.users.submit(0, ref, { form: 'daemon', pieces: 2 });
  await cluster.waitForRunning(ref, 2);

  // The leader and another controller are refused, each one alone, and cut off from the one that is served.
  // The present machines reach only those two.
  const old = await cluster.waitForLeader();
  const served = (old + 1) % 3;
  const third = (old + 2) % 3;
  cluster.cutLinks(true, served);
  for (const at of [old, third]) cluster.storeAccess[at]!.refuses = true;
  for (const worker of cluster.workers) worker.unreachable.add(served);
  // New machines reach only the one that is served.
  cluster.cloud.fleetContext.unreachable = [old, third];
  await until('the served controller leads', () => cluster.leads(served));
  // Guards against a leader that counts the leases as expired after this time, and starts running tasks again.
  await wait(LEASE_S * 1000 * 2.5);
  assert.equal(cluster.tasks(ref).length, 2);
  cluster.assertRules();
  assert.equal(cluster.rules.starts.get(`${ref}/0`), 1);

  cluster.cutLinks(false, served);
  await until('the old leader has stopped leading', () => !cluster.leads(old));
  for (const access of cluster.storeAccess) access.refuses = false;
  cluster.cloud.fleetContext.unreachable = [];
  for (const worker of cluster.workers) worker.unreachable.clear();
  await cluster.waitForLeader();
  await cluster.waitForRunning(ref, 2);
  cluster.assertRules();
});

test('without the peer link a new leader is acknowledged through the store', async () => {
  cluster.cutLinks(true, ...cluster.indexes);
  const old = await cluster.waitForLeader();
  cluster.stopController(old);
  await cluster.waitForLeader(old);
  await until('acknowledged in the store', () => {
    const token = cluster.controllers[cluster.leader()]?.election.token ?? 0;
    return [...cluster.store.keys].some(
      ([key, entry]) =>
        key.startsWith(ACKNOWLEDGEMENTS) && (entry.value as { t: number }).t === token,
    );
  });
});
