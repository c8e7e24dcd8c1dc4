/** Simulated workers on faulty machines, and tasks of jobs that were submitted with a mistake. */
import type { Command, TaskStatus } from '../../src/wire/workers.js';
import { attemptKey } from '../../src/workers/attempt.js';
import { Fleet, Worker } from './simulated-fleet.js';

/** A worker that fails tasks: those of mistaken jobs, and all that it starts while its machine is faulty. */
class FailingWorker extends Worker {
  /** Seconds after which the machine fails each task that it starts; null: it is sound. */
  failsAfterS: number | null = null;
  /** How many starts the machine has failed because it was faulty. */
  wastedStarts = 0;
  private readonly runs = new Map<string, { startedAt: number; machineFailsAfterS: number }>();

  constructor(
    id: string,
    private readonly failingFleet: FailingFleet,
    zone: string,
  ) {
    super(id, failingFleet, zone);
  }

  /** Also ends the tasks that fail or are done by now. */
  override tick(): void {
    super.tick();
    for (const task of this.tasks.values()) if (task.state !== 'ended') this.advance(task);
  }

  /** The machine works again; what it has started before does not fail any more either. */
  endFaults(): void {
    this.failsAfterS = null;
    for (const run of this.runs.values()) run.machineFailsAfterS = Infinity;
  }

  /** Records a start: only what it starts while it is faulty fails. */
  started({ job, index, attempt }: Command): void {
    const run = { startedAt: this.fleet.now, machineFailsAfterS: this.failsAfterS ?? Infinity };
    this.runs.set(attemptKey(job, index, attempt), run);
  }

  private advance(task: TaskStatus): void {
    const run = this.runs.get(attemptKey(task.job, task.index, task.attempt))!;
    const ranS = this.fleet.now - run.startedAt;
    const { failsAfterS, runS } = this.failingFleet;
    if (ranS >= run.machineFailsAfterS) {
      this.wastedStarts++;
      this.end(task, 'error');
    } else if (ranS >= (failsAfterS.get(task.job) ?? Infinity)) this.end(task, 'error');
    else if (ranS >= (runS.get(task.job) ?? Infinity)) this.end(task, 'done');
  }
}

/** A fleet whose tasks fail or are done after a while. */
export class FailingFleet extends Fleet {
  /** Seconds after which tasks of jobs with a mistake fail on every machine, by job. */
  readonly failsAfterS = new Map<string, number>();
  /** Seconds after which tasks of a finite job are done, by job. */
  readonly runS = new Map<string, number>();

  /** A worker that may be faulty. */
  protected override makeWorker(id: string, zone: string): Worker {
    return new FailingWorker(id, this, zone);
  }

  /** See `Fleet.noteStart`. */
  override noteStart(on: Worker, command: Command): void {
    super.noteStart(on, command);
    (on as FailingWorker).started(command);
  }

  /** Adds a machine. */
  override add(id: string, zone = 'z1'): FailingWorker {
    return super.add(id, zone) as FailingWorker;
  }

  /** One of the machines. */
  worker(id: string): FailingWorker {
    return this.workers.get(id) as FailingWorker;
  }
}
