/** Stand-in of the state service, by PROTOCOL "Controller nodes -> state service". */

import { Buffer } from 'node:buffer';
import { clearInterval, clearTimeout, setInterval, setTimeout } from 'node:timers';
import { closeServer, Limit, now, serve, toJson } from './base.mjs';

const KEPT_CHANGES = 10_000;
const PAGE_BYTES = 512 * 1024;
const TRANSACTION_BYTES = 64 * 1024;

/** Versions may be any integer below 2^64, so they are kept as bigints and read from plain digits. */
const parseBody = (text) =>
  text === '' ? {} : JSON.parse(text.replace(/"mark":(\d+)/g, '"mark":"$1"'));

export class Store {
  /** `limits`: { rps, writeRps, valueKb, txnOps }; `nodes`: number of controllers. */
  constructor({ limits, nodes, record }) {
    this.limits = limits;
    this.nodes = nodes;
    this.record = record;
    this.revision = 0n;
    this.keys = new Map();
    this.changes = [];
    this.droppedUpTo = 0n;
    this.leases = new Map();
    this.nextLease = 1;
    this.down = false;
    /** Nodes that alone get 503. */
    this.refused = new Set();
    this.requests = new Limit(limits.rps);
    this.writes = new Limit(limits.writeRps);
    this.waiting = new Set();
    this.servers = [];
    this.ports = [];
    this.tooMany = 0;
    this.timer = setInterval(() => this.expire(), 20);
  }

  async listen() {
    for (let node = 0; node < this.nodes; node++) {
      const server = await serve((method, url, text) => this.handle(node, method, url, text));
      this.servers.push(server);
      this.ports.push(server.address().port);
    }
  }

  close() {
    clearInterval(this.timer);
    for (const server of this.servers) closeServer(server);
  }

  /** Begins or ends an outage. After it every lease has its full time again. */
  setDown(down) {
    this.down = down;
    this.record.add(down ? 'state service down' : 'state service up');
    if (!down) for (const lease of this.leases.values()) lease.until = now() + lease.lifeS;
    this.wake();
  }

  expire() {
    if (this.down) return;
    const time = now();
    for (const [id, lease] of this.leases) if (lease.until < time) this.endLease(id);
  }

  endLease(id) {
    this.leases.delete(id);
    for (const [key, entry] of [...this.keys]) {
      if (entry.lease !== id) continue;
      this.keys.delete(key);
      this.revision++;
      this.addChange({ remove: key, mark: this.revision });
    }
    this.wake();
  }

  addChange(change) {
    this.changes.push(change);
    if (this.changes.length > KEPT_CHANGES) this.droppedUpTo = this.changes.shift().mark;
  }

  wake() {
    for (const resume of [...this.waiting]) resume();
  }

  async handle(node, method, url, text) {
    if (this.down || this.refused.has(node)) return [503, { error: 'trouble' }];
    if (!this.requests.take(1)) {
      this.tooMany++;
      return [429, {}];
    }
    const path = url.pathname;
    if (path === '/commit') {
      const body = parseBody(text);
      return this.commit(body, Buffer.byteLength(text));
    }
    if (path === '/grants') {
      const id = this.nextLease++;
      const lifeS = parseBody(text).life_ms / 1000;
      this.leases.set(id, { until: now() + lifeS, lifeS });
      return [200, { loan: id }];
    }
    const grant = /^\/grants\/(\d+)(\/extend)?$/.exec(path);
    if (grant !== null) return this.useLease(method, Number(grant[1]));
    if (path === '/changes') return this.watch(node, url.searchParams);
    if (path === '/keys') return this.list(url.searchParams);
    const key = path.slice('/keys/'.length);
    const entry = this.keys.get(key);
    return entry === undefined
      ? [404, { ledger: this.revision }]
      : [200, { path: key, data: entry.data, mark: entry.mark }];
  }

  useLease(method, id) {
    const lease = this.leases.get(id);
    if (lease === undefined) return [404, {}];
    if (method === 'DELETE') this.endLease(id);
    else lease.until = now() + lease.lifeS;
    return [200, { loan: id }];
  }

  list(query) {
    const prefix = query.get('prefix') ?? '';
    const after = query.get('after') ?? '';
    const limit = Math.min(1000, Number(query.get('limit') ?? 1000));
    const names = [...this.keys.keys()].filter((key) => key.startsWith(prefix) && key > after);
    names.sort();
    const items = [];
    let bytes = 0;
    for (const path of names) {
      const { data, mark } = this.keys.get(path);
      const item = { path, data, mark };
      bytes += Buffer.byteLength(toJson(item)) + 1;
      if (items.length >= limit || (items.length > 0 && bytes > PAGE_BYTES)) break;
      items.push(item);
    }
    return [200, { items, more: items.length < names.length, ledger: this.revision }];
  }

  async watch(node, query) {
    const prefix = query.get('prefix') ?? '';
    const after = BigInt(query.get('after') ?? '0');
    const end = now() + Math.min(60, Number(query.get('block_ms') ?? 0) / 1000);
    for (;;) {
      if (after < this.droppedUpTo) return [410, {}];
      const held = this.down || this.refused.has(node);
      if (!held) {
        const log = this.changesAfter(after, prefix);
        if (log.length > 0 || now() >= end) {
          return [200, { ledger: this.revision, log }];
        }
      }
      await this.pause(held ? 0.05 : Math.min(0.5, Math.max(0.001, end - now())));
    }
  }

  pause(seconds) {
    return new Promise((resolve) => {
      const resume = () => {
        this.waiting.delete(resume);
        clearTimeout(timer);
        resolve();
      };
      const timer = setTimeout(resume, seconds * 1000);
      this.waiting.add(resume);
    });
  }

  changesAfter(after, prefix) {
    let from = this.changes.length;
    while (from > 0 && this.changes[from - 1].mark > after) from--;
    return this.changes
      .slice(from)
      .filter((change) => (change.put ?? change.remove).startsWith(prefix));
  }

  commit(body, bytes) {
    const { guards = [], apply = [] } = body;
    const { valueKb, txnOps } = this.limits;
    if (!this.writes.take(Math.max(1, apply.length))) {
      this.tooMany++;
      return [429, {}];
    }
    const tooLarge = apply.some(
      (change) =>
        change.put !== undefined && Buffer.byteLength(JSON.stringify(change.data)) > valueKb * 1024,
    );
    if (
      apply.length > txnOps ||
      guards.length > 4 * txnOps ||
      bytes > TRANSACTION_BYTES ||
      tooLarge
    )
      return [400, { error: 'too large' }];
    if (apply.some((change) => change.loan !== undefined && !this.leases.has(change.loan)))
      return [400, { error: 'no such lease' }];
    const failed = guards
      .filter(({ path, mark }) => (this.keys.get(path)?.mark ?? 0n) !== BigInt(mark))
      .map(({ path }) => path);
    if (failed.length > 0) return [409, { failed, ledger: this.revision }];
    if (apply.length > 0) this.apply(apply);
    return [200, { ledger: this.revision }];
  }

  apply(changes) {
    const mark = ++this.revision;
    for (const { put, data, loan, remove } of changes) {
      if (put !== undefined) {
        this.keys.set(put, { data, mark, lease: loan });
        this.addChange({ put, data, mark });
      } else if (this.keys.delete(remove)) this.addChange({ remove, mark });
    }
    this.wake();
  }
}
