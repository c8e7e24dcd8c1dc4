/** The features file: which subsystems a controller switches on, and their configuration. */

import { createHash } from 'node:crypto';
import { readFileSync } from 'node:fs';
import { parse } from 'smol-toml';
import * as v from 'valibot';
import type { Settings } from '../config/settings.js';
import type { FeaturesFileRecord } from '../store/records.js';
import { lendingSchema, toLendingConfig, type LendingConfig } from '../lending/declaration.js';
import { checkPools } from '../warm-pools/check.js';
import { toConfig, warmPoolsSchema, type WarmPoolsConfig } from '../warm-pools/declaration.js';

/** One table for each subsystem; a subsystem without a table is off. */
const schema = v.strictObject({
  warm_pools: v.optional(warmPoolsSchema),
  lending: v.optional(lendingSchema),
});

/** Hexadecimal digits of a file's hash that controllers exchange. */
const HASH_DIGITS = 16;

/** A features file after validation. */
export interface Features {
  /** Identifies the contents of the file; layout and comments do not affect it. */
  hash: string;
  /** Null: off. */
  warmPools: WarmPoolsConfig | null;
  /** Null: off. */
  lending: LendingConfig | null;
}

/** An invalid features file; the message names the key and what was expected there. */
export class FeaturesError extends Error {}

/** Parses and checks a features file. Throws FeaturesError. `nowMs`: schedules are checked from this time of day on. */
export function parseFeatures(text: string, settings: Settings, nowMs: number): Features {
  let raw: unknown;
  try {
    raw = parse(text);
  } catch (error) {
    throw new FeaturesError(`not valid TOML: ${(error as Error).message.split('\n')[0]}`);
  }
  const result = v.safeParse(schema, raw);
  if (!result.success) {
    const issue = result.issues[0];
    const problem = issue.expected === 'never' ? 'unknown key' : issue.message;
    throw new FeaturesError(`${v.getDotPath(issue) ?? 'file'}: ${problem}`);
  }
  const { warm_pools: table, lending } = result.output;
  const warmPools = table === undefined ? null : toConfig(table);
  if (warmPools !== null) {
    const wrong = checkPools(warmPools, settings, nowMs);
    if (wrong !== null) throw new FeaturesError(`warm_pools.${wrong.key}: ${wrong.problem}`);
  }
  return {
    hash: hashOf(result.output),
    warmPools,
    lending: lending === undefined ? null : toLendingConfig(lending),
  };
}

/** Reads, parses and checks a features file. Throws FeaturesError. */
export function loadFeatures(file: string, settings: Settings, nowMs: number): Features {
  let text: string;
  try {
    text = readFileSync(file, 'utf8');
  } catch (error) {
    throw new FeaturesError(
      `cannot be read: ${(error as NodeJS.ErrnoException).code ?? String(error)}`,
    );
  }
  return parseFeatures(text, settings, nowMs);
}

/** The part of a version record that describes the file to other controllers. */
export function featuresRecord({ hash, warmPools, lending }: Features): FeaturesFileRecord {
  const subsystems = [];
  if (warmPools !== null) subsystems.push('warm-pools');
  if (lending !== null) subsystems.push('lending');
  return { hash, subsystems };
}

function hashOf(contents: unknown): string {
  const text = JSON.stringify(contents);
  return createHash('sha256').update(text).digest('hex').slice(0, HASH_DIGITS);
}
