// Helpers that all stand-ins share: HTTP on loopback, timers, a seeded random number generator, a TCP proxy.
import { Buffer } from 'node:buffer';
import http from 'node:http';
import net from 'node:net';
import { setTimeout } from 'node:timers';

/** Waits for a number of milliseconds. */
export const wait = (ms) => new Promise((resolve) => setTimeout(resolve, ms));

/** Milliseconds of a steady clock. */
export const nowMs = () => globalThis.performance.now();

/** A small seeded generator; returns a function that gives numbers in [0, 1). */
export function seededRandom(seed) {
  let a = seed >>> 0;
  return () => {
    a = (a + 0x6d2b79f5) >>> 0;
    let t = a;
    t = Math.imul(t ^ (t >>> 15), t | 1);
    t ^= t + Math.imul(t ^ (t >>> 7), t | 61);
    return ((t ^ (t >>> 14)) >>> 0) / 4294967296;
  };
}

/** An HTTP server on loopback. The handler returns [status, body] or null: the connection is closed without an answer. */
export class JsonServer {
  port = 0;
  constructor(handler) {
    this.server = http.createServer((request, response) => {
      const parts = [];
      request.on('data', (data) => parts.push(data));
      request.on('error', () => undefined);
      request.on('end', () => void this.respond(handler, request, response, parts));
    });
    this.server.keepAliveTimeout = 600_000;
  }

  async respond(handler, request, response, parts) {
    const text = Buffer.concat(parts).toString('utf8');
    let answer;
    try {
      answer = await handler(request.method, request.url, text === '' ? {} : JSON.parse(text));
    } catch (error) {
      answer = [400, { error: String(error) }];
    }
    if (answer === null) {
      request.socket.destroy();
      return;
    }
    const body = Buffer.from(JSON.stringify(answer[1]));
    response.on('error', () => undefined);
    response.writeHead(answer[0], {
      'content-type': 'application/json',
      'content-length': body.length,
    });
    response.end(body);
  }

  async listen() {
    await new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(0, '127.0.0.1', resolve);
    });
    this.port = this.server.address().port;
  }

  close() {
    this.server.closeAllConnections();
    this.server.close();
  }
}

/** Sends a request; resolves with { status, body, text }, or null if there is no answer in time. */
export function ask(port, method, path, body, timeoutMs, agent = undefined) {
  return new Promise((resolve) => {
    const payload = body === undefined ? undefined : Buffer.from(JSON.stringify(body));
    const headers =
      payload === undefined
        ? {}
        : { 'content-type': 'application/json', 'content-length': payload.length };
    const request = http.request(
      { host: '127.0.0.1', port, method, path, headers, agent: agent ?? false },
      (response) => {
        const parts = [];
        response.on('data', (data) => parts.push(data));
        response.on('error', () => finish(null));
        response.on('end', () => {
          const text = Buffer.concat(parts).toString('utf8');
          let parsed = {};
          try {
            parsed = JSON.parse(text);
          } catch {
            // An answer without a body.
          }
          finish({ status: response.statusCode, body: parsed, text });
        });
      },
    );
    const timer = setTimeout(() => finish(null), timeoutMs);
    let finished = false;
    function finish(answer) {
      if (finished) return;
      finished = true;
      globalThis.clearTimeout(timer);
      if (answer === null) request.destroy();
      resolve(answer);
    }
    request.on('error', () => finish(null));
    request.end(payload);
  });
}

/**
 * A TCP proxy. Modes: `pass`; `reset`: connections are reset and refused; `hold`: bytes are held back in order and
 * delivered once the mode is `pass` again.
 */
export class Proxy {
  port = 0;
  mode = 'pass';
  delayMs = 0;
  pairs = new Set();
  constructor(target) {
    this.target = target;
    this.server = net.createServer((from) => this.accept(from));
  }

  accept(from) {
    from.on('error', () => undefined);
    if (this.mode === 'reset') {
      from.destroy();
      return;
    }
    const pair = { from, to: null };
    this.pairs.add(pair);
    from.on('close', () => {
      this.pairs.delete(pair);
      pair.to?.end();
    });
    if (this.mode === 'hold') from.pause();
    else this.open(pair);
  }

  open(pair) {
    const to = net.connect(this.target, '127.0.0.1');
    pair.to = to;
    to.on('error', () => undefined);
    to.on('close', () => pair.from.destroy());
    const forward = (source, sink) => {
      source.on('data', (data) => {
        if (this.delayMs > 0) setTimeout(() => sink.write(data), this.delayMs);
        else sink.write(data);
      });
    };
    forward(pair.from, to);
    forward(to, pair.from);
    pair.from.resume();
  }

  setMode(mode) {
    this.mode = mode;
    for (const pair of this.pairs) {
      if (mode === 'reset') {
        pair.from.destroy();
        pair.to?.destroy();
      } else if (mode === 'hold') {
        pair.from.pause();
        pair.to?.pause();
      } else if (pair.to === null) this.open(pair);
      else {
        pair.from.resume();
        pair.to.resume();
      }
    }
  }

  async listen() {
    await new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(0, '127.0.0.1', resolve);
    });
    this.port = this.server.address().port;
  }

  close() {
    this.setMode('reset');
    this.server.close();
  }
}

/** A free port below those that the system gives to outgoing connections, which could take it while its user is down. */
export async function freePort() {
  for (;;) {
    const port = 15_000 + Math.floor(Math.random() * 17_000);
    if (issued.has(port)) continue;
    const server = net.createServer();
    const free = await new Promise((resolve) => {
      server.once('error', () => resolve(false));
      server.listen(port, '127.0.0.1', () => resolve(true));
    });
    if (!free) continue;
    await new Promise((resolve) => server.close(resolve));
    issued.add(port);
    return port;
  }
}

const issued = new Set();
