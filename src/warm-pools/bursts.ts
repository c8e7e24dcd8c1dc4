/** Bursts that are in progress or about to begin. */

import type { MachineType } from '../jobs/types.js';
import type { TermView } from '../subsystems/subsystem.js';
import { BurstSchedule } from './burst-schedule.js';
import { comparePools, type PoolDeclaration } from './declaration.js';
import type { LeadTimes } from './lead-times.js';
import { allowedTypes } from './machine-choice.js';

/** Slots are planned and their requests named this many lead times ahead: an outage may cover one lead time. */
const PLANNING_LEAD_TIMES = 2;
/** Writes of a slot's record until it is warm, and the assumed share of the store's write rate for them. */
const WRITES_PER_SLOT = 3;
const WRITE_SHARE = 0.3;
/** Heartbeat intervals until a new machine's first heartbeat arrives and its readiness is noticed. */
const NOTICE_HEARTBEATS = 3;

/** One firing of a pool's schedule. */
export interface Burst {
  pool: PoolDeclaration;
  /** When it begins, in ms of the time of day. */
  burstMs: number;
  /** Seconds before the burst at which machines for its slots should be requested. */
  leadTimeS: number;
}

/** Identifier of a burst. */
export const burstId = (pool: string, burstMs: number): string => `${pool}/${burstMs}`;

/** The bursts for which slots are prepared or reserved. */
export class Bursts {
  private readonly schedules = new Map<string, BurstSchedule>();

  constructor(
    private readonly pools: readonly PoolDeclaration[],
    private readonly view: TermView,
    private readonly leadTimes: LeadTimes,
    /** Start of a pool's latest billed burst, in ms. */
    private readonly lastBilledBurstMs: (pool: string) => number,
  ) {
    for (const pool of pools) {
      this.schedules.set(pool.name, new BurstSchedule(pool.schedule, pool.timeZone));
    }
  }

  /** Bursts whose slots are planned, prepared or reserved at this time, in the order of `comparePools`. */
  activeAt(nowMs: number): Burst[] {
    const bursts: Burst[] = [];
    for (const pool of this.pools) {
      const leadTimeS = this.leadTimeS(pool);
      const afterMs = Math.max(nowMs - pool.holdS * 1000, this.lastBilledBurstMs(pool.name));
      const untilMs = nowMs + leadTimeS * PLANNING_LEAD_TIMES * 1000;
      for (const burstMs of this.schedules.get(pool.name)!.between(afterMs, untilMs)) {
        bursts.push({ pool, burstMs, leadTimeS });
      }
    }
    return bursts.sort(comparePools);
  }

  /** Start of a pool's next burst, in ms; null if there is none. */
  nextMs(pool: PoolDeclaration, nowMs: number): number | null {
    return this.schedules.get(pool.name)!.nextAfter(nowMs);
  }

  /** Includes the slowest machine type and zone that the pool allows, store writes and heartbeats. */
  private leadTimeS(pool: PoolDeclaration): number {
    const { settings } = this.view;
    const storeS = (pool.slots * WRITES_PER_SLOT) / (settings.state.write_rps * WRITE_SHARE);
    const noticeS = settings.workers.report_s * NOTICE_HEARTBEATS;
    let machineS = 0;
    for (const { type, zones } of allowedTypes(pool, this.view.machineTypes())) {
      for (const zone of zones) machineS = Math.max(machineS, this.machineS(type, zone, pool));
    }
    return Math.max(pool.aheadS, machineS + storeS + noticeS);
  }

  private machineS(type: MachineType, zone: string, pool: PoolDeclaration): number {
    return this.leadTimes.leadTimeS(type, zone, pool.image, pool.imageGb);
  }
}
