/** Meetings of refusals, outages and lost answers with the question of who leads. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Election } from '../src/leadership/election.js';
import type { Answer, Question } from '../src/peers/messages.js';
import type { PeerNetwork } from '../src/peers/peer-network.js';
import { silentLog } from '../src/log.js';
import type { ReplicaSync } from '../src/store/replica-sync.js';
import * as records from '../src/store/records.js';
import { MemoryStore } from './support/memory-store.js';
import { fake, type Partially } from './support/fake.js';

/** So short that the pauses between steps, which are real, take a moment only. */
const LEASE = 0.5;
const LIFE = LEASE * 0.3;
const WORKERS = { lease_s: LEASE, cancel_s: LEASE * 2.5 };

interface Steps {
  campaign(guard: number): Promise<boolean>;
  stepAsLeader(): Promise<void>;
  stepAsFollower(): Promise<void>;
}

class Controller {
  now = 0;
  readonly election: Election;
  readonly steps: Steps;
  readonly told: string[] = [];
  deposed = 0;
  /** Reads the store. */
  readonly sync: () => Promise<boolean>;

  constructor(
    readonly store: MemoryStore,
    private readonly name = 'a',
    private readonly others: () => (Answer | null)[] = () => [null, null],
    fitterCanStand: () => boolean = () => false,
  ) {
    const replica = store.listed();
    const follower: Partially<ReplicaSync> = {
      ready: true,
      freshAt: -Infinity,
      sync: (): Promise<boolean> => sync(),
    };
    const sync = (): Promise<boolean> => {
      follower.freshAt = this.now;
      return Promise.resolve(store.feed(replica) !== null);
    };
    this.sync = sync;
    const names = ['x', 'y'];
    const peers = fake<PeerNetwork>({
      names,
      ask: (to: string, _q: Question) => Promise.resolve(this.others()[names.indexOf(to)] ?? null),
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
        onKnownCancelled: (ids) => void this.told.push(...ids),
        cancelledSince: (revision) => [...replica.cancelledSince(revision)],
      },
      healthierCanCampaign: fitterCanStand,
    });
    this.steps = this.election as unknown as Steps;
    this.now = 100;
  }

  async campaign(guard = 0): Promise<boolean> {
    this.election.role = 'candidate';
    const won = await this.steps.campaign(guard);
    if (!won) this.election.role = 'follower';
    return won;
  }
}

test('one of several that stand at once leads, also when the answers are lost', async () => {
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
  assert.equal(await late.campaign(), false, 'nobody knows');
});

test('a leader that the store refuses acts on only while a majority is refused too', async () => {
  const refused = { refused: true, cancelled: ['wk-1'], freshAgeS: 1 };
  const served = { refused: false };
  const cases: [string, (Answer | null)[], boolean][] = [
    ['cut from everybody', [null, null], false],
    ['an outage', [refused, refused], true],
    ['an outage, and one is away', [refused, null], true],
    ['refused alone', [served, served], false],
    ['another is refused too, a third is served', [refused, served], false],
    ['one answers nothing of use', [{}, null], false],
  ];
  for (const [name, answers, continues] of cases) {
    const store = new MemoryStore();
    const controller = new Controller(store, 'a', () => answers);
    await controller.campaign();
    store.mode = 'refuse';
    store.keepLeaseAlive = () => store.get('').then(() => true);
    controller.now += LIFE * 0.7;
    await controller.steps.stepAsLeader();
    controller.now += LIFE * 0.35;
    assert.equal(controller.election.isEntitled, continues, name);
    assert.equal(controller.election.canWrite, false, `${name}: nothing new`);
    if (answers.includes(refused)) assert.deepEqual([...new Set(controller.told)], ['wk-1'], name);
    // One that has acknowledged a later leader is over at once.
    controller.election.acknowledge(controller.election.token + 1);
    assert.equal(controller.election.isEntitled, false, name);
    assert.equal(controller.deposed, 1, name);
  }
});

test('whoever confirms a leader promises not to campaign, and never for a leader that is over', async () => {
  const cases: [string, MemoryStore['mode'], number, number, boolean | undefined][] = [
    ['served', 'serve', 0, 0, false],
    ['refused', 'refuse', 0, 0, true],
    ['refused, but it has acknowledged a later one', 'refuse', 9, 0, false],
    ['refused, but it knows of a later one', 'refuse', 0, 1, false],
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
    const answer = await controller.election.outage.answer(token, 100, 0);
    assert.equal(answer.refused, want, name);
    if (want !== true) continue;
    assert.deepEqual(answer.cancelled, ['wk-1'], 'whoever was refused earlier learns of it');
    assert.ok(
      controller.election.acknowledge(token + 1) >= 0.1,
      'a later leader waits for the promise',
    );
  }
});

test('leases are kept for a leader that is gone in an outage only, and for no older one', async () => {
  const refused = { refused: true, freshAgeS: 1 };
  const cases: [string, (Answer | null)[], number, boolean, boolean][] = [
    ['an outage', [refused, null], 1, false, true],
    ['it has only begun', [refused, null], 0.1, false, false],
    ['refused alone', [{ refused: false }, refused], 1, false, false],
    ['nobody else is there', [null, null], 1, false, false],
    ['a later one was acknowledged', [refused, refused], 1, true, false],
  ];
  for (const [name, answers, forLives, acknowledged, keeps] of cases) {
    const store = new MemoryStore();
    const token = store.put(records.LEADER, records.encodeLeader({ node: 'b', incarnation: 'b' }));
    const controller = new Controller(store, 'a', () => answers);
    store.mode = 'refuse';
    store.rejectedSince = controller.now - LIFE * forLives;
    if (acknowledged) controller.election.acknowledge(token + 1);
    assert.equal(await controller.election.outage.mayRenewLeases(), keeps, name);
    if (!keeps) continue;
    controller.election.acknowledge(token + 1);
    assert.equal(
      await controller.election.outage.mayRenewLeases(),
      false,
      'no more once a later one is acknowledged',
    );
    controller.now += LIFE;
    assert.equal(await controller.election.outage.mayRenewLeases(), false);
  }
});

// A controller that was several times slower was elected again and again while a fast one followed.
test('a late controller leaves leadership to a fitter one for a while, but somebody stands', async () => {
  const step = LIFE / 20;
  const put = (store: MemoryStore, node: string): unknown =>
    store.put(records.LEADER, records.encodeLeader({ node, incarnation: node }));
  interface Row {
    name: string;
    /** Whether a healthier one is known, by the time since the vacancy in lives of the leader's lease. */
    fitter: (lives: number) => boolean;
    leader?: string;
    /** The other one is elected so many lives after the vacancy. */
    electedAt?: number;
    /** And gone again. */
    goneAt?: number;
    /** Bounds of when it stands, in lives; null: it does not. */
    stands: [number, number] | null;
  }
  const rows: Row[] = [
    { name: 'nobody is fitter', fitter: () => false, stands: [0, 0.1] },
    { name: 'the fitter one is not elected', fitter: () => true, stands: [0.5, 0.6] },
    { name: 'it is no longer fitter', fitter: (lives) => lives < 0.2, stands: [0.2, 0.3] },
    { name: 'the fitter one is elected', fitter: () => true, electedAt: 0.3, stands: null },
    { name: 'elected, and gone again', fitter: () => true, electedAt: 0.3, goneAt: 0.6, stands: [1.1, 1.2] },
    { name: 'a key of its own former process', fitter: () => true, leader: 'a', stands: [0.5, 0.6] },
    { name: 'the same, nobody is fitter', fitter: () => false, leader: 'a', stands: [0, 0.1] },
  ]; // prettier-ignore
  for (const { name, fitter, leader, electedAt = Infinity, goneAt = Infinity, stands } of rows) {
    const store = new MemoryStore();
    if (leader !== undefined) put(store, leader);
    let lives = 0;
    const controller = new Controller(store, 'a', undefined, () => fitter(lives));
    const began = controller.now;
    while (controller.election.role === 'follower' && lives < 2) {
      lives = (controller.now - began) / LIFE;
      const other = lives >= electedAt && lives < goneAt;
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
    const stood = controller.election.role === 'leader';
    assert.equal(stood, stands !== null, name);
    if (stands === null) continue;
    assert.ok(lives >= stands[0] - 1e-6 && lives <= stands[1], `${name}: after ${lives}`);
  }
});

/** How the entitlement of a term lapses although something would extend it afterwards. */
interface Lapse {
  name: string;
  /** The step of a leader in which something comes too late. */
  step: (controller: Controller) => Promise<void>;
  /** Whether the store answers, and so the key is gone at once. */
  isServed: boolean;
}

const witness = { refused: true, freshAgeS: 0 };
const LAPSES: Lapse[] = [
  {
    name: 'frozen; the key is still there when it asks',
    step: async (controller) => {
      controller.now += LIFE * 1.1;
      await controller.steps.stepAsLeader();
    },
    isServed: true,
  },
  {
    name: 'frozen while the answer is on its way',
    step: async (controller) => {
      controller.now += LIFE * 0.5;
      controller.store.keepLeaseAlive = () => {
        controller.now += LIFE * 0.6;
        return Promise.resolve(true);
      };
      await controller.steps.stepAsLeader();
    },
    isServed: true,
  },
  {
    name: 'frozen in an outage; a majority would let it continue',
    step: async (controller) => {
      controller.now += LIFE * 1.1;
      controller.store.mode = 'refuse';
      controller.store.keepLeaseAlive = () => controller.store.get('').then(() => true);
      await controller.steps.stepAsLeader();
      controller.store.mode = 'serve';
    },
    isServed: false,
  },
];

// A leader that was frozen came back in its term, and counted leases as expired that others had renewed meanwhile.
test('a term whose entitlement has lapsed is over, whatever would extend it', async () => {
  for (const { name, step, isServed } of LAPSES) {
    const controller = new Controller(new MemoryStore(), 'a', () => [witness, witness]);
    assert.equal(await controller.campaign(), true, name);
    const { token } = controller.election;
    await step(controller);
    assert.equal(controller.election.role, 'follower', name);
    assert.equal(controller.election.isEntitled, false, name);
    assert.equal(controller.deposed, 1, name);
    assert.equal(controller.store.revision(records.LEADER), isServed ? 0 : token, name);
    // The same controller leads again, by an election of its own.
    await controller.sync();
    assert.equal(await controller.campaign(controller.store.revision(records.LEADER)), true, name);
    assert.ok(controller.election.token > token, name);
    assert.equal(controller.election.isEntitled, true, name);
  }
});

// A leader that was frozen while it read the store led with an entitlement that had lapsed before its term began.
test('a controller that is frozen while it catches up is not elected', async () => {
  const controller = new Controller(new MemoryStore());
  const { store } = controller;
  const feed = store.feed.bind(store);
  store.feed = (replica) => {
    controller.now += LIFE * 1.1;
    return feed(replica);
  };
  assert.equal(await controller.campaign(), false);
  assert.equal(controller.election.isEntitled, false);
});

// A later leader asked twice, since the first answer was lost, or once the term was over, and learnt of no renewals.
test('a former leader tells until when it may have renewed leases, as often as it is asked', async () => {
  const ends: [string, (controller: Controller) => Promise<void> | number][] = [
    ['by the question itself', (controller) => controller.election.acknowledge(99)],
    ['by itself', (controller) => controller.election.stepDown()],
  ];
  for (const [name, end] of ends) {
    const controller = new Controller(new MemoryStore());
    await controller.campaign();
    controller.now += LIFE / 2;
    const endedAt = controller.now;
    await end(controller);
    for (let i = 0; i < 3; i++) {
      const until = controller.election.acknowledge(99) + controller.now;
      assert.ok(Math.abs(until - endedAt) < 1e-9, `${name}: ${until}, not ${endedAt}`);
      controller.now += LIFE;
    }
  }
});
