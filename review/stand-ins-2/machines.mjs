/** Stand-ins of the cloud and of the workers, by PROTOCOL "Workers" and "Controller nodes -> cloud". */

import { closeServer, Limit, now, oneConnection, send, serve, sleep } from './base.mjs';

const ANSWER_WAIT_S = 4;
const LEAST_GAP_S = 0.5;

/** One machine with its worker. */
export class Worker {
  constructor(fleet, id, { type, zone, spot }) {
    Object.assign(this, { fleet, id, type, zone, spot });
    this.shift = 1;
    this.tally = 0;
    this.hallmark = 0;
    this.tasks = new Map();
    this.images = new Set();
    /** Fetches under way: by image, the tasks that wait for it. */
    this.fetches = new Map();
    this.gone = false;
    this.nodeIndex = 0;
    this.changed = false;
    this.lastSentAt = -Infinity;
    this.renewedAt = now();
    this.agent = oneConnection();
  }

  async start() {
    if (this.gone) return;
    this.server = await serve((method, url, text) => this.direct(url.pathname, text));
    this.addr = `127.0.0.1:${this.server.address().port}`;
    this.renewedAt = now();
    this.nodeIndex = Math.floor(Math.random() * this.fleet.nodePorts.length);
    void this.reportLoop();
    void this.leaseLoop();
  }

  report() {
    const pieces = [...this.tasks.values()].map(({ piece, pour, temper, cause, saved }) => ({
      ...{ piece, pour, temper, cause },
      ...(saved ? { saved } : {}),
    }));
    return {
      bench: this.id, addr: this.addr, casting: this.type, yard: this.zone, loaner: this.spot,
      shift: this.shift, tally: ++this.tally, hallmark: this.hallmark, recall_s: null, pieces,
    }; // prettier-ignore
  }

  direct(path, text) {
    if (path === '/status') return [200, this.report()];
    if (path !== '/do') return [404, {}];
    return this.takeDirect(JSON.parse(text));
  }

  takeDirect(body) {
    if (this.gone) return null;
    if (body.hallmark === undefined || body.shift === undefined) return [400, {}];
    if (body.hallmark < this.hallmark || body.shift !== this.shift) {
      this.fleet.record.add('direct refused', {
        bench: this.id,
        hallmark: body.hallmark,
      });
      return [409, this.report()];
    }
    if (body.hallmark > this.hallmark) this.changed = true;
    this.hallmark = body.hallmark;
    this.execute(body.orders, 'direct');
    return [200, this.report()];
  }

  async leaseLoop() {
    while (!this.gone) {
      await sleep(0.02);
      if (now() - this.renewedAt <= this.fleet.leaseS) continue;
      this.fleet.record.add('lease expired', {
        bench: this.id,
        tasks: this.tasks.size,
      });
      this.fleet.expired.push({
        at: now(),
        bench: this.id,
        tasks: this.tasks.size,
      });
      for (const task of this.tasks.values()) this.leave(task, 'lease');
      this.fetches.clear();
      this.tasks.clear();
      this.shift++;
      this.tally = 0;
      this.renewedAt = now();
      this.changed = true;
    }
  }

  async reportLoop() {
    while (!this.gone) {
      const { reportS } = this.fleet;
      const due = this.lastSentAt + reportS * (0.75 + Math.random() / 2);
      while (!this.gone && now() < due && !(this.changed && now() >= this.lastSentAt + LEAST_GAP_S))
        await sleep(0.01);
      if (this.gone) return;
      await this.sendReport();
    }
  }

  async sendReport() {
    const { nodePorts, nodeNames } = this.fleet;
    this.changed = false;
    const sentAt = now();
    this.lastSentAt = sentAt;
    const { shift } = this;
    const { status, body } = await send({
      ...{ port: nodePorts[this.nodeIndex], method: 'POST', path: '/checkin' },
      ...{ body: this.report(), timeoutS: ANSWER_WAIT_S, agent: this.agent },
    });
    if (this.gone) return;
    if (status === 200 && body !== null) {
      if (shift !== this.shift || !(body.hallmark >= this.hallmark)) return;
      if (body.hallmark > this.hallmark) this.changed = true;
      this.hallmark = body.hallmark;
      this.renewedAt = sentAt;
      this.execute(body.orders, 'report');
      return;
    }
    const next = status === 421 ? nodeNames.indexOf(body?.foreman) : -1;
    this.agent.destroy();
    this.agent = oneConnection();
    if (next >= 0 && next !== this.nodeIndex) this.nodeIndex = next;
    else {
      await sleep(1);
      this.nodeIndex = (this.nodeIndex + 1) % nodePorts.length;
    }
  }

  execute(orders, via) {
    for (const { verb, piece, pour, cooling_s: graceS } of orders) {
      const task = this.tasks.get(`${piece}#${pour}`);
      if (verb === 'start' && task === undefined) this.begin(piece, pour, via);
      else if (verb === 'kill' && task !== undefined && task.temper !== 'ended')
        this.stop(task, graceS);
      else if (verb === 'reap' && task?.temper === 'ended') this.tasks.delete(`${piece}#${pour}`);
    }
  }

  begin(piece, pour, via) {
    const slash = piece.lastIndexOf('/');
    const job = this.fleet.jobs.get(piece.slice(0, slash));
    const index = Number(piece.slice(slash + 1));
    const task = { piece, pour, temper: 'pulling', job, index, on: false };
    const present = [...this.tasks.values()].filter((other) => other.temper !== 'ended');
    this.tasks.set(`${piece}#${pour}`, task);
    this.changed = true;
    const { total } = this.fleet;
    const room = (field) =>
      total[field] - present.reduce((sum, other) => sum + other.job.submission[field], 0) + 1e-6;
    let cause = null;
    if (job === undefined || index >= job.submission.pieces) cause = 'no_such';
    else if (present.some((other) => other.piece === piece)) cause = 'in_use';
    else if (['cores', 'gpus', 'mem_gb'].some((field) => job.submission[field] > room(field)))
      cause = 'full';
    if (cause !== null) {
      Object.assign(task, { temper: 'ended', cause });
      return;
    }
    void this.fetch(task, via);
  }

  /** A machine fetches an image once for all tasks that need it. */
  async fetch(task, via) {
    const { mould, image_gb: gb } = task.job.submission;
    if (!this.images.has(mould)) {
      let fetch = this.fetches.get(mould);
      if (fetch === undefined) {
        const seconds = gb / (this.fleet.fetchGbPerS * this.fleet.speedOf(this));
        fetch = { waiting: new Set(), done: sleep(seconds) };
        this.fetches.set(mould, fetch);
      }
      fetch.waiting.add(task);
      await fetch.done;
      if (this.fetches.get(mould) === fetch) this.fetches.delete(mould);
    }
    const present = this.tasks.get(`${task.piece}#${task.pour}`) === task;
    if (this.gone || task.temper !== 'pulling' || !present) return;
    this.images.add(mould);
    this.changed = true;
    if (task.job.completed.has(task.index)) {
      // The result of a completed task is kept.
      Object.assign(task, { temper: 'ended', cause: 'done' });
      return;
    }
    task.on = true;
    if (task.job.submission.form === 'group') {
      task.temper = 'gathering';
      this.fleet.onMachine(this, task, via);
      this.fleet.startGang(task);
      void sleep(this.fleet.gangWaitS).then(() => {
        if (task.on && task.temper === 'gathering') this.finish(task, 'alone');
      });
      return;
    }
    task.temper = 'running';
    this.fleet.onMachine(this, task, via);
    if (task.job.submission.form === 'batch') void this.run(task);
  }

  async run(task) {
    task.temper = 'running';
    this.changed = true;
    await sleep(task.job.runS);
    if (this.gone || !task.on || task.temper !== 'running') return;
    this.finish(task, 'done');
  }

  stop(task, graceS) {
    const { stamp_s: stampS, stamping_s: saveS } = task.job.submission;
    if (task.temper === 'flushing' && graceS > 0) return;
    if (task.temper === 'running' && stampS > 0 && graceS >= saveS) {
      task.temper = 'flushing';
      this.changed = true;
      void sleep(saveS).then(() => {
        if (task.temper === 'flushing') this.finish(task, 'halted', true);
      });
      return;
    }
    this.finish(task, 'halted');
  }

  /** The machine gives a fetch up when no task waits for it any more. */
  giveUpFetch(task) {
    const { mould } = task.job.submission;
    const fetch = this.fetches.get(mould);
    fetch?.waiting.delete(task);
    if (fetch?.waiting.size !== 0) return;
    this.fetches.delete(mould);
    this.fleet.fetchesGivenUp.push({ at: now(), bench: this.id });
    this.fleet.record.add('fetch given up', {
      bench: this.id,
      mould,
      piece: task.piece,
    });
  }

  finish(task, cause, saved = false) {
    if (task.temper === 'pulling') this.giveUpFetch(task);
    Object.assign(task, { temper: 'ended', cause, saved });
    this.changed = true;
    this.leave(task, cause);
  }

  leave(task, cause) {
    if (!task.on) return;
    task.on = false;
    this.fleet.offMachine(this, task, cause);
  }

  /** The machine is gone, with everything on it. */
  end(cause) {
    if (this.gone) return;
    this.gone = true;
    for (const task of this.tasks.values()) this.leave(task, cause);
    this.tasks.clear();
    this.agent.destroy();
    if (this.server !== undefined) closeServer(this.server);
  }
}

/** The cloud with its machines, and what is checked on each start: the rules of the page. */
export class Fleet {
  constructor({
    record,
    type,
    lagS,
    rps,
    leaseS,
    reportS,
    gangWaitS,
    nodeNames,
    bootS,
    most = 64,
  }) {
    Object.assign(this, {
      record,
      type,
      lagS,
      rps,
      leaseS,
      reportS,
      gangWaitS,
      nodeNames,
      bootS,
      most,
    });
    this.total = { cores: type.cores, gpus: type.gpus, mem_gb: type.mem_gb };
    this.fetchGbPerS = type.pull_gb_per_s;
    this.workers = new Map();
    this.rentals = new Map();
    this.rented = 0;
    this.jobs = new Map();
    this.nodePorts = [];
    this.servers = [];
    this.ports = [];
    this.limit = new Limit(rps, 2);
    /** What is on machines: by piece, the workers that have it. */
    this.present = new Map();
    this.violations = [];
    this.starts = [];
    /** Fetches that machines gave up, and tasks that left a machine, with the cause. */
    this.fetchesGivenUp = [];
    this.exits = [];
    /** A machine's rate of fetching, as a share of the rate of its type. */
    this.speedOf = () => 1;
    /** Calls to the cloud that change something, in order. */
    this.calls = [];
    /** Rental requests that got no machine. */
    this.refused = 0;
    /** Leases that ran out. */
    this.expired = [];
  }

  /** Each controller has a port of its own, so that the record shows who sent a call. */
  async listen() {
    for (const node of this.nodeNames.keys()) {
      const server = await serve((method, url, text) => this.handle(node, method, url, text));
      this.servers.push(server);
      this.ports.push(server.address().port);
    }
  }

  close() {
    for (const worker of this.workers.values()) worker.end('closed');
    for (const server of this.servers) closeServer(server);
  }

  async handle(node, method, url, text) {
    if (!this.limit.take(1)) return [429, {}];
    const path = url.pathname;
    if (path === '/machine_types') return [200, { castings: [this.type] }];
    if (path === '/hosts/return') return this.giveBack(node, JSON.parse(text).benches);
    if (method === 'POST') return this.rent(node, JSON.parse(text));
    return this.list(url.searchParams);
  }

  rent(node, body) {
    const known = this.rentals.get(body.hire);
    if (known !== undefined) return [200, { benches: known }];
    const number = Math.min(body.number, this.most - this.workers.size);
    this.calls.push({ at: now(), node, call: 'rent', hire: body.hire });
    this.record.add('rental', { node, ...body, given: Math.max(0, number) });
    if (number <= 0) {
      this.refused++;
      return [503, { error: 'no capacity' }];
    }
    const ids = [];
    for (let i = 0; i < number; i++)
      ids.push(
        this.addMachine({
          type: body.casting,
          zone: body.yard,
          spot: body.loaner,
        }),
      );
    this.rentals.set(body.hire, ids);
    return [200, { benches: ids }];
  }

  addMachine(place, bootS = this.bootS) {
    const id = `host-${String(++this.rented).padStart(6, '0')}`;
    const worker = new Worker(this, id, place);
    worker.rentedAt = now();
    this.workers.set(id, worker);
    void sleep(bootS).then(async () => {
      worker.up = true;
      await worker.start();
    });
    return id;
  }

  giveBack(node, ids) {
    this.calls.push({ at: now(), node, call: 'return', ids });
    for (const id of ids) {
      const worker = this.workers.get(id);
      if (worker === undefined) continue;
      const tasks = [...worker.tasks.values()].filter((task) => task.on).map((task) => task.piece);
      this.record.add('returned', { node, bench: id, tasks });
      worker.end('returned');
      this.workers.delete(id);
    }
    return [200, {}];
  }

  list(query) {
    const after = query.get('after') ?? '';
    const benches = [...this.workers.values()]
      .filter((worker) => worker.id > after && now() - worker.rentedAt > this.lagS)
      .map((worker) => ({
        ...{
          ref: worker.id,
          addr: worker.addr ?? '',
          casting: worker.type,
          yard: worker.zone,
        },
        ...{ loaner: worker.spot, temper: worker.up ? 'running' : 'booting' },
        age_s: now() - worker.rentedAt,
      }));
    return [200, { benches, more: false }];
  }

  onMachine(worker, task, via) {
    const holders = this.present.get(task.piece) ?? new Set();
    const others = [...holders].filter((other) => other !== worker);
    if (others.length > 0)
      this.violation('ran_twice', `${task.piece} starts on ${worker.id} while on ${others[0].id}`);
    holders.add(worker);
    this.present.set(task.piece, holders);
    this.starts.push({ at: now(), piece: task.piece, bench: worker.id });
    if (task.job.submission.pieces <= 100 || task.index % 1000 === 0)
      this.record.add('task on machine', {
        ...{ bench: worker.id, piece: task.piece, pour: task.pour, via },
      });
  }

  offMachine(worker, task, cause) {
    const holders = this.present.get(task.piece);
    holders?.delete(worker);
    if (holders?.size === 0) this.present.delete(task.piece);
    this.exits.push({ at: now(), piece: task.piece, bench: worker.id, cause });
    if (cause === 'done') task.job.completed.add(task.index);
    if (task.job.submission.pieces <= 100)
      this.record.add('task left machine', {
        bench: worker.id,
        piece: task.piece,
        cause,
      });
  }

  startGang({ job, pour }) {
    const waiting = [];
    for (const worker of this.workers.values())
      for (const task of worker.tasks.values())
        if (task.job === job && task.pour === pour && task.temper === 'gathering')
          waiting.push({ worker, task });
    if (waiting.length < job.submission.pieces) return;
    for (const { worker, task } of waiting) void worker.run(task);
  }

  violation(rule, what) {
    this.violations.push(`${rule}: ${what}`);
    this.record.add('RULE BROKEN', { rule, what });
  }

  /** Number of tasks of a job that are on machines. */
  tasksOf(ref) {
    let count = 0;
    for (const [piece, holders] of this.present)
      if (piece.startsWith(`${ref}/`)) count += holders.size;
    return count;
  }
}
