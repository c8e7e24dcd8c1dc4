import assert from 'node:assert/strict';
import { connect } from 'node:net';
import { test } from 'node:test';
import { encodeFrame, FrameReader, PeerNet } from '../src/peers/peers.js';
import { silentLog } from '../src/log.js';

test('frames survive any cutting; what is too long or no CBOR is refused', () => {
  const bytes = Buffer.concat([encodeFrame({ a: 1 }), encodeFrame({ b: 'x'.repeat(1000) })]);
  for (const step of [1, 3, 5000]) {
    const r = new FrameReader();
    const got: unknown[] = [];
    for (let i = 0; i < bytes.length; i += step) got.push(...r.push(bytes.subarray(i, i + step)));
    assert.deepEqual(got, [{ a: 1 }, { b: 'x'.repeat(1000) }]);
  }
  assert.throws(() => new FrameReader().push(Buffer.from([255, 255, 255, 255])));
  assert.throws(() =>
    new FrameReader().push(Buffer.from([0, 0, 0, 2, 0x5f, 0xff, 0, 0, 0, 1, 0xff])),
  );
});

test('a hostile connection is closed and harms no other', async () => {
  const at = { host: '127.0.0.1', port: 0 };
  const server = new PeerNet(
    'a',
    [{ node: 'b', addr: at }],
    (_f, q) => (q.q === 'there' ? new Promise(() => undefined) : { saw: q.q }),
    silentLog(),
    500,
  );
  await server.listen(at);
  const port = (server as unknown as { server: { address(): { port: number } } }).server.address()
    .port;
  const to = [{ node: 'a', addr: { ...at, port } }];
  const client = new PeerNet('b', to, () => ({}), silentLog(), 500);
  assert.deepEqual(await client.ask('a', { q: 'report', body: Buffer.from('x'), hop: false }, 2), {
    saw: 'report',
  });
  for (const bytes of [
    Buffer.from('GET / HTTP/1.1\r\n\r\n'),
    encodeFrame({ v: 99, from: 'b' }),
    encodeFrame({ v: 1, from: 'z' }),
  ]) {
    await new Promise<void>((resolve) => {
      const s = connect(port, '127.0.0.1', () => s.write(bytes));
      s.on('error', () => undefined);
      s.on('close', () => resolve());
    });
  }
  assert.deepEqual(await client.ask('a', { q: 'report', body: Buffer.from('y'), hop: false }, 2), {
    saw: 'report',
  });
  // One question without an answer took hundreds of reports with it that were under way beside it.
  const asks = [client.ask('a', { q: 'there' }, 0.3)];
  for (let i = 0; i < 300; i++) asks.push(client.ask('a', { q: 'elected', token: i }, 5));
  const got = await Promise.all(asks);
  assert.deepEqual([got[0], got.filter((a) => a?.saw === 'elected').length], [null, 300]);
  const { accepted } = server as unknown as { accepted: Set<unknown> };
  assert.equal(accepted.size, 1, 'the same connection throughout');
  assert.equal(
    await client.ask('nobody', { q: 'report', body: Buffer.from(''), hop: false }, 1),
    null,
  );
  client.close();
  server.close();
});
