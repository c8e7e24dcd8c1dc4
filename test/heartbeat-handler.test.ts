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

test('a heartbeat finds its way to the leader, also from a controller that does not know it', async () => {
  // Cut off from the store alone, a former leader took itself for the leader, and its workers waited.
  const ok = { status: 200, body: '{}' };
  const no = { status: 503 };
  const cases: [string, string, string | null, Record<string, ReplyAnswer | null>, number, string[], string[]?][] = [
    ['straight to the leader', 'served', 'n-1', { 'n-1': ok }, 200, ['n-1']],
    ['by way of another', 'served', 'n-1', { 'n-1': null, 'n-2': ok }, 200, ['n-1', 'n-2 hop']],
    ['it does not lead', 'served', 'n-1', { 'n-1': no, 'n-2': ok }, 503, ['n-1']],
    ['nobody reaches it', 'served', 'n-1', { 'n-1': null, 'n-2': null }, 421, ['n-1', 'n-2 hop']],
    ['nobody leads', 'served', null, {}, 503, []],
    ['cut off, it led', 'silent', 'n-0', { 'n-1': null, 'n-2': ok }, 200, ['n-1 hop', 'n-2 hop']],
    ['cut off, the leader has changed', 'silent', 'n-1', { 'n-1': no, 'n-2': ok }, 200, ['n-1', 'n-2 hop']],
    ['refused since its start', 'refused', null, { 'n-1': ok }, 200, ['n-1 hop']],
    ['cut off from all', 'silent', 'n-0', {}, 503, ['n-1 hop', 'n-2 hop']],
    ['cut off from many', 'silent', 'n-1', {}, 421, ['n-1', 'n-2 hop'], ['n-3', 'n-4', 'n-5', 'n-6']],
  ]; // prettier-ignore
  for (const [name, health, leader, answers, status, asked, more = []] of cases) {
    const seen: string[] = [];
    let now = 0;
    const parts = fake<ConstructorParameters<typeof HeartbeatHandler>[0]>({
      settings: { ...settings(), workers: { ...settings().workers, report_s: 2.5 } },
      election: { isEntitled: false, outage: { mayRenewLeases: () => Promise.resolve(false) } },
      store: { health },
      replica: {
        leader: leader === null ? null : { node: leader, revision: 5 },
        jobs: new Map(),
        lastToken: 5,
      },
      peers: {
        names: ['n-1', 'n-2', ...more],
        ask: (node: string, question: { hop: boolean }, patienceS: number) => {
          seen.push(question.hop ? `${node} hop` : node);
          now += answers[node] === undefined || answers[node] === null ? patienceS : 0;
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
    // Only what the leader itself was asked tells how long it lets others wait.
    const asksLeader = seen.some((way) => !way.endsWith('hop'));
    assert.equal(heartbeats.forwardingDelay.meanS !== undefined, asksLeader, `${name}: wait noted`);
    assert.deepEqual(more.length > 0 ? seen.slice(0, 2) : seen, asked, name);
    // Reports came every 2.5 s, and their answers after the worker had gone elsewhere.
    assert.ok(now < ANSWER_WAIT_S, `${name}: ${now} s`);
  }
});

test('no cancellation is forgotten while its tasks may be kept, however many there are', () => {
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
  // A thousand were remembered once; a cut of a large fleet's zone sees more.
  for (let i = 0; i < 5000; i++) broadcast.noteAnnounced(id(i));
  assert.ok([0, 2500, 4999].every((i) => broadcast.knows(id(i))));
  // Stored: whoever has read that needs no telling.
  for (let i = 0; i < 4000; i++) jobs.set(id(i), { cancelledAt: 5, doneAt: null });
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

test('how long forwarded heartbeats wait: a mean of the latest, and only of the present', () => {
  let now = 0;
  const wait = new ForwardingDelay({ now: () => now }, 1);
  assert.equal(wait.meanS, undefined);
  wait.addSample(1);
  assert.equal(wait.meanS, 1);
  // One that is late does not make a mean, many do.
  for (let i = 0; i < 30; i++) wait.addSample(0.1);
  assert.ok(wait.meanS < 0.15);
  wait.addSample(1);
  assert.ok(wait.meanS < 0.25);
  for (let i = 0; i < 10; i++) wait.addSample(1);
  assert.ok(wait.meanS > 0.6);
  now = 2.5;
  assert.equal(wait.meanS, undefined, 'nothing was passed on lately');
  wait.addSample(0.1);
  assert.equal(wait.meanS, 0.1, 'and what was before does not count');
});
