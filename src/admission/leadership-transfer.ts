import type { Clock } from '../clock.js';
import type { Log } from '../log.js';
import type { HealthTable } from './controller-health.js';
import { TRANSFER_AFTER_S, FORWARDING_LATE_S, type Overload } from './overload.js';

/** Minimum time between two transfers of leadership by this controller, in workers' leases. */
const TRANSFER_INTERVAL_LEASES = 2;
/**
 * Time after its election in which a leader transfers no leadership, in workers' leases. A new leader is late
 * for some seconds, because all machines join its term while its code is not compiled yet. Without this limit a
 * new leader transferred leadership for that reason, the next one did the same, and machines lost their leases
 * in five changes of leader within forty seconds.
 */
const SETTLING_LEASES = 2;

/** Dependencies of `LeadershipTransfer`. */
export interface LeadershipTransferOptions {
  overload: Overload;
  health: Pick<HealthTable, 'findHealthier' | 'forwardingDelayS'>;
  clock: Clock;
  log: Log;
  /** The workers' lease, in seconds. */
  leaseS: number;
  isLeader: () => boolean;
  /** When it was elected, in seconds of the clock; asked only while it leads. */
  electedAt: () => number;
  /** Ends leadership so that another controller can be elected at once. */
  stepDown: () => Promise<void>;
}

/**
 * Transfers leadership away from an overloaded leader. Such a leader still renews its own lease, which is
 * little work, while workers' heartbeats wait longer than the workers' time-out: a controller that had become
 * three times slower stayed leader until the leases of all machines had expired. A leader stays where no other
 * controller is healthier.
 *
 * The decision is immediate and uses the health data that the others have already sent. When the leader asked
 * them first, it read the answers one turn of its late event loop later, and in one of three runs its lease had
 * ended by then.
 */
export class LeadershipTransfer {
  private transferredAt = -Infinity;
  /** Since when heartbeats forwarded to this controller have waited too long; null: they have not. */
  private forwardingLateSince: number | null = null;

  constructor(private readonly options: LeadershipTransferOptions) {}

  /**
   * Transfers leadership if this leader is overloaded and another controller is healthier; called regularly.
   */
  transferIfOverloaded(): void {
    const {
      isLeader: leads,
      electedAt,
      overload,
      health,
      clock,
      leaseS,
      log,
      stepDown,
    } = this.options;
    const now = clock.now();
    const forwardingDelayS = health.forwardingDelayS();
    if (!leads()) return;
    if (!this.isForwardingOverdue(forwardingDelayS, now) && !overload.tooLateToLead(now)) return;
    if (now - this.transferredAt < leaseS * TRANSFER_INTERVAL_LEASES) return;
    if (now - electedAt() < leaseS * SETTLING_LEASES) return;
    const latenessS = Math.max(overload.latenessS, forwardingDelayS);
    const successor = health.findHealthier(latenessS);
    if (successor === null) return;
    this.transferredAt = now;
    log.info({ latenessS, forwardingDelayS, successor }, 'leadership transfer: overloaded');
    void stepDown();
  }

  /** Whether heartbeats forwarded to this controller have waited too long for `TRANSFER_AFTER_S`. */
  private isForwardingOverdue(forwardingDelayS: number, now: number): boolean {
    if (forwardingDelayS <= FORWARDING_LATE_S) {
      this.forwardingLateSince = null;
      return false;
    }
    this.forwardingLateSince ??= now;
    return now - this.forwardingLateSince >= TRANSFER_AFTER_S;
  }
}
