import { Budget, sleep, type Clock } from '../clock.js';
import { HttpClient, NoResponse, type Response, type Traffic } from '../http/client.js';
import type { Settings } from '../config/settings.js';
import * as wire from '../wire/state.js';

/** Refused: the request was certainly not carried out. */
export class Refused extends Error {
  constructor(readonly status: number) {
    super(`state service answered ${status}`);
  }
}
/** No answer: the request may have been carried out, or may still be. */
export class Unanswered extends Error {}

export type CommitResult = { ok: true; revision: number } | { ok: false; failed: string[] };

export type Health = 'unknown' | 'served' | 'refused' | 'silent';

/**
 * Of a second's worth of all writes, what a follower may write at once: users submit the jobs of a pipeline
 * one after another, and with a follower's share of a second the third one waited for most of another.
 */
const FOLLOWER_BURST = 0.3;

/** The state service as this node sees it, within this node's share of the request limits. */
export class StateClient {
  private readonly http: HttpClient;
  private readonly watchHttp: HttpClient;
  readonly requests: Budget;
  readonly writes: Budget;
  /** What the last answer, or its lack, said. */
  health: Health = 'unknown';
  /** When the last request that was served had been sent. */
  servedAt = -Infinity;
  refusedAt = -Infinity;
  /** When the last answer of any kind came. */
  answeredAt = -Infinity;
  /** Refused with 503 ever since; null: served, or not heard from. */
  refusedSince: number | null = null;
  readonly valueBytes: number;
  readonly txnOps: number;

  constructor(
    private readonly settings: Settings,
    private readonly clock: Clock,
  ) {
    this.http = new HttpClient(settings.stateAddr, 8);
    this.watchHttp = new HttpClient(settings.stateAddr, 2);
    this.requests = new Budget(1, clock);
    this.writes = new Budget(1, clock);
    this.valueBytes = Math.floor(settings.state.value_kb * 1024);
    this.txnOps = settings.state.txn_ops;
    this.setRole('follower');
  }

  /**
   * The limits hold for all nodes together, so each keeps to a share of them: the leader to what is
   * left when every other node takes a follower's share. A tenth stays unused for late requests.
   */
  setRole(role: 'leader' | 'follower'): void {
    const n = Math.max(1, this.settings.nodes);
    const followers = (n - 1) / n;
    const { rps, write_rps } = this.settings.state;
    const writes = (role === 'leader' ? 1 - 0.45 * followers : 0.45 / n) * write_rps * 0.9;
    const reads = (role === 'leader' ? 1 - 0.8 * followers : 0.8 / n) * rps * 0.9;
    this.writes.setRate(writes, role === 'leader' ? null : write_rps * FOLLOWER_BURST);
    this.requests.setRate(reads);
  }

  private async call(
    http: HttpClient,
    method: string,
    path: string,
    body: string | undefined,
    timeoutS: number,
  ): Promise<Response> {
    const sentAt = this.clock.now();
    let r: Response;
    try {
      r = await http.request(method, path, body, timeoutS);
    } catch (e) {
      if (this.clock.now() > this.servedAt) this.health = 'silent';
      if (e instanceof NoResponse && !e.sent) throw new Refused(0);
      throw new Unanswered(e instanceof Error ? e.message : String(e));
    }
    this.answeredAt = this.clock.now();
    if (r.status === 503) {
      this.health = 'refused';
      this.refusedAt = this.clock.now();
      this.refusedSince ??= this.refusedAt;
      throw new Refused(503);
    }
    if (r.status === 429) throw new Refused(429);
    this.health = 'served';
    this.refusedSince = null;
    this.servedAt = Math.max(this.servedAt, sentAt);
    return r;
  }

  private json(r: Response): unknown {
    try {
      return JSON.parse(r.body.toString('utf8'));
    } catch {
      throw new Unanswered('garbled answer');
    }
  }

  private parsed<T>(r: Response, parse: (raw: unknown) => T): T {
    try {
      return parse(this.json(r));
    } catch (e) {
      if (e instanceof wire.Garbled) throw new Unanswered(`garbled answer: ${e.message}`);
      throw e;
    }
  }

  /** Waits for its turn within the budget; what is urgent goes at once and is made up for later. */
  private async turn(urgent: boolean): Promise<void> {
    if (urgent) {
      this.requests.force(1);
      return;
    }
    while (!this.requests.take(1)) await sleep(this.requests.wait(1));
  }

  /** The caller has taken the writes from `writes`. */
  async commit(
    guards: wire.Guard[],
    ops: wire.Op[],
    timeoutS: number,
    urgent = true,
  ): Promise<CommitResult> {
    await this.turn(urgent);
    const r = await this.call(
      this.http,
      'POST',
      wire.COMMIT_PATH,
      wire.encodeCommit(guards, ops),
      timeoutS,
    );
    if (r.status === 200) return { ok: true, revision: this.parsed(r, wire.parseRevision) };
    if (r.status === 409) return { ok: false, failed: this.parsed(r, wire.parseFailed) };
    throw new Refused(r.status);
  }

  async get(key: string, timeoutS: number): Promise<wire.Item | null> {
    await this.turn(true);
    const r = await this.call(this.http, 'GET', wire.keyPath(key), undefined, timeoutS);
    if (r.status === 200) return this.parsed(r, wire.parseItem);
    if (r.status === 404) return null;
    throw new Refused(r.status);
  }

  /** All keys below a prefix. `revision` is that of the first page: follow the changes from there. */
  async list(prefix: string, each: (item: wire.Item) => void): Promise<number> {
    let after = '';
    let revision = -1;
    for (;;) {
      await this.turn(false);
      const r = await this.call(this.http, 'GET', wire.listPath(prefix, after), undefined, 5);
      if (r.status !== 200) throw new Refused(r.status);
      const page = this.parsed(r, wire.parsePage);
      if (revision < 0) revision = page.revision;
      for (const item of page.items) each(item);
      if (!page.more || page.items.length === 0) return revision;
      after = page.items[page.items.length - 1]!.key;
    }
  }

  /** Null: too old, read the keys again. */
  async changes(
    prefix: string,
    after: number,
    waitS: number,
    timeoutS: number,
  ): Promise<{ revision: number; changes: wire.Change[] } | null> {
    await this.turn(waitS === 0);
    const path = wire.changesPath(prefix, after, Math.round(waitS * 1000));
    const http = waitS > 0 ? this.watchHttp : this.http;
    const r = await this.call(http, 'GET', path, undefined, timeoutS);
    if (r.status === 410) return null;
    if (r.status !== 200) throw new Refused(r.status);
    return this.parsed(r, wire.parseChanges);
  }

  async grant(lifeS: number, timeoutS: number): Promise<number> {
    await this.turn(true);
    const body = wire.encodeLife(Math.round(lifeS * 1000));
    const r = await this.call(this.http, 'POST', wire.GRANTS_PATH, body, timeoutS);
    if (r.status !== 200 && r.status !== 201) throw new Refused(r.status);
    return this.parsed(r, wire.parseLease);
  }

  /** False: the lease has come to an end. */
  async extend(id: number, timeoutS: number): Promise<boolean> {
    await this.turn(true);
    const r = await this.call(this.http, 'POST', wire.extendPath(id), '', timeoutS);
    if (r.status === 404) return false;
    if (r.status !== 200) throw new Refused(r.status);
    return true;
  }

  async endLease(id: number, timeoutS: number): Promise<void> {
    await this.turn(true);
    await this.call(this.http, 'DELETE', wire.grantPath(id), undefined, timeoutS);
  }

  /** What went to the state service and came from it since the start. */
  get traffic(): Traffic {
    const [a, b] = [this.http.traffic, this.watchHttp.traffic];
    return {
      sent: a.sent + b.sent,
      sentBytes: a.sentBytes + b.sentBytes,
      received: a.received + b.received,
      receivedBytes: a.receivedBytes + b.receivedBytes,
    };
  }

  close(): void {
    this.http.close();
    this.watchHttp.close();
  }
}
