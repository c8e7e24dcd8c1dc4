/** Promises and renewals that a controller remembers and reports to later leaders, which count leases from their end. */
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

/** A controller that is asked, and asks another one, whether the store refuses it; the test answers its reads. */
class AskedController {
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
          peerNames: ['x'],
          ask: () => Promise.resolve({ refused: true, freshAgeS: this.peerFreshAgeS }),
        }),
      clock: { now: () => this.now },
      log: silentLog(),
      events: { onKnownCancelled: () => undefined, cancelledSince: () => [] },
      leads: () => false,
    });
    // Long after the start of the process, so that no promise of an earlier process counts.
    this.now += 1000;
    this.replicaSync.freshAt = this.now;
  }

  private read(): Promise<null> {
    if (this.storeRefuses) return Promise.reject(new RequestRejectedError(503));
    return new Promise((resolve, reject) => {
      this.reads.push((served) => (served ? resolve(null) : reject(new RequestRejectedError(503))));
    });
  }

  /** Makes each further read fail at once with a refusal. */
  refuseReads(): void {
    this.storeRefuses = true;
  }

  /** Asks whether the controller is refused; `served` answers the read of the store that this causes. */
  ask(forS: number): { answer: Promise<RefusedAnswer>; served: (served: boolean) => void } {
    const answer = this.outage.answer(TOKEN, forS * 1000, 1);
    return { answer, served: this.reads.at(-1)! };
  }
}

// Guards against a promise that is forgotten while another controller relies on it: a later leader would count leases as
// expired too early.
test('a promise stays valid although the store answered the read for a concurrent question', async () => {
  const cases: [string, number, number][] = [
    ['the confirmed promise is shorter', 1.5, 1],
    ['they are equal', 1, 1],
    ['the confirmed promise is longer', 1, 1.5],
  ];
  for (const [name, otherS, confirmedS] of cases) {
    for (const order of [
      'the other one is answered first',
      'the confirmed one is answered first',
    ]) {
      const controller = new AskedController();
      const other = controller.ask(otherS);
      const confirmed = controller.ask(confirmedS);
      const settle = [
        async (): Promise<void> => {
          other.served(true);
          assert.deepEqual(await other.answer, { refused: false });
        },
        async (): Promise<void> => {
          confirmed.served(false);
          assert.equal((await confirmed.answer).refused, true);
        },
      ];
      if (order !== 'the other one is answered first') settle.reverse();
      for (const step of settle) await step();
      const until = controller.outage.acknowledge(TOKEN + 1);
      assert.ok(until >= controller.now + confirmedS, `${name}, ${order}`);
      assert.ok(until < controller.now + confirmedS * 1.1, `${name}, ${order}: not much longer`);
    }
  }
});

// Guards against a substitute that reports an earlier end than its last renewal, since its second majority knew less than the
// first one.
test('a substitute reports until when it renewed, also after a majority that knows less', async () => {
  const allowanceS = 10;
  const controller = new AskedController(allowanceS);
  controller.refuseReads();
  // Only the other controller has read the store lately enough, so that the renewals may last for 0.5 s more.
  controller.replicaSync.freshAt = controller.now - 1000;
  controller.peerFreshAgeS = 45 + allowanceS - 0.5;
  assert.equal(await controller.outage.mayRenewLeases(), true);
  controller.now += 0.4;
  assert.equal(await controller.outage.mayRenewLeases(), true);
  const renewedAt = controller.now;
  controller.now += 0.2;
  controller.peerFreshAgeS = 2000;
  assert.equal(await controller.outage.mayRenewLeases(), false);
  assert.ok(controller.outage.acknowledge(TOKEN + 1) >= renewedAt);
});

// Guards against renewals that only the first answer reports, which may be lost.
test('a substitute reports until when it renewed as often as it is asked', async () => {
  const controller = new AskedController();
  controller.refuseReads();
  assert.equal(await controller.outage.mayRenewLeases(), true);
  controller.now += 0.5;
  const stoppedAt = controller.now;
  for (let i = 0; i < 3; i++) {
    assert.equal(controller.outage.acknowledge(TOKEN + 1), stoppedAt);
    assert.equal(await controller.outage.mayRenewLeases(), false);
    controller.now += 5;
  }
});

// Guards against a later leader that asks before the answer with the promise is sent, and learns of no promise.
test('a promise counts while its question is not answered yet', async () => {
  const controller = new AskedController();
  const asked = controller.ask(1.5);
  assert.ok(controller.outage.promisedUntil >= controller.now + 1.5);
  assert.ok(controller.outage.acknowledge(TOKEN + 1) >= controller.now + 1.5);
  asked.served(true);
  await asked.answer;
  assert.ok(controller.outage.promisedUntil < controller.now, 'withdrawn');
});
