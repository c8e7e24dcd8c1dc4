/** Leader elections and terms under refusals, outages, lost answers and freezes. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Election } from '../src/leadership/election.js';
import type { Answer, Question } from '../src/peers/messages.js';
import type { PeerNetwork } from '../src/peers/peer-network.js';
import { silentLog } from '../src/log.js';
import type { ReplicaSync } from '../src/store/replica-sync.js';
import * as records from '../src/store/records.js';
import { MemoryStore } from './support/memory-store.js';
import { fake, type DeepPartial } from './support/fake.js';

/** Short, because the pauses between steps take real time. */
const LEASE_S = 0.5;
const LEADER_TTL_S = LEASE_S * 0.3;
const WORKERS = { lease_s: LEASE_S, cancel_s: LEASE_S * 2.5 };

interface Steps {
  campaign(expectedRevision: number): Promise<boolean>;
  stepAsLeader(): Promise<void>;
  stepAsFollower(): Promise<void>;
}

class Controller {
  now = 0;
  readonly election: Election;
  readonly steps: Steps;
  readonly knownCancelled: string[] = [];
  deposed = 0;
  /** Reads the store into the replica. */
  readonly sync: () => Promise<boolean>;

  constructor(
    readonly store: MemoryStore,
    private readonly name = 'a',
    private readonly peerAnswers: () => (Answer | null)[] = () => [null, null],
    healthierCanCampaign: () => boolean = () => false,
  ) {
    const replica = store.listedReplica();
    const follower: DeepPartial<ReplicaSync> = {
      ready: true,
      freshAt: -Infinity,
      sync: (): Promise<boolean> => sync(),
    };
    const sync = (): Promise<boolean> => {
      follower.freshAt = this.now;
      return Promise.resolve(store.replayInto(replica) !== null);
    };
    this.sync = sync;
    const names = ['x', 'y'];
    const peers = fake<PeerNetwork>({
      peerNames: names,
      ask: (to: string, _q: Question) =>
        Promise.resolve(this.peerAnswers()[names.indexOf(to)] ?? null),
    });
    this.election = new Election({
      node: this.name,
      incarnation: `${this.name}-1`,
      controllerCount: 3,
      workers: WORKERS,
      store: store.client(),
      replicaSync: fake<ReplicaSync>(follower),
      replica,
      peers: () => peers,
      clock: { now: () => this.now },
      log: silentLog(),
      events: {
        onElected: () => undefined,
        onDeposed: () => void this.deposed++,
        onKnownCancelled: (ids) => void this.knownCancelled.push(...ids),
        cancelledSince: (revision) => [...replica.cancelledSince(revision)],
      },
      healthierCanCampaign,
    });
    this.steps = this.election as unknown as Steps;
    this.now = 100;
  }

  async campaign(expectedRevision = 0): Promise<boolean> {
    this.election.role = 'candidate';
    const won = await this.steps.campaign(expectedRevision);
    if (!won) this.election.role = 'follower';
    return won;
  }
}

test('of several simultaneous candidates exactly one leads, also when the answers are lost', async () => {
  for (const mode of ['serve', 'lose answers'] as const) {
    const store = new MemoryStore();
    const [controller, other] = [new Controller(store, 'a'), new Controller(store, 'b')];
    store.mode = mode;
    const won = [await controller.campaign(), await other.campaign()];
    assert.deepEqual(won, [true, false], mode);
    assert.equal(controller.election.token, store.revision(records.LEADER), mode);
    assert.equal(controller.election.isEntitled, true, mode);
    assert.equal(other.election.isEntitled, false, mode);
  }
  const store = new MemoryStore();
  const late = new Controller(store);
  store.mode = 'hold back';
  assert.equal(await late.campaign(), false, 'the outcome is unknown');
});

test('a leader that the store refuses stays entitled only while a majority is refused too', async () => {
  const refused = { refused: true, cancelled: ['wk-1'], freshAgeS: 1 };
  const served = { refused: false };
  const cases: [string, (Answer | null)[], boolean][] = [
    ['cut off from all', [null, null], false],
    ['an outage', [refused, refused], true],
    ['an outage, one does not answer', [refused, null], true],
    ['refused alone', [served, served], false],
    ['another is refused too, a third is served', [refused, served], false],
    ['one gives an empty answer', [{}, null], false],
  ];
  for (const [name, answers, continues] of cases) {
    const store = new MemoryStore();
    const controller = new Controller(store, 'a', () => answers);
    await controller.campaign();
    store.mode = 'refuse';
    store.keepLeaseAlive = () => store.get('').then(() => true);
    controller.now += LEADER_TTL_S * 0.7;
    await controller.steps.stepAsLeader();
    controller.now += LEADER_TTL_S * 0.35;
    assert.equal(controller.election.isEntitled, continues, name);
    assert.equal(controller.election.canWrite, false, `${name}: no writes`);
    if (answers.includes(refused))
      assert.deepEqual([...new Set(controller.knownCancelled)], ['wk-1'], name);
    // The acknowledgement of a later leader ends the term at once.
    controller.election.acknowledge(controller.election.token + 1);
    assert.equal(controller.election.isEntitled, false, name);
    assert.equal(controller.deposed, 1, name);
  }
});

test('confirming an outage to a leader is a promise not to campaign, and is never given to an older leader', async () => {
  const cases: [string, MemoryStore['mode'], number, number, boolean | undefined][] = [
    ['served', 'serve', 0, 0, false],
    ['refused', 'refuse', 0, 0, true],
    ['refused, but it has acknowledged a later leader', 'refuse', 9, 0, false],
    ['refused, but it knows of a later leader', 'refuse', 0, 1, false],
  ];
  for (const [name, mode, acknowledged, later, want] of cases) {
    const store = new MemoryStore();
    const token = store.put(records.LEADER, records.encodeLeader({ node: 'b', incarnation: 'b' }));
    store.accept({ id: 'wk-1' });
    store.cancel('wk-1');
    if (later > 0) store.put(records.LEADER, records.encodeLeader({ node: 'c', incarnation: 'c' }));
    const controller = new Controller(store);
    if (acknowledged > 0) controller.election.acknowledge(token + acknowledged);
    store.mode = mode;
    const answer = await controller.election.outageQuorum.answer(token, 100, 0);
    assert.equal(answer.refused, want, name);
    if (want !== true) continue;
    assert.deepEqual(answer.cancelled, ['wk-1'], 'the answer tells of the cancellation');
    assert.ok(
      controller.election.acknowledge(token + 1) >= 0.1,
      'a later leader learns of the promise',
    );
  }
});

test('a substitute renews leases for a failed leader only in an outage, and for no older leader', async () => {
  const refused = { refused: true, freshAgeS: 1 };
  const cases: [string, (Answer | null)[], number, boolean, boolean][] = [
    ['an outage', [refused, null], 1, false, true],
    ['an outage that has only begun', [refused, null], 0.1, false, false],
    ['another controller is served', [{ refused: false }, refused], 1, false, false],
    ['no other controller answers', [null, null], 1, false, false],
    ['a later leader was acknowledged', [refused, refused], 1, true, false],
  ];
  for (const [name, answers, refusedForTtls, acknowledged, mayRenew] of cases) {
    const store = new MemoryStore();
    const token = store.put(records.LEADER, records.encodeLeader({ node: 'b', incarnation: 'b' }));
    const controller = new Controller(store, 'a', () => answers);
    store.mode = 'refuse';
    store.rejectedSince = controller.now - LEADER_TTL_S * refusedForTtls;
    if (acknowledged) controller.election.acknowledge(token + 1);
    assert.equal(await controller.election.outageQuorum.mayRenewLeases(), mayRenew, name);
    if (!mayRenew) continue;
    controller.election.acknowledge(token + 1);
    assert.equal(
      await controller.election.outageQuorum.mayRenewLeases(),
      false,
      'no longer once a later leader is acknowledged',
    );
    controller.now += LEADER_TTL_S;
    assert.equal(await controller.election.outageQuorum.mayRenewLeases(), false);
  }
});

// Guards against a slow controller that is elected again and again while a healthier one follows.
test('a late controller defers to a healthier one for a limited time', async () => {
  const step = LEADER_TTL_S / 20;
  const put = (store: MemoryStore, node: string): unknown =>
    store.put(records.LEADER, records.encodeLeader({ node, incarnation: node }));
  interface Row {
    name: string;
    /** Whether a healthier controller is known, by the time since the vacancy in TTLs of the leader's lease. */
    healthierExists: (ttls: number) => boolean;
    leader?: string;
    /** When the other controller is elected, in TTLs after the vacancy. */
    otherElectedAt?: number;
    /** When its term has ended, in TTLs after the vacancy. */
    otherEndsAt?: number;
    /** Earliest and latest time at which this controller campaigns, in TTLs after the vacancy; null: it does not. */
    campaignsWithin: [number, number] | null;
  }
  const rows: Row[] = [
    { name: 'none is healthier', healthierExists: () => false, campaignsWithin: [0, 0.1] },
    { name: 'the healthier one is not elected', healthierExists: () => true, campaignsWithin: [0.5, 0.6] },
    { name: 'it is no longer healthier', healthierExists: (ttls) => ttls < 0.2, campaignsWithin: [0.2, 0.3] },
    { name: 'the healthier one is elected', healthierExists: () => true, otherElectedAt: 0.3, campaignsWithin: null },
    { name: 'it is elected, and its term ends', healthierExists: () => true, otherElectedAt: 0.3, otherEndsAt: 0.6, campaignsWithin: [1.1, 1.2] },
    { name: 'a key of its own earlier process', healthierExists: () => true, leader: 'a', campaignsWithin: [0.5, 0.6] },
    { name: 'the same, none is healthier', healthierExists: () => false, leader: 'a', campaignsWithin: [0, 0.1] },
  ]; // prettier-ignore
  for (const {
    name,
    healthierExists,
    leader,
    otherElectedAt = Infinity,
    otherEndsAt = Infinity,
    campaignsWithin,
  } of rows) {
    const store = new MemoryStore();
    if (leader !== undefined) put(store, leader);
    let ttls = 0;
    const controller = new Controller(store, 'a', undefined, () => healthierExists(ttls));
    const began = controller.now;
    while (controller.election.role === 'follower' && ttls < 2) {
      ttls = (controller.now - began) / LEADER_TTL_S;
      const other = ttls >= otherElectedAt && ttls < otherEndsAt;
      if (other !== store.revision(records.LEADER) > 0 && leader === undefined) {
        if (other) put(store, 'b');
        else await store.compareAndSwap([], [{ remove: records.LEADER }]);
        await controller.sync();
      }
      const stepped = controller.steps.stepAsFollower();
      controller.election.wake();
      await stepped;
      controller.now += step;
    }
    const campaigned = controller.election.role === 'leader';
    assert.equal(campaigned, campaignsWithin !== null, name);
    if (campaignsWithin === null) continue;
    assert.ok(
      ttls >= campaignsWithin[0] - 1e-6 && ttls <= campaignsWithin[1],
      `${name}: after ${ttls}`,
    );
  }
});

/** A way in which an entitlement lapses although an answer after that would extend it. */
interface Lapse {
  name: string;
  /** A step of the leader in which the extension comes too late. */
  step: (controller: Controller) => Promise<void>;
  /** Whether the store answers, so that the key is removed at once. */
  storeAnswers: boolean;
}

const refusedPeer = { refused: true, freshAgeS: 0 };
const LAPSES: Lapse[] = [
  {
    name: 'frozen; the key still exists when it is renewed',
    step: async (controller) => {
      controller.now += LEADER_TTL_S * 1.1;
      await controller.steps.stepAsLeader();
    },
    storeAnswers: true,
  },
  {
    name: 'frozen before the answer arrives',
    step: async (controller) => {
      controller.now += LEADER_TTL_S * 0.5;
      controller.store.keepLeaseAlive = () => {
        controller.now += LEADER_TTL_S * 0.6;
        return Promise.resolve(true);
      };
      await controller.steps.stepAsLeader();
    },
    storeAnswers: true,
  },
  {
    name: 'frozen in an outage; a majority would confirm the outage',
    step: async (controller) => {
      controller.now += LEADER_TTL_S * 1.1;
      controller.store.mode = 'refuse';
      controller.store.keepLeaseAlive = () => controller.store.get('').then(() => true);
      await controller.steps.stepAsLeader();
      controller.store.mode = 'serve';
    },
    storeAnswers: false,
  },
];

// Guards against a leader that continues its term after a freeze, and counts leases as expired that others renewed meanwhile.
test('a term whose entitlement has lapsed is over, whatever would extend it', async () => {
  for (const { name, step, storeAnswers } of LAPSES) {
    const controller = new Controller(new MemoryStore(), 'a', () => [refusedPeer, refusedPeer]);
    assert.equal(await controller.campaign(), true, name);
    const { token } = controller.election;
    await step(controller);
    assert.equal(controller.election.role, 'follower', name);
    assert.equal(controller.election.isEntitled, false, name);
    assert.equal(controller.deposed, 1, name);
    assert.equal(controller.store.revision(records.LEADER), storeAnswers ? 0 : token, name);
    // The same controller can lead again only by a new election.
    await controller.sync();
    assert.equal(await controller.campaign(controller.store.revision(records.LEADER)), true, name);
    assert.ok(controller.election.token > token, name);
    assert.equal(controller.election.isEntitled, true, name);
  }
});

// Guards against a term that begins with a lapsed entitlement, because the controller was frozen while it read the store.
test('a controller that is frozen while it catches up is not elected', async () => {
  const controller = new Controller(new MemoryStore());
  const { store } = controller;
  const feed = store.replayInto.bind(store);
  store.replayInto = (replica) => {
    controller.now += LEADER_TTL_S * 1.1;
    return feed(replica);
  };
  assert.equal(await controller.campaign(), false);
  assert.equal(controller.election.isEntitled, false);
});

// Guards against a later leader that learns of no renewals because it asks again after a lost answer, or after the term ended.
test('a former leader reports until when it may have renewed leases, as often as it is asked', async () => {
  const ends: [string, (controller: Controller) => Promise<void> | number][] = [
    ['deposed by the acknowledgement', (controller) => controller.election.acknowledge(99)],
    ['stepped down before', (controller) => controller.election.stepDown()],
  ];
  for (const [name, end] of ends) {
    const controller = new Controller(new MemoryStore());
    await controller.campaign();
    controller.now += LEADER_TTL_S / 2;
    const endedAt = controller.now;
    await end(controller);
    for (let i = 0; i < 3; i++) {
      const until = controller.election.acknowledge(99) + controller.now;
      assert.ok(Math.abs(until - endedAt) < 1e-9, `${name}: got ${until}, expected ${endedAt}`);
      controller.now += LEADER_TTL_S;
    }
  }
});
