import type { Json } from './http.js';
import { occupies, type Task, type Worker } from './worker.js';

/** What a user submits, in the words of the protocol. */
export interface Submission extends Json {
  ref: string;
  crew: string;
  form: string;
  pieces: number;
  gpus: number;
  castings: string[] | null;
  yard: string | null;
  one_zone: boolean;
  scatter: boolean;
  loaner: boolean;
  awaits?: string[] | null;
}

/** A submission as workers and rules know it. */
export interface Job {
  submission: Submission;
  /** How long each task runs. */
  runS: number;
  accepted: boolean;
  /** The final state that a user was told. */
  final: string | null;
  cancelAsked: boolean;
  /** When a user was first told that it is cancelled. */
  cancelledAt: number | null;
  /** Numbers of the tasks that completed. */
  completed: Set<number>;
}

/** What had been told of a job when a question was sent: no answer to it may be older. */
export interface Told {
  accepted: boolean;
  final: string | null;
}

/** What users ask of a controller. */
export type Question = 'submit' | 'poll' | 'cancel';

/** Bounds that the rules name. */
export interface Limits {
  cancelS: number;
  /** GPUs that each team's tasks may use. */
  teams: Map<string, number>;
  /** GPUs of the largest machine. */
  machineGpus: number;
}

const WATCH_MS = 20;
/** Tasks are looked at so often; answers and timers are late by as much. */
const SLACK_MS = 100;
/** A command may have been on its way when a user was told that the job is cancelled. */
const ON_THE_WAY_MS = 500;

const isComplete = ({ completed, submission }: Job): boolean => completed.size >= submission.pieces;
const nameOf = (piece: string): string => piece.slice(0, piece.lastIndexOf('/'));
const indexOf = (piece: string): number => Number(piece.slice(piece.lastIndexOf('/') + 1));

/** Watches every rule of the protocol that can be seen, whatever a test is about. */
export class RuleChecker {
  readonly violations: string[] = [];
  readonly jobs = new Map<string, Job>();
  readonly workers = new Map<string, Worker>();
  /** Starts of each task. */
  readonly starts = new Map<string, number>();
  /** All starts, when and where; times in ms. */
  readonly startLog: { piece: string; machine: string; at: number }[] = [];
  /** Seconds of work that tasks have saved. */
  readonly savedS = new Map<string, number>();
  private readonly timer = setInterval(() => this.watchCancelled(), WATCH_MS);

  constructor(private readonly limits: Limits) {}

  /** Stops looking. */
  close(): void {
    clearInterval(this.timer);
  }

  private broken(rule: string, what: string): void {
    const violation = `${rule}: ${what}`;
    if (!this.violations.includes(violation)) this.violations.push(violation);
  }

  /** All tasks that take room, with their machines. */
  private *occupying(): Generator<{ worker: Worker; task: Task }> {
    for (const worker of this.workers.values())
      for (const task of worker.tasks) if (occupies(task)) yield { worker, task };
  }

  // Tasks

  private watchCancelled(): void {
    for (const { worker, task } of this.occupying()) {
      const at = this.jobs.get(nameOf(task.piece))?.cancelledAt ?? Infinity;
      const lived = Date.now() - at;
      if (lived <= this.limits.cancelS * 1000 + SLACK_MS) continue;
      this.broken('ran_cancelled', `${task.piece} on ${worker.id}`);
    }
  }

  /** `heldUp`: the command was on its way for long, through no fault of its sender. */
  started(worker: Worker, task: Task, heldUp: boolean): void {
    const { piece } = task;
    this.starts.set(piece, (this.starts.get(piece) ?? 0) + 1);
    this.startLog.push({ piece, machine: worker.id, at: Date.now() });
    const others = [...this.occupying()].filter((other) => other.worker !== worker);
    if (others.some((other) => other.task.piece === piece)) this.broken('ran_twice', piece);
    const job = this.jobs.get(nameOf(piece))!;
    this.checkQuota(job.submission.crew);
    this.checkPlace(worker, job.submission);
    if (!this.needed(job).every((needed) => isComplete(needed))) this.broken('too_early', piece);
    const late = Date.now() - (job.cancelledAt ?? Infinity);
    if (late > ON_THE_WAY_MS && !heldUp) this.broken('started_cancelled', piece);
  }

  private checkQuota(team: string): void {
    let used = 0;
    for (const { task } of this.occupying()) {
      const { crew, gpus } = this.jobs.get(nameOf(task.piece))!.submission;
      if (crew === team) used += gpus;
    }
    if (used > (this.limits.teams.get(team) ?? 0)) this.broken('quota', `${team} uses ${used}`);
  }

  private checkPlace(worker: Worker, submission: Submission): void {
    const { ref, castings, yard, loaner, one_zone, scatter, pieces } = submission;
    const zones = [...this.occupying()]
      .filter((other) => nameOf(other.task.piece) === ref)
      .map((other) => other.worker.zone);
    const here = zones.filter((zone) => zone === worker.zone).length;
    const wrong =
      (castings !== null && !castings.includes(worker.type)) ||
      (yard !== null && yard !== worker.zone) ||
      (worker.spot && !loaner) ||
      (one_zone && here < zones.length) ||
      (scatter && here > Math.ceil(pieces / 2));
    if (wrong) this.broken('wrong_place', `${ref} on ${worker.id}`);
  }

  /** A task was done for its last time. */
  completed(piece: string): void {
    const { completed, submission } = this.jobs.get(nameOf(piece))!;
    completed.add(indexOf(piece));
    // A gang completes together.
    if (submission.form === 'group') for (let i = 0; i < submission.pieces; i++) completed.add(i);
  }

  // Users

  /** What users were told of a job so far. */
  told(ref: string): Told {
    const job = this.jobs.get(ref);
    return { accepted: job?.accepted ?? false, final: job?.final ?? null };
  }

  /** An answer to a question; `before` is what had been told when the question was sent. */
  answered(question: Question, ref: string, before: Told, status: number, state: string): void {
    const refusals = question === 'submit' ? [400, 422] : [404];
    if (before.accepted && refusals.includes(status)) this.broken('forgotten', `${ref} ${status}`);
    if (status !== 200 && status !== 201) return;
    const job = this.jobs.get(ref);
    if (job === undefined) {
      this.broken('invented', ref);
      return;
    }
    if (!job.accepted && !this.canRun(job.submission)) this.broken('cannot_run', ref);
    job.accepted = true;
    const behind = this.behind(job);
    if (state === 'cancelled' && !behind.some((one) => one.cancelAsked))
      this.broken('went_back', `${ref} not asked`);
    if (state === 'queued' || state === 'running') this.checkOrphaned(ref, behind);
    if (state === 'done' && job.completed.size < job.submission.pieces)
      this.broken('not_done', ref);
    const final = state === 'done' || state === 'cancelled' ? state : null;
    const known = final === null ? before.final : job.final;
    if (known !== null && known !== state) this.broken('went_back', `${ref} ${known}, ${state}`);
    job.final ??= final;
    if (final === 'cancelled') job.cancelledAt ??= Date.now();
  }

  /** The jobs that a job names. */
  private needed({ submission }: Job): Job[] {
    return (submission.awaits ?? []).flatMap((ref) => this.jobs.get(ref) ?? []);
  }

  /** A job and all that it needs, directly or through others. */
  private behind(job: Job): Job[] {
    const all = new Set([job]);
    for (const one of all) for (const needed of this.needed(one)) all.add(needed);
    return [...all];
  }

  private checkOrphaned(ref: string, behind: Job[]): void {
    const cancelledAt = Math.min(...behind.map((one) => one.cancelledAt ?? Infinity));
    if (Date.now() - cancelledAt > this.limits.cancelS * 1000 + SLACK_MS)
      this.broken('orphaned', ref);
  }

  private canRun({ crew, form, gpus, pieces, guild }: Submission): boolean {
    const limit = this.limits.teams.get(crew) ?? 0;
    const together = form === 'batch' ? 1 : pieces;
    return guild !== undefined && gpus <= this.limits.machineGpus && gpus * together <= limit;
  }
}
