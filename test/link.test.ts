import assert from 'node:assert/strict';
import { connect } from 'node:net';
import { test } from 'node:test';
import { encodeFrame, FrameReader, FrameWriter } from '../src/peers/frames.js';
import {
  parseAnswer,
  parseQuestion,
  PROTOCOL_VERSION,
  type Answer,
  type ControllerHealth,
  type QuestionKind,
} from '../src/peers/messages.js';
import type { HealthExchange } from '../src/peers/health-exchange.js';
import { PeerNetwork } from '../src/peers/peer-network.js';
import { silentLog } from '../src/log.js';

test('frames are decoded however the bytes are split; too long or malformed ones are rejected', () => {
  const bytes = Buffer.concat([encodeFrame({ a: 1 }), encodeFrame({ b: 'x'.repeat(1000) })]);
  for (const step of [1, 3, 5000]) {
    const reader = new FrameReader();
    const got: unknown[] = [];
    for (let i = 0; i < bytes.length; i += step)
      got.push(...reader.push(bytes.subarray(i, i + step)));
    assert.deepEqual(got, [{ a: 1 }, { b: 'x'.repeat(1000) }]);
  }
  assert.throws(() => new FrameReader().push(Buffer.from([255, 255, 255, 255])));
  assert.throws(() =>
    new FrameReader().push(Buffer.from([0, 0, 0, 2, 0x5f, 0xff, 0, 0, 0, 1, 0xff])),
  );
});

const HEARTBEAT_ANSWER = { status: 200, body: 'report' };
const HEALTH: Record<string, ControllerHealth> = {
  a: { latenessS: 1, served: true },
  b: { latenessS: 2, served: false },
};
/** The last health report that each controller received, by its name. */
const received = new Map<string, ControllerHealth>();
const healthExchange = (self: string): HealthExchange => ({
  createSender: () => () => HEALTH[self]!,
  recordHealth: (_from, health) => void received.set(self, health),
});

test('a connection that violates the protocol is closed without affecting others', async () => {
  const at = { host: '127.0.0.1', port: 0 };
  const server = new PeerNetwork({
    self: 'a',
    peers: [{ node: 'b', addr: at }],
    handler: (_f, q) => {
      if (q.q === 'there') return new Promise(() => undefined);
      return q.q === 'elected' ? { remainsS: q.token } : { status: 200, body: q.q };
    },
    log: silentLog(),
    maxPending: 500,
    health: healthExchange('a'),
    batchingDelayS: 0,
  });
  await server.listen(at);
  const port = (server as unknown as { server: { address(): { port: number } } }).server.address()
    .port;
  const to = [{ node: 'a', addr: { ...at, port } }];
  const client = new PeerNetwork({
    self: 'b',
    peers: to,
    handler: () => ({}),
    log: silentLog(),
    maxPending: 500,
    health: healthExchange('b'),
    batchingDelayS: 0,
  });
  assert.deepEqual(await client.ask('a', { q: 'report', body: Buffer.from('x'), hop: false }, 2), {
    ...HEARTBEAT_ANSWER,
  });
  const hello = encodeFrame({ v: PROTOCOL_VERSION, from: 'b' });
  for (const bytes of [
    Buffer.from('GET / HTTP/1.1\r\n\r\n'),
    encodeFrame({ v: 99, from: 'b' }),
    encodeFrame({ v: PROTOCOL_VERSION, from: 'z' }),
    Buffer.concat([hello, encodeFrame({ q: { q: 'there' } })]),
    Buffer.concat([hello, encodeFrame({ fitness: { latenessS: -1, served: true } })]),
  ]) {
    await new Promise<void>((resolve) => {
      const socket = connect(port, '127.0.0.1', () => socket.write(bytes));
      socket.on('error', () => undefined);
      socket.on('close', () => resolve());
    });
  }
  assert.deepEqual(await client.ask('a', { q: 'report', body: Buffer.from('y'), hop: false }, 2), {
    ...HEARTBEAT_ANSWER,
  });
  // A question without an answer once closed its connection, and hundreds of heartbeats in progress on it were lost.
  const asks: Promise<Answer | null>[] = [client.ask('a', { q: 'there' }, 0.3)];
  for (let i = 0; i < 300; i++) asks.push(client.ask('a', { q: 'elected', token: i }, 5));
  const got = await Promise.all(asks);
  assert.deepEqual(got, [null, ...Array.from({ length: 300 }, (_, i) => ({ remainsS: i }))]);
  const { accepted } = server as unknown as { accepted: Set<unknown> };
  assert.equal(accepted.size, 1, 'the connection was never reopened');
  assert.equal(
    await client.ask('nobody', { q: 'report', body: Buffer.from(''), hop: false }, 1),
    null,
  );
  // Health reports were sent in both directions along with the other frames, without questions of their own.
  assert.deepEqual([received.get('a'), received.get('b')], [HEALTH.b, HEALTH.a]);
  client.close();
  server.close();
});

test('frames that are not urgent are sent with the next urgent one or after the batching delay', async () => {
  const cases: { name: string; urgent: boolean[]; writes: number; soon: boolean }[] = [
    { name: 'heartbeats only', urgent: [false, false, false], writes: 1, soon: false },
    { name: 'an urgent frame flushes the queue', urgent: [false, true], writes: 1, soon: true },
    {
      name: 'no frame after an urgent one is delayed',
      urgent: [true, false, true],
      writes: 1,
      soon: true,
    },
  ];
  for (const { name, urgent, writes, soon } of cases) {
    const written: Buffer[] = [];
    const socket = { destroyed: false, write: (data: Buffer) => written.push(data) > 0 };
    const writer = new FrameWriter(socket, () => null, 0.05);
    urgent.forEach((each, i) => writer.write({ id: i }, each));
    await new Promise((resolve) => setTimeout(resolve, 10));
    assert.equal(written.length, soon ? writes : 0, `${name}, at once`);
    await new Promise((resolve) => setTimeout(resolve, 80));
    assert.equal(written.length, writes, name);
    const frames = new FrameReader().push(Buffer.concat(written));
    assert.deepEqual(
      frames,
      urgent.map((_, id) => ({ id })),
      'order is preserved',
    );
  }
});

test('a malformed question is rejected, and a malformed field of an answer is dropped', () => {
  const questions: [object, boolean][] = [
    [{ q: 'report', body: Buffer.from('x'), hop: true }, true],
    [{ q: 'report', body: 'x', hop: true }, false],
    [{ q: 'refused', token: 1, forMs: 5, applied: 2 }, true],
    [{ q: 'refused', token: 'x', forMs: 5, applied: 2 }, false],
    [{ q: 'refused', token: 1, forMs: NaN, applied: 2 }, false],
    [{ q: 'elected', token: 7 }, true],
    [{ q: 'elected', token: 1.5 }, false],
    [{ q: 'user', to: 'poll', text: 'wk-1' }, true],
    [{ q: 'user', to: 'submit', text: 5 }, false],
    [{ q: 'user', to: 'drop', text: 'wk-1' }, false],
    [{ q: 'cancelling', job: 'x'.repeat(200) }, true],
    [{ q: 'cancelling', job: 'x'.repeat(201) }, false],
    [{ q: 'cancelled', job: null }, false],
    [{ q: 'unknown' }, false],
  ];
  for (const [raw, valid] of questions) {
    assert.deepEqual(parseQuestion(raw as Record<string, unknown>), valid ? raw : null);
  }
  const answers: [QuestionKind, unknown, unknown][] = [
    ['report', { status: 200, body: 5 }, { status: 200 }],
    ['user', { status: 'x', body: '{}' }, { body: '{}' }],
    ['elected', { remainsS: Infinity }, {}],
    ['refused', { refused: false, cancelled: [5] }, { refused: false }],
    ['refused', { refused: true, freshAgeS: NaN }, { refused: true }],
    ['cancelled', { noted: 1 }, {}],
    ['cancelled', 5, null],
  ];
  for (const [kind, raw, parsed] of answers) {
    // Undefined fields count as missing.
    assert.deepEqual(JSON.parse(JSON.stringify(parseAnswer(kind, raw))), parsed);
  }
});
