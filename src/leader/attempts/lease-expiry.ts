/** Leases of machines that have run out for certain. */

import type { Machine } from '../../workers/machine.js';
import type { ReportDigest } from './heartbeat-reconciler.js';
import type { TermState } from '../term/term-state.js';

/** Gives up what was on machines once nobody can have renewed their leases. */
export class LeaseExpiry {
  constructor(
    private readonly state: TermState,
    private readonly digest: ReportDigest,
  ) {}

  /** Leases that have run out for certain, with nobody else entitled to renew them. */
  expire(): void {
    const { deps, machines, now } = this.state;
    const kept = deps.keptUntil();
    let unproven = false;
    for (const machine of machines.values()) {
      // While the state service is down others may renew leases in this controller's place.
      if (kept > machine.knownAt) machine.leaseRenewed(kept);
      if (
        now <= machine.leaseExpiresAt ||
        machine.state === 'silent' ||
        machine.state === 'returned'
      )
        continue;
      // Its zone may be cut off as a whole and go on working inside itself.
      const zone = deps.zone(machine.zone);
      machine.leaseRenewed(zone.keptUntil);
      if (now <= machine.leaseExpiresAt) continue;
      if (zone.provenAt < machine.leaseExpiresAt) unproven = true;
      else this.expired(machine);
    }
    if (unproven) deps.prove();
  }

  private expired(machine: Machine): void {
    if (machine.state === 'returning') {
      if (machine.attempts.size > 0) this.lose(machine);
      return;
    }
    this.state.deps.log.info(
      { machine: machine.id, attempts: machine.attempts.size },
      'machine lost',
    );
    this.state.machinesLost++;
    this.lose(machine);
    machine.changeState('silent');
  }

  /** All that was on a machine is provably gone. */
  lose(machine: Machine): void {
    const over = machine.endAllAttempts(this.state.now);
    for (const attempt of over) this.digest.over(machine, attempt);
    this.state.dirtyMachines.add(machine.id);
    this.state.requestPass();
  }
}
