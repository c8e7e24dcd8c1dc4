/** Elections and confirmations of an outage when answers are lost and reads of the store have different outcomes. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Election } from '../src/leadership/election.js';
import { encodeFrame, MAX_FRAME_BYTES } from '../src/peers/frames.js';
import type { PeerNetwork } from '../src/peers/peer-network.js';
import { silentLog } from '../src/log.js';
import { RequestRejectedError, OutcomeUnknownError } from '../src/store/client.js';
import type { ReplicaSync } from '../src/store/replica-sync.js';
import * as records from '../src/store/records.js';
import { Replica } from '../src/store/replica.js';
import { MemoryStore } from './support/memory-store.js';
import { fake } from './support/fake.js';

const WORKERS = { lease_s: 10, cancel_s: 30 };
const LONG_AGO_S = -1000;

/** A controller of the given store whose process started long ago. */
function controller(
  store: MemoryStore,
  ready = true,
): { election: Election; campaign(): Promise<boolean> } {
  const clock = { now: LONG_AGO_S };
  const replica = ready ? store.listedReplica() : new Replica(store.valueBytes);
  const sync = (): Promise<boolean> => Promise.resolve(store.replayInto(replica) !== null);
  const election = new Election({
    node: 'a',
    incarnation: 'a-1',
    controllerCount: 3,
    workers: WORKERS,
    store: store.client(),
    replicaSync: fake<ReplicaSync>({ ready, sync, freshAt: 0 }),
    replica,
    peers: () => fake<PeerNetwork>({ peerNames: [] }),
    clock: { now: () => clock.now },
    log: silentLog(),
    events: {
      onElected: () => undefined,
      onDeposed: () => undefined,
      onKnownCancelled: () => undefined,
      cancelledSince: (revision) => [...replica.cancelledSince(revision)],
    },
    healthierCanCampaign: () => false,
  });
  clock.now = 0;
  const parts = election as unknown as { campaign(expectedRevision: number): Promise<boolean> };
  const campaign = async (): Promise<boolean> => {
    election.role = 'candidate';
    const won = await parts.campaign(0);
    if (!won) election.role = 'follower';
    return won;
  };
  return { election, campaign };
}

test('a promise in one answer is not withdrawn by another answer that is given meanwhile', async () => {
  const store = new MemoryStore();
  store.put(records.LEADER, records.encodeLeader({ node: 'b', incarnation: 'b-1' }));
  const { election } = controller(store);
  const pendingReads: ((error: Error) => void)[] = [];
  store.get = () => new Promise((_, reject) => pendingReads.push(reject));
  const unanswered = election.outageQuorum.answer(1, 1000, 0);
  const refused = election.outageQuorum.answer(1, 2000, 0);
  pendingReads[0]!(new OutcomeUnknownError('no answer'));
  assert.equal((await unanswered).refused, undefined);
  pendingReads[1]!(new RequestRejectedError(503));
  assert.equal((await refused).refused, true);
  assert.ok(election.acknowledge(5) >= 2, 'promised for two seconds');
});

test('a controller that has never read the store confirms an outage to no leader', async () => {
  // The previous process may have acknowledged a later leader.
  const store = new MemoryStore();
  const { election } = controller(store, false);
  store.mode = 'refuse';
  assert.notEqual((await election.outageQuorum.answer(3, 1000, 0)).refused, true);
});

test('an answer in an outage lists thousands of cancellations, but none of jobs without tasks', async () => {
  // Guards against a limit on their number: with one of 4,096 a controller could not confirm the outage, and all tasks ended.
  const many = 10_000;
  const idOf = (i: number): string => `wk-${1_000_000 + i}`;
  const store = new MemoryStore();
  for (let i = 0; i < many; i++) store.accept({ id: idOf(i) });
  const first = 'wk-1';
  store.accept({ id: first });
  for (let i = 0; i < many; i++)
    store.accept({ id: `wk-2${idOf(i).slice(3)}`, dependencies: [first] });
  const before = store.currentRevision;
  for (let i = 0; i < many; i++) store.cancel(idOf(i));
  store.cancel(first);
  const { election } = controller(store);
  store.mode = 'refuse';
  const answer = await election.outageQuorum.answer(1, 1000, before);
  assert.equal(answer.refused, true);
  assert.equal(answer.cancelled?.length, many + 1);
  assert.ok(encodeFrame({ id: 1, a: answer }).length <= MAX_FRAME_BYTES);
});

test("the key of an earlier campaign that is stored late is not taken for this campaign's key", async () => {
  // It is attached to the lease of the earlier campaign, which nobody renews.
  const store = new MemoryStore();
  const { campaign } = controller(store);
  store.mode = 'hold back';
  assert.equal(await campaign(), false);
  const get = store.get.bind(store);
  store.get = (key) => {
    store.deliverHeldBack();
    return get(key);
  };
  assert.equal(await campaign(), false);
});
