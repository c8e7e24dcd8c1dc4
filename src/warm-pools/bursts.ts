/** Bursts that are going on or near. */

import type { MachineType } from '../jobs/types.js';
import type { TermView } from '../subsystems/subsystem.js';
import { BurstSchedule } from './burst-schedule.js';
import { comparePools, type PoolDeclaration } from './declaration.js';
import type { LeadTimes } from './lead-times.js';
import { allowedTypes } from './machine-choice.js';

/** Slots are planned, and their requests named, so many lead times ahead: an outage may cover one. */
const PLANNING_LEAD_TIMES = 2;
/** Changes of a slot's record until it is warm, and the share of all writes that pools count on. */
const WRITES_PER_SLOT = 3;
const WRITE_SHARE = 0.3;
/** What hearing of a machine and noticing that it is ready take, in heartbeat intervals. */
const NOTICE_HEARTBEATS = 3;

/** One firing of a pool's schedule. */
export interface Burst {
  pool: PoolDeclaration;
  /** When it begins, in ms of the time of day. */
  burstMs: number;
  /** Seconds ahead at which machines for its slots should be requested. */
  leadTimeS: number;
}

/** Names a burst of a pool. */
export const burstId = (pool: string, burstMs: number): string => `${pool}/${burstMs}`;

/** The bursts that slots are prepared or kept for. */
export class Bursts {
  private readonly schedules = new Map<string, BurstSchedule>();

  constructor(
    private readonly pools: readonly PoolDeclaration[],
    private readonly view: TermView,
    private readonly leadTimes: LeadTimes,
    /** The latest burst of a pool that is over and billed, in ms. */
    private readonly lastBilledBurstMs: (pool: string) => number,
  ) {
    for (const pool of pools) {
      this.schedules.set(pool.name, new BurstSchedule(pool.schedule, pool.timeZone));
    }
  }

  /** Those whose slots are to be planned, prepared or kept now, in the order of precedence. */
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

  /** The next burst of a pool, in ms; null: there is none. */
  nextMs(pool: PoolDeclaration, nowMs: number): number | null {
    return this.schedules.get(pool.name)!.nextAfter(nowMs);
  }

  /** The slowest of the kinds of machines that the pool allows counts. */
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
