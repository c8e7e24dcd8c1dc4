import { HttpStandIn, type Answer, type Json } from './http.js';

type ModelState = 'loading' | 'ready' | 'failed';

interface Model {
  state: ModelState;
  /** Number of replicas that answer with it. */
  users: number;
  readyAt: number | null;
}

/** Options of a `ModelServer`. */
export interface ModelServerOptions {
  /** The address that it shares with its machine, and the port. */
  host: string;
  port: number;
  /** Time that a model takes to load. */
  loadMs: () => number;
}

/**
 * The model server of one machine. It loads a model on request, or when a replica needs it, and refuses loads
 * and unloads with a token that is lower than the highest one that it has seen.
 */
export class ModelServer extends HttpStandIn {
  readonly models = new Map<string, Model>();
  /** Requests in order: `load tutor 12`. */
  readonly requestLog: string[] = [];
  /** Number of requests with a token that was too low. */
  refused = 0;
  /** Loads end in failure. */
  loadsFail = false;
  private token = 0;
  private readonly timers = new Set<NodeJS.Timeout>();

  constructor(private readonly options: ModelServerOptions) {
    super((_method, url, body) => this.answer(url.pathname, body));
  }

  /** Begins to listen. */
  start(): Promise<void> {
    return this.listen(this.options.port, this.options.host);
  }

  private answer(path: string, body: Json): Answer {
    const name = String(body.model);
    if (path === '/answer') {
      const model = this.models.get(name);
      return [model?.state === 'ready' && model.users > 0 ? 200 : 503, {}];
    }
    const token = Number(body.token);
    this.requestLog.push(`${path.slice('/models/'.length)} ${name} ${token}`);
    if (token < this.token) {
      this.refused++;
      return [409, { token: this.token }];
    }
    this.token = token;
    if (path === '/models/load') return [200, { state: this.loadOrReport(name) }];
    if (path === '/models/unload') return this.unload(name);
    return [404, {}];
  }

  /** Returns the outcome of the last load; a failed load starts again. */
  private loadOrReport(name: string): ModelState {
    const before = this.models.get(name)?.state;
    const { state } = this.load(name);
    return before === 'failed' ? before : state;
  }

  private load(name: string): Model {
    const known = this.models.get(name);
    if (known !== undefined && known.state !== 'failed') return known;
    const model: Model = { state: 'loading', users: known?.users ?? 0, readyAt: null };
    this.models.set(name, model);
    const timer = setTimeout(() => {
      this.timers.delete(timer);
      model.state = this.loadsFail ? 'failed' : 'ready';
      model.readyAt = Date.now();
    }, this.options.loadMs());
    this.timers.add(timer);
    return model;
  }

  private unload(name: string): Answer {
    if ((this.models.get(name)?.users ?? 0) > 0) return [409, { state: 'in use' }];
    this.models.delete(name);
    return [200, { state: 'absent' }];
  }

  /** Adds a replica, which answers once its model is loaded. */
  addUser(name: string): void {
    this.load(name).users++;
  }

  /** Removes a replica that used a model. */
  removeUser(name: string): void {
    const model = this.models.get(name);
    if (model !== undefined) model.users--;
  }

  /** Stops the server and cancels pending loads. */
  override close(): void {
    for (const timer of this.timers) clearTimeout(timer);
    super.close();
  }
}
