// Stand-in of a machine's worker, by the users' protocol.
import http from 'node:http';
import { clearInterval, clearTimeout, setInterval, setTimeout } from 'node:timers';
import { JsonServer, ask, nowMs, wait } from './base.mjs';

const ANSWER_WAIT_MS = 4000;
const MIN_GAP_MS = 500;

export const isOver = (task) => task.temper === 'ended';
/** On its machine from the moment it has its image until it exits. */
export const isOnMachine = (task) => !isOver(task) && task.temper !== 'pulling';
export const jobOf = (piece) => piece.slice(0, piece.lastIndexOf('/'));

/** One machine. `world` has the jobs, the checker, the controllers' ports, the times and the record. */
export class Worker extends JsonServer {
  shift = 1;
  tally = 0;
  hallmark = 0;
  recallAt = null;
  tasks = [];
  images = new Set();
  /** Its reports reach no controller; direct commands reach it. */
  mute = false;
  /** Its reports arrive; answers and direct commands to it are lost. */
  deaf = false;
  /** Neither way; direct commands wait until the cut is over. */
  cut = false;
  hung = false;
  sick = false;
  slow = 1;
  gone = false;
  /** Share of direct commands that are held up, unanswered, and carried out once, 2 to 16 s late. */
  lateCommandShare = 0;
  /** Called with each direct command; a number is its delay in ms, unanswered; null: nothing special. */
  onDirect = null;
  /** Called with each direct message that was carried out. */
  onCarriedOut = null;
  lateCommands = 0;
  node = 0;
  lastReportAt = -Infinity;
  changed = false;
  lastReportBody = null;
  constructor(world, id, { casting, yard, loaner }) {
    super((method, url, body) => this.handleDirect(url, body));
    Object.assign(this, { world, id, casting, yard, loaner });
    this.agent = new http.Agent({ keepAlive: true, maxSockets: 1 });
  }

  async start() {
    if (this.gone) return;
    await this.listen();
    if (this.gone) return;
    this.node = Math.floor(this.world.random() * this.world.binds.length);
    this.renewedAt = nowMs();
    this.leaseTimer = setInterval(() => this.checkLease(), 10);
    void this.reportLoop();
  }

  // Lease

  checkLease() {
    if (nowMs() - this.renewedAt <= this.world.times.lease_s * 1000) return;
    if (this.tasks.length > 0)
      this.world.note('lease expired', { bench: this.id, shift: this.shift });
    for (const task of this.tasks) this.end(task, 'halted', false);
    this.tasks = [];
    this.shift++;
    this.renewedAt = nowMs();
    this.noteChange();
  }

  // Reports

  noteChange() {
    this.changed = true;
  }

  report() {
    const { id, port, casting, yard, loaner, shift, hallmark } = this;
    return {
      ...{ bench: id, addr: `127.0.0.1:${port}`, casting, yard, loaner, shift },
      ...{ tally: ++this.tally, hallmark },
      recall_s: this.recallAt === null ? null : Math.max(0, (this.recallAt - nowMs()) / 1000),
      pieces: this.tasks.map(({ piece, pour, temper, cause, saved }) => ({
        ...{ piece, pour, temper },
        ...(cause === undefined ? {} : { cause }),
        ...(saved ? { saved: true } : {}),
      })),
    };
  }

  async reportLoop() {
    let due = nowMs();
    while (!this.gone) {
      await wait(20);
      const now = nowMs();
      if (this.hung) continue;
      const early = this.changed && now - this.lastReportAt >= MIN_GAP_MS;
      if (now < due && !early) continue;
      this.lastReportAt = now;
      this.changed = false;
      const ok = await this.sendReport(now);
      const { report_s } = this.world.times;
      const gap = report_s * 1000 * (0.75 + this.world.random() / 2);
      due = ok === 'moved' ? nowMs() : ok ? now + gap : nowMs() + 1000;
      if (ok === 'moved') this.lastReportAt = -Infinity;
    }
  }

  /** True: stays; 'moved': goes to another node at once; false: tries the next node later. */
  async sendReport(sentAt) {
    const { shift, world } = this;
    const body = this.report();
    this.lastReportBody = body;
    const reached = !this.mute && !this.cut && !world.isUnreachable?.(this, this.node);
    const answer = reached
      ? await ask(world.binds[this.node], 'POST', '/checkin', body, ANSWER_WAIT_MS, this.agent)
      : await wait(ANSWER_WAIT_MS).then(() => null);
    world.onReport?.(this, body);
    while (this.hung && !this.gone) await wait(20);
    if (this.gone) return true;
    const late = nowMs() - sentAt > ANSWER_WAIT_MS;
    if (answer === null || this.deaf || this.cut || late) {
      this.nextNode();
      return false;
    }
    if (answer.status === 200) {
      const { hallmark, orders } = answer.body;
      if (!Number.isInteger(hallmark) || hallmark < this.hallmark || shift !== this.shift)
        return true;
      if (hallmark > this.hallmark) this.noteChange();
      this.hallmark = hallmark;
      this.renewedAt = sentAt;
      this.execute(orders ?? [], 'answer');
      return true;
    }
    if (answer.status === 421) {
      const index = world.nodeNames.indexOf(answer.body.foreman);
      if (index >= 0 && index !== this.node) {
        this.moveTo(index);
        return 'moved';
      }
    }
    this.nextNode();
    return false;
  }

  moveTo(index) {
    this.agent.destroy();
    this.agent = new http.Agent({ keepAlive: true, maxSockets: 1 });
    this.node = index;
  }

  nextNode() {
    this.moveTo((this.node + 1) % this.world.binds.length);
  }

  // Direct commands

  async handleDirect(url, body) {
    if (this.gone) return null;
    if (url === '/do') {
      const delay = this.onDirect?.(body) ?? null;
      if (delay !== null || this.world.random() < this.lateCommandShare) {
        this.lateCommands++;
        const ms = delay ?? 2000 + this.world.random() * 14_000;
        setTimeout(() => void this.executeLate(body), ms).unref();
        return new Promise((resolve) => setTimeout(() => resolve(null), 60_000).unref());
      }
    }
    if (this.deaf) return new Promise((resolve) => setTimeout(() => resolve(null), 60_000).unref());
    while ((this.hung || this.cut) && !this.gone) await wait(20);
    if (this.gone) return null;
    if (url === '/status') return [200, this.report()];
    if (url !== '/do') return [404, {}];
    if (!Number.isInteger(body.hallmark) || !Number.isInteger(body.shift)) return [400, {}];
    if (!this.executeDirect(body, 'direct')) return [409, this.report()];
    this.onCarriedOut?.(body);
    return [200, this.report()];
  }

  /** A copy of a direct message arrives again, and nobody hears its answer. */
  deliverCopy(body) {
    this.world.note('copy of a direct message', { bench: this.id, body });
    const isCarriedOut = !this.gone && this.executeDirect(body, 'copy');
    this.world.note(isCarriedOut ? 'copy carried out' : 'copy refused', { bench: this.id });
  }

  async executeLate(body) {
    while ((this.hung || this.cut) && !this.gone) await wait(20);
    if (!this.gone) this.executeDirect(body, 'late');
  }

  executeDirect(body, how) {
    this.checkLease();
    if (body.hallmark < this.hallmark || body.shift !== this.shift) return false;
    if (body.hallmark > this.hallmark) this.noteChange();
    this.hallmark = body.hallmark;
    this.execute(body.orders ?? [], how);
    return true;
  }

  // Commands

  execute(orders, how) {
    for (const { verb, piece, pour, cooling_s } of orders) {
      const task = this.tasks.find((t) => t.piece === piece && t.pour === pour);
      this.world.note(verb, { bench: this.id, piece, pour, how, hallmark: this.hallmark });
      if (verb === 'start' && task === undefined) this.startTask(piece, pour, how);
      if (verb === 'kill' && task !== undefined && !isOver(task))
        this.stopTask(task, Number(cooling_s));
      if (verb === 'reap' && task !== undefined && isOver(task))
        this.tasks.splice(this.tasks.indexOf(task), 1);
    }
  }

  startTask(piece, pour, how) {
    const task = { piece, pour, temper: 'pulling', cause: undefined, saved: false, how };
    task.shift = this.shift;
    const cause = this.refusal(piece);
    this.tasks.push(task);
    this.noteChange();
    if (cause !== null) {
      task.temper = 'ended';
      task.cause = cause;
      return;
    }
    const { submission } = this.world.jobs.get(jobOf(piece));
    if (this.images.has(submission.mould)) this.imageThere(task);
    else {
      const ms = (submission.image_gb / this.world.machineType.pull_gb_per_s) * 1000;
      task.timer = setTimeout(
        () => void this.fetched(task),
        ms * (0.7 + this.world.random() * 0.6),
      );
    }
  }

  refusal(piece) {
    const { jobs, machineType } = this.world;
    const job = jobs.get(jobOf(piece));
    if (job === undefined || !(Number(piece.split('/')[1]) < job.submission.pieces))
      return 'no_such';
    const here = this.tasks.filter((t) => !isOver(t));
    if (here.some((t) => t.piece === piece)) return 'in_use';
    for (const [key, most] of [
      ['cores', machineType.cores],
      ['gpus', machineType.gpus],
      ['mem_gb', machineType.mem_gb],
    ]) {
      const used = here.reduce((sum, t) => sum + jobs.get(jobOf(t.piece)).submission[key], 0);
      if (used + job.submission[key] > most + 1e-9) return 'full';
    }
    return null;
  }

  async fetched(task) {
    while (this.hung && !this.gone) await wait(20);
    if (isOver(task) || this.gone || task.shift !== this.shift) return;
    this.images.add(this.world.jobs.get(jobOf(task.piece)).submission.mould);
    this.imageThere(task);
  }

  imageThere(task) {
    const { world } = this;
    const job = world.jobs.get(jobOf(task.piece));
    task.temper = job.submission.form === 'group' ? 'gathering' : 'running';
    world.checker.started(this, task);
    this.noteChange();
    if (this.sick || job.failsAfterS !== null) {
      const afterS = this.sick ? 0.3 : job.failsAfterS;
      task.timer = setTimeout(() => this.end(task, 'error'), afterS * 1000);
      return;
    }
    if (world.results.has(task.piece)) {
      this.end(task, 'done');
      return;
    }
    if (job.submission.form === 'group') {
      task.timer = setTimeout(() => {
        if (task.temper === 'gathering') this.end(task, 'alone');
      }, world.times.gang_wait_s * 1000);
      this.startGang(job, task.pour);
    } else if (job.submission.form === 'batch') this.runFor(task, job);
  }

  gang(ref, pour) {
    const found = [];
    for (const worker of this.world.workers.values())
      for (const task of worker.tasks)
        if (task.pour === pour && jobOf(task.piece) === ref) found.push({ worker, task });
    return found;
  }

  startGang(job, pour) {
    const waiting = this.gang(job.submission.ref, pour).filter(
      ({ task }) => task.temper === 'gathering',
    );
    if (waiting.length < job.submission.pieces) return;
    for (const { worker, task } of waiting) {
      clearTimeout(task.timer);
      task.temper = 'running';
      worker.noteChange();
      worker.runFor(task, job);
    }
  }

  runFor(task, job) {
    const saved =
      this.world.saved.get(job.submission.form === 'group' ? job.submission.ref : task.piece) ?? 0;
    task.runsSince = nowMs();
    task.timer = setTimeout(
      () => void this.complete(task),
      Math.max(0, job.runS - saved) * 1000 * this.slow,
    );
  }

  async complete(task) {
    while (this.hung && !this.gone) await wait(20);
    if (this.gone || isOver(task) || task.shift !== this.shift) return;
    this.checkLease();
    if (isOver(task)) return;
    const ref = jobOf(task.piece);
    const job = this.world.jobs.get(ref);
    if (job.submission.form === 'group') {
      const all = this.gang(ref, task.pour).filter((each) => each.task.temper === 'running');
      if (all.length < job.submission.pieces) return;
      for (let i = 0; i < job.submission.pieces; i++) this.world.results.add(`${ref}/${i}`);
      for (const each of all) each.worker.end(each.task, 'done');
      return;
    }
    this.world.results.add(task.piece);
    this.end(task, 'done');
  }

  stopTask(task, coolingS) {
    const { submission } = this.world.jobs.get(jobOf(task.piece));
    if (task.temper === 'flushing' && coolingS > 0) return;
    const saves = submission.stamp_s > 0 && coolingS >= submission.stamping_s;
    if (task.temper !== 'running' || !saves) {
      this.end(task, 'halted');
      return;
    }
    clearTimeout(task.timer);
    task.temper = 'flushing';
    this.noteChange();
    task.timer = setTimeout(() => {
      if (isOver(task) || this.gone) return;
      const ran = (nowMs() - task.runsSince) / 1000 - submission.stamping_s;
      const key = submission.form === 'group' ? null : task.piece;
      if (key !== null)
        this.world.saved.set(key, (this.world.saved.get(key) ?? 0) + Math.max(0, ran));
      task.saved = true;
      this.end(task, 'halted');
    }, submission.stamping_s * 1000);
  }

  end(task, cause, tellGang = true) {
    if (isOver(task)) return;
    clearTimeout(task.timer);
    const before = task.temper;
    task.temper = 'ended';
    task.cause = cause;
    if (cause === 'error') this.world.errors.push({ piece: task.piece, bench: this.id });
    this.world.note('ended', { bench: this.id, piece: task.piece, pour: task.pour, cause });
    this.noteChange();
    const job = this.world.jobs.get(jobOf(task.piece));
    if (
      job?.submission.form !== 'group' ||
      cause === 'done' ||
      before === 'gathering' ||
      before === 'pulling'
    )
      return;
    setTimeout(() => {
      for (const { worker, task: mate } of this.gang(job.submission.ref, task.pour))
        if (mate.temper === 'running') worker.end(mate, 'mates_gone');
    }, this.world.times.gang_peer_s * 500);
    void tellGang;
  }

  /** The machine is gone, with all that is on it. */
  terminate() {
    if (this.gone) return;
    for (const task of this.tasks) this.end(task, 'halted');
    this.gone = true;
    clearInterval(this.leaseTimer);
    this.tasks = [];
    this.agent.destroy();
    this.world.workers.delete(this.id);
    this.close();
  }
}
