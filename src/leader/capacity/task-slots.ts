/** How many tasks a machine may take, however small they are. */

import { claimBytes, bytesWithoutImages, type ClaimForm } from '../../store/machine-record.js';
import { MAX_REPORTED_TASKS } from '../../wire/workers.js';
import type { Machine } from '../../workers/machine.js';
import { machineRecord, maxMachineRecordBytes } from '../writes/stored-machine.js';
import type { Term } from '../term/term.js';

/** Upper bound for a claim of any job: its id, its attempt, the task and the separators. */
const MAX_CLAIM_BYTES = 64;
/** Usual upper bound for a record without claims and images. */
const BASE_BYTES = 512;
/** Factor by which attempt numbers may exceed the token of the term: tasks that ended are counted on from there. */
const ATTEMPT_NUMBER_MARGIN = 10;

interface MeasuredRecord {
  changeCount: number;
  form: ClaimForm;
  bytes: number;
}

/**
 * A worker reports all tasks on its machine in one request, and the machine's record names them in one value of the
 * key-value store. Both are limited in size, so a machine takes only so many tasks: with tasks of a thousandth of a core a
 * record exceeded its limit, and nothing could be stored any more. Ended tasks count until the worker has forgotten them.
 */
export class TaskSlots {
  private readonly measuredRecords = new Map<string, MeasuredRecord>();
  private claimForm: ClaimForm = 'plain';
  /** Upper bound for a claim of the present jobs. */
  private maxClaimBytes = MAX_CLAIM_BYTES;
  private readonly maxRecordBytes: number;

  constructor(
    private readonly term: Term,
    /** Most tasks that a scheduling cycle places. */
    private readonly maxTasksPerCycle: number,
  ) {
    this.maxRecordBytes = maxMachineRecordBytes(term.context.settings);
  }

  /** Called when a scheduling cycle begins. */
  beginCycle(): void {
    const { context, machines } = this.term;
    this.claimForm = context.allReadDenseRecords() ? 'dense' : 'plain';
    this.maxClaimBytes = claimBytes(this.longestClaim(), this.claimForm);
    if (this.measuredRecords.size > machines.size * 2) this.measuredRecords.clear();
  }

  private longestClaim(): { job: string; index: number; attempt: number } {
    const { context, jobs } = this.term;
    let job = '';
    let tasks = 1;
    for (const { spec } of jobs.values()) {
      if (spec.id.length > job.length) job = spec.id;
      tasks = Math.max(tasks, spec.tasks);
    }
    return { job, index: tasks, attempt: context.token * ATTEMPT_NUMBER_MARGIN };
  }

  /** Tasks that an empty machine takes. */
  ofEmptyMachine(): number {
    return Math.max(1, Math.min(MAX_REPORTED_TASKS, this.claimsIn(BASE_BYTES)));
  }

  /**
   * Tasks that a machine may take in addition. A record's size is computed only where a scheduling cycle could exceed the
   * limit, and again only after the machine has changed.
   */
  freeOn(machine: Machine): number {
    const claims = machine.attempts.size;
    if (claims === 0) return this.ofEmptyMachine();
    const reportable = Math.max(0, MAX_REPORTED_TASKS - claims);
    const certain = this.claimsIn(BASE_BYTES + claims * MAX_CLAIM_BYTES);
    if (certain >= Math.min(reportable, this.maxTasksPerCycle))
      return Math.min(reportable, certain);
    return Math.min(reportable, this.claimsIn(this.recordBytes(machine)));
  }

  /** Claims that can be added to a record of this size. */
  private claimsIn(recordBytes: number): number {
    return Math.max(0, Math.floor((this.maxRecordBytes - recordBytes) / this.maxClaimBytes));
  }

  private recordBytes(machine: Machine): number {
    const { claimForm: form } = this;
    const cached = this.measuredRecords.get(machine.id);
    if (cached?.changeCount === machine.changeCount && cached.form === form) return cached.bytes;
    const bytes = bytesWithoutImages(machineRecord(this.term, machine), form);
    this.measuredRecords.set(machine.id, { changeCount: machine.changeCount, form, bytes });
    return bytes;
  }
}
