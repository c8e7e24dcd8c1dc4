import assert from 'node:assert/strict';
import { createServer } from 'node:net';
import { test } from 'node:test';
import { answerTimeout } from '../src/clock.js';
import { HttpClient } from '../src/http/client.js';

test('an answer that came in time counts, also where the loop was too busy to read it', async (context) => {
  const patienceS = 0.05;
  let requests = 0;
  const server = createServer((socket) => {
    socket.on('error', () => undefined);
    socket.on('data', () => {
      socket.write('HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}');
      // From the second answer on it lies in the client's socket while the loop, which is the client's
      // too, is busy for longer than the answer may take.
      const end = performance.now() + (requests++ === 0 ? 0 : patienceS * 2000);
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
    assert.equal((await client.request('GET', '/', undefined, patienceS)).status, 200);
  }
});

test('a time limit holds where no answer comes', async () => {
  const began = performance.now();
  await new Promise<void>((resolve) => answerTimeout(resolve, 20));
  assert.ok(performance.now() - began >= 19);
  const stopped = answerTimeout(assert.fail, 1);
  clearTimeout(stopped);
  await new Promise((resolve) => setTimeout(resolve, 10));
});
