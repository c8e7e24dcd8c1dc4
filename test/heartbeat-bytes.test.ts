import assert from 'node:assert/strict';
import { test } from 'node:test';
import { HeartbeatHandler } from '../src/heartbeat/heartbeat-handler.js';
import type { Reply } from '../src/http/server.js';
import { silentLog } from '../src/log.js';
import { encodeFrame, FrameReader } from '../src/peers/frames.js';
import type { Answer, Question } from '../src/peers/messages.js';
import { random, seedRandom } from '../src/random.js';
import { LastHeartbeat } from '../src/wire/last-heartbeat.js';
import { scanHeartbeat } from '../src/wire/heartbeat-scan.js';
import { BadRequestError } from '../src/wire/users.js';
import { decodeHeartbeat, type Heartbeat } from '../src/wire/workers.js';
import { settings } from './helpers.js';
import { LeaderWorld } from './support/leader-world.js';
import { fake, type DeepPartial } from './support/fake.js';

const bodyOf = (token: number, tally: number | string, machine = 'm'): string =>
  `{"bench":"${machine}","addr":"127.0.0.1:1","casting":"g8","yard":"z1","loaner":true,"shift":1,` +
  `"tally":${tally},"hallmark":${token},"recall_s":null,"pieces":[` +
  `{"piece":"wk-1/0","pour":2,"temper":"running"},` +
  `{"piece":"wk-2/0","pour":1,"temper":"ended","cause":"done"}]}`;

function decodeOrNull(body: Buffer): Heartbeat | null {
  try {
    return decodeHeartbeat(body);
  } catch (error) {
    if (error instanceof BadRequestError) return null;
    throw error;
  }
}

type HandlerOptions = ConstructorParameters<typeof HeartbeatHandler>[0];
type Ask = (to: string, question: Question) => Promise<Answer | null>;

/** The heartbeat handler of a follower that knows the leader, or of the leader itself. */
function makeHandler(
  over: DeepPartial<HandlerOptions>,
  ask: Ask = () => Promise.resolve(null),
): HeartbeatHandler {
  return new HeartbeatHandler(
    fake<HandlerOptions>({
      settings: settings(),
      election: {
        isEntitled: over.leader !== undefined,
        outageQuorum: { mayRenewLeases: () => true },
      },
      store: { health: 'served' },
      replica: {
        leader: { node: 'n-1', revision: 5 },
        lastToken: 5,
        jobs: new Map(),
        machines: new Map(),
        mayLackClaimsSince: () => false,
      },
      peers: { peerNames: ['n-1'], ask },
      zoneLeaseHolder: null,
      zoneLeases: { holderOf: () => null, isSteady: () => true },
      isLate: () => false,
      leader: () => null,
      isKnownCancelled: () => false,
      hasUnreadCancellations: () => false,
      clock: { now: () => 0 },
      log: silentLog(),
      ...over,
    }),
  );
}

/** A leader's state of its machines. */
const leaderState = ({ term }: LeaderWorld): unknown =>
  [...term.machines.values()].map((machine) => [
    ...[
      machine.id,
      machine.state,
      machine.agentEpoch,
      machine.sequence,
      machine.fencedSequence,
      machine.token,
      machine.reclaimAt,
      machine.leaseExpiresAt,
      machine.addr,
    ],
    ...[...machine.attempts].map(([key, attempt]) => [
      key,
      attempt.state,
      attempt.cause,
      attempt.saved,
      attempt.agentEpoch,
    ]),
  ]);

const pick = <T>(list: readonly T[]): T => list[Math.floor(random() * list.length)]!;
const JSON_FRAGMENTS = [
  '"bench":"other",', '"yard":"z2",', '"hallmark":1,', '"tally":99,', '"x":{"bench":"y","a":["yard"]},',
  '"x":"\\"tally\\":5",', '"b\\u0065nch":"other",', '"h\\u0061llmark":2,', ' ', '\n\t', '0', '1', '-', '.5', 'e1',
  '"', '\\', '\\"', '{', '}', '[', ']', ',', ':', 'null', 'é', '\u0000', '1234567890123456',
]; // prettier-ignore

function mutate(text: string): Buffer {
  const bytes = Buffer.from(text);
  const at = Math.floor(random() * (bytes.length + 1));
  const member = [...text.matchAll(/(?<=[{,])"/g)].map((match) => match.index);
  const digit = [...text.matchAll(/\d/g)].map((match) => match.index);
  const change = (from: number, to: number, put: string): Buffer =>
    Buffer.concat([bytes.subarray(0, from), Buffer.from(put), bytes.subarray(to)]);
  switch (Math.floor(random() * 6)) {
    case 0:
      return change(at, at, pick(JSON_FRAGMENTS));
    case 1: {
      const before = pick(member);
      return change(before, before, pick(JSON_FRAGMENTS));
    }
    case 2:
      return change(at, at + 1 + Math.floor(random() * 4), '');
    case 3: {
      const d = pick(digit);
      return change(d, d + 1, pick(['0', '7', '00', '9e0', '1.0', '', '-1']));
    }
    case 4: {
      const changed = Buffer.from(bytes);
      if (at < changed.length) changed[at] = Math.floor(random() * 256);
      return changed;
    }
    default: {
      const members = Object.entries(JSON.parse(text) as object);
      members.sort(() => random() - 0.5);
      return Buffer.from(JSON.stringify(Object.fromEntries(members), null, pick([0, 1])));
    }
  }
}

test('a heartbeat gets the same answer directly, forwarded, and by a full parse', async () => {
  seedRandom(20);
  const [directWorld, forwardedWorld, parsedWorld] = [
    new LeaderWorld(),
    new LeaderWorld(),
    new LeaderWorld(),
  ];
  const leads = (world: LeaderWorld): HeartbeatHandler =>
    makeHandler({ leader: () => world.leader });
  const [direct, leader] = [leads(directWorld), leads(forwardedWorld)];
  const ask: Ask = async (_to, question) => {
    const [asked] = new FrameReader().push(encodeFrame(question)) as [
      { body: Buffer; hop: boolean },
    ];
    return { ...(await leader.handleForwarded(asked.body, asked.hop)) };
  };
  const follower = makeHandler({}, ask);
  const count = { good: 0, malformed: 0, scanned: 0, repeated: 0 };
  const sent: Buffer[] = [];
  for (let i = 1; i <= 3000; i++) {
    const text = bodyOf(parsedWorld.token, i, pick(['m', 'n']));
    const kind = random();
    const body = kind < 0.4 ? Buffer.from(text) : kind < 0.5 && i > 1 ? pick(sent) : mutate(text);
    sent.push(body);
    for (const world of [directWorld, forwardedWorld, parsedWorld]) world.fleet.now += 0.01;
    const heartbeat = decodeOrNull(body);
    const scanned = scanHeartbeat(body);
    const last =
      heartbeat &&
      directWorld.term.machines.get(heartbeat.machine)?.lastHeartbeat.decodeRepetition(body);
    if (heartbeat === null) count.malformed++;
    else count.good++;
    if (heartbeat !== null && scanned !== null) {
      const { machine, zone, token, sequenceStart, sequenceEnd } = scanned;
      const digits = body.toString('latin1', sequenceStart, sequenceEnd);
      const seen = { machine, zone, token, sequence: Number(digits) };
      assert.deepEqual({ ...heartbeat, ...seen }, heartbeat, body.toString());
      count.scanned++;
    }
    if (last) {
      assert.deepEqual(last, heartbeat, body.toString());
      count.repeated++;
    }
    const want: Reply =
      heartbeat === null
        ? { status: 400, body: '{}' }
        : parsedWorld.leader.answerHeartbeat(heartbeat);
    const answer = (reply: Reply): unknown => [reply.status, reply.body];
    assert.deepEqual(answer(await direct.handle(body)), answer(want), body.toString());
    const forwardedReply = await follower.handle(body);
    // A leader's 503 is not final: the follower may then renew the lease in its place.
    if (want.status !== 503)
      assert.deepEqual(answer(forwardedReply), answer(want), body.toString());
    assert.deepEqual(
      [leaderState(directWorld), leaderState(forwardedWorld)],
      [leaderState(parsedWorld), leaderState(parsedWorld)],
    );
  }
  // The comparisons above prove something only if each kind occurred often.
  assert.ok(Object.values(count).every((n) => n > 400), JSON.stringify(count)); // prettier-ignore
});

test('a scan returns the same fields as a full parse, or null', () => {
  const found = { machine: 'm', zone: 'z1', token: 5 };
  const text = bodyOf(5, 8);
  const prepend = (members: string): string => text.replace('{', `{${members},`);
  const spaced = JSON.stringify(JSON.parse(text), null, 1);
  const reversed = Object.fromEntries(Object.entries(JSON.parse(text) as object).reverse());
  const withName = (name: string): string => text.replace('"m"', `"${name}"`);
  const cases: [string, string, object | null][] = [
    ['as workers write it', text, found],
    ['white space', `\t${spaced}\r\n`, found],
    ['fields in another order', JSON.stringify(reversed), found],
    ['fields inside others', prepend('"x":[{"bench":"o","yard":"z2"},{"hallmark":1}]'), found],
    [
      'strings that look like fields and brackets',
      prepend('"x":["]","}","{",":\'bench\':"]'),
      found,
    ],
    [
      'the last of two equal names counts',
      prepend('"bench":"o","yard":"z2","hallmark":1,"tally":1'),
      found,
    ],
    ['an escaped field name', text.replace('}]}', '}],"b\\u0065nch":"o"}'), null],
    ['an escape in a name', withName('\\u006d'), null],
    ['a name beyond ASCII', withName('é'), null],
    ['a name that is too long', withName('m'.repeat(201)), null],
    ['an empty name', withName(''), null],
    ['a name that is a number', text.replace('"m"', '31'), null],
    ['no name', text.replace('bench', 'bank'), null],
    ['bytes after the end', `${text}]`, null],
    ['truncated', text.slice(0, -1), null],
    ['a token in another form', text.replace('"hallmark":5', '"hallmark":50e-1'), null],
  ];
  for (const [name, body, want] of cases) {
    const scanned = scanHeartbeat(Buffer.from(body));
    assert.deepEqual(scanned && { ...scanned, ...want }, want && scanned, name);
    assert.equal(scanned === null, want === null, name);
  }
});

test('malformed heartbeats get 400 on every path, whichever controller detects them', async () => {
  const good = Buffer.from(bodyOf(5, 1));
  const bad = Buffer.from(bodyOf(5, 1).replace('running', 'dancing'));
  assert.ok(scanHeartbeat(bad) !== null, 'the scan alone does not detect the error');
  const unavailable: Ask = () => Promise.resolve({ status: 503 });
  const rejected: Ask = () => Promise.resolve({ status: 400, body: '{}' });
  const zoneController = { zoneLeases: { holderOf: () => 'n-1', isSteady: () => true } };
  const zoneLeaseHolder = { mayRenewLeases: () => true };
  const cases: [string, HeartbeatHandler, number][] = [
    ['redirected to the controller of its zone', makeHandler(zoneController), 421],
    ['renewed in a zone that is cut off', makeHandler({ zoneLeaseHolder }), 200],
    ['there is no leader', makeHandler({ replica: { leader: null } }), 503],
    ['renewed in an outage', makeHandler({}, unavailable), 200],
    [
      'no controller answers',
      makeHandler({ election: { outageQuorum: { mayRenewLeases: () => false } } }),
      421,
    ],
    ['detected by the leader', makeHandler({}, rejected), 400],
  ];
  for (const [name, heartbeats, status] of cases) {
    assert.equal((await heartbeats.handle(bad)).status, 400, name);
    assert.equal((await heartbeats.handle(good)).status, status, name);
  }
  const { leader } = new LeaderWorld();
  assert.equal(
    (await makeHandler({ leader: () => leader }).handleForwarded(bad, false))?.status,
    400,
  );
});

test('only a heartbeat that repeats the last one is recognised as such, and its sequence number still counts', () => {
  type Seen = [repeated: boolean, status: number, seq: number, renewed: boolean];
  const swap = (from: string, to: string) => (token: number) => bodyOf(token, 9).replace(from, to);
  const cases: [string, (token: number) => string, Seen][] = [
    ['the next heartbeat', (token) => bodyOf(token, 9), [true, 200, 9, true]],
    ['the next heartbeat, one digit longer', (token) => bodyOf(token, 10), [true, 200, 10, true]],
    ['an old copy', (token) => bodyOf(token, 7), [true, 200, 8, false]],
    ['the same heartbeat again', (token) => bodyOf(token, 8), [true, 200, 8, false]],
    ['a later agent epoch', swap('"shift":1', '"shift":2'), [false, 200, 9, true]],
    ['an earlier agent epoch', swap('"shift":1', '"shift":0'), [false, 200, 8, false]],
    ['an older token', (token) => bodyOf(token - 1, 9), [false, 200, 9, true]],
    ['a later token', (token) => bodyOf(token + 1, 9), [false, 503, 8, false]],
    ['a reclaim notice appears', swap('null', '30'), [false, 200, 9, true]],
    ['a task changes its state', swap('running', 'flushing'), [false, 200, 9, true]],
    ['a task is gone', swap('{"piece":"wk-1/0","pour":2,"temper":"running"},', ''), [false, 200, 9, true]],
    ['another machine', (token) => bodyOf(token, 9, 'n'), [false, 200, 8, false]],
    ['another address of the same length', swap('"addr":"1', '"addr":"2'), [false, 200, 9, true]],
    ['leading zeros', (token) => bodyOf(token, '09'), [false, 400, 8, false]],
    ['an exponent', (token) => bodyOf(token, '9e0'), [false, 200, 9, true]],
    ['a fraction', (token) => bodyOf(token, '9.5'), [false, 400, 8, false]],
    ['below zero', (token) => bodyOf(token, '-9'), [false, 400, 8, false]],
    ['too large', (token) => bodyOf(token, '9007199254740993'), [false, 400, 8, false]],
    ['no number', (token) => bodyOf(token, ''), [false, 400, 8, false]],
    ['a second number', (token) => bodyOf(token, '9,"tally":3'), [false, 200, 8, false]],
    ['truncated', (token) => bodyOf(token, 9).slice(0, -1), [false, 400, 8, false]],
  ]; // prettier-ignore
  for (const [name, text, want] of cases) {
    const world = new LeaderWorld();
    const heartbeats = makeHandler({ leader: () => world.leader });
    // The first registers the machine, the second shows the token.
    for (const tally of [1, 8]) void heartbeats.handle(Buffer.from(bodyOf(world.token, tally)));
    world.fleet.now = 1;
    const machine = world.machine('m');
    const { leaseExpiresAt } = machine;
    const body = Buffer.from(text(world.token));
    const repeated = machine.lastHeartbeat.decodeRepetition(body) !== null;
    const { status } = heartbeats.handle(body) as Reply;
    assert.deepEqual(
      [repeated, status, machine.sequence, machine.leaseExpiresAt > leaseExpiresAt],
      want,
      name,
    );
    // A late copy does not replace a newer heartbeat.
    if (machine.sequence === 8)
      assert.equal(
        machine.lastHeartbeat.decodeRepetition(Buffer.from(bodyOf(world.token, 10)))?.sequence,
        10,
      );
    // A newer heartbeat is the reference from then on, also in another form.
    if (status === 200 && machine.sequence === 9) {
      assert.equal(
        machine.lastHeartbeat.decodeRepetition(body)?.sequence,
        name === 'an exponent' ? undefined : 9,
        name,
      );
    }
  }
});

test('a sequence number above the largest safe integer is left to the parser', () => {
  const [largest, tooLarge] = ['9007199254740991', '9007199254740993'];
  const last = new LastHeartbeat();
  const body = Buffer.from(bodyOf(5, largest));
  last.cache(decodeHeartbeat(body), body);
  assert.equal(last.decodeRepetition(Buffer.from(bodyOf(5, tooLarge))), null);
  assert.equal(decodeOrNull(Buffer.from(bodyOf(5, tooLarge))), null);
});

test('the stored reference heartbeat is bounded in size and held in a buffer of its own', () => {
  const long = (tasks: number): Buffer => {
    const pieces = Array(tasks).fill('{"piece":"wk-1/0","pour":2,"temper":"running"}').join(',');
    return Buffer.from(bodyOf(5, 1).replace(/\[.*\]/, `[${pieces}]`));
  };
  const last = new LastHeartbeat();
  for (const [tasks, isStored] of [
    [1, true],
    [70, true],
    [100, false],
    [2, true],
  ] as const) {
    const body = long(tasks);
    last.cache(decodeHeartbeat(body), body);
    assert.equal(last.decodeRepetition(body) !== null, isStored, `${tasks} tasks`);
    const { memory } = last as unknown as { memory: Buffer };
    assert.ok(memory.buffer.byteLength <= 4096 && memory.buffer !== body.buffer);
  }
});
