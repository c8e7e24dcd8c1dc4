/** Leases of machines that have run out for certain. */

import type { Machine } from '../workers/machine.js';
import type { ReportDigest } from './report-digest.js';
import type { TermState } from './term-state.js';

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
    for (const m of machines.values()) {
      // While the state service is down others may renew leases in this controller's place.
      if (kept > m.knownAt) m.leaseRenewed(kept);
      if (now <= m.leaseExpiresAt || m.state === 'silent' || m.state === 'returned') continue;
      // Its zone may be cut off as a whole and go on working inside itself.
      const zone = deps.zone(m.zone);
      m.leaseRenewed(zone.keptUntil);
      if (now <= m.leaseExpiresAt) continue;
      if (zone.provenAt < m.leaseExpiresAt) unproven = true;
      else this.expired(m);
    }
    if (unproven) deps.prove();
  }

  private expired(m: Machine): void {
    if (m.state === 'returning') {
      if (m.attempts.size > 0) this.lose(m);
      return;
    }
    this.state.deps.log.info({ machine: m.id, attempts: m.attempts.size }, 'machine lost');
    this.state.machinesLost++;
    this.lose(m);
    m.changeState('silent');
  }

  /** All that was on a machine is provably gone. */
  lose(m: Machine): void {
    const over = m.endAllAttempts(this.state.now);
    for (const a of over) this.digest.over(m, a);
    this.state.dirtyMachines.add(m.id);
    this.state.requestPass();
  }
}
