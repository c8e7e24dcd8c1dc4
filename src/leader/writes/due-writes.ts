/** Determines which records of a term are due to be written, and in which order. */

import type { Clock } from '../../clock.js';
import type { LiveJob } from '../../jobs/live-job.js';
import type { Machine } from '../../workers/machine.js';
import type { ActiveSubsystems } from '../../subsystems/active-subsystems.js';
import type { RecordWrites, RecordWrite } from './record-writes.js';
import type { Term } from '../term/term.js';

/** Urgencies 0 to 3 are for claims of that priority; the last progress of a finished job has urgency 0 too. */
const URGENT = 0;
const SOON = 4;
/** Urgency from which a write can be deferred. */
export const LATER = 5;
/** Records of subsystems are written after all others, except urgent ones. */
const SUBSYSTEM_RECORDS = 6;
/** Minimum seconds between two writes of a growing record of done tasks. */
const PROGRESS_WRITE_GAP_S = 1;

/** A record that has to be written. */
export interface DueWrite {
  /** The lowest is written first; from `LATER` on, a write can be deferred. */
  urgency: number;
  /** Number of puts and deletes; missing: one. */
  operations?: number;
  /** Encodes the present state of the record. */
  encode(): RecordWrite;
}

/** Collects the due writes of a term. */
export class DueWrites {
  constructor(
    private readonly term: Term,
    private readonly writes: RecordWrites,
    private readonly clock: Clock,
    private readonly subsystems: ActiveSubsystems,
  ) {}

  /** All due writes, most urgent first. */
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
      const urgency = write.write.urgent === true ? URGENT : SUBSYSTEM_RECORDS;
      due.push({ urgency, operations, encode: () => writes.subsystemRecord(write) });
    }
    return due.sort((a, b) => a.urgency - b.urgency);
  }

  private addProgress(job: LiveJob, now: number, due: DueWrite[]): void {
    const { dirty, dirtySince } = job.progress;
    if (dirty.size === 0 || job.cancelled) return;
    const urgent = job.isFinished;
    if (!urgent && now - (dirtySince ?? now) < PROGRESS_WRITE_GAP_S) return;
    for (const unit of dirty) {
      const encode = (): RecordWrite => this.writes.progressWrite(job, unit);
      due.push({ urgency: urgent ? URGENT : SOON, encode });
    }
  }

  private addMachine(machine: Machine, due: DueWrite[]): void {
    const claimPriority = this.highestClaimPriority(machine);
    const encode = (): RecordWrite => this.writes.machineWrite(machine);
    if (claimPriority !== null) due.push({ urgency: claimPriority, encode });
    else if (machine.state === 'returning') due.push({ urgency: SOON, encode });
    else if (machine.recordRevision === 0 && machine.attempts.size === 0)
      this.term.machinesToWrite.delete(machine.id);
    // Obsolete claims in a record are safe; they are removed with the next write, which can be deferred.
    else due.push({ urgency: LATER, encode });
  }

  /** The highest priority among the claims on a machine that are not stored yet; null: there are none. */
  private highestClaimPriority(machine: Machine): number | null {
    let highest: number | null = null;
    for (const attempt of machine.attempts.values()) {
      if (attempt.state !== 'claiming') continue;
      const priority = this.term.jobs.get(attempt.job)?.spec.priority ?? SOON - 1;
      if (highest === null || priority < highest) highest = priority;
    }
    return highest;
  }
}
