import assert from 'node:assert/strict';
import { test } from 'node:test';
import { HttpError, HttpParser, type Message } from '../src/http/parser.js';

const read = (kind: 'request' | 'response', bytes: string, step = Infinity): Message | null => {
  const p = new HttpParser(kind);
  let got: Message | null = null;
  for (let i = 0; i < bytes.length && got === null; i += step) {
    p.push(Buffer.from(bytes.slice(i, Math.min(bytes.length, i + step)), 'latin1'));
    got = p.next();
  }
  return got;
};

const validRequests: [string, string, { method?: string; body?: string; keepAlive?: boolean }][] = [
  [
    'no body',
    'GET /ready HTTP/1.1\r\nHost: x\r\n\r\n',
    { method: 'GET', body: '', keepAlive: true },
  ],
  ['a length', 'POST /a HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc', { body: 'abc' }],
  [
    'chunks with a trailer',
    'POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3;x=y\r\nabc\r\n2\r\nde\r\n0\r\nT: 1\r\n\r\n',
    { body: 'abcde' },
  ],
  ['close', 'GET / HTTP/1.1\r\nConnection: close\r\n\r\n', { keepAlive: false }],
  ['1.0 closes', 'GET / HTTP/1.0\r\n\r\n', { keepAlive: false }],
];

test('requests are parsed at once or byte by byte', () => {
  for (const [name, bytes, want] of validRequests) {
    for (const step of [Infinity, 7, 1]) {
      const message = read('request', bytes, step);
      assert.ok(message, name);
      if (want.method !== undefined) assert.equal(message.method, want.method, name);
      if (want.body !== undefined) assert.equal(message.body.toString(), want.body, name);
      if (want.keepAlive !== undefined) assert.equal(message.keepAlive, want.keepAlive, name);
    }
  }
});

const malformedRequests: [string, string, number][] = [
  [
    'both length and chunked',
    'POST / HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n',
    400,
  ],
  ['two lengths', 'POST / HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 3\r\n\r\nabc', 400],
  ['negative length', 'POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\n', 400],
  ['signed length', 'POST / HTTP/1.1\r\nContent-Length: +3\r\n\r\nabc', 400],
  ['no number', 'POST / HTTP/1.1\r\nContent-Length: abc\r\n\r\n', 400],
  ['too long', 'POST / HTTP/1.1\r\nContent-Length: 65537\r\n\r\n', 413],
  ['chunks too long', 'POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n10001\r\n', 413],
  ['bad chunk size', 'POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n', 400],
  ['huge headers', `GET / HTTP/1.1\r\nX: ${'a'.repeat(20000)}`, 400],
  ['no request line', 'hello\r\n\r\n', 400],
  ['space in a header name', 'GET / HTTP/1.1\r\nA b: c\r\n\r\n', 400],
  ['folded header', 'GET / HTTP/1.1\r\nA: b\r\n c: d\r\n\r\n', 400],
  ['other version', 'GET / HTTP/2.0\r\n\r\n', 400],
  ['other coding', 'POST / HTTP/1.1\r\nTransfer-Encoding: gzip\r\n\r\n', 400],
];

test('malformed requests are rejected with their status', () => {
  for (const [name, bytes, status] of malformedRequests) {
    assert.throws(
      () => read('request', bytes),
      (e) => e instanceof HttpError && e.status === status,
      name,
    );
  }
});

test('a second request after the first stays unparsed', () => {
  const p = new HttpParser('request');
  p.push(Buffer.from('GET /a HTTP/1.1\r\n\r\nGET /b HTTP/1.1\r\n\r\n'));
  assert.equal(p.next()?.target, '/a');
  assert.ok(p.pendingBytes > 0);
});

test('a response without a length ends with its connection', () => {
  const p = new HttpParser('response');
  p.push(Buffer.from('HTTP/1.1 200 OK\r\n\r\nabc'));
  assert.equal(p.next(), null);
  assert.equal(p.next(true)?.body.toString(), 'abc');
});
