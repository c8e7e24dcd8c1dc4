// Stand-in of the cloud, by the users' protocol.
import { clearInterval, setInterval, setTimeout } from 'node:timers';
import { URL } from 'node:url';
import { JsonServer, nowMs, wait } from './base.mjs';
import { Worker } from './worker.mjs';

export class Cloud extends JsonServer {
  /** An outage of its interface. */
  down = false;
  bootS = null;
  rentals = new Map();
  machines = new Map();
  snapshots = [];
  next = 1;
  level = 0;
  levelAt = nowMs();
  /** Called for `rent` and `return`; a number: no answer, and carried out so many ms late. */
  onChange = null;
  constructor(world, { capacity, lagS, rps }) {
    super((method, url, body) => this.handle(method, url, body));
    Object.assign(this, { world, capacity, lagS, rps });
    this.level = rps * 2;
    this.timer = setInterval(() => this.snapshot(), 250);
  }

  snapshot() {
    const at = nowMs();
    const rows = [...this.machines.values()]
      .filter((m) => m.state !== 'deleted')
      .map((m) => ({
        ...{ ref: m.id, addr: `127.0.0.1:${m.worker.port}`, casting: m.casting, yard: m.yard },
        ...{ loaner: m.loaner, temper: m.state, age_s: (at - m.rentedAt) / 1000 },
      }));
    this.snapshots.push({ at, rows });
    while (this.snapshots.length > 2 && this.snapshots[1].at < at - this.lagS * 2000)
      this.snapshots.shift();
  }

  /** Adds machines that are up when the day begins. */
  async addInitial(count, place) {
    for (let i = 0; i < count; i++) {
      const machine = this.add(place);
      machine.state = 'running';
      await machine.worker.start();
    }
    this.snapshot();
  }

  add({ casting, yard, loaner }) {
    const id = `host-${String(this.next++).padStart(6, '0')}`;
    const worker = new Worker(this.world, id, { casting, yard, loaner });
    this.world.workers.set(id, worker);
    const machine = { id, casting, yard, loaner, worker, state: 'booting', rentedAt: nowMs() };
    this.machines.set(id, machine);
    return machine;
  }

  async handle(method, rawUrl, body) {
    if (this.down) return [503, { error: 'trouble' }];
    const now = nowMs();
    this.level = Math.min(this.rps * 2, this.level + ((now - this.levelAt) / 1000) * this.rps);
    this.levelAt = now;
    if (this.level < 1) return [429, {}];
    this.level--;
    await wait(20 + this.world.random() * 60);
    const url = new URL(rawUrl, 'http://x');
    if (url.pathname === '/machine_types') return [200, { castings: [this.world.machineType] }];
    if (url.pathname === '/hosts/return')
      return this.change('return', body, () => this.giveBack(body));
    if (method === 'POST') return this.change('rent', body, () => this.rent(body));
    return this.list(url.searchParams);
  }

  change(kind, body, carryOut) {
    this.world.note(kind, { body });
    const lateMs = this.onChange?.(kind, body) ?? null;
    if (lateMs === null) return carryOut();
    setTimeout(() => {
      this.world.note(`${kind}, carried out late`, { body });
      carryOut();
    }, lateMs).unref();
    return new Promise((resolve) => setTimeout(() => resolve(null), 60_000).unref());
  }

  giveBack({ benches }) {
    for (const id of benches) {
      const machine = this.machines.get(id);
      if (machine === undefined) continue;
      machine.state = 'deleted';
      machine.worker.terminate();
    }
    return [200, {}];
  }

  rent(body) {
    const known = this.rentals.get(body.hire);
    if (known !== undefined) return [200, { benches: known }];
    const up = [...this.machines.values()].filter(
      (m) => m.state !== 'deleted' && m.yard === body.yard,
    ).length;
    const count = Math.min(body.number, 50, (this.capacity.get(body.yard) ?? 0) - up);
    if (count <= 0) return [503, { error: 'no capacity' }];
    const benches = [];
    for (let i = 0; i < count; i++) {
      const machine = this.add(body);
      benches.push(machine.id);
      const nominal = this.bootS ?? this.world.machineType.startup_s;
      setTimeout(
        () => {
          if (machine.state !== 'booting') return;
          machine.state = 'running';
          void machine.worker.start();
        },
        nominal * 1000 * (0.6 + this.world.random() * 0.9),
      ).unref();
    }
    this.rentals.set(body.hire, benches);
    return [200, { benches }];
  }

  /** The machine stops on its own. */
  die(id) {
    const machine = this.machines.get(id);
    if (machine === undefined || machine.state === 'deleted') return;
    machine.worker.terminate();
    setTimeout(() => {
      if (machine.state === 'running') machine.state = 'failed';
    }, 30_000).unref();
  }

  /** The cloud takes a spot machine. */
  take(id) {
    const machine = this.machines.get(id);
    if (machine === undefined || machine.state === 'deleted') return;
    machine.state = 'deleted';
    machine.worker.terminate();
  }

  list(query) {
    const lag = this.lagS * 1000 * (0.5 + this.world.random() * 0.8);
    const wanted = nowMs() - lag;
    let shown = this.snapshots[0] ?? { rows: [] };
    for (const snapshot of this.snapshots) if (snapshot.at <= wanted) shown = snapshot;
    const after = query.get('after') ?? '';
    const limit = Math.min(500, Number(query.get('limit') ?? 500));
    const rows = shown.rows.filter((row) => row.ref > after);
    return [200, { benches: rows.slice(0, limit), more: rows.length > limit }];
  }

  close() {
    clearInterval(this.timer);
    for (const machine of this.machines.values()) machine.worker.terminate();
    super.close();
  }
}
