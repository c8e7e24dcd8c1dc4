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
    const kept = context.othersRenewUntil();
    let unproven = false;
    for (const machine of machines.values()) {
      // While the key-value store is down others may renew leases in this controller's place.
      if (kept > machine.knownAt) machine.leaseRenewed(kept);
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
      if (zone.provenAt < machine.leaseExpiresAt) unproven = true;
      else this.leaseExpired(machine);
    }
    if (unproven) context.requestProof();
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
