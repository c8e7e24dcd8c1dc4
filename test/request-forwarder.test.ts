import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { QuestionOf, ReplyAnswer } from '../src/peers/messages.js';
import type { PeerNetwork } from '../src/peers/peer-network.js';
import { RequestForwarder } from '../src/api/request-forwarder.js';
import type { UserApi } from '../src/api/user-api.js';
import type { StoreHealth, KeyValueStoreClient } from '../src/store/client.js';
import { RequestRejectedError, OutcomeUnknownError } from '../src/store/client.js';
import type { ReplicaSync } from '../src/store/replica-sync.js';
import { RequestWriter } from '../src/store/request-writer.js';
import type { Replica } from '../src/store/replica.js';
import { TokenBucket, steadyClock } from '../src/clock.js';
import { silentLog } from '../src/log.js';
import { spec } from './helpers.js';
import { fake } from './support/fake.js';

type Peers = Record<string, ReplyAnswer | null>;

/** A forwarder over fakes. `own`: the status with which this controller itself answers. */
function makeForwarder(
  health: StoreHealth,
  own: number,
  peers: Peers,
  final = false,
  knowsPipelines: (node: string) => boolean = () => true,
) {
  const asked: string[] = [];
  const clock = { now: 0 };
  const state = { health };
  const userApi = fake<UserApi>({
    ready: () => true,
    hasFinalState: () => final,
    submit: () => Promise.resolve({ status: own }),
    poll: () => Promise.resolve({ status: own }),
    cancel: () => Promise.resolve({ status: own }),
  });
  const peerNetwork = fake<PeerNetwork>({
    byLatestAnswer: () => Object.keys(peers),
    ask: (node: string) => {
      asked.push(node);
      return Promise.resolve(peers[node] ?? null);
    },
  });
  const follower = { ready: true, sync: () => Promise.resolve(false) };
  const times = { lease_s: 10 };
  const now = (): number => clock.now;
  const requestForwarder = new RequestForwarder({
    userApi,
    store: state,
    replicaSync: follower,
    peers: peerNetwork,
    workers: times,
    now,
    knowsPipelines,
  });
  return { forwarder: requestForwarder, asked, clock, state };
}

test("users' requests reach a controller that the key-value store serves, if there is one", async () => {
  // If the store refused only one controller, that one answered 503 to all its users until it was served again.
  const cases: [string, StoreHealth, number, Peers, boolean, number, string[]][] = [
    ['served here', 'served', 201, { a: { status: 500 } }, false, 201, []],
    ['shed here: not forwarded', 'served', 503, { a: { status: 201 } }, false, 503, []],
    ['refused here, served there', 'refused', 503, { a: { status: 201 } }, false, 201, ['a']],
    ['store silent here', 'silent', 503, { a: { status: 200 } }, false, 200, ['a']],
    ['the first is refused too', 'refused', 503, { a: {}, b: { status: 404 } }, false, 404, ['a', 'b']],
    ['the first is cut off', 'refused', 503, { a: null, b: { status: 200 } }, false, 200, ['a', 'b']],
    ['refused everywhere', 'refused', 503, { a: {}, b: {} }, false, 503, ['a', 'b']],
    ['an answer without status', 'refused', 503, { a: { body: '{}' } }, false, 503, ['a']],
    ['final state: no peer is asked', 'refused', 200, { a: {} }, true, 200, []],
  ]; // prettier-ignore
  for (const [name, health, own, peers, final, status, asked] of cases) {
    const scene = makeForwarder(health, own, peers, final);
    assert.equal((await scene.forwarder.serve({ to: 'poll', id: 'wk-1' })).status, status, name);
    assert.deepEqual(scene.asked, asked, name);
  }
});

test('a job with dependencies is forwarded only to controllers that support pipelines', async () => {
  // A controller of an old version would ignore the dependencies and start the job too early.
  const cases: [string, string, string[]][] = [
    ['no dependencies', '{"ref":"wk-1"}', ['old']],
    ['a list', '{"ref":"wk-1","awaits":["wk-2"]}', ['new']],
    ['a list, its key with an escape sequence', '{"ref":"wk-1","\\u0061waits":["wk-2"]}', ['new']],
  ];
  for (const [name, text, asked] of cases) {
    const peers = { old: { status: 201 }, new: { status: 201 } };
    const scene = makeForwarder('refused', 503, peers, false, (node) => node === 'new');
    const reply = await scene.forwarder.serve({ to: 'submit', body: Buffer.from(text) });
    assert.equal(reply.status, 201, name);
    assert.deepEqual(scene.asked, asked, name);
  }
  const scene = makeForwarder('refused', 503, { old: { status: 201 } }, false, () => false);
  const body = Buffer.from('{"awaits":["wk-2"]}');
  assert.equal(
    (await scene.forwarder.serve({ to: 'submit', body })).status,
    503,
    'no controller supports pipelines',
  );
});

test('an isolated controller directs users elsewhere, but not in an outage of the store', async () => {
  const cases: [string, Peers, boolean][] = [
    ['cut off from all peers', { a: null, b: null }, false],
    ['an outage', { a: {}, b: null }, true],
    ['served by another', { a: { status: 200 } }, true],
  ];
  for (const [name, peers, ready] of cases) {
    const scene = makeForwarder('silent', 503, peers);
    await scene.forwarder.serve({ to: 'poll', id: 'wk-1' });
    assert.equal(scene.forwarder.isReady(), true, `${name}: not at once`);
    scene.clock.now = 10;
    assert.equal(scene.forwarder.isReady(), ready, name);
    scene.state.health = 'served';
    assert.equal(scene.forwarder.isReady(), true, `${name}: served again`);
  }
});

test('a forwarded request is not forwarded again, and is answered only by a served controller', async () => {
  const cases: [
    string,
    StoreHealth,
    number,
    QuestionOf<'user'>['to'],
    string,
    number | undefined,
  ][] = [
    ['served', 'served', 201, 'submit', '{}', 201],
    ['a poll', 'served', 200, 'poll', 'wk-1', 200],
    ['refused too', 'refused', 503, 'submit', '{}', undefined],
    ['shed', 'served', 503, 'submit', '{}', 503],
  ];
  for (const [name, health, own, to, text, status] of cases) {
    const scene = makeForwarder(health, own, { a: { status: 200 } });
    assert.equal((await scene.forwarder.serveForwarded(to, text)).status, status, name);
    assert.deepEqual(scene.asked, [], name);
  }
});

test('a submission that cannot be stored fails at once and is not queued', async () => {
  const cases: [string, () => Error, number][] = [
    ['outage', () => new RequestRejectedError(503), 1],
    ['malformed', () => new RequestRejectedError(400), 1],
    ['no connection', () => new RequestRejectedError(0), 2],
    ['no answer', () => new OutcomeUnknownError('timeout'), 2],
  ];
  for (const [name, failure, tries] of cases) {
    let commits = 0;
    const store = fake<KeyValueStoreClient>({
      valueBytes: 8192,
      compareAndSwap: () => {
        commits++;
        return Promise.reject(failure());
      },
    });
    const replica = fake<Replica>({ jobs: new Map() });
    const replicaSync = fake<ReplicaSync>({ sync: () => Promise.resolve(false) });
    const budget = new TokenBucket(100, steadyClock);
    const requestWriter = new RequestWriter({
      incarnation: 'n',
      store,
      replicaSync,
      replica,
      budget,
      clock: steadyClock,
      log: silentLog(),
    });
    // The time-out is a minute; the test ends long before unless the writer waits for it.
    assert.equal(await requestWriter.accept({ spec: spec(), acceptedAtMs: 0 }, 60), null, name);
    assert.equal(commits, tries, name);
  }
});

test('the queue of submissions is bounded by what can be stored within the time-out', async () => {
  // A fixed limit of 500 jobs would be far too high for one small value a second and too low for a large fleet.
  const cases: [string, number, number, number, boolean][] = [
    ['a value of 8 KiB a second', 1, 8192, 500, true],
    ['nine values a second', 9, 8192, 500, false],
    ['nine values a second, more jobs', 9, 8192, 3000, true],
    ['nine larger values a second', 9, 32768, 3000, false],
  ];
  for (const [name, rate, valueBytes, jobs, full] of cases) {
    const store = fake<KeyValueStoreClient>({
      valueBytes,
      compareAndSwap: () => new Promise(() => undefined),
    });
    const budget = new TokenBucket(rate, { now: () => 0 });
    const requestWriter = new RequestWriter({ incarnation: 'n', store, replicaSync: null!, replica: null!, budget, clock: steadyClock, log: silentLog() }
    ); // prettier-ignore
    for (let i = 0; i < jobs; i++)
      void requestWriter.accept({ spec: spec({ id: `wk-${i}` }), acceptedAtMs: 0 }, 60);
    await Promise.resolve();
    assert.equal(requestWriter.isFull(2), full, name);
  }
});
