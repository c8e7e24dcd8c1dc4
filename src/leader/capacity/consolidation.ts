/** Drains machines while there is surplus capacity. */

import type { FreeCapacity } from '../../scheduler/bin-packing.js';
import { freeMachines } from './free-capacity.js';
import type { CycleRemainder } from './scale-out-planner.js';
import { LARGE_SURPLUS_MACHINES } from './scale-in-planner.js';
import type { Term } from '../term/term.js';
import type { WarmReserve } from './warm-reserve.js';

/** Leases from the start of a term in which no machine is drained, since the fleet's state is still incomplete. */
const SETTLE_LEASES = 2;
/** Leases between the draining of two machines: as a rule, and with a large surplus. */
const DRAIN_GAP_LEASES = 0.5;
const FAST_DRAIN_GAP_LEASES = 0.2;
/** Leases after which a drained machine that was not returned is used again. */
const MAX_DRAIN_LEASES = 3;
/** Free machines above the warm reserve from which one is drained. */
const DRAIN_SURPLUS_MACHINES = 1.5;

/** Drains one machine at a time, so that it can be returned. */
export class Consolidation {
  private latestCheckAt = -Infinity;

  constructor(
    private readonly term: Term,
    private readonly warmReserve: WarmReserve,
    /** Drains a machine whose replicas fit elsewhere, if there is one. */
    private readonly drainMachine: (capacities: FreeCapacity[]) => void,
    /** Whether a subsystem reserves a machine although nothing runs on it. */
    private readonly retainsMachine: (machine: string) => boolean,
  ) {}

  /** Drains a machine if there is enough surplus capacity, so that it can be returned. */
  consolidate({ demand, capacities }: CycleRemainder): void {
    const { term } = this;
    const { now } = term;
    const { lease_s } = term.context.settings.workers;
    this.cancelDrains(now, demand.length > 0);
    if (!term.context.canWrite() || now - term.startedAt < lease_s * SETTLE_LEASES) return;
    const surplus = freeMachines(capacities, false) - this.warmReserve.target(false);
    const gapS =
      lease_s * (surplus >= LARGE_SURPLUS_MACHINES ? FAST_DRAIN_GAP_LEASES : DRAIN_GAP_LEASES);
    if (now - this.latestCheckAt < gapS || demand.length > 0) return;
    this.latestCheckAt = now;
    if (surplus < DRAIN_SURPLUS_MACHINES || (surplus < LARGE_SURPLUS_MACHINES && this.hasEmpty()))
      return;
    this.drainMachine(capacities);
  }

  private cancelDrains(now: number, hasDemand: boolean): void {
    const maxDrainS = this.term.context.settings.workers.lease_s * MAX_DRAIN_LEASES;
    for (const machine of this.term.machines.values()) {
      if (machine.drainingSince === null || machine.state !== 'ready') continue;
      if (hasDemand || now - machine.drainingSince > maxDrainS) machine.drainingSince = null;
    }
  }

  /** Whether there is an empty ordinary machine, which can be returned without draining one. */
  private hasEmpty(): boolean {
    for (const machine of this.term.machines.values()) {
      if (machine.spot || machine.state !== 'ready' || machine.attempts.size > 0) continue;
      if (!this.retainsMachine(machine.id)) return true;
    }
    return false;
  }
}
