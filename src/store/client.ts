import { TokenBucket, sleep, type Clock } from '../clock.js';
import { HttpClient, NoResponseError, type Response, type Traffic } from '../http/client.js';
import type { Settings } from '../config/settings.js';
import * as wire from '../wire/key-value-store.js';

/** Refused: the request was certainly not carried out. */
export class RequestRejectedError extends Error {
  constructor(readonly status: number) {
    super(`state service answered ${status}`);
  }
}
/** No answer: the request may have been carried out, or may still be. */
export class OutcomeUnknownError extends Error {}

/** Carried out with a revision, or refused by these keys' preconditions. */
export type CompareAndSwapResult = { ok: true; revision: number } | { ok: false; failed: string[] };

/** What the last answer of the store, or its lack, said. */
export type StoreHealth = 'unknown' | 'served' | 'refused' | 'silent';

/**
 * Of a second's worth of all writes, what a follower may write at once: users submit the jobs of a pipeline
 * one after another, and with a follower's share of a second the third one waited for most of another.
 */
const FOLLOWER_BURST_S = 0.3;

/** The key-value store as this node sees it, within this node's share of the request limits. */
export class KeyValueStoreClient {
  private readonly http: HttpClient;
  private readonly watchHttp: HttpClient;
  readonly requestBudget: TokenBucket;
  readonly writeBudget: TokenBucket;
  /** What the last answer, or its lack, said. */
  health: StoreHealth = 'unknown';
  /** When the last request that was served had been sent. */
  servedAt = -Infinity;
  rejectedAt = -Infinity;
  /** When the last answer of any kind came. */
  answeredAt = -Infinity;
  /** Refused with 503 ever since; null: served, or not heard from. */
  rejectedSince: number | null = null;
  readonly valueBytes: number;
  readonly operationsPerTransaction: number;

  constructor(
    private readonly settings: Settings,
    private readonly clock: Clock,
  ) {
    this.http = new HttpClient(settings.storeAddress, 8);
    this.watchHttp = new HttpClient(settings.storeAddress, 2);
    this.requestBudget = new TokenBucket(1, clock);
    this.writeBudget = new TokenBucket(1, clock);
    this.valueBytes = Math.floor(settings.state.value_kb * 1024);
    this.operationsPerTransaction = settings.state.txn_ops;
    this.setRole('follower');
  }

  /**
   * The limits hold for all nodes together, so each keeps to a share of them: the leader to what is
   * left when every other node takes a follower's share. A tenth stays unused for late requests.
   */
  setRole(role: 'leader' | 'follower'): void {
    const controllers = Math.max(1, this.settings.controllerCount);
    const followers = (controllers - 1) / controllers;
    const { rps, write_rps } = this.settings.state;
    const writes =
      (role === 'leader' ? 1 - 0.45 * followers : 0.45 / controllers) * write_rps * 0.9;
    const reads = (role === 'leader' ? 1 - 0.8 * followers : 0.8 / controllers) * rps * 0.9;
    this.writeBudget.setRate(writes, role === 'leader' ? null : write_rps * FOLLOWER_BURST_S);
    this.requestBudget.setRate(reads);
  }

  private async call(
    http: HttpClient,
    method: string,
    path: string,
    body: string | undefined,
    timeoutS: number,
  ): Promise<Response> {
    const sentAt = this.clock.now();
    let response: Response;
    try {
      response = await http.request(method, path, body, timeoutS);
    } catch (error) {
      if (this.clock.now() > this.servedAt) this.health = 'silent';
      if (error instanceof NoResponseError && !error.mayHaveBeenSent)
        throw new RequestRejectedError(0);
      throw new OutcomeUnknownError(error instanceof Error ? error.message : String(error));
    }
    this.answeredAt = this.clock.now();
    if (response.status === 503) {
      this.health = 'refused';
      this.rejectedAt = this.clock.now();
      this.rejectedSince ??= this.rejectedAt;
      throw new RequestRejectedError(503);
    }
    if (response.status === 429) throw new RequestRejectedError(429);
    this.health = 'served';
    this.rejectedSince = null;
    this.servedAt = Math.max(this.servedAt, sentAt);
    return response;
  }

  private parseJson(response: Response): unknown {
    try {
      return JSON.parse(response.body.toString('utf8'));
    } catch {
      throw new OutcomeUnknownError('garbled answer');
    }
  }

  private parseBody<T>(response: Response, parse: (raw: unknown) => T): T {
    try {
      return parse(this.parseJson(response));
    } catch (error) {
      if (error instanceof wire.MalformedMessageError)
        throw new OutcomeUnknownError(`garbled answer: ${error.message}`);
      throw error;
    }
  }

  /** Waits for its turn within the budget; what is urgent goes at once and is made up for later. */
  private async waitForBudget(urgent: boolean): Promise<void> {
    if (urgent) {
      this.requestBudget.force(1);
      return;
    }
    while (!this.requestBudget.tryTake(1)) await sleep(this.requestBudget.secondsUntil(1));
  }

  /** The caller has taken the writes from `writes`. */
  async compareAndSwap(
    preconditions: wire.Precondition[],
    operations: wire.Operation[],
    timeoutS: number,
    urgent = true,
  ): Promise<CompareAndSwapResult> {
    await this.waitForBudget(urgent);
    const response = await this.call(
      this.http,
      'POST',
      wire.TRANSACTION_PATH,
      wire.encodeTransaction(preconditions, operations),
      timeoutS,
    );
    if (response.status === 200)
      return { ok: true, revision: this.parseBody(response, wire.parseRevision) };
    if (response.status === 409)
      return { ok: false, failed: this.parseBody(response, wire.parseFailedKeys) };
    throw new RequestRejectedError(response.status);
  }

  /** Null: there is no such key. Throws RequestRejectedError, OutcomeUnknownError. */
  async get(key: string, timeoutS: number): Promise<wire.KeyValue | null> {
    await this.waitForBudget(true);
    const response = await this.call(this.http, 'GET', wire.keyPath(key), undefined, timeoutS);
    if (response.status === 200) return this.parseBody(response, wire.parseItem);
    if (response.status === 404) return null;
    throw new RequestRejectedError(response.status);
  }

  /** All keys below a prefix. `revision` is that of the first page: follow the changes from there. */
  async list(prefix: string, onItem: (item: wire.KeyValue) => void): Promise<number> {
    let after = '';
    let revision = -1;
    for (;;) {
      await this.waitForBudget(false);
      const response = await this.call(
        this.http,
        'GET',
        wire.listPath(prefix, after),
        undefined,
        5,
      );
      if (response.status !== 200) throw new RequestRejectedError(response.status);
      const page = this.parseBody(response, wire.parsePage);
      if (revision < 0) revision = page.revision;
      for (const item of page.items) onItem(item);
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
    await this.waitForBudget(waitS === 0);
    const path = wire.changesPath(prefix, after, Math.round(waitS * 1000));
    const http = waitS > 0 ? this.watchHttp : this.http;
    const response = await this.call(http, 'GET', path, undefined, timeoutS);
    if (response.status === 410) return null;
    if (response.status !== 200) throw new RequestRejectedError(response.status);
    return this.parseBody(response, wire.parseChanges);
  }

  /** A new lease's id; `lifeS`: its time to live. Throws RequestRejectedError, OutcomeUnknownError. */
  async grantLease(ttlS: number, timeoutS: number): Promise<number> {
    await this.waitForBudget(true);
    const body = wire.encodeLeaseTtl(Math.round(ttlS * 1000));
    const response = await this.call(this.http, 'POST', wire.LEASES_PATH, body, timeoutS);
    if (response.status !== 200 && response.status !== 201)
      throw new RequestRejectedError(response.status);
    return this.parseBody(response, wire.parseLeaseId);
  }

  /** False: the lease has come to an end. */
  async keepLeaseAlive(id: number, timeoutS: number): Promise<boolean> {
    await this.waitForBudget(true);
    const response = await this.call(this.http, 'POST', wire.leaseKeepAlivePath(id), '', timeoutS);
    if (response.status === 404) return false;
    if (response.status !== 200) throw new RequestRejectedError(response.status);
    return true;
  }

  /** Ends a lease; its keys go with it. */
  async endLease(id: number, timeoutS: number): Promise<void> {
    await this.waitForBudget(true);
    await this.call(this.http, 'DELETE', wire.leasePath(id), undefined, timeoutS);
  }

  /** What went to the key-value store and came from it since the start. */
  get traffic(): Traffic {
    const [a, b] = [this.http.traffic, this.watchHttp.traffic];
    return {
      sent: a.sent + b.sent,
      sentBytes: a.sentBytes + b.sentBytes,
      received: a.received + b.received,
      receivedBytes: a.receivedBytes + b.receivedBytes,
    };
  }

  /** Ends all connections. */
  close(): void {
    this.http.close();
    this.watchHttp.close();
  }
}
