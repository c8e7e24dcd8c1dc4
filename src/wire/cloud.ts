import * as v from 'valibot';
import type { MachineType } from '../jobs/types.js';

/** The cloud's messages. */

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

/** Machine types of `GET /machine_types`. Throws on a malformed answer. */
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

/** A machine as the cloud's list names it; `ageS`: since its rental request. */
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

/** A page of `GET /hosts`. Throws on a malformed answer. */
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
/** Ids of the machines that a request rented. Throws on a malformed answer. */
export const parseScaleOutAnswer = (raw: unknown): string[] =>
  v.parse(scaleOutAnswerSchema, raw).benches;

/** A rental request; its name never recurs for another one. */
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
/** Path of rental requests. */
export const MACHINES_PATH = '/hosts';
/** Path of returns. */
export const SCALE_IN_PATH = '/hosts/return';
/** Path of the page of the list that begins after an id; empty: the first page. */
export const listPath = (after: string): string =>
  `/hosts?limit=500${after === '' ? '' : `&after=${encodeURIComponent(after)}`}`;

/** Most machines in one rental request, and most names in one return. */
/** A machine that is given back costs at least this time. */
export const MIN_CHARGE_S = 60;
/** Most machines in one rental request. */
export const SCALE_OUT_MAX = 50;
/** Most names in one return. */
export const SCALE_IN_MAX = 100;
