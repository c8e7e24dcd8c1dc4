/** Whether a machine's record can name more claims. */

import type { LiveJob } from '../../jobs/live-job.js';
import type { FreeCapacity } from '../../scheduler/bin-packing.js';
import { bytesWithoutImages, type ClaimForm } from '../../store/machine-record.js';
import { MAX_REPORTED_TASKS } from '../../wire/workers.js';
import type { Machine } from '../../workers/machine.js';
import { machineRecord, machineRecordBytes } from '../writes/stored-machine.js';
import type { Term } from '../term/term.js';

/** A claim takes no more than so many bytes: a job's id, its attempt, the task and what is between. */
const MAX_CLAIM_BYTES = 64;
/** In the dense form, one more task of a job that the record names already. */
const MAX_DENSE_TASK_BYTES = 8;
/** A record without claims and images takes no more than so many bytes, as a rule. */
const BASE_BYTES = 512;

interface MeasuredRecord {
  changeCount: number;
  bytes: number;
}

/**
 * A machine's record names all claims on it and may not outgrow a value of the store. With tasks of a
 * thousandth of a core one did, and nothing could be stored any more. Bytes are counted only on machines
 * that hold so many claims that it may matter, and anew only after a change.
 */
export class ClaimLimit {
  private readonly measuredRecords = new Map<string, MeasuredRecord>();
  /** Machines whose bytes have to be counted. */
  private readonly nearLimit = new Set<string>();
  private claimForm: ClaimForm = 'plain';
  private readonly maxBytes: number;

  constructor(private readonly term: Term) {
    this.maxBytes = machineRecordBytes(term.context.settings);
  }

  /** A scheduling cycle begins. */
  beginCycle(): void {
    const form: ClaimForm = this.term.context.allReadDenseRecords() ? 'dense' : 'plain';
    if (form !== this.claimForm) this.measuredRecords.clear();
    this.claimForm = form;
    if (this.measuredRecords.size > this.term.machines.size * 2) this.measuredRecords.clear();
    this.nearLimit.clear();
    for (const machine of this.term.machines.values()) this.noteClaimed(machine);
  }

  /** A claim was added to a machine, in a scheduling cycle. */
  noteClaimed(machine: Machine): void {
    if (!this.certainlyFits(machine.attempts.size + 1)) this.nearLimit.add(machine.id);
  }

  /** Whether a task of the job, or of a gang all that fit there, can be claimed on a machine. */
  allows(job: LiveJob, capacity: FreeCapacity): boolean {
    // Asked for each job and machine of each scheduling cycle: as a rule this is all.
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

/** Tasks of a gang that fit into what is free on a machine; at least one. */
function tasksThatFit({ spec }: LiveJob, capacity: FreeCapacity): number {
  const cores = spec.cores > 0 ? capacity.cores / spec.cores : Infinity;
  const gpus = spec.gpus > 0 ? capacity.gpus / spec.gpus : Infinity;
  const memory = spec.memGb > 0 ? capacity.memGb / spec.memGb : Infinity;
  return Math.max(1, Math.min(spec.tasks, Math.floor(Math.min(cores, gpus, memory))));
}
