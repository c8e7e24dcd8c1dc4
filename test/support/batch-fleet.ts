/** Workers whose finite tasks make progress, save it, and go on from it on another machine. */
import type { JobSpec } from '../../src/jobs/types.js';
import type { TaskStatus } from '../../src/wire/workers.js';
import { settings } from '../helpers.js';
import { Fleet, Worker } from './simulated-fleet.js';

const { report_s: REPORT_S } = settings().workers;

/** What the stand-ins know of a job beyond what its owner says. */
export interface Work {
  spec: JobSpec;
  /** Seconds that each task takes in truth; Infinity: a service. */
  workS: number;
  submittedAt: number;
  /** When its last task was done; null: it is not. */
  doneAt: number | null;
  cancelled: boolean;
}

/** Progress of finite tasks, which outlives their machines where it was saved. */
export class BatchFleet extends Fleet {
  readonly work = new Map<string, Work>();
  /** Seconds of work that are saved, by `job/index`. */
  readonly savedS = new Map<string, number>();
  readonly doneTasks = new Set<string>();
  /** Seconds of work that were done more than once. */
  repeatedS = 0;
  /** Machines that were taken away for good, and when. */
  readonly removedAt = new Map<string, number>();
  /** How saving goes. */
  saving: 'works' | 'never ends' | 'fails' = 'works';

  /** A worker whose tasks make progress. */
  protected override makeWorker(id: string, zone: string): Worker {
    return new BatchWorker(id, this, zone);
  }

  /** The machine is gone from one moment to the next. */
  kill(id: string): void {
    (this.workers.get(id) as BatchWorker | undefined)?.loseUnsaved();
    this.workers.delete(id);
    this.removedAt.set(id, this.now);
  }

  /** A task is done; its job is, once all are. */
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
  /** When it will have saved; null: it is not saving. */
  savedAt: number | null;
}

class BatchWorker extends Worker {
  private readonly runs = new Map<TaskStatus, TaskRun>();
  private readonly batch: BatchFleet;

  constructor(id: string, fleet: BatchFleet, zone: string) {
    super(id, fleet, zone);
    this.batch = fleet;
  }

  /** Its tasks go on by a heartbeat interval; its lease may expire. */
  override tick(): void {
    for (const task of this.tasks.values()) this.advance(task);
    const before = [...this.tasks.values()];
    super.tick();
    if (this.tasks.size > 0) return;
    // Its lease has expired: what was not saved is lost.
    for (const task of before) this.revertToCheckpoint(task);
  }

  /** Its tasks fall back to what is saved. */
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

  /** To the last checkpoint, which is at a multiple of the interval. */
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

  /** Saves first if there is time for it. */
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
