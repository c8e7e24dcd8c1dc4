/** Detects leases of machines that have provably expired. */

import type { Machine } from '../../workers/machine.js';
import type { HeartbeatReconciler } from './heartbeat-reconciler.js';
import type { TermState } from '../term/term-state.js';

/** Ends the attempts on machines whose leases no controller can have renewed. */
export class LeaseExpiry {
  constructor(
    private readonly term: TermState,
    private readonly reconciler: HeartbeatReconciler,
  ) {}

  /** Handles all leases that have provably expired, with no other controller entitled to renew them. */
  expire(): void {
    const { context, machines, now } = this.term;
    const substitutes = context.substituteRenewal();
    let substitutesUnproven = false;
    let zoneUnproven = false;
    for (const machine of machines.values()) {
      // While the key-value store is down, other controllers may renew leases in this controller's place.
      if (substitutes.renewedUntil > machine.knownAt)
        machine.leaseRenewed(substitutes.renewedUntil);
      if (
        now <= machine.leaseExpiresAt ||
        machine.state === 'silent' ||
        machine.state === 'returned'
      )
        continue;
      // If the whole zone is cut off, its zone lease holder may renew leases there.
      const zone = context.zoneRenewal(machine.zone);
      machine.leaseRenewed(zone.renewedUntil);
      if (now <= machine.leaseExpiresAt) continue;
      // A proof from before the lease's end does not exclude a later renewal.
      const areSubstitutesProven = substitutes.provenUntil >= machine.leaseExpiresAt;
      const isZoneProven = zone.provenUntil >= machine.leaseExpiresAt;
      substitutesUnproven ||= !areSubstitutesProven;
      zoneUnproven ||= !isZoneProven;
      if (areSubstitutesProven && isZoneProven) this.leaseExpired(machine);
    }
    if (substitutesUnproven) context.requestSubstituteProof();
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

  /** Ends all attempts on a machine: they are provably gone. */
  loseMachine(machine: Machine): void {
    const exited = machine.endAllAttempts(this.term.now);
    for (const attempt of exited) this.reconciler.attemptExited(machine, attempt);
    this.term.machinesToWrite.add(machine.id);
    this.term.requestCycle();
  }
}
