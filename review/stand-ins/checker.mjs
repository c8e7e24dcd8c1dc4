// The rules of the users' protocol, judged by what clients, workers and the cloud can see.
import { clearInterval, setInterval } from 'node:timers';
import { nowMs } from './base.mjs';
import { isOnMachine, jobOf } from './worker.mjs';

const POLL_MS = 20;
/** Allowance for the poll of the checker itself. */
const CHECK_MS = 100;

export class Checker {
  violations = [];
  starts = [];
  constructor(world) {
    this.world = world;
    this.timer = setInterval(() => this.checkCancelled(), POLL_MS);
  }

  add(rule, detail) {
    const text = `${rule}: ${detail}`;
    if (this.violations.includes(text)) return;
    this.violations.push(text);
    this.world.note('RULE BROKEN', { rule, detail });
  }

  *onMachines() {
    for (const worker of this.world.workers.values())
      for (const task of worker.tasks) if (isOnMachine(task)) yield { worker, task };
  }

  checkCancelled() {
    const now = nowMs();
    const limit = this.world.times.cancel_s * 1000 + CHECK_MS;
    for (const { worker, task } of this.onMachines()) {
      const told = this.world.jobs.get(jobOf(task.piece))?.cancelledAt ?? null;
      if (told !== null && now - told > limit)
        this.add(
          'ran_cancelled',
          `${task.piece} is on ${worker.id} though its user was told ${((now - told) / 1000).toFixed(1)} s ago`,
        );
    }
  }

  started(worker, task) {
    const { piece } = task;
    const ref = jobOf(piece);
    const job = this.world.jobs.get(ref);
    const { submission } = job;
    const now = nowMs();
    this.starts.push({ piece, at: now, bench: worker.id, how: task.how });
    this.world.note('task on machine', { bench: worker.id, piece, pour: task.pour, how: task.how });
    const others = [...this.onMachines()].filter((each) => each.task !== task);
    for (const other of others)
      if (other.task.piece === piece)
        this.add('ran_twice', `${piece} started on ${worker.id} while on ${other.worker.id}`);
    const sum = { gpus: 0, cores: 0 };
    for (const { task: t } of [...others, { task }]) {
      const s = this.world.jobs.get(jobOf(t.piece)).submission;
      if (s.crew !== submission.crew) continue;
      sum.gpus += s.gpus;
      sum.cores += s.cores;
    }
    const team = this.world.teams.get(submission.crew);
    if (team.gpus_max > 0 && sum.gpus > team.gpus_max + 1e-9)
      this.add('quota', `${submission.crew} uses ${sum.gpus} GPUs of ${team.gpus_max}`);
    const zones = others.filter((o) => jobOf(o.task.piece) === ref).map((o) => o.worker.yard);
    const here = zones.filter((zone) => zone === worker.yard).length;
    if (
      (submission.castings !== null && !submission.castings.includes(worker.casting)) ||
      (submission.yard !== null && submission.yard !== worker.yard) ||
      (worker.loaner && !submission.loaner) ||
      (submission.one_zone && here < zones.length) ||
      (submission.scatter && here + 1 > Math.ceil(submission.pieces / 2))
    )
      this.add('wrong_place', `${piece} on ${worker.id}`);
    for (const needed of submission.awaits ?? [])
      if (!this.isComplete(needed)) this.add('too_early', `${piece} before ${needed}`);
    if (job.cancelledAt !== null) {
      const afterS = (now - job.cancelledAt) / 1000;
      this.world.note('start after a confirmed cancellation', { piece, afterS, how: task.how });
      if (afterS > this.world.times.cancel_s)
        this.add(
          'ran_cancelled',
          `${piece} started ${afterS.toFixed(1)} s after its user was told`,
        );
      else if (afterS > 0.6 && task.how !== 'late')
        this.add(
          'started_cancelled',
          `${piece} started ${afterS.toFixed(1)} s after, by ${task.how}`,
        );
    }
  }

  isComplete(ref) {
    const { submission } = this.world.jobs.get(ref);
    for (let i = 0; i < submission.pieces; i++)
      if (!this.world.results.has(`${ref}/${i}`)) return false;
    return true;
  }

  before(ref) {
    const job = this.world.jobs.get(ref);
    return { accepted: job?.accepted ?? false, final: job?.final ?? null };
  }

  withNeeded(ref, all = new Set()) {
    if (all.has(ref)) return all;
    all.add(ref);
    for (const needed of this.world.jobs.get(ref)?.submission.awaits ?? [])
      this.withNeeded(needed, all);
    return all;
  }

  /** `before`: what users had been told when the request was sent. */
  answered(kind, ref, before, status, state) {
    const job = this.world.jobs.get(ref);
    const refusals = kind === 'submit' ? [400, 422] : [404];
    if (before.accepted && refusals.includes(status)) this.add('forgotten', `${ref} got ${status}`);
    if (status !== 200 && status !== 201) return;
    if (job === undefined) {
      this.add('invented', ref);
      return;
    }
    const now = nowMs();
    job.accepted = true;
    const chain = [...this.withNeeded(ref)].map((r) => this.world.jobs.get(r));
    if (state === 'cancelled' && !chain.some((each) => each.cancelAsked))
      this.add('went_back', `${ref} is called cancelled, nobody asked for it`);
    if (state === 'done' && !this.isComplete(ref)) this.add('not_done', ref);
    if (state === 'queued' || state === 'running') {
      const told = Math.min(...chain.map((each) => each.cancelledAt ?? Infinity));
      if (now - told > this.world.times.cancel_s * 1000 + CHECK_MS) this.add('orphaned', ref);
    }
    const final = state === 'done' || state === 'cancelled' ? state : null;
    const known = final === null ? before.final : job.final;
    if (known !== null && known !== state) this.add('went_back', `${ref}: ${known}, then ${state}`);
    if (final !== null && job.final === null) job.final = final;
    if (state === 'cancelled' && job.cancelledAt === null) {
      job.cancelledAt = now;
      this.world.note('told cancelled', { ref });
    }
  }

  close() {
    clearInterval(this.timer);
  }
}
