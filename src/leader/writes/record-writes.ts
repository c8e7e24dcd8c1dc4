/** Writes of single records of a term: their operations, and how the outcome of a commit is handled. */

import type { Clock } from '../../clock.js';
import type { LiveJob } from '../../jobs/live-job.js';
import * as records from '../../store/records.js';
import type { NamedWrite } from '../../subsystems/active-subsystems.js';
import type { OwnedChange } from '../../subsystems/subsystem.js';
import type { KeyValue, Operation } from '../../wire/key-value-store.js';
import type { Machine } from '../../workers/machine.js';
import { machineRecord, maxMachineRecordBytes } from './stored-machine.js';
import type { Term } from '../term/term.js';

/** Bytes of a write in a request in addition to its value and its key, which occurs twice. */
const OPERATION_OVERHEAD_BYTES = 100;
/** Handlers of the outcome of a write. */
interface WriteOutcomes {
  /** Called when it is added to a batch. */
  started(): void;
  /** It was committed at this revision. */
  onStored(revision: number): void;
  /** It was not committed, or the outcome is unknown. */
  failed(): void;
  /** Takes the item that was read back after a commit with an unknown outcome or a failed guard. */
  onReadBack(item: KeyValue | null): void;
}

/** A write of one record, guarded by its last known revision. */
export interface RecordWrite extends WriteOutcomes {
  key: string;
  expectedRevision: number;
  operation: Operation;
  /** Further changes in the same transaction, with their guards. */
  alsoOperations: readonly GuardedOperation[];
  /** Approximate size in a request. */
  bytes: number;
}

/** A change of one record, and its last known revision. */
export interface GuardedOperation {
  key: string;
  expectedRevision: number;
  operation: Operation;
}

const NO_OP = (): void => undefined;

const NO_OPERATIONS: readonly GuardedOperation[] = [];

function bytesOf({ key, operation }: GuardedOperation): number {
  const valueBytes = 'put' in operation ? JSON.stringify(operation.value).length : 0;
  return key.length * 2 + OPERATION_OVERHEAD_BYTES + valueBytes;
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
  /** Whether the machine types have to be written. */
  machineTypesDirty = false;
  private machineTypesRevision: number | undefined;

  constructor(
    private readonly term: Term,
    private readonly clock: Clock,
  ) {}

  /** Writes a machine's record, with the claims of all attempts that may be on it. */
  machineWrite(machine: Machine): RecordWrite {
    const { term } = this;
    const claims = machine.claims();
    const key = records.machineKey(machine.id);
    const returning = machine.state === 'returning';
    const record = machineRecord(term, machine);
    const form = term.context.allReadDenseRecords() ? 'dense' : 'plain';
    const value = records.encodeMachine(record, maxMachineRecordBytes(term.context.settings), form);
    return recordWrite(
      key,
      machine.recordRevision,
      { put: key, value },
      {
        started: () => term.machinesToWrite.delete(machine.id),
        onStored: (revision) => {
          machine.recordRevision = revision;
          machine.recordTerm = term.context.token;
          if (returning) machine.returnRecorded = true;
          for (const attempt of claims) term.claimStored(attempt, revision);
        },
        failed: () => term.machinesToWrite.add(machine.id),
        onReadBack: (item) => (machine.recordRevision = item?.revision ?? 0),
      },
    );
  }

  /** Writes the done tasks of one chunk or part of a job. */
  progressWrite(job: LiveJob, unit: number): RecordWrite {
    const key = job.progressKey(unit);
    const { progress } = job;
    const record = job.progressRecord(unit);
    const doneMs = record.bits === null ? { doneMs: this.term.timeOfDay.nowMs() } : {};
    const value = records.encodeProgress({ ...record, ...doneMs });
    const newlyDone = progress.unstoredTasks(unit);
    const onStored = (revision: number): void => {
      progress.revisions.set(key, revision);
      for (const attempt of job.tasksStored(unit, newlyDone, this.clock.now())) {
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
        onStored,
        failed: NO_OP,
        onReadBack: (item) => {
          // It was stored: writing it again would give "done" a later revision, so that a cancellation in between
          // would count as the earlier one. The attained time may differ by now, so only the done tasks are compared.
          const bits = item === null ? undefined : records.decodeProgress(item.value).bits;
          if (item !== null && (bits === null || bits === records.decodeProgress(value).bits)) {
            onStored(item.revision);
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
        onStored: () => this.term.recordRemoved(id, null),
        failed: NO_OP,
        onReadBack: (item) => this.term.recordRemoved(id, item?.revision ?? null),
      },
    );
  }

  /** Writes records of a subsystem. */
  subsystemRecord({ subsystem, write }: NamedWrite): RecordWrite {
    const prefix = records.subsystemPrefix(subsystem);
    const guarded = ({ key, revision, value }: OwnedChange): GuardedOperation => {
      const fullKey = prefix + key;
      const operation: Operation = value === null ? { remove: fullKey } : { put: fullKey, value };
      return { key: fullKey, expectedRevision: revision, operation };
    };
    const { key, expectedRevision, operation: op } = guarded(write);
    const outcomes: WriteOutcomes = {
      started: NO_OP,
      onStored: (revision) => write.onStored(revision),
      failed: NO_OP,
      onReadBack: (item) =>
        write.onReadBack(item === null ? null : { value: item.value, revision: item.revision }),
    };
    return recordWrite(key, expectedRevision, op, outcomes, write.alsoChanges.map(guarded));
  }

  /** Writes the machine types, which the other controllers read. */
  machineTypes(): RecordWrite {
    const value = records.encodeMachineTypes([...this.term.machineTypes.values()]);
    this.machineTypesRevision ??= this.term.context.replica.machineTypesRevision;
    return recordWrite(
      records.MACHINE_TYPES,
      this.machineTypesRevision,
      { put: records.MACHINE_TYPES, value },
      {
        started: NO_OP,
        onStored: () => (this.machineTypesDirty = false),
        failed: NO_OP,
        onReadBack: (item) => (this.machineTypesRevision = item?.revision ?? 0),
      },
    );
  }
}
