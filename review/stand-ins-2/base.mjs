/** Clock, record, HTTP helpers and free ports for the stand-ins of the second review. */

import { Buffer } from 'node:buffer';
import { appendFileSync, writeFileSync } from 'node:fs';
import http from 'node:http';
import { createServer } from 'node:net';
import { performance } from 'node:perf_hooks';
import { clearTimeout, setTimeout as startTimer } from 'node:timers';
import { URL } from 'node:url';

/** Seconds of the steady clock since the start of this process. */
export const now = () => performance.now() / 1000;

/** Resolves after this number of seconds. */
export const sleep = (seconds) =>
  new Promise((resolve) => startTimer(resolve, Math.max(0, seconds * 1000)));

/** Waits until the condition is truthy and returns its value; returns null after `limitS`. */
export async function until(condition, limitS) {
  const end = now() + limitS;
  for (;;) {
    const value = await condition();
    if (value) return value;
    if (now() >= end) return null;
    await sleep(0.05);
  }
}

/** The record of a run: what was sent, answered and run, one JSON object a line. */
export class Record {
  constructor(file) {
    this.file = file;
    writeFileSync(file, '');
  }

  add(event, fields = {}) {
    const line = { t: Math.round(now() * 1000) / 1000, event, ...fields };
    appendFileSync(this.file, `${JSON.stringify(line)}\n`);
  }
}

/** JSON with integers of any size: a bigint is written in plain digits. */
export const toJson = (value) =>
  JSON.stringify(value, (_key, item) =>
    typeof item === 'bigint' ? `@big${String(item)}@` : item,
  ).replace(/"@big(\d+)@"/g, '$1');

/** An HTTP server on loopback. `handler(method, url, text)` resolves to [status, body] or null (no answer). */
export async function serve(handler, port = 0) {
  const server = http.createServer((request, response) => {
    const parts = [];
    request.on('data', (data) => parts.push(data));
    request.on('end', () => {
      const text = Buffer.concat(parts).toString('utf8');
      const url = new URL(request.url, 'http://loopback');
      void Promise.resolve(handler(request.method, url, text)).then((answer) => {
        if (answer === null) return;
        const body = toJson(answer[1]);
        response.writeHead(answer[0], {
          'content-type': 'application/json',
          'content-length': Buffer.byteLength(body),
        });
        response.end(body);
      });
    });
    request.on('error', () => undefined);
  });
  server.keepAliveTimeout = 0;
  await new Promise((resolve) => server.listen(port, '127.0.0.1', resolve));
  return server;
}

/** Closes a server and its connections. */
export function closeServer(server) {
  server.close();
  server.closeAllConnections();
}

/** Sends a request; resolves to { status, body, text }, with status 0 if there is no answer in time. */
export function send({ port, method, path, body, timeoutS, agent }) {
  return new Promise((resolve) => {
    const text = body === undefined ? undefined : typeof body === 'string' ? body : toJson(body);
    const headers =
      text === undefined
        ? {}
        : {
            'content-type': 'application/json',
            'content-length': Buffer.byteLength(text),
          };
    let timer = null;
    let request = null;
    const finish = (result) => {
      clearTimeout(timer);
      resolve(result);
    };
    request = http.request(
      { host: '127.0.0.1', port, method, path, headers, agent },
      (response) => {
        const parts = [];
        response.on('data', (data) => parts.push(data));
        response.on('error', () => finish({ status: 0, body: null, text: '' }));
        response.on('end', () => {
          const answer = Buffer.concat(parts).toString('utf8');
          let parsed = null;
          try {
            parsed = JSON.parse(answer);
          } catch {
            parsed = null;
          }
          finish({
            status: response.statusCode,
            body: parsed,
            text: answer,
            headers: response.headers,
          });
        });
      },
    );
    timer = startTimer(() => {
      request.destroy();
      finish({ status: 0, body: null, text: '' });
    }, timeoutS * 1000);
    request.on('error', () => finish({ status: 0, body: null, text: '' }));
    request.end(text);
  });
}

/** An agent that keeps one connection open. */
export const oneConnection = () => new http.Agent({ keepAlive: true, maxSockets: 1 });

/** Free ports on loopback, below the range that the system hands out by itself. */
export async function freePorts(count) {
  const ports = [];
  let port = 11_000 + Math.floor(Math.random() * 20_000);
  for (; ports.length < count; port++) {
    const server = createServer();
    const isFree = await new Promise((resolve) => {
      server.once('error', () => resolve(false));
      server.listen(port, '127.0.0.1', () => resolve(true));
    });
    if (!isFree) continue;
    await new Promise((resolve) => server.close(resolve));
    ports.push(port);
  }
  return ports;
}

/** A bucket that allows `perSecond` units a second, with a burst of `burstS` seconds' worth. */
export class Limit {
  constructor(perSecond, burstS = 1) {
    this.perSecond = perSecond;
    this.capacity = perSecond * burstS;
    this.level = this.capacity;
    this.at = now();
  }

  take(amount) {
    const time = now();
    this.level = Math.min(this.capacity, this.level + (time - this.at) * this.perSecond);
    this.at = time;
    if (this.level < amount) return false;
    this.level -= amount;
    return true;
  }
}
