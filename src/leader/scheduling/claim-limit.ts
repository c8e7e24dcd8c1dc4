/** Limits the claims on a machine to what its stored record can name. */

import type { LiveJob } from '../../jobs/live-job.js';
import type { FreeCapacity } from '../../scheduler/bin-packing.js';
import { bytesWithoutImages, type ClaimForm } from '../../store/machine-record.js';
import { MAX_REPORTED_TASKS } from '../../wire/workers.js';
import type { Machine } from '../../workers/machine.js';
import { machineRecord, maxMachineRecordBytes } from '../writes/stored-machine.js';
import type { Term } from '../term/term.js';

/** Upper bound for one claim: a job's id, its attempt, the task and the separators. */
const MAX_CLAIM_BYTES = 64;
/** Upper bound, in the dense form, for one more task of a job that the record names already. */
const MAX_DENSE_TASK_BYTES = 8;
/** Usual upper bound for a record without claims and images. */
const BASE_BYTES = 512;

interface MeasuredRecord {
  changeCount: number;
  bytes: number;
}

/**
 * A machine's record names all claims on the machine and must fit into one value of the key-value
 * store. With tasks of a thousandth of a core a record exceeded that limit, and nothing could be stored
 * any more. The size of a record is computed only for machines with so many claims that they may not
 * fit, and again only after the machine has changed.
 */
export class ClaimLimit {
  private readonly measuredRecords = new Map<string, MeasuredRecord>();
  /** Machines whose record size has to be computed. */
  private readonly nearLimit = new Set<string>();
  private claimForm: ClaimForm = 'plain';
  private readonly maxBytes: number;

  constructor(private readonly term: Term) {
    this.maxBytes = maxMachineRecordBytes(term.context.settings);
  }

  /** Called when a scheduling cycle begins. */
  beginCycle(): void {
    const form: ClaimForm = this.term.context.allReadDenseRecords() ? 'dense' : 'plain';
    if (form !== this.claimForm) this.measuredRecords.clear();
    this.claimForm = form;
    if (this.measuredRecords.size > this.term.machines.size * 2) this.measuredRecords.clear();
    this.nearLimit.clear();
    for (const machine of this.term.machines.values()) this.noteClaimed(machine);
  }

  /** Called after a claim was added to a machine within a scheduling cycle. */
  noteClaimed(machine: Machine): void {
    if (!this.certainlyFits(machine.attempts.size + 1)) this.nearLimit.add(machine.id);
  }

  /** Whether a machine's record can name one more task of the job; for a gang, all tasks that fit there. */
  allows(job: LiveJob, capacity: FreeCapacity): boolean {
    // Fast path: called for each job and machine in every scheduling cycle.
    if (this.nearLimit.size === 0 && !job.isGang) return true;
    const machine = this.term.machines.get(capacity.id)!;
    const claimCount = machine.attempts.size;
    const added = job.isGang ? tasksThatFit(job, capacity) : 1;
    if (claimCount === 0 || this.certainlyFits(claimCount + added)) return true;
    if (claimCount + added > MAX_REPORTED_TASKS) return false;
    const bytesEach = this.claimForm === 'dense' ? MAX_DENSE_TASK_BYTES : MAX_CLAIM_BYTES;
    return this.recordBytes(machine) + MAX_CLAIM_BYTES + (added - 1) * bytesEach <= this.maxBytes;
  }

  private certainlyFits(claims: number): boolean {
    return claims <= MAX_REPORTED_TASKS && BASE_BYTES + claims * MAX_CLAIM_BYTES <= this.maxBytes;
  }

  private recordBytes(machine: Machine): number {
    const cached = this.measuredRecords.get(machine.id);
    if (cached?.changeCount === machine.changeCount) return cached.bytes;
    const bytes = bytesWithoutImages(machineRecord(this.term, machine), this.claimForm);
    this.measuredRecords.set(machine.id, { changeCount: machine.changeCount, bytes });
    return bytes;
  }
}

/** Number of a gang's tasks that fit into the free capacity of a machine; at least one. */
function tasksThatFit({ spec }: LiveJob, capacity: FreeCapacity): number {
  const cores = spec.cores > 0 ? capacity.cores / spec.cores : Infinity;
  const gpus = spec.gpus > 0 ? capacity.gpus / spec.gpus : Infinity;
  const memory = spec.memGb > 0 ? capacity.memGb / spec.memGb : Infinity;
  return Math.max(1, Math.min(spec.tasks, Math.floor(Math.min(cores, gpus, memory))));
}
