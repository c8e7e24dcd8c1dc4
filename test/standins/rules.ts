import type { Json } from './http.js';
import { occupies, type Task, type Worker } from './worker.js';

/** What a user submits, with the field names of the protocol. */
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

/** A submitted job, as workers and the rule checker know it. */
export interface Job {
  submission: Submission;
  /** How long each task runs. */
  runS: number;
  accepted: boolean;
  /** The final state that a user was answered. */
  final: string | null;
  cancelAsked: boolean;
  /** When the cancellation was first confirmed to a user. */
  cancelledAt: number | null;
  /** Indexes of the tasks that completed. */
  completed: Set<number>;
}

/** The state of a job that users had been answered when a request was sent; the answer may not be older. */
export interface ReportedState {
  accepted: boolean;
  final: string | null;
}

/** Kinds of users' requests. */
export type RequestKind = 'submit' | 'poll' | 'cancel';

/** Limits that the rules refer to. */
export interface Limits {
  cancelS: number;
  /** GPUs that each team's tasks may use. */
  teams: Map<string, number>;
  /** GPUs of the largest machine. */
  machineGpus: number;
}

const CHECK_INTERVAL_MS = 20;
/** Allowance for the interval between checks and for late answers and timers. */
const TOLERANCE_MS = 100;
/** A start may still be in flight for this long after the cancellation was confirmed. */
const IN_FLIGHT_MS = 500;

const isComplete = ({ completed, submission }: Job): boolean => completed.size >= submission.pieces;
const jobIdOf = (piece: string): string => piece.slice(0, piece.lastIndexOf('/'));
const indexOf = (piece: string): number => Number(piece.slice(piece.lastIndexOf('/') + 1));

/** Checks every observable rule of the protocol, in all tests. */
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
  private readonly timer = setInterval(() => this.checkCancelled(), CHECK_INTERVAL_MS);

  constructor(private readonly limits: Limits) {}

  /** Stops the periodic checks. */
  close(): void {
    clearInterval(this.timer);
  }

  private addViolation(rule: string, what: string): void {
    const violation = `${rule}: ${what}`;
    if (!this.violations.includes(violation)) this.violations.push(violation);
  }

  /** All tasks that occupy machines, with their workers. */
  private *occupying(): Generator<{ worker: Worker; task: Task }> {
    for (const worker of this.workers.values())
      for (const task of worker.tasks) if (occupies(task)) yield { worker, task };
  }

  // Tasks

  private checkCancelled(): void {
    for (const { worker, task } of this.occupying()) {
      const at = this.jobs.get(jobIdOf(task.piece))?.cancelledAt ?? Infinity;
      const elapsedMs = Date.now() - at;
      if (elapsedMs <= this.limits.cancelS * 1000 + TOLERANCE_MS) continue;
      this.addViolation('ran_cancelled', `${task.piece} on ${worker.id}`);
    }
  }

  /** Checks the start of a task. `isDelayed`: the network delayed the command, so a late start is not a violation. */
  noteStart(worker: Worker, task: Task, isDelayed: boolean): void {
    const { piece } = task;
    this.starts.set(piece, (this.starts.get(piece) ?? 0) + 1);
    this.startLog.push({ piece, machine: worker.id, at: Date.now() });
    const others = [...this.occupying()].filter((other) => other.worker !== worker);
    if (others.some((other) => other.task.piece === piece)) this.addViolation('ran_twice', piece);
    const job = this.jobs.get(jobIdOf(piece))!;
    this.checkQuota(job.submission.crew);
    this.checkPlace(worker, job.submission);
    if (!this.dependenciesOf(job).every((needed) => isComplete(needed)))
      this.addViolation('too_early', piece);
    const late = Date.now() - (job.cancelledAt ?? Infinity);
    if (late > IN_FLIGHT_MS && !isDelayed) this.addViolation('started_cancelled', piece);
  }

  private checkQuota(team: string): void {
    let used = 0;
    for (const { task } of this.occupying()) {
      const { crew, gpus } = this.jobs.get(jobIdOf(task.piece))!.submission;
      if (crew === team) used += gpus;
    }
    if (used > (this.limits.teams.get(team) ?? 0))
      this.addViolation('quota', `${team} uses ${used}`);
  }

  private checkPlace(worker: Worker, submission: Submission): void {
    const { ref, castings, yard, loaner, one_zone, scatter, pieces } = submission;
    const zones = [...this.occupying()]
      .filter((other) => jobIdOf(other.task.piece) === ref)
      .map((other) => other.worker.zone);
    const here = zones.filter((zone) => zone === worker.zone).length;
    const wrong =
      (castings !== null && !castings.includes(worker.type)) ||
      (yard !== null && yard !== worker.zone) ||
      (worker.spot && !loaner) ||
      (one_zone && here < zones.length) ||
      (scatter && here > Math.ceil(pieces / 2));
    if (wrong) this.addViolation('wrong_place', `${ref} on ${worker.id}`);
  }

  /** Records that a task completed. */
  noteCompletion(piece: string): void {
    const { completed, submission } = this.jobs.get(jobIdOf(piece))!;
    completed.add(indexOf(piece));
    // A gang completes together.
    if (submission.form === 'group') for (let i = 0; i < submission.pieces; i++) completed.add(i);
  }

  // Users

  /** The state of a job that users have been answered so far. */
  reportedState(ref: string): ReportedState {
    const job = this.jobs.get(ref);
    return { accepted: job?.accepted ?? false, final: job?.final ?? null };
  }

  /** Checks the answer to a request; `before` is the reported state when the request was sent. */
  checkAnswer(
    question: RequestKind,
    ref: string,
    before: ReportedState,
    status: number,
    state: string,
  ): void {
    const refusals = question === 'submit' ? [400, 422] : [404];
    if (before.accepted && refusals.includes(status))
      this.addViolation('forgotten', `${ref} ${status}`);
    if (status !== 200 && status !== 201) return;
    const job = this.jobs.get(ref);
    if (job === undefined) {
      this.addViolation('invented', ref);
      return;
    }
    if (!job.accepted && !this.canRun(job.submission)) this.addViolation('cannot_run', ref);
    job.accepted = true;
    const behind = this.withDependencies(job);
    if (state === 'cancelled' && !behind.some((one) => one.cancelAsked))
      this.addViolation('went_back', `${ref} not asked`);
    if (state === 'queued' || state === 'running') this.checkOrphaned(ref, behind);
    if (state === 'done' && job.completed.size < job.submission.pieces)
      this.addViolation('not_done', ref);
    const final = state === 'done' || state === 'cancelled' ? state : null;
    const known = final === null ? before.final : job.final;
    if (known !== null && known !== state)
      this.addViolation('went_back', `${ref} ${known}, ${state}`);
    job.final ??= final;
    if (final === 'cancelled') job.cancelledAt ??= Date.now();
  }

  /** The direct dependencies of a job. */
  private dependenciesOf({ submission }: Job): Job[] {
    return (submission.awaits ?? []).flatMap((ref) => this.jobs.get(ref) ?? []);
  }

  /** A job with its direct and transitive dependencies. */
  private withDependencies(job: Job): Job[] {
    const all = new Set([job]);
    for (const one of all) for (const needed of this.dependenciesOf(one)) all.add(needed);
    return [...all];
  }

  private checkOrphaned(ref: string, jobs: Job[]): void {
    const cancelledAt = Math.min(...jobs.map((one) => one.cancelledAt ?? Infinity));
    if (Date.now() - cancelledAt > this.limits.cancelS * 1000 + TOLERANCE_MS)
      this.addViolation('orphaned', ref);
  }

  private canRun({ crew, form, gpus, pieces, guild }: Submission): boolean {
    const limit = this.limits.teams.get(crew) ?? 0;
    const together = form === 'batch' ? 1 : pieces;
    return guild !== undefined && gpus <= this.limits.machineGpus && gpus * together <= limit;
  }
}
