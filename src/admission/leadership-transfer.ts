import type { Clock } from '../clock.js';
import type { Log } from '../log.js';
import type { HealthTable } from './controller-health.js';
import { TRANSFER_AFTER_S, FORWARDING_LATE_S, type Overload } from './overload.js';

/** A controller transfers leadership no more than once in so many workers' leases. */
const GAP_LEASES = 2;
/**
 * Nor within so many workers' leases of its election. Whoever takes over is late for some seconds: it hears
 * of every machine anew, on code that has not been compiled yet. It once transferred leadership because of that, so
 * did the next one, and machines lost their leases to five changes of leader in forty seconds.
 */
const SETTLE_LEASES = 2;

/** What a `LeadershipTransfer` works with. */
export interface LeadershipTransferOptions {
  overload: Overload;
  health: Pick<HealthTable, 'healthier' | 'forwardingDelayS'>;
  clock: Clock;
  log: Log;
  /** The workers' lease, in seconds. */
  leaseS: number;
  leads: () => boolean;
  /** When it was elected, in seconds of the clock; asked only while it leads. */
  electedAt: () => number;
  /** Gives up leadership, so that another controller is elected at once. */
  stepDown: () => Promise<void>;
}

/**
 * An overloaded leader transfers leadership. It renews its own lease, which is little work, while workers' heartbeats
 * wait longer than the workers do: on a controller that had become three times slower, leadership was
 * kept like this until the leases of all machines had expired. Where no other controller is better
 * off it stays.
 *
 * It decides at once, on the figures that the others have told. When it asked them first, the answers
 * were read a turn of the late event loop later, and in one of three runs its lease had ended by then.
 */
export class LeadershipTransfer {
  private transferredAt = -Infinity;
  /** Since when heartbeats forwarded to this controller have waited for too long; null: they have not. */
  private forwardingLateSince: number | null = null;

  constructor(private readonly options: LeadershipTransferOptions) {}

  /** Called regularly. */
  consider(): void {
    const { leads, electedAt, overload, health, clock, leaseS, log, stepDown } = this.options;
    const now = clock.now();
    const forwardingDelayS = health.forwardingDelayS();
    if (!leads()) return;
    if (!this.isForwardingTooLate(forwardingDelayS, now) && !overload.tooLateToLead(now)) return;
    if (now - this.transferredAt < leaseS * GAP_LEASES) return;
    if (now - electedAt() < leaseS * SETTLE_LEASES) return;
    const latenessS = Math.max(overload.latenessS, forwardingDelayS);
    const successor = health.healthier(latenessS);
    if (successor === null) return;
    this.transferredAt = now;
    log.info({ latenessS, forwardingDelayS, successor }, 'leadership transfer: overloaded');
    void stepDown();
  }

  /** Whether other controllers have waited too long for too long. */
  private isForwardingTooLate(forwardingDelayS: number, now: number): boolean {
    if (forwardingDelayS <= FORWARDING_LATE_S) {
      this.forwardingLateSince = null;
      return false;
    }
    this.forwardingLateSince ??= now;
    return now - this.forwardingLateSince >= TRANSFER_AFTER_S;
  }
}
