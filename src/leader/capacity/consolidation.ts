/** Draining machines while more is free than is needed. */

import type { FreeCapacity } from '../../scheduler/bin-packing.js';
import { freeMachines } from './free-capacity.js';
import type { CycleRemainder } from './scale-out-planner.js';
import { MUCH_SURPLUS } from './scale-in-planner.js';
import type { Term } from '../term/term.js';
import type { WarmReserve } from './warm-reserve.js';

/** Right after a change of leader the picture is not whole: for so many leases. */
const SETTLE_LEASES = 2;
/** Leases between two machines that are drained: as a rule, and while there is much capacity too much. */
const EMPTY_SELDOM = 0.5;
const EMPTY_OFTEN = 0.2;
/** A machine that was drained is used again when it was not given back within so many leases. */
const EMPTIED_LEASES = 3;
/** Free machines above the reserve from which one is drained. */
const SURPLUS = 1.5;

/** Has one machine at a time drained, to be given back. */
export class Consolidation {
  private latestAt = -Infinity;

  constructor(
    private readonly term: Term,
    private readonly warmReserve: WarmReserve,
    /** Empties a machine whose replicas fit elsewhere, if there is one. */
    private readonly drainMachine: (capacities: FreeCapacity[]) => void,
    /** Whether a machine stays although nothing runs on it. */
    private readonly keeps: (machine: string) => boolean,
  ) {}

  /** When there is a machine's worth of capacity too much, a machine is drained to be given back. */
  consolidate({ demand, capacities }: CycleRemainder): void {
    const { term } = this;
    const { now } = term;
    const { lease_s } = term.context.settings.workers;
    this.cancelDrains(now, demand.length > 0);
    if (!term.context.canWrite() || now - term.startedAt < lease_s * SETTLE_LEASES) return;
    const surplus = freeMachines(capacities, false) - this.warmReserve.target(false);
    const gap = lease_s * (surplus >= MUCH_SURPLUS ? EMPTY_OFTEN : EMPTY_SELDOM);
    if (now - this.latestAt < gap || demand.length > 0) return;
    this.latestAt = now;
    if (surplus < SURPLUS || (surplus < MUCH_SURPLUS && this.hasEmpty())) return;
    this.drainMachine(capacities);
  }

  private cancelDrains(now: number, wanted: boolean): void {
    const patience = this.term.context.settings.workers.lease_s * EMPTIED_LEASES;
    for (const machine of this.term.machines.values()) {
      if (machine.drainingSince === null || machine.state !== 'ready') continue;
      if (wanted || now - machine.drainingSince > patience) machine.drainingSince = null;
    }
  }

  /** An empty ordinary machine goes back first. */
  private hasEmpty(): boolean {
    for (const machine of this.term.machines.values()) {
      if (machine.spot || machine.state !== 'ready' || machine.attempts.size > 0) continue;
      if (!this.keeps(machine.id)) return true;
    }
    return false;
  }
}
