/** Leases of machines that have expired for certain. */

import type { Machine } from '../../workers/machine.js';
import type { HeartbeatReconciler } from './heartbeat-reconciler.js';
import type { TermState } from '../term/term-state.js';

/** Gives up what was on machines once nobody can have renewed their leases. */
export class LeaseExpiry {
  constructor(
    private readonly term: TermState,
    private readonly reconciler: HeartbeatReconciler,
  ) {}

  /** Leases that have expired for certain, with nobody else entitled to renew them. */
  expire(): void {
    const { context, machines, now } = this.term;
    const others = context.othersRenewal();
    let othersUnproven = false;
    let zoneUnproven = false;
    for (const machine of machines.values()) {
      // While the key-value store is down others may renew leases in this controller's place.
      if (others.keptUntil > machine.knownAt) machine.leaseRenewed(others.keptUntil);
      if (
        now <= machine.leaseExpiresAt ||
        machine.state === 'silent' ||
        machine.state === 'returned'
      )
        continue;
      // Its zone may be cut off as a whole and go on working inside itself.
      const zone = context.zoneRenewal(machine.zone);
      machine.leaseRenewed(zone.keptUntil);
      if (now <= machine.leaseExpiresAt) continue;
      // What is proven up to a moment before its end may have been followed by another renewal.
      const isOthersProven = others.provenAt >= machine.leaseExpiresAt;
      const isZoneProven = zone.provenAt >= machine.leaseExpiresAt;
      othersUnproven ||= !isOthersProven;
      zoneUnproven ||= !isZoneProven;
      if (isOthersProven && isZoneProven) this.leaseExpired(machine);
    }
    if (othersUnproven) context.requestOthersProof();
    if (zoneUnproven) context.requestZoneProof();
  }

  private leaseExpired(machine: Machine): void {
    if (machine.state === 'returning') {
      if (machine.attempts.size > 0) this.loseMachine(machine);
      return;
    }
    this.term.context.log.info(
      { machine: machine.id, attempts: machine.attempts.size },
      'machine lease expired',
    );
    this.term.machinesLost++;
    this.loseMachine(machine);
    machine.changeState('silent');
  }

  /** All that was on a machine is provably gone. */
  loseMachine(machine: Machine): void {
    const over = machine.endAllAttempts(this.term.now);
    for (const attempt of over) this.reconciler.attemptExited(machine, attempt);
    this.term.machinesToWrite.add(machine.id);
    this.term.requestCycle();
  }
}
