import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { ReplyAnswer } from '../src/peers/messages.js';
import { silentLog } from '../src/log.js';
import { CancellationBroadcast } from '../src/cancellation/cancellation-broadcast.js';
import { ForwardingDelay } from '../src/heartbeat/forwarding-delay.js';
import { HeartbeatHandler } from '../src/heartbeat/heartbeat-handler.js';
import type { Replica } from '../src/store/replica.js';
import { ANSWER_WAIT_S } from '../src/wire/workers.js';
import { settings } from './helpers.js';
import { fake } from './support/fake.js';

const heartbeatBody = Buffer.from(
  JSON.stringify({
    bench: 'host-1', addr: '127.0.0.1:1', casting: 'g8', yard: 'z1', loaner: false, shift: 1,
    tally: 1, hallmark: 5, recall_s: null, pieces: [],
  }),
); // prettier-ignore

test('a heartbeat is forwarded to the leader, also by a controller that does not know the leader', async () => {
  // A former leader that was cut off from the store alone took itself for the leader and did not forward heartbeats, so
  // that its workers waited in vain.
  const ok = { status: 200, body: '{}' };
  const no = { status: 503 };
  const cases: [string, string, string | null, Record<string, ReplyAnswer | null>, number, string[], string[]?][] = [
    ['directly to the leader', 'served', 'n-1', { 'n-1': ok }, 200, ['n-1']],
    ['through another controller', 'served', 'n-1', { 'n-1': null, 'n-2': ok }, 200, ['n-1', 'n-2 hop']],
    ['the presumed leader does not lead', 'served', 'n-1', { 'n-1': no, 'n-2': ok }, 503, ['n-1']],
    ['no controller reaches the leader', 'served', 'n-1', { 'n-1': null, 'n-2': null }, 421, ['n-1', 'n-2 hop']],
    ['there is no leader', 'served', null, {}, 503, []],
    ['cut off from the store, a former leader', 'silent', 'n-0', { 'n-1': null, 'n-2': ok }, 200, ['n-1 hop', 'n-2 hop']],
    ['cut off from the store, the leader has changed', 'silent', 'n-1', { 'n-1': no, 'n-2': ok }, 200, ['n-1', 'n-2 hop']],
    ['refused by the store since its start', 'refused', null, { 'n-1': ok }, 200, ['n-1 hop']],
    ['cut off from the store and all controllers', 'silent', 'n-0', {}, 503, ['n-1 hop', 'n-2 hop']],
    ['cut off from many controllers', 'silent', 'n-1', {}, 421, ['n-1', 'n-2 hop'], ['n-3', 'n-4', 'n-5', 'n-6']],
  ]; // prettier-ignore
  for (const [name, health, leader, answers, status, asked, more = []] of cases) {
    const seen: string[] = [];
    let now = 0;
    const parts = fake<ConstructorParameters<typeof HeartbeatHandler>[0]>({
      settings: { ...settings(), workers: { ...settings().workers, report_s: 2.5 } },
      election: {
        isEntitled: false,
        outageQuorum: { mayRenewLeases: () => Promise.resolve(false) },
      },
      store: { health },
      replica: {
        leader: leader === null ? null : { node: leader, revision: 5 },
        jobs: new Map(),
        lastToken: 5,
      },
      peers: {
        peerNames: ['n-1', 'n-2', ...more],
        ask: (node: string, question: { hop: boolean }, timeoutS: number) => {
          seen.push(question.hop ? `${node} hop` : node);
          now += answers[node] === undefined || answers[node] === null ? timeoutS : 0;
          return Promise.resolve(answers[node] ?? null);
        },
      },
      zoneLeaseHolder: null,
      zoneLeases: { holderOf: () => null },
      isLate: () => false,
      leader: () => null,
      isKnownCancelled: () => false,
      hasUnreadCancellations: () => false,
      clock: { now: () => now },
      log: silentLog(),
    });
    const heartbeats = new HeartbeatHandler(parts);
    assert.equal((await heartbeats.handle(heartbeatBody)).status, status, name);
    // Only requests to the leader itself show how long it makes others wait.
    const asksLeader = seen.some((way) => !way.endsWith('hop'));
    assert.equal(
      heartbeats.forwardingDelay.meanS !== undefined,
      asksLeader,
      `${name}: delay recorded`,
    );
    assert.deepEqual(more.length > 0 ? seen.slice(0, 2) : seen, asked, name);
    // Guards against answers that arrive after the worker has turned to another controller, as with heartbeats every 2.5 s.
    assert.ok(now < ANSWER_WAIT_S, `${name}: ${now} s`);
  }
});

test('no cancellation is forgotten while leases of its tasks may be renewed, however many cancellations there are', () => {
  const clock = { now: () => now };
  let now = 0;
  const jobs = new Map<string, unknown>();
  const make = (): CancellationBroadcast =>
    new CancellationBroadcast({
      settings: settings(),
      zoneLeaseHolders: [],
      peers: null!,
      replica: fake<Replica>({ jobs }),
      zoneLeases: null!,
      clock,
    });
  const broadcast = make();
  const id = (i: number): string => `wk-${i}`;
  // A limit of 1,000 is too low: while a zone of a large fleet is cut off, more jobs are cancelled.
  for (let i = 0; i < 5000; i++) broadcast.noteAnnounced(id(i));
  assert.ok([0, 2500, 4999].every((i) => broadcast.knows(id(i))));
  // Cancellations that the replica shows as stored need not be remembered separately.
  for (let i = 0; i < 4000; i++) jobs.set(id(i), { cancelledRevision: 5, doneRevision: null });
  broadcast.noteAnnounced('wk-a');
  assert.equal(broadcast.size, 1001);
  now = settings().workers.lease_s * 21;
  broadcast.noteStored('wk-b');
  broadcast.noteAnnounced('wk-c');
  assert.deepEqual(
    [broadcast.knows('wk-4999'), broadcast.knows('wk-b'), broadcast.knows('wk-c')],
    [false, true, true],
  );
});

test('the delay of forwarded heartbeats is a mean of recent samples only', () => {
  let now = 0;
  const wait = new ForwardingDelay({ now: () => now }, 1);
  assert.equal(wait.meanS, undefined);
  wait.addSample(1);
  assert.equal(wait.meanS, 1);
  // A single late answer hardly changes the mean, many do.
  for (let i = 0; i < 30; i++) wait.addSample(0.1);
  assert.ok(wait.meanS < 0.15);
  wait.addSample(1);
  assert.ok(wait.meanS < 0.25);
  for (let i = 0; i < 10; i++) wait.addSample(1);
  assert.ok(wait.meanS > 0.6);
  now = 2.5;
  assert.equal(wait.meanS, undefined, 'nothing was forwarded recently');
  wait.addSample(0.1);
  assert.equal(wait.meanS, 0.1, 'earlier samples do not count');
});
