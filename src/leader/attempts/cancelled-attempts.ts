/** Attempts of cancelled jobs that may still be on machines: counted, and logged when they remain for too long. */

import { mayBeOnMachine, type Attempt } from '../../workers/attempt.js';
import type { Machine } from '../../workers/machine.js';
import type { Term } from '../term/term.js';

/** Share of `cancel_s` after which a warning is logged. */
const WARN_CANCEL_SHARE = 0.5;

/** Attempts of cancelled jobs at one moment. */
interface CancelledAttemptStatistics {
  count: number;
  /** Seconds since this process has known of the oldest cancellation among them. */
  oldestS: number;
}

/** Watches the attempts of cancelled jobs of one term. */
export class CancelledAttempts {
  private latest: CancelledAttemptStatistics = { count: 0, oldestS: 0 };
  /** Jobs for which a warning was logged in this term. */
  private readonly warned = new Set<string>();

  constructor(private readonly term: Term) {}

  /** Counts the attempts and logs one warning for each job. */
  tick(): void {
    const statistics: CancelledAttemptStatistics = { count: 0, oldestS: 0 };
    for (const machine of this.term.machines.values()) {
      for (const attempt of machine.attempts.values()) {
        if (attempt.stopRequest === null || !mayBeOnMachine(attempt)) continue;
        if (!this.term.isCancelled(attempt.job)) continue;
        const ageS = this.ageS(attempt);
        statistics.count++;
        statistics.oldestS = Math.max(statistics.oldestS, ageS);
        if (ageS > this.term.context.settings.workers.cancel_s * WARN_CANCEL_SHARE)
          this.warn(machine, attempt, ageS);
      }
    }
    this.latest = statistics;
  }

  private ageS(attempt: Attempt): number {
    const knownAt = this.term.context.cancellationKnownAt(attempt.job);
    return this.term.now - (knownAt ?? attempt.stopRequest!.at);
  }

  private warn(machine: Machine, attempt: Attempt, ageS: number): void {
    if (this.warned.has(attempt.job)) return;
    this.warned.add(attempt.job);
    const { now, context } = this.term;
    const sentAt = attempt.stopRequest!.sentAt;
    context.log.warn(
      {
        job: attempt.job,
        index: attempt.index,
        machine: machine.id,
        machineState: machine.state,
        token: machine.token,
        cancelledForS: ageS,
        heardAgoS: machine.lastHeartbeatAt === -Infinity ? null : now - machine.lastHeartbeatAt,
        stopSentAgoS: sentAt === null ? null : now - sentAt,
      },
      'cancelled task outlasts its cancellation',
    );
  }

  /** Values for `/metrics`. */
  statistics(): Record<string, number> {
    return {
      cancelled_attempts: this.latest.count,
      cancelled_oldest_s: Math.round(this.latest.oldestS),
    };
  }
}
