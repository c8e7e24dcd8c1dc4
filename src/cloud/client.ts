import { TokenBucket, sleep, type Clock } from '../clock.js';
import { HttpClient, type Response } from '../http/client.js';
import type { Settings } from '../config/settings.js';
import type { MachineType } from '../jobs/types.js';
import * as wire from '../wire/cloud.js';

/** The cloud answered with an error: nothing was done. */
export class CloudError extends Error {
  constructor(
    /** The operation that failed. */
    operation: string,
    readonly status: number,
  ) {
    super(`cloud: ${operation} answered ${status}`);
    this.name = 'CloudError';
  }
}

/** Outcome of a scale-out request; `unknown`: it may have been carried out, or may still be. */
export type ScaleOutResult =
  | { how: 'added'; ids: string[] }
  | { how: 'none' }
  /** The outcome is unknown; the same request may be sent again under the same name. */
  | { how: 'unknown' }
  | { how: 'refused'; status: number };

/** A client of the cloud's API, within its request rate limit. */
export class CloudClient {
  private readonly http: HttpClient;
  private readonly budget: TokenBucket;

  constructor(settings: Settings, clock: Clock) {
    this.http = new HttpClient(settings.cloudAddress, 4);
    // A tenth of the rate limit is left for the requests that other controllers send at their start.
    this.budget = new TokenBucket(settings.cloud.rps * 0.9, clock, 1.5);
  }

  private async call(method: string, path: string, body?: string): Promise<Response> {
    while (!this.budget.tryTake(1)) await sleep(this.budget.secondsUntil(1));
    return this.http.request(method, path, body, 5);
  }

  private static parseJson(response: Response): unknown {
    if (response.status !== 200) throw new CloudError('request', response.status);
    return JSON.parse(response.body.toString('utf8'));
  }

  /** Fetches the machine types with their present prices. Throws CloudError, NoResponseError. */
  async fetchMachineTypes(): Promise<MachineType[]> {
    return wire.parseTypes(CloudClient.parseJson(await this.call('GET', wire.TYPES_PATH)));
  }

  /** Lists all machines, page by page. Throws CloudError, NoResponseError. */
  async listMachines(): Promise<wire.ListedMachine[]> {
    const all: wire.ListedMachine[] = [];
    let after = '';
    for (;;) {
      const response = await this.call('GET', wire.listPath(after));
      const page = wire.parseList(CloudClient.parseJson(response));
      all.push(...page.machines);
      if (!page.more || page.machines.length === 0) return all;
      after = page.machines[page.machines.length - 1]!.id;
    }
  }

  /** Sends a scale-out request. The cloud answers a repeated request name with its first answer. */
  async scaleOut(request: wire.ScaleOutRequest): Promise<ScaleOutResult> {
    let response: Response;
    try {
      response = await this.call('POST', wire.MACHINES_PATH, wire.encodeScaleOut(request));
    } catch {
      return { how: 'unknown' };
    }
    const text = response.body.toString('utf8');
    if (response.status === 200) {
      try {
        return { how: 'added', ids: wire.parseScaleOutAnswer(JSON.parse(text)) };
      } catch {
        return { how: 'unknown' };
      }
    }
    if (response.status === 503 && text.includes('no capacity')) return { how: 'none' };
    return { how: 'refused', status: response.status };
  }

  /** Returns machines to the cloud. True: they and everything on them no longer exist. */
  async scaleIn(ids: string[]): Promise<boolean> {
    try {
      const response = await this.call('POST', wire.SCALE_IN_PATH, wire.encodeScaleIn(ids));
      return response.status === 200;
    } catch {
      return false;
    }
  }

  /** Closes all connections. */
  close(): void {
    this.http.close();
  }
}
