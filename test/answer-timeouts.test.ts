import assert from 'node:assert/strict';
import { createServer } from 'node:net';
import { test } from 'node:test';
import { answerTimeout } from '../src/clock.js';
import { HttpClient } from '../src/http/client.js';

test('an answer that arrives in time counts even if the event loop is too busy to read it', async (context) => {
  const timeoutS = 0.05;
  let requests = 0;
  const server = createServer((socket) => {
    socket.on('error', () => undefined);
    socket.on('data', () => {
      socket.write('HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}');
      // From the second answer on, the answer stays unread in the client's socket while the event loop,
      // which client and server share, is blocked for longer than the client's time-out.
      const end = performance.now() + (requests++ === 0 ? 0 : timeoutS * 2000);
      while (performance.now() < end);
    });
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const { port } = server.address() as { port: number };
  const client = new HttpClient({ host: '127.0.0.1', port }, 1);
  context.after(() => {
    client.close();
    server.close();
  });
  // Opens the connection.
  assert.equal((await client.request('GET', '/', undefined, 5)).status, 200);
  for (let i = 0; i < 3; i++) {
    assert.equal((await client.request('GET', '/', undefined, timeoutS)).status, 200);
  }
});

test('a time-out expires if no answer arrives', async () => {
  const began = performance.now();
  await new Promise<void>((resolve) => answerTimeout(resolve, 20));
  assert.ok(performance.now() - began >= 19);
  const stopped = answerTimeout(assert.fail, 1);
  clearTimeout(stopped);
  await new Promise((resolve) => setTimeout(resolve, 10));
});
