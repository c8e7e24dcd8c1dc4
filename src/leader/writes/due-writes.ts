/** What of a term is to be written now, and in which order. */

import type { Clock } from '../../clock.js';
import type { LiveJob } from '../../jobs/live-job.js';
import type { Machine } from '../../workers/machine.js';
import type { ActiveSubsystems } from '../../subsystems/active-subsystems.js';
import type { RecordWrites, RecordWrite } from './record-writes.js';
import type { Term } from '../term/term.js';

/** 0 to 3: claims of that priority; the ends of jobs go with the highest. */
const URGENT = 0;
const SOON = 4;
/** Urgency from which on a write can wait. */
export const LATER = 5;
/** Records of subsystems go after all others, but for those that somebody waits for. */
const SUBSYSTEMS = 6;
/** A record of done tasks is written at most once in so many seconds while it grows. */
const PROGRESS_GAP_S = 1;

/** A record that is to be written. */
export interface DueWrite {
  /** The lowest goes first; what has `LATER` or more can wait. */
  urgency: number;
  /** Puts and deletes that it takes; missing: one. */
  operations?: number;
  /** Encodes the record as it is at this moment. */
  encode(): RecordWrite;
}

/** Looks through a term for what is to be written. */
export class DueWrites {
  constructor(
    private readonly term: Term,
    private readonly writes: RecordWrites,
    private readonly clock: Clock,
    private readonly subsystems: ActiveSubsystems,
  ) {}

  /** What there is to write, in the order of urgency. */
  collect(): DueWrite[] {
    const { term, writes } = this;
    const now = this.clock.now();
    const due: DueWrite[] = [];
    for (const job of term.jobs.values()) this.addProgress(job, now, due);
    for (const id of term.machinesToWrite) {
      const machine = term.machines.get(id);
      if (machine === undefined) term.machinesToWrite.delete(id);
      else this.addMachine(machine, due);
    }
    for (const [id, revision] of term.recordRemovals) {
      due.push({ urgency: LATER, encode: () => writes.removalWrite(id, revision) });
    }
    if (writes.machineTypesDirty) due.push({ urgency: SOON, encode: () => writes.machineTypes() });
    for (const write of this.subsystems.dueWrites()) {
      const operations = 1 + write.write.alsoChanges.length;
      const urgency = write.write.urgent === true ? URGENT : SUBSYSTEMS;
      due.push({ urgency, operations, encode: () => writes.subsystemRecord(write) });
    }
    return due.sort((due, entry) => due.urgency - entry.urgency);
  }

  private addProgress(job: LiveJob, now: number, due: DueWrite[]): void {
    const { dirty, dirtySince } = job.progress;
    if (dirty.size === 0 || job.cancelled) return;
    const urgent = job.isFinished;
    if (!urgent && now - (dirtySince ?? now) < PROGRESS_GAP_S) return;
    for (const unit of dirty) {
      const encode = (): RecordWrite => this.writes.progressWrite(job, unit);
      due.push({ urgency: urgent ? URGENT : SOON, encode });
    }
  }

  private addMachine(machine: Machine, due: DueWrite[]): void {
    const claiming = this.highestClaimPriority(machine);
    const encode = (): RecordWrite => this.writes.machineWrite(machine);
    if (claiming !== null) due.push({ urgency: claiming, encode });
    else if (machine.state === 'returning') due.push({ urgency: SOON, encode });
    else if (machine.recordRevision === 0 && machine.attempts.size === 0)
      this.term.machinesToWrite.delete(machine.id);
    // Claims too many are safe; they are dropped with the next write, or when there is time.
    else due.push({ urgency: LATER, encode });
  }

  /** The highest priority among the claims on a machine that wait for being stored. */
  private highestClaimPriority(machine: Machine): number | null {
    let best: number | null = null;
    for (const attempt of machine.attempts.values()) {
      if (attempt.state !== 'claiming') continue;
      const priority = this.term.jobs.get(attempt.job)?.spec.priority ?? SOON - 1;
      if (best === null || priority < best) best = priority;
    }
    return best;
  }
}
