import { HttpStandIn, type Answer, type Json } from './http.js';

type ModelState = 'loading' | 'ready' | 'failed';

interface Model {
  state: ModelState;
  /** Replicas that answer with it. */
  users: number;
  readyAt: number | null;
}

/** Where a model server listens, and how long a model takes to load. */
export interface ModelServerOptions {
  /** The address that it has in common with its machine, and the port. */
  host: string;
  port: number;
  /** How long a model takes to load. */
  loadMs: () => number;
}

/**
 * The model server of one machine: loads models when it is asked to, or when a replica needs one. It keeps
 * the highest token that it has seen and refuses loads and unloads with a lower one.
 */
export class ModelServer extends HttpStandIn {
  readonly models = new Map<string, Model>();
  /** What was asked of it, in order: `load tutor 12`. */
  readonly requestLog: string[] = [];
  /** Requests with a token that was too low. */
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

  /** Tells how the last load ended; one that failed begins anew. */
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

  /** A replica begins; it answers from the moment on at which its model is there. */
  use(name: string): void {
    this.load(name).users++;
  }

  /** A task that used a model has ended. */
  leave(name: string): void {
    const model = this.models.get(name);
    if (model !== undefined) model.users--;
  }

  /** Ends the server; loads under way come to nothing. */
  override close(): void {
    for (const timer of this.timers) clearTimeout(timer);
    super.close();
  }
}
