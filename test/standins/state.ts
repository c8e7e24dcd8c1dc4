import { wait } from '../helpers.js';
import { HttpStandIn, type Answer, type Json } from './http.js';

interface Entry {
  value: unknown;
  revision: number;
  leaseId: number | undefined;
}

interface Operation {
  put?: string;
  data?: unknown;
  loan?: number;
  remove?: string;
}

/**
 * Effect of a fault on a transaction. `answer_lost`: it is applied at once, but its answer is lost. `late`: it
 * gets no answer and is applied later, after newer ones. `doubled`: it is applied at once and again later.
 */
export type FaultEffect = { how: 'answer_lost' } | { how: 'late' | 'doubled'; afterS: number };

interface TransactionFault {
  prefix: string;
  effect: FaultEffect;
  left: number;
}

const POLL_MS = 10;
const EXPIRY_MS = 20;
const TRANSACTION_BYTES = 65536;

/** Stand-in of the key-value store. */
export class StoreServer extends HttpStandIn {
  revision = 0;
  /** An outage: all requests are refused, and leases do not expire. */
  down = false;
  /** Delay of every answer. */
  answerDelayMs = 0;
  /** Limits: bytes of a value; puts and deletes in a transaction. */
  limits = { valueBytes: 8192, operations: 8 };
  /** Number of transactions that were refused for their size. */
  tooLarge = 0;
  /** Items in a page of a listing; a small number, so that tests cover reading in pages. */
  pageSize = 3;
  /** Number of transactions that a fault affected. */
  faultsInjected = 0;
  /** Number of delayed transactions that were applied. */
  lateCommits = 0;
  readonly keys = new Map<string, Entry>();
  private readonly log: Json[] = [];
  private readonly leases = new Map<number, { until: number; life: number }>();
  private nextLeaseId = 1;
  private faults: TransactionFault[] = [];
  private closed = false;
  private readonly timer = setInterval(() => this.expire(), EXPIRY_MS);

  constructor() {
    super((method, url, body) => this.handle(method, url, body));
  }

  /** Injects a fault into the next `times` transactions that touch a key with the prefix. */
  injectFault(prefix: string, effect: FaultEffect, times = Infinity): void {
    this.faults.push({ prefix, effect, left: times });
  }

  /** Removes all faults. */
  clearFaults(): void {
    this.faults = [];
  }

  private expire(): void {
    const now = Date.now();
    for (const [id, loan] of this.leases) {
      // Leases do not expire in an outage and have their full TTL after it.
      if (this.down) loan.until = now + loan.life;
      else if (loan.until < now) this.endLease(id);
    }
  }

  private endLease(id: number): void {
    this.leases.delete(id);
    for (const [key, entry] of this.keys) {
      if (entry.leaseId !== id) continue;
      this.keys.delete(key);
      this.log.push({ remove: key, mark: ++this.revision });
    }
  }

  /** Answers a request by the protocol of the key-value store. */
  async handle(method: string, url: URL, body: Json): Promise<Answer | null> {
    const path = url.pathname;
    if (this.answerDelayMs > 0) await wait(this.answerDelayMs);
    if (this.down) return [503, { error: 'trouble' }];
    if (path === '/commit') return this.commitWithFaults(body);
    if (path === '/grants') return this.grant(body.life_ms as number);
    const grant = /^\/grants\/(\d+)(\/extend)?$/.exec(path);
    if (grant !== null) return this.renew(method, Number(grant[1]));
    if (path === '/changes') return this.changes(url.searchParams);
    if (path === '/keys') return this.list(url.searchParams);
    const key = path.slice('/keys/'.length);
    const entry = this.keys.get(key);
    return entry === undefined
      ? [404, { ledger: this.revision }]
      : [200, { path: key, data: entry.value, mark: entry.revision }];
  }

  private grant(life: number): Answer {
    const id = this.nextLeaseId++;
    this.leases.set(id, { until: Date.now() + life, life });
    return [200, { loan: id }];
  }

  private renew(method: string, id: number): Answer {
    const loan = this.leases.get(id);
    if (loan === undefined) return [404, {}];
    loan.until = method === 'DELETE' ? 0 : Date.now() + loan.life;
    return [200, {}];
  }

  private async changes(query: URLSearchParams): Promise<Answer> {
    const after = Number(query.get('after'));
    const prefix = query.get('prefix')!;
    const end = Date.now() + Number(query.get('block_ms') ?? 0);
    for (;;) {
      const log = this.log.filter(
        (entry) =>
          (entry.mark as number) > after && String(entry.put ?? entry.remove).startsWith(prefix),
      );
      if (this.closed || (!this.down && (log.length > 0 || Date.now() >= end))) {
        return [200, { ledger: this.revision, log }];
      }
      await wait(POLL_MS);
    }
  }

  private list(query: URLSearchParams): Answer {
    const prefix = query.get('prefix')!;
    const after = query.get('after') ?? '';
    const names = [...this.keys.keys()]
      .filter((key) => key.startsWith(prefix) && key > after)
      .sort();
    const items = names.slice(0, this.pageSize).map((path) => {
      const { value, revision: mark } = this.keys.get(path)!;
      return { path, data: value, mark };
    });
    return [200, { items, more: names.length > this.pageSize, ledger: this.revision }];
  }

  private commitWithFaults(body: Json): Answer | null {
    const apply = body.apply as Operation[];
    const touches = (prefix: string): boolean =>
      apply.some((operation) => (operation.put ?? operation.remove!).startsWith(prefix));
    const fault = this.faults.find((each) => each.left > 0 && touches(each.prefix));
    if (fault === undefined) return this.commit(body);
    fault.left--;
    this.faultsInjected++;
    const { effect } = fault;
    if (effect.how !== 'answer_lost')
      setTimeout(() => void this.commitLate(body), effect.afterS * 1000);
    const answer = effect.how === 'late' ? null : this.commit(body);
    return effect.how === 'doubled' ? answer : null;
  }

  private async commitLate(body: Json): Promise<void> {
    while (this.down && !this.closed) await wait(POLL_MS);
    if (this.closed) return;
    this.lateCommits++;
    this.commit(body);
  }

  private commit(body: Json): Answer {
    const guards = body.guards as { path: string; mark: number }[];
    const apply = body.apply as Operation[];
    const failed = guards
      .filter((guard) => (this.keys.get(guard.path)?.revision ?? 0) !== guard.mark)
      .map((guard) => guard.path);
    if (failed.length > 0) return [409, { failed, ledger: this.revision }];
    if (
      apply.some((operation) => operation.loan !== undefined && !this.leases.has(operation.loan))
    ) {
      return [400, { error: 'no such lease' }];
    }
    const { valueBytes, operations } = this.limits;
    const largest = Math.max(
      0,
      ...apply.map((operation) =>
        operation.put === undefined ? 0 : JSON.stringify(operation.data).length,
      ),
    );
    const bytes = JSON.stringify(body).length;
    if (apply.length > operations || bytes > TRANSACTION_BYTES || largest > valueBytes) {
      this.tooLarge++;
      return [400, { error: 'too large' }];
    }
    this.revision++;
    for (const operation of apply) this.apply(operation);
    return [200, { ledger: this.revision }];
  }

  private apply({ put, data, loan, remove }: Operation): void {
    if (put !== undefined) {
      this.keys.set(put, { value: data, revision: this.revision, leaseId: loan });
      this.log.push({ put, data, mark: this.revision });
    } else if (this.keys.delete(remove!)) this.log.push({ remove, mark: this.revision });
  }

  /** Closes the store with its connections; requests that wait for changes get no answer. */
  override close(): void {
    this.closed = true;
    clearInterval(this.timer);
    super.close();
  }
}

/** Access of one controller to the key-value store; it can refuse the requests of this controller only. */
export class StoreAccess extends HttpStandIn {
  refuses = false;
  /** Delays the answers to watches. */
  holdsWatches = false;

  constructor(state: StoreServer) {
    super(async (method, url, body) => {
      if (this.refuses) return [503, { error: 'trouble' }];
      const answer = await state.handle(method, url, body);
      // Watches that are open wait, as in an outage.
      const watch = Number(url.searchParams.get('block_ms') ?? 0) > 0;
      while (this.refuses || (watch && this.holdsWatches)) await wait(POLL_MS);
      return answer;
    });
  }
}
