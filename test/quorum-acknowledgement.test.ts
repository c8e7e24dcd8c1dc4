import assert from 'node:assert/strict';
import { after, before, test } from 'node:test';
import { QuorumAcknowledgement } from '../src/leadership/quorum-acknowledgement.js';
import { ACKNOWLEDGEMENTS } from '../src/store/records.js';
import { until, wait } from './helpers.js';
import { Cluster } from './standins/cluster.js';

test('a leader counts leases as run out only once a majority has acknowledged it', () => {
  // Nodes, what the others say of their promises at 100 s, and until when leases may be kept.
  const cases: [string, number, number[], number][] = [
    ['alone', 1, [], -Infinity],
    ['nobody yet', 3, [], 100],
    ['one of three', 3, [-50], 50],
    ['one with a promise that still runs', 3, [1.5], 101.5],
    ['another without one', 3, [1.5, -50], 50],
    ['one of five is not enough', 5, [-50], 100],
    ['two of five', 5, [-50, -20], 80],
    ['the best two of five', 5, [2, -50, -20], 80],
    ['four nodes need two others', 4, [-50], 100],
  ];
  for (const [name, nodes, remains, kept] of cases) {
    const m = new QuorumAcknowledgement(7, nodes, { now: () => 100 });
    remains.forEach((remainsS, i) => m.record(`n-${i}`, { remainsS }));
    assert.equal(m.othersRenewUntil, kept, name);
    assert.equal(m.state, kept === 100 ? 'pending' : 'reached', name);
  }
});

const LEASE = 4;
let cluster: Cluster;

before(async () => {
  cluster = await Cluster.start({ leaseS: LEASE });
});

after(() => cluster.close());

test('two controllers that are each refused alone do not pass for an outage beside one that is served', async () => {
  const ref = 'wk-000001';
  await cluster.users.submit(0, ref, { form: 'daemon', pieces: 2 });
  await cluster.runs(ref, 2);

  // The leader and another are refused, each for itself, and cut off from the one that is served.
  // The machines reach only those two.
  const old = await cluster.newLeader();
  const served = (old + 1) % 3;
  const third = (old + 2) % 3;
  cluster.cutLinks(true, served);
  for (const at of [old, third]) cluster.access[at]!.refuses = true;
  for (const worker of cluster.workers) worker.unreachable.add(served);
  // New ones reach the other.
  cluster.cloud.around.unreachable = [old, third];
  await until('the served one leads', () => cluster.leads(served));
  // It once took the leases for run out after this time, and started anew what was still running.
  await wait(LEASE * 1000 * 2.5);
  assert.equal(cluster.tasks(ref).length, 2);
  cluster.assertRules();
  assert.equal(cluster.rules.starts.get(`${ref}/0`), 1);

  cluster.cutLinks(false, served);
  await until('the old one yields', () => !cluster.leads(old));
  for (const access of cluster.access) access.refuses = false;
  cluster.cloud.around.unreachable = [];
  for (const worker of cluster.workers) worker.unreachable.clear();
  await cluster.newLeader();
  await cluster.runs(ref, 2);
  cluster.assertRules();
});

test('without the peer link a new leader is acknowledged by way of the store', async () => {
  cluster.cutLinks(true, ...cluster.indexes);
  const old = await cluster.newLeader();
  cluster.stopController(old);
  await cluster.newLeader(old);
  await until('acknowledged in the store', () => {
    const token = cluster.controllers[cluster.leader()]?.election.token ?? 0;
    return [...cluster.state.keys].some(
      ([key, entry]) =>
        key.startsWith(ACKNOWLEDGEMENTS) && (entry.value as { t: number }).t === token,
    );
  });
});
