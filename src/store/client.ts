import { TokenBucket, sleep, type Clock } from '../clock.js';
import { HttpClient, NoResponseError, type Response, type Traffic } from '../http/client.js';
import type { Settings } from '../config/settings.js';
import * as wire from '../wire/key-value-store.js';

/** The request was rejected or never sent: it was certainly not executed. */
export class RequestRejectedError extends Error {
  constructor(readonly status: number) {
    super(`state service answered ${status}`);
  }
}
/** No usable response: the request may have been executed, or may still be. */
export class OutcomeUnknownError extends Error {}

/** The revision of an executed transaction, or the keys whose preconditions failed. */
export type CompareAndSwapResult = { ok: true; revision: number } | { ok: false; failed: string[] };

/** The state of the store according to the last request; `silent` if it got no response. */
export type StoreHealth = 'unknown' | 'served' | 'refused' | 'silent';

/**
 * Burst of a follower, in seconds of the total write rate. Users submit the jobs of a pipeline one after another;
 * with a burst of one second of a follower's own share the third job waited for most of another second.
 */
const FOLLOWER_BURST_S = 0.3;

/** Client of the key-value store that keeps within this controller's share of the request limits. */
export class KeyValueStoreClient {
  private readonly http: HttpClient;
  private readonly watchHttp: HttpClient;
  readonly requestBudget: TokenBucket;
  readonly writeBudget: TokenBucket;
  /** The state of the store according to the last request. */
  health: StoreHealth = 'unknown';
  /** Steady time at which the latest served request was sent. */
  servedAt = -Infinity;
  rejectedAt = -Infinity;
  /** Steady time of the last response of any kind. */
  answeredAt = -Infinity;
  /** Steady time of the first 503 since the last served request; null if there was none. */
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
   * The limits apply to all controllers together, so each uses a share: the leader uses what remains when
   * every other controller uses a follower's share. A tenth stays unused as a margin for late requests.
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
      throw new OutcomeUnknownError('state service sent a response that is not JSON');
    }
  }

  private parseBody<T>(response: Response, parse: (raw: unknown) => T): T {
    try {
      return parse(this.parseJson(response));
    } catch (error) {
      if (error instanceof wire.MalformedMessageError)
        throw new OutcomeUnknownError(`state service sent a malformed response: ${error.message}`);
      throw error;
    }
  }

  /** Waits for the request budget. An urgent request is sent at once; later requests wait longer instead. */
  private async waitForBudget(urgent: boolean): Promise<void> {
    if (urgent) {
      this.requestBudget.forceTake(1);
      return;
    }
    while (!this.requestBudget.tryTake(1)) await sleep(this.requestBudget.secondsUntil(1));
  }

  /** Executes a transaction. The caller must have taken its writes from `writeBudget`. */
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

  /** Reads a key; null if it does not exist. Throws RequestRejectedError, OutcomeUnknownError. */
  async get(key: string, timeoutS: number): Promise<wire.KeyValue | null> {
    await this.waitForBudget(true);
    const response = await this.call(this.http, 'GET', wire.keyPath(key), undefined, timeoutS);
    if (response.status === 200) return this.parseBody(response, wire.parseItem);
    if (response.status === 404) return null;
    throw new RequestRejectedError(response.status);
  }

  /** Lists all keys with a prefix. Returns the revision of the first page, from which changes must be followed. */
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

  /** Reads the changes after a revision; null if the store no longer has them and the keys must be listed again. */
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

  /** Creates a lease and returns its id. Throws RequestRejectedError, OutcomeUnknownError. */
  async grantLease(ttlS: number, timeoutS: number): Promise<number> {
    await this.waitForBudget(true);
    const body = wire.encodeLeaseTtl(Math.round(ttlS * 1000));
    const response = await this.call(this.http, 'POST', wire.LEASES_PATH, body, timeoutS);
    if (response.status !== 200 && response.status !== 201)
      throw new RequestRejectedError(response.status);
    return this.parseBody(response, wire.parseLeaseId);
  }

  /** Renews a lease. Returns false if it has expired. */
  async keepLeaseAlive(id: number, timeoutS: number): Promise<boolean> {
    await this.waitForBudget(true);
    const response = await this.call(this.http, 'POST', wire.leaseKeepAlivePath(id), '', timeoutS);
    if (response.status === 404) return false;
    if (response.status !== 200) throw new RequestRejectedError(response.status);
    return true;
  }

  /** Revokes a lease, which removes its keys. */
  async endLease(id: number, timeoutS: number): Promise<void> {
    await this.waitForBudget(true);
    await this.call(this.http, 'DELETE', wire.leasePath(id), undefined, timeoutS);
  }

  /** Requests and bytes exchanged with the key-value store since the start. */
  get traffic(): Traffic {
    const [a, b] = [this.http.traffic, this.watchHttp.traffic];
    return {
      sent: a.sent + b.sent,
      sentBytes: a.sentBytes + b.sentBytes,
      received: a.received + b.received,
      receivedBytes: a.receivedBytes + b.receivedBytes,
    };
  }

  /** Closes all connections. */
  close(): void {
    this.http.close();
    this.watchHttp.close();
  }
}
