/** Writes of single records of a term: what goes into a commit, and what its outcome means. */

import type { Clock } from '../../clock.js';
import type { LiveJob } from '../../jobs/live-job.js';
import * as records from '../../store/records.js';
import type { NamedWrite } from '../../subsystems/active-subsystems.js';
import type { OwnedChange } from '../../subsystems/subsystem.js';
import type { KeyValue, Operation } from '../../wire/key-value-store.js';
import type { Machine } from '../../workers/machine.js';
import { machineRecord, machineRecordBytes } from './stored-machine.js';
import type { Term } from '../term/term.js';

/** What a write takes in a request beside its value and its key, which is there twice; in bytes. */
const FRAME_BYTES = 100;
/** What follows from the outcome of a write. */
interface WriteOutcomes {
  /** It goes into a batch now. */
  started(): void;
  /** It was carried out, with this revision. */
  stored(revision: number): void;
  /** It was not carried out, or that is not known. */
  failed(): void;
  /** What was read back after a commit whose outcome was open, or whose guard failed. */
  readBack(item: KeyValue | null): void;
}

/** One record to be written, guarded by the revision that was known of it. */
export interface RecordWrite extends WriteOutcomes {
  key: string;
  expectedRevision: number;
  operation: Operation;
  /** Further changes of the same transaction, with their guards. */
  alsoOperations: readonly GuardedOperation[];
  /** What it takes in a request, about. */
  bytes: number;
}

/** A change of one record, and the revision that was known of it. */
export interface GuardedOperation {
  key: string;
  expectedRevision: number;
  operation: Operation;
}

const NO_OP = (): void => undefined;

const NO_OPERATIONS: readonly GuardedOperation[] = [];

function bytesOf({ key, operation }: GuardedOperation): number {
  const valueBytes = 'put' in operation ? JSON.stringify(operation.value).length : 0;
  return key.length * 2 + FRAME_BYTES + valueBytes;
}

function recordWrite(
  key: string,
  expectedRevision: number,
  operation: Operation,
  outcomes: WriteOutcomes,
  alsoOperations = NO_OPERATIONS,
): RecordWrite {
  const own: GuardedOperation = { key, expectedRevision, operation };
  const bytes = [own, ...alsoOperations].reduce((sum, each) => sum + bytesOf(each), 0);
  return { key, expectedRevision, operation, alsoOperations, bytes, ...outcomes };
}

/** Makes the writes of a term's records. */
export class RecordWrites {
  /** The machine types are to be written. */
  machineTypesDirty = false;
  private machineTypesRevision: number | undefined;

  constructor(
    private readonly term: Term,
    private readonly clock: Clock,
  ) {}

  /** A machine's record: what may be on it. */
  machineWrite(machine: Machine): RecordWrite {
    const { term } = this;
    const claims = machine.claims();
    const key = records.machineKey(machine.id);
    const returning = machine.state === 'returning';
    const record = machineRecord(term, machine);
    const form = term.context.allReadDenseRecords() ? 'dense' : 'plain';
    const value = records.encodeMachine(record, machineRecordBytes(term.context.settings), form);
    return recordWrite(
      key,
      machine.recordRevision,
      { put: key, value },
      {
        started: () => term.machinesToWrite.delete(machine.id),
        stored: (revision) => {
          machine.recordRevision = revision;
          machine.recordTerm = term.context.token;
          if (returning) machine.returnRecorded = true;
          for (const attempt of claims) term.claimStored(attempt, revision);
        },
        failed: () => term.machinesToWrite.add(machine.id),
        readBack: (item) => (machine.recordRevision = item?.revision ?? 0),
      },
    );
  }

  /** The done tasks of a chunk or part of a job. */
  progressWrite(job: LiveJob, unit: number): RecordWrite {
    const key = job.progressKey(unit);
    const { progress } = job;
    const record = job.progressRecord(unit);
    const doneMs = record.bits === null ? { doneMs: this.term.timeOfDay.nowMs() } : {};
    const value = records.encodeProgress({ ...record, ...doneMs });
    const fresh = progress.unstoredTasks(unit);
    const stored = (revision: number): void => {
      progress.revisions.set(key, revision);
      for (const attempt of job.tasksStored(unit, fresh, this.clock.now())) {
        attempt.settled = true;
        this.term.machinesToCommand.add(attempt.machine);
      }
      if (job.isFinished && progress.dirty.size === 0) this.term.jobCompleted(job);
    };
    return recordWrite(
      key,
      progress.revisions.get(key) ?? 0,
      { put: key, value },
      {
        started: NO_OP,
        stored,
        failed: NO_OP,
        readBack: (item) => {
          // Stored after all: writing it again would make "done" younger than it is, and a
          // cancellation in between would seem to have come first.
          // The time attained may differ by now: what is done decides.
          const bits = item === null ? undefined : records.decodeProgress(item.value).bits;
          if (item !== null && (bits === null || bits === records.decodeProgress(value).bits)) {
            stored(item.revision);
          } else progress.revisions.set(key, item?.revision ?? 0);
        },
      },
    );
  }

  /** Removes the record of a machine that is gone. */
  removalWrite(id: string, revision: number): RecordWrite {
    const key = records.machineKey(id);
    return recordWrite(
      key,
      revision,
      { remove: key },
      {
        started: NO_OP,
        stored: () => this.term.recordRemoved(id, null),
        failed: NO_OP,
        readBack: (item) => this.term.recordRemoved(id, item?.revision ?? null),
      },
    );
  }

  /** Records of a subsystem. */
  subsystemRecord({ subsystem, write }: NamedWrite): RecordWrite {
    const prefix = records.subsystemPrefix(subsystem);
    const guarded = ({ key, revision, value }: OwnedChange): GuardedOperation => {
      const whole = prefix + key;
      const operation: Operation = value === null ? { remove: whole } : { put: whole, value };
      return { key: whole, expectedRevision: revision, operation };
    };
    const { key, expectedRevision, operation: op } = guarded(write);
    const outcomes: WriteOutcomes = {
      started: NO_OP,
      stored: (revision) => write.stored(revision),
      failed: NO_OP,
      readBack: (item) =>
        write.readBack(item === null ? null : { value: item.value, revision: item.revision }),
    };
    return recordWrite(key, expectedRevision, op, outcomes, write.alsoChanges.map(guarded));
  }

  /** The machine types, for controllers that do not lead. */
  machineTypes(): RecordWrite {
    const value = records.encodeMachineTypes([...this.term.machineTypes.values()]);
    this.machineTypesRevision ??= this.term.context.replica.machineTypesRevision;
    return recordWrite(
      records.MACHINE_TYPES,
      this.machineTypesRevision,
      { put: records.MACHINE_TYPES, value },
      {
        started: NO_OP,
        stored: () => (this.machineTypesDirty = false),
        failed: NO_OP,
        readBack: (item) => (this.machineTypesRevision = item?.revision ?? 0),
      },
    );
  }
}
