// Stand-in of the state service, by the users' protocol.
import { Buffer } from 'node:buffer';
import { clearInterval, setInterval, setTimeout } from 'node:timers';
import { URL } from 'node:url';
import { JsonServer, nowMs, wait } from './base.mjs';

const MAX_LOG = 10_000;
const MAX_PAGE_BYTES = 512 * 1024;

class RateLimit {
  constructor(rate) {
    this.rate = rate;
    this.level = rate;
    this.at = nowMs();
  }

  take(amount) {
    const now = nowMs();
    this.level = Math.min(this.rate, this.level + ((now - this.at) / 1000) * this.rate);
    this.at = now;
    if (this.level < amount) return false;
    this.level -= amount;
    return true;
  }
}

/** The store itself; each controller reaches it through an access of its own. */
export class Store {
  ledger = 0;
  down = false;
  slowMs = 0;
  keys = new Map();
  log = [];
  loans = new Map();
  nextLoan = 1;
  waiters = new Set();
  closed = false;
  refused429 = 0;
  refused400 = 0;
  constructor({ rps, write_rps, value_kb, txn_ops }, random) {
    this.limits = { valueBytes: value_kb * 1024, operations: txn_ops };
    this.requests = new RateLimit(rps);
    this.writes = new RateLimit(write_rps);
    this.random = random;
    this.timer = setInterval(() => this.expire(), 10);
  }

  setDown(down) {
    if (this.down === down) return;
    this.down = down;
    // Every lease has its full time again once an outage is over.
    if (!down) for (const loan of this.loans.values()) this.renewLoan(loan);
  }

  renewLoan(loan) {
    loan.until = nowMs() + loan.life + this.random() * 80;
  }

  expire() {
    if (this.down) return;
    const now = nowMs();
    for (const [id, loan] of this.loans) if (loan.until < now) this.endLoan(id);
  }

  endLoan(id) {
    this.loans.delete(id);
    for (const [path, entry] of [...this.keys]) {
      if (entry.loan !== id) continue;
      this.keys.delete(path);
      this.ledger++;
      this.append({ remove: path, mark: this.ledger });
    }
    this.notify();
  }

  append(change) {
    this.log.push(change);
    if (this.log.length > MAX_LOG) this.log.shift();
  }

  notify() {
    for (const waiter of [...this.waiters]) waiter();
  }

  grant(body) {
    const life = Number(body.life_ms);
    if (!(life >= 100 && life <= 600_000)) return [400, { error: 'life_ms' }];
    const id = this.nextLoan++;
    const loan = { life, until: 0 };
    this.renewLoan(loan);
    this.loans.set(id, loan);
    return [200, { loan: id }];
  }

  get(path) {
    const entry = this.keys.get(path);
    if (entry === undefined) return [404, { ledger: this.ledger }];
    return [
      200,
      {
        path,
        data: entry.data,
        mark: entry.mark,
        ...(entry.loan === undefined ? {} : { loan: entry.loan }),
      },
    ];
  }

  list(query) {
    const prefix = query.get('prefix') ?? '';
    const after = query.get('after') ?? '';
    const limit = Math.min(1000, Number(query.get('limit') ?? 1000));
    const names = [...this.keys.keys()].filter((k) => k.startsWith(prefix) && k > after).sort();
    const items = [];
    let bytes = 0;
    for (const path of names) {
      if (items.length >= limit) break;
      const { data, mark, size } = this.keys.get(path);
      bytes += size + path.length + 60;
      if (items.length > 0 && bytes > MAX_PAGE_BYTES) break;
      items.push({ path, data, mark });
    }
    return [200, { items, more: items.length < names.length, ledger: this.ledger }];
  }

  changesNow(prefix, after) {
    const oldest = this.log.length === MAX_LOG ? this.log[0].mark : 0;
    if (after < oldest - 1) return [410, { error: 'too old' }];
    // From the end, since callers ask for the latest changes.
    let from = this.log.length;
    while (from > 0 && this.log[from - 1].mark > after) from--;
    const log = this.log.slice(from).filter((c) => (c.put ?? c.remove).startsWith(prefix));
    return [200, { ledger: this.ledger, log }];
  }

  commit(body) {
    const guards = body.guards ?? [];
    const apply = body.apply ?? [];
    const failed = guards
      .filter(({ path, mark }) => (this.keys.get(path)?.mark ?? 0) !== mark)
      .map(({ path }) => path);
    const { valueBytes, operations } = this.limits;
    const sizes = apply.map((op) =>
      op.put === undefined ? 0 : Buffer.byteLength(JSON.stringify(op.data)),
    );
    if (
      apply.length > operations ||
      guards.length > operations * 4 ||
      Buffer.byteLength(JSON.stringify(body)) > 65536 ||
      sizes.some((size) => size > valueBytes)
    ) {
      this.refused400++;
      return [400, { error: 'too large' }];
    }
    if (apply.some((op) => op.loan !== undefined && !this.loans.has(op.loan)))
      return [400, { error: 'no such lease' }];
    if (failed.length > 0) return [409, { failed, ledger: this.ledger }];
    if (apply.length === 0) return [200, { ledger: this.ledger }];
    this.ledger++;
    apply.forEach((op, i) => {
      if (op.put !== undefined) {
        const { put, data, loan } = op;
        this.keys.set(put, { data, mark: this.ledger, loan, size: sizes[i] });
        this.append({ put, data, mark: this.ledger });
      } else if (this.keys.delete(op.remove)) this.append({ remove: op.remove, mark: this.ledger });
    });
    this.notify();
    return [200, { ledger: this.ledger }];
  }

  close() {
    this.closed = true;
    clearInterval(this.timer);
    this.notify();
  }
}

/** One controller's way to the store. */
export class StoreAccess extends JsonServer {
  /** `served`; `refused`: every request gets 503, open watches wait; `silent`: no answers. */
  mode = 'served';
  /** Shares of transactions that are carried out late, or whose answer is lost. */
  lateShare = 0;
  lostShare = 0;
  /** Called with each transaction's body; a string overrides what happens to it: `late`, `lost`. */
  onCommit = null;
  counts = { requests: 0, commits: 0, late: 0, lost: 0 };
  constructor(store) {
    super((method, url, body) => this.handle(method, url, body));
    this.store = store;
  }

  async handle(method, rawUrl, body) {
    const { store } = this;
    this.counts.requests++;
    if (this.mode === 'silent') return this.never();
    if (store.down || this.mode === 'refused') return [503, { error: 'trouble' }];
    if (!store.requests.take(1)) {
      store.refused429++;
      return [429, {}];
    }
    await wait(1 + store.random() * 3 + store.slowMs * (0.5 + store.random()));
    const answer = await this.execute(method, rawUrl, body);
    if (this.mode === 'silent') return this.never();
    return answer;
  }

  never() {
    return new Promise((resolve) => setTimeout(() => resolve(null), 60_000).unref());
  }

  async execute(method, rawUrl, body) {
    const { store } = this;
    const url = new URL(rawUrl, 'http://x');
    const path = url.pathname;
    if (path === '/commit') return this.commit(body);
    if (path === '/grants') return store.grant(body);
    const grant = /^\/grants\/(\d+)(\/extend)?$/.exec(path);
    if (grant !== null) {
      const id = Number(grant[1]);
      const loan = store.loans.get(id);
      if (loan === undefined) return [404, {}];
      if (method === 'DELETE') store.endLoan(id);
      else store.renewLoan(loan);
      return [200, {}];
    }
    if (path === '/changes') return this.changes(url.searchParams);
    if (path === '/keys') return store.list(url.searchParams);
    if (path.startsWith('/keys/')) return store.get(path.slice('/keys/'.length));
    return [404, {}];
  }

  async changes(query) {
    const { store } = this;
    const prefix = query.get('prefix') ?? '';
    const after = Number(query.get('after'));
    const end = nowMs() + Number(query.get('block_ms') ?? 0);
    for (;;) {
      // Open watches wait through an outage and a refusal.
      if (!store.down && this.mode === 'served') {
        const answer = store.changesNow(prefix, after);
        if (answer[0] !== 200 || answer[1].log.length > 0 || nowMs() >= end) return answer;
      }
      if (store.closed) return null;
      await new Promise((resolve) => {
        const done = () => {
          store.waiters.delete(done);
          globalThis.clearTimeout(timer);
          resolve();
        };
        const timer = setTimeout(done, Math.min(100, Math.max(1, end - nowMs())));
        store.waiters.add(done);
      });
    }
  }

  async commit(body) {
    const { store } = this;
    this.counts.commits++;
    const writes = (body.apply ?? []).length;
    if (writes > 0 && !store.writes.take(writes)) {
      store.refused429++;
      return [429, {}];
    }
    const chosen = this.onCommit?.(body) ?? null;
    const draw = store.random();
    if (chosen === 'late' || (chosen === null && draw < this.lateShare)) {
      this.counts.late++;
      setTimeout(() => void this.commitLate(body), 2000 + store.random() * 10_000).unref();
      return this.never();
    }
    const answer = store.commit(body);
    if (chosen === 'lost' || (chosen === null && draw < this.lateShare + this.lostShare)) {
      this.counts.lost++;
      return this.never();
    }
    return answer;
  }

  async commitLate(body) {
    while (this.store.down && !this.store.closed) await wait(50);
    if (!this.store.closed) this.store.commit(body);
  }
}
