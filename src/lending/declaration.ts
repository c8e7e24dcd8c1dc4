/** The lending configuration that operators declare: the table `lending` of the features file. */

import * as v from 'valibot';

const positive = v.pipe(v.number(), v.finite(), v.gtValue(0, 'expected a number above 0'));
const count = v.pipe(v.number(), v.integer('expected a whole number'), v.minValue(1));

/** Upper bound of open loans; the design is untested above it. */
const MAX_OPEN_LOANS = 500;

/** The table `lending` of the features file. */
export const lendingSchema = v.strictObject({
  /** Maximum number of open loans; beyond it, tasks are preempted without a loan. */
  max_open: v.optional(v.pipe(count, v.maxValue(MAX_OPEN_LOANS)), MAX_OPEN_LOANS),
  /** Maximum number of recalls in progress. */
  recalls_at_once: v.optional(count, 4),
  /** Lower bound of the factor by which estimates are raised. */
  least_margin: v.optional(v.pipe(v.number(), v.finite(), v.minValue(1)), 1),
  /** How long ended loans stay visible. */
  keep_ended_s: v.optional(positive, 3600),
});

/** The validated lending configuration. */
export interface LendingConfig {
  maxOpen: number;
  recallsAtOnce: number;
  leastMargin: number;
  keepEndedS: number;
}

/** Converts a validated table to the configuration. */
export function toLendingConfig(table: v.InferOutput<typeof lendingSchema>): LendingConfig {
  return {
    maxOpen: table.max_open,
    recallsAtOnce: table.recalls_at_once,
    leastMargin: table.least_margin,
    keepEndedS: table.keep_ended_s,
  };
}
