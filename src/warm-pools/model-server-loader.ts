/** Loading of models by a model server on each machine. */

import * as v from 'valibot';
import type { Clock } from '../clock.js';
import { parseEndpoint } from '../config/endpoint.js';
import { HttpClient } from '../http/client.js';
import type { Log } from '../log.js';
import type { MachineView } from '../subsystems/subsystem.js';
import type { PoolDeclaration } from './declaration.js';
import type { LoadState, ModelLoader } from './model-loader.js';

/** Maximum number of connections to one model server. */
const CONNECTIONS_PER_SERVER = 1;
/** Failed loads since the model was last ready after which the machine counts as failed. */
const MAX_LOAD_FAILURES = 3;

/** A model server answered with a status other than 200. */
class ModelServerError extends Error {
  constructor(readonly status: number) {
    super(`model server answered with status ${status}, expected 200`);
    this.name = 'ModelServerError';
  }
}

/** Options of a `ModelServerLoader`. */
export interface ModelServerLoaderOptions {
  /** Port of the model server on every machine. */
  port: number;
  /** Fencing token of the term: model servers refuse loads and unloads with a lower one than they have seen. */
  token: number;
  /** Seconds between two requests to a server while a model loads; ten times as many once it is ready. */
  pollIntervalS: number;
  /** Seconds after which a request counts as unanswered. */
  timeoutS: number;
  clock: Clock;
  log: Log;
}

interface Server {
  client: HttpClient;
  models: Map<string, Model>;
}

interface Model {
  state: LoadState;
  failures: number;
  requestedAt: number;
  requestPending: boolean;
}

const answer = v.object({ state: v.picklist(['absent', 'loading', 'ready', 'failed']) });
type ServerState = v.InferOutput<typeof answer>['state'];

/** Factor on the interval between requests once a model is ready. */
const READY_POLL_FACTOR = 10;

/**
 * Repeats load requests to a machine's model server until it reports the model as ready, and less often from
 * then on. Requests carry the term's fencing token, so that those of a leader that was replaced are refused.
 * If a request arrives late within the term, the next one corrects its effect.
 */
export class ModelServerLoader implements ModelLoader {
  private readonly servers = new Map<string, Server>();

  constructor(private readonly options: ModelServerLoaderOptions) {}

  /** See `ModelLoader.state`. */
  state(machine: MachineView, pool: PoolDeclaration): LoadState {
    // Without a heartbeat in this term the machine may hang, and its models may be gone.
    if (machine.state !== 'ready' || machine.addr === '') return 'loading';
    const server = this.server(machine);
    const model = modelOf(server, pool.image);
    const { clock, pollIntervalS } = this.options;
    const intervalS = pollIntervalS * (model.state === 'ready' ? READY_POLL_FACTOR : 1);
    if (!model.requestPending && clock.now() - model.requestedAt >= intervalS) {
      void this.requestLoad(server, machine.id, pool, model);
    }
    return model.state;
  }

  /** See `ModelLoader.unload`. */
  unload(machine: MachineView, image: string): void {
    const server = this.servers.get(machine.id);
    if (server === undefined || !server.models.delete(image)) return;
    const body = JSON.stringify({ model: image, token: this.options.token });
    server.client.request('POST', '/models/unload', body, this.options.timeoutS).catch((error) => {
      // The model stays loaded. That costs memory on the machine, but nothing depends on the unload.
      this.options.log.debug(
        { machine: machine.id, image, err: error },
        'model unload request failed',
      );
    });
  }

  /** See `ModelLoader.forget`. */
  forget(machine: string): void {
    this.servers.get(machine)?.client.close();
    this.servers.delete(machine);
  }

  /** See `ModelLoader.stop`. */
  stop(): void {
    for (const id of [...this.servers.keys()]) this.forget(id);
  }

  private server(machine: MachineView): Server {
    let server = this.servers.get(machine.id);
    if (server === undefined) {
      const { host } = parseEndpoint(machine.addr);
      const client = new HttpClient({ host, port: this.options.port }, CONNECTIONS_PER_SERVER);
      server = { client, models: new Map() };
      this.servers.set(machine.id, server);
    }
    return server;
  }

  /** A repeated load request changes nothing, and its answer contains the state of the load. */
  private async requestLoad(
    { client }: Server,
    machine: string,
    { image, imageGb }: PoolDeclaration,
    model: Model,
  ): Promise<void> {
    const { clock, log, timeoutS, token } = this.options;
    model.requestPending = true;
    model.requestedAt = clock.now();
    try {
      const body = JSON.stringify({ model: image, size_gb: imageGb, token });
      const response = await client.request('POST', '/models/load', body, timeoutS);
      if (response.status !== 200) throw new ModelServerError(response.status);
      applyServerState(model, v.parse(answer, JSON.parse(response.body.toString('utf8'))).state);
    } catch (error) {
      // A failed request changes no state: the machine's heartbeats decide whether a ready model is
      // available.
      log.debug({ machine, image, err: error }, 'model load request failed');
    } finally {
      model.requestPending = false;
    }
  }
}

function modelOf(server: Server, image: string): Model {
  let model = server.models.get(image);
  if (model === undefined) {
    model = { state: 'loading', failures: 0, requestedAt: -Infinity, requestPending: false };
    server.models.set(image, model);
  }
  return model;
}

function applyServerState(model: Model, state: ServerState): void {
  if (state === 'failed') {
    model.failures++;
    model.state = model.failures >= MAX_LOAD_FAILURES ? 'failed' : 'loading';
    return;
  }
  model.state = state === 'ready' ? 'ready' : 'loading';
  if (state === 'ready') model.failures = 0;
}
