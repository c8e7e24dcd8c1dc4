import * as v from 'valibot';
import type { MachineType } from '../jobs/types.js';

/** Messages of the cloud's API. */

const nonNegative = v.pipe(v.number(), v.finite(), v.minValue(0));
const typesSchema = v.object({
  castings: v.array(
    v.object({
      name: v.string(),
      cores: nonNegative,
      gpus: nonNegative,
      mem_gb: nonNegative,
      local_gb: v.optional(nonNegative, 0),
      pull_gb_per_s: v.optional(nonNegative, 1),
      hourly: nonNegative,
      spot_price: v.optional(nonNegative, 0),
      startup_s: v.optional(nonNegative, 60),
      yards: v.array(v.string()),
    }),
  ),
});

/** Parses the response of `GET /machine_types`. Throws on a malformed one. */
export function parseTypes(raw: unknown): MachineType[] {
  return v.parse(typesSchema, raw).castings.map((casting) => ({
    name: casting.name,
    cores: casting.cores,
    gpus: casting.gpus,
    memGb: casting.mem_gb,
    cacheGb: casting.local_gb,
    fetchGbPerS: casting.pull_gb_per_s,
    price: casting.hourly,
    spotPrice: casting.spot_price,
    bootS: casting.startup_s,
    zones: casting.yards,
  }));
}

/** A machine in the cloud's list; `ageS`: seconds since the request to rent it. */
export interface ListedMachine {
  id: string;
  addr: string;
  type: string;
  zone: string;
  spot: boolean;
  state: 'booting' | 'running' | 'failed';
  ageS: number;
}

const listSchema = v.object({
  benches: v.array(
    v.object({
      ref: v.string(),
      addr: v.optional(v.nullable(v.string()), ''),
      casting: v.string(),
      yard: v.string(),
      loaner: v.optional(v.boolean(), false),
      temper: v.picklist(['booting', 'running', 'failed']),
      age_s: v.optional(v.number(), 0),
    }),
  ),
  more: v.optional(v.boolean(), false),
});

/** Parses a page of `GET /hosts`. Throws on a malformed response. */
export function parseList(raw: unknown): { machines: ListedMachine[]; more: boolean } {
  const parsed = v.parse(listSchema, raw);
  return {
    more: parsed.more,
    machines: parsed.benches.map((bench) => ({
      id: bench.ref,
      addr: bench.addr ?? '',
      type: bench.casting,
      zone: bench.yard,
      spot: bench.loaner,
      state: bench.temper,
      ageS: bench.age_s,
    })),
  };
}

const scaleOutAnswerSchema = v.object({ benches: v.array(v.string()) });
/** Parses the ids of the machines rented by a request. Throws on a malformed response. */
export const parseScaleOutAnswer = (raw: unknown): string[] =>
  v.parse(scaleOutAnswerSchema, raw).benches;

/** A request to rent machines. Its name is unique and never reused. */
export interface ScaleOutRequest {
  name: string;
  type: string;
  zone: string;
  spot: boolean;
  count: number;
}

/** Body of `POST /hosts`. */
export const encodeScaleOut = (request: ScaleOutRequest): string =>
  JSON.stringify({
    hire: request.name,
    casting: request.type,
    yard: request.zone,
    loaner: request.spot,
    number: request.count,
  });

/** Body of `POST /hosts/return`. */
export const encodeScaleIn = (ids: string[]): string => JSON.stringify({ benches: ids });

/** Path of the machine types. */
export const TYPES_PATH = '/machine_types';
/** Path of requests to rent machines. */
export const MACHINES_PATH = '/hosts';
/** Path of requests to return machines. */
export const SCALE_IN_PATH = '/hosts/return';
/** Path of the page of the machine list after an id; empty for the first page. */
export const listPath = (after: string): string =>
  `/hosts?limit=500${after === '' ? '' : `&after=${encodeURIComponent(after)}`}`;

/** Minimum time that is charged for a machine, in seconds. */
export const MIN_CHARGE_S = 60;
/** Maximum number of machines in one request to rent machines. */
export const SCALE_OUT_MAX = 50;
/** Maximum number of machines in one request to return machines. */
export const SCALE_IN_MAX = 100;
