/** What operators declare of lending: the table `lending` of the features file. */

import * as v from 'valibot';

const positive = v.pipe(v.number(), v.finite(), v.gtValue(0, 'expected a number above 0'));
const count = v.pipe(v.number(), v.integer('expected a whole number'), v.minValue(1));

/** The design was measured up to so many open loans. */
const MAX_OPEN_LOANS = 500;

/** The table `lending` of the features file. */
export const lendingSchema = v.strictObject({
  /** Open loans at a time; beyond it capacity is made without a promise. */
  max_open: v.optional(v.pipe(count, v.maxValue(MAX_OPEN_LOANS)), MAX_OPEN_LOANS),
  /** Recalls under way at a time. */
  recalls_at_once: v.optional(count, 4),
  /** The least factor by which estimates are raised. */
  least_margin: v.optional(v.pipe(v.number(), v.finite(), v.minValue(1)), 1),
  /** How long loans that are over stay to be looked at. */
  keep_ended_s: v.optional(positive, 3600),
});

/** What operators declare of lending, as the program uses it. */
export interface LendingConfig {
  maxOpen: number;
  recallsAtOnce: number;
  leastMargin: number;
  keepEndedS: number;
}

/** The configuration of a validated table. */
export function toLendingConfig(table: v.InferOutput<typeof lendingSchema>): LendingConfig {
  return {
    maxOpen: table.max_open,
    recallsAtOnce: table.recalls_at_once,
    leastMargin: table.least_margin,
    keepEndedS: table.keep_ended_s,
  };
}
