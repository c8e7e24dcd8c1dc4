import * as v from 'valibot';
import type { MachineType } from '../jobs/types.js';

/** The cloud's messages. */

const amount = v.pipe(v.number(), v.finite(), v.minValue(0));
const types = v.object({
  castings: v.array(
    v.object({
      name: v.string(),
      cores: amount,
      gpus: amount,
      mem_gb: amount,
      local_gb: v.optional(amount, 0),
      pull_gb_per_s: v.optional(amount, 1),
      hourly: amount,
      spot_price: v.optional(amount, 0),
      startup_s: v.optional(amount, 60),
      yards: v.array(v.string()),
    }),
  ),
});

export function parseTypes(raw: unknown): MachineType[] {
  return v.parse(types, raw).castings.map((casting) => ({
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

export interface ListedMachine {
  id: string;
  addr: string;
  type: string;
  zone: string;
  spot: boolean;
  state: 'booting' | 'running' | 'failed';
  ageS: number;
}

const list = v.object({
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

export function parseList(raw: unknown): { machines: ListedMachine[]; more: boolean } {
  const parsed = v.parse(list, raw);
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

const rented = v.object({ benches: v.array(v.string()) });
export const parseRented = (raw: unknown): string[] => v.parse(rented, raw).benches;

export interface RentRequest {
  name: string;
  type: string;
  zone: string;
  spot: boolean;
  count: number;
}

export const encodeRent = (request: RentRequest): string =>
  JSON.stringify({
    hire: request.name,
    casting: request.type,
    yard: request.zone,
    loaner: request.spot,
    number: request.count,
  });

export const encodeReturn = (ids: string[]): string => JSON.stringify({ benches: ids });

export const TYPES_PATH = '/machine_types';
export const RENT_PATH = '/hosts';
export const RETURN_PATH = '/hosts/return';
export const listPath = (after: string): string =>
  `/hosts?limit=500${after === '' ? '' : `&after=${encodeURIComponent(after)}`}`;

/** Most machines in one rental request, and most names in one return. */
/** A machine that is given back costs at least this time. */
export const MIN_CHARGE_S = 60;
export const RENT_MAX = 50;
export const RETURN_MAX = 100;
