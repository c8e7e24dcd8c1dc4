/** Simulated workers whose finite tasks make progress, save it, and continue from it on another machine. */
import type { JobSpec } from '../../src/jobs/types.js';
import type { TaskStatus } from '../../src/wire/workers.js';
import { settings } from '../helpers.js';
import { Fleet, Worker } from './simulated-fleet.js';

const { report_s: REPORT_S } = settings().workers;

/** What the simulation knows of a job beyond its specification. */
export interface Work {
  spec: JobSpec;
  /** Actual duration of each task in seconds; Infinity: a service. */
  workS: number;
  submittedAt: number;
  /** When its last task was done; null: it is not done yet. */
  doneAt: number | null;
  cancelled: boolean;
}

/** Simulates the progress of finite tasks; saved progress survives the loss of a machine. */
export class BatchFleet extends Fleet {
  readonly work = new Map<string, Work>();
  /** Seconds of work that are saved, by `job/index`. */
  readonly savedS = new Map<string, number>();
  readonly doneTasks = new Set<string>();
  /** Seconds of work that were done more than once. */
  repeatedS = 0;
  /** Machines that were removed permanently, and when. */
  readonly removedAt = new Map<string, number>();
  /** The outcome of saving. */
  saving: 'works' | 'never ends' | 'fails' = 'works';

  /** A worker whose tasks make progress. */
  protected override makeWorker(id: string, zone: string): Worker {
    return new BatchWorker(id, this, zone);
  }

  /** Removes a machine without notice. */
  kill(id: string): void {
    (this.workers.get(id) as BatchWorker | undefined)?.loseUnsaved();
    this.workers.delete(id);
    this.removedAt.set(id, this.now);
  }

  /** Records that a task is done; its job is done once all of its tasks are. */
  recordTaskDone(job: string, index: number): void {
    const work = this.work.get(job)!;
    this.doneTasks.add(`${job}/${index}`);
    const { kind, tasks } = work.spec;
    const isJobDone =
      kind === 'gang' || [...Array(tasks).keys()].every((i) => this.doneTasks.has(`${job}/${i}`));
    if (isJobDone) work.doneAt ??= this.now;
  }
}

interface TaskRun {
  progressS: number;
  /** When saving ends; Infinity: never; null: it is not saving. */
  savedAt: number | null;
}

class BatchWorker extends Worker {
  private readonly runs = new Map<TaskStatus, TaskRun>();
  private readonly batch: BatchFleet;

  constructor(id: string, fleet: BatchFleet, zone: string) {
    super(id, fleet, zone);
    this.batch = fleet;
  }

  /** Advances its tasks by a heartbeat interval; its lease may expire. */
  override tick(): void {
    for (const task of this.tasks.values()) this.advance(task);
    const before = [...this.tasks.values()];
    super.tick();
    if (this.tasks.size > 0) return;
    // Its lease has expired: unsaved progress is lost.
    for (const task of before) this.revertToCheckpoint(task);
  }

  /** Removes its tasks; their progress reverts to what is saved. */
  loseUnsaved(): void {
    for (const task of this.tasks.values()) this.revertToCheckpoint(task);
    this.tasks.clear();
  }

  private advance(task: TaskStatus): void {
    const work = this.batch.work.get(task.job);
    if (work === undefined || task.state === 'ended') return;
    const run = this.runs.get(task) ?? { progressS: this.saved(task), savedAt: null };
    this.runs.set(task, run);
    if (task.state === 'running' && work.workS < Infinity) {
      run.progressS += REPORT_S;
      if (run.progressS < work.workS) return;
      this.end(task, 'done');
      this.batch.recordTaskDone(task.job, task.index);
    } else if (run.savedAt === Infinity && this.batch.saving !== 'never ends') {
      run.savedAt = this.fleet.now + work.spec.saveS;
    } else if (run.savedAt !== null && this.fleet.now >= run.savedAt) this.finishSaving(task, run);
  }

  private finishSaving(task: TaskStatus, run: TaskRun): void {
    if (this.batch.saving === 'fails') {
      this.revertToCheckpoint(task);
    } else {
      this.batch.savedS.set(`${task.job}/${task.index}`, run.progressS);
      task.saved = true;
    }
    this.end(task, 'stopped');
  }

  private saved({ job, index }: TaskStatus): number {
    return this.batch.savedS.get(`${job}/${index}`) ?? 0;
  }

  /** Reverts a task's progress to its last checkpoint, which is at a multiple of the checkpoint interval. */
  private revertToCheckpoint(task: TaskStatus): void {
    const run = this.runs.get(task);
    const work = this.batch.work.get(task.job);
    if (run === undefined || work === undefined || work.workS === Infinity) return;
    this.runs.delete(task);
    if (task.state === 'ended') return;
    const { checkpointS } = work.spec;
    const checkpointedS =
      checkpointS > 0 ? Math.floor(run.progressS / checkpointS) * checkpointS : 0;
    const savedS = Math.max(checkpointedS, this.saved(task));
    this.batch.repeatedS += run.progressS - savedS;
    this.batch.savedS.set(`${task.job}/${task.index}`, savedS);
  }

  /** Stops a task; it saves first if the grace period is long enough. */
  protected override stop(task: TaskStatus, graceS: number): void {
    const work = this.batch.work.get(task.job);
    if (task.state === 'ended') return;
    const saves = work !== undefined && work.spec.checkpointS > 0 && graceS >= work.spec.saveS;
    if (task.state === 'saving' && graceS > 0) return;
    if (task.state === 'running' && saves) {
      task.state = 'saving';
      const run = this.runs.get(task) ?? { progressS: this.saved(task), savedAt: null };
      run.savedAt =
        this.batch.saving === 'never ends' ? Infinity : this.fleet.now + work.spec.saveS;
      this.runs.set(task, run);
      return;
    }
    this.revertToCheckpoint(task);
    this.end(task, 'stopped');
  }
}
