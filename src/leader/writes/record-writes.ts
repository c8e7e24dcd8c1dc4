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
interface Outcomes {
  /** It goes into a batch now. */
  begin(): void;
  /** It was carried out, with this revision. */
  stored(revision: number): void;
  /** It was not carried out, or that is not known. */
  failed(): void;
  /** What was read back after a commit whose outcome was open, or whose guard failed. */
  reread(item: KeyValue | null): void;
}

/** One record to be written, guarded by the revision that was known of it. */
export interface Write extends Outcomes {
  key: string;
  guard: number;
  op: Operation;
  /** Further changes of the same transaction, with their guards. */
  also: readonly GuardedOp[];
  /** What it takes in a request, about. */
  bytes: number;
}

/** A change of one record, and the revision that was known of it. */
export interface GuardedOp {
  key: string;
  guard: number;
  op: Operation;
}

const NOTHING = (): void => undefined;

const NONE: readonly GuardedOp[] = [];

function bytesOf({ key, op }: GuardedOp): number {
  const valueBytes = 'put' in op ? JSON.stringify(op.value).length : 0;
  return key.length * 2 + FRAME_BYTES + valueBytes;
}

function makeWrite(
  key: string,
  guard: number,
  op: Operation,
  outcomes: Outcomes,
  also = NONE,
): Write {
  const bytes = [{ key, guard, op }, ...also].reduce((sum, each) => sum + bytesOf(each), 0);
  return { key, guard, op, also, bytes, ...outcomes };
}

/** Makes the writes of a term's records. */
export class RecordWrites {
  /** The machine types are to be written. */
  typesDirty = false;
  private typesRevision: number | undefined;

  constructor(
    private readonly term: Term,
    private readonly clock: Clock,
  ) {}

  /** A machine's record: what may be on it. */
  machine(machine: Machine): Write {
    const { term } = this;
    const claims = machine.claims();
    const key = records.machineKey(machine.id);
    const returning = machine.state === 'returning';
    const token = machine.nextToken;
    const record = machineRecord(term, machine);
    const form = term.deps.denseRecords() ? 'dense' : 'plain';
    const value = records.encodeMachine(record, machineRecordBytes(term.deps.settings), form);
    return makeWrite(
      key,
      machine.recordRevision,
      { put: key, value },
      {
        begin: () => term.dirtyMachines.delete(machine.id),
        stored: (revision) => {
          machine.recordRevision = revision;
          machine.recordTerm = term.deps.token;
          machine.raiseToken(token);
          if (returning) machine.returnRecorded = true;
          for (const attempt of claims) term.stored(attempt);
        },
        failed: () => term.dirtyMachines.add(machine.id),
        reread: (item) => (machine.recordRevision = item?.revision ?? 0),
      },
    );
  }

  /** The done tasks of a chunk or part of a job. */
  progress(job: LiveJob, unit: number): Write {
    const key = job.progressKey(unit);
    const { progress } = job;
    const record = job.progressRecord(unit);
    const doneMs = record.bits === null ? { doneMs: this.term.deps.wallMs() } : {};
    const value = records.encodeProgress({ ...record, ...doneMs });
    const fresh = progress.unstored(unit);
    const stored = (revision: number): void => {
      progress.revisions.set(key, revision);
      for (const attempt of job.storedTasks(unit, fresh, this.clock.now())) {
        attempt.settled = true;
        this.term.urgent.add(attempt.machine);
      }
      if (job.finished && progress.dirty.size === 0) this.term.completed(job);
    };
    return makeWrite(
      key,
      progress.revisions.get(key) ?? 0,
      { put: key, value },
      {
        begin: NOTHING,
        stored,
        failed: NOTHING,
        reread: (item) => {
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
  removal(id: string, revision: number): Write {
    const key = records.machineKey(id);
    return makeWrite(
      key,
      revision,
      { remove: key },
      {
        begin: NOTHING,
        stored: () => this.term.removed(id, null),
        failed: NOTHING,
        reread: (item) => this.term.removed(id, item?.revision ?? null),
      },
    );
  }

  /** Records of a subsystem. */
  owned({ subsystem, write }: NamedWrite): Write {
    const prefix = records.subsystemPrefix(subsystem);
    const guarded = ({ key, revision, value }: OwnedChange): GuardedOp => {
      const whole = prefix + key;
      const op: Operation = value === null ? { remove: whole } : { put: whole, value };
      return { key: whole, guard: revision, op };
    };
    const { key, guard, op } = guarded(write);
    const outcomes: Outcomes = {
      begin: NOTHING,
      stored: (revision) => write.stored(revision),
      failed: NOTHING,
      reread: (item) =>
        write.reread(item === null ? null : { value: item.value, revision: item.revision }),
    };
    return makeWrite(key, guard, op, outcomes, write.also.map(guarded));
  }

  /** The machine types, for controllers that do not lead. */
  types(): Write {
    const value = records.encodeMachineTypes([...this.term.types.values()]);
    this.typesRevision ??= this.term.deps.replica.machineTypesRevision;
    return makeWrite(
      records.MACHINE_TYPES,
      this.typesRevision,
      { put: records.MACHINE_TYPES, value },
      {
        begin: NOTHING,
        stored: () => (this.typesDirty = false),
        failed: NOTHING,
        reread: (item) => (this.typesRevision = item?.revision ?? 0),
      },
    );
  }
}
