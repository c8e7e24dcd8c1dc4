import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import { connect, createServer as createTcpServer, type AddressInfo, type Socket } from 'node:net';

/**
 * Stand-ins for the outside systems, written from the protocol. They watch its rules themselves.
 */
type Json = Record<string, unknown>;
type Handle = (
  method: string,
  url: URL,
  body: Json,
) => Promise<[number, unknown]> | [number, unknown];

export class Stand {
  readonly server: Server;
  port = 0;
  constructor(handle: Handle) {
    this.server = createServer((req: IncomingMessage, res: ServerResponse) => {
      let text = '';
      req.on('data', (d: Buffer) => (text += d.toString()));
      req.on('end', () => {
        void (async () => {
          const body = text === '' ? {} : (JSON.parse(text) as Json);
          const [status, out] = await handle(req.method!, new URL(req.url!, 'http://x'), body);
          res.writeHead(status, { 'content-type': 'application/json' });
          res.end(JSON.stringify(out));
        })();
      });
    });
  }
  async listen(): Promise<void> {
    await new Promise<void>((r) => this.server.listen(0, '127.0.0.1', r));
    this.port = (this.server.address() as AddressInfo).port;
  }
  close(): void {
    this.server.closeAllConnections();
    this.server.close();
  }
}

/** A way between two processes that can be cut: connections are reset, and new ones refused. */
export class Gate {
  port = 0;
  cut = false;
  private readonly sockets = new Set<Socket>();
  private readonly server = createTcpServer((from) => {
    if (this.cut) {
      from.destroy();
      return;
    }
    const to = connect(this.target, '127.0.0.1');
    for (const s of [from, to]) {
      this.sockets.add(s);
      s.on('error', () => undefined);
      s.on('close', () => {
        this.sockets.delete(s);
        from.destroy();
        to.destroy();
      });
    }
    from.pipe(to);
    to.pipe(from);
  });

  constructor(private readonly target: number) {}

  async listen(): Promise<number> {
    await new Promise<void>((r) => this.server.listen(0, '127.0.0.1', r));
    this.port = (this.server.address() as AddressInfo).port;
    return this.port;
  }

  set(cut: boolean): void {
    this.cut = cut;
    if (cut) for (const s of this.sockets) s.destroy();
  }

  close(): void {
    this.set(true);
    this.server.close();
  }
}

/** The state service as one controller sees it: it may refuse that one alone. */
export class Refuser extends Stand {
  refuses = false;

  constructor(state: StateStand) {
    super(async (method, url, body) => {
      if (this.refuses) return [503, { error: 'trouble' }];
      const answer = await state.handle(method, url, body);
      // Open watches wait, as they would in an outage.
      while (this.refuses) await new Promise((r) => setTimeout(r, 10));
      return answer;
    });
  }
}

interface Entry {
  value: unknown;
  mark: number;
  loan: number | undefined;
}

export class StateStand extends Stand {
  ledger = 0;
  down = false;
  /** Items in a page of a listing: few, so that reading in pages is exercised. */
  page = 3;
  readonly keys = new Map<string, Entry>();
  private readonly log: Json[] = [];
  private readonly loans = new Map<number, { until: number; life: number }>();
  private nextLoan = 1;
  private readonly timer: NodeJS.Timeout;

  constructor() {
    super((m, u, b) => this.handle(m, u, b));
    this.timer = setInterval(() => this.expire(), 20);
  }

  private expire(): void {
    const now = Date.now();
    for (const [id, l] of this.loans) {
      // Leases stand still in an outage and have their full time after it.
      if (this.down) l.until = now + l.life;
      else if (l.until < now) {
        this.loans.delete(id);
        for (const [key, e] of this.keys) {
          if (e.loan !== id) continue;
          this.keys.delete(key);
          this.log.push({ remove: key, mark: ++this.ledger });
        }
      }
    }
  }

  async handle(method: string, url: URL, body: Json): Promise<[number, unknown]> {
    const path = url.pathname;
    if (this.down) return [503, { error: 'trouble' }];
    if (path === '/commit') return this.commit(body);
    if (path === '/grants') {
      const id = this.nextLoan++;
      const life = body.life_ms as number;
      this.loans.set(id, { until: Date.now() + life, life });
      return [200, { loan: id }];
    }
    const grant = /^\/grants\/(\d+)(\/extend)?$/.exec(path);
    if (grant !== null) {
      const l = this.loans.get(Number(grant[1]));
      if (l === undefined) return [404, {}];
      if (method === 'DELETE') l.until = 0;
      else l.until = Date.now() + l.life;
      return [200, {}];
    }
    if (path === '/changes') {
      const after = Number(url.searchParams.get('after'));
      const prefix = url.searchParams.get('prefix')!;
      const end = Date.now() + Number(url.searchParams.get('block_ms') ?? 0);
      for (;;) {
        const log = this.log.filter(
          (e) => (e.mark as number) > after && String(e.put ?? e.remove).startsWith(prefix),
        );
        if (!this.down && (log.length > 0 || Date.now() >= end))
          return [200, { ledger: this.ledger, log }];
        await new Promise((r) => setTimeout(r, 10));
      }
    }
    if (path === '/keys') {
      const prefix = url.searchParams.get('prefix')!;
      const after = url.searchParams.get('after') ?? '';
      const names = [...this.keys.keys()].filter((k) => k.startsWith(prefix) && k > after).sort();
      const items = names
        .slice(0, this.page)
        .map((k) => ({ path: k, data: this.keys.get(k)!.value, mark: this.keys.get(k)!.mark }));
      return [200, { items, more: names.length > this.page, ledger: this.ledger }];
    }
    const key = path.slice('/keys/'.length);
    const e = this.keys.get(key);
    return e === undefined
      ? [404, { ledger: this.ledger }]
      : [200, { path: key, data: e.value, mark: e.mark }];
  }

  private commit(body: Json): [number, unknown] {
    const guards = body.guards as { path: string; mark: number }[];
    const apply = body.apply as { put?: string; data?: unknown; loan?: number; remove?: string }[];
    const failed = guards
      .filter((g) => (this.keys.get(g.path)?.mark ?? 0) !== g.mark)
      .map((g) => g.path);
    if (failed.length > 0) return [409, { failed, ledger: this.ledger }];
    if (apply.some((o) => o.loan !== undefined && !this.loans.has(o.loan))) {
      return [400, { error: 'no such lease' }];
    }
    if (apply.length > 8 || JSON.stringify(body).length > 65536)
      return [400, { error: 'too large' }];
    this.ledger++;
    for (const o of apply) {
      if (o.put !== undefined) {
        if (JSON.stringify(o.data).length > 8192) return [400, { error: 'value too large' }];
        this.keys.set(o.put, { value: o.data, mark: this.ledger, loan: o.loan });
        this.log.push({ put: o.put, data: o.data, mark: this.ledger });
      } else if (this.keys.delete(o.remove!))
        this.log.push({ remove: o.remove, mark: this.ledger });
    }
    return [200, { ledger: this.ledger }];
  }

  override close(): void {
    clearInterval(this.timer);
    super.close();
  }
}

interface Job {
  tasks: number;
  gang: boolean;
  service: boolean;
  runS: number;
}

interface Task {
  piece: string;
  pour: number;
  temper: string;
  cause: string | undefined;
  timer: NodeJS.Timeout | undefined;
}

/** The fleet: cloud and workers. `broken` collects every rule that was broken. */
export class FleetStand extends Stand {
  readonly broken: string[] = [];
  readonly workers = new Map<string, Worker>();
  readonly jobs = new Map<string, Job>();
  readonly starts = new Map<string, number>();
  readonly cancelledAt = new Map<string, number>();
  private readonly hires = new Map<string, string[]>();
  private counter = 0;
  controllers: number[] = [];

  constructor(readonly leaseS: number) {
    super((m, u, b) => this.handle(m, u, b));
  }

  private handle(method: string, url: URL, body: Json): [number, unknown] {
    if (url.pathname === '/machine_types') {
      return [
        200,
        {
          castings: [
            {
              name: 'g8', cores: 8, gpus: 8, mem_gb: 64, local_gb: 100, pull_gb_per_s: 100,
              hourly: 10, spot_price: 3, startup_s: 0.3, yards: ['z1', 'z2'],
            }, // prettier-ignore
          ],
        },
      ];
    }
    if (url.pathname === '/hosts/return') {
      for (const id of body.benches as string[]) this.workers.get(id)?.end();
      return [200, {}];
    }
    if (method === 'POST') {
      const known = this.hires.get(body.hire as string);
      if (known !== undefined) return [200, { benches: known }];
      const ids = Array.from(
        { length: body.number as number },
        () => `host-${String(++this.counter).padStart(6, '0')}`,
      );
      this.hires.set(body.hire as string, ids);
      for (const id of ids) {
        const w = new Worker(
          this,
          id,
          body.casting as string,
          body.yard as string,
          body.loaner as boolean,
        );
        this.workers.set(id, w);
        setTimeout(() => void w.start(), 200);
      }
      return [200, { benches: ids }];
    }
    const benches = [...this.workers.values()].map((w) => ({
      ref: w.id, addr: `127.0.0.1:${w.port}`, casting: w.type, yard: w.zone, loaner: w.spot, temper: 'running', age_s: 90,
    })); // prettier-ignore
    return [200, { benches, more: false }];
  }

  /** A task starts: nowhere else may it be, its job not long cancelled, its team not over its limit. */
  started(w: Worker, t: Task): void {
    this.starts.set(t.piece, (this.starts.get(t.piece) ?? 0) + 1);
    for (const other of this.workers.values()) {
      if (other === w) continue;
      const same = other.tasks.find((x) => x.piece === t.piece && x.temper !== 'ended');
      if (same !== undefined) this.broken.push(`ran_twice ${t.piece}`);
    }
    const at = this.cancelledAt.get(t.piece.split('/')[0]!);
    if (at !== undefined && Date.now() - at > 6000) this.broken.push(`ran_cancelled ${t.piece}`);
    let used = 0;
    for (const x of this.workers.values())
      used += x.tasks.filter((y) => y.temper !== 'ended').length;
    if (used > 12) this.broken.push(`quota: ${used}`);
  }

  /** Gangs start once all of an attempt's tasks wait. */
  gather(job: string): void {
    const all = [...this.workers.values()].flatMap((w) => w.tasks.map((t) => ({ w, t })));
    const mine = all.filter(({ t }) => t.piece.startsWith(`${job}/`) && t.temper === 'gathering');
    const pour = Math.max(...mine.map(({ t }) => t.pour));
    const whole = mine.filter(({ t }) => t.pour === pour);
    if (whole.length < this.jobs.get(job)!.tasks) return;
    for (const { w, t } of whole) w.run(t, this.jobs.get(job)!.runS);
  }

  override close(): void {
    for (const w of this.workers.values()) w.end();
    super.close();
  }
}

export class Worker extends Stand {
  tasks: Task[] = [];
  private shift = 1;
  private tally = 0;
  private hallmark = 0;
  private ended = false;
  private target = 0;
  private renewed = Date.now();
  cut = false;
  /** The controllers that it can reach; null: all. */
  reach: number[] | null = null;

  constructor(
    readonly fleet: FleetStand,
    readonly id: string,
    readonly type: string,
    readonly zone: string,
    readonly spot: boolean,
  ) {
    super((_m, url, body) => {
      if (url.pathname === '/status') return [200, this.report()];
      const ok = (body.hallmark as number) >= this.hallmark && body.shift === this.shift;
      if ((body.hallmark as number) > this.hallmark) this.hallmark = body.hallmark as number;
      if (ok) this.execute(body.orders as Json[]);
      return [ok ? 200 : 409, this.report()];
    });
  }

  async start(): Promise<void> {
    if (this.ended) return;
    await this.listen();
    this.renewed = Date.now();
    void this.loop();
  }

  private report(): Json {
    return {
      bench: this.id, addr: `127.0.0.1:${this.port}`, casting: this.type, yard: this.zone,
      loaner: this.spot, shift: this.shift, tally: ++this.tally, hallmark: this.hallmark, recall_s: null,
      pieces: this.tasks.map(({ piece, pour, temper, cause }) => ({ piece, pour, temper, cause })),
    }; // prettier-ignore
  }

  private async loop(): Promise<void> {
    while (!this.ended) {
      await new Promise((r) => setTimeout(r, this.fleet.leaseS * 50));
      if (Date.now() - this.renewed > this.fleet.leaseS * 1000) {
        this.kill(this.tasks);
        this.tasks = [];
        this.shift++;
        this.renewed = Date.now();
      }
      if (this.cut) continue;
      const sentAt = Date.now();
      const ports = this.reach ?? this.fleet.controllers;
      try {
        const r = await fetch(`http://127.0.0.1:${ports[this.target % ports.length]}/checkin`, {
          method: 'POST',
          body: JSON.stringify(this.report()),
          signal: AbortSignal.timeout(800),
        });
        const body = (await r.json()) as Json;
        if (r.status === 200) {
          if ((body.hallmark as number) < this.hallmark) continue;
          this.hallmark = body.hallmark as number;
          this.renewed = sentAt;
          this.execute(body.orders as Json[]);
        } else if (r.status === 421 && typeof body.foreman === 'string') {
          this.target = Number(body.foreman.split('-')[1]);
        } else this.target++;
      } catch {
        this.target++;
      }
    }
  }

  private execute(orders: Json[]): void {
    for (const o of orders) {
      const t = this.tasks.find((x) => x.piece === o.piece && x.pour === o.pour);
      if (o.verb === 'start' && t === undefined) this.begin(o.piece as string, o.pour as number);
      if (o.verb === 'kill' && t !== undefined && t.temper !== 'ended') this.exit(t, 'halted');
      if (o.verb === 'reap' && t?.temper === 'ended') this.tasks.splice(this.tasks.indexOf(t), 1);
    }
  }

  private begin(piece: string, pour: number): void {
    const id = piece.split('/')[0]!;
    const job = this.fleet.jobs.get(id);
    const t: Task = { piece, pour, temper: 'running', cause: undefined, timer: undefined };
    this.tasks.push(t);
    if (job === undefined) {
      this.exit(t, 'no_such');
      return;
    }
    this.fleet.started(this, t);
    if (job.gang) {
      t.temper = 'gathering';
      this.fleet.gather(id);
    } else if (!job.service) this.run(t, job.runS);
  }

  run(t: Task, s: number): void {
    t.temper = 'running';
    t.timer = setTimeout(() => this.exit(t, 'done'), s * 1000);
  }

  private exit(t: Task, cause: string): void {
    clearTimeout(t.timer);
    t.temper = 'ended';
    t.cause = cause;
  }

  private kill(tasks: Task[]): void {
    for (const t of tasks) this.exit(t, 'halted');
  }

  end(): void {
    this.ended = true;
    this.kill(this.tasks);
    this.tasks = [];
    this.fleet.workers.delete(this.id);
    this.close();
  }
}
