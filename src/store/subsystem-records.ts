/** A copy of the records that subsystems store, by subsystem. The values are opaque here. */

import * as records from './records.js';

/** A value and the revision of its latest change. */
export interface StoredValue {
  value: unknown;
  revision: number;
}

const NO_RECORDS: ReadonlyMap<string, StoredValue> = new Map();

/** Records of all subsystems, by subsystem and key. */
export class SubsystemRecords {
  private readonly bySubsystem = new Map<string, Map<string, StoredValue>>();

  /** The records of one subsystem by key without its prefix: a live view, not a copy. */
  forSubsystem(subsystem: string): ReadonlyMap<string, StoredValue> {
    return this.bySubsystem.get(subsystem) ?? NO_RECORDS;
  }

  /** Applies a put, unless the record has this revision or a later one. */
  put(key: string, value: unknown, revision: number): void {
    const { subsystem, rest } = splitKey(key);
    let ofSubsystem = this.bySubsystem.get(subsystem);
    if (ofSubsystem === undefined) {
      ofSubsystem = new Map();
      this.bySubsystem.set(subsystem, ofSubsystem);
    }
    if ((ofSubsystem.get(rest)?.revision ?? -1) >= revision) return;
    ofSubsystem.set(rest, { value, revision });
  }

  /** Applies a removal, unless the record has this revision or a later one. */
  remove(key: string, revision: number): void {
    const { subsystem, rest } = splitKey(key);
    const ofSubsystem = this.bySubsystem.get(subsystem);
    const old = ofSubsystem?.get(rest);
    if (ofSubsystem !== undefined && old !== undefined && old.revision < revision)
      ofSubsystem.delete(rest);
  }

  /** Full keys of all records, with their prefixes. */
  keys(): string[] {
    return [...this.bySubsystem].flatMap(([subsystem, ofSubsystem]) =>
      [...ofSubsystem.keys()].map((rest) => records.subsystemPrefix(subsystem) + rest),
    );
  }
}

function splitKey(key: string): { subsystem: string; rest: string } {
  const name = key.slice(records.SUBSYSTEMS.length);
  const slash = name.indexOf('/');
  return { subsystem: name.slice(0, slash), rest: name.slice(slash + 1) };
}
