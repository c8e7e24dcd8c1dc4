/** Scale-out requests for slots, whose names are stored before they are sent. */

import type { ScaleOutResult } from '../cloud/client.js';
import type { TermTimeOfDay } from '../time-of-day.js';
import type { StoredScaleOutRequest, TermView } from '../subsystems/subsystem.js';
import { isOpen, type Slot, type MachineAssignment, type SlotRequest } from './slot.js';
import type { SlotEntry, SlotTable } from './slot-table.js';

/** Initial and maximum seconds before a request that was refused or not answered is sent again. */
const INITIAL_RETRY_DELAY_S = 0.5;
const MAX_RETRY_DELAY_S = 8;

interface PendingRequest {
  /** Steady time of day, in ms, of the first sending that may have been carried out. */
  firstSentMs: number;
  lastSentMs: number;
  retryAt: number;
  retryDelayS: number;
  /** The added machines while the slots' records cannot be stored yet; otherwise null. */
  machines: readonly string[] | null;
}

/** Options of `SlotScaleOut`. */
export interface SlotScaleOutOptions {
  view: TermView;
  table: SlotTable;
  /** `nowMs` gives the times of bursts, `steadyMs` measures held intervals: see `TermTimeOfDay`. */
  clock: Pick<TermTimeOfDay, 'nowMs' | 'steadyMs'>;
  /** The assignment of a machine of this type to a slot. */
  assignmentOf: (slot: Slot, machine: string, type: string) => MachineAssignment;
}

/**
 * The name of a request is in the records of its slots before the request is sent. Every leader sends it
 * again until it is answered; the cloud adds machines only once for a name. A slot gets no new request while
 * the outcome of the old one is open, so a lost answer does not lose a machine.
 */
export class SlotScaleOut {
  private readonly pendingRequests = new Map<string, PendingRequest>();

  constructor(private readonly options: SlotScaleOutOptions) {}

  /** Whether a request may have been sent, by this term or an earlier one. */
  mayHaveBeenSent({ request, sendFromMs }: Slot, termStartMs: number): boolean {
    if (request === null) return false;
    return this.pendingRequests.has(request.name) || termStartMs >= sendFromMs;
  }

  /** Requests that are due. The provisioner checks before each one whether the term is entitled to send it. */
  due(): StoredScaleOutRequest[] {
    const { view, table } = this.options;
    const byName = new Map<string, SlotEntry[]>();
    for (const entry of table.values()) {
      const name = this.dueRequestName(entry);
      if (name === null) continue;
      const group = byName.get(name);
      if (group === undefined) byName.set(name, [entry]);
      else group.push(entry);
    }
    const due: StoredScaleOutRequest[] = [];
    for (const [name, group] of byName) {
      const known = this.pendingRequests.get(name);
      if (known?.machines != null) this.assign(name, known, known.machines);
      else if ((known?.retryAt ?? -Infinity) <= view.now()) due.push(this.request(name, group));
    }
    return due;
  }

  /**
   * Only stored state counts. In an outage in which the store refuses all controllers, as a majority
   * confirms, requests that were named before are also sent once `sendFromMs` has passed: the store already
   * contains this permission.
   */
  private dueRequestName({ stored, current }: SlotEntry): string | null {
    if (stored === null || stored.request === null || !isOpen(current)) return null;
    const { view, clock } = this.options;
    if (stored.state === 'renting') return current.state === 'renting' ? stored.request.name : null;
    if (stored.state !== 'planned' || view.canWrite()) return null;
    return clock.nowMs() >= stored.sendFromMs ? stored.request.name : null;
  }

  private request(name: string, group: SlotEntry[]): StoredScaleOutRequest {
    const { type, zone, count } = group[0]!.stored!.request!;
    return {
      request: { name, type, zone, spot: false, count },
      onSending: () => this.recordSending(name, group),
      onAnswered: (result) => this.handleAnswer(name, result),
    };
  }

  private recordSending(name: string, group: SlotEntry[]): void {
    const nowMs = this.options.clock.steadyMs();
    const known = this.pendingRequests.get(name);
    if (known !== undefined) {
      known.lastSentMs = nowMs;
      known.firstSentMs = Math.min(known.firstSentMs, nowMs);
      return;
    }
    // An earlier term may have sent it from `sendFromMs` on. That was before this term began, when its
    // `nowMs` and `steadyMs` were the same.
    const firstSentMs = Math.min(
      nowMs,
      ...group.map(({ current }) => this.earliestSentMs(current)),
    );
    const first = { retryDelayS: INITIAL_RETRY_DELAY_S, retryAt: -Infinity, machines: null };
    this.pendingRequests.set(name, { firstSentMs, lastSentMs: nowMs, ...first });
  }

  private earliestSentMs({ request, sendFromMs }: Slot): number {
    const isOwn = request?.name.startsWith(this.options.view.uniquePrefix) === true;
    return isOwn ? Infinity : sendFromMs;
  }

  private handleAnswer(name: string, result: ScaleOutResult): void {
    const pending = this.pendingRequests.get(name);
    if (pending === undefined) return;
    switch (result.how) {
      case 'added':
        this.assign(name, pending, result.ids);
        break;
      case 'none':
        this.pendingRequests.delete(name);
        for (const entry of this.rentingSlots(name)) {
          this.options.table.apply(entry, { kind: 'request-refused' });
        }
        break;
      case 'refused':
        // This sending was not carried out; an earlier one may have been.
        if (pending.firstSentMs === pending.lastSentMs) pending.firstSentMs = Infinity;
        this.scheduleRetry(pending);
        break;
      case 'unknown':
        this.scheduleRetry(pending);
        break;
    }
    this.options.view.wakeWriter();
  }

  private scheduleRetry(pending: PendingRequest): void {
    pending.retryAt = this.options.view.now() + pending.retryDelayS;
    pending.retryDelayS = Math.min(MAX_RETRY_DELAY_S, pending.retryDelayS * 2);
  }

  private assign(name: string, pending: PendingRequest, machines: readonly string[]): void {
    const { table, assignmentOf } = this.options;
    pending.machines = machines;
    const fromMs = Math.min(pending.firstSentMs, pending.lastSentMs);
    const uncertainMs = pending.lastSentMs - fromMs;
    for (const entry of this.rentingSlots(name)) {
      const { position, type } = entry.current.request!;
      const machine = machines[position];
      if (machine === undefined) {
        table.apply(entry, { kind: 'request-refused' });
        continue;
      }
      const assignment = assignmentOf(entry.current, machine, type);
      table.apply(entry, { kind: 'added', assignment, atMs: fromMs, uncertainMs });
    }
    // In an outage the request stays pending until the slots' records can be stored.
    if (this.options.view.canWrite()) this.pendingRequests.delete(name);
  }

  private rentingSlots(name: string): SlotEntry[] {
    return [...this.options.table.values()].filter(({ current }) => {
      return current.state === 'renting' && current.request?.name === name;
    });
  }
}

/** Distributes slots over the machines of a request, as many on each as fit. */
export function distributeMachines(
  slots: number,
  perMachine: number,
  request: Omit<SlotRequest, 'count' | 'position'>,
): SlotRequest[] {
  const count = Math.ceil(slots / perMachine);
  return Array.from({ length: slots }, (_, i) => ({
    ...request,
    count,
    position: Math.floor(i / perMachine),
  }));
}
