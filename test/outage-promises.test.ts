/** Promises and renewals that a controller remembers: a later leader counts leases from their end. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { OutageQuorum } from '../src/leadership/outage-quorum.js';
import { silentLog } from '../src/log.js';
import type { RefusedAnswer } from '../src/peers/messages.js';
import type { PeerNetwork } from '../src/peers/peer-network.js';
import { RequestRejectedError, type KeyValueStoreClient } from '../src/store/client.js';
import type { ReplicaSync } from '../src/store/replica-sync.js';
import type { Replica } from '../src/store/replica.js';
import { fake } from './support/fake.js';

const TTL_S = 3;
const TOKEN = 7;

/** A controller that is asked, and asks, about refusals; its reads of the store are answered by hand. */
class Witness {
  now = 100;
  peerFreshAgeS = 0;
  readonly replicaSync = { ready: true, freshAt: 100 };
  private readonly reads: ((served: boolean) => void)[] = [];
  private storeRefuses = false;
  readonly outage: OutageQuorum;

  constructor(allowanceS = 10) {
    this.outage = new OutageQuorum({
      controllerCount: 3,
      leaseTtlS: TTL_S,
      allowanceS,
      store: fake<KeyValueStoreClient>({ get: () => this.read(), rejectedSince: 0 }),
      replicaSync: fake<ReplicaSync>(this.replicaSync),
      replica: fake<Replica>({ leader: { revision: TOKEN, node: 'a' }, applied: 1 }),
      peers: () =>
        fake<PeerNetwork>({
          names: ['x'],
          ask: () => Promise.resolve({ refused: true, freshAgeS: this.peerFreshAgeS }),
        }),
      clock: { now: () => this.now },
      log: silentLog(),
      events: { onKnownCancelled: () => undefined, cancelledSince: () => [] },
      leads: () => false,
    });
    // Long after the start of its process.
    this.now += 1000;
    this.replicaSync.freshAt = this.now;
  }

  private read(): Promise<null> {
    if (this.storeRefuses) return Promise.reject(new RequestRejectedError(503));
    return new Promise((resolve, reject) => {
      this.reads.push((served) => (served ? resolve(null) : reject(new RequestRejectedError(503))));
    });
  }

  /** From now on each read is refused at once. */
  refuseReads(): void {
    this.storeRefuses = true;
  }

  /** Asked whether it is refused; `served` answers its read of the store. */
  ask(forS: number): { answer: Promise<RefusedAnswer>; served: (served: boolean) => void } {
    const answer = this.outage.answer(TOKEN, forS * 1000, 1);
    return { answer, served: this.reads.at(-1)! };
  }
}

// A promise that another controller relied on was forgotten, and a later leader counted leases as expired too early.
test('a promise is kept although a question that came with it found the store serving', async () => {
  const cases: [string, number, number][] = [
    ['the kept one is shorter', 1.5, 1],
    ['they are equal', 1, 1],
    ['the kept one is longer', 1, 1.5],
  ];
  for (const [name, otherS, keptS] of cases) {
    for (const order of ['the other one is answered first', 'the kept one is answered first']) {
      const witness = new Witness();
      const other = witness.ask(otherS);
      const kept = witness.ask(keptS);
      const settle = [
        async (): Promise<void> => {
          other.served(true);
          assert.deepEqual(await other.answer, { refused: false });
        },
        async (): Promise<void> => {
          kept.served(false);
          assert.equal((await kept.answer).refused, true);
        },
      ];
      if (order !== 'the other one is answered first') settle.reverse();
      for (const step of settle) await step();
      const until = witness.outage.acknowledge(TOKEN + 1);
      assert.ok(until >= witness.now + keptS, `${name}, ${order}`);
      assert.ok(until < witness.now + keptS * 1.1, `${name}, ${order}: no longer than that`);
    }
  }
});

// A substitute whose majority knew less the second time told of an earlier end than the one up to which it had renewed.
test('a substitute tells until when it renewed, also after a majority that knows less', async () => {
  const allowanceS = 10;
  const witness = new Witness(allowanceS);
  witness.refuseReads();
  // Fresh only by the other one, long ago: the word holds for a moment more.
  witness.replicaSync.freshAt = witness.now - 1000;
  witness.peerFreshAgeS = 45 + allowanceS - 0.5;
  assert.equal(await witness.outage.mayRenewLeases(), true);
  witness.now += 0.4;
  assert.equal(await witness.outage.mayRenewLeases(), true);
  const renewedAt = witness.now;
  witness.now += 0.2;
  witness.peerFreshAgeS = 2000;
  assert.equal(await witness.outage.mayRenewLeases(), false);
  assert.ok(witness.outage.acknowledge(TOKEN + 1) >= renewedAt);
});

// The answer was lost, and the one to the next question no longer told of these renewals.
test('a substitute tells until when it renewed as often as it is asked', async () => {
  const witness = new Witness();
  witness.refuseReads();
  assert.equal(await witness.outage.mayRenewLeases(), true);
  witness.now += 0.5;
  const stoppedAt = witness.now;
  for (let i = 0; i < 3; i++) {
    assert.equal(witness.outage.acknowledge(TOKEN + 1), stoppedAt);
    assert.equal(await witness.outage.mayRenewLeases(), false);
    witness.now += 5;
  }
});

// A later leader that asked in between would have learnt of no promise, and the answer that relies on it came after that.
test('a promise counts while its question is not answered yet', async () => {
  const witness = new Witness();
  const asked = witness.ask(1.5);
  assert.ok(witness.outage.promisedUntil >= witness.now + 1.5);
  assert.ok(witness.outage.acknowledge(TOKEN + 1) >= witness.now + 1.5);
  asked.served(true);
  await asked.answer;
  assert.ok(witness.outage.promisedUntil < witness.now, 'nobody relies on it');
});
