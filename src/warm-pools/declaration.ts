/** The operators' declaration of warm pools: the table `warm_pools` of the features file. */

import * as v from 'valibot';

const positive = v.pipe(v.number(), v.finite(), v.gtValue(0, 'expected a number above 0'));
const amount = v.pipe(v.number(), v.finite(), v.minValue(0, 'expected a number, 0 or more'));
const count = v.pipe(v.number(), v.integer('expected a whole number'), v.minValue(1));
const shortText = v.pipe(v.string(), v.minLength(1), v.maxLength(200));
/** Appears in keys of the store. */
const poolName = v.pipe(
  v.string(),
  v.regex(/^[a-z0-9][a-z0-9-]{0,59}$/, 'expected up to 60 small letters, digits and hyphens'),
);

const pool = v.strictObject({
  name: poolName,
  image: shortText,
  image_gb: positive,
  cores: amount,
  gpus: amount,
  mem_gb: amount,
  types: v.optional(v.pipe(v.array(shortText), v.minLength(1)), undefined),
  zones: v.optional(v.pipe(v.array(shortText), v.minLength(1)), undefined),
  slots: count,
  schedule: shortText,
  time_zone: shortText,
  hold_s: positive,
  ahead_s: v.optional(amount, 0),
  team: shortText,
  precedence: v.optional(v.pipe(v.number(), v.integer()), 0),
  refills: v.optional(v.pipe(v.number(), v.integer(), v.minValue(0)), 0),
  budget: v.optional(positive, undefined),
  budget_period: v.optional(v.picklist(['day', 'month']), 'day'),
  on_exhausted: v.optional(v.picklist(['release', 'keep', 'alarm']), 'release'),
  lend: v.optional(v.boolean(), false),
});

/** The table `warm_pools` of the features file. */
export const warmPoolsSchema = v.pipe(
  v.strictObject({
    loader: v.optional(v.picklist(['worker-cache', 'model-server']), 'worker-cache'),
    model_server_port: v.optional(v.pipe(count, v.maxValue(65535)), undefined),
    keep_bill_days: v.optional(count, 400),
    pools: v.optional(v.array(pool), []),
  }),
  v.check(
    (table) => table.loader !== 'model-server' || table.model_server_port !== undefined,
    'model_server_port: expected a port, since loader is "model-server"',
  ),
);

type Table = v.InferOutput<typeof warmPoolsSchema>;

/** Resources that one replica takes. */
export interface ReplicaShape {
  cores: number;
  gpus: number;
  memGb: number;
}

/** What happens to a pool whose budget for a period is spent. */
export type ExhaustionPolicy =
  /** Its idle slots are released, and none are added in this period. */
  | 'release'
  /** Slots that have a machine stay until their burst is over; none are added. */
  | 'keep'
  /** Only an alarm is raised. */
  | 'alarm';

/** A pool as operators declare it. */
export interface PoolDeclaration {
  name: string;
  image: string;
  imageGb: number;
  shape: ReplicaShape;
  /** Allowed machine types and zones; null: any. */
  types: readonly string[] | null;
  zones: readonly string[] | null;
  /** Number of replicas for which a warm slot is ready when a burst begins. */
  slots: number;
  /** Cron expression of the starts of bursts, evaluated in `timeZone`. */
  schedule: string;
  timeZone: string;
  /** Seconds for which unused slots stay after a burst begins. */
  holdS: number;
  /** Minimum lead time of slots, in seconds. */
  aheadS: number;
  /** The team that pays for idle time. */
  team: string;
  /** Pools with a higher value get capacity first. */
  precedence: number;
  /** Number of used slots that may be replaced during a burst. */
  refills: number;
  /** Limit of the money for idle time in a period; null: no limit. */
  budget: number | null;
  budgetPeriod: 'day' | 'month';
  onExhausted: ExhaustionPolicy;
  /** Whether short best-effort work may use a slot until shortly before the burst. */
  lend: boolean;
}

/** Configuration of warm pools, converted from the table. */
export interface WarmPoolsConfig {
  loader: 'worker-cache' | 'model-server';
  /** Port of the model server on each machine; null: there is none. */
  modelServerPort: number | null;
  /** Retention period of the bill in the store, in days. */
  keepBillDays: number;
  pools: readonly PoolDeclaration[];
}

/** Converts a validated table to a configuration. */
export function toConfig(table: Table): WarmPoolsConfig {
  return {
    loader: table.loader,
    modelServerPort: table.model_server_port ?? null,
    keepBillDays: table.keep_bill_days,
    pools: table.pools.map((pool) => ({
      name: pool.name,
      image: pool.image,
      imageGb: pool.image_gb,
      shape: { cores: pool.cores, gpus: pool.gpus, memGb: pool.mem_gb },
      types: pool.types ?? null,
      zones: pool.zones ?? null,
      slots: pool.slots,
      schedule: pool.schedule,
      timeZone: pool.time_zone,
      holdS: pool.hold_s,
      aheadS: pool.ahead_s,
      team: pool.team,
      precedence: pool.precedence,
      refills: pool.refills,
      budget: pool.budget ?? null,
      budgetPeriod: pool.budget_period,
      onExhausted: pool.on_exhausted,
      lend: pool.lend,
    })),
  };
}

/** The order in which pools get capacity: precedence, then the earlier burst, then the name. */
export function comparePools(
  a: { pool: PoolDeclaration; burstMs: number },
  b: { pool: PoolDeclaration; burstMs: number },
): number {
  if (a.pool.precedence !== b.pool.precedence) return b.pool.precedence - a.pool.precedence;
  if (a.burstMs !== b.burstMs) return a.burstMs - b.burstMs;
  return a.pool.name < b.pool.name ? -1 : a.pool.name > b.pool.name ? 1 : 0;
}
